// Package turns bounds the tokens of each program across all hosts: the owner
// of a program counts its turns, and the other hosts ask it.
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

// Tenure knows which programs this host owns.
type Tenure interface {
	// ActsFor says whether this host may act for a shard now.
	ActsFor(shard model.Shard) bool
}

// OwnerOptions configures an Owner. All fields but the times are required.
type OwnerOptions struct {
	Host   model.HostID
	Tenure Tenure
	// Store holds one page of records for each host.
	Store store.Store
	Clock clockwork.Clock
	Log   *slog.Logger
	// FlushEvery is the time between two writes of records; 0 means 250 ms,
	// less than a turn takes.
	FlushEvery time.Duration
	// RecordWait is how long a turn waits for its record; 0 means 800 ms.
	RecordWait time.Duration
}

const (
	defaultFlushEvery = 250 * time.Millisecond
	defaultRecordWait = 800 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = time.Second
)

// Owner counts the turns of the programs that this host owns. It is safe for
// concurrent use.
//
// Lock order: mu is the only lock, and no port but Tenure is called with it
// held.
type Owner struct {
	options OwnerOptions
	kick    chan struct{} // a record is wanted

	mu     sync.Mutex
	ledger *turn.Ledger
	loaded [model.ShardCount]bool
	saved  chan struct{} // closed when records were written or loaded
	// version is that of this host's page; read says whether it is known.
	version store.Version
	read    bool
}

// NewOwner returns an Owner. Run writes its records.
func NewOwner(o OwnerOptions) *Owner {
	if o.FlushEvery == 0 {
		o.FlushEvery = defaultFlushEvery
	}
	if o.RecordWait == 0 {
		o.RecordWait = defaultRecordWait
	}
	return &Owner{options: o, ledger: turn.NewLedger(), kick: make(chan struct{}, 1), saved: make(chan struct{})}
}

// pageEntry is the record of one program in a page.
type pageEntry struct {
	Workspace model.WorkspaceID
	Program   model.ProgramID
	Allowed   model.Tokens
	UsedUnix  int64 // seconds
}

// page is the JSON value of one host's key.
type page struct{ Programs []pageEntry }

// Run loads and writes records until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	tick := o.options.Clock.NewTicker(o.options.FlushEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.kick:
		}
		if err := o.work(ctx); err != nil && ctx.Err() == nil {
			o.options.Log.Warn("records of program budgets not written", "error", err)
			o.wakeUp()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
		}
	}
}

func (o *Owner) wakeUp() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

func (o *Owner) work(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, o.options.Clock, storeTimeout)
	defer cancel()
	if o.unloaded() {
		if err := o.load(ctx); err != nil {
			return err
		}
	}
	return o.flush(ctx)
}

// unloaded says whether this host acts for a shard whose records it has not
// read.
func (o *Owner) unloaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for s := range o.loaded {
		if !o.loaded[s] && o.options.Tenure.ActsFor(model.Shard(s)) {
			return true
		}
	}
	return false
}

// load reads the records of all hosts and takes over those of the shards that
// this host has begun to act for.
func (o *Owner) load(ctx context.Context) error {
	o.mu.Lock()
	var gained [model.ShardCount]bool
	for s := range gained {
		gained[s] = !o.loaded[s] && o.options.Tenure.ActsFor(model.Shard(s))
	}
	o.mu.Unlock()
	entries, _, err := o.options.Store.List(ctx, "")
	if err != nil {
		return fmt.Errorf("read records: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, e := range entries {
		var p page
		if err := json.Unmarshal(e.Value, &p); err != nil {
			return fmt.Errorf("records of host %q: %w", e.Key, err)
		}
		own := e.Key == string(o.options.Host)
		if own && !o.read {
			o.version = e.Version
		}
		for _, x := range p.Programs {
			r := turn.Record{
				Program: model.ProgramKey{Workspace: x.Workspace, Program: x.Program}, Allowed: x.Allowed, Used: time.Unix(x.UsedUnix, 0),
			}
			// The first write of this process replaces what an earlier one
			// recorded, so all of that is taken over.
			if gained[program.ShardOf(r.Program)] || own && !o.read {
				o.ledger.Load(r)
				n++
			}
		}
	}
	o.read = true
	for s := range gained {
		o.loaded[s] = o.loaded[s] || gained[s] && o.options.Tenure.ActsFor(model.Shard(s))
	}
	o.signal()
	o.options.Log.Info("records of program budgets loaded", "programs", n, "pages", len(entries))
	return nil
}

// signal wakes the turns that wait. mu is held.
func (o *Owner) signal() {
	close(o.saved)
	o.saved = make(chan struct{})
}

func (o *Owner) flush(ctx context.Context) error {
	o.mu.Lock()
	if !o.read || !o.ledger.Unsaved() {
		o.mu.Unlock()
		return nil
	}
	records := o.ledger.Records(o.options.Clock.Now())
	version := o.version
	o.mu.Unlock()
	p := page{Programs: make([]pageEntry, 0, len(records))}
	for _, r := range records {
		p.Programs = append(p.Programs, pageEntry{r.Program.Workspace, r.Program.Program, r.Allowed, r.Used.Unix()})
	}
	value, err := json.Marshal(p)
	if err != nil {
		return err
	}
	version, err = o.options.Store.Put(ctx, string(o.options.Host), value, version)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.ledger.NotSaved()
		o.reread(err)
		return fmt.Errorf("write %d records: %w", len(records), err)
	}
	o.version = version
	o.ledger.Saved(records)
	o.signal()
	return nil
}

