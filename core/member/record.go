// Package member holds the membership record of the fleet, the rules by which
// it changes, shard ownership, and the right of a host to act.
package member

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"mimosarelay/core/model"
)

// Member is one host of the record.
type Member struct {
	Host          model.HostID
	Incarnation   model.Incarnation
	Zone          model.Zone
	CallerAddress string
	PeerAddress   string
	HasDisk       bool
	Leaving       bool
	// Keeper members own all shards while there is one that is not leaving.
	// Few owners write larger groups of records to the store.
	Keeper bool `json:",omitempty"`
}

// Past is an earlier epoch in which a host that has not heard of its removal
// may still collect quorum confirmations.
type Past struct {
	Epoch model.Epoch
	// Size is the number of members of that epoch.
	Size int
	// Alive lists those of its members that are not proven gone.
	Alive []model.Incarnation
}

// Record is the membership of one epoch.
type Record struct {
	Epoch   model.Epoch
	Members []Member // sorted by host
	Past    []Past   `json:",omitempty"`
}

// MaxPast bounds the earlier epochs in the record. The join of a further host
// waits until members have entered newer epochs, which keeps the record far
// below the value limit of the store at 340 hosts.
const MaxPast = 8

// Errors of changes to the record.
var (
	ErrNotMember  = errors.New("not a member")
	ErrPresent    = errors.New("already a member")
	ErrOccupied   = errors.New("host name is in use by another process")
	ErrNoMajority = errors.New("too few members would remain")
	ErrUnsettled  = errors.New("earlier epochs are not entered by all members yet")
)

// Decode reads a record as Encode wrote it.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("membership record: %w", err)
	}
	return r, nil
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Member returns the member of a host.
func (r Record) Member(host model.HostID) (Member, bool) {
	i := slices.IndexFunc(r.Members, func(m Member) bool { return m.Host == host })
	if i < 0 {
		return Member{}, false
	}
	return r.Members[i], true
}

// Has tells whether this process of a host is a member.
func (r Record) Has(host model.HostID, in model.Incarnation) bool {
	m, ok := r.Member(host)
	return ok && m.Incarnation == in
}

// ReplacedBy returns the members that a join of m proves gone: other processes at
// its peer address.
func (r Record) ReplacedBy(m Member) []Member {
	var out []Member
	for _, o := range r.Members {
		if o.PeerAddress == m.PeerAddress && o.Incarnation != m.Incarnation {
			out = append(out, o)
		}
	}
	return out
}

// Join adds m and removes the members it replaces.
func (r Record) Join(m Member) (Record, error) {
	if m.Host == "" || m.Incarnation == "" || m.PeerAddress == "" {
		return r, fmt.Errorf("join: host %q, incarnation %q and peer address %q must be set", m.Host, m.Incarnation, m.PeerAddress)
	}
	replaced := r.ReplacedBy(m)
	if o, ok := r.Member(m.Host); ok && !slices.Contains(replaced, o) {
		if o.Incarnation == m.Incarnation {
			return r, fmt.Errorf("join %q: %w", m.Host, ErrPresent)
		}
		return r, fmt.Errorf("join %q: member at %s: %w", m.Host, o.PeerAddress, ErrOccupied)
	}
	// A join that replaces a process that is gone must not wait: that process
	// never enters a newer epoch, and no other may do so for it.
	if len(r.Past) >= MaxPast && len(replaced) == 0 {
		return r, fmt.Errorf("join %q: epoch %d: %w", m.Host, r.Past[0].Epoch, ErrUnsettled)
	}
	next := r.next(replaced, replaced)
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return next, nil
}

// MarkLeaving takes the shards of a member away.
func (r Record) MarkLeaving(host model.HostID, in model.Incarnation) (Record, error) {
	if !r.Has(host, in) {
		return r, fmt.Errorf("mark %q leaving: %w", host, ErrNotMember)
	}
	next := r.next(nil, nil)
	for i := range next.Members {
		if next.Members[i].Host == host {
			next.Members[i].Leaving = true
		}
	}
	return next, nil
}

// RemoveGone removes a member whose process is proven gone. Its confirmations
// must have expired before the change is written.
func (r Record) RemoveGone(host model.HostID, in model.Incarnation) (Record, error) {
	m, ok := r.Member(host)
	if !ok || m.Incarnation != in {
		return r, fmt.Errorf("remove %q: %w", host, ErrNotMember)
	}
	return r.next([]Member{m}, []Member{m}), nil
}

// RemoveLapsed removes members whose lease was observed as lapsed. Of the present
// epoch and of each epoch in Past, the removed members that are not proven gone
// must not be a majority: otherwise they could confirm each other's right to act.
func (r Record) RemoveLapsed(hosts ...model.HostID) (Record, error) {
	var removed []Member
	for _, h := range hosts {
		m, ok := r.Member(h)
		if !ok {
			return r, fmt.Errorf("remove %q: %w", h, ErrNotMember)
		}
		removed = append(removed, m)
	}
	next := r.next(removed, nil)
	for _, p := range next.Past {
		if lost := p.lost(next.Members); lost > p.Size/2 {
			return r, fmt.Errorf("remove %v: %d of %d members of epoch %d would be lost: %w", hosts, lost, p.Size, p.Epoch, ErrNoMajority)
		}
	}
	return next, nil
}

// PrunePast drops the earlier epochs that no member can confirm any more, given
// the lowest epoch that all present members have entered.
func (r Record) PrunePast(entered model.Epoch) Record {
	var past []Past
	for _, p := range r.Past {
		if p.Epoch >= entered {
			past = append(past, p)
		}
	}
	r.Past = past
	return r
}

// lost counts the members of p that are neither in now nor proven gone.
func (p Past) lost(now []Member) int {
	n := len(p.Alive)
	for _, m := range now {
		if slices.Contains(p.Alive, m.Incarnation) {
			n--
		}
	}
	return n
}

// next returns the following epoch without the removed members. gone are those
// of them that are proven gone.
func (r Record) next(removed, gone []Member) Record {
	out := Record{Epoch: r.Epoch + 1}
	present := Past{Epoch: r.Epoch, Size: len(r.Members)}
	for _, m := range r.Members {
		present.Alive = append(present.Alive, m.Incarnation)
		if !slices.Contains(removed, m) {
			out.Members = append(out.Members, m)
		}
	}
	past := slices.Clone(r.Past)
	if last := len(past) - 1; last >= 0 && slices.Equal(past[last].Alive, present.Alive) && past[last].Size == present.Size {
		past[last].Epoch = r.Epoch // the same hosts confirm each other
	} else if present.Size > 0 {
		past = append(past, present)
	}
	for i := range past {
		past[i].Alive = slices.DeleteFunc(slices.Clone(past[i].Alive), func(in model.Incarnation) bool {
			return slices.ContainsFunc(gone, func(m Member) bool { return m.Incarnation == in })
		})
	}
	out.Past = slices.DeleteFunc(past, Past.powerless)
	return out
}

// powerless says that too few members of an earlier epoch can be left to
// confirm each other's right to act in it.
func (p Past) powerless() bool { return len(p.Alive) <= p.Size/2 }
