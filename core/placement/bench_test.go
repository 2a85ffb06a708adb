package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosarelay/core/model"
)

// The scale of the fleet for which the scheduler is designed.
const (
	benchHosts      = 340
	benchTargets    = 600
	benchModels     = 7
	benchWorkspaces = 740
	benchPrograms   = 49_000
	benchInFlight   = 64 // per target, fleet-wide
)

// benchCall generates the calls of one program.
type benchCall struct {
	request Request
	turn    uint64
}

func benchModel(i int) model.ModelID { return model.ModelID(fmt.Sprint("model-", i%benchModels)) }

// benchTargetList returns the targets with the given limits. With everyModel each
// target serves all models, so that a decision compares all 600 targets.
func benchTargetList(limit func(model.TargetID) int, everyModel bool) []Target {
	var list []Target
	for i := range benchTargets {
		t := Target{ID: model.TargetID(fmt.Sprintf("target-%03d", i)), Models: []model.ModelID{benchModel(i)}}
		if everyModel {
			t.Models = nil
			for m := range benchModels {
				t.Models = append(t.Models, benchModel(m))
			}
		}
		t.Limit = limit(t.ID)
		list = append(list, t)
	}
	return list
}

// benchHostLimit returns the limits of one host of the fleet.
func benchHostLimit() func(model.TargetID) int {
	var hosts []model.HostID
	for i := range benchHosts {
		hosts = append(hosts, model.HostID(fmt.Sprint("host-", i)))
	}
	return func(t model.TargetID) int { return HostLimit(hosts, hosts[0], t, benchInFlight) }
}

// newBenchCalls returns the calls of 49,000 programs with a history of 40 messages.
func newBenchCalls() []benchCall {
	calls := make([]benchCall, benchPrograms)
	for i := range calls {
		r := Request{
			Workspace: model.WorkspaceID(fmt.Sprint("workspace-", i%benchWorkspaces)),
			Program:   model.ProgramID(fmt.Sprint("program-", i)),
			Model:     benchModel(i),
			Prompt:    20_000,
			Prefixes:  []uint64{uint64(i % benchModels), uint64(i%benchWorkspaces) + 100},
		}
		for m := range uint64(38) {
			r.Prefixes = append(r.Prefixes, uint64(i)<<20|m<<8|1)
		}
		calls[i].request = r
	}
	return calls
}

// next returns the next call of program i, whose prompt is two messages longer.
func (c *benchCall) next(i int) Request {
	c.turn++
	c.request.Prefixes = append(c.request.Prefixes, uint64(i)<<20|(c.turn+100)<<8, uint64(i)<<20|(c.turn+100)<<8|2)
	return c.request
}

// benchmarkDecision measures one call: Add, the grant and Release. With a backlog
// of waiting calls, the grant comes from Release.
func benchmarkDecision(b *testing.B, o Options, targets []Target, backlog int) {
	s := NewScheduler(o)
	now := start
	s.SetTargets(now, targets)
	calls := newBenchCalls()
	random := rand.New(rand.NewPCG(1, 2))
	var running []CallID
	id := CallID(0)
	add := func() {
		id++
		i := random.IntN(len(calls))
		grants, err := s.Add(now, id, calls[i].next(i))
		if err != nil {
			b.Fatal(err)
		}
		for _, g := range grants {
			running = append(running, g.Call)
		}
	}
	for len(s.waiting) < backlog || backlog == 0 && len(running) < 100 {
		add()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Millisecond)
		add()
		i := random.IntN(len(running))
		for _, g := range s.Release(now, running[i], Usage{Prompt: 20_000, Cached: 19_000, Completion: 300}) {
			running = append(running, g.Call)
		}
		running[i] = running[len(running)-1]
		running = running[:len(running)-1]
	}
}

func unlimited(model.TargetID) int { return benchInFlight }

func BenchmarkDecision(b *testing.B) {
	baseline := Options{Order: FirstCome{}, Choice: RoundRobin{}, Retention: NoRetention{}}
	benchmarks := map[string]struct {
		options Options
		targets []Target
		backlog int
	}{
		"OneHostLimit":        {Options{}, benchTargetList(benchHostLimit(), false), 0},
		"OneHostLimitBacklog": {Options{}, benchTargetList(benchHostLimit(), false), 2000},
		"AllTargets":          {Options{}, benchTargetList(unlimited, false), 0},
		"AllTargetsAnyModel":  {Options{}, benchTargetList(unlimited, true), 0},
		"AnyModelBacklog":     {Options{}, benchTargetList(unlimited, true), 2000},
		"Baseline":            {baseline, benchTargetList(unlimited, true), 0},
		"BaselineBacklog":     {baseline, benchTargetList(unlimited, true), 2000},
	}
	for name, bb := range benchmarks {
		b.Run(name, func(b *testing.B) { benchmarkDecision(b, bb.options, bb.targets, bb.backlog) })
	}
}

func BenchmarkHostLimit(b *testing.B) {
	hostLimit := benchHostLimit()
	for range b.N {
		hostLimit("target-001")
	}
}

// BenchmarkChoose measures the choice of a target for one of 1,000 waiting calls of 190
// workspaces, by the host limits of a fleet of 300 hosts and 132 targets. It must take at
// most 20 µs and allocate nothing.
func BenchmarkChoose(b *testing.B) {
	s := newChooseScheduler()
	c := s.classes[classKey{model: "model-0"}]
	now := start.Add(time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s.chooseTarget(c, s.waiting[CallID(i%1000+1)], now)
	}
}

func newChooseScheduler() *Scheduler {
	s := NewScheduler(Options{Zone: "zone-0"})
	var list []Target
	for i := range 132 {
		list = append(list, Target{ID: model.TargetID(fmt.Sprint("target-", i)), Models: []model.ModelID{"model-0"}, Zone: model.Zone(fmt.Sprint("zone-", i%4)), Slots: 16})
	}
	s.SetTargets(start, list)
	calls := newBenchCalls()
	for i := range 1000 {
		r := calls[i].request
		r.Workspace, r.Model = model.WorkspaceID(fmt.Sprint("workspace-", i%190)), "model-0"
		if _, err := s.Add(start, CallID(i+1), r); err != nil {
			panic(err)
		}
	}
	for i := range list { // without grants, so that the calls go on waiting
		t := s.targets[list[i].ID]
		t.Limit = 2
		t.refresh()
		s.Report(t.ID, Load{At: start, Running: i % 16, Waiting: i % 3, Slots: 16, Slowness: 1 + float64(i%2)})
	}
	return s
}

// Guards against a decision that allocates, which would cost a small host much of its
// processor time under load.
func TestChoiceAllocatesNothing(t *testing.T) {
	s := newChooseScheduler()
	c := s.classes[classKey{model: "model-0"}]
	i := CallID(0)
	n := testing.AllocsPerRun(1000, func() {
		i = i%1000 + 1
		s.chooseTarget(c, s.waiting[i], start.Add(time.Second))
	})
	if n != 0 {
		t.Fatalf("%v allocations for each choice", n)
	}
}
