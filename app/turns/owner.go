// Package turns limits the tokens that each program generates across all hosts. The
// owner of a program counts its turns, and the other hosts reserve turns with the
// owner.
package turns

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/core/store"
	"mimosarelay/core/turn"
	"mimosarelay/io/peer/peerpb"
)

// ShardOwnership reports which shards of programs this host owns.
type ShardOwnership interface {
	// ActsFor reports whether this host may act for a shard now.
	ActsFor(shard model.Shard) bool
}

// CopyClient stores copies of pages of records at other hosts while the store does
// not respond, and fetches such copies.
type CopyClient interface {
	KeepBudgets(ctx context.Context, address string, page *peerpb.BudgetPage) (*peerpb.KeepBudgetsResponse, error)
	FetchBudgets(ctx context.Context, address string, r *peerpb.FetchBudgetsRequest) (*peerpb.FetchBudgetsResponse, error)
}

// Disk keeps pages across restarts of the process. It is implemented over io/disk.
type Disk interface {
	// Save writes the page of a host and returns once it is on the disk.
	Save(host model.HostID, page []byte) error
	// Load calls visit for each saved page.
	Load(visit func(page []byte) error) error
}

// OwnerOptions configures an Owner. All fields but Disk and the durations are
// required.
type OwnerOptions struct {
	Host           model.HostID
	ShardOwnership ShardOwnership
	// Store holds one page of records for each host, under the name of the host.
	Store store.Store
	// Keepers returns the other hosts that may own programs. CopyClient sends
	// requests to their peer addresses.
	Keepers    func() []Keeper
	CopyClient CopyClient
	// Disk keeps the copies that this host holds, and its notes of first turns; nil
	// on machines without a disk, where first turns wait for a record.
	Disk  Disk
	Clock clockwork.Clock
	Log   *slog.Logger
	// FlushInterval is the time between two writes of records that no turn waits
	// for; 0 means 500 ms, in which few programs use up the tokens that their
	// records allow.
	FlushInterval time.Duration
	// UrgentFlushInterval is the time between two writes that turns wait for; 0
	// means 50 ms.
	UrgentFlushInterval time.Duration
	// RecordTimeout is how long a reservation waits for its record; 0 means
	// 800 ms.
	RecordTimeout time.Duration
}

// Keeper is a host that may own programs.
type Keeper struct {
	Host    model.HostID
	Address string // peer address
}

const (
	defaultFlushInterval       = 500 * time.Millisecond
	defaultUrgentFlushInterval = 50 * time.Millisecond
	defaultRecordTimeout       = 800 * time.Millisecond
	// storeTimeout bounds the requests of one load and flush, to the store and to
	// the peers that hold copies.
	storeTimeout = time.Second
)

// Owner counts the turns of the programs that this host owns. It is safe for
// concurrent use.
//
// Lock order: copyMu, mu. Of the interfaces in OwnerOptions except Clock and Log,
// only ShardOwnership is called with mu held and only Disk with copyMu held.
type Owner struct {
	options              OwnerOptions
	flushRequested       chan struct{} // a record is to be written
	urgentFlushRequested chan struct{} // a reservation waits for a record

	// copyMu serializes the writes of pages received from other hosts, so that an
	// older page that arrives late does not replace a newer one on the disk.
	copyMu sync.Mutex

	mu             sync.Mutex
	ledger         *turn.Ledger
	loaded         [model.ShardCount]bool
	recordsUpdated chan struct{} // closed and replaced when records were written or loaded
	// version is the store version of this host's page, valid if versionKnown is
	// set. ownPageLoaded is set once this process has loaded the records of the
	// previous process of this host.
	version       store.Version
	versionKnown  bool
	ownPageLoaded bool
	// copies holds the newest pages received from other hosts and those restored
	// from the disk, by host. ownCopy is the newest page of this host that a peer
	// has copied.
	copies     map[model.HostID]*peerpb.BudgetPage
	ownCopy    *peerpb.BudgetPage
	firstTurns firstTurns
	rule       *turn.FirstTurnRule
	absences   turn.Absences
	// recheckRequested is set when the notes that were missing should be looked for
	// again. Pages of absent hosts are checked again at nextRecheck.
	recheckRequested bool
	nextRecheck      time.Time
	retired          bool // this host grants no more turns
	// sequence is the sequence number of the newest page of this host. It never
	// decreases, also across restarts.
	sequence int64
}

