package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/model"
	_ "mimosarelay/test/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

func engineTargets(limit int, names ...model.TargetID) []Target {
	var list []Target
	for _, n := range names {
		list = append(list, Target{ID: n, Models: []model.ModelID{"m"}, Limit: limit})
	}
	return list
}

func newTestScheduler(t *testing.T, o Options, targets []Target) *Scheduler {
	t.Helper()
	s := NewScheduler(o)
	assert.Equal(t, len(s.SetTargets(start, targets)), 0)
	return s
}

func addCall(t *testing.T, s *Scheduler, now time.Time, id CallID, r Request) []Grant {
	t.Helper()
	r.Model = "m"
	g, err := s.Add(now, id, r)
	assert.NilError(t, err)
	return g
}

// Guards against a call that overtakes an older one under FirstCome.
func TestFirstComeGrantsInOrderOfArrival(t *testing.T) {
	s := newTestScheduler(t, Options{Order: FirstCome{}, Choice: RoundRobin{}, Retention: NoRetention{}}, engineTargets(1, "a"))
	assert.Equal(t, len(addCall(t, s, start, 1, Request{Workspace: "w1", Prompt: 1})), 1)
	for id := CallID(2); id < 10; id++ {
		addCall(t, s, start, id, Request{Workspace: model.WorkspaceID(fmt.Sprint("w", id%3)), Prompt: 100})
	}
	for id := CallID(1); id < 9; id++ {
		g := s.Release(start, id, Usage{Prompt: 100})
		assert.DeepEqual(t, g, []Grant{{Call: id + 1, Target: "a"}})
	}
}

// Guards against RoundRobin leaving targets unused.
func TestRoundRobinUsesAllTargetsInTurn(t *testing.T) {
	s := newTestScheduler(t, Options{Choice: RoundRobin{}, Retention: NoRetention{}}, engineTargets(2, "a", "b", "c"))
	var got []model.TargetID
	for id := CallID(1); id <= 6; id++ {
		got = append(got, addCall(t, s, start, id, Request{Workspace: "w"})[0].Target)
	}
	assert.DeepEqual(t, got, []model.TargetID{"a", "b", "c", "a", "b", "c"})
	assert.Equal(t, len(addCall(t, s, start, 7, Request{Workspace: "w"})), 0)
}

// tokensServed runs n calls at a saturated target and returns the tokens that each
// workspace received.
func tokensServed(t *testing.T, o Options, sizes map[model.WorkspaceID]model.Tokens, n int) map[model.WorkspaceID]model.Tokens {
	t.Helper()
	s := newTestScheduler(t, o, engineTargets(1, "a"))
	s.SetWeight("heavy", 3)
	id := CallID(0)
	owner := map[CallID]model.WorkspaceID{}
	enqueue := func(w model.WorkspaceID) []Grant {
		id++
		owner[id] = w
		return addCall(t, s, start, id, Request{Workspace: w, Prompt: sizes[w]})
	}
	var running []Grant
	for w := range sizes {
		for range 5 {
			running = append(running, enqueue(w)...)
		}
	}
	got := map[model.WorkspaceID]model.Tokens{}
	for range n {
		w := owner[running[0].Call]
		got[w] += sizes[w]
		running = append(running, s.Release(start, running[0].Call, Usage{Prompt: sizes[w]})...)[1:]
		enqueue(w)
	}
	return got
}

// Guards against shares that ignore the weight or that count calls instead of
// tokens.
func TestFairShareDividesTokensByWeight(t *testing.T) {
	sizes := map[model.WorkspaceID]model.Tokens{"heavy": 1000, "light": 100}
	got := tokensServed(t, Options{}, sizes, 1000)
	ratio := float64(got["heavy"]) / float64(got["light"])
	assert.Assert(t, ratio > 2.8 && ratio < 3.2, "tokens %v", got)
	got = tokensServed(t, Options{Order: FirstCome{}}, sizes, 1000) // shows that the check tells the policies apart
	ratio = float64(got["heavy"]) / float64(got["light"])
	assert.Assert(t, ratio > 5, "tokens %v", got)
}

