package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// bound is the time from the design page in which a fault is settled.
const bound = 10 * time.Second

// gate holds back everything a frozen process does.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // nil while open
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
	g.opened = nil
}

func (g *gate) pass() {
	g.mu.Lock()
	c := g.opened
	g.mu.Unlock()
	if c != nil {
		<-c
	}
}

// frozenStore is a client whose process can be frozen between sending a request
// and seeing its answer.
type frozenStore struct {
	*memstore.Client
	gate *gate
	host *host
}

func (f frozenStore) Renew(ctx context.Context, id store.LeaseID) error {
	f.gate.pass()
	err := f.Client.Renew(ctx, id)
	f.gate.pass()
	return err
}

func (f frozenStore) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	f.gate.pass()
	if f.host.beforePut != nil {
		f.host.beforePut(key)
		ctx = context.WithoutCancel(ctx) // the delay was not the store's
	}
	v, err := f.Client.Put(ctx, key, value, prev)
	f.gate.pass()
	return v, err
}

func (f frozenStore) Watch(ctx context.Context, prefix string, since store.Version, wait time.Duration) ([]store.Entry, store.Version, error) {
	f.gate.pass()
	entries, v, err := f.Client.Watch(ctx, prefix, since, wait)
	f.gate.pass()
	return entries, v, err
}

type host struct {
	*fleet.Service
	name   model.HostID
	client *memstore.Client
	gate   *gate
	kill   context.CancelFunc
	dead   bool
	// beforePut, if set, delays a write.
	beforePut func(key string)
}

// cluster is an in-memory fleet with cuts between its hosts.
type cluster struct {
	t     *testing.T
	store *memstore.Store
	// shards is how many shards pass checks; a few keep long runs short.
	shards model.Shard
	hosts  []*host
	wg     sync.WaitGroup
	mu     sync.Mutex
	cut    map[[2]string]bool // from, to
	// goneSteady is an option of all hosts; 0 means the default.
	goneSteady time.Duration
}

type port struct {
	c    *cluster
	from *host
}

func (p port) Heartbeat(ctx context.Context, address string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	p.from.gate.pass()
	p.c.mu.Lock()
	lost := p.c.cut[[2]string{string(p.from.name), address}]
	var to *host
	for _, h := range p.c.hosts {
		if string(h.name) == address && !h.dead {
			to = h
		}
	}
	p.c.mu.Unlock()
	if to == nil {
		return nil, errors.New("connection refused")
	}
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to.gate.pass()
	res, err := to.HandleHeartbeat(context.WithoutCancel(ctx), r)
	p.from.gate.pass()
	return res, err
}

