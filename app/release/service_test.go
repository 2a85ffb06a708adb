package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mimosarelay/app/orders"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/release"
	"mimosarelay/io/target"
	"mimosarelay/standin/engine"
)

func TestMain(m *testing.M) {
	// fasthttp never stops its clock of response dates.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// fakeEngines holds the cache memory of several engines.
type fakeEngines struct {
	mu       sync.Mutex
	held     map[model.TargetID]map[string]bool
	failures int // number of further releases that fail
}

// Programs implements Engines.
func (m *fakeEngines) Programs(_ context.Context, t config.Target) ([]release.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []release.Entry
	for p := range m.held[t.Name] {
		entries = append(entries, release.Entry{Program: p, Blocks: 1})
	}
	return entries, nil
}

// Release implements Engines.
func (m *fakeEngines) Release(_ context.Context, t config.Target, program string) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failures > 0 {
		m.failures--
		return 0, errors.New("simulated failure of a release at the engine")
	}
	delete(m.held[t.Name], program)
	return 1, nil
}

func (m *fakeEngines) programs(t model.TargetID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held[t])
}

// fleet holds the state that is shared by the services of several hosts.
type fleet struct {
	clock       *clockwork.FakeClock
	engines     *fakeEngines
	hosts       []model.HostID
	mu          sync.Mutex
	live        map[model.ProgramKey]bool
	liveQueries atomic.Int64 // number of calls of Options.Live
}