// Guards against a workspace that accumulates credit while it is idle and then
// delays the calls of others.
func TestIdleWorkspaceAccumulatesNoCredit(t *testing.T) {
	s := newTestScheduler(t, Options{}, engineTargets(1, "a"))
	id := CallID(1)
	addCall(t, s, start, id, Request{Workspace: "busy", Prompt: 1000})
	for range 100 {
		addCall(t, s, start, id+1, Request{Workspace: "busy", Prompt: 1000})
		s.Release(start, id, Usage{Prompt: 1000})
		id++
	}
	for i := range CallID(10) {
		addCall(t, s, start, 1000+i, Request{Workspace: "new", Prompt: 1000})
		addCall(t, s, start, 2000+i, Request{Workspace: "busy", Prompt: 1000})
	}
	newCalls := 0
	for range 10 {
		g := s.Release(start, id, Usage{Prompt: 1000})
		id = g[0].Call
		if id < 2000 {
			newCalls++
		}
	}
	assert.Assert(t, newCalls >= 4 && newCalls <= 6, "%d of 10 calls went to the new workspace", newCalls)
}

// Guards against a workspace with many calls that takes all places while another
// workspace has calls, and against places that stay empty although nothing is
// reserved.
func TestPlacesAreReservedForWorkspacesBelowTheirShare(t *testing.T) {
	tests := map[string]struct {
		order   Order
		others  int // calls of the small workspace
		running int // calls of the large workspace that run at the end
		starts  int // calls of a new workspace that start at once
	}{
		"ReservesPlacesForOthers":    {FairShare{}, 1, 7, 2},
		"SplitsPlacesByWeight":       {FairShare{}, 9, 5, 0},
		"OnlyWorkspaceUsesAllPlaces": {FairShare{}, 0, 10, 0},
		"FractionOneReservesNothing": {FairShare{UnreservedFraction: 1}, 1, 9, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler(t, Options{Order: tt.order}, engineTargets(10, "a"))
			id, now := CallID(0), start
			large := map[CallID]bool{}
			var running []Grant
			enqueue := func(w model.WorkspaceID) {
				id++
				large[id] = w == "large"
				running = append(running, addCall(t, s, now, id, Request{Workspace: w, Prompt: 100})...)
			}
			for range tt.others {
				enqueue("small")
			}
			for range 30 {
				enqueue("large")
			}
			for range 300 { // each call that ends is replaced by one of its workspace
				now = now.Add(100 * time.Millisecond)
				running = append(running, s.Tick(now)...)
				g := running[0]
				running = append(running[1:], s.Release(now, g.Call, Usage{Prompt: 100})...)
				if large[g.Call] {
					enqueue("large")
				} else {
					enqueue("small")
				}
			}
			n := 0
			for _, g := range running {
				if large[g.Call] {
					n++
				}
			}
			assert.Equal(t, n, tt.running)
			before := len(running)
			for range 3 {
				enqueue("new")
			}
			assert.Equal(t, len(running)-before, tt.starts)
		})
	}
}

// Guards against starvation: new programs have less attained service, so without
// AgeBound they would overtake an old program's call forever.
func TestAgedCallOvertakesProgramsWithLessService(t *testing.T) {
	s := newTestScheduler(t, Options{}, engineTargets(1, "a"))
	old := Request{Workspace: "w", Program: "old", Prompt: 1000}
	addCall(t, s, start, 1, old)
	s.Release(start, 1, Usage{Prompt: 1000})
	addCall(t, s, start, 2, Request{Workspace: "w", Program: "p", Prompt: 10})
	addCall(t, s, start, 3, old)
	now, running := start, CallID(2)
	for id := CallID(4); running != 3; id++ {
		now = now.Add(time.Second)
		assert.Assert(t, now.Sub(start) <= 6*time.Second, "old program still waits")
		addCall(t, s, now, id, Request{Workspace: "w", Program: model.ProgramID(fmt.Sprint(id)), Prompt: 10})
		running = s.Release(now, running, Usage{Prompt: 10})[0].Call
	}
	assert.Assert(t, now.Sub(start) >= 5*time.Second, "old program overtook after %v", now.Sub(start))
}

// Guards against a call that is granted a target it excludes, and against one
// that blocks other calls while it waits.
func TestExcludedTargetIsNeverGranted(t *testing.T) {
	s := newTestScheduler(t, Options{}, engineTargets(1, "a", "b"))
	addCall(t, s, start, 1, Request{Workspace: "w", Exclude: []model.TargetID{"b"}})
	assert.Equal(t, len(addCall(t, s, start, 2, Request{Workspace: "w", Exclude: []model.TargetID{"b"}})), 0)
	assert.DeepEqual(t, addCall(t, s, start, 3, Request{Workspace: "w"}), []Grant{{Call: 3, Target: "b"}})
	_, err := s.Add(start, 4, Request{Model: "m", Exclude: []model.TargetID{"b", "a"}})
	assert.ErrorIs(t, err, ErrNoTarget)
	_, err = s.Add(start, 4, Request{Model: "other"})
	assert.ErrorIs(t, err, ErrNoTarget)
}

