package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"mimosarelay/app/wait"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/pacing"
	"mimosarelay/core/placement"
	"mimosarelay/io/target"
)

const (
	// maxPaceDelay is how long a request waits for its turn at a target, if no other
	// target has taken it at once.
	maxPaceDelay = 500 * time.Millisecond
	// maxPaceTime bounds the time from the first to the last question for a turn.
	maxPaceTime = 2 * time.Second
)

// acquirePlace waits for a place at a target that takes one more request now. A
// target that takes none is paused at this host until it may take one. A request that
// must not run twice goes to a cold target only if no other one takes it.
func (s *Service) acquirePlace(ctx context.Context, c *forwardCall) (Place, error) {
	c.avoid, c.granted = nil, pacing.Granted{}
	if s.Pacer != nil && !c.Route.Repeatable() {
		c.avoid = s.Pacer.ColdTargets()
	}
	start := s.Clock.Now()
	for maxDelay := time.Duration(0); ; maxDelay = maxPaceDelay {
		place, err := s.Placer.Acquire(ctx, c.placeRequest())
		if err != nil && len(c.avoid) > 0 && ctx.Err() == nil {
			c.avoid = nil
			continue
		}
		if err != nil || s.Pacer == nil {
			return place, err
		}
		id := place.Target().Name
		switch d := s.Pacer.Take(ctx, id, maxDelay).(type) {
		case pacing.Granted:
			wait.For(ctx, s.Clock, d.Delay)
			c.granted = d
			return place, nil
		case pacing.Denied:
			if d.Cold {
				s.Pauser.PauseCold(id, d.RetryAfter)
			} else {
				s.Pauser.Pause(id, d.RetryAfter)
			}
		}
		place.Release(placement.Usage{})
		if s.Clock.Since(start) >= maxPaceTime {
			return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the targets take no more requests now").Retry(busyRetryAfter)
		}
	}
}

// checkTarget fails with errNotRun if the target of the current place must not get the
// request any more. Waiting and connecting may take most of a second.
func (s *Service) checkTarget(c *forwardCall) error {
	t := c.place.Target()
	if err := s.checkZone(t); err != nil || s.Pacer == nil {
		return err
	}
	expires := c.granted.Expires
	switch {
	case expires.IsZero() && s.Pacer.Cold(t.Name):
		return fmt.Errorf("%w: target %q became cold", errNotRun, t.Name)
	case !expires.IsZero() && s.Clock.Now().After(expires):
		return fmt.Errorf("%w: the grant for cold target %q expired", errNotRun, t.Name)
	}
	return nil
}

// recordLost tells the Pacer about an attempt that failed because the target refused
// the connection or broke it.
func (s *Service) recordLost(ctx context.Context, id model.TargetID, cause error) {
	broken := errors.Is(cause, target.ErrNotSent) || errors.Is(cause, target.ErrBroken) && !errors.Is(cause, target.ErrIdle)
	if s.Pacer != nil && broken && ctx.Err() == nil {
		var timeout net.Error
		s.Pacer.Lost(id, !errors.As(cause, &timeout) || !timeout.Timeout())
	}
}

// checkZone fails with errNotRun if the zone of a target is evacuated.
func (s *Service) checkZone(t config.Target) error {
	if s.Zones != nil && slices.Contains(s.Zones.Evacuated(), t.Zone) {
		return fmt.Errorf("%w: zone %q of target %q is evacuated", errNotRun, t.Zone, t.Name)
	}
	return nil
}
