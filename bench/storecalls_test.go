package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/fleet"
	"mimosarelay/app/limits"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/core/store/memstore"
	"mimosarelay/io/peer/peerpb"
)

// memberFleet runs members with an in-memory store and network. It is used in a
// synctest bubble, so that time is simulated.
type memberFleet struct {
	store     *memstore.Store
	wg        sync.WaitGroup
	mu        sync.Mutex
	byAddress map[string]*fleet.Service
	clients   []*countingStore
	cancels   []context.CancelFunc
}

func (f *memberFleet) Heartbeat(ctx context.Context, address string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	f.mu.Lock()
	s := f.byAddress[address]
	f.mu.Unlock()
	if s == nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, model.ErrUnavailable)
	}
	return s.HandleHeartbeat(ctx, r)
}

// start starts host number i, which reports holdings of w workspaces.
func (f *memberFleet) start(i, w int) *fleet.Service {
	client := newCountingStore(f.store.NewClient(string(hostName(i))))
	m := newMember(i)
	s := fleet.New(fleet.Options{
		Store: client, Peers: f, Clock: clockwork.NewRealClock(), Self: m,
		Holdings:       func(model.Epoch) map[model.WorkspaceID]int64 { return holdings(i, hosts, w, hosts) },
		ConfigRevision: func() model.Revision { return 1 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	f.byAddress[m.PeerAddress] = s
	f.clients = append(f.clients, client)
	f.cancels = append(f.cancels, cancel)
	f.mu.Unlock()
	f.wg.Go(func() { _ = s.Run(ctx) }) // ends with ctx
	return s
}

// counts returns the sum of all members' counts.
func (f *memberFleet) counts() storeUsage {
	var sum storeUsage
	for _, c := range f.clients {
		u := c.counts()
		sum.Reads += u.Reads
		sum.Writes += u.Writes
		sum.Renewals += u.Renewals
		sum.Watches += u.Watches
		sum.WatchBytes += u.WatchBytes
		sum.WriteBytes += u.WriteBytes
	}
	return sum
}

// since returns the usage after the earlier counts o.
func (u storeUsage) since(o storeUsage) storeUsage {
	return storeUsage{
		u.Reads - o.Reads, u.Writes - o.Writes, u.Renewals - o.Renewals, u.Watches - o.Watches,
		u.WatchBytes - o.WatchBytes, u.WriteBytes - o.WriteBytes,
	}
}

// Guards against members of a settled fleet that call the store for more than one
// lease renewal a second and successive watches of 2 s each, and against more
// writes in a new epoch than one report per host and one change of the record.
// The figures of docs/CAPACITY.md are based on these rates. With -full it logs
// their slopes at larger sizes.
func TestSettledMembersMakeFewStoreCalls(t *testing.T) {
	sizes, idle := []int{3, 6}, 10*time.Second
	if *full {
		sizes, idle = []int{8, 16, 32, 64}, 60*time.Second
	}
	var x, settledBytes, reads, watches, watchBytes []float64
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := &memberFleet{store: memstore.New(clockwork.NewRealClock()), byAddress: map[string]*fleet.Service{}}
			for i := range n {
				f.start(i, 4)
			}
			time.Sleep(time.Minute)
			before := f.counts()
			time.Sleep(idle)
			settled := f.counts().since(before)
			seconds := idle.Seconds() * float64(n)
			t.Logf("%d hosts at rest, per host and second: %.2f renewals, %.2f watches, %.2f reads, %.2f writes",
				n, float64(settled.Renewals)/seconds, float64(settled.Watches)/seconds, float64(settled.Reads)/seconds, float64(settled.Writes)/seconds)
			t.Logf("%d hosts at rest, per host and second: %.0f bytes by watches", n, float64(settled.WatchBytes)/seconds)
			settledBytes = append(settledBytes, float64(settled.WatchBytes)/seconds)
			assert.Assert(t, float64(settled.Renewals) <= 1.1*seconds, "too many renewals: %+v", settled)
			assert.Assert(t, float64(settled.Watches) <= 0.6*seconds, "too many watches: %+v", settled)
			assert.Equal(t, settled.Reads+settled.Writes, 0)

			before = f.counts()
			f.cancels[n-1]()
			time.Sleep(10 * time.Second)
			epoch := f.counts().since(before)
			settledWatches := 10 * float64(n-1) / 2 // watches that end without a change
			t.Logf("%d hosts, one killed: %d reads, %d writes, %d watches (%.0f more than at rest), %d bytes by watches",
				n, epoch.Reads, epoch.Writes, epoch.Watches, float64(epoch.Watches)-settledWatches, epoch.WatchBytes)
			// One report of each remaining host, the record and the removal of
			// the old report. Two hosts may write the record at the same time.
			assert.Assert(t, epoch.Writes <= n+3, "too many writes after the loss of one of %d hosts: %+v", n, epoch)
			x = append(x, float64(n))
			reads = append(reads, float64(epoch.Reads+epoch.Writes))
			watches = append(watches, float64(epoch.Watches)-settledWatches)
			watchBytes = append(watchBytes, float64(epoch.WatchBytes))
			for _, stop := range f.cancels {
				stop()
			}
			f.wg.Wait()
		})
	}
	t.Logf("FIT bytes of watch answers at rest per host and second, x=hosts: %v", fitLine(x, settledBytes))
	t.Logf("FIT reads and writes per epoch, x=hosts: %v", fitLine(x, reads))
	t.Logf("FIT watch answers per epoch, x=hosts: %v", fitLine(x, watches))
	t.Logf("FIT bytes of watch answers per epoch, x=hosts: %v", fitLine(x, watchBytes))
}

