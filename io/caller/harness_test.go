package caller_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/programs"
	"mimosarelay/app/relay"
	"mimosarelay/app/suspects"
	"mimosarelay/core/config"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
	"mimosarelay/core/program"
	"mimosarelay/core/store/memstore"
	"mimosarelay/io/caller"
	"mimosarelay/io/peer"
	"mimosarelay/io/target"
	"mimosarelay/standin/engine"
	"mimosarelay/standin/service"
)

// harness runs the server of a host without peers, with two engines and one
// service as targets.
type harness struct {
	t            testing.TB
	url          string
	key          string
	engines      []*engine.Server
	service      *service.Server
	snapshot     func() *config.Snapshot
	updateConfig func(func(*config.Document))
	streams      *relay.CallRegistry
	server       *caller.Server
	setReady     func(bool)
	draining     atomic.Bool // accepts calls although it is not ready
	memory       *memory.Account
}

// harnessMemory is the memory for callers, in bytes.
const harnessMemory = 4 << 20

func newHarness(t testing.TB, engineOptions engine.Options) *harness {
	t.Helper()
	h := &harness{t: t, memory: memory.New(memory.Options{Capacity: harnessMemory, MaxHolders: 1000, Clock: clockwork.NewRealClock()})}
	for range 2 {
		o := engineOptions
		o.Listen = "127.0.0.1:0"
		e, err := engine.Start(o)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = e.Close() })
		h.engines = append(h.engines, e)
	}
	var err error
	h.service, err = service.Start(service.Options{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = h.service.Close() })
	h.setUpConfig()
	h.start()
	return h
}

// setUpConfig creates a configuration with one workspace and the stand-ins as
// targets.
func (h *harness) setUpConfig() {
	h.key = config.NewKey("k1")
	hash, err := config.HashKey(h.key)
	assert.NilError(h.t, err)
	document := &config.Document{
		Revision: 1,
		Workspaces: []config.Workspace{{
			Name: "office", Keys: []config.Key{{ID: "k1", Hash: hash}}, Rate: 1000, Burst: 1000,
			Budget: config.Budget{Tokens: 10000, Calls: 20, Lifetime: time.Hour},
		}},
		Targets: []config.Target{
			{Name: "engine-1", Kind: config.Engine, Address: h.engines[0].Address(), Models: []model.ModelID{engine.DefaultModel}, MaxInFlight: 8},
			{Name: "engine-2", Kind: config.Engine, Address: h.engines[1].Address(), Models: []model.ModelID{engine.DefaultModel}, MaxInFlight: 8},
			{Name: "payments", Kind: config.Service, Address: h.service.Address(), MaxInFlight: 8},
		},
		Routes: []config.Route{
			{Name: "pay", Targets: []model.TargetID{"payments"}, Timeout: 2 * time.Second},
			{Name: "look", Targets: []model.TargetID{"payments"}, Repeatable: true, Open: true, Methods: []string{"GET"}},
		},
	}
	var mu sync.Mutex
	current := config.NewSnapshot(document)
	h.snapshot = func() *config.Snapshot {
		mu.Lock()
		defer mu.Unlock()
		return current
	}
	h.updateConfig = func(edit func(*config.Document)) {
		mu.Lock()
		next := current.Document().Clone()
		edit(next)
		next.Revision++
		current = config.NewSnapshot(next)
		now := current
		mu.Unlock()
		h.streams.Enforce(now)
	}
}