func (c *cluster) add(ctx context.Context, name, zone string) *host {
	h := &host{name: model.HostID(name), client: c.store.NewClient(name), gate: &gate{}}
	h.Service = fleet.New(fleet.Options{
		Store: frozenStore{h.client, h.gate, h}, Clock: clockwork.NewRealClock(), Peers: port{c, h},
		Self:            member.Member{Host: h.name, Zone: model.Zone(zone), PeerAddress: name, CallerAddress: name},
		Holdings:        func(model.Epoch) map[model.WorkspaceID]int64 { return map[model.WorkspaceID]int64{"w": 1} },
		ConfigRevision:  func() model.Revision { return 7 },
		MinLeaseMissing: c.goneSteady,
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
		c.cut[[2]string{string(h.name), string(o.name)}] = on
		c.cut[[2]string{string(o.name), string(h.name)}] = on
	}
}

func (c *cluster) stop(h *host) {
	c.mu.Lock()
	h.dead = true
	c.mu.Unlock()
	h.kill()
}

// pass lets time go by, checking after each step that no two hosts may act for
// one shard.
func (c *cluster) pass(d time.Duration) {
	c.t.Helper()
	c.passInSteps(d, 50*time.Millisecond)
}

func (c *cluster) passInSteps(d, step time.Duration) {
	c.t.Helper()
	for ; d > 0; d -= step {
		time.Sleep(step)
		synctest.Wait()
		for s := range c.shards {
			acting := 0
			for _, h := range c.hosts {
				if !h.dead && h.ActsFor(s) {
					acting++
				}
			}
			assert.Assert(c.t, acting <= 1, "%d hosts act for shard %d", acting, s)
		}
	}
}

// settled checks that exactly the given hosts are members, all entered the same
// epoch, all may act, and every shard has a host that acts for it.
func (c *cluster) settled(names ...model.HostID) {
	c.t.Helper()
	byName := map[model.HostID]*host{}
	for _, h := range c.hosts {
		if !h.dead {
			byName[h.name] = h
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
		assert.Assert(c.t, ok && byName[m.Host].ActsFor(s), "shard %d", s)
	}
}

// run starts n hosts in three zones inside a bubble of fake time and waits until
// they are settled.
func run(t *testing.T, n int, f func(t *testing.T, c *cluster)) {
	t.Helper()
	runWith(t, n, 0, f)
}

func runWith(t *testing.T, n int, goneSteady time.Duration, f func(t *testing.T, c *cluster)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &cluster{t: t, shards: 16, store: memstore.New(clockwork.NewRealClock()), cut: map[[2]string]bool{}, goneSteady: goneSteady}
		defer c.wg.Wait()
		defer cancel()
		var names []model.HostID
		for i := range n {
			h := c.add(ctx, fmt.Sprintf("h%d", i), fmt.Sprintf("z%d", i%3))
			names = append(names, h.name)
			// The first host renews 800 ms before all others: its lease runs
			// out long before they notice an outage that starts in between.
			if i == 0 {
				c.pass(800 * time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.pass(bound)
		c.settled(names...)
		f(t, c)
	})
}

// Guards against a dead host that stays a member longer than the bound.
func TestKill(t *testing.T) {
	run(t, 5, func(_ *testing.T, c *cluster) {
		c.stop(c.hosts[1])
		c.pass(bound)
		c.settled("h0", "h2", "h3", "h4")
	})
}

// Guards against a host killed in an outage whose shards stay without an owner
// for longer after the outage than the others need to acquire their leases.
func TestKilledInShortOutage(t *testing.T) {
	runWith(t, 5, 300*time.Millisecond, func(_ *testing.T, c *cluster) {
		c.store.SetDown(true)
		c.pass(500 * time.Millisecond)
		c.stop(c.hosts[1])
		c.pass(time.Second)
		c.store.SetDown(false)
		// MinStoreReachable, and the time in which a second host would write the change.
		c.pass(2*time.Second + 500*time.Millisecond)
		c.settled("h0", "h2", "h3", "h4")
	})
}

// Guards against two faults at once that stop the rest of the fleet, and
// against a removal without a majority.
func TestTwoAndThreeOfFiveKilled(t *testing.T) {
	run(t, 5, func(t *testing.T, c *cluster) {
		c.stop(c.hosts[0])
		c.cutPeers(c.hosts[2], true)
		c.hosts[2].client.SetCut(true)
		c.pass(bound)
		assert.Assert(t, !c.hosts[2].MayAct())
		c.settled("h1", "h3", "h4")
		c.stop(c.hosts[3])
		c.stop(c.hosts[4])
		c.pass(bound)
		// Two of three are a majority, one of two is not.
		assert.Equal(t, len(c.hosts[1].View().Members), 2)
		last := c.hosts[1].View().Members[1].Host
		assert.NilError(t, c.hosts[1].DeclareGone(t.Context(), last))
		c.pass(bound)
		c.settled("h1")
	})
}

// Guards against a process that acts after it was frozen, and against one that
// continues its old incarnation.
func TestFreezeAndResume(t *testing.T) {
	run(t, 5, func(t *testing.T, c *cluster) {
		h := c.hosts[1]
		old := h.Self().Incarnation
		h.gate.freeze()
		c.pass(2500 * time.Millisecond)
		assert.Assert(t, !h.MayAct())
		c.pass(bound - 2500*time.Millisecond)
		c.settled("h0", "h2", "h3", "h4")
		h.gate.resume()
		synctest.Wait()
		// It may have joined again already, but not as the old incarnation.
		assert.Assert(t, !h.MayAct() || h.Self().Incarnation != old)
		c.pass(bound)
		assert.Assert(t, h.Self().Incarnation != old)
		c.settled("h0", "h1", "h2", "h3", "h4")
	})
}

// Guards against a host that is cut off and does not notice, so that its callers
// wait instead of going elsewhere, and against hosts that count as cut off in an
// outage of the store or after the loss of others.
func TestIsolated(t *testing.T) {
	run(t, 5, func(t *testing.T, c *cluster) {
		isolated := func() (list []model.HostID) {
			for _, h := range c.hosts {
				if !h.dead && h.Isolated() {
					list = append(list, h.name)
				}
			}
			return list
		}
		assert.Equal(t, len(isolated()), 0)
		c.store.SetDown(true)
		c.pass(bound)
		assert.Equal(t, len(isolated()), 0)
		c.store.SetDown(false)
		c.pass(bound)
		c.stop(c.hosts[4])
		c.pass(bound)
		assert.Equal(t, len(isolated()), 0)
		c.cutPeers(c.hosts[1], true)
		c.hosts[1].client.SetCut(true)
		c.pass(2 * time.Second)
		assert.DeepEqual(t, isolated(), []model.HostID{"h1"})
		c.cutPeers(c.hosts[1], false)
		c.hosts[1].client.SetCut(false)
		c.pass(time.Second)
		assert.Equal(t, len(isolated()), 0)
	})
}

// Guards against a host that acts without the store while others reach it.
func TestCutFromStoreOnly(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "refused": false} {
		t.Run(name, func(t *testing.T) {
			run(t, 5, func(t *testing.T, c *cluster) {
				h := c.hosts[3]
				if silent {
					h.client.SetCut(true)
				} else {
					h.client.SetUnavailable(true)
				}
				c.pass(3 * time.Second)
				assert.Assert(t, !h.MayAct())
				assert.Assert(t, h.StoreAway())
				c.pass(bound - 3*time.Second)
				c.settled("h0", "h1", "h2", "h4")
				h.client.SetCut(false)
				h.client.SetUnavailable(false)
				c.pass(bound)
				c.settled("h0", "h1", "h2", "h3", "h4")
			})
		})
	}
}

// Guards against removing a host that acquired its lease again between the
// remover's look at the lease and its write: the host would go on acting.
func TestLeaseAcquiredDuringRemoval(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		remover, h, other := c.hosts[0], c.hosts[1], c.hosts[2]
		before, raced := h.Self().Incarnation, false
		h.client.SetUnavailable(true)
		remover.beforePut = func(key string) {
			if key != "Membership" || raced {
				return
			}
			raced = true
			other.gate.freeze() // only one host removes
			h.client.SetUnavailable(false)
			time.Sleep(1500 * time.Millisecond)
			assert.Check(t, h.MayAct())
			other.gate.resume()
		}
		c.pass(bound)
		assert.Assert(t, raced)
		c.settled("h0", "h1", "h2")
		assert.Equal(t, h.Self().Incarnation, before)
	})
}

