package discovery_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/discovery"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
)

// Guards against dropping live targets whose entries expired during a store
// outage, and against keeping dead targets after the grace period.
func TestMissingTargetsAreKeptOnlyDuringGracePeriod(t *testing.T) {
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
	var targets discovery.Targets
	assert.Assert(t, targets.Update(start, []ingress.Target{a, b}))
	assert.Assert(t, !targets.Update(at(time.Second), []ingress.Target{a, b}))

	targets.SetStoreUnavailable()
	recovered := at(10 * time.Second)
	assert.Assert(t, !targets.Update(recovered, []ingress.Target{a}),
		"a missing target was dropped right after the store recovered")
	assert.DeepEqual(t, ids(&targets), map[model.TargetID]bool{"a": true, "b": true})
	assert.Assert(t, !targets.Update(recovered.Add(discovery.GracePeriod-time.Millisecond), nil))
	assert.Assert(t, targets.Update(recovered.Add(discovery.GracePeriod), []ingress.Target{a}))
	assert.DeepEqual(t, ids(&targets), map[model.TargetID]bool{"a": true})

	assert.Assert(t, targets.Update(at(time.Minute), nil), "a missing target was kept without a preceding outage")
	assert.Equal(t, len(targets.List()), 0)
	leaving := a
	leaving.Leaving = true
	targets.Update(at(time.Minute), []ingress.Target{a})
	assert.Assert(t, targets.Update(at(time.Minute), []ingress.Target{leaving}))
}