// NewOwner returns an Owner with the copies that are on the disk. Run loads and
// writes its records.
func NewOwner(options OwnerOptions) *Owner {
	if options.FlushInterval == 0 {
		options.FlushInterval = defaultFlushInterval
	}
	if options.UrgentFlushInterval == 0 {
		options.UrgentFlushInterval = defaultUrgentFlushInterval
	}
	if options.RecordTimeout == 0 {
		options.RecordTimeout = defaultRecordTimeout
	}
	owner := &Owner{options: options, ledger: turn.NewLedger(), flushRequested: make(chan struct{}, 1), urgentFlushRequested: make(chan struct{}, 1), recordsUpdated: make(chan struct{}), copies: map[model.HostID]*peerpb.BudgetPage{}}
	owner.restoreCopies()
	owner.restoreFirstTurns()
	return owner
}

// pageEntry is the record of one program in a page.
type pageEntry struct {
	Workspace model.WorkspaceID
	Program   model.ProgramID
	Allowed   model.Tokens
	UsedUnix  int64 // seconds
}

func newPageEntry(r turn.Record) pageEntry {
	return pageEntry{r.Program.Workspace, r.Program.Program, r.Allowed, r.Used.Unix()}
}

func (e pageEntry) record() turn.Record {
	return turn.Record{Program: model.ProgramKey{Workspace: e.Workspace, Program: e.Program}, Allowed: e.Allowed, Used: time.Unix(e.UsedUnix, 0)}
}

// page holds the records of one host. It is the JSON value of the host's key.
type page struct {
	// Sequence increases with each page of the host, also across restarts.
	Sequence int64
	// Notes and LostNotes are the turn.Announcement of the host. On the page of the
	// notes themselves, Notes is their id.
	Notes     turn.NotesID   `json:",omitempty"`
	LostNotes []turn.NotesID `json:",omitempty"`
	Programs  []pageEntry
}

func (p page) announcement() turn.Announcement {
	return turn.Announcement{Notes: p.Notes, Lost: p.LostNotes}
}

// Run loads and writes records until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	o.createNotes()
	for o.awaitFlush(ctx) {
		if err := o.loadAndFlush(ctx); err != nil && ctx.Err() == nil {
			o.options.Log.Warn("failed to load or write the budget records", "error", err)
			notify(o.flushRequested)
		}
	}
	return nil
}

// awaitFlush waits until records are to be loaded or written, and reports false if
// ctx ended first.
func (o *Owner) awaitFlush(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-o.options.Clock.After(o.options.UrgentFlushInterval):
	}
	select {
	case <-ctx.Done():
		return false
	case <-o.urgentFlushRequested:
		return true
	case <-o.recheckTimer():
		return true
	case <-o.flushRequested:
	}
	select {
	case <-ctx.Done():
		return false
	case <-o.urgentFlushRequested:
	case <-o.options.Clock.After(o.options.FlushInterval - o.options.UrgentFlushInterval):
	}
	return true
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (o *Owner) loadAndFlush(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, o.options.Clock, storeTimeout)
	defer cancel()
	o.createNotes()
	if o.hasUnloadedShards() {
		if err := o.loadRecords(ctx); err != nil {
			return err
		}
	} else if o.recheckDue() {
		if err := o.loadRecords(ctx); err != nil {
			// Records can be written all the same.
			o.options.Log.Warn("failed to look for notes of first turns again", "error", err)
			notify(o.flushRequested)
		}
	}
	return o.flush(ctx)
}

func (o *Owner) setPageVersion(v store.Version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version, o.versionKnown = v, true
}

func (o *Owner) raiseSequence(n int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence = max(o.sequence, n)
}

// nextSequence returns the time as the next sequence number, or the previous number
// plus 1 if the clock was set back. The caller holds mu.
func (o *Owner) nextSequence() int64 {
	o.sequence = max(o.sequence+1, o.options.Clock.Now().UnixNano())
	return o.sequence
}

// ensurePageVersion reads the version of this host's page if it is unknown, for
// example after a write that may have taken effect.
func (o *Owner) ensurePageVersion(ctx context.Context) error {
	o.mu.Lock()
	known := o.versionKnown
	o.mu.Unlock()
	if known {
		return nil
	}
	e, err := o.options.Store.Get(ctx, string(o.options.Host))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("read the version of this host's budget records: %w", err)
	}
	o.setPageVersion(e.Version)
	return nil
}

