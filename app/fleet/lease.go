package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/app/wait"
	"mimosarelay/core/member"
	"mimosarelay/core/store"
)

// conflictRetryInterval is the time between two attempts to acquire the lease of
// this host while its previous process still holds it or while it is just lapsing.
const conflictRetryInterval = 100 * time.Millisecond

// runLease keeps the lease of this host valid and the host a member of the fleet.
func (s *Service) runLease(ctx context.Context) {
	s.runPeriodically(ctx, s.options.RenewInterval, s.wakeLease, func(ctx context.Context) {
		err := s.maintainLease(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		s.options.Scope.Counter("lease_failures").Inc(1)
		s.options.Log.Warn("failed to keep the lease and the membership of the host", "host", s.options.Self.Host, "error", err)
		if errors.Is(err, store.ErrConflict) {
			wait.For(ctx, s.options.Clock, conflictRetryInterval)
			wake(s.wakeLease)
		}
	})
}

// maintainLease renews the lease, acquires it if there is none, and joins the fleet
// if the host is not attached.
func (s *Service) maintainLease(ctx context.Context) error {
	s.mu.Lock()
	lease, stopped := s.lease, s.leaveStarted
	s.mu.Unlock()
	if stopped {
		return nil
	}
	if stays, err := s.waitAsStandby(ctx); stays || err != nil {
		return err
	}
	if lease != "" {
		err := s.renewLease(ctx, lease)
		if err != nil && !errors.Is(err, store.ErrLeaseLapsed) {
			return err
		}
	}
	s.mu.Lock()
	lease, attached := s.lease, s.attached && s.limitStatedLocked()
	s.mu.Unlock()
	if lease == "" {
		if err := s.acquireLease(ctx); err != nil {
			return err
		}
	}
	if attached {
		return nil
	}
	err := s.joinFleet(ctx)
	switch {
	case errors.Is(err, errNotNeeded):
		s.returnToStandby(ctx)
		return nil
	case err == nil && s.wasJoined():
		s.joinOnce.Do(func() { close(s.joined) })
		s.releaseStandby(ctx)
	}
	return err
}

// limitStatedLocked reports whether the membership record states the AwayLimit of
// this host, as far as it is known. A process of an earlier version that writes the
// record drops it. mu is held.
func (s *Service) limitStatedLocked() bool {
	m, ok := s.latest.Member(s.self.Host)
	return !ok || m.Incarnation != s.self.Incarnation || m.AwayLimit == s.self.AwayLimit
}

// renewLease renews the lease and records the result. A lapsed lease is dropped.
func (s *Service) renewLease(ctx context.Context, lease store.LeaseID) error {
	sent := s.options.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.RenewTimeout)
	defer cancel()
	err := s.options.Store.Renew(ctx, lease)
	s.recordStoreResult(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.renewedAt = sent
		if s.attached {
			s.right.Renewed(sent)
		}
	case errors.Is(err, store.ErrLeaseLapsed):
		s.lease, s.attached = "", false
		s.right.LeaseLost()
	}
	return err
}

