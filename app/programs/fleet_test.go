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

// memStore is an in-memory store with outages and lost replies.
type memStore struct {
	store.Store // for the methods that the service does not use

	mu            sync.Mutex
	values        map[string]store.Entry
	version       store.Version
	down          bool
	repliesToLose int // number of next writes whose reply is lost
}

func (m *memStore) update(f func(*memStore)) {
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
	if m.repliesToLose > 0 {
		m.repliesToLose--
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

// host is one host of the simulated fleet.
type host struct {
	Member
	service        *Service
	dead           atomic.Bool  // neither sends nor receives
	frozen         atomic.Bool  // paused; like dead
	rightLapsed    atomic.Bool  // lost the right to act and was removed from the membership, without being told
	repliesToLose  atomic.Int32 // number of next replies of this host that are lost
	missedRequests atomic.Int32 // requests to this host while it was dead or frozen
}

func (h *host) reachable() bool { return !h.dead.Load() && !h.frozen.Load() }

// fleet is a set of hosts on a fake clock with an in-memory network and store.
// The test changes the membership under the rule of core/member: a host is
// removed only after it has lost the right to act.
type fleet struct {
	t          *testing.T
	clock      *clockwork.FakeClock
	store      *memStore
	hosts      []*host
	epoch      model.Epoch
	topologies map[model.HostID]Topology

	configure []func(Member, *Options)

	mu       sync.Mutex
	arrivals map[string]int // requests that reached the target
}

// peerLink is the connection of one host to its peers.
type peerLink struct {
	fleet *fleet
	from  *host
}

// deliver calls f with the service of the host at address, if both hosts are
// reachable, and drops the reply if it must be lost.
func deliver[T any](l peerLink, address string, f func(*Service) (T, error)) (T, error) {
	var zero T
	lost := fmt.Errorf("%s: connection lost", address)
	i := slices.IndexFunc(l.fleet.hosts, func(h *host) bool { return h.Address == address })
	to := l.fleet.hosts[i]
	if !to.reachable() {
		to.missedRequests.Add(1)
	}
	if !l.from.reachable() || !to.reachable() {
		return zero, lost
	}
	out, err := f(to.service)
	if !to.reachable() || !l.from.reachable() || to.repliesToLose.Add(-1) >= 0 {
		return zero, lost
	}
	return out, err
}

func (l peerLink) Replicate(ctx context.Context, a string, r *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	return deliver(l, a, func(s *Service) (*peerpb.ReplicateResponse, error) { return s.HandleReplicate(ctx, r) })
}

func (l peerLink) TakeShards(ctx context.Context, a string, r *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	return deliver(l, a, func(s *Service) (*peerpb.TakeShardsResponse, error) { return s.HandleTakeShards(ctx, r) })
}

func (l peerLink) FetchRecords(ctx context.Context, a string, r *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	return deliver(l, a, func(s *Service) (*peerpb.FetchRecordsResponse, error) {
		all := &peerpb.FetchRecordsResponse{}
		err := s.HandleFetchRecords(ctx, r, func(m *peerpb.FetchRecordsResponse) error {
			all.Records = append(all.Records, m.GetRecords()...)
			return nil
		})
		return all, err
	})
}

// newFleet starts n hosts a0, b1, c2, a3, ... in three zones. Host a0 owns all
// shards until it leaves; then the next host in this order does.
func newFleet(t *testing.T, n int, configure ...func(Member, *Options)) *fleet {
	return newFleetInZones(t, n, 3, configure...)
}

// newFleetInZones is newFleet with another number of zones.
func newFleetInZones(t *testing.T, n, zones int, configure ...func(Member, *Options)) *fleet {
	fl := &fleet{
		t:          t,
		clock:      clockwork.NewFakeClockAt(time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)),
		store:      &memStore{values: map[string]store.Entry{}},
		topologies: map[model.HostID]Topology{},
		arrivals:   map[string]int{},

		configure: configure,
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range n {
		zone := string(rune('a' + i%zones))
		name := fmt.Sprintf("%s%d", zone, i)
		fl.startHost(ctx, Member{Host: model.HostID(name), Incarnation: "1", Zone: model.Zone(zone), Address: name})
	}
	stopped := make(chan struct{})
	go func() { // advances the clock, so that timers of the services fire
		defer close(stopped)
		for ctx.Err() == nil {
			fl.clock.Advance(5 * time.Millisecond)
			time.Sleep(50 * time.Microsecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		for _, h := range fl.hosts {
			h.service.Close()
		}
		<-stopped
	})
	fl.startEpoch()
	return fl
}

func (fl *fleet) startHost(ctx context.Context, m Member) *host {
	h := &host{Member: m}
	o := Options{
		Store:  hostStore{fl.store, h},
		Peers:  peerLink{fl, h},
		Clock:  fl.clock,
		MayAct: func() bool { return h.reachable() && !h.rightLapsed.Load() },
		Budget: func(model.WorkspaceID) program.Budget { return program.Budget{Tokens: 10000} },
	}
	for _, f := range fl.configure {
		f(m, &o)
	}
	h.service = New(o)
	fl.hosts = append(fl.hosts, h)
	go func() { _ = h.service.Run(ctx) }()
	return h
}

// hostStore is the store as seen by one host. Writes fail while the host is dead
// or frozen.
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

// startEpoch starts a new epoch whose members are the reachable hosts. Leaving
// hosts are members but own no shards.
func (fl *fleet) startEpoch() {
	fl.epoch++
	t := Topology{Epoch: fl.epoch}
	var order []model.HostID
	for _, h := range fl.hosts {
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
	for _, h := range fl.hosts {
		if !h.reachable() {
			continue
		}
		t.Self = h.Host
		h.service.EpochChanged(fl.topologies[h.Host], t)
		fl.topologies[h.Host] = t
	}
}

// recordArrival counts a request that reached the target.
func (fl *fleet) recordArrival(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.arrivals[id]++
}

func (fl *fleet) arrivalsOf(id string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.arrivals[id]
}

var testKey = model.ProgramKey{Workspace: "w", Program: "p"}

func callSpec(n model.CallNumber, idempotent bool) CallSpec {
	return CallSpec{
		Key:         testKey,
		Call:        n,
		Fingerprint: model.Fingerprint(fmt.Sprint("f", n)),
		Reserve:     10,
		Idempotent:  idempotent,
		Messages:    []byte(fmt.Sprint("question ", n)),
	}
}

func callName(n model.CallNumber) string { return fmt.Sprint("call ", n) }

func answer(n model.CallNumber) Result {
	return Result{Answer: []byte(fmt.Sprint("answer ", n)), ContentType: "text/plain", Status: 200, Used: 7}
}

// call runs one call at a host to its end.
func (fl *fleet) call(h *host, c CallSpec) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d, err := h.service.Begin(ctx, c)
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
		fl.recordArrival(callName(c.Call))
		return answer(c.Call), d.Finish(ctx, answer(c.Call))
	}
	return Result{}, errors.New("unknown decision")
}

func ranOf(t *testing.T, err error) model.Ran {
	t.Helper()
	var r *model.Refusal
	assert.Assert(t, errors.As(err, &r), "%v", err)
	return r.Ran
}

// waitFor polls a condition and fails the test if it does not hold in time.
func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 20000 {
		if f() {
			return
		}
		time.Sleep(200 * time.Microsecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func replicateRequest(t Topology) *peerpb.ReplicateRequest {
	return &peerpb.ReplicateRequest{Sender: t.sender()}
}

func fetchRequest(t Topology) *peerpb.FetchRecordsRequest {
	return &peerpb.FetchRecordsRequest{Sender: t.sender()}
}