// Guards against removing a host that holds its lease.
func TestCutFromPeersOnly(t *testing.T) {
	run(t, 5, func(t *testing.T, c *cluster) {
		before := c.hosts[0].View().Epoch
		c.cutPeers(c.hosts[3], true)
		c.pass(bound)
		c.settled("h0", "h1", "h2", "h3", "h4")
		assert.Equal(t, c.hosts[0].View().Epoch, before)
		assert.ErrorIs(t, c.hosts[0].DeclareGone(t.Context(), "h3"), fleet.ErrLeaseHeld)
	})
}

// Guards against hosts that lose their right during an outage of the store, or
// their membership after it, whether the store refuses or goes silent.
func TestStoreDownTenMinutes(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "refused": false} {
		t.Run(name, func(t *testing.T) {
			run(t, 5, func(t *testing.T, c *cluster) {
				set := func(down bool) {
					for _, h := range c.hosts {
						if silent {
							h.client.SetCut(down)
						}
					}
					c.store.SetDown(down && !silent)
				}
				before := c.hosts[0].View().Epoch
				set(true)
				for i := range 1290 {
					// Leases run out within the first seconds.
					step := 500 * time.Millisecond
					if i < 100 {
						step = 50 * time.Millisecond
					}
					c.passInSteps(step, step)
					for _, h := range c.hosts {
						assert.Assert(t, h.MayAct(), "%s: %+v", h.name, h.Dump())
					}
				}
				set(false)
				c.pass(bound)
				c.settled("h0", "h1", "h2", "h3", "h4")
				assert.Equal(t, c.hosts[0].View().Epoch, before, "a host was removed after the outage")
			})
		})
	}
}

