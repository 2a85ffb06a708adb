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

// Guards against a wait that continues after its context has ended, ends before its
// duration, or reports the wrong reason for its end.
func TestForWaitsUntilDurationOrContextEnds(t *testing.T) {
	for name, c := range map[string]struct {
		timeout, elapsed time.Duration
		completed        bool
	}{
		"duration passed": {timeout: 3 * time.Second, elapsed: 2 * time.Second, completed: true},
		"context ended":   {timeout: time.Second, elapsed: time.Second},
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
