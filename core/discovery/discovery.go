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

// maxUnlistedDeparture is how long a departure is kept while its target is not listed.
const maxUnlistedDeparture = 10 * time.Minute

// Targets holds the targets that are in use. The zero value has none.
type Targets struct {
	known map[model.TargetID]ingress.Target
	// departures holds the targets that said in a response that they are leaving,
	// which the list may say later or never.
	departures map[model.TargetID]departure
	// recovered is when the store last answered again after an outage.
	recovered   time.Time
	unavailable bool
	// keepsUnlisted is set if the last Update kept targets that were not listed.
	keepsUnlisted bool
}

// departure belongs to one start of a target.
type departure struct {
	startedAt ingress.UnixMilliseconds
	listedAt  time.Time // when the target was last listed
}

// MarkLeaving records that a target said in a response that it is leaving, and
// reports whether that changed the targets. It lasts until the target starts again.
func (t *Targets) MarkLeaving(now time.Time, id model.TargetID) (changed bool) {
	x, ok := t.known[id]
	if !ok || x.Leaving {
		return false
	}
	if t.departures == nil {
		t.departures = map[model.TargetID]departure{}
	}
	t.departures[id] = departure{startedAt: x.StartedAt, listedAt: now}
	x.Leaving = true
	t.known[id] = x
	return true
}

// updateDepartures removes the departures of targets that are listed with another
// start, or that were not listed and have no known start.
func (t *Targets) updateDepartures(now time.Time, list []ingress.Target) {
	listed := make(map[model.TargetID]ingress.Target, len(list))
	for _, x := range list {
		listed[x.ID] = x
	}
	for id, d := range t.departures {
		x, ok := listed[id]
		switch {
		case ok && x.StartedAt == d.startedAt:
			d.listedAt = now
			t.departures[id] = d
		case ok || d.startedAt == 0 || now.Sub(d.listedAt) >= maxUnlistedDeparture:
			delete(t.departures, id)
		}
	}
}

// SetStoreUnavailable records that the store did not answer. The next Update
// ends the outage and starts the grace period. Before the first Update it has no
// effect, because there are no targets to keep.
func (t *Targets) SetStoreUnavailable() { t.unavailable = t.known != nil }

// Update applies a list that the store returned at now and reports whether the
// targets changed. Within GracePeriod of the store's recovery, targets that are
// missing from the list are kept.
func (t *Targets) Update(now time.Time, list []ingress.Target) (changed bool) {
	if t.unavailable {
		t.unavailable, t.recovered = false, now
	}
	t.updateDepartures(now, list)
	next := make(map[model.TargetID]ingress.Target, len(list))
	for _, x := range list {
		if _, leaving := t.departures[x.ID]; leaving {
			x.Leaving = true
		}
		next[x.ID] = x
		changed = changed || t.known[x.ID] != x
	}
	keepMissing := t.InGracePeriod(now)
	t.keepsUnlisted = false
	for id, x := range t.known {
		if _, ok := next[id]; ok {
			continue
		}
		if keepMissing {
			next[id] = x
			t.keepsUnlisted = true
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

// KeepsUnlisted reports whether some targets are in use only because of the grace
// period. It stays true after the grace period until the next Update.
func (t *Targets) KeepsUnlisted() bool { return t.keepsUnlisted }

// List returns the targets in use, in no particular order.
func (t *Targets) List() []ingress.Target {
	list := make([]ingress.Target, 0, len(t.known))
	for _, x := range t.known {
		list = append(list, x)
	}
	return list
}