// Guards against a gap between the end of the leases and the first quorum
// confirmation, at any phase of the renewals at which an outage may start.
func TestOutageStartsAtAnyPhase(t *testing.T) {
	run(t, 5, func(t *testing.T, c *cluster) {
		for phase := range 10 {
			for _, h := range c.hosts {
				h.client.SetCut(true)
			}
			for range 80 {
				c.pass(50 * time.Millisecond)
				for _, h := range c.hosts {
					assert.Assert(t, h.MayAct(), "phase %d, %s: %+v", phase, h.name, h.Dump())
				}
			}
			for _, h := range c.hosts {
				h.client.SetCut(false)
			}
			c.pass(5*time.Second + 100*time.Millisecond)
			c.settled("h0", "h1", "h2", "h3", "h4")
		}
	})
}

// Guards against a host that enters an epoch right after an outage, which ends
// the confirmations of its peers, and has no right to act until the next regular
// renewal of its lease: open streams outlive the right by 250 ms only.
func TestEpochRightAfterOutage(t *testing.T) {
	const outlive = 250 * time.Millisecond
	for name, silent := range map[string]bool{"silent": true, "refused": false} {
		t.Run(name, func(t *testing.T) {
			run(t, 5, func(t *testing.T, c *cluster) {
				leaver := c.hosts[4]
				lost := map[model.HostID]time.Duration{}
				for phase := range 10 {
					outage := func(on bool, hosts ...*host) {
						for _, h := range hosts {
							if silent {
								h.client.SetCut(on)
							} else {
								h.client.SetUnavailable(on)
							}
						}
					}
					outage(true, c.hosts...)
					c.pass(8*time.Second + time.Duration(phase)*100*time.Millisecond)
					// The store is back for two hosts first.
					outage(false, c.hosts[1:3]...)
					// Any change of the membership makes an epoch.
					record := leaver.View()
					record.Epoch++
					value, err := record.Encode()
					assert.NilError(t, err)
					writer := c.store.NewClient("writer")
					entry, err := writer.Get(t.Context(), "Membership")
					assert.NilError(t, err)
					_, err = writer.Put(t.Context(), "Membership", value, entry.Version)
					assert.NilError(t, err)
					for step := range 300 {
						if step == 70 {
							outage(false, c.hosts...)
						}
						c.passInSteps(10*time.Millisecond, 10*time.Millisecond)
						for _, h := range c.hosts {
							lost[h.name] += 10 * time.Millisecond
							if h.MayAct() {
								lost[h.name] = 0
							}
							assert.Assert(t, lost[h.name] <= outlive, "phase %d, %s without a right for %v: %+v", phase, h.name, lost[h.name], h.Dump())
						}
					}
					c.pass(bound)
					c.settled("h0", "h1", "h2", "h3", "h4")
				}
			})
		})
	}
}

// Guards against removing a host after an outage before it had the time to
// acquire its lease again, without a hint from its peers.
func TestOutageWhileCutFromPeers(t *testing.T) {
	run(t, 5, func(t *testing.T, c *cluster) {
		h := c.hosts[4]
		before := h.Self().Incarnation
		c.cutPeers(h, true)
		for _, o := range c.hosts {
			o.client.SetCut(true)
		}
		c.pass(bound)
		assert.Assert(t, !h.MayAct())
		for _, o := range c.hosts {
			o.client.SetCut(false)
		}
		c.pass(bound)
		c.settled("h0", "h1", "h2", "h3", "h4")
		assert.Equal(t, h.Self().Incarnation, before)
	})
}

