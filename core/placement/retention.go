package placement

import (
	"time"

	"mimosarelay/core/model"
)

// program is the state of a program that is kept between its calls.
type program struct {
	attainedService float64       // service in prompt tokens
	activeCalls     int           // waiting and running calls
	lastEngineEnd   time.Time     // end of the last call to an engine; zero: none
	lastMessages    int           // number of messages of the last prompt that ran; 0: none
	meanPause       time.Duration // moving average; 0: no pause yet
	heldAt          *target       // target that holds the program, or nil
	holdEnds        time.Time
	heldTokens      model.Tokens // size of the held prefix
	listed          bool         // in Scheduler.heldPrograms
}

// programIdleTimeout is the idle time after which the state of a program is
// removed.
const programIdleTimeout = time.Hour

// pauseWeight is the weight of the last pause in the moving average.
const pauseWeight = 0.3

// endPause adds the pause that ends with the arrival of a call to the mean. There
// is none while other calls of the program are active.
func (p *program) endPause(now time.Time) {
	if p.activeCalls > 0 || p.lastEngineEnd.IsZero() {
		return
	}
	pause := now.Sub(p.lastEngineEnd)
	if p.meanPause == 0 {
		p.meanPause = pause
		return
	}
	p.meanPause += time.Duration(pauseWeight * float64(pause-p.meanPause))
}

func (p *program) releaseHold() {
	if p.heldAt != nil {
		p.heldAt.heldPrograms--
		p.heldAt = nil
	}
}

// hold holds a program at its target for up to PauseFactor times the time to
// recompute the prompt. It does nothing if the program's mean pause is longer. A
// program without a measured pause is held too.
func (s *Scheduler) hold(p *program, t *target, prompt model.Tokens, now time.Time) {
	h, ok := s.options.Retention.(HoldThroughPause)
	if !ok {
		return
	}
	maxPause := time.Duration(h.PauseFactor * float64(prompt) * float64(h.TokenTime))
	if maxPause <= 0 || p.meanPause > maxPause {
		return
	}
	p.releaseHold()
	p.heldAt, p.heldTokens = t, prompt
	t.heldPrograms++
	p.holdEnds = now.Add(maxPause)
	if !p.listed {
		p.listed = true
		s.heldPrograms = append(s.heldPrograms, p)
	}
}

// releaseExpiredHolds releases the programs whose hold has expired.
func (s *Scheduler) releaseExpiredHolds(now time.Time) {
	kept := s.heldPrograms[:0]
	for _, p := range s.heldPrograms {
		if p.heldAt != nil && !now.Before(p.holdEnds) {
			p.releaseHold()
		}
		p.listed = p.heldAt != nil
		if p.listed {
			kept = append(kept, p)
		}
	}
	clear(s.heldPrograms[len(kept):])
	s.heldPrograms = kept
}

// heldLoad returns the load of the programs that are held at t, in calls.
func (s *Scheduler) heldLoad(t *target) float64 {
	h, ok := s.options.Retention.(HoldThroughPause)
	if !ok {
		return 0
	}
	return h.HeldLoad * float64(t.heldPrograms)
}

// pinTarget returns the target that a call of a held program waits for and the
// end of that wait, or nil if the call may run at any target.
func (s *Scheduler) pinTarget(p *program, c *class, now time.Time) (*target, time.Time) {
	h, ok := s.options.Retention.(HoldThroughPause)
	if !ok || p == nil || p.heldAt == nil || !now.Before(p.holdEnds) {
		return nil, time.Time{}
	}
	t := p.heldAt
	if t.Skip || t.Limit == 0 || !c.mayUse(t) {
		return nil, time.Time{}
	}
	return t, now.Add(time.Duration(h.WaitFactor * float64(p.heldTokens) * float64(h.TokenTime)))
}
