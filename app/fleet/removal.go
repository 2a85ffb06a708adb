package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// silence is when this host first knew that a process had no lease in the store.
// Another attachment means that the process has had one since.
type silence struct {
	since       time.Time
	attachments int
}

// observeSilenceLocked records which processes have no lease: members whose lease is
// missing, and processes of open earlier epochs that are no members, which cannot
// attach a lease. It reads the record and the leases that one watch returned
// together. mu is held.
func (s *Service) observeSilenceLocked(now time.Time) {
	known := s.silent
	s.silent = map[model.Incarnation]silence{}
	observe := func(in model.Incarnation, attachments int) {
		o, ok := known[in]
		if !ok || o.attachments != attachments {
			o = silence{now, attachments}
		}
		s.silent[in] = o
	}
	for _, m := range s.latest.Members {
		if !s.holdsLeaseLocked(m) {
			observe(m.Incarnation, m.Attachments)
		}
	}
	for _, p := range s.latest.Past {
		for _, in := range p.Alive {
			isMember := slices.ContainsFunc(s.latest.Members, func(m member.Member) bool { return m.Incarnation == in })
			if !isMember {
				observe(in, removedAttachments)
			}
		}
	}
}

// removedAttachments stands for the attachments of a process that is no member.
const removedAttachments = -1

// silentFor returns for how long the processes that may act in an open epoch of r,
// which was just read from the store, are known to have had no lease.
func (s *Service) silentFor(r member.Record) map[model.Incarnation]time.Duration {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	durations := map[model.Incarnation]time.Duration{}
	for in, o := range s.silent {
		attachments := removedAttachments
		for _, m := range r.Members {
			if m.Incarnation == in {
				attachments = m.Attachments
			}
		}
		if o.attachments == attachments {
			durations[in] = now.Sub(o.since)
		}
	}
	return durations
}

// holdsLeaseLocked reports whether a member held its lease when the watch returned.
// mu is held.
func (s *Service) holdsLeaseLocked(m member.Member) bool {
	holder, ok := s.leases[m.Host]
	return ok && holder.mayBe(m)
}

// leaseHolder is the process that holds the lease of a host, as the value of the key
// Lease/<host> names it: its peer address. It is empty if a process of an earlier
// version holds the lease, which wrote its incarnation.
type leaseHolder string

// leaseValuePrefix tells an address in the value of a lease from an incarnation.
const leaseValuePrefix = "address="

func decodeLeaseHolder(value []byte) leaseHolder {
	address, ok := strings.CutPrefix(string(value), leaseValuePrefix)
	if !ok {
		return ""
	}
	return leaseHolder(address)
}

// mayBe reports whether a member may hold the lease: a process at another address is
// another machine with the same name.
func (h leaseHolder) mayBe(m member.Member) bool { return h == "" || string(h) == m.PeerAddress }

// removalCandidates returns the members whose lease has been missing long enough for
// this host to remove them. A host waits one turnDelay longer for each host with a
// lease whose id sorts before its own, up to maxTurns of them, so that usually only
// one host writes the change.
func (s *Service) removalCandidates() []member.Member {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.attached || s.leaveStarted || s.right.StoreAway() || !s.right.MayAct(now) {
		clear(s.missingSince)
		return nil
	}
	const turnDelay, maxTurns = 250 * time.Millisecond, 8
	rank := 0
	var candidates []member.Member
	for _, m := range s.record.Members {
		if s.holdsLeaseLocked(m) || m.Host == s.self.Host {
			delete(s.missingSince, m.Incarnation)
			if m.Host < s.self.Host {
				rank++
			}
			continue
		}
		if _, ok := s.missingSince[m.Incarnation]; !ok {
			s.missingSince[m.Incarnation] = now
		}
	}
	delay := time.Duration(min(rank, maxTurns)) * turnDelay
	for _, m := range s.record.Members {
		if first, ok := s.missingSince[m.Incarnation]; ok && now.Sub(first) >= s.options.MinLeaseMissing+delay && now.Sub(s.storeAwayAt) >= s.options.MinStoreReachable+delay {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// removeLapsed removes the members that removalCandidates returns. It does not try
// again if another host changed the record meanwhile.
func (s *Service) removeLapsed(ctx context.Context) error {
	lapsed := s.removalCandidates()
	if len(lapsed) == 0 {
		return nil
	}
	_, err := s.tryUpdateRecord(ctx, func(r member.Record) (member.Record, error) {
		return s.removeUnleased(ctx, r, lapsed)
	})
	if errors.Is(err, member.ErrNoMajority) {
		s.options.Scope.Counter("removals_refused").Inc(1)
		return err
	}
	if errors.Is(err, store.ErrConflict) || errors.Is(err, errNoRemoval) {
		return nil
	}
	return err
}

// errNoRemoval reports that the record stays as it is.
var errNoRemoval = errors.New("no host can be removed from the membership")

// removeUnleased removes the lapsed members that have no lease, as many as the
// majority rule allows. It reads the leases after the record, and joinFleet writes
// the record after it has acquired the lease. The write of the caller therefore
// conflicts if a host has acquired its lease again in between.
func (s *Service) removeUnleased(ctx context.Context, r member.Record, lapsed []member.Member) (member.Record, error) {
	next, removed := r, []model.HostID(nil)
	silent := s.silentFor(r)
	var refused error
	for _, m := range lapsed {
		if !r.Has(m.Host, m.Incarnation) {
			continue
		}
		held, err := s.leaseHeld(ctx, m)
		if err != nil {
			return r, err
		}
		if held {
			continue
		}
		reduced, err := r.RemoveSilent(silent, append(slices.Clone(removed), m.Host)...)
		if err != nil {
			refused = err
			continue
		}
		next, removed = reduced, append(removed, m.Host)
	}
	if len(removed) == 0 {
		return r, errors.Join(errNoRemoval, refused)
	}
	s.options.Log.Info("removing hosts whose lease lapsed", "host", s.options.Self.Host, "hosts", removed, "epoch", next.Epoch)
	return next, nil
}

// leaseHeld reports whether the store has a lease that a member may hold.
func (s *Service) leaseHeld(ctx context.Context, m member.Member) (bool, error) {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	e, err := s.options.Store.Get(ctx, s.leaseKey(m.Host))
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read lease of host %q: %w", m.Host, err)
	}
	return e.Holder != "" && decodeLeaseHolder(e.Value).mayBe(m), nil
}
