package follow_test

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"testing"
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

// fakeSource is a catalog.Source that stands in for the store, as one group of hosts
// reaches it.
type fakeSource struct {
	mu          sync.Mutex
	unavailable bool
	revision    uint64
	calls       int
	zones       []model.Zone // with an evacuation order
	orders      uint64       // changes of zones
}

func (fs *fakeSource) evacuate(zones ...model.Zone) {
	fs.update(func() { fs.zones, fs.orders = append([]model.Zone{}, zones...), fs.orders+1 })
}

func (fs *fakeSource) update(f func()) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	f()
}

func (fs *fakeSource) recordCall() (revision uint64, err error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.calls++
	if fs.unavailable {
		return 0, store.ErrUnavailable
	}
	return fs.revision, nil
}

func (fs *fakeSource) callCount() int {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.calls
}

// ReadConfiguration implements catalog.Source.
func (fs *fakeSource) ReadConfiguration(_ context.Context, known uint64) (ingress.StoredDocument, error) {
	revision, err := fs.recordCall()
	if err != nil {
		return ingress.StoredDocument{}, err
	}
	s := ingress.StoredDocument{Revision: revision}
	fs.update(func() { s.StoreRevision, s.Evacuated = revision+fs.orders, fs.zones })
	if revision != known {
		s.Value, err = json.Marshal(revision)
		s.Document = &ingress.Document{Revision: model.Revision(revision)}
	}
	return s, err
}

// WatchConfiguration implements catalog.Source. It checks for a change every 20 ms.
func (fs *fakeSource) WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (ingress.WatchResult, error) {
	revision, err := fs.recordCall()
	fs.update(func() { revision += fs.orders })
	start := time.Now()
	for end := start.Add(wait); err == nil && revision <= after && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(20 * time.Millisecond)
		fs.update(func() {
			revision = fs.revision + fs.orders
			if fs.unavailable {
				err = store.ErrUnavailable
			}
		})
	}
	result := ingress.WatchResult{StoreRevision: revision, Changed: revision > after}
	if time.Since(start) >= wait && !result.Changed {
		result.Age = -wait // as the platform's client does
	}
	return result, err
}

// ReadTargets implements catalog.Source.
func (fs *fakeSource) ReadTargets(context.Context, time.Duration) (ingress.TargetList, error) {
	revision, err := fs.recordCall()
	return ingress.TargetList{Targets: []ingress.Target{{ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: int(revision)}}}, err
}

func decode(data []byte) (*ingress.Document, error) {
	var revision uint64
	err := json.Unmarshal(data, &revision)
	return &ingress.Document{Revision: model.Revision(revision)}, err
}

// Configuration implements follow.CatalogPeers.
func (tf *testFleet) Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	k, err := tf.keeper(address)
	if err != nil {
		return nil, err
	}
	res, err := k.catalog.HandleConfiguration(ctx, r)
	return res, errors.Join(err, k.withhold(ctx))
}

// Targets implements follow.CatalogPeers.
func (tf *testFleet) Targets(ctx context.Context, address string, r *peerpb.TargetsRequest) (*peerpb.TargetsResponse, error) {
	k, err := tf.keeper(address)
	if err != nil {
		return nil, err
	}
	return k.catalog.HandleTargets(ctx, r)
}

const lifetime = 3 * time.Second

func (tf *testFleet) startCatalog(source catalog.Source) *catalog.Service {
	c := catalog.New(catalog.Options{Source: source, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Lifetime: evidence.MaxAge(lifetime)})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	tf.t.Cleanup(func() { stop(); <-done })
	return c
}

// startTestCatalogs starts the catalogs of two keepers and an entry host. keepers
// and direct are the store as the keepers and the entry host reach it.
func startTestCatalogs(t *testing.T) (keepers, direct *fakeSource, entry *catalog.Service) {
	t.Helper()
	return newTestFleet(t, 2).startCatalogs()
}

func (tf *testFleet) startCatalogs() (keepers, direct *fakeSource, entry *catalog.Service) {
	tf.t.Helper()
	keepers, direct, entry, _ = tf.startCatalogsAndClient()
	return keepers, direct, entry
}

func (tf *testFleet) startCatalogsAndClient() (keepers, direct *fakeSource, entry *catalog.Service, client *follow.Client) {
	tf.t.Helper()
	keepers, direct = &fakeSource{revision: 1}, &fakeSource{revision: 1}
	for _, k := range tf.keepers {
		k.catalog = tf.startCatalog(keepers)
	}
	client = tf.startSettledClient("a", nil)
	entry = tf.startCatalog(&follow.Source{Relays: client, Peers: tf, Store: direct, Decode: decode, Clock: clockwork.NewRealClock()})
	tf.waitFor("catalog has a configuration", func() bool { return entry.Latest() != nil })
	return keepers, direct, entry, client
}

