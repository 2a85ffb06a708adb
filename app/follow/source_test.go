package follow_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/catalog"
	"mimosarelay/app/follow"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// origin is the store with a configuration, as one host reaches it.
type origin struct {
	mu       sync.Mutex
	away     bool
	revision uint64
	calls    int
}

func (o *origin) set(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

func (o *origin) call() (revision uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	if o.away {
		return 0, store.ErrUnavailable
	}
	return o.revision, nil
}

func (o *origin) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// ReadConfiguration implements catalog.Source.
func (o *origin) ReadConfiguration(_ context.Context, known uint64) (ingress.StoredDocument, error) {
	revision, err := o.call()
	if err != nil {
		return ingress.StoredDocument{}, err
	}
	s := ingress.StoredDocument{Revision: revision, StoreRevision: revision}
	if revision != known {
		s.Value, err = json.Marshal(revision)
		s.Document = &ingress.Document{Revision: model.Revision(revision)}
	}
	return s, err
}

// WatchConfiguration implements catalog.Source. It looks every 20 ms.
func (o *origin) WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (ingress.WatchResult, error) {
	revision, err := o.call()
	for end := time.Now().Add(wait); err == nil && revision <= after && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(20 * time.Millisecond)
		o.set(func() {
			revision = o.revision
			if o.away {
				err = store.ErrUnavailable
			}
		})
	}
	return ingress.WatchResult{StoreRevision: revision, Changed: revision > after}, err
}

// ReadTargets implements catalog.Source.
func (o *origin) ReadTargets(context.Context) ([]ingress.Target, []error, error) {
	revision, err := o.call()
	return []ingress.Target{{ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: int(revision)}}, nil, err
}

func decode(data []byte) (*ingress.Document, error) {
	var revision uint64
	err := json.Unmarshal(data, &revision)
	return &ingress.Document{Revision: model.Revision(revision)}, err
}

// Configuration implements follow.CatalogPeers.
func (s *site) Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	k, err := s.keeper(address)
	if err != nil {
		return nil, err
	}
	return k.catalog.HandleConfiguration(ctx, r)
}

// Targets implements follow.CatalogPeers.
func (s *site) Targets(ctx context.Context, address string, r *peerpb.TargetsRequest) (*peerpb.TargetsResponse, error) {
	k, err := s.keeper(address)
	if err != nil {
		return nil, err
	}
	return k.catalog.HandleTargets(ctx, r)
}

const lifetime = 3 * time.Second

func (s *site) catalog(source catalog.Source) *catalog.Service {
	c := catalog.New(catalog.Options{Source: source, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Lifetime: lifetime})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	s.t.Cleanup(func() { stop(); <-done })
	return c
}

// newCatalogs returns the catalogs of two keepers and an entry host, with what
// each host reaches of the store.
func newCatalogs(t *testing.T) (keepers, own *origin, entry *catalog.Service) {
	t.Helper()
	return newSite(t, 2).catalogs()
}

func (s *site) catalogs() (keepers, own *origin, entry *catalog.Service) {
	s.t.Helper()
	keepers, own = &origin{revision: 1}, &origin{revision: 1}
	for _, k := range s.keepers {
		k.catalog = s.catalog(keepers)
	}
	client := s.follower("a", nil)
	entry = s.catalog(&follow.Source{Client: client, Peers: s, Store: own, Decode: decode})
	s.await("configuration", func() bool { return entry.Latest() != nil })
	return keepers, own, entry
}

// Guards against calls of the store that grow with the entry hosts, and against a
// configuration that reaches them late.
func TestConfigurationComesFromKeepers(t *testing.T) {
	t.Parallel()
	keepers, own, entry := newCatalogs(t)
	time.Sleep(2500 * time.Millisecond)
	keepers.set(func() { keepers.revision = 2 })
	time.Sleep(300 * time.Millisecond)
	v, err := entry.View()
	assert.NilError(t, err)
	assert.Equal(t, v.Revision(), model.Revision(2))
	assert.Equal(t, own.count(), 0)
	assert.Assert(t, entry.Age() < 1500*time.Millisecond, "%v", entry.Age())
	assert.Assert(t, !entry.StoreAway())
}

// Guards against a host that stops because the store turns the keepers away,
// and against one that goes back to their older configuration.
func TestStoreIsAskedWhenKeepersAreBehind(t *testing.T) {
	t.Parallel()
	keepers, own, entry := newCatalogs(t)
	keepers.set(func() { keepers.away = true })
	own.set(func() { own.revision = 2 })
	time.Sleep(lifetime + time.Second)
	v, err := entry.View()
	assert.NilError(t, err)
	assert.Equal(t, v.Revision(), model.Revision(2))
}

// Guards against a withdrawn key that works on because evidence counts from
// when a keeper told it instead of when the store was asked.
func TestRelayedEvidenceAges(t *testing.T) {
	t.Parallel()
	keepers, own, entry := newCatalogs(t)
	for _, o := range []*origin{keepers, own} {
		o.set(func() { o.away = true })
	}
	away := time.Now()
	time.Sleep(time.Second)
	assert.Assert(t, entry.Age() >= time.Since(away), "evidence of %v, the store is away for %v", entry.Age(), time.Since(away))
	time.Sleep(lifetime - time.Since(away) + 50*time.Millisecond)
	_, err := entry.View()
	assert.ErrorIs(t, err, model.ErrUnavailable)
	assert.Assert(t, entry.StoreAway())
}

// Guards against requests to a target that is leaving, which a host learns late
// because the store turns its keeper away.
func TestTargetsOfAKeeperWithoutTheStoreAreNotUsed(t *testing.T) {
	t.Parallel()
	keepers, own, entry := newCatalogs(t)
	places := func() int { return entry.Latest().Document().Targets[0].MaxInFlight }
	before := places()
	keepers.set(func() { keepers.away = true })
	own.set(func() { own.revision = 2 }) // doubles the slots of the target
	time.Sleep(1900 * time.Millisecond)  // 2 s from the change to the last request, less its way
	assert.Equal(t, places(), 2*before)
}

// Guards against all entry hosts asking the store at once because their keepers
// are lost, which serves no caller.
func TestLostKeepersSendNobodyToTheStore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	_, own, entry := s.catalogs()
	for _, k := range s.keepers {
		k.set(func() { k.silent = true })
	}
	s.await("away", entry.StoreAway)
	time.Sleep(time.Second)
	before := own.count()
	time.Sleep(time.Second)
	assert.Equal(t, own.count(), before)
	for _, k := range s.keepers {
		k.set(func() { k.silent = false })
	}
	s.await("back", func() bool { return !entry.StoreAway() })
}