// reread reads the page again after a write that may have taken effect. mu is
// held.
func (o *Owner) reread(err error) {
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) {
		o.read = false
		o.loaded = [model.ShardCount]bool{}
	}
}

// TenureChanged gives up the programs of shards that moved away. owns says
// whether this host owns a shard in the new epoch, and same whether it is still
// the same member.
func (o *Owner) TenureChanged(owns func(model.Shard) bool, same bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for s := range o.loaded {
		o.loaded[s] = o.loaded[s] && same && owns(model.Shard(s))
	}
	for _, key := range o.ledger.Programs() {
		if !same || !owns(program.ShardOf(key)) {
			o.ledger.Release(key)
		}
	}
	if !same {
		o.read = false
	}
	o.wakeUp()
}

// ErrNotOwner reports a program that this host does not own now.
var ErrNotOwner = errors.New("host does not own the program")

// Reserve decides on a turn. It waits for the turn's record, and fails with
// ErrNotOwner or model.ErrBudget.
func (o *Owner) Reserve(ctx context.Context, r turn.Reservation) error {
	deadline := o.options.Clock.NewTimer(o.options.RecordWait)
	defer deadline.Stop()
	shard := program.ShardOf(r.Program)
	for {
		decision, saved := o.reserve(shard, r)
		switch decision.(type) {
		case turn.Granted:
			return nil
		case turn.Exhausted:
			return model.ErrBudget
		}
		if saved == nil {
			return ErrNotOwner
		}
		o.wakeUp()
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotOwner, ctx.Err())
		case <-deadline.Chan():
			return fmt.Errorf("%w: no record of the budget in time", ErrNotOwner)
		case <-saved:
		}
	}
}

// reserve returns a channel to wait on if there is no decision yet, or neither
// if this host does not own the shard.
func (o *Owner) reserve(shard model.Shard, r turn.Reservation) (turn.Decision, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.options.Tenure.ActsFor(shard) {
		return nil, nil
	}
	if !o.loaded[shard] {
		return nil, o.saved
	}
	d := o.ledger.Reserve(o.options.Clock.Now(), r)
	if _, ok := d.(turn.Unrecorded); ok {
		return nil, o.saved
	}
	if o.ledger.Unsaved() {
		o.wakeUp()
	}
	return d, nil
}

// End settles a turn.
func (o *Owner) End(key model.ProgramKey, id model.RequestID, used model.Tokens) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.End(o.options.Clock.Now(), key, id, used)
}

// HandleReserveTurn serves the RPC ReserveTurn.
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
	o.options.Log.Info("turn not decided", "request", m.GetRequest(), "program", m.GetProgram(), "error", err)
	return &peerpb.ReserveTurnResponse{Outcome: peerpb.ReserveTurnResponse_UNAVAILABLE}, nil
}

// HandleEndTurn serves the RPC EndTurn.
func (o *Owner) HandleEndTurn(_ context.Context, m *peerpb.EndTurnRequest) (*peerpb.EndTurnResponse, error) {
	o.End(model.ProgramKey{Workspace: model.WorkspaceID(m.GetWorkspace()), Program: model.ProgramID(m.GetProgram())},
		model.RequestID(m.GetRequest()), model.Tokens(m.GetUsed()))
	return &peerpb.EndTurnResponse{}, nil
}

// Dump is the state of an Owner for operators.
type Dump struct {
	Programs int
	Shards   int  // whose records are loaded
	Unsaved  bool // some record is not written yet
}

// Dump returns a Dump.
func (o *Owner) Dump() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := Dump{Programs: len(o.ledger.Programs()), Unsaved: o.ledger.Unsaved()}
	for _, loaded := range o.loaded {
		if loaded {
			d.Shards++
		}
	}
	return d
}