// Guards against a new host that acts for a shard while its previous owner has
// not entered the epoch yet.
func TestJoinWhileOwnerIsSlow(t *testing.T) {
	run(t, 3, func(_ *testing.T, c *cluster) {
		c.shards = 128
		c.hosts[0].client.SetDelay(300 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.add(ctx, "h3", "z0")
		c.pass(bound)
		c.settled("h0", "h1", "h2", "h3")
	})
}

// Guards against two hosts that act for one shard, and hosts that do not come
// back, under random pairs of faults with and without a working store.
func TestRandomPairsOfFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run(t, 7, func(_ *testing.T, c *cluster) {
				random := rand.New(rand.NewPCG(seed, 1))
				for range 8 {
					order := random.Perm(len(c.hosts))
					first, second := c.hosts[order[0]], c.hosts[order[1]]
					healFirst := c.fault(random.IntN(6), first)
					c.pass(time.Duration(random.IntN(5000)) * time.Millisecond)
					healSecond := c.fault(random.IntN(6), second)
					c.pass(time.Duration(random.IntN(8000)) * time.Millisecond)
					healFirst()
					c.pass(time.Duration(random.IntN(3000)) * time.Millisecond)
					healSecond()
					c.pass(bound)
					c.settled("h0", "h1", "h2", "h3", "h4", "h5", "h6")
				}
			})
		})
	}
}

// fault starts a fault of a host and returns what ends it.
func (c *cluster) fault(kind int, h *host) func() {
	switch kind {
	case 0:
		h.gate.freeze()
		return h.gate.resume
	case 1:
		h.client.SetCut(true)
		return func() { h.client.SetCut(false) }
	case 2:
		c.cutPeers(h, true)
		return func() { c.cutPeers(h, false) }
	case 3:
		h.client.LoseAnswers(4, false)
		return func() { h.client.LoseAnswers(0, false) }
	case 4: // enters epochs later than others, without losing its lease
		h.client.SetDelay(300 * time.Millisecond)
		return func() { h.client.SetDelay(0) }
	default:
		c.store.SetDown(true)
		return func() { c.store.SetDown(false) }
	}
}

// Guards against a minority that goes on acting during an outage, and against a
// dead host that is not removed after it.
func TestStoreDownWithFaults(t *testing.T) {
	run(t, 5, func(t *testing.T, c *cluster) {
		c.store.SetDown(true)
		c.pass(bound)
		c.stop(c.hosts[0])
		c.cutPeers(c.hosts[1], true)
		c.pass(bound)
		assert.Assert(t, !c.hosts[1].MayAct())
		assert.Assert(t, c.hosts[2].MayAct() && c.hosts[3].MayAct() && c.hosts[4].MayAct())
		c.store.SetDown(false)
		c.cutPeers(c.hosts[1], false)
		c.pass(bound)
		c.settled("h1", "h2", "h3", "h4")
	})
}

// Guards against lost answers that stop a join, a removal or a report.
func TestLostAnswers(t *testing.T) {
	run(t, 5, func(_ *testing.T, c *cluster) {
		for _, h := range c.hosts {
			h.client.LoseAnswers(3, false)
		}
		c.stop(c.hosts[4])
		c.pass(bound)
		c.settled("h0", "h1", "h2", "h3")
	})
}

// Guards against a planned leave that waits for a lease to lapse, and against a
// leaving host that keeps its shards.
func TestLeave(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		h := c.hosts[1]
		assert.NilError(t, h.MarkLeaving(t.Context()))
		c.pass(time.Second)
		for s := range model.Shard(model.ShardCount) {
			assert.Assert(t, !h.ActsFor(s))
		}
		ready, why := h.Ready()
		assert.Assert(t, !ready && why != "")
		assert.NilError(t, h.Leave(t.Context()))
		c.stop(h)
		c.pass(time.Second)
		c.settled("h0", "h2")
		for _, key := range []string{"Lease/h1", "Enter/h1"} {
			_, err := c.hosts[0].client.Get(t.Context(), key)
			assert.ErrorIs(t, err, store.ErrNotFound, key)
		}
	})
}

// Guards against shards that are granted anew while their removed owner may still
// act, on a confirmation that a process gave just before it was restarted.
func TestRestartOfConfirmingHost(t *testing.T) {
	run(t, 5, func(t *testing.T, c *cluster) {
		// Three of five hosts confirm each other without the store; the others
		// remove as many of them as leaves a majority.
		owner, confirming := c.hosts[0], c.hosts[4]
		for _, h := range []*host{owner, c.hosts[3], confirming} {
			h.client.SetCut(true)
		}
		c.pass(bound)
		assert.Assert(t, owner.MayAct() && !c.hosts[1].View().Has("h0", owner.Self().Incarnation))
		c.stop(confirming)
		synctest.Wait()
		assert.Assert(t, owner.MayAct())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.add(ctx, "h4", "z1")
		c.passInSteps(4*time.Second, 10*time.Millisecond)
		assert.Assert(t, !owner.MayAct())
		for _, h := range []*host{owner, c.hosts[3]} {
			h.client.SetCut(false)
		}
		c.pass(bound)
		c.settled("h0", "h1", "h2", "h3", "h4")
	})
}

