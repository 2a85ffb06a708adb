package relay

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mimosarelay/app/wait"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/pacing"
	"mimosarelay/core/placement"
)

const (
	// maxPaceDelay is how long a request waits for its turn at a target, if no other
	// target has taken it at once.
	maxPaceDelay = 500 * time.Millisecond
	// maxPaceTime bounds the time from the first to the last question for a turn.
	maxPaceTime = 2 * time.Second
)

// acquirePlace waits for a place at a target that takes one more request now. A
// target that takes none is paused at this host until it may take one.
func (s *Service) acquirePlace(ctx context.Context, c *forwardCall) (Place, error) {
	start := s.Clock.Now()
	for maxDelay := time.Duration(0); ; maxDelay = maxPaceDelay {
		place, err := s.Placer.Acquire(ctx, c.placeRequest())
		if err != nil || s.Pacer == nil {
			return place, err
		}
		target := place.Target().Name
		switch d := s.Pacer.Take(ctx, target, maxDelay).(type) {
		case pacing.Granted:
			wait.For(ctx, s.Clock, d.Delay)
			return place, nil
		case pacing.Denied:
			s.Pauser.Pause(target, d.RetryAfter)
		}
		place.Release(placement.Usage{})
		if s.Clock.Since(start) >= maxPaceTime {
			return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the targets take no more requests now").Retry(busyRetryAfter)
		}
	}
}

// checkZone fails with errNotRun if the zone of a target was evacuated after the
// target was chosen. Connecting may take most of a second.
func (s *Service) checkZone(t config.Target) error {
	if s.Zones != nil && slices.Contains(s.Zones.Evacuated(), t.Zone) {
		return fmt.Errorf("%w: zone %q of target %q is evacuated", errNotRun, t.Zone, t.Name)
	}
	return nil
}
