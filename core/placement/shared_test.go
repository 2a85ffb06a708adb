package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/loadboard"
	"mimosarelay/core/model"
	"mimosarelay/test/knownred"
)

// share makes the hosts exchange reports by way of a keeper each 500 ms, each host at
// another moment.
func (f *fleetSim) share() {
	board := loadboard.New(f.clock())
	for _, h := range slices.Concat(f.hosts...) {
		var known loadboard.Version
		f.after(time.Duration(f.random.Int64N(int64(500*time.Millisecond))), func() {
			f.every(500*time.Millisecond, func() {
				board.Update(f.clock(), h.scheduler.HeardLoads())
				var list []loadboard.Report
				list, known = board.Since(f.clock(), known)
				sent := f.clock()
				f.after(2*time.Millisecond, func() {
					for i := range list {
						list[i].Load.At = list[i].Load.At.Add(sent.Sub(f.clock())) // as by the time of sending
					}
					h.scheduler.SetSharedLoads(f.clock(), list)
				})
			})
		})
	}
}

// sparseResult is what callers get from a fleet whose hosts hear little of each engine.
type sparseResult struct {
	mean, p90 time.Duration
	late      float64 // share of programs that took 1.9 times the time on idle engines
	computed  float64
	gaps      time.Duration // 90th percentile of the time between events
}

func (r sparseResult) String() string {
	return fmt.Sprintf("turns mean %v, 90th percentile %v, late programs %.3f, computed %.0f, gap %v", r.mean, r.p90, r.late, r.computed, r.gaps)
}

// runSparseFleet plays 64 hosts and 48 engines in three zones.
func runSparseFleet(shared bool, programsPerSecond float64) sparseResult {
	f := newFleetSim(1, 64, 48, 16, func(int) Options { return Options{} })
	f.batchDelay = 0.04
	for n, t := range f.hosts[0][0].scheduler.sortedTargets {
		x := f.targets[t.ID]
		x.speed = []float64{1 / 1.2, 1, 1 / 0.55}[n%3]
		x.slow = func(now time.Duration) float64 {
			if x := uint64(now/(600*time.Millisecond))*2654435761 + uint64(n)*40503; x>>4%100 < 15 {
				return 2.5
			}
			return 1
		}
	}
	if shared {
		f.share()
	}
	const turns = 6
	f.arrivals(0, func(time.Duration) float64 { return programsPerSecond }, turns)
	f.runUntil(6 * time.Second)
	f.calls = f.calls[:0]
	f.runUntil(26 * time.Second)
	return f.sparseResult(turns)
}

func (f *fleetSim) sparseResult(turns int) sparseResult {
	var times, gaps []time.Duration
	var sum time.Duration
	var r sparseResult
	programs := map[model.ProgramID][]time.Duration{}
	for _, c := range f.calls {
		times, gaps = append(times, c.took), append(gaps, c.gap)
		sum += c.took
		r.computed += float64(c.uncached) / float64(len(f.calls))
		programs[c.request.Program] = append(programs[c.request.Program], c.took)
	}
	slices.Sort(times)
	slices.Sort(gaps)
	r.mean, r.p90, r.gaps = sum/time.Duration(len(times)), times[len(times)*9/10], gaps[len(gaps)*9/10]
	idle := time.Duration(turns)*simEvents*simGap + (10000+time.Duration(turns)*1000)*simToken
	whole, late := 0, 0
	for _, list := range programs {
		if len(list) < turns {
			continue
		}
		var total time.Duration
		for _, t := range list {
			total += t
		}
		whole++
		if float64(total) > 1.9*float64(idle) {
			late++
		}
	}
	r.late = float64(late) / float64(max(1, whole))
	return r
}

// Guards against hosts that send to engines that others know to be slow or full, and
// against hosts that all send to the same engine because they share their reports: without
// sampling, sharing made programs late more often at 90 programs a second.
func TestSharedReportsServeSparseFleet(t *testing.T) {
	knownred.Skip(t)
	for _, rate := range []float64{60, 90, 120} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			own, shared := runSparseFleet(false, rate), runSparseFleet(true, rate)
			t.Logf("own: %v; shared: %v", own, shared)
			assert.Assert(t, float64(shared.mean) < 0.75*float64(own.mean))
			assert.Assert(t, float64(shared.p90) < 0.65*float64(own.p90))
			assert.Assert(t, shared.late < 0.6*own.late)
			assert.Assert(t, shared.computed < 1.1*own.computed)
		})
	}
}

// Guards against sharing that makes a smaller fleet slower, whose hosts hear enough of the
// engines themselves.
func TestSharedReportsKeepSmallFleetFast(t *testing.T) {
	for rate, highest := range map[float64]float64{10: 1.05, 50: 1} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			own, shared := runMixedFleet(false, false, rate), runMixedFleet(false, true, rate)
			t.Logf("own: %v; shared: %v", own, shared)
			assert.Assert(t, float64(shared.meanTotal()) < highest*float64(own.meanTotal()))
		})
	}
}

func sharedLoad(id model.TargetID, at time.Time, running int, speed loadboard.Speed) loadboard.Report {
	return loadboard.Report{Key: loadboard.KeyOf(id), Load: loadboard.Load{At: at, Running: running, Slots: 16}, Speed: speed}
}

