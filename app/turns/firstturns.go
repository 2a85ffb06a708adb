package turns

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/core/turn"
	"mimosarelay/io/peer/peerpb"
)

// firstTurns holds what this host notes on its disk about turns that run before their
// record is written. After a loss of the process, the notes are read like the pages of
// records. A note on the disk costs no store call and no message.
// The fields are guarded by Owner.mu.
type firstTurns struct {
	id       turn.NotesID                     // of the notes on this disk
	current  map[model.ProgramKey]turn.Record // of this process
	restored map[model.ProgramKey]turn.Record // of earlier processes of this host
	added    uint64                           // number of turns added to current so far
	written  uint64                           // value of added that the disk covers
	failed   uint64                           // value of added at the last write that failed
	writing  bool                             // writeFirstTurns runs
	createAt time.Time                        // when notes may be created again after a failure
	updated  chan struct{}                    // closed and replaced when a write has ended
}

// firstTurnsSuffix follows the name of a host in the name of the page that holds its
// notes.
const firstTurnsSuffix = "/first"

func (o *Owner) firstTurnsName() model.HostID { return o.options.Host + firstTurnsSuffix }

// restoreFirstTurns takes over the notes of the previous process, so that the first
// write of this one does not lose them.
func (o *Owner) restoreFirstTurns() {
	f := &o.firstTurns
	f.current, f.restored, f.updated = map[model.ProgramKey]turn.Record{}, map[model.ProgramKey]turn.Record{}, make(chan struct{})
	f.id = turn.NotesID(uuid.NewString())
	o.rule = turn.NewFirstTurnRule("")
	m, ok := o.copies[o.firstTurnsName()]
	if !ok {
		return
	}
	var p page
	if err := json.Unmarshal(m.GetValue(), &p); err != nil {
		o.options.Log.Error("failed to read the notes of first turns", "error", err)
		return
	}
	for _, e := range p.Programs {
		r := e.record()
		f.restored[r.Program] = r
	}
	o.sequence = max(o.sequence, m.GetSequence())
	if p.Notes != "" {
		f.id = p.Notes
		o.rule.NotesWritten(f.id)
	}
}

// createInterval is the time between two attempts to create the notes on a disk that
// cannot be written.
const createInterval = 5 * time.Second

// createNotes writes notes without a turn to a disk that has none, in the background.
// The host announces them once they are on the disk.
func (o *Owner) createNotes() {
	f := &o.firstTurns
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Clock.Now()
	if o.options.Disk == nil || o.rule.HasNotes() || f.writing || now.Before(f.createAt) {
		return
	}
	f.createAt = now.Add(createInterval)
	f.added++
	f.writing = true
	go o.writeFirstTurns()
}

// noteFirstTurn returns once the disk, or a record that was written meanwhile, covers a
// granted turn. If that does not happen until ctx ends or deadline, the turn is
// returned and must not run.
func (o *Owner) noteFirstTurn(ctx context.Context, r turn.Reservation, deadline <-chan time.Time) error {
	f := &o.firstTurns
	o.mu.Lock()
	defer o.mu.Unlock()
	var n uint64
	var err error
	for {
		uncovered, ok := o.ledger.Uncovered(r.Program)
		switch {
		case !o.ledger.IsOpen(r.Program, r.Turn):
			return ErrNotOwner // another attempt for the same turn has returned it
		case !ok || n > 0 && f.written >= n:
			if n > 0 && !o.options.ShardOwnership.ActsFor(program.ShardOf(r.Program)) {
				// The next owner may have loaded its records before this turn was noted.
				err = errOwnerChanged
				break
			}
			return nil
		case n > 0 && f.failed >= n:
			err = errNotNoted
		case n == 0:
			f.current[r.Program] = uncovered
			f.added++
			n = f.added
		}
		if err != nil {
			o.ledger.End(o.options.Clock.Now(), r.Program, r.Turn, 0)
			return fmt.Errorf("%w: %w", ErrNotOwner, err)
		}
		if !f.writing {
			f.writing = true
			go o.writeFirstTurns()
		}
		noted, recorded := f.updated, o.recordsUpdated
		o.mu.Unlock()
		select {
		case <-noted:
		case <-recorded:
		case <-ctx.Done():
			err = ctx.Err()
		case <-deadline:
			err = errNotNoted
		}
		o.mu.Lock()
	}
}

var (
	errNotNoted     = errors.New("the first turn of the program could not be noted on the disk")
	errOwnerChanged = errors.New("another host owns the program now")
)

// writeFirstTurns writes the notes until the disk covers all turns that were added, or
// a write fails. Turns that are added during a write share the next one.
func (o *Owner) writeFirstTurns() {
	f := &o.firstTurns
	o.mu.Lock()
	defer o.mu.Unlock()
	defer func() { f.writing = false }()
	for f.written < f.added {
		added := f.added
		m := o.firstTurnsPage()
		o.mu.Unlock()
		err := o.saveToDisk(m)
		o.mu.Lock()
		close(f.updated)
		f.updated = make(chan struct{})
		if err != nil {
			f.failed = added
			o.options.Log.Error("failed to write the notes of first turns to the disk", "error", err)
			return
		}
		f.written = added
		o.copies[o.firstTurnsName()] = m // for the next owner
		o.rule.NotesWritten(f.id)
	}
	if o.rule.AnnouncementDue() {
		notify(o.flushRequested)
	}
}

// firstTurnsPage returns the notes as a page. The caller holds mu.
func (o *Owner) firstTurnsPage() *peerpb.BudgetPage {
	o.pruneFirstTurns()
	p := page{Sequence: o.nextSequence(), Notes: o.firstTurns.id}
	for _, notes := range []map[model.ProgramKey]turn.Record{o.firstTurns.restored, o.firstTurns.current} {
		for _, r := range notes {
			p.Programs = append(p.Programs, newPageEntry(r))
		}
	}
	value, err := json.Marshal(p)
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return &peerpb.BudgetPage{Host: string(o.firstTurnsName()), Sequence: p.Sequence, Value: value}
}

// pruneFirstTurns removes the notes that a record covers, and those of earlier
// processes about programs that no owner would know any more. The caller holds mu.
func (o *Owner) pruneFirstTurns() {
	f := &o.firstTurns
	for key := range f.current {
		if _, ok := o.ledger.Uncovered(key); !ok {
			delete(f.current, key)
		}
	}
	oldest := o.options.Clock.Now().Add(-turn.IdleRetention - time.Second) // the times are whole seconds
	for key, r := range f.restored {
		if r.Used.Before(oldest) {
			delete(f.restored, key)
		}
	}
}
