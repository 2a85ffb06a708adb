package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// Guards against the zone of a target or of the host that does not reach the scheduler, and
// against a host that refuses calls once the places in its zone are taken.
func TestCallsStayInZoneWhileItHasPlaces(t *testing.T) {
	var names []model.TargetID
	for i := range 16 {
		names = append(names, model.TargetID(fmt.Sprint(i)))
	}
	d := document(2, names...)
	for i := range d.Targets {
		d.Targets[i].Zone = model.Zone([]string{"a", "b"}[i%2])
	}
	f := newFleet(d, "h")
	s := f.service("h", func(o *Options) { o.Policy.Zone = "b" })
	places := acquireAll(t, s)
	assert.Equal(t, len(places), 32)
	for i, p := range places {
		assert.Equal(t, p.Target().Zone, model.Zone([]string{"b", "a"}[i/16]), "call %d", i)
	}
}

// Guards against measurements of calls that do not reach the scheduler.
func TestSpeedOfTargetsIsLearned(t *testing.T) {
	f := newFleet(document(1, "a", "b", "c", "d"), "h")
	s := f.service("h", nil)
	for range 9 {
		for _, p := range acquireAll(t, s) {
			work := 20 * time.Millisecond
			if p.Target().Name == "c" {
				work = 50 * time.Millisecond
			}
			p.Release(placement.Usage{Prompt: 1, Work: work, Kind: 7})
		}
		f.clock.Advance(200 * time.Millisecond)
		s.tick()
	}
	for _, x := range s.scheduler.Dump().Targets {
		assert.Equal(t, x.Speed > 2, x.Target == "c", "%s has speed %v", x.Target, x.Speed)
	}
}