// notifyWaiters wakes the reservations that wait for records. The caller holds mu.
func (o *Owner) notifyWaiters() {
	close(o.recordsUpdated)
	o.recordsUpdated = make(chan struct{})
}

// flush writes the records of this host to the store, and copies them to a peer if
// the store does not respond in time. Neither is done before the page of the previous
// process has been loaded, or if no program needs a larger allowance than its record
// has and there is nothing to announce.
func (o *Owner) flush(ctx context.Context) error {
	o.mu.Lock()
	if !o.ownPageLoaded || !o.ledger.Unsaved() && !o.rule.AnnouncementDue() {
		o.mu.Unlock()
		return nil
	}
	now := o.options.Clock.Now()
	records, announcement := o.ledger.PrepareRecords(now), o.rule.Announcement(now)
	p := page{
		Sequence: o.nextSequence(), Notes: announcement.Notes, LostNotes: announcement.Lost,
		Programs: make([]pageEntry, 0, len(records)),
	}
	o.mu.Unlock()
	for _, r := range records {
		p.Programs = append(p.Programs, newPageEntry(r))
	}
	value, err := json.Marshal(p)
	if err != nil {
		return err
	}
	var version store.Version
	copyDone := make(chan struct{})
	copyCtx, stopCopy := context.WithCancel(ctx)
	go func() {
		defer close(copyDone)
		o.copyIfStoreSlow(copyCtx, p.Sequence, value, records)
	}()
	// The copy is started before the version is read, so that a store that does not
	// respond to the read does not delay the copy.
	if err = o.ensurePageVersion(ctx); err == nil {
		version, err = o.options.Store.Put(ctx, string(o.options.Host), value, o.pageVersion())
	}
	if err == nil {
		stopCopy()
	}
	<-copyDone
	stopCopy()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.ledger.MarkUnsaved()
		o.versionKnown = o.versionKnown && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown)
		if errors.Is(err, store.ErrConflict) {
			o.rule.Withdraw() // another host may have deleted the page
		}
		return fmt.Errorf("write budget records of %d programs to the store: %w", len(records), err)
	}
	o.version = version
	o.ledger.MarkSaved(records)
	o.rule.Announced(announcement)
	o.notifyWaiters()
	return nil
}

func (o *Owner) pageVersion() store.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// OwnershipChanged releases the programs of shards that this host no longer owns.
// owns reports whether this host owns a shard in the new epoch, and sameMember
// whether it is a member of the new epoch with the same incarnation as before.
func (o *Owner) OwnershipChanged(owns func(model.Shard) bool, sameMember bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for s := range o.loaded {
		o.loaded[s] = o.loaded[s] && sameMember && owns(model.Shard(s))
	}
	for _, key := range o.ledger.Programs() {
		if !sameMember || !owns(program.ShardOf(key)) {
			o.ledger.Release(key)
		}
	}
	if !sameMember {
		o.ownPageLoaded = false
		o.rule.Withdraw()
	}
	o.recheckRequested = true      // a host that returns has its notes
	notify(o.urgentFlushRequested) // load the records of newly owned shards
}

// retireTimeout bounds the last write of a host that leaves. If it fails, the next
// owners treat the notes of this host as lost.
const retireTimeout = 300 * time.Millisecond

// Retire makes this host grant no more turns and returns when the store says that its
// notes of first turns are not needed, or after retireTimeout.
func (o *Owner) Retire(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, o.options.Clock, retireTimeout)
	defer cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retired = true
	o.rule.Retire()
	for o.ownPageLoaded && o.rule.AnnouncementDue() {
		written := o.recordsUpdated
		notify(o.urgentFlushRequested)
		o.mu.Unlock()
		select {
		case <-written:
		case <-ctx.Done():
		}
		o.mu.Lock()
		if ctx.Err() != nil {
			o.options.Log.Warn("failed to write the budget records before leaving", "error", ctx.Err())
			return
		}
	}
}

// ErrNotOwner reports that this host does not own a program or cannot decide on its
// turns now.
var ErrNotOwner = errors.New("host does not own the program")

