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

func engines(limit int, names ...model.TargetID) []Target {
	var list []Target
	for _, n := range names {
		list = append(list, Target{ID: n, Models: []model.ModelID{"m"}, Limit: limit})
	}
	return list
}

func scheduler(t *testing.T, o Options, targets []Target) *Scheduler {
	t.Helper()
	s := NewScheduler(o)
	assert.Equal(t, len(s.SetTargets(start, targets)), 0)
	return s
}

func add(t *testing.T, s *Scheduler, now time.Time, id CallID, r Request) []Grant {
	t.Helper()
	r.Model = "m"
	g, err := s.Add(now, id, r)
	assert.NilError(t, err)
	return g
}

// Guards against calls that overtake older ones in the baseline.
func TestFirstComeGrantsInOrderOfArrival(t *testing.T) {
	s := scheduler(t, Options{Order: FirstCome{}, Choice: RoundRobin{}, Retention: NoRetention{}}, engines(1, "a"))
	assert.Equal(t, len(add(t, s, start, 1, Request{Workspace: "w1", Prompt: 1})), 1)
	for id := CallID(2); id < 10; id++ {
		add(t, s, start, id, Request{Workspace: model.WorkspaceID(fmt.Sprint("w", id%3)), Prompt: 100})
	}
	for id := CallID(1); id < 9; id++ {
		g := s.Release(start, id, Usage{Prompt: 100})
		assert.DeepEqual(t, g, []Grant{{Call: id + 1, Target: "a"}})
	}
}

// Guards against a baseline that leaves targets unused.
func TestRoundRobinUsesAllTargetsInTurn(t *testing.T) {
	s := scheduler(t, Options{Choice: RoundRobin{}, Retention: NoRetention{}}, engines(2, "a", "b", "c"))
	var got []model.TargetID
	for id := CallID(1); id <= 6; id++ {
		got = append(got, add(t, s, start, id, Request{Workspace: "w"})[0].Target)
	}
	assert.DeepEqual(t, got, []model.TargetID{"a", "b", "c", "a", "b", "c"})
	assert.Equal(t, len(add(t, s, start, 7, Request{Workspace: "w"})), 0)
}

