package catalog

import (
	"log/slog"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
)

// evacuations holds the zones with an evacuation order.
type evacuations struct {
	zones []model.Zone // sorted; nil until a source has stated them
	// unknown and total are the faults that were logged last: zones without targets,
	// and orders that leave no target.
	unknown []model.Zone
	total   bool
}

// set applies the zones that a source states, nil for none stated, and reports whether
// they changed.
func (e *evacuations) set(zones []model.Zone, log *slog.Logger) (changed bool) {
	if zones == nil {
		return false
	}
	if changed = !slices.Equal(e.zones, zones); changed {
		log.Info("evacuated zones changed", "zones", zones, "before", e.zones)
	}
	e.zones = zones
	return changed
}

// log logs the orders that are probably mistakes, once each: zones without targets, and
// orders that leave no target in use. The latter are obeyed too.
func (e *evacuations) log(log *slog.Logger, targets []ingress.Target) {
	left := map[model.Zone]bool{}
	for _, t := range targets {
		left[t.Zone] = true
	}
	var unknown []model.Zone
	for _, z := range e.zones {
		if !left[z] {
			unknown = append(unknown, z)
			if !slices.Contains(e.unknown, z) {
				log.Warn("evacuation order for a zone without targets", "zone", z)
			}
		}
		delete(left, z)
	}
	total := len(targets) > 0 && len(left) == 0
	if total && !e.total {
		log.Error("evacuation orders leave no target in use", "zones", e.zones)
	}
	e.unknown, e.total = unknown, total
}

// EvacuationsVersion returns a hash of a sorted list of zones.
func EvacuationsVersion(zones []model.Zone) uint64 {
	h := xxhash.New()
	for _, z := range zones {
		_, _ = h.WriteString(string(z))
		_, _ = h.Write([]byte{0}) // cannot be part of a key of the store
	}
	return h.Sum64()
}

// applyEvacuationsLocked wakes the hosts that wait for a change and returns the view
// with the present evacuation orders, or nil if they have not changed. The caller must
// hold mu.
func (s *Service) applyEvacuationsLocked(changed bool) *ingress.View {
	if !changed {
		return nil
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rebuildView()
}

// Evacuated returns the zones with an evacuation order as this host knows them. The
// list must not be changed.
func (s *Service) Evacuated() []model.Zone {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.zones
}
