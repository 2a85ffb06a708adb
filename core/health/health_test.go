package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/health"
	"mimosarelay/core/model"
)

func newTracker(targets int) *health.Tracker {
	tracker := health.NewTracker(rand.New(rand.NewPCG(1, 2)))
	var list []health.Target
	for i := range targets {
		list = append(list, health.Target{ID: simID(i), Services: []model.ModelID{"m"}})
	}
	tracker.SetTargets(list)
	return tracker
}

func available(model.TargetID) bool { return false }

// Guards against a host without a working network whose failures eject targets at others.
func TestOneHostAloneEjectsNothingAtOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	keeper := health.NewAggregator()
	tracker := newTracker(4)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		keeper.Update(now, "a", "broken", []health.Report{{Target: simID(0), Failed: 1000, Doubted: true}})
		for i := range 4 {
			tracker.Record(now, simID(i), health.Answered)
		}
		tracker.SetHints(now, keeper.Update(now, "a", "good", tracker.Reports(now)))
		assert.Equal(t, len(tracker.Tick(now, available)), 0)
	}
}

// Guards against evidence that counts although a target is full or the caller left.
func TestNeutralOutcomesDoNotCount(t *testing.T) {
	for _, o := range []health.Outcome{health.Full, health.Cancelled, health.Unknown} {
		t.Run(o.String(), func(t *testing.T) {
			tracker, now := newTracker(4), time.Unix(1000, 0)
			for range 100 {
				tracker.Record(now, simID(0), o)
			}
			assert.Equal(t, len(tracker.Tick(now, available)), 0)
			assert.Equal(t, len(tracker.Reports(now)), 0)
		})
	}
}

// eject makes a target fail until it is ejected.
func eject(t *testing.T, tracker *health.Tracker, now time.Time, id model.TargetID) {
	t.Helper()
	for range 12 {
		tracker.Record(now, id, health.Disconnected)
		tracker.Tick(now, available)
	}
	assert.Equal(t, tracker.Step(id), health.Ejected)
}

// Guards against a service of which more than half is out of use, also if targets become
// unreachable after others were ejected.
func TestHalfOfServiceStaysInUse(t *testing.T) {
	for size := 1; size <= 5; size++ {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			tracker, now := newTracker(size), time.Unix(1000, 0)
			for i := range size / 2 {
				eject(t, tracker, now, simID(i))
			}
			last := simID(size - 1)
			for range 100 {
				now = now.Add(100 * time.Millisecond)
				tracker.Record(now, last, health.Disconnected)
				tracker.Tick(now, available)
				assert.Assert(t, !tracker.Skipped(last))
			}
			tracker.Tick(now, func(id model.TargetID) bool { return id == last })
			out := 1
			for i := range size - 1 {
				if tracker.Skipped(simID(i)) {
					out++
				}
			}
			assert.Assert(t, 2*out <= size || out == 1, "%d of %d", out, size)
		})
	}
}

// Guards against more than one probe at a time, and against targets that stay ejected
// because no repeatable request is left to probe them.
func TestProbes(t *testing.T) {
	tracker, now := newTracker(4), time.Unix(1000, 0)
	eject(t, tracker, now, simID(0))
	_, due := tracker.NextProbe(now, "m")
	assert.Assert(t, !due)
	now = now.Add(4 * time.Second)
	id, due := tracker.NextProbe(now, "m")
	assert.Assert(t, due)
	assert.Equal(t, id, simID(0))
	tracker.BeginProbe(now, id)
	now = now.Add(time.Minute)
	_, due = tracker.NextProbe(now, "m")
	assert.Assert(t, !due)
	tracker.EndProbe(now, id, health.Cancelled)
	tracker.Tick(now, available)
	assert.Equal(t, tracker.Step(id), health.Ejected)
	now = now.Add(time.Minute)
	tracker.Tick(now, available)
	assert.Equal(t, tracker.Step(id), health.Reduced)
}

// Guards against reports that grow with the number of targets.
func TestReportsAreBounded(t *testing.T) {
	tracker, now := newTracker(300), time.Unix(1000, 0)
	for i := range 300 {
		tracker.Record(now, simID(i), health.Disconnected)
	}
	assert.Equal(t, len(tracker.Reports(now)), health.MaxReports)
	keeper := health.NewAggregator()
	for i := range 300 {
		report := []health.Report{{Target: simID(i), Failed: 1, Doubted: true}}
		hints := keeper.Update(now.Add(time.Duration(i)*time.Millisecond), "a", model.HostID(fmt.Sprint(i)), report)
		assert.Assert(t, len(hints.Targets) <= health.MaxReports)
	}
}
