package discovery_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/discovery"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
)

// Guards against targets that are dropped because their entries lapsed during
// an outage, and against dead ones that stay for good.
func TestLapsedEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	a, b := ingress.Target{ID: "a"}, ingress.Target{ID: "b"}
	ids := func(x *discovery.Targets) map[model.TargetID]bool {
		out := map[model.TargetID]bool{}
		for _, t := range x.List() {
			out[t.ID] = true
		}
		return out
	}
	var x discovery.Targets
	assert.Assert(t, x.Update(start, []ingress.Target{a, b}))
	assert.Assert(t, !x.Update(at(time.Second), []ingress.Target{a, b}))

	x.SetStoreUnavailable()
	back := at(10 * time.Second)
	assert.Assert(t, !x.Update(back, []ingress.Target{a}), "kept right after the store's return")
	assert.DeepEqual(t, ids(&x), map[model.TargetID]bool{"a": true, "b": true})
	assert.Assert(t, !x.Update(back.Add(discovery.GracePeriod-time.Millisecond), nil))
	assert.Assert(t, x.Update(back.Add(discovery.GracePeriod), []ingress.Target{a}))
	assert.DeepEqual(t, ids(&x), map[model.TargetID]bool{"a": true})

	assert.Assert(t, x.Update(at(time.Minute), nil), "without an outage a missing entry is gone at once")
	assert.Equal(t, len(x.List()), 0)
	leaving := a
	leaving.Leaving = true
	x.Update(at(time.Minute), []ingress.Target{a})
	assert.Assert(t, x.Update(at(time.Minute), []ingress.Target{leaving}))
}
