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
func TestFor(t *testing.T) {
	for name, c := range map[string]struct {
		timeout, took time.Duration
		whole         bool
	}{
		"whole":         {timeout: 3 * time.Second, took: 2 * time.Second, whole: true},
		"context ended": {timeout: time.Second, took: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				start := time.Now()
				assert.Equal(t, wait.For(ctx, clockwork.NewRealClock(), 2*time.Second), c.whole)
				assert.Equal(t, time.Since(start), c.took)
			})
		})
	}
}