// Guards against recomputing a prefix although the target that holds it is
// available, against using that target regardless of its load, and against
// counting a prefix that was lost with the cache.
func TestCacheAwareUsesPrefixHolderUnlessOverloaded(t *testing.T) {
	s := newTestScheduler(t, Options{Retention: NoRetention{}}, engineTargets(100, "a", "b", "c"))
	first := Request{Workspace: "w", Program: "p", Prompt: 4000, Prefixes: []uint64{1, 2, 3}}
	home := addCall(t, s, start, 1, first)[0].Target
	s.Release(start, 1, Usage{Prompt: 4000})
	second := Request{Workspace: "w", Program: "p", Prompt: 5000, Prefixes: []uint64{1, 2, 3, 4, 5}}
	for id := CallID(2); id < 20; id++ {
		assert.Equal(t, addCall(t, s, start, id, second)[0].Target, home)
		s.Release(start, id, Usage{Prompt: 5000, Cached: 4000})
	}
	s.Report(home, Load{At: start, Running: 90})
	assert.Assert(t, addCall(t, s, start, 20, second)[0].Target != home)
	s.Report(home, Load{At: start.Add(1)})
	s.LostCache(start.Add(time.Second), home)
	different := 0
	for id := CallID(100); id < 120; id++ {
		other := Request{Workspace: "w", Prompt: 5000, Prefixes: []uint64{uint64(id)}}
		if addCall(t, s, start.Add(2*time.Second), id, other)[0].Target != home {
			different++
		}
	}
	assert.Assert(t, different > 5, "%d of 20", different)
}

// Guards against a load estimate that omits the calls sent after the last report
// or counts them twice.
func TestLoadIsCorrectedByCallsSinceReport(t *testing.T) {
	s := newTestScheduler(t, Options{}, engineTargets(100, "a"))
	for id := CallID(1); id <= 4; id++ {
		addCall(t, s, start.Add(time.Duration(id)*time.Second), id, Request{Workspace: "w"})
	}
	calls := func() float64 { return s.targets["a"].estimatedCalls(s.targets["a"].load.At) }
	s.Report("a", Load{At: start.Add(2500 * time.Millisecond), Running: 10, Waiting: 2})
	assert.Equal(t, calls(), 14.0) // 12 reported, calls 3 and 4 sent since
	s.Release(start.Add(5*time.Second), 1, Usage{})
	assert.Equal(t, calls(), 13.0)
	s.Release(start.Add(5*time.Second), 4, Usage{})
	assert.Equal(t, calls(), 12.0)
	s.Report("a", Load{At: start.Add(6 * time.Second), Running: 9})
	assert.Equal(t, calls(), 9.0)
	s.Report("a", Load{At: start, Running: 50}) // older than the present report: ignored
	assert.Equal(t, calls(), 9.0)
}

// Guards against a program that loses its cached prefix because another call took
// its place during a pause, and against one that waits for that target forever.
func TestHeldProgramWaitsForItsTargetWithinBound(t *testing.T) {
	run := func(r Retention) (soon, later []Grant) {
		s := newTestScheduler(t, Options{Retention: r}, engineTargets(1, "a", "b"))
		s.SetSkip(start, "b", true)
		addCall(t, s, start, 1, Request{Workspace: "w", Program: "p", Prompt: 10_000, Prefixes: []uint64{1}})
		s.Release(start, 1, Usage{Prompt: 10_000})
		addCall(t, s, start, 2, Request{Workspace: "w", Program: "q", Prompt: 10})
		s.SetSkip(start, "b", false)
		now := start.Add(time.Second)
		soon = addCall(t, s, now, 3, Request{Workspace: "w", Program: "p", Prompt: 11_000, Prefixes: []uint64{1, 2}})
		s.Tick(now.Add(7900 * time.Millisecond))
		return soon, s.Tick(now.Add(8100 * time.Millisecond))
	}
	soon, later := run(HoldThroughPause{})
	assert.Equal(t, len(soon), 0)
	assert.DeepEqual(t, later, []Grant{{Call: 3, Target: "b"}})
	soon, _ = run(NoRetention{})
	assert.DeepEqual(t, soon, []Grant{{Call: 3, Target: "b"}})
}

