package turns_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/turns"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/core/store/memstore"
	"mimosarelay/core/turn"
	"mimosarelay/io/peer/peerpb"
)

// keepers is a pair of owners of which one at a time acts for all shards.
type ownerPair struct {
	t         *testing.T
	store     *memstore.Store
	acting    atomic.Value // model.HostID
	owners    map[model.HostID]*turns.Owner
	storeDown atomic.Bool // the store does not answer
	peersDown atomic.Bool // the owners do not reach each other
	inherit   time.Duration
	disks     map[model.HostID]*fakeDisk
	stop      map[model.HostID]context.CancelFunc
}

// fakeDisk outlasts the owners of its host.
type fakeDisk struct {
	mu    sync.Mutex
	pages map[model.HostID][]byte
}

// Save implements turns.Disk.
func (d *fakeDisk) Save(host model.HostID, page []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pages[host] = page
	return nil
}

// Load implements turns.Disk.
func (d *fakeDisk) Load(visit func([]byte) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pages {
		if err := visit(p); err != nil {
			return err
		}
	}
	return nil
}

type fakeOwnership struct {
	k    *ownerPair
	host model.HostID
}

func (t fakeOwnership) ActsFor(model.Shard) bool { return t.k.acting.Load() == t.host }

// away is a store that can be switched off.
type faultyStore struct {
	store.Store
	k *ownerPair
}

func (a faultyStore) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	if a.k.storeDown.Load() {
		<-ctx.Done()
		return 0, store.ErrUnknown
	}
	return a.Store.Put(ctx, key, value, prev)
}

var errUnreachable = errors.New("cut off")

// KeepBudgets and FetchBudgets implement turns.Copies; the address is the host.
func (k *ownerPair) KeepBudgets(ctx context.Context, address string, m *peerpb.BudgetPage) (*peerpb.KeepBudgetsResponse, error) {
	if k.peersDown.Load() {
		return nil, errUnreachable
	}
	return k.owners[model.HostID(address)].HandleKeepBudgets(ctx, m)
}

func (k *ownerPair) FetchBudgets(ctx context.Context, address string, r *peerpb.FetchBudgetsRequest) (*peerpb.FetchBudgetsResponse, error) {
	if k.peersDown.Load() {
		return nil, errUnreachable
	}
	return k.owners[model.HostID(address)].HandleFetchBudgets(ctx, r)
}

func newOwnerPair(t *testing.T) *ownerPair {
	t.Helper()
	k := &ownerPair{
		t: t, store: memstore.New(clockwork.NewRealClock()), owners: map[model.HostID]*turns.Owner{},
		disks: map[model.HostID]*fakeDisk{}, stop: map[model.HostID]context.CancelFunc{}, inherit: time.Nanosecond,
	}
	for _, host := range []model.HostID{"a", "b"} {
		k.disks[host] = &fakeDisk{pages: map[model.HostID][]byte{}}
		k.start(host)
	}
	k.moveShards("a")
	return k
}

// start replaces the process of a host by one that knows only what the disk
// holds.
func (k *ownerPair) start(host model.HostID) {
	if stop := k.stop[host]; stop != nil {
		stop()
	}
	ctx, stop := context.WithCancel(context.Background())
	k.t.Cleanup(stop)
	k.stop[host] = stop
	peer := map[model.HostID]string{"a": "b", "b": "a"}[host]
	o := turns.NewOwner(turns.OwnerOptions{
		Host: host, ShardOwnership: fakeOwnership{k, host}, Store: faultyStore{k.store.NewClient(string(host)), k}, Clock: clockwork.NewRealClock(),
		Log: slog.New(slog.DiscardHandler), Keepers: func() []string { return []string{peer} }, CopyClient: k,
		Disk: k.disks[host], FlushInterval: 10 * time.Millisecond, InheritPeriod: k.inherit,
	})
	k.owners[host] = o
	go func() { _ = o.Run(ctx) }()
}

// move gives all shards to a host.
func (k *ownerPair) moveShards(host model.HostID) {
	k.acting.Store(host)
	for h, o := range k.owners {
		o.OwnershipChanged(func(model.Shard) bool { return h == host }, true)
	}
}

var programKey = model.ProgramKey{Workspace: "office", Program: "loop"}

// turn runs a turn of 10 tokens that reserves 100 of 300.
func (k *ownerPair) reserve(host model.HostID, id string) error {
	ctx, cancel := context.WithTimeout(k.t.Context(), 700*time.Millisecond)
	defer cancel()
	err := k.owners[host].Reserve(ctx, turn.Reservation{
		Program: programKey, Turn: model.RequestID(id), Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute),
	})
	return err
}

