package follow_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/catalog"
	"mimosarelay/app/follow"
	"mimosarelay/core/evidence"
	"mimosarelay/io/peer/peerpb"
)

// changeBound is the time after which a confirmed configuration must be in force, and a
// leaving target get no request, on each host that the store or a keeper with the store
// serves.
const changeBound = 2 * time.Second

// catalogPeers holds the catalogs of keepers in order of preference.
type catalogPeers struct {
	follow.Relays
	catalogs map[string]*catalog.Service
	order    []string
	requests atomic.Int64 // for the configuration
}

// Configuration implements follow.CatalogPeers.
func (cp *catalogPeers) Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	cp.requests.Add(1)
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

// relayedFleet is an entry host that follows keepers in virtual time.
type relayedFleet struct {
	context context.Context
	running sync.WaitGroup
	sources []*fakeSource // the store as each keeper reaches it, and at last the entry host
	peers   *catalogPeers
	entry   *catalog.Service
}

// runRelayedFleet runs a test of a fleet whose entry host starts after offset. If relay
// is set, the entry host prefers a keeper that watches the others.
func runRelayedFleet(t *testing.T, keepers int, latency, offset time.Duration, relay bool, test func(t *testing.T, rf *relayedFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		rf := &relayedFleet{context: ctx, peers: &catalogPeers{catalogs: map[string]*catalog.Service{}}}
		for i := range keepers + 1 {
			rf.sources = append(rf.sources, &fakeSource{revision: 1, latency: latency})
			if i == keepers {
				break
			}
			address := fmt.Sprint("keeper-", i)
			rf.peers.order = append(rf.peers.order, address)
			rf.peers.catalogs[address] = rf.start(rf.sources[i])
			time.Sleep(290 * time.Millisecond) // so that the keepers do not watch in step
		}
		if relay {
			readers := rf.peers
			rf.peers = &catalogPeers{catalogs: maps.Clone(readers.catalogs), order: append([]string{"relay"}, readers.order...)}
			rf.peers.catalogs["relay"] = rf.start(&follow.Source{
				Relays: readers, Peers: readers, Store: rf.sources[keepers], Decode: decode, Clock: clockwork.NewRealClock(), MaxWait: 400 * time.Millisecond,
			})
		}
		time.Sleep(offset)
		rf.entry = rf.start(&follow.Source{Relays: rf.peers, Peers: rf.peers, Store: rf.sources[keepers], Decode: decode, Clock: clockwork.NewRealClock()})
		defer rf.running.Wait()
		defer stop()
		test(t, rf)
	})
}

func (rf *relayedFleet) start(source catalog.Source) *catalog.Service {
	c := catalog.New(catalog.Options{
		Source: source, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Lifetime: evidence.MaxAge(lifetime), Interval: 400 * time.Millisecond,
	})
	rf.running.Go(func() { _ = c.Run(rf.context) })
	return c
}

// Guards against an old configuration through a keeper whose store fell silent: the
// entry host relied on it for 1.5 s and one more watch of 1 s, although another keeper
// knew the change. The same holds for targets.
func TestKeeperWithSilentStoreDoesNotDelayChange(t *testing.T) {
	cases := map[string]struct {
		keepers int
		relay   bool
	}{
		"another keeper has the store": {keepers: 2},
		"only the host has the store":  {keepers: 1},
		"through a relaying keeper":    {keepers: 2, relay: true},
	}
	for name, c := range cases {
		for i := range 100 { // phases of the host's watches, and of the fault, to those of the keepers
			offset, phase := time.Duration(i/10)*100*time.Millisecond, time.Duration(i%10)*100*time.Millisecond
			t.Run(fmt.Sprint(name, offset, phase), func(t *testing.T) {
				runRelayedFleet(t, c.keepers, 4*time.Millisecond, offset, c.relay, func(t *testing.T, rf *relayedFleet) {
					time.Sleep(5*time.Second - offset + phase)
					rf.sources[0].update(func() { rf.sources[0].silent = true })
					for _, s := range rf.sources {
						s.update(func() { s.revision = 2 })
					}
					confirmed := time.Now()
					before := rf.entry.Latest().Document().Targets[0].MaxInFlight
					for rf.entry.Latest().Revision() < 2 || rf.entry.Latest().Document().Targets[0].MaxInFlight == before {
						if time.Since(confirmed) > 5*time.Second {
							break
						}
						time.Sleep(time.Millisecond)
					}
					t.Logf("known after %v", time.Since(confirmed))
					assert.Check(t, time.Since(confirmed) < changeBound, "the change was in force after %v", time.Since(confirmed))
				})
			})
		}
	}
}

// Guards against ages that refuse requests or cost messages and store calls in a calm
// deployment, also while each answer of the store takes 400 ms.
func TestCalmHostsUseKeepersOnly(t *testing.T) {
	for latency, maxRequests := range map[time.Duration]int64{4 * time.Millisecond: 61, 400 * time.Millisecond: 320} {
		t.Run(latency.String(), func(t *testing.T) {
			runRelayedFleet(t, 3, latency, 0, false, func(t *testing.T, rf *relayedFleet) {
				time.Sleep(5 * time.Second)
				calls, requests := rf.sources[3].callCount(), rf.peers.requests.Load()
				for range 6000 {
					time.Sleep(10 * time.Millisecond)
					_, err := rf.entry.View()
					assert.NilError(t, err)
				}
				requests = rf.peers.requests.Load() - requests
				assert.Equal(t, rf.sources[3].callCount(), calls, "store calls of an entry host in 60 s")
				assert.Check(t, requests <= maxRequests, "%d requests for the configuration in 60 s", requests)
			})
		})
	}
}