// Guards against a program that loses its hold, or whose pause is measured too
// short, because its tool is a call to a service.
func TestServiceCallDoesNotEndHold(t *testing.T) {
	list := append(engineTargets(1, "a"), Target{ID: "tool", Limit: 1})
	s := newTestScheduler(t, Options{}, list)
	p := Request{Workspace: "w", Program: "p", Prompt: 10_000, Prefixes: []uint64{1}}
	addCall(t, s, start, 1, p)
	s.Release(start, 1, Usage{Prompt: 10_000})
	g, err := s.Add(start.Add(time.Second), 2, Request{Workspace: "w", Program: "p", Candidates: []model.TargetID{"tool"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, g, []Grant{{Call: 2, Target: "tool"}})
	assert.Equal(t, s.Dump().Held, 1)
	s.Release(start.Add(2*time.Second), 2, Usage{})
	assert.Equal(t, s.Dump().Held, 1)
	addCall(t, s, start.Add(3*time.Second), 3, p)
	assert.Equal(t, s.Dump().Held, 0)
	assert.Equal(t, s.programs[p.programKey()].meanPause, 3*time.Second)
}

// Guards against more calls in flight than the limit, grants at targets that are
// excluded, skipped or have limit 0, calls that are lost, and calls that wait
// although a target is available.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := Options{Seed: rapid.Uint64().Draw(rt, "seed")}
		if rapid.Bool().Draw(rt, "baseline") {
			o = Options{Order: FirstCome{}, Choice: RoundRobin{}, Retention: NoRetention{}}
		}
		m := newSchedulerMachine(o)
		rt.Repeat(map[string]func(*rapid.T){
			"add":     m.add,
			"release": m.release,
			"cancel":  m.cancel,
			"targets": m.setTargets,
			"skip":    m.skip,
			"report":  m.report,
			"tick":    m.tick,
			"":        m.check,
		})
		m.drain(rt)
	})
}

// schedulerMachine is a state machine test: it applies random operations to a
// Scheduler and compares the results with a model of its calls.
type schedulerMachine struct {
	scheduler *Scheduler
	now       time.Time
	lastID    CallID
	waiting   map[CallID]Request
	running   map[CallID]model.TargetID
	targets   map[model.TargetID]Target
	overflow  map[model.TargetID]int // calls in flight when the limit was lowered
}

func newSchedulerMachine(o Options) *schedulerMachine {
	m := &schedulerMachine{
		scheduler: NewScheduler(o), now: start, waiting: map[CallID]Request{}, running: map[CallID]model.TargetID{},
		targets: map[model.TargetID]Target{}, overflow: map[model.TargetID]int{},
	}
	for _, x := range engineTargets(2, "a", "b", "c") {
		m.targets[x.ID] = x
	}
	m.applyTargets()
	return m
}

func (m *schedulerMachine) applyTargets() []Grant {
	var list []Target
	for _, x := range m.targets {
		list = append(list, x)
	}
	return m.scheduler.SetTargets(m.now, list)
}

// checkGrants checks the grants against the model and records them.
func (m *schedulerMachine) checkGrants(t *rapid.T, grants []Grant) {
	for _, g := range grants {
		r, ok := m.waiting[g.Call]
		if !ok {
			t.Fatalf("call %d granted but not waiting", g.Call)
		}
		for _, x := range r.Exclude {
			if x == g.Target {
				t.Fatalf("call %d granted at excluded target", g.Call)
			}
		}
		if m.targets[g.Target].Skip || m.inFlight(g.Target) >= m.targets[g.Target].Limit {
			t.Fatalf("call %d granted at %q, which has no free place", g.Call, g.Target)
		}
		delete(m.waiting, g.Call)
		m.running[g.Call] = g.Target
	}
}

func (m *schedulerMachine) inFlight(id model.TargetID) int {
	n := 0
	for _, t := range m.running {
		if t == id {
			n++
		}
	}
	return n
}

