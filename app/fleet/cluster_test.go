package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/fleet"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/core/store/memstore"
	"mimosarelay/io/peer/peerpb"
)

// recoveryBound is the time within which the fleet must recover from a fault.
const recoveryBound = 10 * time.Second

// freezer blocks all requests and answers of a host while its process is frozen.
type freezer struct {
	mu      sync.Mutex
	resumed chan struct{} // nil unless frozen; closed by resume
}

func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resumed = make(chan struct{})
}

func (f *freezer) resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.resumed)
	f.resumed = nil
}

func (f *freezer) wait() {
	f.mu.Lock()
	c := f.resumed
	f.mu.Unlock()
	if c != nil {
		<-c
	}
}

// frozenStore is the store client of a host whose process can be frozen between
// sending a request and receiving its answer.
type frozenStore struct {
	*memstore.Client
	freezer *freezer
	host    *host
}

func (f frozenStore) Renew(ctx context.Context, id store.LeaseID) error {
	f.freezer.wait()
	err := f.Client.Renew(ctx, id)
	f.freezer.wait()
	return err
}

func (f frozenStore) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	f.freezer.wait()
	if f.host.beforePut != nil {
		f.host.beforePut(key)
		ctx = context.WithoutCancel(ctx) // beforePut must not use up the timeout of the call
	}
	v, err := f.Client.Put(ctx, key, value, prev)
	f.freezer.wait()
	return v, err
}

func (f frozenStore) Watch(ctx context.Context, prefix string, since store.Version, wait time.Duration) ([]store.Entry, store.Version, error) {
	f.freezer.wait()
	f.host.watchFreezer.wait()
	entries, v, err := f.Client.Watch(ctx, prefix, since, wait)
	f.host.watchFreezer.wait()
	f.freezer.wait()
	return entries, v, err
}

type host struct {
	*fleet.Service
	id      model.HostID
	address string
	client  *memstore.Client
	freezer *freezer
	// watchFreezer delays only the watch.
	watchFreezer *freezer
	kill         context.CancelFunc
	stopped      bool
	// beforePut, if set, is called before a write and can delay it.
	beforePut func(key string)
}

// cluster is an in-memory fleet in which links between hosts can be cut.
type cluster struct {
	t     *testing.T
	store *memstore.Store
	// shards is the number of shards that advance checks. It is small so that
	// long tests stay fast.
	shards   model.Shard
	hosts    []*host
	wg       sync.WaitGroup
	mu       sync.Mutex
	cutLinks map[[2]string]bool // from, to
	// minLeaseMissing is Options.MinLeaseMissing of all hosts. 0 means the default.
	minLeaseMissing time.Duration
	// awayLimit is Options.AwayLimit of all hosts.
	awayLimit time.Duration
	// standby is Options.Standby of the hosts that are added later.
	standby *fleet.StandbyOptions
}

// peerLink sends heartbeats from one host to the others.
type peerLink struct {
	c    *cluster
	from *host
}

