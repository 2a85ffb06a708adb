package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/wait"
)

// Guards against a pause that outlives its context, and against one that ends
// early or tells the wrong end.
func TestForWaitsUntilDurationOrContextEnds(t *testing.T) {
	for name, c := range map[string]struct {
		timeout, elapsed time.Duration
		completed        bool
	}{
		"whole":         {timeout: 3 * time.Second, elapsed: 2 * time.Second, completed: true},
		"context ended": {timeout: time.Second, elapsed: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				start := time.Now()
				assert.Equal(t, wait.For(ctx, clockwork.NewRealClock(), 2*time.Second), c.completed)
				assert.Equal(t, time.Since(start), c.elapsed)
			})
		})
	}
}
