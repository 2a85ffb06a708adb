package turns_test

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
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

// ownerPair is two owners, of which one at a time acts for all shards.
type ownerPair struct {
	t         *testing.T
	store     *memstore.Store
	acting    atomic.Value // model.HostID
	owners    map[model.HostID]*turns.Owner
	storeDown atomic.Bool // writes to the store do not return
	peersDown atomic.Bool // the owners cannot reach each other
	disks     map[model.HostID]*fakeDisk
	kills     int // calls of killAll
	stop      map[model.HostID]context.CancelFunc
}

// fakeDisk is an in-memory turns.Disk that survives restarts of its host's owner.
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

// fakeOwnership implements turns.ShardOwnership for one host of an ownerPair.
type fakeOwnership struct {
	p    *ownerPair
	host model.HostID
}

func (o fakeOwnership) ActsFor(model.Shard) bool { return o.p.acting.Load() == o.host }

// faultyStore is a store whose writes block while storeDown is set.
type faultyStore struct {
	store.Store
	p *ownerPair
}

func (s faultyStore) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	if s.p.storeDown.Load() {
		<-ctx.Done()
		return 0, store.ErrUnknown
	}
	return s.Store.Put(ctx, key, value, prev)
}

var errUnreachable = errors.New("peer unreachable")

// KeepBudgets implements turns.CopyClient. The address is the name of the host.
func (p *ownerPair) KeepBudgets(ctx context.Context, address string, m *peerpb.BudgetPage) (*peerpb.KeepBudgetsResponse, error) {
	if p.peersDown.Load() {
		return nil, errUnreachable
	}
	return p.owners[model.HostID(address)].HandleKeepBudgets(ctx, m)
}

// FetchBudgets implements turns.CopyClient. The address is the name of the host.
func (p *ownerPair) FetchBudgets(ctx context.Context, address string, r *peerpb.FetchBudgetsRequest) (*peerpb.FetchBudgetsResponse, error) {
	if p.peersDown.Load() {
		return nil, errUnreachable
	}
	return p.owners[model.HostID(address)].HandleFetchBudgets(ctx, r)
}

func newOwnerPair(t *testing.T) *ownerPair {
	t.Helper()
	p := &ownerPair{
		t: t, store: memstore.New(clockwork.NewRealClock()), owners: map[model.HostID]*turns.Owner{},
		disks: map[model.HostID]*fakeDisk{}, stop: map[model.HostID]context.CancelFunc{},
	}
	for _, host := range []model.HostID{"a", "b"} {
		p.disks[host] = &fakeDisk{pages: map[model.HostID][]byte{}}
		p.start(host)
	}
	p.moveShards("a")
	p.awaitPage("a")
	return p
}

// awaitPage waits until a host has announced its notes of first turns, so that it runs
// them without a record.
func (p *ownerPair) awaitPage(host model.HostID) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		entry, err := p.store.NewClient("test").Get(p.t.Context(), string(host))
		if err == nil && !strings.Contains(string(entry.Value), string(turn.NoNotes)) {
			return
		}
		assert.Assert(p.t, time.Now().Before(end), "the host announces no notes")
	}
}

// start replaces the process of a host with a new one, which knows only what is on
// the disk.
func (p *ownerPair) start(host model.HostID) {
	if stop := p.stop[host]; stop != nil {
		stop()
	}
	ctx, stop := context.WithCancel(context.Background())
	p.t.Cleanup(stop)
	p.stop[host] = stop
	peer := map[model.HostID]model.HostID{"a": "b", "b": "a"}[host]
	var disk turns.Disk // nil without one
	if d := p.disks[host]; d != nil {
		disk = d
	}
	o := turns.NewOwner(turns.OwnerOptions{
		Host: host, ShardOwnership: fakeOwnership{p, host}, Store: faultyStore{p.store.NewClient(string(host)), p}, Clock: clockwork.NewRealClock(),
		Log: slog.New(slog.DiscardHandler), Keepers: func() []turns.Keeper { return []turns.Keeper{{Host: peer, Address: string(peer)}} }, CopyClient: p,
		Disk: disk, FlushInterval: 10 * time.Millisecond,
	})
	p.owners[host] = o
	go func() { _ = o.Run(ctx) }()
}

// moveShards makes a host the owner of all shards.
func (p *ownerPair) moveShards(host model.HostID) {
	p.acting.Store(host)
	for h, o := range p.owners {
		o.OwnershipChanged(func(model.Shard) bool { return h == host }, true)
	}
}

var programKey = model.ProgramKey{Workspace: "office", Program: "loop"}

// reserve reserves a turn of up to 100 tokens at a host, from a budget of 300.
func (p *ownerPair) reserve(host model.HostID, id string) error {
	ctx, cancel := context.WithTimeout(p.t.Context(), 700*time.Millisecond)
	defer cancel()
	err := p.owners[host].Reserve(ctx, turn.Reservation{
		Program: programKey, Turn: model.RequestID(id), Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute),
	})
	return err
}

