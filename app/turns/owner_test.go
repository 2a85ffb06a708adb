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
type keepers struct {
	t       *testing.T
	store   *memstore.Store
	acting  atomic.Value // model.HostID
	owners  map[model.HostID]*turns.Owner
	down    atomic.Bool // the store does not answer
	unheard atomic.Bool // the owners do not reach each other
	inherit time.Duration
	disks   map[model.HostID]*fakeDisk
	stop    map[model.HostID]context.CancelFunc
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

type tenure struct {
	k    *keepers
	host model.HostID
}

func (t tenure) ActsFor(model.Shard) bool { return t.k.acting.Load() == t.host }

// away is a store that can be switched off.
type away struct {
	store.Store
	k *keepers
}

func (a away) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	if a.k.down.Load() {
		<-ctx.Done()
		return 0, store.ErrUnknown
	}
	return a.Store.Put(ctx, key, value, prev)
}

var errCut = errors.New("cut off")

// KeepBudgets and FetchBudgets implement turns.Copies; the address is the host.
func (k *keepers) KeepBudgets(ctx context.Context, address string, m *peerpb.BudgetPage) (*peerpb.KeepBudgetsResponse, error) {
	if k.unheard.Load() {
		return nil, errCut
	}
	return k.owners[model.HostID(address)].HandleKeepBudgets(ctx, m)
}

func (k *keepers) FetchBudgets(ctx context.Context, address string, r *peerpb.FetchBudgetsRequest) (*peerpb.FetchBudgetsResponse, error) {
	if k.unheard.Load() {
		return nil, errCut
	}
	return k.owners[model.HostID(address)].HandleFetchBudgets(ctx, r)
}

func newKeepers(t *testing.T) *keepers {
	t.Helper()
	k := &keepers{
		t: t, store: memstore.New(clockwork.NewRealClock()), owners: map[model.HostID]*turns.Owner{},
		disks: map[model.HostID]*fakeDisk{}, stop: map[model.HostID]context.CancelFunc{}, inherit: time.Nanosecond,
	}
	for _, host := range []model.HostID{"a", "b"} {
		k.disks[host] = &fakeDisk{pages: map[model.HostID][]byte{}}
		k.start(host)
	}
	k.move("a")
	return k
}

// start replaces the process of a host by one that knows only what the disk
// holds.
func (k *keepers) start(host model.HostID) {
	if stop := k.stop[host]; stop != nil {
		stop()
	}
	ctx, stop := context.WithCancel(context.Background())
	k.t.Cleanup(stop)
	k.stop[host] = stop
	peer := map[model.HostID]string{"a": "b", "b": "a"}[host]
	o := turns.NewOwner(turns.OwnerOptions{
		Host: host, ShardOwnership: tenure{k, host}, Store: away{k.store.NewClient(string(host)), k}, Clock: clockwork.NewRealClock(),
		Log: slog.New(slog.DiscardHandler), Keepers: func() []string { return []string{peer} }, CopyClient: k,
		Disk: k.disks[host], FlushEvery: 10 * time.Millisecond, Inherit: k.inherit,
	})
	k.owners[host] = o
	go func() { _ = o.Run(ctx) }()
}

// move gives all shards to a host.
func (k *keepers) move(host model.HostID) {
	k.acting.Store(host)
	for h, o := range k.owners {
		o.OwnershipChanged(func(model.Shard) bool { return h == host }, true)
	}
}

var program = model.ProgramKey{Workspace: "office", Program: "loop"}

// turn runs a turn of 10 tokens that reserves 100 of 300.
func (k *keepers) turn(host model.HostID, id string) error {
	ctx, cancel := context.WithTimeout(k.t.Context(), 700*time.Millisecond)
	defer cancel()
	err := k.owners[host].Reserve(ctx, turn.Reservation{
		Program: program, Turn: model.RequestID(id), Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute),
	})
	return err
}