// Guards against calls of this host that are counted twice or not at all when the report
// of another host is older than their start or end.
func TestOwnCallsAreAddedToSharedLoad(t *testing.T) {
	s := speedTargets(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a := s.targets["a"]
	before, ended, after := &call{id: 1, started: at(0)}, &call{id: 2, started: at(100)}, &call{id: 3, started: at(300)}
	a.startCall(before)
	a.startCall(ended)
	a.startCall(after)
	a.endCall(ended, at(400))
	s.SetSharedLoads(at(500), []loadboard.Report{sharedLoad("a", at(200), 7, loadboard.Speed{})})
	assert.Equal(t, a.estimatedCalls(at(500)), 7.0) // one ended and one started since
	s.SetSharedLoads(at(500), []loadboard.Report{sharedLoad("a", at(150), 1, loadboard.Speed{})})
	assert.Equal(t, a.estimatedCalls(at(500)), 7.0) // older
	s.SetSharedLoads(at(600), []loadboard.Report{sharedLoad("a", at(450), 4, loadboard.Speed{})})
	assert.Equal(t, a.estimatedCalls(at(600)), 4.0)
	assert.Equal(t, len(a.ended), 0)
}

// Guards against reports that a host passes on as its own, which would look new for ever,
// and against measurements that are sent twice.
func TestOnlyOwnAnswersAreReported(t *testing.T) {
	s := speedTargets(t)
	s.SetSharedLoads(start, []loadboard.Report{sharedLoad("a", start, 7, loadboard.Speed{Samples: 9})})
	assert.Equal(t, len(s.HeardLoads()), 0)
	s.Report("b", Load{At: start, Running: 3})
	addCall(t, s, start, 1, Request{Workspace: "w"}) // makes the pool
	measure(t, s, 10, start, 2*minKindSamples, func(model.TargetID) time.Duration { return time.Millisecond })
	samples := 0
	for _, r := range s.HeardLoads() {
		samples += r.Speed.Samples
		assert.Equal(t, !r.Load.At.IsZero(), r.Key == loadboard.KeyOf("b"))
	}
	assert.Equal(t, samples, 5*2*minKindSamples-minKindSamples)
	assert.Equal(t, len(s.HeardLoads()), 0)
}

// Guards against targets that count as usual although other hosts measured them, and
// against shared measurements that count for ever.
func TestSharedSpeedReplacesOwn(t *testing.T) {
	s := speedTargets(t)
	addCall(t, s, start, 1, Request{Workspace: "w"}) // makes the pool
	for id, slow := range map[model.TargetID]float64{"a": 0.8, "b": 0, "c": 0, "d": 0} {
		s.SetSharedLoads(start, []loadboard.Report{sharedLoad(id, start, 1, loadboard.Speed{Samples: 20, LogSum: 20 * slow})})
	}
	s.SetSharedLoads(start, []loadboard.Report{sharedLoad("e", start, 1, loadboard.Speed{Samples: minSharedSamples - 1, LogSum: 9})})
	s.Tick(start.Add(2 * time.Second))
	f := s.targets["a"].speedFactor()
	assert.Assert(t, f > 2 && f < 2.5, "factor %v", f)
	assert.Equal(t, s.targets["e"].speedFactor(), 1.0)
	s.Tick(start.Add(sharedSpeedMaxAge + time.Second))
	_, ok := s.targets["a"].sharedMean(start.Add(sharedSpeedMaxAge))
	assert.Assert(t, !ok)
}

// Guards against a begun program that stays at an engine at 0.55 of the speed to save
// 12,600 prompt tokens, and against one that moves for a small difference.
func TestBegunProgramMovesWhenItPays(t *testing.T) {
	knownred.Skip(t)
	for name, c := range map[string]struct {
		factor float64
		stays  bool
	}{
		"equal":            {1, true},
		"10 % slower":      {1.1, true},
		"0.55 of speed":    {1 / 0.55, false},
		"2.5 times slower": {2.5, false},
	} {
		t.Run(name, func(t *testing.T) {
			o := Options{Choice: CacheAware{CallCost: 1500, Slack: 1500}, Retention: HoldThroughPause{TokenTime: simToken}}
			s := newTestScheduler(t, o, engineTargets(100, "a", "b", "c", "d", "e"))
			r := Request{Workspace: "w", Program: "p", Model: "m", Prompt: 13_000, Prefixes: []uint64{5, 6}, PrefixTokens: []model.Tokens{12_600, 13_000}}
			home := addCall(t, s, start, 1, r)[0].Target
			s.Release(start.Add(500*time.Millisecond), 1, Usage{Prompt: 13_000, Work: 30 * time.Millisecond})
			s.targets[home].speed.factor = c.factor
			for id := CallID(2); id < 12; id++ {
				now := start.Add(time.Second)
				for x := range s.targets {
					s.Report(x, Load{At: now, Running: 4, Slots: 16, Slowness: 1})
				}
				stayed := addCall(t, s, now, id, r)[0].Target == home
				if stayed != c.stays {
					t.Fatalf("call %d: stayed %v", id, stayed)
				}
				if !stayed {
					return
				}
				s.Release(now, id, Usage{})
			}
		})
	}
}
