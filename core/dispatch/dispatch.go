// Package dispatch decides whether a request is retried after a failed attempt,
// and at which target.
package dispatch

import (
	"slices"

	"mimosarelay/core/model"
)

// Outcome is how one attempt failed: Unsent, NotRun or Lost.
type Outcome interface{ isOutcome() }

// Unsent is an attempt of which no byte was sent.
type Unsent struct{}

// NotRun is an attempt that the target rejected without running the request.
type NotRun struct{}

// Lost is an attempt that the target may have run and whose answer did not
// arrive completely.
type Lost struct {
	// Gone says that the target no longer accepts connections.
	Gone bool
}

func (Unsent) isOutcome() {}
func (NotRun) isOutcome() {}
func (Lost) isOutcome()   {}

// Next is the step after a failed attempt: Elsewhere, Again or GiveUp.
type Next interface{ isNext() }

// Elsewhere retries at another target.
type Elsewhere struct{}

// Again retries at the same target.
type Again struct{}

// GiveUp makes no further attempt and reports the failure to the caller.
type GiveUp struct{}

func (Elsewhere) isNext() {}
func (Again) isNext()     {}
func (GiveUp) isNext()    {}

// maxAttempts limits the attempts of one request. Most attempts that fail do not
// run the request, so that MaxTargets does not limit them.
const maxAttempts = 4

// Attempts records the failed attempts of one request. The zero value has none.
type Attempts struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// MaxTargets is the number of targets on which the request may run. Targets
	// that are gone do not count.
	MaxTargets int

	count      int
	runTargets []model.TargetID // targets that may have run the request and are not gone
	Exclude    []model.TargetID // targets that are not tried again
	mayHaveRun bool
}

// Ran returns RanUnknown if the request may have run, else RanNo.
func (a *Attempts) Ran() model.Ran {
	if a.mayHaveRun {
		return model.RanUnknown
	}
	return model.RanNo
}

// Count returns the number of failed attempts.
func (a *Attempts) Count() int { return a.count }

// RecordOutcome records a failed attempt at a target and returns the next step.
func (a *Attempts) RecordOutcome(t model.TargetID, o Outcome) Next {
	a.count++
	switch o := o.(type) {
	case Unsent, NotRun:
		a.exclude(t)
		return a.tryElsewhere()
	case Lost:
		a.mayHaveRun = true
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
		a.runTargets = slices.DeleteFunc(a.runTargets, func(id model.TargetID) bool { return id == t })
		return a.tryElsewhere()
	}
	if !slices.Contains(a.runTargets, t) {
		a.runTargets = append(a.runTargets, t)
	}
	if len(a.runTargets) < a.MaxTargets {
		a.exclude(t)
		return a.tryElsewhere()
	}
	if a.count >= maxAttempts {
		return GiveUp{}
	}
	return Again{}
}

func (a *Attempts) tryElsewhere() Next {
	if a.count >= maxAttempts || len(a.runTargets) > 0 && len(a.runTargets) >= a.MaxTargets {
		return GiveUp{}
	}
	return Elsewhere{}
}

func (a *Attempts) exclude(t model.TargetID) {
	if !slices.Contains(a.Exclude, t) {
		a.Exclude = append(a.Exclude, t)
	}
}