// Guards against a fleet that waits for confirmations of processes that are all
// gone: after a power failure nobody is served until the epoch is settled.
func TestRestartOfAllHosts(t *testing.T) {
	for name, before := range map[string]func(c *cluster){
		"calm": func(*cluster) {},
		"after a host was removed and joined again": func(c *cluster) {
			c.hosts[1].client.SetCut(true)
			c.pass(bound)
			c.hosts[1].client.SetCut(false)
			c.pass(bound)
			c.settled("h0", "h1", "h2", "h3", "h4")
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 5, func(_ *testing.T, c *cluster) {
				before(c)
				for _, h := range c.hosts {
					c.stop(h)
				}
				c.pass(4 * time.Second) // the leases of the dead lapse
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				// A call of the store takes 20 ms. After the last join, a host reads
				// the epoch, writes its report and reads those of the others.
				for i := range 5 {
					c.add(ctx, fmt.Sprintf("h%d", i), fmt.Sprintf("z%d", i%3)).client.SetDelay(20 * time.Millisecond)
					time.Sleep(30 * time.Millisecond)
				}
				c.passInSteps(250*time.Millisecond, 10*time.Millisecond)
				c.settled("h0", "h1", "h2", "h3", "h4")
			})
		})
	}
}

// Guards against a restarted host that is kept out, or that leaves its old
// incarnation behind.
func TestRestart(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		c.stop(c.hosts[1])
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		h := c.add(ctx, "h1", "z1")
		c.pass(bound)
		c.settled("h0", "h1", "h2")
		assert.Assert(t, c.hosts[0].View().Has("h1", h.Self().Incarnation))
	})
}

// Guards against a configuration that is reported as in effect while a member
// has not told its revision yet.
func TestUnheardMembersConfirmNothing(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		late := c.add(ctx, "h3", "zone-0")
		c.cutPeers(late, true)
		c.pass(bound)
		c.settled("h0", "h1", "h2", "h3")
		assert.DeepEqual(t, c.hosts[0].Confirmed(), map[model.HostID]model.Revision{"h0": 7, "h1": 7, "h2": 7, "h3": 0})
		assert.DeepEqual(t, c.hosts[0].Dump().(fleet.State).Unheard, []model.HostID{"h3"})
		c.cutPeers(late, false)
		c.pass(time.Second)
		assert.Equal(t, c.hosts[0].Confirmed()["h3"], model.Revision(7))
	})
}

// Guards against subscribers that miss a change or hear of others' keys,
// revisions that are not passed on, and entry reports written before OnEpoch.
func TestNews(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		h := c.hosts[0]
		var calls [][]store.Entry
		h.Subscribe("Config", func(e []store.Entry) { calls = append(calls, e) })
		synctest.Wait()
		_, err := c.hosts[1].client.Put(t.Context(), "Config", []byte("x"), 0)
		assert.NilError(t, err)
		_, err = c.hosts[1].client.Put(t.Context(), "Shares", []byte("x"), 0)
		assert.NilError(t, err)
		c.pass(time.Second)
		assert.Equal(t, len(calls), 2)
		assert.Equal(t, len(calls[0]), 0)
		assert.Equal(t, calls[1][0].Key, "Config")
		assert.DeepEqual(t, h.Confirmed(), map[model.HostID]model.Revision{"h0": 7, "h1": 7, "h2": 7})
		var reported []model.Epoch
		h.OnEpoch(func(_, current member.Record) {
			for _, r := range h.Dump().(fleet.State).Reports {
				assert.Check(t, r.Epoch <= current.Epoch)
			}
			assert.Check(t, h.Dump().(fleet.State).Reported < current.Epoch)
			reported = append(reported, current.Epoch)
		})
		c.stop(c.hosts[2])
		c.pass(bound)
		assert.Equal(t, len(reported), 1)
		c.settled("h0", "h1")
	})
}