// Guards against a program that begins anew at the next owner, and against an
// owner that decides before it has read what the one before recorded.
func TestNextOwnerContinuesFromRecords(t *testing.T) {
	k := newOwnerPair(t)
	assert.NilError(t, k.reserve("a", "1"))
	assert.NilError(t, k.reserve("a", "2"))
	k.owners["a"].End(programKey, "1", 100)
	k.owners["a"].End(programKey, "2", 100)
	assert.ErrorIs(t, k.reserve("b", "3"), turns.ErrNotOwner)
	k.moveShards("b")
	assert.ErrorIs(t, k.reserve("b", "3"), model.ErrBudget)
	assert.ErrorIs(t, k.reserve("a", "3"), turns.ErrNotOwner)
}

// Guards against programs that stop when the store is away, and against turns
// without any record then.
func TestTurnsNeedCopiedRecordsDuringStoreOutage(t *testing.T) {
	k := newOwnerPair(t)
	assert.NilError(t, k.reserve("a", "0")) // loads
	k.owners["a"].End(programKey, "0", 0)
	k.storeDown.Store(true)
	k.peersDown.Store(true)
	fresh := model.ProgramKey{Workspace: "office", Program: "fresh"}
	reserve := func(id string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		return k.owners["a"].Reserve(ctx, turn.Reservation{Program: fresh, Turn: model.RequestID(id), Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute)})
	}
	assert.NilError(t, reserve("1"), "the bound holds one turn without a record")
	assert.ErrorIs(t, reserve("2"), turns.ErrNotOwner)
	k.peersDown.Store(false)
	time.Sleep(1500 * time.Millisecond) // until the next write begins
	assert.NilError(t, reserve("2"))
	k.storeDown.Store(false)
	k.moveShards("b")
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := k.owners["b"].Reserve(ctx, turn.Reservation{Program: fresh, Turn: "3", Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute)})
	assert.ErrorIs(t, err, model.ErrBudget)
}

// Guards against programs that begin anew because all keepers end while the
// store is away and what was spent is recorded only in copies.
func TestRecordsSurviveRestartOfAllKeepersDuringOutage(t *testing.T) {
	k := newOwnerPair(t)
	assert.NilError(t, k.reserve("a", "0")) // loads
	k.owners["a"].End(programKey, "0", 0)
	k.storeDown.Store(true)
	reserve := func(id string) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return k.owners["a"].Reserve(ctx, turn.Reservation{
			Program: model.ProgramKey{Workspace: "office", Program: "fresh"}, Turn: model.RequestID(id), Budget: 300, Max: 100,
			Deadline: time.Now().Add(time.Minute),
		})
	}
	assert.NilError(t, reserve("1"))
	assert.NilError(t, reserve("2"), "a copy at another keeper counts as a record")
	k.start("a")
	k.start("b")
	k.storeDown.Store(false)
	k.moveShards("a")
	assert.ErrorIs(t, reserve("3"), model.ErrBudget)
}

// Guards against a program that runs a turn without a record at each of several
// owners that are lost one after the other. The bound holds one such turn.
func TestNewOwnerRecordsFirstTurnBeforeGranting(t *testing.T) {
	k := newOwnerPair(t)
	assert.NilError(t, k.reserve("a", "0")) // loads
	k.inherit = time.Minute
	k.start("b")
	k.moveShards("b")
	time.Sleep(200 * time.Millisecond) // until it has loaded
	k.storeDown.Store(true)
	k.peersDown.Store(true)
	reservation := turn.Reservation{
		Program: model.ProgramKey{Workspace: "office", Program: "late"}, Turn: "1", Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, k.owners["b"].Reserve(ctx, reservation), turns.ErrNotOwner)
	k.peersDown.Store(false)
	time.Sleep(1500 * time.Millisecond) // until the next write begins
	assert.NilError(t, k.owners["b"].Reserve(t.Context(), reservation), "a copy is a record")
}

// Guards against a copy that arrives late and replaces a newer one on the disk,
// which the next process would take for the last record.
func TestOlderCopyDoesNotReplaceNewer(t *testing.T) {
	k := newOwnerPair(t)
	for _, sequence := range []int64{2, 1} {
		_, err := k.owners["b"].HandleKeepBudgets(t.Context(), &peerpb.BudgetPage{Host: "a", Sequence: sequence})
		assert.NilError(t, err)
	}
	k.start("b")
	res, err := k.owners["b"].HandleFetchBudgets(t.Context(), &peerpb.FetchBudgetsRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(res.GetPages()), 1)
	assert.Equal(t, res.GetPages()[0].GetSequence(), int64(2))
}
