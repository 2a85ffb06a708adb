package programs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// memStore is the platform's store with outages and lost answers.
type memStore struct {
	store.Store // methods that the service does not use

	mu      sync.Mutex
	values  map[string]store.Entry
	version store.Version
	down    bool
	lose    int // answers of the next writes to lose
}

func (m *memStore) set(f func(*memStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
}

func (m *memStore) Get(_ context.Context, key string) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.values[key]
	switch {
	case m.down:
		return e, store.ErrUnavailable
	case !ok:
		return e, store.ErrNotFound
	}
	return e, nil
}

func (m *memStore) List(_ context.Context, prefix string) ([]store.Entry, store.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, 0, store.ErrUnavailable
	}
	var out []store.Entry
	for k, e := range m.values {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	return out, m.version, nil
}

func (m *memStore) Put(_ context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down:
		return 0, store.ErrUnavailable
	case len(value) > store.MaxValue:
		return 0, errors.New("value too large")
	case m.values[key].Version != prev:
		return 0, store.ErrConflict
	}
	m.version++
	m.values[key] = store.Entry{Key: key, Value: slices.Clone(value), Version: m.version}
	if m.lose > 0 {
		m.lose--
		return 0, store.ErrUnknown
	}
	return m.version, nil
}

func (m *memStore) Delete(_ context.Context, key string, prev store.Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return store.ErrUnavailable
	}
	if m.values[key].Version != prev {
		return store.ErrConflict
	}
	delete(m.values, key)
	return nil
}

// host is one process of the simulated fleet.
type host struct {
	Member
	s      *Service
	dead   atomic.Bool  // neither sends nor receives
	frozen atomic.Bool  // as dead, and without the right to act
	lapsed atomic.Bool  // removed from the membership without knowing it
	mute   atomic.Int32 // answers of this host to lose
	missed atomic.Int32 // requests that came while it was dead or frozen
}

func (h *host) reachable() bool { return !h.dead.Load() && !h.frozen.Load() }

// world is a fleet on a fake clock with an in-memory network and store. The
// test decides about membership as core/member would: a host is removed only
// after it lost its right to act.
type world struct {
	t     *testing.T
	clock *clockwork.FakeClock
	store *memStore
	hosts []*host
	epoch model.Epoch
	last  map[model.HostID]Topology

	change []func(Member, *Options)

	mu   sync.Mutex
	hits map[string]int // requests that reached the target
}

type link struct {
	w    *world
	from *host
}

// deliver calls f at the host with the address if both ends are reachable.
func deliver[T any](l link, address string, f func(*Service) (T, error)) (T, error) {
	var zero T
	lost := fmt.Errorf("%s: connection lost", address)
	i := slices.IndexFunc(l.w.hosts, func(h *host) bool { return h.Address == address })
	to := l.w.hosts[i]
	if !to.reachable() {
		to.missed.Add(1)
	}
	if !l.from.reachable() || !to.reachable() {
		return zero, lost
	}
	out, err := f(to.s)
	if !to.reachable() || !l.from.reachable() || to.mute.Add(-1) >= 0 {
		return zero, lost
	}
	return out, err
}

func (l link) Replicate(ctx context.Context, a string, r *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	return deliver(l, a, func(s *Service) (*peerpb.ReplicateResponse, error) { return s.HandleReplicate(ctx, r) })
}

func (l link) TakeShards(ctx context.Context, a string, r *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	return deliver(l, a, func(s *Service) (*peerpb.TakeShardsResponse, error) { return s.HandleTakeShards(ctx, r) })
}

func (l link) FetchRecords(ctx context.Context, a string, r *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	return deliver(l, a, func(s *Service) (*peerpb.FetchRecordsResponse, error) {
		all := &peerpb.FetchRecordsResponse{}
		err := s.HandleFetchRecords(ctx, r, func(m *peerpb.FetchRecordsResponse) error {
			all.Records = append(all.Records, m.GetRecords()...)
			return nil
		})
		return all, err
	})
}

// newWorld starts hosts a0, b1, c2, a3, ... in three zones. Host a0 owns all
// shards until it leaves, then the next host in order does.
func newWorld(t *testing.T, n int, change ...func(Member, *Options)) *world {
	return newZones(t, n, 3, change...)
}

