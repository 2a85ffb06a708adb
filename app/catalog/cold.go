package catalog

import (
	"slices"
	"time"

	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// takeColdLocked stores until when the targets of a list that was read now are cold,
// and returns the list without it: the time left changes with each read, and the list
// of targets must not. The caller must hold mu.
func (s *Service) takeColdLocked(list []ingress.Target) []ingress.Target {
	now := s.options.Clock.Now()
	s.coldUntil = map[model.TargetID]time.Time{}
	list = slices.Clone(list)
	for i, t := range list {
		if t.ColdFor > 0 {
			s.coldUntil[t.ID] = now.Add(t.ColdFor)
			list[i].ColdFor = 0
		}
	}
	return list
}

// coldTargetsLocked returns how long targets stay cold from now on. The caller must hold
// mu.
func (s *Service) coldTargetsLocked() []*peerpb.ColdTarget {
	now := s.options.Clock.Now()
	var list []*peerpb.ColdTarget
	for id, until := range s.coldUntil {
		if left := until.Sub(now); left > 0 {
			list = append(list, &peerpb.ColdTarget{Id: string(id), ColdForUs: left.Microseconds()})
		}
	}
	return list
}
