package fleet

import (
	"context"
	"errors"
	"fmt"

	"mimosarelay/app/wait"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
)

// MarkLeaving marks this host as leaving in the membership record, so that its
// shards move to other hosts. It continues to serve the calls that it has until
// Leave.
func (s *Service) MarkLeaving(ctx context.Context) error {
	self := s.Self()
	_, err := s.updateRecord(ctx, func(r member.Record) (member.Record, error) {
		if m, ok := r.Member(self.Host); ok && m.Incarnation == self.Incarnation && m.Leaving {
			return r, nil
		}
		return r.MarkLeaving(self.Host, self.Incarnation)
	})
	return err
}

// Leave ends the host's right to act, removes it from the membership and
// releases its lease. Its calls must have ended and its shards must have been handed
// over before, see MarkLeaving. Run may be stopped afterwards.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaveStarted = true
	self, lease, earliest := s.self, s.lease, s.right.EarliestEntryReport(s.latestEpochLocked)
	s.mu.Unlock()
	// The confirmations that this host gave must expire before its removal.
	if remaining := earliest.Sub(s.options.Clock.Now()); remaining > 0 && !wait.For(ctx, s.options.Clock, remaining) {
		return fmt.Errorf("leave: wait until confirmations of host %q expire: %w", self.Host, ctx.Err())
	}
	_, err := s.updateRecord(ctx, func(r member.Record) (member.Record, error) {
		return r.RemoveGone(self.Host, self.Incarnation)
	})
	if err != nil && !errors.Is(err, member.ErrNotMember) {
		return fmt.Errorf("leave: remove host %q from the membership: %w", self.Host, err)
	}
	s.releaseStandby(ctx)
	if lease == "" {
		return nil
	}
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	if err := s.options.Store.Release(ctx, lease); err != nil {
		return fmt.Errorf("leave: release lease of host %q: %w", self.Host, err) // it lapses after its TTL
	}
	return nil
}

// ErrLeaseHeld reports that a host cannot be declared gone because it still holds
// its lease.
var ErrLeaseHeld = errors.New("host still holds its lease")

// DeclareGone removes a host whose process is gone according to the operator. It
// waits until the confirmations that the host gave have expired.
func (s *Service) DeclareGone(ctx context.Context, host model.HostID) error {
	m, ok := s.View().Member(host)
	if !ok {
		return fmt.Errorf("declare host %q gone: %w", host, member.ErrNotMember)
	}
	if !wait.For(ctx, s.options.Clock, s.options.ConfirmationTTL+s.options.Margin) {
		return fmt.Errorf("declare host %q gone: wait until its confirmations expire: %w", host, ctx.Err())
	}
	_, err := s.updateRecord(ctx, func(r member.Record) (member.Record, error) {
		held, err := s.leaseHeld(ctx, m)
		if err == nil && held {
			err = ErrLeaseHeld
		}
		if err != nil {
			return r, err
		}
		return r.RemoveGone(host, m.Incarnation)
	})
	if err != nil && !errors.Is(err, member.ErrNotMember) { // ErrNotMember: it was removed meanwhile
		return fmt.Errorf("declare host %q gone: %w", host, err)
	}
	return nil
}