func newZones(t *testing.T, n, zones int, change ...func(Member, *Options)) *world {
	w := &world{
		t:     t,
		clock: clockwork.NewFakeClockAt(time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)),
		store: &memStore{values: map[string]store.Entry{}},
		last:  map[model.HostID]Topology{},
		hits:  map[string]int{},

		change: change,
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range n {
		zone := string(rune('a' + i%zones))
		name := fmt.Sprintf("%s%d", zone, i)
		w.start(ctx, Member{Host: model.HostID(name), Incarnation: "1", Zone: model.Zone(zone), Address: name})
	}
	stopped := make(chan struct{})
	go func() { // time passes while the services wait
		defer close(stopped)
		for ctx.Err() == nil {
			w.clock.Advance(5 * time.Millisecond)
			time.Sleep(50 * time.Microsecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		for _, h := range w.hosts {
			h.s.Close()
		}
		<-stopped
	})
	w.enter()
	return w
}

func (w *world) start(ctx context.Context, m Member) *host {
	h := &host{Member: m}
	o := Options{
		Store:  hostStore{w.store, h},
		Peers:  link{w, h},
		Clock:  w.clock,
		MayAct: func() bool { return h.reachable() && !h.lapsed.Load() },
		Budget: func(model.WorkspaceID) program.Budget { return program.Budget{Tokens: 10000} },
	}
	for _, f := range w.change {
		f(m, &o)
	}
	h.s = New(o)
	w.hosts = append(w.hosts, h)
	go func() { _ = h.s.Run(ctx) }()
	return h
}

// hostStore cuts a dead or frozen host off from the store.
type hostStore struct {
	*memStore
	h *host
}

func (s hostStore) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	if !s.h.reachable() {
		return 0, store.ErrUnavailable
	}
	return s.memStore.Put(ctx, key, value, prev)
}

// enter starts a new epoch with the hosts that are reachable; leaving hosts
// stay members but own nothing.
func (w *world) enter() {
	w.epoch++
	t := Topology{Epoch: w.epoch}
	var order []model.HostID
	for _, h := range w.hosts {
		if !h.reachable() {
			continue
		}
		t.Members = append(t.Members, h.Member)
		if !h.Leaving {
			order = append(order, h.Host)
		}
	}
	t.OwnerOf = func(model.Shard) model.HostID { return order[0] }
	t.ReplicasOf = func(model.Shard) []model.HostID { return order }
	for _, h := range w.hosts {
		if !h.reachable() {
			continue
		}
		t.Self = h.Host
		h.s.EpochChanged(w.last[h.Host], t)
		w.last[h.Host] = t
	}
}

// send is the counting target.
func (w *world) send(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hits[id]++
}

func (w *world) count(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hits[id]
}

var testKey = model.ProgramKey{Workspace: "w", Program: "p"}

func spec(n model.CallNumber, idempotent bool) CallSpec {
	return CallSpec{
		Key:         testKey,
		Call:        n,
		Fingerprint: model.Fingerprint(fmt.Sprint("f", n)),
		Reserve:     10,
		Idempotent:  idempotent,
		Messages:    []byte(fmt.Sprint("question ", n)),
	}
}

func id(n model.CallNumber) string { return fmt.Sprint("call ", n) }

func answer(n model.CallNumber) Result {
	return Result{Answer: []byte(fmt.Sprint("answer ", n)), ContentType: "text/plain", Status: 200, Used: 7}
}

// call runs one call at a host from start to end.
func (w *world) call(h *host, c CallSpec) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d, err := h.s.Begin(ctx, c)
	if err != nil {
		return Result{}, err
	}
	switch d := d.(type) {
	case *Replay:
		return d.Result, nil
	case *Run:
		if err := d.Start(ctx); err != nil {
			return Result{}, err
		}
		w.send(id(c.Call))
		return answer(c.Call), d.Finish(ctx, answer(c.Call))
	}
	return Result{}, errors.New("unknown decision")
}

func ran(t *testing.T, err error) model.Ran {
	t.Helper()
	var r *model.Refusal
	assert.Assert(t, errors.As(err, &r), "%v", err)
	return r.Ran
}

// until polls a condition; a failure is reported as a test error.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 20000 {
		if f() {
			return
		}
		time.Sleep(200 * time.Microsecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func replicateOf(t Topology) *peerpb.ReplicateRequest {
	return &peerpb.ReplicateRequest{Sender: t.sender()}
}

func fetchOf(t Topology) *peerpb.FetchRecordsRequest {
	return &peerpb.FetchRecordsRequest{Sender: t.sender()}
}