// Reserve grants or refuses a turn. If the turn needs a record that is not written
// yet, it waits for that up to RecordTimeout. It fails with ErrNotOwner or
// model.ErrBudget.
func (o *Owner) Reserve(ctx context.Context, r turn.Reservation) error {
	deadline := o.options.Clock.NewTimer(o.options.RecordTimeout)
	defer deadline.Stop()
	shard := program.ShardOf(r.Program)
	for {
		decision, updated := o.reserve(shard, r)
		switch decision.(type) {
		case turn.Granted:
			return o.noteFirstTurn(ctx, r, deadline.Chan())
		case turn.Exhausted:
			return model.ErrBudget
		}
		if updated == nil {
			return ErrNotOwner
		}
		notify(o.urgentFlushRequested)
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotOwner, ctx.Err())
		case <-deadline.Chan():
			return fmt.Errorf("%w: no record of the budget was written in time", ErrNotOwner)
		case <-updated:
		}
	}
}

// reserve returns the decision on a turn. If there is none before records are loaded
// or written, it returns a channel that is closed then. It returns neither if this
// host may not act for the shard.
func (o *Owner) reserve(shard model.Shard, r turn.Reservation) (turn.Decision, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.retired || !o.options.ShardOwnership.ActsFor(shard) {
		return nil, nil
	}
	if !o.loaded[shard] {
		return nil, o.recordsUpdated
	}
	now := o.options.Clock.Now()
	r.Inherited = !o.rule.Allows(now, shard)
	d := o.ledger.Reserve(now, r)
	if _, ok := d.(turn.Unrecorded); ok {
		return nil, o.recordsUpdated
	}
	if o.ledger.Unsaved() {
		notify(o.flushRequested)
	}
	return d, nil
}

// End settles a turn with the tokens that it generated.
func (o *Owner) End(key model.ProgramKey, id model.RequestID, used model.Tokens) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.End(o.options.Clock.Now(), key, id, used)
}

// HandleReserveTurn serves the RPC ReserveTurn: it reserves a turn of a program that
// this host owns.
func (o *Owner) HandleReserveTurn(ctx context.Context, m *peerpb.ReserveTurnRequest) (*peerpb.ReserveTurnResponse, error) {
	err := o.Reserve(ctx, turn.Reservation{
		Program: model.ProgramKey{Workspace: model.WorkspaceID(m.GetWorkspace()), Program: model.ProgramID(m.GetProgram())},
		Turn:    model.RequestID(m.GetRequest()), Budget: model.Tokens(m.GetBudget()), Max: model.Tokens(m.GetMaxTokens()),
		Deadline: o.options.Clock.Now().Add(time.Duration(m.GetLeftMs()) * time.Millisecond),
	})
	switch {
	case err == nil:
		return &peerpb.ReserveTurnResponse{Outcome: peerpb.ReserveTurnResponse_GRANTED}, nil
	case errors.Is(err, model.ErrBudget):
		return &peerpb.ReserveTurnResponse{Outcome: peerpb.ReserveTurnResponse_EXHAUSTED}, nil
	}
	o.options.Log.Info("failed to decide on a turn reservation", "request", m.GetRequest(), "program", m.GetProgram(), "error", err)
	return &peerpb.ReserveTurnResponse{Outcome: peerpb.ReserveTurnResponse_UNAVAILABLE}, nil
}

// HandleEndTurn serves the RPC EndTurn: it settles a turn.
func (o *Owner) HandleEndTurn(_ context.Context, m *peerpb.EndTurnRequest) (*peerpb.EndTurnResponse, error) {
	o.End(model.ProgramKey{Workspace: model.WorkspaceID(m.GetWorkspace()), Program: model.ProgramID(m.GetProgram())},
		model.RequestID(m.GetRequest()), model.Tokens(m.GetUsed()))
	return &peerpb.EndTurnResponse{}, nil
}

// Dump is the state of an Owner in state dumps for operators.
type Dump struct {
	Programs int
	Shards   int  // whose records are loaded
	Unsaved  bool // a program needs a larger allowance than its record
	// UncertainShards counts the shards whose first turns wait for a record, because
	// notes of first turns are missing.
	UncertainShards int
}

// Dump returns the state of the owner.
func (o *Owner) Dump() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := Dump{Programs: len(o.ledger.Programs()), Unsaved: o.ledger.Unsaved()}
	now := o.options.Clock.Now()
	for s, loaded := range o.loaded {
		if loaded {
			d.Shards++
		}
		if loaded && o.rule.Uncertain(now, model.Shard(s)) {
			d.UncertainShards++
		}
	}
	return d
}
