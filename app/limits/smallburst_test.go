package limits

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/test/knownred"
)

// Guards against refusals of a workspace that keeps to its rate, whose burst is
// smaller than what its rate earns while a message travels. The bound is none
// in a fault-free run.
func TestSmallBurstIsNeverRefused(t *testing.T) {
	knownred.Skip(t)
	small := &config.Document{Workspaces: []config.Workspace{
		{Name: "five", Rate: 5, Burst: 1},
		{Name: "ten", Rate: 10, Burst: 2},
	}}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, small)
		defer f.close()
		time.Sleep(5 * time.Second) // buckets fill
		c := newChecker()
		load(f, c, 1, 2*time.Minute, host)
		for id, times := range c.refused {
			t.Errorf("workspace %q: %d refused, %d admitted", id, len(times), len(c.admitted[id]))
		}
		assert.NilError(t, c.check(small))
	})
}
