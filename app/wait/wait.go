// Package wait lets the loops of services pause.
package wait

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits for d by the clock, and reports false if ctx ended first.
func For(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