// acquireLease acquires the lease of this host in the store.
func (s *Service) acquireLease(ctx context.Context) error {
	sent := s.options.Clock.Now()
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	self := s.Self()
	id, err := s.options.Store.Hold(ctx, s.leaseKey(self.Host), []byte(leaseValuePrefix+self.PeerAddress), s.options.LeaseTTL)
	s.recordStoreResult(err)
	if err != nil {
		return fmt.Errorf("acquire lease of host %q: %w", self.Host, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.renewedAt = id, sent
	return nil
}

// joinFleet makes this host a member after it has acquired its lease. It writes the
// membership record even if the host is already in it. Another host may have read
// the record earlier and then seen no lease; its write, which would remove this
// host, then fails with a conflict.
func (s *Service) joinFleet(ctx context.Context) error {
	s.mu.Lock()
	if s.removedLocked() {
		s.resetIncarnationLocked()
	}
	self, joinedBefore := s.self, s.joinEpoch > 0
	s.mu.Unlock()
	var before *member.Record // the record that this host joined
	record, err := s.updateRecord(ctx, func(r member.Record) (member.Record, error) {
		switch {
		case r.Has(self.Host, self.Incarnation):
			return r.Attached(self)
		case joinedBefore || s.joinOutcomeUnknown():
			return r, errIncarnationRemoved
		case !s.joinsFleetOf(r):
			return r, errNotNeeded
		}
		before = &r
		next, err := r.Join(self)
		if errors.Is(err, member.ErrHostNameInUse) {
			return s.replaceMember(ctx, r, self)
		}
		return next, err
	})
	s.recordStoreResult(err)
	if errors.Is(err, errIncarnationRemoved) {
		// An incarnation never joins twice, because the shares and shards that it
		// held may have been granted to other hosts.
		s.mu.Lock()
		s.resetIncarnationLocked()
		s.mu.Unlock()
		wake(s.wakeLease)
		return nil
	}
	if err != nil {
		return fmt.Errorf("join the fleet as host %q: %w", self.Host, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !joinedBefore {
		s.joinEpoch, s.everJoined = record.Epoch, true
		if before != nil {
			s.right.Joined(*before, record.Epoch)
		}
	}
	s.attached = true
	s.right.Renewed(s.renewedAt)
	return nil
}

// replaceMember returns the record in which this host takes the place of a member of
// the same name at another address. That member is gone or cut off: this host has
// acquired the lease of the name. The lease is read after the record, as in
// removeUnleased, because the member may have acquired it again.
func (s *Service) replaceMember(ctx context.Context, r member.Record, self member.Member) (member.Record, error) {
	old, _ := r.Member(self.Host)
	held, err := s.leaseHeld(ctx, old)
	if err != nil {
		return r, err
	}
	if held {
		return r, fmt.Errorf("member at %s holds its lease: %w", old.PeerAddress, member.ErrHostNameInUse)
	}
	next, err := r.Replace(s.silentFor(r), self)
	if err == nil {
		s.options.Log.Info("replacing a member of the same name", "host", self.Host, "address", self.PeerAddress, "replaced_address", old.PeerAddress, "epoch", next.Epoch)
	}
	return next, err
}

// wasJoined reports whether an incarnation of this process has joined.
func (s *Service) wasJoined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.everJoined
}

// joinsFleetOf reports whether this host should join the fleet of r. Another standby
// may have joined since it decided to.
func (s *Service) joinsFleetOf(r member.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Standby == nil || s.everJoined || s.shouldJoinLocked(r)
}

// joinOutcomeUnknown reports whether the answer to a join of this incarnation was
// lost. The incarnation may have joined and been removed since.
func (s *Service) joinOutcomeUnknown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joinUnknown
}

// errIncarnationRemoved reports that this incarnation was a member, or may have been
// one, and is not in the record any more.
var errIncarnationRemoved = errors.New("this incarnation of the host was removed from the membership")

// removedLocked reports whether this incarnation joined and was removed from the
// record. mu is held.
func (s *Service) removedLocked() bool {
	return s.joinEpoch > 0 && s.record.Epoch >= s.joinEpoch && !s.record.Has(s.self.Host, s.self.Incarnation)
}

// resetIncarnationLocked starts over as a new incarnation after a removal. mu is
// held.
func (s *Service) resetIncarnationLocked() {
	s.self.Incarnation = newIncarnation()
	s.joinEpoch, s.joinUnknown, s.lastReport, s.attached, s.settled = 0, false, 0, false, false
	s.right.ResetIncarnation(s.self)
	s.ownership.Drop()
	s.options.Log.Info("host was removed from the fleet, joining again as a new incarnation", "host", s.self.Host, "incarnation", s.self.Incarnation)
}

// recordStoreResult takes the result of a store call and updates whether the store
// is reachable.
func (s *Service) recordStoreResult(err error) {
	away := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
	s.mu.Lock()
	defer s.mu.Unlock()
	if away {
		s.storeAwayAt = s.options.Clock.Now()
	}
	if away != s.right.StoreAway() {
		s.options.Log.Info("store reachability changed", "host", s.self.Host, "store_away", away)
		s.right.SetStoreAway(away)
		wake(s.wakeHeartbeat) // peers must learn of it before leases run out
	}
}

// updateRecord reads the membership record, applies f and writes the result with
// compare-and-swap. It tries again if another host changed the record meanwhile or
// the answer to the write was lost.
func (s *Service) updateRecord(ctx context.Context, f func(member.Record) (member.Record, error)) (member.Record, error) {
	const maxAttempts = 8
	var record member.Record
	var err error
	for range maxAttempts {
		record, err = s.tryUpdateRecord(ctx, f)
		if errors.Is(err, store.ErrUnknown) {
			s.mu.Lock()
			s.joinUnknown = s.joinEpoch == 0
			s.mu.Unlock()
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return record, err
		}
	}
	return record, err
}

// tryUpdateRecord makes one attempt of updateRecord.
func (s *Service) tryUpdateRecord(ctx context.Context, f func(member.Record) (member.Record, error)) (member.Record, error) {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	var record member.Record
	e, err := s.options.Store.Get(ctx, s.membershipKey())
	switch {
	case err == nil:
		if record, err = member.Decode(e.Value); err != nil {
			return record, err
		}
	case !errors.Is(err, store.ErrNotFound):
		return record, err
	}
	lowestEpoch, _ := record.Entered(s.reportedEpoch)
	next, err := f(record.PrunePast(lowestEpoch))
	if err != nil {
		return record, err
	}
	value, err := next.Encode()
	if err != nil {
		return record, err
	}
	_, err = s.options.Store.Put(ctx, s.membershipKey(), value, e.Version)
	return next, err
}
