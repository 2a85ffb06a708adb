package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/catalog"
	"mimosarelay/app/follow"
	"mimosarelay/core/evidence"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// configBound is the time after which a confirmed configuration must be in force on
// each host that the store or a keeper with the store serves (config_ms).
const configBound = 2 * time.Second

// pathToStore is a catalog.Source: the store as one host reaches it.
type pathToStore struct {
	store   *sharedStore
	silent  bool          // requests get no answer
	latency time.Duration // of one request
	calls   int
}

// sharedStore is the store of a test in virtual time.
type sharedStore struct {
	mu       sync.Mutex // guards the fields of the paths, too
	revision uint64
	changed  chan struct{}
}

func (s *sharedStore) set(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// call waits for the answer to a request, as long as the platform's client does if
// there is none, and at most for wait longer.
func (p *pathToStore) call(ctx context.Context, wait time.Duration) (uint64, error) {
	p.store.mu.Lock()
	p.calls++
	silent, latency := p.silent, p.latency
	p.store.mu.Unlock()
	if silent {
		select {
		case <-ctx.Done():
		case <-time.After(wait + time.Second):
		}
		return 0, store.ErrUnavailable
	}
	time.Sleep(latency)
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	return p.store.revision, nil
}

// ReadConfiguration implements catalog.Source.
func (p *pathToStore) ReadConfiguration(ctx context.Context, known uint64) (ingress.StoredDocument, error) {
	revision, err := p.call(ctx, 0)
	s := ingress.StoredDocument{Revision: revision, StoreRevision: revision}
	if err == nil && revision != known {
		s.Value, err = json.Marshal(revision)
		s.Document = &ingress.Document{Revision: model.Revision(revision)}
	}
	return s, err
}

// WatchConfiguration implements catalog.Source. A path that falls silent gives no
// answer to a watch that runs.
func (p *pathToStore) WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (ingress.WatchResult, error) {
	end := time.Now().Add(wait)
	for {
		p.store.mu.Lock()
		revision, changed, silent := p.store.revision, p.store.changed, p.silent
		p.store.mu.Unlock()
		left := time.Until(end)
		if silent || revision > after || left <= 0 {
			revision, err := p.call(ctx, max(0, left))
			result := ingress.WatchResult{StoreRevision: revision, Changed: revision > after}
			if !result.Changed {
				result.Age = -wait
			}
			return result, err
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return ingress.WatchResult{}, ctx.Err()
		}
	}
}

// ReadTargets implements catalog.Source.
func (p *pathToStore) ReadTargets(ctx context.Context, _ time.Duration) (ingress.TargetList, error) {
	_, err := p.call(ctx, 0)
	return ingress.TargetList{Targets: []ingress.Target{{ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: 1}}}, err
}

// catalogPeers holds keepers by address. It implements follow.CatalogPeers and
// follow.Relays.
type catalogPeers struct {
	catalogs map[string]*catalog.Service
	order    []string
	mu       sync.Mutex
	requests int
}

func (cp *catalogPeers) count() {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.requests++
}

// Configuration implements follow.CatalogPeers.
func (cp *catalogPeers) Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	cp.count()
	time.Sleep(time.Millisecond)
	return cp.catalogs[address].HandleConfiguration(ctx, r)
}

// Targets implements follow.CatalogPeers.
func (cp *catalogPeers) Targets(ctx context.Context, address string, r *peerpb.TargetsRequest) (*peerpb.TargetsResponse, error) {
	time.Sleep(time.Millisecond)
	return cp.catalogs[address].HandleTargets(ctx, r)
}

// UsableKeepers implements follow.Relays.
func (cp *catalogPeers) UsableKeepers() []string { return cp.order }

// WhileResponsive implements follow.Relays.
func (cp *catalogPeers) WhileResponsive(ctx context.Context, _ string) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

// relayedFleet is an entry host that follows keepers, each with its own path to the
// store.
type relayedFleet struct {
	store   *sharedStore
	paths   []*pathToStore // of the keepers
	direct  *pathToStore   // of the entry host
	peers   *catalogPeers
	entry   *catalog.Service
	context context.Context
	running sync.WaitGroup
}

