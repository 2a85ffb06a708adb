// Package discovery merges successive lists of targets, some of which are
// incomplete because entries lapsed while the store was away.
package discovery

import (
	"time"

	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
)

// ReturnTime is how long live targets may take to register again after the
// store has come back.
const GracePeriod = 2 * time.Second

// Targets holds the targets that are in use. The zero value has none.
type Targets struct {
	known map[model.TargetID]ingress.Target
	// back is when the store answered again after it had been away.
	back time.Time
	away bool
}

// Away notes that the store did not answer.
func (t *Targets) SetStoreUnavailable() { t.away = true }

// Update takes over a list that the store returned at now, and reports whether
// anything changed. A target that is missing within ReturnTime of the store's
// return is kept.
func (t *Targets) Update(now time.Time, list []ingress.Target) (changed bool) {
	if t.away {
		t.away, t.back = false, now
	}
	next := make(map[model.TargetID]ingress.Target, len(list))
	for _, x := range list {
		next[x.ID] = x
		changed = changed || t.known[x.ID] != x
	}
	settling := t.InGracePeriod(now)
	for id, x := range t.known {
		if _, ok := next[id]; ok {
			continue
		}
		if settling {
			next[id] = x
			continue
		}
		changed = true
	}
	t.known = next
	return changed
}

// Settling says that targets are kept which the store does not list, because it
// came back less than ReturnTime ago.
func (t *Targets) InGracePeriod(now time.Time) bool {
	return !t.back.IsZero() && now.Sub(t.back) < GracePeriod
}

// List returns the targets in use.
func (t *Targets) List() []ingress.Target {
	list := make([]ingress.Target, 0, len(t.known))
	for _, x := range t.known {
		list = append(list, x)
	}
	return list
}