// served runs a saturated target for n calls and counts the tokens that each
// workspace got.
func tokensServed(t *testing.T, o Options, sizes map[model.WorkspaceID]model.Tokens, n int) map[model.WorkspaceID]model.Tokens {
	t.Helper()
	s := scheduler(t, o, engines(1, "a"))
	s.SetWeight("heavy", 3)
	id := CallID(0)
	owner := map[CallID]model.WorkspaceID{}
	enqueue := func(w model.WorkspaceID) []Grant {
		id++
		owner[id] = w
		return add(t, s, start, id, Request{Workspace: w, Prompt: sizes[w]})
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

// Guards against shares that ignore the weight or count calls, not tokens.
func TestFairShareDividesTokensByWeight(t *testing.T) {
	sizes := map[model.WorkspaceID]model.Tokens{"heavy": 1000, "light": 100}
	got := tokensServed(t, Options{}, sizes, 1000)
	ratio := float64(got["heavy"]) / float64(got["light"])
	assert.Assert(t, ratio > 2.8 && ratio < 3.2, "tokens %v", got)
	got = tokensServed(t, Options{Order: FirstCome{}}, sizes, 1000) // the checker tells the baseline apart
	ratio = float64(got["heavy"]) / float64(got["light"])
	assert.Assert(t, ratio > 5, "tokens %v", got)
}

// Guards against a workspace that saves up service while it is idle.
func TestIdleWorkspaceAccumulatesNoCredit(t *testing.T) {
	s := scheduler(t, Options{}, engines(1, "a"))
	id := CallID(1)
	add(t, s, start, id, Request{Workspace: "busy", Prompt: 1000})
	for range 100 {
		add(t, s, start, id+1, Request{Workspace: "busy", Prompt: 1000})
		s.Release(start, id, Usage{Prompt: 1000})
		id++
	}
	for i := range CallID(10) {
		add(t, s, start, 1000+i, Request{Workspace: "new", Prompt: 1000})
		add(t, s, start, 2000+i, Request{Workspace: "busy", Prompt: 1000})
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

// Guards against a workspace with many calls that fills all places while
// another has calls, and against places that stay empty without reason.
func TestPlacesAreReservedForWorkspacesBelowTheirShare(t *testing.T) {
	tests := map[string]struct {
		order   Order
		others  int // calls of the other workspace
		running int // calls of the large workspace in the end
		starts  int // calls of a new workspace that start at once
	}{
		"KeepsPlaces":  {FairShare{}, 1, 7, 2},
		"PartByWeight": {FairShare{}, 9, 5, 0},
		"NobodyElse":   {FairShare{}, 0, 10, 0},
		"KeepsNothing": {FairShare{UnreservedFraction: 1}, 1, 9, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := scheduler(t, Options{Order: tt.order}, engines(10, "a"))
			id, now := CallID(0), start
			large := map[CallID]bool{}
			var running []Grant
			enqueue := func(w model.WorkspaceID) {
				id++
				large[id] = w == "large"
				running = append(running, add(t, s, now, id, Request{Workspace: w, Prompt: 100})...)
			}
			for range tt.others {
				enqueue("small")
			}
			for range 30 {
				enqueue("large")
			}
			for range 300 { // each call is followed by one of the same workspace
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

// Guards against a program with much attained service that waits forever
// behind new programs.
func TestAgedCallOvertakesProgramsWithLessService(t *testing.T) {
	s := scheduler(t, Options{}, engines(1, "a"))
	old := Request{Workspace: "w", Program: "old", Prompt: 1000}
	add(t, s, start, 1, old)
	s.Release(start, 1, Usage{Prompt: 1000})
	add(t, s, start, 2, Request{Workspace: "w", Program: "p", Prompt: 10})
	add(t, s, start, 3, old)
	now, running := start, CallID(2)
	for id := CallID(4); running != 3; id++ {
		now = now.Add(time.Second)
		assert.Assert(t, now.Sub(start) <= 6*time.Second, "old program still waits")
		add(t, s, now, id, Request{Workspace: "w", Program: model.ProgramID(fmt.Sprint(id)), Prompt: 10})
		running = s.Release(now, running, Usage{Prompt: 10})[0].Call
	}
	assert.Assert(t, now.Sub(start) >= 5*time.Second, "old program overtook after %v", now.Sub(start))
}

// Guards against a call that goes back to a target it excludes, and against
// one that blocks others while it waits.
func TestExcludedTargetIsNeverGranted(t *testing.T) {
	s := scheduler(t, Options{}, engines(1, "a", "b"))
	add(t, s, start, 1, Request{Workspace: "w", Exclude: []model.TargetID{"b"}})
	assert.Equal(t, len(add(t, s, start, 2, Request{Workspace: "w", Exclude: []model.TargetID{"b"}})), 0)
	assert.DeepEqual(t, add(t, s, start, 3, Request{Workspace: "w"}), []Grant{{Call: 3, Target: "b"}})
	_, err := s.Add(start, 4, Request{Model: "m", Exclude: []model.TargetID{"b", "a"}})
	assert.ErrorIs(t, err, ErrNoTarget)
	_, err = s.Add(start, 4, Request{Model: "other"})
	assert.ErrorIs(t, err, ErrNoTarget)
}

// Guards against placement that recomputes a prefix although its holder is
// free, and against a holder that is used however loaded it is.
func TestCacheAwareUsesPrefixHolderUnlessOverloaded(t *testing.T) {
	s := scheduler(t, Options{Retention: NoRetention{}}, engines(100, "a", "b", "c"))
	first := Request{Workspace: "w", Program: "p", Prompt: 4000, Prefixes: []uint64{1, 2, 3}}
	home := add(t, s, start, 1, first)[0].Target
	s.Release(start, 1, Usage{Prompt: 4000})
	second := Request{Workspace: "w", Program: "p", Prompt: 5000, Prefixes: []uint64{1, 2, 3, 4, 5}}
	for id := CallID(2); id < 20; id++ {
		assert.Equal(t, add(t, s, start, id, second)[0].Target, home)
		s.Release(start, id, Usage{Prompt: 5000, Cached: 4000})
	}
	s.Report(home, Load{At: start, Running: 90})
	assert.Assert(t, add(t, s, start, 20, second)[0].Target != home)
	s.Report(home, Load{At: start.Add(1)})
	s.LostCache(start.Add(time.Second), home)
	different := 0
	for id := CallID(100); id < 120; id++ {
		other := Request{Workspace: "w", Prompt: 5000, Prefixes: []uint64{uint64(id)}}
		if add(t, s, start.Add(2*time.Second), id, other)[0].Target != home {
			different++
		}
	}
	assert.Assert(t, different > 5, "%d of 20", different)
}

// Guards against load that forgets calls sent after the report, or counts
// them twice.
func TestLoadIsCorrectedByCallsSinceReport(t *testing.T) {
	s := scheduler(t, Options{}, engines(100, "a"))
	for id := CallID(1); id <= 4; id++ {
		add(t, s, start.Add(time.Duration(id)*time.Second), id, Request{Workspace: "w"})
	}
	calls := func() float64 { return s.targets["a"].estimatedCalls(s.targets["a"].load.At) }
	s.Report("a", Load{At: start.Add(2500 * time.Millisecond), Running: 10, Waiting: 2})
	assert.Equal(t, calls(), 14.0) // calls 3 and 4 are not in the report
	s.Release(start.Add(5*time.Second), 1, Usage{})
	assert.Equal(t, calls(), 13.0)
	s.Release(start.Add(5*time.Second), 4, Usage{})
	assert.Equal(t, calls(), 12.0)
	s.Report("a", Load{At: start.Add(6 * time.Second), Running: 9})
	assert.Equal(t, calls(), 9.0)
	s.Report("a", Load{At: start, Running: 50}) // older: ignored
	assert.Equal(t, calls(), 9.0)
}

// Guards against a program that loses its prefix because others took the slot
// during its pause, and against one that waits for it forever.
func TestHeldProgramWaitsForItsTargetWithinBound(t *testing.T) {
	run := func(r Retention) (soon, later []Grant) {
		s := scheduler(t, Options{Retention: r}, engines(1, "a", "b"))
		s.SetSkip(start, "b", true)
		add(t, s, start, 1, Request{Workspace: "w", Program: "p", Prompt: 10_000, Prefixes: []uint64{1}})
		s.Release(start, 1, Usage{Prompt: 10_000})
		add(t, s, start, 2, Request{Workspace: "w", Program: "q", Prompt: 10})
		s.SetSkip(start, "b", false)
		now := start.Add(time.Second)
		soon = add(t, s, now, 3, Request{Workspace: "w", Program: "p", Prompt: 11_000, Prefixes: []uint64{1, 2}})
		s.Tick(now.Add(7900 * time.Millisecond))
		return soon, s.Tick(now.Add(8100 * time.Millisecond))
	}
	soon, later := run(HoldThroughPause{})
	assert.Equal(t, len(soon), 0)
	assert.DeepEqual(t, later, []Grant{{Call: 3, Target: "b"}})
	soon, _ = run(NoRetention{})
	assert.DeepEqual(t, soon, []Grant{{Call: 3, Target: "b"}})
}

// Guards against a program that loses its hold, or counts only a part of its
// pause, because its tool is a call to a service.
func TestServiceCallDoesNotEndHold(t *testing.T) {
	list := append(engines(1, "a"), Target{ID: "tool", Limit: 1})
	s := scheduler(t, Options{}, list)
	p := Request{Workspace: "w", Program: "p", Prompt: 10_000, Prefixes: []uint64{1}}
	add(t, s, start, 1, p)
	s.Release(start, 1, Usage{Prompt: 10_000})
	g, err := s.Add(start.Add(time.Second), 2, Request{Workspace: "w", Program: "p", Candidates: []model.TargetID{"tool"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, g, []Grant{{Call: 2, Target: "tool"}})
	assert.Equal(t, s.Dump().Held, 1)
	s.Release(start.Add(2*time.Second), 2, Usage{})
	assert.Equal(t, s.Dump().Held, 1)
	add(t, s, start.Add(3*time.Second), 3, p)
	assert.Equal(t, s.Dump().Held, 0)
	assert.Equal(t, s.programs[p.programKey()].meanPause, 3*time.Second)
}

// Guards against more calls in flight than the limit, granted calls of
// excluded, skipped or leaving targets, lost calls, and idle targets while a
// call waits for them.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := Options{Seed: rapid.Uint64().Draw(rt, "seed")}
		if rapid.Bool().Draw(rt, "baseline") {
			o = Options{Order: FirstCome{}, Choice: RoundRobin{}, Retention: NoRetention{}}
		}
		m := newMachine(o)
		rt.Repeat(map[string]func(*rapid.T){
			"add":     m.add,
			"release": m.release,
			"cancel":  m.cancel,
			"targets": m.setTargets,
			"skip":    m.skip,
			"tick":    m.tick,
			"":        m.check,
		})
		m.drain(rt)
	})
}

type machine struct {
	s        *Scheduler
	now      time.Time
	id       CallID
	waiting  map[CallID]Request
	running  map[CallID]model.TargetID
	targets  map[model.TargetID]Target
	overflow map[model.TargetID]int // calls in flight when the limit fell
}

func newMachine(o Options) *machine {
	m := &machine{
		s: NewScheduler(o), now: start, waiting: map[CallID]Request{}, running: map[CallID]model.TargetID{},
		targets: map[model.TargetID]Target{}, overflow: map[model.TargetID]int{},
	}
	for _, x := range engines(2, "a", "b", "c") {
		m.targets[x.ID] = x
	}
	m.apply()
	return m
}

func (m *machine) apply() []Grant {
	var list []Target
	for _, x := range m.targets {
		list = append(list, x)
	}
	return m.s.SetTargets(m.now, list)
}

func (m *machine) granted(t *rapid.T, grants []Grant) {
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
			t.Fatalf("call %d granted at %q, which has no room", g.Call, g.Target)
		}
		delete(m.waiting, g.Call)
		m.running[g.Call] = g.Target
	}
}

func (m *machine) inFlight(id model.TargetID) int {
	n := 0
	for _, t := range m.running {
		if t == id {
			n++
		}
	}
	return n
}

func (m *machine) add(t *rapid.T) {
	m.id++
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
	grants, err := m.s.Add(m.now, m.id, r)
	if err != nil {
		t.Fatal(err)
	}
	m.waiting[m.id] = r
	m.granted(t, grants)
}

func (m *machine) release(t *rapid.T) {
	for id := CallID(1); id <= m.id; id++ {
		if _, ok := m.running[id]; ok {
			delete(m.running, id)
			u := Usage{Prompt: model.Tokens(rapid.IntRange(0, 5000).Draw(t, "used")), Failed: rapid.Bool().Draw(t, "failed")}
			m.granted(t, m.s.Release(m.now, id, u))
			return
		}
	}
}

func (m *machine) cancel(t *rapid.T) {
	id := CallID(rapid.Uint64Range(1, uint64(m.id+1)).Draw(t, "id"))
	_, waits := m.waiting[id]
	if m.s.Cancel(id) != waits {
		t.Fatalf("cancel of call %d returned %v", id, !waits)
	}
	delete(m.waiting, id)
}

func (m *machine) setTargets(t *rapid.T) {
	id := rapid.SampledFrom([]model.TargetID{"a", "b", "c"}).Draw(t, "target")
	x := m.targets[id]
	x.Limit = rapid.IntRange(0, 3).Draw(t, "limit")
	m.targets[id] = x
	m.granted(t, m.apply())
}

func (m *machine) skip(t *rapid.T) {
	id := rapid.SampledFrom([]model.TargetID{"a", "b", "c"}).Draw(t, "target")
	x := m.targets[id]
	x.Skip = !x.Skip
	m.targets[id] = x
	m.granted(t, m.s.SetSkip(m.now, id, x.Skip))
}

func (m *machine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	m.granted(t, m.s.Tick(m.now))
}

func (m *machine) check(t *rapid.T) {
	if len(m.s.waiting) != len(m.waiting) || len(m.s.running) != len(m.running) {
		t.Fatalf("%d waiting and %d running, want %d and %d", len(m.s.waiting), len(m.s.running), len(m.waiting), len(m.running))
	}
}

// drain opens all targets; every waiting call must run.
func (m *machine) drain(t *rapid.T) {
	for id, x := range m.targets {
		x.Limit, x.Skip = 2, false
		m.targets[id] = x
	}
	m.granted(t, m.apply())
	for range 20 * int(m.id+1) {
		m.now = m.now.Add(time.Second)
		m.granted(t, m.s.Tick(m.now))
		m.release(t)
	}
	if len(m.waiting) > 0 {
		t.Fatalf("calls %v never ran", m.waiting)
	}
}

// Guards against parts that add up to more or less than the bound, or that
// give all small bounds to the same hosts.
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
			rt.Fatalf("parts add up to %d, want %d", sum, limit)
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

// Guards against a target that is avoided for calls that ended long ago: a host
// of a large fleet gets no newer report while it sends nothing there.
func TestOldReportDoesNotCount(t *testing.T) {
	s := scheduler(t, Options{}, engines(100, "a"))
	add(t, s, start, 1, Request{Workspace: "w"})
	s.Report("a", Load{At: start, Running: 9})
	a := s.targets["a"]
	assert.Equal(t, a.estimatedCalls(start.Add(loadFreshAge)), 9.0)
	assert.Equal(t, a.estimatedCalls(start.Add((loadFreshAge+loadMaxAge)/2)), 5.0)
	assert.Equal(t, a.estimatedCalls(start.Add(loadMaxAge)), 1.0, "own calls count in any case")
}

// Guards against programs whose turns arrive at several hosts and whose prompt
// each host has computed at another target.
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
		for seed := range uint64(4) { // one scheduler a host
			s := scheduler(t, Options{Seed: seed}, engines(100, names...))
			g := add(t, s, start, 1, r)
			if seed == 0 {
				first = g[0].Target
			}
			assert.Equal(t, g[0].Target, first)
		}
		used[first]++
	}
	assert.Equal(t, len(used), 45/homeDivisor, "programs with one shared prefix use its homes, and all of them")
}