func newRelayedFleet(ctx context.Context, keepers int, latency time.Duration) *relayedFleet {
	rf := &relayedFleet{store: &sharedStore{revision: 1, changed: make(chan struct{})}, peers: &catalogPeers{catalogs: map[string]*catalog.Service{}}, context: ctx}
	for i := range keepers {
		p := &pathToStore{store: rf.store, latency: latency}
		address := fmt.Sprint("keeper-", i)
		rf.paths, rf.peers.order = append(rf.paths, p), append(rf.peers.order, address)
		rf.peers.catalogs[address] = rf.start(p)
		time.Sleep(290 * time.Millisecond) // so that the keepers do not watch in step
	}
	rf.direct = &pathToStore{store: rf.store, latency: latency}
	rf.entry = rf.start(&follow.Source{Relays: rf.peers, Peers: rf.peers, Store: rf.direct, Decode: decode, Clock: clockwork.NewRealClock()})
	return rf
}

func (rf *relayedFleet) start(source catalog.Source) *catalog.Service {
	c := catalog.New(catalog.Options{Source: source, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Lifetime: evidence.MaxAge(lifetime), Interval: 400 * time.Millisecond})
	rf.running.Go(func() { _ = c.Run(rf.context) })
	return c
}

// Guards against an old configuration through a keeper whose store fell silent: the
// entry host relied on it for 1.5 s and one more watch of 1 s, although another keeper
// knew the change.
func TestKeeperWithSilentStoreDoesNotDelayChange(t *testing.T) {
	for phase := time.Duration(0); phase < 1100*time.Millisecond; phase += 50 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				rf := newRelayedFleet(ctx, 2, 4*time.Millisecond)
				time.Sleep(5*time.Second + phase)
				rf.store.mu.Lock()
				rf.paths[0].silent = true
				rf.store.mu.Unlock()
				rf.store.set(2)
				confirmed := time.Now()
				for rf.entry.Latest().Revision() < 2 && time.Since(confirmed) < 10*time.Second {
					time.Sleep(time.Millisecond)
				}
				t.Logf("the change was in force after %v", time.Since(confirmed))
				assert.Check(t, time.Since(confirmed) < configBound, "the change was in force after %v", time.Since(confirmed))
				stop()
				rf.running.Wait()
			})
		})
	}
}

// Guards against ages that refuse requests or cost messages and store calls in a calm
// deployment, also while each answer of the store takes 400 ms.
func TestCalmHostsUseKeepersOnly(t *testing.T) {
	cases := map[string]struct {
		latency        time.Duration
		maxDirectCalls int // of an entry host in 60 s; the lists of targets count, too
	}{
		"usual store": {latency: 4 * time.Millisecond, maxDirectCalls: 0},
		"slow store":  {latency: 400 * time.Millisecond, maxDirectCalls: 60},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				rf := newRelayedFleet(ctx, 3, c.latency)
				time.Sleep(5 * time.Second)
				rf.store.mu.Lock()
				before := rf.direct.calls
				rf.store.mu.Unlock()
				rf.peers.mu.Lock()
				messages := rf.peers.requests
				rf.peers.mu.Unlock()
				for range 6000 {
					time.Sleep(10 * time.Millisecond)
					_, err := rf.entry.View()
					assert.NilError(t, err)
				}
				rf.store.mu.Lock()
				calls := rf.direct.calls - before
				rf.store.mu.Unlock()
				rf.peers.mu.Lock()
				messages = rf.peers.requests - messages
				rf.peers.mu.Unlock()
				t.Logf("%d direct calls, %d messages in 60 s", calls, messages)
				assert.Check(t, calls <= c.maxDirectCalls, "%d store calls of an entry host in 60 s", calls)
				assert.Check(t, messages <= 61 || c.latency > 100*time.Millisecond, "%d messages in 60 s", messages)
				stop()
				rf.running.Wait()
			})
		})
	}
}