func (p peerLink) Heartbeat(ctx context.Context, address string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	p.from.freezer.wait()
	p.c.mu.Lock()
	dropped := p.c.cutLinks[[2]string{string(p.from.id), address}]
	var to *host
	for _, h := range p.c.hosts {
		if h.address == address && !h.stopped {
			to = h
		}
	}
	p.c.mu.Unlock()
	if to == nil {
		return nil, errors.New("connection refused")
	}
	if dropped {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to.freezer.wait()
	res, err := to.HandleHeartbeat(context.WithoutCancel(ctx), r)
	p.from.freezer.wait()
	return res, err
}

func (c *cluster) add(ctx context.Context, name, zone string) *host {
	return c.addAt(ctx, name, zone, name)
}

// addAt adds a host with a peer address.
func (c *cluster) addAt(ctx context.Context, name, zone, address string) *host {
	h := &host{id: model.HostID(name), address: address, client: c.store.NewClient(name), freezer: &freezer{}, watchFreezer: &freezer{}}
	h.Service = fleet.New(fleet.Options{
		Store: frozenStore{h.client, h.freezer, h}, Clock: clockwork.NewRealClock(), Peers: peerLink{c, h},
		Self:            member.Member{Host: h.id, Zone: model.Zone(zone), PeerAddress: address, CallerAddress: address},
		Holdings:        func(model.Epoch) map[model.WorkspaceID]int64 { return map[model.WorkspaceID]int64{"w": 1} },
		ConfigRevision:  func() model.Revision { return 7 },
		MinLeaseMissing: c.minLeaseMissing, AwayLimit: c.awayLimit, Standby: c.standby,
	})
	ctx, h.kill = context.WithCancel(ctx)
	c.mu.Lock()
	c.hosts = append(c.hosts, h)
	c.mu.Unlock()
	c.wg.Go(func() { _ = h.Run(ctx) })
	return h
}

// cutPeers drops heartbeats between h and all others, in both directions.
func (c *cluster) cutPeers(h *host, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.hosts {
		c.cutLinks[[2]string{string(h.id), o.address}] = on
		c.cutLinks[[2]string{string(o.id), h.address}] = on
	}
}

func (c *cluster) stop(h *host) {
	c.mu.Lock()
	h.stopped = true
	c.mu.Unlock()
	h.kill()
}

// advance lets d pass and checks every 50 ms that at most one host may act for a
// shard.
func (c *cluster) advance(d time.Duration) {
	c.t.Helper()
	c.advanceInSteps(d, 50*time.Millisecond)
}

// advanceInSteps is advance with checks at another interval.
func (c *cluster) advanceInSteps(d, step time.Duration) {
	c.t.Helper()
	for ; d > 0; d -= step {
		time.Sleep(step)
		synctest.Wait()
		for s := range c.shards {
			acting := 0
			for _, h := range c.hosts {
				if !h.stopped && h.ActsFor(s) {
					acting++
				}
			}
			assert.Assert(c.t, acting <= 1, "%d hosts may act for shard %d", acting, s)
		}
	}
}

// assertActs checks that a host acts for some shard.
func (c *cluster) assertActs(h *host) {
	c.t.Helper()
	for s := range c.shards {
		if h.ActsFor(s) {
			return
		}
	}
	assert.Assert(c.t, false, "%s does not act: %+v", h.id, h.Dump())
}

// runningHosts returns the hosts that were not stopped.
func (c *cluster) runningHosts() []model.HostID {
	var list []model.HostID
	for _, h := range c.hosts {
		if !h.stopped {
			list = append(list, h.id)
		}
	}
	return list
}

// assertSettled checks that exactly the given hosts are members, that all of them
// have entered the same epoch and may act, and that a host acts for each shard.
func (c *cluster) assertSettled(names ...model.HostID) {
	c.t.Helper()
	byName := map[model.HostID]*host{}
	for _, h := range c.hosts {
		if !h.stopped {
			byName[h.id] = h
		}
	}
	epoch := byName[names[0]].View().Epoch
	for _, n := range names {
		h := byName[n]
		assert.Equal(c.t, h.View().Epoch, epoch, "%s: %+v", n, h.Dump())
		assert.Equal(c.t, len(h.View().Members), len(names), "%s: %+v", n, h.View())
		assert.Assert(c.t, h.MayAct() && h.Settled(), "%s: %+v", n, h.Dump())
	}
	for s := range model.Shard(model.ShardCount) {
		m, ok := byName[names[0]].View().Owner(s)
		assert.Assert(c.t, ok && byName[m.Host].ActsFor(s), "no host acts for shard %d", s)
	}
}

// runCluster starts n hosts in three zones in a synctest bubble, waits until they
// are settled and calls f.
func runCluster(t *testing.T, n int, f func(t *testing.T, c *cluster)) {
	t.Helper()
	runClusterWith(t, n, 0, f)
}

func runClusterWith(t *testing.T, n int, minLeaseMissing time.Duration, f func(t *testing.T, c *cluster)) {
	t.Helper()
	runClusterOf(t, n, &cluster{minLeaseMissing: minLeaseMissing}, func(t *testing.T, _ context.Context, c *cluster) { f(t, c) })
}

// runClusterOf is runCluster with the options of o. ctx ends the hosts that f adds.
func runClusterOf(t *testing.T, n int, o *cluster, f func(t *testing.T, ctx context.Context, c *cluster)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &cluster{t: t, shards: 16, store: memstore.New(clockwork.NewRealClock()), cutLinks: map[[2]string]bool{}, minLeaseMissing: o.minLeaseMissing, awayLimit: o.awayLimit}
		defer c.wg.Wait()
		defer cancel()
		var names []model.HostID
		for i := range n {
			h := c.add(ctx, fmt.Sprintf("h%d", i), fmt.Sprintf("z%d", i%3))
			names = append(names, h.id)
			// The first host renews its lease 800 ms before all others, so that it
			// expires long before they notice an outage that starts in between.
			if i == 0 {
				c.advance(800 * time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			c.advance(recoveryBound)
			c.assertSettled(names...)
		}
		f(t, ctx, c)
	})
}
