package placement

import (
	"slices"
	"time"

	"mimosarelay/core/model"
)

// AddProbe queues a call for one target that is skipped, and runs it there at once if
// the target has a place. It returns the calls that are granted, and whether the call is
// among them; otherwise the call is not queued.
func (s *Scheduler) AddProbe(now time.Time, id CallID, r Request, probed model.TargetID) ([]Grant, bool) {
	t := s.targets[probed]
	if t == nil || len(t.inFlight) >= t.Limit {
		return nil, false
	}
	// Only the class of this target gets a grant while it is not skipped.
	skip := t.Skip
	t.Skip = false
	t.refresh()
	r.Model, r.Exclude, r.Candidates = "", nil, []model.TargetID{probed}
	grants, err := s.Add(now, id, r)
	t.Skip = skip
	t.refresh()
	if err != nil {
		return grants, false
	}
	return grants, !s.Cancel(id)
}

// HasFree reports whether a target with a free place serves the model of a call, apart
// from the excluded ones.
func (s *Scheduler) HasFree(r Request, exclude []model.TargetID) bool {
	for _, t := range s.sortedTargets {
		if t.hasCapacity() && slices.Contains(t.Models, r.Model) && !slices.Contains(exclude, t.ID) {
			return true
		}
	}
	return false
}
