// Package discovery maintains the set of known targets from successive lists
// read from the store. A list may be incomplete after a store outage, during
// which the entries of live targets can expire.
package discovery

import (
	"time"

	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
)

// GracePeriod is how long live targets may take to register again after the
// store has recovered from an outage.
const GracePeriod = 2 * time.Second

// Targets holds the targets that are in use. The zero value has none.
type Targets struct {
	known map[model.TargetID]ingress.Target
	// recovered is when the store last answered again after an outage.
	recovered   time.Time
	unavailable bool
}

// SetStoreUnavailable records that the store did not answer. The next Update
// ends the outage and starts the grace period.
func (t *Targets) SetStoreUnavailable() { t.unavailable = true }

// Update applies a list that the store returned at now and reports whether the
// targets changed. Within GracePeriod of the store's recovery, targets that are
// missing from the list are kept.
func (t *Targets) Update(now time.Time, list []ingress.Target) (changed bool) {
	if t.unavailable {
		t.unavailable, t.recovered = false, now
	}
	next := make(map[model.TargetID]ingress.Target, len(list))
	for _, x := range list {
		next[x.ID] = x
		changed = changed || t.known[x.ID] != x
	}
	keepMissing := t.InGracePeriod(now)
	for id, x := range t.known {
		if _, ok := next[id]; ok {
			continue
		}
		if keepMissing {
			next[id] = x
			continue
		}
		changed = true
	}
	t.known = next
	return changed
}

// InGracePeriod reports whether the store recovered less than GracePeriod ago,
// so that targets which it does not list are kept.
func (t *Targets) InGracePeriod(now time.Time) bool {
	return !t.recovered.IsZero() && now.Sub(t.recovered) < GracePeriod
}

// List returns the targets in use, in no particular order.
func (t *Targets) List() []ingress.Target {
	list := make([]ingress.Target, 0, len(t.known))
	for _, x := range t.known {
		list = append(list, x)
	}
	return list
}
