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

// memory is the cache of several engines.
type memory struct {
	mu     sync.Mutex
	held   map[model.TargetID]map[string]bool
	errors int // number of releases that fail
}

// Programs implements Engines.
func (m *memory) Programs(_ context.Context, t config.Target) ([]release.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []release.Entry
	for p := range m.held[t.Name] {
		list = append(list, release.Entry{Program: p, Blocks: 1})
	}
	return list, nil
}

// Release implements Engines.
func (m *memory) Release(_ context.Context, t config.Target, program string) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.errors > 0 {
		m.errors--
		return 0, errors.New("engine does not answer")
	}
	delete(m.held[t.Name], program)
	return 1, nil
}

func (m *memory) programs(t model.TargetID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held[t])
}

// world is a fleet whose hosts share engines.
type world struct {
	clock  *clockwork.FakeClock
	memory *memory
	hosts  []model.HostID
	mu     sync.Mutex
	live   map[model.ProgramKey]bool
	asks   atomic.Int64 // questions for the live programs
}

func newWorld(t *testing.T) (*world, []*Service) {
	t.Helper()
	w := &world{
		clock:  clockwork.NewFakeClock(),
		memory: &memory{held: map[model.TargetID]map[string]bool{}},
		hosts:  []model.HostID{"h1", "h2", "h3"},
		live:   map[model.ProgramKey]bool{},
	}
	d := config.Document{}
	for i := range 6 {
		id := model.TargetID(fmt.Sprint("e", i))
		d.Targets = append(d.Targets, config.Target{Name: id, Kind: config.Engine})
		w.memory.held[id] = map[string]bool{"w/a": true, "w/b": true}
	}
	snapshot := config.NewSnapshot(&d)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	var list []*Service
	for _, h := range w.hosts {
		s := New(Options{
			Host: h, Engines: w.memory, Clock: w.clock, Log: slog.New(slog.DiscardHandler),
			Hosts:    func() []model.HostID { return w.hosts },
			Snapshot: func() *config.Snapshot { return snapshot },
			Live:     func() map[model.ProgramKey]bool { return w.programs(true) },
		})
		list = append(list, s)
		group.Go(func() { _ = s.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	assert.NilError(t, w.clock.BlockUntilContext(ctx, len(w.hosts)))
	return w, list
}

func (w *world) programs(count bool) map[model.ProgramKey]bool {
	if count {
		w.asks.Add(1)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.live == nil {
		return nil
	}
	c := map[model.ProgramKey]bool{}
	for k := range w.live {
		c[k] = true
	}
	return c
}

func (w *world) set(live map[model.ProgramKey]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live = live
}

func (w *world) total() int {
	n := 0
	for i := range 6 {
		n += w.memory.programs(model.TargetID(fmt.Sprint("e", i)))
	}
	return n
}

// patience bounds the real time of a sweep.
const patience = 5 * time.Second

// sweep moves the clock by an interval and waits for the sweeps of all hosts.
func (w *world) sweep(t *testing.T, list []*Service) {
	t.Helper()
	asked := w.asks.Load()
	w.clock.Advance(defaultInterval)
	sweepers := map[model.HostID]bool{}
	for id := range w.memory.held {
		sweepers[release.Sweeper(id, w.hosts)] = true
	}
	deadline := time.Now().Add(patience)
	for !w.swept(asked+int64(len(sweepers)), sweepers, list) {
		assert.Assert(t, time.Now().Before(deadline), "no sweep")
		time.Sleep(100 * time.Microsecond)
	}
}

func (w *world) swept(asks int64, sweepers map[model.HostID]bool, list []*Service) bool {
	if w.asks.Load() < asks {
		return false
	}
	if w.programs(false) == nil { // sweeps end with the question
		return true
	}
	for _, s := range list {
		s.mu.Lock()
		done := s.lastSweep.Equal(w.clock.Now()) || !sweepers[s.options.Host]
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

// Guards against memory that a program of the fleet loses, and against memory
// of an ended program that is held for 30 s, though the first release fails.
func TestSweepFreesOnlyDeadPrograms(t *testing.T) {
	w, hosts := newWorld(t)
	w.set(map[model.ProgramKey]bool{a: true, b: true})
	w.sweep(t, hosts)
	assert.Equal(t, w.total(), 12)
	w.set(map[model.ProgramKey]bool{a: true})
	w.memory.mu.Lock()
	w.memory.errors = 1
	w.memory.mu.Unlock()
	begin := w.clock.Now()
	for w.total() > 6 {
		w.sweep(t, hosts)
		assert.Assert(t, w.clock.Since(begin) < 30*time.Second, "%d entries held", w.total())
	}
	for id := range w.memory.held {
		assert.Assert(t, w.memory.held[id]["w/a"])
	}
}

// Guards against releases while a shard is taken over, when its programs are
// not known to any host.
func TestNoSweepWithoutKnowledge(t *testing.T) {
	w, hosts := newWorld(t)
	w.set(nil)
	for range 3 {
		w.sweep(t, hosts)
	}
	assert.Equal(t, w.total(), 12)
}

// Guards against a program's end that waits for the next sweep.
func TestEndReleasesAtOnce(t *testing.T) {
	w, hosts := newWorld(t)
	w.set(map[model.ProgramKey]bool{a: true, b: true})
	hosts[1].RecordUse(a, "e0")
	hosts[1].RecordUse(a, "e0")
	hosts[1].RecordUse(a, "e3")
	hosts[1].ReleaseProgram(a)
	for w.total() > 10 { // the fake clock stands still
		time.Sleep(100 * time.Microsecond)
	}
	assert.Equal(t, w.memory.programs("e0"), 1)
	assert.Equal(t, w.memory.programs("e3"), 1)
}

// Guards against a client that the engine's protocol does not understand.
func TestEngineProtocol(t *testing.T) {
	s, err := engine.Start(engine.Options{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	c := orders.Client{Targets: target.NewClient(target.Options{})}
	defer func() { assert.NilError(t, c.Targets.Close()) }()
	x := config.Target{Name: "e", Address: s.Address()}
	for _, program := range []string{"w/a", "w/b"} {
		complete(t, c.Targets, s.Address(), program)
	}
	entries, err := c.Programs(t.Context(), x)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 2)
	dead := release.Plan(entries, map[model.ProgramKey]bool{a: true})
	assert.DeepEqual(t, dead, []model.ProgramKey{b})
	freed, err := c.Release(t.Context(), x, release.Name(b))
	assert.NilError(t, err)
	assert.Assert(t, freed > 0)
	entries, err = c.Programs(t.Context(), x)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	load, err := c.Load(t.Context(), x)
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