func (m *schedulerMachine) add(t *rapid.T) {
	m.lastID++
	r := Request{
		Workspace: rapid.SampledFrom([]model.WorkspaceID{"x", "y"}).Draw(t, "workspace"),
		Program:   rapid.SampledFrom([]model.ProgramID{"", "p", "q", "r"}).Draw(t, "program"),
		Model:     "m",
		Prompt:    model.Tokens(rapid.IntRange(0, 5000).Draw(t, "prompt")),
		Prefixes:  rapid.SliceOfN(rapid.Uint64Range(1, 5), 0, 6).Draw(t, "prefixes"),
	}
	if rapid.IntRange(0, 3).Draw(t, "retry") == 0 {
		r.Exclude = []model.TargetID{rapid.SampledFrom([]model.TargetID{"a", "b"}).Draw(t, "exclude")}
	}
	grants, err := m.scheduler.Add(m.now, m.lastID, r)
	if err != nil {
		t.Fatal(err)
	}
	m.waiting[m.lastID] = r
	m.checkGrants(t, grants)
}

func (m *schedulerMachine) release(t *rapid.T) {
	for id := CallID(1); id <= m.lastID; id++ {
		if _, ok := m.running[id]; ok {
			delete(m.running, id)
			u := Usage{Prompt: model.Tokens(rapid.IntRange(0, 5000).Draw(t, "used")), Failed: rapid.Bool().Draw(t, "failed")}
			u.Work = time.Duration(rapid.Int64().Draw(t, "work"))
			m.checkGrants(t, m.scheduler.Release(m.now, id, u))
			return
		}
	}
}

func (m *schedulerMachine) cancel(t *rapid.T) {
	id := CallID(rapid.Uint64Range(1, uint64(m.lastID+1)).Draw(t, "id"))
	_, waits := m.waiting[id]
	if m.scheduler.Cancel(id) != waits {
		t.Fatalf("cancel of call %d returned %v", id, !waits)
	}
	delete(m.waiting, id)
}

func (m *schedulerMachine) setTargets(t *rapid.T) {
	id := rapid.SampledFrom([]model.TargetID{"a", "b", "c"}).Draw(t, "target")
	x := m.targets[id]
	x.Limit = rapid.IntRange(0, 3).Draw(t, "limit")
	m.targets[id] = x
	m.checkGrants(t, m.applyTargets())
}

func (m *schedulerMachine) skip(t *rapid.T) {
	id := rapid.SampledFrom([]model.TargetID{"a", "b", "c"}).Draw(t, "target")
	x := m.targets[id]
	x.Skip = !x.Skip
	m.targets[id] = x
	m.checkGrants(t, m.scheduler.SetSkip(m.now, id, x.Skip))
}

func (m *schedulerMachine) report(t *rapid.T) {
	id := rapid.SampledFrom([]model.TargetID{"a", "b", "c"}).Draw(t, "target")
	m.scheduler.Report(id, Load{
		At: m.now, Running: rapid.IntRange(0, 1<<16).Draw(t, "running"), Waiting: rapid.IntRange(0, 1<<16).Draw(t, "waiting"),
		Slots: rapid.IntRange(0, 1<<16).Draw(t, "slots"), Slowness: rapid.Float64Range(0, 1000).Draw(t, "slowness"),
	})
}

func (m *schedulerMachine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	m.checkGrants(t, m.scheduler.Tick(m.now))
}

func (m *schedulerMachine) check(t *rapid.T) {
	if len(m.scheduler.waiting) != len(m.waiting) || len(m.scheduler.running) != len(m.running) {
		t.Fatalf("%d waiting and %d running, want %d and %d", len(m.scheduler.waiting), len(m.scheduler.running), len(m.waiting), len(m.running))
	}
}

// drain makes all targets available and checks that every waiting call runs.
func (m *schedulerMachine) drain(t *rapid.T) {
	for id, x := range m.targets {
		x.Limit, x.Skip = 2, false
		m.targets[id] = x
	}
	m.checkGrants(t, m.applyTargets())
	for range 20 * int(m.lastID+1) {
		m.now = m.now.Add(time.Second)
		m.checkGrants(t, m.scheduler.Tick(m.now))
		m.release(t)
	}
	if len(m.waiting) > 0 {
		t.Fatalf("calls %v never ran", m.waiting)
	}
}

