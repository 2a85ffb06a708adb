package limits

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/test/knownred"
)

// Guards against refusals of a workspace that keeps to its rate but has a burst
// smaller than its refill during a message between hosts. Without faults, no request
// may be refused.
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
		sendLoad(f, c, 1, 2*time.Minute, hostID)
		for id, times := range c.refused {
			t.Errorf("workspace %q: %d refused, %d admitted", id, len(times), len(c.admitted[id]))
		}
		assert.NilError(t, c.check(small))
	})
}

// Guards against refusals of workspaces with a small burst when BurstSlack lets the
// fleet exceed the burst by a few requests, and against more admissions than that
// allows. No request may be refused.
func TestSmallBurstWithSlackIsNeverRefused(t *testing.T) {
	const slack = 10
	small, withSlack := &config.Document{}, &config.Document{}
	for _, w := range []config.Workspace{
		{Name: "one", Rate: 1, Burst: 1},
		{Name: "five", Rate: 5, Burst: 1},
		{Name: "ten", Rate: 10, Burst: 2},
		{Name: "fifty", Rate: 50, Burst: 1},
	} {
		small.Workspaces = append(small.Workspaces, w)
		w.Burst += slack
		withSlack.Workspaces = append(withSlack.Workspaces, w)
	}
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleetWithSlack(t, seed, small, slack)
			defer f.close()
			time.Sleep(10 * time.Second) // buckets fill
			c := newChecker()
			sendLoad(f, c, 1, 2*time.Minute, hostID)
			for id, times := range c.refused {
				t.Errorf("seed %d, workspace %q: %d refused, %d admitted", seed, id, len(times), len(c.admitted[id]))
			}
			assert.NilError(t, c.check(withSlack))
		})
	}
}
