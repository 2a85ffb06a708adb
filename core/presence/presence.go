// Package presence lists the live entry hosts. No other host depends on state of
// an entry host, so that keepers need not agree on the list.
package presence

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/evidence"
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

// List is a list of hosts, as a keeper has told it.
type List struct {
	Hosts []Host
	// Told is the evidence for the list: when the keeper was asked.
	Told evidence.Stamp
}

// Merge returns the hosts of all lists that are not older than accepted, sorted by id,
// and reports whether there is such a list. A keeper that is cut off from the host that
// merges would name lost hosts otherwise. The last list that holds a host decides on
// its fields, but the host is leaving if an earlier list says so with the same peer
// address, because a host that has started to leave never stops leaving.
func Merge(accepted evidence.MaxAge, lists ...List) (hosts []Host, ok bool) {
	byID := map[model.HostID]Host{}
	for _, list := range lists {
		if !list.Told.Within(accepted) {
			continue
		}
		ok = true
		for _, h := range list.Hosts {
			previous := byID[h.Host]
			h.Leaving = h.Leaving || previous.Leaving && previous.PeerAddress == h.PeerAddress
			byID[h.Host] = h
		}
	}
	hosts = make([]Host, 0, len(byID))
	for _, h := range byID {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Host, b.Host) })
	return hosts, ok
}
