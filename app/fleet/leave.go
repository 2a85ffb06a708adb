package fleet

import (
	"context"
	"errors"
	"fmt"

	"mimosarelay/app/wait"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
)

// MarkLeaving gives the shards of this host to others. The host goes on serving
// what it has until Leave.
func (s *Service) MarkLeaving(ctx context.Context) error {
	self := s.Self()
	_, err := s.change(ctx, func(r member.Record) (member.Record, error) {
		if m, ok := r.Member(self.Host); ok && m.Incarnation == self.Incarnation && m.Leaving {
			return r, nil
		}
		return r.MarkLeaving(self.Host, self.Incarnation)
	})
	return err
}

// Leave ends the host's right to act, removes it from the membership and
// releases its lease. Calls must have ended and shards been handed over; see
// MarkLeaving. Run may be stopped afterwards.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	self, lease, entry := s.self, s.lease, s.right.EarliestEntryReport(s.heardLocked)
	s.mu.Unlock()
	// Confirmations that this host gave must expire before it counts as gone.
	if left := entry.Sub(s.options.Clock.Now()); left > 0 && !wait.For(ctx, s.options.Clock, left) {
		return fmt.Errorf("leave: %w", ctx.Err())
	}
	_, err := s.change(ctx, func(r member.Record) (member.Record, error) {
		return r.RemoveGone(self.Host, self.Incarnation)
	})
	if err != nil && !errors.Is(err, member.ErrNotMember) {
		return fmt.Errorf("leave: %w", err)
	}
	if lease == "" {
		return nil
	}
	ctx, cancel := s.call(ctx)
	defer cancel()
	if err := s.options.Store.Release(ctx, lease); err != nil {
		return fmt.Errorf("leave: release lease: %w", err) // it lapses by its TTL
	}
	return nil
}

// ErrLeaseHeld refuses to declare a host gone that still renews its lease.
var ErrLeaseHeld = errors.New("host still holds its lease")

// DeclareGone removes a host whose process the operator knows to be gone. It
// waits until the confirmations that the host gave have expired.
func (s *Service) DeclareGone(ctx context.Context, host model.HostID) error {
	m, ok := s.View().Member(host)
	if !ok {
		return fmt.Errorf("declare %q gone: %w", host, member.ErrNotMember)
	}
	if !wait.For(ctx, s.options.Clock, s.options.ConfirmationTTL+s.options.Margin) {
		return fmt.Errorf("declare %q gone: %w", host, ctx.Err())
	}
	_, err := s.change(ctx, func(r member.Record) (member.Record, error) {
		held, err := s.leaseHeld(ctx, host)
		if err == nil && held {
			err = ErrLeaseHeld
		}
		if err != nil {
			return r, err
		}
		return r.RemoveGone(host, m.Incarnation)
	})
	if err != nil && !errors.Is(err, member.ErrNotMember) { // removed meanwhile
		return fmt.Errorf("declare %q gone: %w", host, err)
	}
	return nil
}
