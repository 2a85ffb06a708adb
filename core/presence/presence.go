// Package presence lists the live entry hosts. No other host depends on state of
// an entry host, so that keepers need not agree on the list.
package presence

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// Host is an entry host as described by its latest message.
type Host struct {
	Host          model.HostID
	CallerAddress string
	PeerAddress   string
	Leaving       bool
	// StoreAway says that the host cannot reach the store.
	StoreAway bool
}

const (
	// Interval is the time between two messages of an entry host to a keeper.
	Interval = 500 * time.Millisecond
	// Lifetime is how long a host stays listed after its latest message. It
	// covers three messages.
	Lifetime = 3 * Interval
)

type entry struct {
	Host
	lastUpdate time.Time
}

// Registry holds the entry hosts that send messages to one keeper. The zero
// value is empty. It is not safe for concurrent use.
type Registry struct {
	hosts map[model.HostID]entry
}

// Update records a message of a host and reports whether the host is new or has
// changed. A new process of a host replaces the previous one.
func (r *Registry) Update(now time.Time, h Host) (changed bool) {
	if r.hosts == nil {
		r.hosts = map[model.HostID]entry{}
	}
	changed = r.hosts[h.Host].Host != h
	r.hosts[h.Host] = entry{Host: h, lastUpdate: now}
	return changed
}

// Live returns the hosts whose latest message is younger than Lifetime, sorted by
// id, and removes the others.
func (r *Registry) Live(now time.Time) []Host {
	list := make([]Host, 0, len(r.hosts))
	for id, e := range r.hosts {
		if now.Sub(e.lastUpdate) >= Lifetime {
			delete(r.hosts, id)
			continue
		}
		list = append(list, e.Host)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// Version returns a hash of the content of a list. It is never 0.
func Version(list []Host) uint64 {
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // strings and booleans always marshal
	}
	return max(1, xxhash.Sum64(data))
}

// Merge returns the hosts of all lists, sorted by id. The last list that
// holds a host decides on its fields, but the host is leaving if an earlier list
// says so with the same peer address, because a host that has started to leave
// never stops leaving.
func Merge(lists ...[]Host) []Host {
	byID := map[model.HostID]Host{}
	for _, list := range lists {
		for _, h := range list {
			previous := byID[h.Host]
			h.Leaving = h.Leaving || previous.Leaving && previous.PeerAddress == h.PeerAddress
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
