package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
)

// runMixedFleet plays 12 hosts with 24 engines at 0.55 or 1.2 of the usual speed. On 15 %
// of the machines work takes 2.5 times as long, on other ones every 600 ms.
func runMixedFleet(blind bool, programsPerSecond float64) zoneStats {
	f := newFleetSim(1, 12, 24, 8, func(int) Options { return Options{} })
	f.blind = blind
	i := 0
	for n := range 24 {
		t := f.targets[f.hosts[0][0].scheduler.sortedTargets[n].ID]
		t.speed = []float64{1 / 1.2, 1 / 0.55}[i%2]
		i++
		t.slow = func(now time.Duration) float64 {
			if x := uint64(now/(600*time.Millisecond))*2654435761 + uint64(n)*40503; x>>4%100 < 15 {
				return 2.5
			}
			return 1
		}
	}
	f.arrivals(0, func(time.Duration) float64 { return programsPerSecond }, 6)
	f.runUntil(20 * time.Second)
	f.stats[0] = zoneStats{overByPeriod: map[overKey]int{}}
	f.runUntil(80 * time.Second)
	return f.sum()
}

// Guards against work that goes to slow engines while fast ones have places, and against
// programs that move between engines, which then compute their prompts again.
func TestMixedEnginesAreUsedBySpeed(t *testing.T) {
	for _, rate := range []float64{10, 30, 50} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			before, after := runMixedFleet(true, rate), runMixedFleet(false, rate)
			t.Logf("without speeds: %v; with: %v", before, after)
			assert.Assert(t, float64(after.meanTotal()) < 0.93*float64(before.meanTotal()))
			assert.Assert(t, after.meanComputed() < 1.15*before.meanComputed())
		})
	}
}

func speedTargets(t *testing.T) *Scheduler {
	return newTestScheduler(t, Options{}, engineTargets(100, "a", "b", "c", "d", "e"))
}

// measure releases n calls at every target, with the time per unit of work of each.
func measure(t *testing.T, s *Scheduler, from CallID, now time.Time, n CallID, work func(model.TargetID) time.Duration) {
	t.Helper()
	for i := range n {
		for id, x := range s.targets {
			x.load = Load{} // does not matter here
			k := &call{id: from + i, target: x, started: now, pool: s.pools[classKey{model: "m"}], request: Request{Model: "m", Workspace: "w"}}
			s.shareOf("w").calls++
			s.shareOf("w").engineCalls++
			s.shareOf("w").engineDemand++
			x.startCall(k)
			s.running[k.id] = k
			s.Release(now.Add(100*time.Millisecond), k.id, Usage{Prompt: 1, Work: work(id)})
		}
	}
}

// Guards against a target that is judged by single answers, and against one that stays
// slow for ever because it gets no calls.
func TestSpeedIsJudgedByTheMedianAndFadesSlowly(t *testing.T) {
	s := speedTargets(t)
	addCall(t, s, start, 1, Request{Workspace: "w"}) // makes the pool
	calls := 0
	measure(t, s, 10, start, 9, func(id model.TargetID) time.Duration {
		if id != "a" {
			return 20 * time.Millisecond
		}
		if calls++; calls%5 < 2 {
			return 90 * time.Millisecond // two of five answers
		}
		return 20 * time.Millisecond
	})
	s.Tick(start.Add(time.Second))
	assert.Equal(t, s.targets["a"].speedFactor(), 1.0)
	measure(t, s, 30, start.Add(time.Second), 9, func(id model.TargetID) time.Duration {
		if id == "a" {
			return 44 * time.Millisecond
		}
		return 20 * time.Millisecond
	})
	s.Tick(start.Add(3 * time.Second))
	slow := s.targets["a"].speedFactor()
	assert.Assert(t, slow > 1.9 && slow < 2.5, "factor %v", slow)
	s.Tick(start.Add(30 * time.Second))
	assert.Assert(t, s.targets["a"].speedFactor() > 1.6)
	s.Tick(start.Add(10 * time.Minute))
	assert.Equal(t, s.targets["a"].speedFactor(), 1.0)
}

// Guards against a stated slowness that counts after it changed, and against figures that
// make a target free or unusable.
func TestStatedSlownessIsBoundedAndLosesWeight(t *testing.T) {
	s := speedTargets(t)
	a := s.targets["a"]
	for stated, want := range map[float64]float64{0: 1, 1: 1, 2.5: 2.5, 1e9: maxSlowness, 1e-9: minSlowness} {
		a.load = Load{At: start, Slowness: stated}
		assert.Equal(t, a.timeFactor(start), want)
		assert.Equal(t, a.timeFactor(start.Add(slownessMaxAge)), 1.0)
	}
	a.load = Load{At: start, Slowness: 3}
	assert.Equal(t, a.timeFactor(start.Add(slownessMaxAge/2)), 2.0)
}

// Guards against plain calls that go to targets in turn although one of them is slow or
// has a queue.
func TestPlainCallsAvoidSlowAndFullTargets(t *testing.T) {
	for name, l := range map[string]Load{
		"slow":  {Running: 2, Slots: 6, Slowness: 4},
		"queue": {Running: 2, Waiting: 0, Slots: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := speedTargets(t)
			for id := range s.targets {
				s.Report(id, Load{At: start, Running: 2, Slots: 6, Slowness: 1})
			}
			l.At = start.Add(1)
			s.Report("a", l)
			for id := CallID(1); id <= 20; id++ {
				g := addCall(t, s, l.At, id, Request{Workspace: "w"})
				assert.Assert(t, g[0].Target != "a", "call %d", id)
				s.Release(l.At, id, Usage{})
			}
		})
	}
}
