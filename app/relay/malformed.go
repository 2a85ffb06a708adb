package relay

import (
	"errors"
	"sync"

	"mimosarelay/core/health"
	"mimosarelay/core/model"
	"mimosarelay/io/target"
)

// malformedAnswers guards the decision on targets that send malformed answers.
type malformedAnswers struct {
	mu   sync.Mutex // guards runs
	runs *health.MalformedRuns
}

// isMalformed reports whether an attempt failed because the target sent what is no
// answer.
func isMalformed(cause error) bool {
	return errors.Is(cause, target.ErrMalformed) || errors.Is(cause, target.ErrStale) || errors.Is(cause, target.ErrEventTooLarge) || errors.Is(cause, errNotEvent)
}

// recordMalformed pauses the target of a failed attempt if it sends nothing but malformed
// answers.
func (s *Service) recordMalformed(c *forwardCall, cause error) {
	if !s.PauseMalformed || !isMalformed(cause) {
		return
	}
	id := c.place.Target().Name
	s.malformed.mu.Lock()
	pause := s.malformed.runs.Malformed(s.Clock.Now(), model.ModelID(c.Service.ID), id)
	s.malformed.mu.Unlock()
	if pause == 0 {
		return
	}
	s.Pauser.Pause(id, pause)
	s.metrics.pausedMalformed.Inc(1)
	s.Log.Warn("target is paused because its answers are malformed", "target", id, "pause", pause, "error", cause)
}

// recordSound records a whole answer of the target of the current attempt.
func (s *Service) recordSound(c *forwardCall) {
	if !s.PauseMalformed {
		return
	}
	s.malformed.mu.Lock()
	defer s.malformed.mu.Unlock()
	s.malformed.runs.Sound(s.Clock.Now(), model.ModelID(c.Service.ID), c.place.Target().Name)
}
