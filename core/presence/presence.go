// Package presence lists the entry hosts that live. Entry hosts hold no state
// that others depend on, so that a list without agreement is enough.
package presence

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// Host is one entry host as it described itself last.
type Host struct {
	Host          model.HostID
	CallerAddress string
	PeerAddress   string
	Leaving       bool
	// StoreAway says that the host does not reach the store.
	StoreAway bool
}

// Lifetime is how long a host counts as living after it was heard. It covers
// three messages, one every Interval.
const (
	Interval = 500 * time.Millisecond
	Lifetime = 3 * Interval
)

type entry struct {
	Host
	heard time.Time
}

// Registry holds the entry hosts that one keeper hears. The zero value is empty.
// It is not safe for concurrent use.
type Registry struct {
	hosts map[model.HostID]entry
}

// Update notes a message of a host and reports whether it says something new. A
// new process of a host replaces the one before.
func (r *Registry) Update(now time.Time, h Host) (changed bool) {
	if r.hosts == nil {
		r.hosts = map[model.HostID]entry{}
	}
	changed = r.hosts[h.Host].Host != h
	r.hosts[h.Host] = entry{Host: h, heard: now}
	return changed
}

// Live lists the hosts that were heard within Lifetime, sorted, and forgets the
// others.
func (r *Registry) Live(now time.Time) []Host {
	list := make([]Host, 0, len(r.hosts))
	for id, e := range r.hosts {
		if now.Sub(e.heard) >= Lifetime {
			delete(r.hosts, id)
			continue
		}
		list = append(list, e.Host)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// Version identifies the content of a list. It is never 0.
func Version(list []Host) uint64 {
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // strings and booleans always marshal
	}
	return max(1, xxhash.Sum64(data))
}

// Merge returns the hosts of all lists, sorted. A host counts as leaving if any
// list says so, because a host never returns from leaving.
func Merge(lists ...[]Host) []Host {
	byID := map[model.HostID]Host{}
	for _, list := range lists {
		for _, h := range list {
			known := byID[h.Host]
			h.Leaving = h.Leaving || known.Leaving && known.PeerAddress == h.PeerAddress
			byID[h.Host] = h
		}
	}
	out := make([]Host, 0, len(byID))
	for _, h := range byID {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
