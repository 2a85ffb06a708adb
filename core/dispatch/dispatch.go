// Package dispatch decides whether and where a request is sent once more after
// a failed attempt.
package dispatch

import (
	"slices"

	"mimosarelay/core/model"
)

// Outcome is the end of one attempt: Unsent, NotRun or Lost.
type Outcome interface{ isOutcome() }

// Unsent is an attempt of which no byte left this host.
type Unsent struct{}

// NotRun is an attempt that the target refused without running the request.
type NotRun struct{}

// Lost is an attempt that may have run and has no whole answer.
type Lost struct {
	// Gone says that the target does not accept connections any more.
	Gone bool
}

func (Unsent) isOutcome() {}
func (NotRun) isOutcome() {}
func (Lost) isOutcome()   {}

// Next is what to do after an attempt: Elsewhere, Again or GiveUp.
type Next interface{ isNext() }

// Elsewhere tries another target.
type Elsewhere struct{}

// Again tries the same target.
type Again struct{}

// GiveUp answers the caller.
type GiveUp struct{}

func (Elsewhere) isNext() {}
func (Again) isNext()     {}
func (GiveUp) isNext()    {}

// maxSends bounds the attempts of one request, of which most fail without
// running it.
const maxSends = 4

// Attempts is the history of one request. The zero value has none.
type Attempts struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// MaxTargets is the number of targets on which the request may run.
	MaxTargets int

	sends   int
	ran     []model.TargetID // targets that may have run it and still exist
	Exclude []model.TargetID // targets that are not tried again
	unknown bool
}

// Ran says whether the request may have run.
func (a *Attempts) Ran() model.Ran {
	if a.unknown {
		return model.RanUnknown
	}
	return model.RanNo
}

// Count returns the number of attempts.
func (a *Attempts) Count() int { return a.sends }

// RecordOutcome records the end of an attempt at a target and returns what to do next.
func (a *Attempts) RecordOutcome(t model.TargetID, o Outcome) Next {
	a.sends++
	switch o := o.(type) {
	case Unsent, NotRun:
		a.exclude(t)
		return a.elsewhere()
	case Lost:
		a.unknown = true
		if !a.Repeatable {
			return GiveUp{}
		}
		return a.afterLoss(t, o.Gone)
	}
	return GiveUp{}
}

func (a *Attempts) afterLoss(t model.TargetID, gone bool) Next {
	if gone {
		a.exclude(t)
		a.ran = slices.DeleteFunc(a.ran, func(id model.TargetID) bool { return id == t })
		return a.elsewhere()
	}
	if !slices.Contains(a.ran, t) {
		a.ran = append(a.ran, t)
	}
	if len(a.ran) < a.MaxTargets {
		a.exclude(t)
		return a.elsewhere()
	}
	if a.sends >= maxSends {
		return GiveUp{}
	}
	return Again{}
}

func (a *Attempts) elsewhere() Next {
	if a.sends >= maxSends || len(a.ran) > 0 && len(a.ran) >= a.MaxTargets {
		return GiveUp{}
	}
	return Elsewhere{}
}

func (a *Attempts) exclude(t model.TargetID) {
	if !slices.Contains(a.Exclude, t) {
		a.Exclude = append(a.Exclude, t)
	}
}
