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

// site is one host without peers before two engines and one service.
type site struct {
	t        testing.TB
	url      string
	key      string
	engines  []*engine.Server
	service  *service.Server
	snapshot func() *config.Snapshot
	change   func(func(*config.Document))
	streams  *relay.CallRegistry
	server   *caller.Server
	ready    func(bool)
	leaving  atomic.Bool // serves although it is not ready
}

func newSite(t testing.TB, engineOptions engine.Options) *site {
	t.Helper()
	s := &site{t: t}
	for range 2 {
		o := engineOptions
		o.Listen = "127.0.0.1:0"
		e, err := engine.Start(o)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = e.Close() })
		s.engines = append(s.engines, e)
	}
	var err error
	s.service, err = service.Start(service.Options{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.service.Close() })
	s.configure()
	s.serve()
	return s
}

func (s *site) configure() {
	s.key = config.NewKey("k1")
	hash, err := config.HashKey(s.key)
	assert.NilError(s.t, err)
	document := &config.Document{
		Revision: 1,
		Workspaces: []config.Workspace{{
			Name: "office", Keys: []config.Key{{ID: "k1", Hash: hash}}, Rate: 1000, Burst: 1000,
			Budget: config.Budget{Tokens: 10000, Calls: 20, Lifetime: time.Hour},
		}},
		Targets: []config.Target{
			{Name: "engine-1", Kind: config.Engine, Address: s.engines[0].Address(), Models: []model.ModelID{engine.DefaultModel}, MaxInFlight: 8},
			{Name: "engine-2", Kind: config.Engine, Address: s.engines[1].Address(), Models: []model.ModelID{engine.DefaultModel}, MaxInFlight: 8},
			{Name: "payments", Kind: config.Service, Address: s.service.Address(), MaxInFlight: 8},
		},
		Routes: []config.Route{
			{Name: "pay", Targets: []model.TargetID{"payments"}, Timeout: 2 * time.Second},
			{Name: "look", Targets: []model.TargetID{"payments"}, Repeatable: true, Open: true, Methods: []string{"GET"}},
		},
	}
	var mu sync.Mutex
	current := config.NewSnapshot(document)
	s.snapshot = func() *config.Snapshot {
		mu.Lock()
		defer mu.Unlock()
		return current
	}
	s.change = func(edit func(*config.Document)) {
		mu.Lock()
		next := current.Document().Clone()
		edit(next)
		next.Revision++
		current = config.NewSnapshot(next)
		now := current
		mu.Unlock()
		s.streams.Enforce(now)
	}
}

func (s *site) serve() {
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
	s.streams = relay.NewCallRegistry()
	calls := relay.New(relay.Options{
		Contracts: contractsFake{s}, Limiter: unlimited{}, Programs: records, Owners: alone{}, Peers: peer.NewClient(peer.Options{}),
		Placer: &firstPlacer{site: s}, Suspects: marks, Targets: targets, Clock: clock, Log: log, StreamIdle: 500 * time.Millisecond,
	})
	serving := true
	var mu sync.Mutex
	s.ready = func(ok bool) { mu.Lock(); serving = ok; mu.Unlock() }
	s.server = caller.New(caller.Options{
		Relay: calls, Streams: s.streams, Hosts: alone{}, Snapshot: s.snapshot, Log: log,
		Ready: func() (bool, string) { mu.Lock(); defer mu.Unlock(); return serving, "switched off" },
		Serves: func() (bool, string) {
			mu.Lock()
			defer mu.Unlock()
			return serving || s.leaving.Load(), "switched off"
		},
		// Small limits, so that tests reach them.
		MaxBody: 64 << 10, WriteTimeout: 500 * time.Millisecond,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	s.url = "http://" + listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(smallBuffers{listener}) }()
	s.t.Cleanup(func() {
		stop, done := context.WithTimeout(context.Background(), 5*time.Second)
		defer done()
		assert.Check(s.t, s.server.Shutdown(stop))
		assert.Check(s.t, <-served)
		cancel()
		records.Close()
		marks.Close()
		_ = targets.Close()
	})
}

// smallBuffers bounds the send buffers of accepted connections, which the
// kernel otherwise grows to megabytes for a caller that does not read.
type smallBuffers struct{ net.Listener }

// sendBuffer is the size of a send buffer, in bytes.
const sendBuffer = 16 << 10

func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetWriteBuffer(sendBuffer); err != nil {
		return nil, err
	}
	return conn, nil
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *site) do(method, path, body string, headers ...string) answer {
	s.t.Helper()
	req, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+s.key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
		}
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data), err}
}

// unlimited admits everything: limits have tests of their own.
type unlimited struct{}

func (unlimited) Admit(context.Context, model.WorkspaceID) error { return nil }

type contractsFake struct{ site *site }

func (c contractsFake) Current() *config.Snapshot { return c.site.snapshot() }

// alone owns every shard.
type alone struct{}

func (alone) Owner(model.Shard) (string, bool, error) { return "", true, nil }
func (alone) Changed() <-chan struct{}                { return nil }
func (alone) ActsFor(model.Shard) bool                { return true }
func (alone) MayAct() bool                            { return true }
func (alone) Addresses() []string                     { return []string{"127.0.0.1:1"} }

type noPeers struct{ programs.Peers }

type noSuspectPeers struct{ *peer.Client }

func (noSuspectPeers) Peers() []string { return nil }

// firstPlacer takes the first target that was not tried yet.
type firstPlacer struct{ site *site }

type place struct{ target config.Target }

func (p place) Target() config.Target { return p.target }
func (place) Release(placement.Usage) {}

func (f *firstPlacer) Acquire(_ context.Context, r placement.Request) (relay.Place, error) {
	for _, t := range f.site.snapshot().Document().Targets {
		wanted := r.Model != "" && t.Kind == config.Engine || contains(r.Candidates, t.Name)
		if wanted && !contains(r.Exclude, t.Name) {
			return place{t}, nil
		}
	}
	return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "no target left")
}

func contains(list []model.TargetID, id model.TargetID) bool {
	for _, l := range list {
		if l == id {
			return true
		}
	}
	return false
}