func newFleet(t *testing.T) (*fleet, []*Service) {
	t.Helper()
	f := &fleet{
		clock:   clockwork.NewFakeClock(),
		engines: &fakeEngines{held: map[model.TargetID]map[string]bool{}},
		hosts:   []model.HostID{"h1", "h2", "h3"},
		live:    map[model.ProgramKey]bool{},
	}
	d := config.Document{}
	for i := range 6 {
		id := model.TargetID(fmt.Sprint("e", i))
		d.Targets = append(d.Targets, config.Target{Name: id, Kind: config.Engine})
		f.engines.held[id] = map[string]bool{"w/a": true, "w/b": true}
	}
	snapshot := config.NewSnapshot(&d)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	var services []*Service
	for _, h := range f.hosts {
		s := New(Options{
			Host: h, Engines: f.engines, Clock: f.clock, Log: slog.New(slog.DiscardHandler),
			Hosts:    func() []model.HostID { return f.hosts },
			Snapshot: func() *config.Snapshot { return snapshot },
			Live:     func() map[model.ProgramKey]bool { return f.livePrograms(true) },
		})
		services = append(services, s)
		group.Go(func() { _ = s.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	assert.NilError(t, f.clock.BlockUntilContext(ctx, len(f.hosts)))
	return f, services
}

func (f *fleet) livePrograms(count bool) map[model.ProgramKey]bool {
	if count {
		f.liveQueries.Add(1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.live == nil {
		return nil
	}
	c := map[model.ProgramKey]bool{}
	for k := range f.live {
		c[k] = true
	}
	return c
}

func (f *fleet) setLive(live map[model.ProgramKey]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = live
}

func (f *fleet) entriesHeld() int {
	n := 0
	for i := range 6 {
		n += f.engines.programs(model.TargetID(fmt.Sprint("e", i)))
	}
	return n
}

// sweepTimeout limits the real time of a sweep.
const sweepTimeout = 5 * time.Second

// sweep advances the clock by one interval and waits for the sweeps of all hosts.
func (f *fleet) sweep(t *testing.T, services []*Service) {
	t.Helper()
	before := f.liveQueries.Load()
	f.clock.Advance(defaultInterval)
	sweepers := map[model.HostID]bool{}
	for id := range f.engines.held {
		sweepers[release.Sweeper(id, f.hosts)] = true
	}
	deadline := time.Now().Add(sweepTimeout)
	for !f.swept(before+int64(len(sweepers)), sweepers, services) {
		assert.Assert(t, time.Now().Before(deadline), "sweep did not end within %v", sweepTimeout)
		time.Sleep(100 * time.Microsecond)
	}
}

func (f *fleet) swept(queries int64, sweepers map[model.HostID]bool, services []*Service) bool {
	if f.liveQueries.Load() < queries {
		return false
	}
	if f.livePrograms(false) == nil { // sweeps end when the live programs are unknown
		return true
	}
	for _, s := range services {
		s.mu.Lock()
		done := s.lastSweep.Equal(f.clock.Now()) || !sweepers[s.options.Host]
		s.mu.Unlock()
		if !done {
			return false
		}
	}
	return true
}

var (
	a = model.ProgramKey{Workspace: "w", Program: "a"}
	b = model.ProgramKey{Workspace: "w", Program: "b"}
)

// Guards against a sweep that frees the memory of a live program, and against
// memory of an ended program that is held for 30 s or longer after one release
// fails.
func TestSweepReleasesOnlyEndedPrograms(t *testing.T) {
	f, hosts := newFleet(t)
	f.setLive(map[model.ProgramKey]bool{a: true, b: true})
	f.sweep(t, hosts)
	assert.Equal(t, f.entriesHeld(), 12)
	f.setLive(map[model.ProgramKey]bool{a: true})
	f.engines.mu.Lock()
	f.engines.failures = 1
	f.engines.mu.Unlock()
	begin := f.clock.Now()
	for f.entriesHeld() > 6 {
		f.sweep(t, hosts)
		assert.Assert(t, f.clock.Since(begin) < 30*time.Second, "%d entries held", f.entriesHeld())
	}
	for id := range f.engines.held {
		assert.Assert(t, f.engines.held[id]["w/a"])
	}
}

// Guards against releases while a shard is taken over, when no host knows its live
// programs.
func TestNothingIsReleasedWhileLiveProgramsAreUnknown(t *testing.T) {
	f, hosts := newFleet(t)
	f.setLive(nil)
	for range 3 {
		f.sweep(t, hosts)
	}
	assert.Equal(t, f.entriesHeld(), 12)
}

// Guards against memory of an ended program that is held until the next sweep.
func TestReleaseProgramDoesNotWaitForSweep(t *testing.T) {
	f, hosts := newFleet(t)
	f.setLive(map[model.ProgramKey]bool{a: true, b: true})
	hosts[1].RecordUse(a, "e0")
	hosts[1].RecordUse(a, "e0")
	hosts[1].RecordUse(a, "e3")
	hosts[1].ReleaseProgram(a)
	for f.entriesHeld() > 10 { // no sweep runs, because the fake clock does not advance
		time.Sleep(100 * time.Microsecond)
	}
	assert.Equal(t, f.engines.programs("e0"), 1)
	assert.Equal(t, f.engines.programs("e3"), 1)
}

// Guards against differences between orders.Client and the protocol of engines.
func TestClientUnderstandsEngineProtocol(t *testing.T) {
	s, err := engine.Start(engine.Options{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	c := orders.Client{Targets: target.NewClient(target.Options{})}
	defer func() { assert.NilError(t, c.Targets.Close()) }()
	e := config.Target{Name: "e", Address: s.Address()}
	for _, program := range []string{"w/a", "w/b"} {
		complete(t, c.Targets, s.Address(), program)
	}
	entries, err := c.Programs(t.Context(), e)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 2)
	dead := release.Plan(entries, map[model.ProgramKey]bool{a: true})
	assert.DeepEqual(t, dead, []model.ProgramKey{b})
	freed, err := c.Release(t.Context(), e, release.Name(b))
	assert.NilError(t, err)
	assert.Assert(t, freed > 0)
	entries, err = c.Programs(t.Context(), e)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	load, err := c.Load(t.Context(), e)
	assert.NilError(t, err)
	assert.Equal(t, load.Running, 0)
	assert.Assert(t, time.Since(load.At) < time.Minute)
}

func complete(t *testing.T, c *target.Client, address, program string) {
	t.Helper()
	content := fmt.Sprintf("%s %0500d", program, 1)
	body, err := json.Marshal(map[string]any{
		"model": engine.DefaultModel, "messages": []map[string]string{{"role": "user", "content": content}},
	})
	assert.NilError(t, err)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/chat/completions")
	req.Header.SetHost(address)
	req.Header.Set("X-Program", program)
	req.SetBodyRaw(body)
	resp, err := c.Do(t.Context(), address, req, target.CallOptions{})
	assert.NilError(t, err)
	_, err = resp.ReadAll(1 << 20)
	assert.NilError(t, err)
	assert.Equal(t, resp.Status(), fasthttp.StatusOK)
	assert.NilError(t, resp.Close())
}
