package placement

import (
	"time"

	"mimosarelay/core/model"
)

// program is what a scheduler remembers of a program between its calls.
type program struct {
	attained float64       // in prompt tokens
	active   int           // waiting and running calls
	ended    time.Time     // last call to an engine
	messages int           // of the last prompt that ran; 0: none
	pause    time.Duration // moving average; 0: none seen
	held     *target       // nil: not held
	holdEnds time.Time
	tokens   model.Tokens // size of the held prefix
	listed   bool         // in Scheduler.holds
}

// forgetProgram is the idle time after which a program is forgotten.
const forgetProgram = time.Hour

// pauseWeight is the weight of the last pause in the moving average.
const pauseWeight = 0.3

// resume ends the pause of a program whose next call arrives.
func (p *program) resume(now time.Time) {
	if p.active > 0 || p.ended.IsZero() {
		return
	}
	pause := now.Sub(p.ended)
	if p.pause == 0 {
		p.pause = pause
		return
	}
	p.pause += time.Duration(pauseWeight * float64(pause-p.pause))
}

func (p *program) unhold() {
	if p.held != nil {
		p.held.held--
		p.held = nil
	}
}

// hold keeps a program at its target if the expected pause is worth it. A
// program without a known pause is held for as long as it could be worth.
func (s *Scheduler) hold(p *program, t *target, prompt model.Tokens, now time.Time) {
	h, ok := s.options.Retention.(HoldThroughPause)
	if !ok {
		return
	}
	worth := time.Duration(h.PauseFactor * float64(prompt) * float64(h.TokenTime))
	if worth <= 0 || p.pause > worth {
		return
	}
	p.unhold()
	p.held, p.tokens = t, prompt
	t.held++
	p.holdEnds = now.Add(worth)
	if !p.listed {
		p.listed = true
		s.holds = append(s.holds, p)
	}
}

// endHolds releases the programs whose pause lasts too long.
func (s *Scheduler) endHolds(now time.Time) {
	kept := s.holds[:0]
	for _, p := range s.holds {
		if p.held != nil && !now.Before(p.holdEnds) {
			p.unhold()
		}
		p.listed = p.held != nil
		if p.listed {
			kept = append(kept, p)
		}
	}
	clear(s.holds[len(kept):])
	s.holds = kept
}

// heldLoad is the load that the programs held at t add for a call.
func (s *Scheduler) heldLoad(t *target) float64 {
	h, ok := s.options.Retention.(HoldThroughPause)
	if !ok {
		return 0
	}
	return h.HeldLoad * float64(t.held)
}

// pin returns the target that a call of a held program waits for, and until
// when.
func (s *Scheduler) pin(p *program, c *class, now time.Time) (*target, time.Time) {
	h, ok := s.options.Retention.(HoldThroughPause)
	if !ok || p == nil || p.held == nil || !now.Before(p.holdEnds) {
		return nil, time.Time{}
	}
	t := p.held
	if t.Skip || t.Limit == 0 || !c.serves(t) {
		return nil, time.Time{}
	}
	return t, now.Add(time.Duration(h.WaitFactor * float64(p.tokens) * float64(h.TokenTime)))
}