// Guards against a number of store calls that grows with the number of entry hosts,
// and against a configuration that reaches them late.
func TestConfigurationComesFromKeepers(t *testing.T) {
	t.Parallel()
	keepers, direct, entry := startTestCatalogs(t)
	time.Sleep(2500 * time.Millisecond)
	keepers.update(func() { keepers.revision = 2 })
	time.Sleep(300 * time.Millisecond)
	v, err := entry.View()
	assert.NilError(t, err)
	assert.Equal(t, v.Revision(), model.Revision(2))
	assert.Equal(t, direct.callCount(), 0)
	assert.Assert(t, entry.Age() < 1500*time.Millisecond, "%v", entry.Age())
	assert.Assert(t, !entry.StoreAway())
}

// Guards against a host that stops because its keepers cannot reach the store, and
// against one that returns to their older configuration.
func TestStoreIsReadWhenKeepersAreStale(t *testing.T) {
	t.Parallel()
	keepers, direct, entry := startTestCatalogs(t)
	keepers.update(func() { keepers.unavailable = true })
	direct.update(func() { direct.revision = 2 })
	time.Sleep(lifetime + time.Second)
	v, err := entry.View()
	assert.NilError(t, err)
	assert.Equal(t, v.Revision(), model.Revision(2))
}

// Guards against a withdrawn key that continues to work because the age of a
// configuration is counted from the answer of a keeper instead of its read of the
// store.
func TestAgeOfRelayedConfigurationCountsFromStoreRead(t *testing.T) {
	t.Parallel()
	keepers, direct, entry := startTestCatalogs(t)
	for _, o := range []*fakeSource{keepers, direct} {
		o.update(func() { o.unavailable = true })
	}
	unavailableSince := time.Now()
	time.Sleep(time.Second)
	assert.Assert(t, entry.Age() >= time.Since(unavailableSince), "configuration has age %v, the store is unavailable for %v", entry.Age(), time.Since(unavailableSince))
	time.Sleep(lifetime - time.Since(unavailableSince) + 50*time.Millisecond)
	_, err := entry.View()
	assert.ErrorIs(t, err, model.ErrUnavailable)
	assert.Assert(t, entry.StoreAway())
}

// Guards against a change that is late because a host waits for one frozen keeper after the other.
func TestChangeIsKnownWhileTwoKeepersAreFrozen(t *testing.T) {
	t.Parallel()
	tf := newTestFleet(t, 3)
	keepers, _, entry, client := tf.startCatalogsAndClient()
	state, ok := client.Dump().(follow.State)
	assert.Assert(t, ok)
	for _, k := range state.Keepers[:2] { // asked before the third
		frozen := tf.keepers[string(k.Host)]
		frozen.update(func() { frozen.frozen = true })
	}
	keepers.update(func() { keepers.revision = 2 })
	time.Sleep(2 * time.Second)
	assert.Equal(t, entry.Latest().Revision(), model.Revision(2))
}

// Guards against requests to a target that is leaving, which a host learns too late
// because its keepers cannot reach the store.
func TestTargetsOfKeeperWithoutStoreAreNotUsed(t *testing.T) {
	t.Parallel()
	keepers, direct, entry := startTestCatalogs(t)
	maxInFlight := func() int { return entry.Latest().Document().Targets[0].MaxInFlight }
	before := maxInFlight()
	keepers.update(func() { keepers.unavailable = true })
	direct.update(func() { direct.revision = 2 }) // doubles the slots of the target
	time.Sleep(1900 * time.Millisecond)           // 2 s from the change to the last request, less its time on the network
	assert.Equal(t, maxInFlight(), 2*before)
}

// Guards against all entry hosts reading the store at once when no keeper answers.
// They could not serve a request with the result.
func TestStoreIsNotReadWhenNoKeeperAnswers(t *testing.T) {
	t.Parallel()
	tf := newTestFleet(t, 2)
	_, direct, entry := tf.startCatalogs()
	for _, k := range tf.keepers {
		k.update(func() { k.silent = true })
	}
	tf.waitFor("catalog cannot read the configuration", entry.StoreAway)
	time.Sleep(time.Second)
	before := direct.callCount()
	time.Sleep(time.Second)
	assert.Equal(t, direct.callCount(), before)
	for _, k := range tf.keepers {
		k.update(func() { k.silent = false })
	}
	tf.waitFor("catalog reads the configuration again", func() bool { return !entry.StoreAway() })
}