// Guards against a program whose spent tokens are forgotten at its next owner, and
// against an owner that grants turns before it has loaded the records of the previous
// owner.
func TestNextOwnerContinuesFromRecords(t *testing.T) {
	p := newOwnerPair(t)
	assert.NilError(t, p.reserve("a", "1"))
	assert.NilError(t, p.reserve("a", "2"))
	p.owners["a"].End(programKey, "1", 100)
	p.owners["a"].End(programKey, "2", 100)
	assert.ErrorIs(t, p.reserve("b", "3"), turns.ErrNotOwner)
	p.moveShards("b")
	assert.ErrorIs(t, p.reserve("b", "3"), model.ErrBudget)
	assert.ErrorIs(t, p.reserve("a", "3"), turns.ErrNotOwner)
}

// Guards against programs that cannot continue during an outage of the store, and
// against a program that gets more than one turn without a record then.
func TestTurnsNeedCopiedRecordsDuringStoreOutage(t *testing.T) {
	p := newOwnerPair(t)
	assert.NilError(t, p.reserve("a", "0")) // loads the records
	p.owners["a"].End(programKey, "0", 0)
	p.storeDown.Store(true)
	p.peersDown.Store(true)
	fresh := model.ProgramKey{Workspace: "office", Program: "fresh"}
	reserve := func(id string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		return p.owners["a"].Reserve(ctx, turn.Reservation{Program: fresh, Turn: model.RequestID(id), Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute)})
	}
	assert.NilError(t, reserve("1"), "the guarantee allows one turn without a record")
	assert.ErrorIs(t, reserve("2"), turns.ErrNotOwner)
	p.peersDown.Store(false)
	time.Sleep(1500 * time.Millisecond) // until the next write begins
	assert.NilError(t, reserve("2"))
	p.storeDown.Store(false)
	p.moveShards("b")
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := p.owners["b"].Reserve(ctx, turn.Reservation{Program: fresh, Turn: "3", Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute)})
	assert.ErrorIs(t, err, model.ErrBudget)
}

// Guards against spent tokens that are forgotten when all keepers restart during an
// outage of the store, when only copies record them.
func TestRecordsSurviveRestartOfAllKeepersDuringOutage(t *testing.T) {
	p := newOwnerPair(t)
	assert.NilError(t, p.reserve("a", "0")) // loads the records
	p.owners["a"].End(programKey, "0", 0)
	p.storeDown.Store(true)
	reserve := func(id string) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return p.owners["a"].Reserve(ctx, turn.Reservation{
			Program: model.ProgramKey{Workspace: "office", Program: "fresh"}, Turn: model.RequestID(id), Budget: 300, Max: 100,
			Deadline: time.Now().Add(time.Minute),
		})
	}
	assert.NilError(t, reserve("1"))
	assert.NilError(t, reserve("2"), "a copy at another keeper counts as a record")
	p.start("a")
	p.start("b")
	p.storeDown.Store(false)
	p.moveShards("a")
	assert.ErrorIs(t, reserve("3"), model.ErrBudget)
}

// Guards against an owner that takes a program for a new one although the disk of the
// previous owner is lost, on which a turn of the program may have been noted.
func TestNewOwnerRecordsFirstTurnBeforeGranting(t *testing.T) {
	p := newOwnerPair(t)
	assert.NilError(t, p.reserve("a", "0")) // loads the records
	p.loseDisk("a")
	p.moveShards("b")
	time.Sleep(200 * time.Millisecond) // until the records are loaded
	p.storeDown.Store(true)
	p.peersDown.Store(true)
	reservation := turn.Reservation{
		Program: model.ProgramKey{Workspace: "office", Program: "late"}, Turn: "1", Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, p.owners["b"].Reserve(ctx, reservation), turns.ErrNotOwner)
	p.peersDown.Store(false)
	time.Sleep(1500 * time.Millisecond) // until the next write begins
	assert.NilError(t, p.owners["b"].Reserve(t.Context(), reservation), "a copy is a record")
}

// Guards against a late copy that replaces a newer one on the disk, so that the next
// process restores outdated records.
func TestOlderCopyDoesNotReplaceNewer(t *testing.T) {
	p := newOwnerPair(t)
	for _, sequence := range []int64{2, 1} {
		_, err := p.owners["b"].HandleKeepBudgets(t.Context(), &peerpb.BudgetPage{Host: "a", Sequence: sequence})
		assert.NilError(t, err)
	}
	p.start("b")
	res, err := p.owners["b"].HandleFetchBudgets(t.Context(), &peerpb.FetchBudgetsRequest{})
	assert.NilError(t, err)
	pages := slices.DeleteFunc(res.GetPages(), func(m *peerpb.BudgetPage) bool { return m.GetHost() == "b/first" }) // its own notes
	assert.Equal(t, len(pages), 1)
	assert.Equal(t, pages[0].GetSequence(), int64(2))
}
