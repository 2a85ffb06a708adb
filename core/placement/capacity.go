package placement

import (
	"slices"

	"mimosarelay/core/model"
)

// InFlight returns the number of calls from this host in flight at a target.
func (s *Scheduler) InFlight(id model.TargetID) int {
	if t := s.targets[id]; t != nil {
		return len(t.inFlight)
	}
	return 0
}

// Awaited reports whether a waiting call may use the target.
func (s *Scheduler) Awaited(id model.TargetID) bool {
	t := s.targets[id]
	if t == nil {
		return false
	}
	for _, c := range t.classes {
		if len(c.queues) > 0 {
			return true
		}
	}
	return false
}

// Capacity is the capacity of the targets that a request may use.
type Capacity struct {
	Targets int // targets that serve the call and are not skipped
	Places  int // places of this host at these targets
	Taken   int // places that are taken by running calls
	Waiting int // calls that wait for these targets
}

// Capacity returns the capacity of the targets that a request may use.
func (s *Scheduler) Capacity(r Request) Capacity {
	var capacity Capacity
	c := s.classes[newClassKey(&r)]
	if c == nil {
		return capacity
	}
	for _, t := range c.targets {
		if t.Skip {
			continue
		}
		capacity.Targets++
		capacity.Places += t.Limit
		capacity.Taken += len(t.inFlight)
	}
	for _, q := range c.queues {
		capacity.Waiting += q.waiting
	}
	return capacity
}

// Starved returns the targets at which this host needs a place: those with limit
// 0 that a waiting call may use, if all other targets that it may use have limit 0
// too or are skipped. They are sorted.
func (s *Scheduler) Starved() []model.TargetID {
	var list []model.TargetID
	for _, c := range s.classes {
		if len(c.queues) == 0 || !c.blocked() {
			continue
		}
		for _, t := range c.targets {
			if t.Limit <= 0 {
				list = append(list, t.ID)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
