// Package member implements the membership record of the fleet, the rules for its
// changes, shard ownership, and the right of a host to act for the fleet.
package member

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"mimosarelay/core/model"
)

// Member is one host in the membership record, with the process that runs on it.
type Member struct {
	Host          model.HostID
	Incarnation   model.Incarnation
	Zone          model.Zone
	CallerAddress string
	PeerAddress   string
	HasDisk       bool
	Leaving       bool
	// Keeper is set for members that own all shards while one of them is not
	// leaving. Fewer owners write records to the store in larger groups.
	Keeper bool `json:",omitempty"`
	// AwayLimit is Times.AwayLimit of the process, 0 for none.
	AwayLimit time.Duration `json:",omitempty"`
	// Attachments counts how often the process has acquired its lease again while it
	// was a member.
	Attachments int `json:",omitempty"`
}

// PastEpoch is an earlier epoch in which a host that does not know of its
// removal may still collect confirmations from a quorum.
type PastEpoch struct {
	Epoch model.Epoch
	// Size is the number of members of that epoch.
	Size int
	// Alive lists the members of that epoch whose processes are not proven gone.
	Alive []model.Incarnation
	// AwayLimit is the longest Times.AwayLimit of its members if the epoch is small
	// and all of them have one, else 0.
	AwayLimit time.Duration `json:",omitempty"`
}

// Record is the membership of one epoch.
type Record struct {
	Epoch   model.Epoch
	Members []Member    // sorted by host
	Past    []PastEpoch `json:",omitempty"`
}

// MaxPast bounds the number of earlier epochs in the record. At the bound, a
// further host can join only after all members have entered newer epochs. With 340
// hosts, this keeps the record far below the value limit of the store.
const MaxPast = 8

// Sentinel errors of changes to the record, tested with errors.Is.
var (
	ErrNotMember        = errors.New("host or incarnation is not a member")
	ErrAlreadyMember    = errors.New("already a member")
	ErrHostNameInUse    = errors.New("host name is in use by another process")
	ErrNoMajority       = errors.New("removed members could still form a majority")
	ErrEpochsNotEntered = errors.New("not all members have entered the newer epochs yet")
)

// Decode parses a record that Encode returned.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode membership record: %w", err)
	}
	return r, nil
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Member returns the member with the given host name.
func (r Record) Member(host model.HostID) (Member, bool) {
	i := slices.IndexFunc(r.Members, func(m Member) bool { return m.Host == host })
	if i < 0 {
		return Member{}, false
	}
	return r.Members[i], true
}

// Has reports whether the given incarnation of a host is a member.
func (r Record) Has(host model.HostID, incarnation model.Incarnation) bool {
	m, ok := r.Member(host)
	return ok && m.Incarnation == incarnation
}

// ReplacedBy returns the members that a join of m proves gone: other processes that
// used its peer address.
func (r Record) ReplacedBy(m Member) []Member {
	var replaced []Member
	for _, o := range r.Members {
		if o.PeerAddress == m.PeerAddress && o.Incarnation != m.Incarnation {
			replaced = append(replaced, o)
		}
	}
	return replaced
}

// Join returns the record of the next epoch with m added and the members that it
// replaces removed.
func (r Record) Join(m Member) (Record, error) {
	if m.Host == "" || m.Incarnation == "" || m.PeerAddress == "" {
		return r, fmt.Errorf("join: host %q, incarnation %q and peer address %q must be set", m.Host, m.Incarnation, m.PeerAddress)
	}
	replaced := r.ReplacedBy(m)
	if o, ok := r.Member(m.Host); ok && !slices.Contains(replaced, o) {
		if o.Incarnation == m.Incarnation {
			return r, fmt.Errorf("join %q: %w", m.Host, ErrAlreadyMember)
		}
		return r, fmt.Errorf("join %q at %s: member at %s: %w", m.Host, m.PeerAddress, o.PeerAddress, ErrHostNameInUse)
	}
	// A join that replaces a dead process must not wait at the bound: the dead
	// process never enters a newer epoch, and no other process does so for it.
	if len(r.Past) >= MaxPast && len(replaced) == 0 {
		return r, fmt.Errorf("join %q: epoch %d is still open: %w", m.Host, r.Past[0].Epoch, ErrEpochsNotEntered)
	}
	next := r.next(replaced, replaced)
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return next, nil
}

// MarkLeaving returns the record of the next epoch, in which the member is leaving
// and owns no shards.
func (r Record) MarkLeaving(host model.HostID, incarnation model.Incarnation) (Record, error) {
	if !r.Has(host, incarnation) {
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

// RemoveGone returns the record of the next epoch without a member whose process is
// proven gone. Confirmations that this process gave must have expired before the
// record is written.
func (r Record) RemoveGone(host model.HostID, incarnation model.Incarnation) (Record, error) {
	m, ok := r.Member(host)
	if !ok || m.Incarnation != incarnation {
		return r, fmt.Errorf("remove %q: %w", host, ErrNotMember)
	}
	return r.next([]Member{m}, []Member{m}), nil
}

// RemoveLapsed returns the record of the next epoch without members whose leases
// were observed to have lapsed. See RemoveSilent, which it calls without evidence
// about the time.
func (r Record) RemoveLapsed(hosts ...model.HostID) (Record, error) {
	return r.RemoveSilent(nil, hosts...)
}

// PrunePast returns the record without the earlier epochs that no member confirms
// any more, given the lowest epoch that the current members have entered.
func (r Record) PrunePast(entered model.Epoch) Record {
	var past []PastEpoch
	for _, p := range r.Past {
		if p.Epoch >= entered {
			past = append(past, p)
		}
	}
	r.Past = past
	return r
}

// next returns the record of the following epoch without the removed members. gone
// are those of them whose processes are proven gone.
func (r Record) next(removed, gone []Member) Record {
	out := Record{Epoch: r.Epoch + 1}
	current := PastEpoch{Epoch: r.Epoch, Size: len(r.Members), AwayLimit: r.awayLimit()}
	for _, m := range r.Members {
		current.Alive = append(current.Alive, m.Incarnation)
		if !slices.Contains(removed, m) {
			out.Members = append(out.Members, m)
		}
	}
	past := slices.Clone(r.Past)
	if last := len(past) - 1; last >= 0 && slices.Equal(past[last].Alive, current.Alive) && past[last].Size == current.Size && past[last].AwayLimit == current.AwayLimit {
		past[last].Epoch = r.Epoch // the same processes can confirm each other
	} else if current.Size > 0 {
		past = append(past, current)
	}
	for i := range past {
		past[i].Alive = slices.DeleteFunc(slices.Clone(past[i].Alive), func(in model.Incarnation) bool {
			return slices.ContainsFunc(gone, func(m Member) bool { return m.Incarnation == in })
		})
	}
	out.Past = slices.DeleteFunc(past, PastEpoch.cannotConfirm)
	return out
}

// cannotConfirm reports whether too few members of p can still be alive to confirm
// each other's right to act in that epoch.
func (p PastEpoch) cannotConfirm() bool { return len(p.Alive) <= p.Size/2 }