// Guards against a program that begins anew at the next owner, and against an
// owner that decides before it has read what the one before recorded.
func TestNextOwnerGoesOnFromRecords(t *testing.T) {
	k := newKeepers(t)
	assert.NilError(t, k.turn("a", "1"))
	assert.NilError(t, k.turn("a", "2"))
	k.owners["a"].End(program, "1", 100)
	k.owners["a"].End(program, "2", 100)
	assert.ErrorIs(t, k.turn("b", "3"), turns.ErrNotOwner)
	k.move("b")
	assert.ErrorIs(t, k.turn("b", "3"), model.ErrBudget)
	assert.ErrorIs(t, k.turn("a", "3"), turns.ErrNotOwner)
}

// Guards against programs that stop when the store is away, and against turns
// without any record then.
func TestOutageOfTheStore(t *testing.T) {
	k := newKeepers(t)
	assert.NilError(t, k.turn("a", "0")) // loads
	k.owners["a"].End(program, "0", 0)
	k.down.Store(true)
	k.unheard.Store(true)
	fresh := model.ProgramKey{Workspace: "office", Program: "fresh"}
	reserve := func(id string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		return k.owners["a"].Reserve(ctx, turn.Reservation{Program: fresh, Turn: model.RequestID(id), Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute)})
	}
	assert.NilError(t, reserve("1"), "the bound holds one turn without a record")
	assert.ErrorIs(t, reserve("2"), turns.ErrNotOwner)
	k.unheard.Store(false)
	time.Sleep(1500 * time.Millisecond) // until the next write begins
	assert.NilError(t, reserve("2"))
	k.down.Store(false)
	k.move("b")
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := k.owners["b"].Reserve(ctx, turn.Reservation{Program: fresh, Turn: "3", Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute)})
	assert.ErrorIs(t, err, model.ErrBudget)
}

// Guards against programs that begin anew because all keepers end while the
// store is away and what was spent is recorded only in copies.
func TestAllKeepersEndDuringOutage(t *testing.T) {
	k := newKeepers(t)
	assert.NilError(t, k.turn("a", "0")) // loads
	k.owners["a"].End(program, "0", 0)
	k.down.Store(true)
	fresh := func(id string) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return k.owners["a"].Reserve(ctx, turn.Reservation{
			Program: model.ProgramKey{Workspace: "office", Program: "fresh"}, Turn: model.RequestID(id), Budget: 300, Max: 100,
			Deadline: time.Now().Add(time.Minute),
		})
	}
	assert.NilError(t, fresh("1"))
	assert.NilError(t, fresh("2"), "a copy at another keeper counts as a record")
	k.start("a")
	k.start("b")
	k.down.Store(false)
	k.move("a")
	assert.ErrorIs(t, fresh("3"), model.ErrBudget)
}

// Guards against a program that runs a turn without a record at each of several
// owners that are lost one after the other. The bound holds one such turn.
func TestSecondOwnerRecordsTheFirstTurn(t *testing.T) {
	k := newKeepers(t)
	assert.NilError(t, k.turn("a", "0")) // loads
	k.inherit = time.Minute
	k.start("b")
	k.move("b")
	time.Sleep(200 * time.Millisecond) // until it has loaded
	k.down.Store(true)
	k.unheard.Store(true)
	late := turn.Reservation{
		Program: model.ProgramKey{Workspace: "office", Program: "late"}, Turn: "1", Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, k.owners["b"].Reserve(ctx, late), turns.ErrNotOwner)
	k.unheard.Store(false)
	time.Sleep(1500 * time.Millisecond) // until the next write begins
	assert.NilError(t, k.owners["b"].Reserve(t.Context(), late), "a copy is a record")
}

// Guards against a copy that arrives late and replaces a newer one on the disk,
// which the next process would take for the last record.
func TestOlderCopyDoesNotReplaceANewerOne(t *testing.T) {
	k := newKeepers(t)
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