// Guards against host limits that do not add up to the fleet-wide limit, or that
// give the same hosts the calls of all targets with small limits.
func TestHostLimitsAddUpToFleetLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var hosts []model.HostID
		for i := range rapid.IntRange(1, 40).Draw(rt, "hosts") {
			hosts = append(hosts, model.HostID(fmt.Sprint("host-", i)))
		}
		limit := rapid.IntRange(0, 100).Draw(rt, "limit")
		target := model.TargetID(rapid.String().Draw(rt, "target"))
		sum := 0
		for _, h := range hosts {
			sum += HostLimit(hosts, h, target, limit)
		}
		if sum != limit {
			rt.Fatalf("host limits add up to %d, want %d", sum, limit)
		}
	})
	hosts := []model.HostID{"a", "b", "c", "d"}
	owners := map[model.HostID]int{}
	for i := range 100 {
		for _, h := range hosts {
			owners[h] += HostLimit(hosts, h, model.TargetID(fmt.Sprint(i)), 1)
		}
	}
	for _, h := range hosts {
		assert.Assert(t, owners[h] > 10, "%v", owners)
	}
	assert.Equal(t, HostLimit(hosts, "gone", "t", 100), 0)
}

// Guards against avoiding a target because of calls that ended long ago: in a
// large fleet, a host gets no newer report of a target while it sends it no calls.
func TestOldReportDoesNotCount(t *testing.T) {
	s := newTestScheduler(t, Options{}, engineTargets(100, "a"))
	addCall(t, s, start, 1, Request{Workspace: "w"})
	s.Report("a", Load{At: start, Running: 9})
	a := s.targets["a"]
	assert.Equal(t, a.estimatedCalls(start.Add(loadFreshAge)), 9.0)
	assert.Equal(t, a.estimatedCalls(start.Add((loadFreshAge+loadMaxAge)/2)), 5.0)
	assert.Equal(t, a.estimatedCalls(start.Add(loadMaxAge)), 1.0, "calls of this host count at any age of the report")
}

// Guards against a prompt that is computed at several targets because the turns of
// its program arrive at different hosts and each host chooses another target.
func TestHostsFindTheSameHome(t *testing.T) {
	var names []model.TargetID
	for i := range 45 {
		names = append(names, model.TargetID(fmt.Sprint("engine-", i)))
	}
	used := map[model.TargetID]int{}
	for i := range 200 {
		r := Request{
			Workspace: "w", Program: model.ProgramID(fmt.Sprint("p", i)), Model: "m", Prompt: 16000,
			Prefixes: []uint64{1, 100 + uint64(i), 500 + uint64(i)}, PrefixTokens: []model.Tokens{12600, 14300, 16000},
		}
		var first model.TargetID
		for seed := range uint64(4) { // one scheduler per host
			s := newTestScheduler(t, Options{Seed: seed}, engineTargets(100, names...))
			g := addCall(t, s, start, 1, r)
			if seed == 0 {
				first = g[0].Target
			}
			assert.Equal(t, g[0].Target, first)
		}
		used[first]++
	}
	assert.Equal(t, len(used), 45/homeDivisor, "programs that share a prefix must use all of its homes and no other target")
}

// Guards against an object whose requests go to several targets, against a target that
// moves the objects of others when it leaves, and against one that is overloaded by a
// popular object.
func TestObjectKeepsItsTargetWithinItsLoad(t *testing.T) {
	names := []model.TargetID{"a", "b", "c", "d", "e", "f"}
	grant := func(seed uint64, object uint64, names ...model.TargetID) model.TargetID {
		s := newTestScheduler(t, Options{Seed: seed}, engineTargets(100, names...))
		return addCall(t, s, start, 1, Request{Workspace: "w", Model: "m", Object: object})[0].Target
	}
	used, moved := map[model.TargetID]int{}, 0
	for object := uint64(1); object <= 600; object++ {
		first := grant(1, object, names...)
		used[first]++
		assert.Equal(t, grant(2, object, names...), first, "another host chose another target")
		if first == "a" {
			moved++
			continue
		}
		assert.Equal(t, grant(3, object, names[1:]...), first, "an object of another target moved")
	}
	assert.Equal(t, moved, used["a"])
	for id, n := range used {
		assert.Assert(t, n > 60 && n < 140, "%s has %d of 600 objects", id, n)
	}

	s := newTestScheduler(t, Options{}, engineTargets(100, names...))
	calls := map[model.TargetID]int{}
	for i := range CallID(60) {
		calls[addCall(t, s, start, i+1, Request{Workspace: "w", Model: "m", Object: 7})[0].Target]++
	}
	for id, n := range calls {
		assert.Assert(t, n <= 14, "%s has %d of 60 calls", id, n) // 1.25 times the mean and one call
	}
}