// Guards against a journal that writes to the store more often than every 25 ms.
// The figures of docs/CAPACITY.md are based on this rate.
func TestJournalWritesAtMostEvery25ms(t *testing.T) {
	sizes := []int{1, 4}
	if *full {
		sizes = []int{1, 4, 16, 64}
	}
	for _, callers := range sizes {
		f := newProgramFleet(t)
		started := time.Now()
		const calls = 8
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				for n := range calls {
					f.call(t, i, n+1)
					time.Sleep(25 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		elapsed := time.Since(started)
		time.Sleep(60 * time.Millisecond) // until the last group of commits is written
		c := f.store.counts()
		t.Logf("%d programs, %d calls: %d journal writes in %v, %d bytes", callers, callers*calls, c.Writes, elapsed, c.WriteBytes)
		assert.Assert(t, c.Writes > 0)
		maxWrites := (elapsed+60*time.Millisecond)/(25*time.Millisecond) + 2
		assert.Assert(t, c.Writes <= int(maxWrites), "%d journal writes in %v", c.Writes, elapsed)
	}
}

// Guards against a journal that writes once for each commit although several
// commits fall within 25 ms. Each call commits twice: at its start and at its end.
// With -full it logs the writes of a host at the peak load of the planned scale.
func TestJournalGroupsCommitsAtPeakLoad(t *testing.T) {
	const perSecond = 4400.0 / hosts // calls of one host at peak load
	span, speed := 500*time.Millisecond, 10.0
	if *full {
		span, speed = 10*time.Second, 1
	}
	f := newProgramFleet(t)
	random := rand.New(rand.NewPCG(1, 1))
	started, calls := time.Now(), 0
	var wg sync.WaitGroup
	for time.Since(started) < span {
		i := calls
		calls++
		// Each call belongs to a program of its own, so that none waits for
		// another.
		wg.Go(func() { f.call(t, i, 1) })
		time.Sleep(time.Duration(random.ExpFloat64() / (speed * perSecond) * float64(time.Second)))
	}
	wg.Wait()
	elapsed := time.Since(started)
	time.Sleep(60 * time.Millisecond) // until the last group of commits is written
	writes := f.store.counts().Writes
	t.Logf("%.1f calls a second: %.1f journal writes a second", float64(calls)/elapsed.Seconds(), float64(writes)/elapsed.Seconds())
	assert.Assert(t, writes > 0 && writes < 2*calls, "%d journal writes of %d calls", writes, calls)
}

// Guards against a first settlement that is not written to the store. With -full
// it logs up to which fleet size the store accepts its value.
func TestFirstSettlementReachesStore(t *testing.T) {
	sizes := [][2]int{{5, 20}, {20, 46}}
	if *full {
		sizes = [][2]int{{20, workspaces}, {50, workspaces}, {60, workspaces}, {170, workspaces}, {hosts, workspaces}}
	}
	for _, size := range sizes {
		n, w := size[0], size[1]
		m := newMembership(n)
		counted := newCountingStore(memstore.New(clockwork.NewRealClock()).NewClient("bench"))
		s := limits.New(limits.Options{
			Host: m.Members[0].Host, Clock: clockwork.NewRealClock(), Store: counted, Peers: unreachableLimitPeers{},
			MayAct: func() bool { return true },
		})
		d := &config.Document{}
		for _, name := range workspaceNames(w) {
			d.Workspaces = append(d.Workspaces, config.Workspace{Name: name, Rate: 1, Burst: 1})
		}
		s.ContractsChanged(d)
		s.EpochChanged(m)
		s.EntriesChanged(entryReports(t, m, 0, n))
		var dump limits.Dump
		for range 100 {
			if dump = s.Dump().(limits.Dump); dump.Rounds > 0 {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		s.Close()
		t.Logf("%d hosts, %d workspaces: %d rounds applied, share of the first workspace %d, writes %+v",
			n, w, dump.Rounds, dump.Workspaces[workspaceName(0)].Rate, counted.counts())
		if !*full {
			assert.Equal(t, dump.Rounds, 1)
		}
	}
}

// Guards against a member that does not read the holdings of all others from the
// store. With -full it logs the CPU time and memory of a settled member at the
// planned scale.
func TestMemberLearnsAllHoldings(t *testing.T) {
	n, w, observed := 10, 46, 100*time.Millisecond
	if *full {
		n, w, observed = hosts, workspaces, 20*time.Second
	}
	for _, reported := range []int{0, w} {
		m := newMembership(n)
		var reports []store.Entry
		for _, e := range entryReports(t, m, reported, n)[1:] {
			e.Key = "Enter/" + strings.TrimPrefix(e.Key, limits.EnterPrefix)
			reports = append(reports, e)
		}
		before := heapInUse()
		s, _ := newFleetMember(t, n, reports...)
		for _, e := range reports {
			r := s.Dump().(fleet.State).Reports[model.HostID(strings.TrimPrefix(e.Key, "Enter/"))]
			assert.Equal(t, len(r.Holdings), 2*reported) // one for the rate and one for the burst
		}
		used := processorTime(t)
		time.Sleep(observed)
		t.Logf("%d hosts, reports of %d workspaces: %.2f %% of a core, %.1f MB including the store",
			n, reported, 100*float64(processorTime(t)-used)/float64(observed), (heapInUse()-before)/1e6)
	}
}

var _ store.Store = (*countingStore)(nil)
