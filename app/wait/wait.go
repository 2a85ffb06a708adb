// Package wait provides a sleep that ends early when its context does.
package wait

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits until d has passed on the clock. It reports false if ctx ended first.
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
