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

// conflictPause is the time between two attempts to acquire a lease that the
// previous process of this host held, or that lapsed at that moment.
const conflictPause = 100 * time.Millisecond

// runLease holds the lease of this host and keeps it a member.
func (s *Service) runLease(ctx context.Context) {
	s.every(ctx, s.options.RenewEvery, s.wakeLease, func(ctx context.Context) {
		err := s.keepLease(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		s.options.Scope.Counter("lease_failures").Inc(1)
		s.options.Logger.Warn("lease not kept", "host", s.options.Self.Host, "error", err)
		if errors.Is(err, store.ErrConflict) {
			wait.For(ctx, s.options.Clock, conflictPause)
			wake(s.wakeLease)
		}
	})
}

func (s *Service) keepLease(ctx context.Context) error {
	s.mu.Lock()
	lease, stopped := s.lease, s.stopped
	s.mu.Unlock()
	if stopped {
		return nil
	}
	if lease != "" {
		err := s.renew(ctx, lease)
		if err != nil && !errors.Is(err, store.ErrLeaseLapsed) {
			return err
		}
	}
	s.mu.Lock()
	lease, attached := s.lease, s.attached
	s.mu.Unlock()
	if lease == "" {
		if err := s.hold(ctx); err != nil {
			return err
		}
	}
	if attached {
		return nil
	}
	return s.attach(ctx)
}

func (s *Service) renew(ctx context.Context, lease store.LeaseID) error {
	sent := s.options.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.RenewTimeout)
	defer cancel()
	err := s.options.Store.Renew(ctx, lease)
	s.noteReached(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.renewed = sent
		if s.attached {
			s.right.Renewed(sent)
		}
	case errors.Is(err, store.ErrLeaseLapsed):
		s.lease, s.attached = "", false
		s.right.LeaseLost()
	}
	return err
}

func (s *Service) hold(ctx context.Context) error {
	sent := s.options.Clock.Now()
	ctx, cancel := s.call(ctx)
	defer cancel()
	self := s.Self()
	id, err := s.options.Store.Hold(ctx, s.leaseKey(self.Host), []byte(self.Incarnation), s.options.LeaseTTL)
	s.noteReached(err)
	if err != nil {
		return fmt.Errorf("acquire lease: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.renewed = id, sent
	return nil
}

// attach makes the lease count. It writes the membership record even if this
// host is in it: a host that read the record before and then saw the old lease
// lapsed must not succeed in removing this one.
func (s *Service) attach(ctx context.Context) error {
	s.mu.Lock()
	if s.removed() {
		s.rename()
	}
	self, again := s.self, s.joinEpoch > 0
	s.mu.Unlock()
	var before *member.Record // the record that this host joined
	record, err := s.change(ctx, func(r member.Record) (member.Record, error) {
		switch {
		case r.Has(self.Host, self.Incarnation):
			return r, nil
		case again || s.mayHaveJoined():
			return r, errRemoved
		}
		before = &r
		return r.Join(self)
	})
	s.noteReached(err)
	if errors.Is(err, errRemoved) {
		// An incarnation never joins twice: what it held may be granted anew.
		s.mu.Lock()
		s.rename()
		s.mu.Unlock()
		wake(s.wakeLease)
		return nil
	}
	if err != nil {
		return fmt.Errorf("join: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !again {
		s.joinEpoch = record.Epoch
		if before != nil {
			s.right.Joined(*before, record.Epoch)
		}
	}
	s.attached = true
	s.right.Renewed(s.renewed)
	return nil
}

// mayHaveJoined tells whether the answer to a join of this incarnation was lost:
// it may have joined and been removed since.
func (s *Service) mayHaveJoined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joinUnknown
}

var errRemoved = errors.New("this incarnation was removed")

// removed tells whether the record lost this incarnation. mu is held.
func (s *Service) removed() bool {
	return s.joinEpoch > 0 && s.record.Epoch >= s.joinEpoch && !s.record.Has(s.self.Host, s.self.Incarnation)
}

// rename continues as a new process after a removal. mu is held.
func (s *Service) rename() {
	s.self.Incarnation = newIncarnation()
	s.joinEpoch, s.joinUnknown, s.reported, s.attached, s.settled = 0, false, 0, false, false
	s.right.ResetIncarnation(s.self)
	s.tenure.Drop()
	s.options.Logger.Info("removed from the fleet, joining again", "host", s.self.Host, "incarnation", s.self.Incarnation)
}

// noteReached notes whether the store answered.
func (s *Service) noteReached(err error) {
	away := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
	s.mu.Lock()
	defer s.mu.Unlock()
	if away {
		s.awayAt = s.options.Clock.Now()
	}
	if away != s.right.StoreAway() {
		s.options.Logger.Info("store reachability changed", "host", s.self.Host, "away", away)
		s.right.SetStoreAway(away)
		wake(s.wakeBeat) // peers need the news before leases run out
	}
}

// change reads the membership record, applies f and writes the result with
// compare-and-swap, several times if another host was faster.
func (s *Service) change(ctx context.Context, f func(member.Record) (member.Record, error)) (member.Record, error) {
	const attempts = 8
	var record member.Record
	var err error
	for range attempts {
		record, err = s.changeOnce(ctx, f)
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

func (s *Service) changeOnce(ctx context.Context, f func(member.Record) (member.Record, error)) (member.Record, error) {
	ctx, cancel := s.call(ctx)
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
	lowest, _ := record.Entered(s.entered)
	next, err := f(record.PrunePast(lowest))
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