// start starts the server and everything that it depends on.
func (h *harness) start() {
	clock := clockwork.NewRealClock()
	log := slog.New(slog.DiscardHandler)
	records := programs.New(programs.Options{
		Store: memstore.New(clock).NewClient("h1"), Peers: noPeers{}, Clock: clock, MayAct: func() bool { return true },
		OrderWait: 300 * time.Millisecond,
		Budget: func(model.WorkspaceID) program.Budget {
			return program.Budget{Tokens: 10000, Calls: 20, Lifetime: time.Hour}
		},
	})
	records.EpochChanged(programs.Topology{}, programs.Topology{
		Epoch: 1, Self: "h1", Members: []programs.Member{{Host: "h1", Incarnation: "i1", Zone: "a"}},
		OwnerOf:    func(model.Shard) model.HostID { return "h1" },
		ReplicasOf: func(model.Shard) []model.HostID { return nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = records.Run(ctx) }()
	targets := target.NewClient(target.Options{})
	marks := suspects.New(suspects.Options{Host: "h1", Self: "127.0.0.1:1", Peers: noSuspectPeers{}, Store: memstore.New(clock).NewClient("h1"), Clock: clock, Log: log})
	h.streams = relay.NewCallRegistry()
	calls := relay.New(relay.Options{
		Contracts: fakeContracts{h}, Limiter: unlimitedLimiter{}, Programs: records, Owners: singleHost{}, Peers: peer.NewClient(peer.Options{}),
		Placer: &firstPlacer{harness: h}, Suspects: marks, Targets: targets, Clock: clock, Log: log, StreamIdle: 500 * time.Millisecond,
	})
	serving := true
	var mu sync.Mutex
	h.setReady = func(ok bool) { mu.Lock(); serving = ok; mu.Unlock() }
	h.server = caller.New(caller.Options{
		Relay: calls, Streams: h.streams, Hosts: singleHost{}, Snapshot: h.snapshot, Log: log,
		Ready: func() (bool, string) { mu.Lock(); defer mu.Unlock(); return serving, "switched off" },
		Serves: func() (bool, string) {
			mu.Lock()
			defer mu.Unlock()
			return serving || h.draining.Load(), "switched off"
		},
		// Low limits, so that tests can exceed them.
		MaxBody: 64 << 10, WriteTimeout: 500 * time.Millisecond, Memory: h.memory,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(h.t, err)
	h.url = "http://" + listener.Addr().String()
	serveErr := make(chan error, 1)
	go func() { serveErr <- h.server.Serve(smallBufferListener{listener}) }()
	h.t.Cleanup(func() {
		stop, done := context.WithTimeout(context.Background(), 5*time.Second)
		defer done()
		assert.Check(h.t, h.server.Shutdown(stop))
		assert.Check(h.t, <-serveErr)
		cancel()
		records.Close()
		marks.Close()
		_ = targets.Close()
	})
}

// smallBufferListener limits the send buffers of accepted connections. Otherwise
// the kernel grows them to megabytes for a caller that does not read.
type smallBufferListener struct{ net.Listener }

// sendBufferBytes is the size of a send buffer.
const sendBufferBytes = 16 << 10

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes); err != nil {
		return nil, err
	}
	return conn, nil
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request with the key of the workspace. An empty header value
// removes the header field.
func (h *harness) send(method, path, body string, headers ...string) response {
	h.t.Helper()
	req, err := http.NewRequest(method, h.url+path, strings.NewReader(body))
	assert.NilError(h.t, err)
	req.Header.Set("Authorization", "Bearer "+h.key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
		}
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(h.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(data), err}
}

// unlimitedLimiter admits everything, because app/limits tests the limits.
type unlimitedLimiter struct{}

func (unlimitedLimiter) Admit(context.Context, model.WorkspaceID) error { return nil }

type fakeContracts struct{ harness *harness }

func (c fakeContracts) Current() *config.Snapshot { return c.harness.snapshot() }

// singleHost owns every shard.
type singleHost struct{}

func (singleHost) Owner(model.Shard) (string, bool, error) { return "", true, nil }
func (singleHost) Changed() <-chan struct{}                { return nil }
func (singleHost) ActsFor(model.Shard) bool                { return true }
func (singleHost) MayAct() bool                            { return true }
func (singleHost) Addresses() []string                     { return []string{"127.0.0.1:1"} }

type noPeers struct{ programs.Peers }

type noSuspectPeers struct{ *peer.Client }

func (noSuspectPeers) Peers() []string { return nil }

// firstPlacer selects the first target that was not tried yet.
type firstPlacer struct{ harness *harness }

type fakePlace struct{ target config.Target }

func (p fakePlace) Target() config.Target { return p.target }
func (fakePlace) Release(placement.Usage) {}

func (f *firstPlacer) Acquire(_ context.Context, r placement.Request) (relay.Place, error) {
	for _, t := range f.harness.snapshot().Document().Targets {
		wanted := r.Model != "" && t.Kind == config.Engine || contains(r.Candidates, t.Name)
		if wanted && !contains(r.Exclude, t.Name) {
			return fakePlace{t}, nil
		}
	}
	return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "all targets were tried")
}

func contains(list []model.TargetID, id model.TargetID) bool {
	for _, l := range list {
		if l == id {
			return true
		}
	}
	return false
}
