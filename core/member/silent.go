package member

import (
	"fmt"
	"slices"
	"time"

	"mimosarelay/core/model"
)

// SmallEpoch is the largest number of members of an epoch in which the right to act
// by confirmations is limited by Times.AwayLimit. With one or two members, the loss
// that a deployment tolerates can take all of them one after the other, or all but
// one while that one cannot remove the other. Larger epochs lose a majority only by
// more simultaneous losses than tolerated, and keep acting during a long outage of
// the store.
const SmallEpoch = 2

// isSmall reports whether the right by confirmations is limited in the epoch of r.
func (r Record) isSmall() bool { return len(r.Members) <= SmallEpoch }

// awayLimit returns the longest AwayLimit of the members, or 0 if the epoch is not
// small or a member has no limit.
func (r Record) awayLimit() time.Duration {
	if !r.isSmall() {
		return 0
	}
	var longest time.Duration
	for _, m := range r.Members {
		if m.AwayLimit <= 0 {
			return 0
		}
		longest = max(longest, m.AwayLimit)
	}
	return longest
}

// Attached returns the record after m, which is a member already, has acquired its
// lease again. It also states the AwayLimit of m anew, which processes of earlier
// versions drop when they write the record. The epoch stays.
func (r Record) Attached(m Member) (Record, error) {
	if !r.Has(m.Host, m.Incarnation) {
		return r, fmt.Errorf("attach %q: %w", m.Host, ErrNotMember)
	}
	r.Members = slices.Clone(r.Members)
	for i := range r.Members {
		if r.Members[i].Host == m.Host {
			r.Members[i].Attachments++
			r.Members[i].AwayLimit = m.AwayLimit
		}
	}
	return r, nil
}

// RemoveSilent returns the record of the next epoch without members whose leases
// were observed to have lapsed. Removed processes that are not proven gone must not
// be able to act by confirming each other. In each earlier epoch that is still open,
// and in the current one, this holds if they are no majority, or if the right of
// each of them has ended: the epoch has an AwayLimit, and the process has certainly
// not renewed a lease for as long. silent states how long the remover knows that of
// a process, by its own clock and from a lease that was missing in the store.
func (r Record) RemoveSilent(silent map[model.Incarnation]time.Duration, hosts ...model.HostID) (Record, error) {
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
		lost := p.lost(next.Members)
		if len(lost) > p.Size/2 && !p.rightsEnded(lost, silent) {
			return r, fmt.Errorf("remove %v: %d of %d members of epoch %d would be removed without proof that they are gone: %w", hosts, len(lost), p.Size, p.Epoch, ErrNoMajority)
		}
	}
	return next, nil
}

// Replace returns the record with m in place of a member of the same host name at
// another address, whose lease m has taken over. For silent, see RemoveSilent.
func (r Record) Replace(silent map[model.Incarnation]time.Duration, m Member) (Record, error) {
	without, err := r.RemoveSilent(silent, m.Host)
	if err != nil {
		return r, err
	}
	next, err := without.Join(m)
	if err != nil {
		return r, err
	}
	return next, nil
}

// rightsEnded reports whether no process of lost can act in epoch p any more.
func (p PastEpoch) rightsEnded(lost []model.Incarnation, silent map[model.Incarnation]time.Duration) bool {
	return p.AwayLimit > 0 && !slices.ContainsFunc(lost, func(in model.Incarnation) bool { return silent[in] < p.AwayLimit })
}

// lost returns the processes of p that are neither in members nor proven gone.
func (p PastEpoch) lost(members []Member) []model.Incarnation {
	var list []model.Incarnation
	for _, in := range p.Alive {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Incarnation == in }) {
			list = append(list, in)
		}
	}
	return list
}
