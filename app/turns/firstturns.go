package turns

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/turn"
	"mimosarelay/io/peer/peerpb"
)

// firstTurns holds what this host notes on its disk about turns that run before their
// record is written. After a loss of the process, the notes are read like the pages of
// records. A note on the disk costs no store call and no message.
type firstTurns struct {
	writing sync.Mutex // held while the notes are written

	// The fields below are guarded by Owner.mu.
	current  map[model.ProgramKey]turn.Record // of this process
	restored map[model.ProgramKey]turn.Record // of earlier processes of this host
	added    uint64                           // number of turns added to current so far
	written  uint64                           // value of added that the disk covers
}

// firstTurnsSuffix follows the name of a host in the name of the page that holds its
// notes.
const firstTurnsSuffix = "/first"

func (o *Owner) firstTurnsName() model.HostID { return o.options.Host + firstTurnsSuffix }

// restoreFirstTurns takes over the notes of the previous process, so that the first
// write of this one does not lose them.
func (o *Owner) restoreFirstTurns() {
	f := &o.firstTurns
	f.current, f.restored = map[model.ProgramKey]turn.Record{}, map[model.ProgramKey]turn.Record{}
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
}

// noteFirstTurn returns once the disk holds a granted turn that no record covers. If
// that fails, the turn is returned and must not run.
func (o *Owner) noteFirstTurn(r turn.Reservation) error {
	f := &o.firstTurns
	o.mu.Lock()
	uncovered, ok := o.ledger.Uncovered(r.Program)
	if !ok {
		o.mu.Unlock()
		return nil
	}
	f.current[r.Program] = uncovered
	f.added++
	n := f.added
	o.mu.Unlock()
	if err := o.writeFirstTurns(n); err != nil {
		o.End(r.Program, r.Turn, 0)
		o.options.Log.Error("failed to write the notes of first turns to the disk", "error", err)
		return fmt.Errorf("%w: the first turn of the program could not be noted: %w", ErrNotOwner, err)
	}
	return nil
}

// writeFirstTurns writes the notes, unless a write that began after n turns had been
// added has ended meanwhile.
func (o *Owner) writeFirstTurns(n uint64) error {
	f := &o.firstTurns
	f.writing.Lock()
	defer f.writing.Unlock()
	o.mu.Lock()
	if f.written >= n {
		o.mu.Unlock()
		return nil
	}
	added := f.added
	o.pruneFirstTurns()
	p := page{Sequence: o.nextSequence()}
	for _, notes := range []map[model.ProgramKey]turn.Record{f.restored, f.current} {
		for _, r := range notes {
			p.Programs = append(p.Programs, newPageEntry(r))
		}
	}
	o.mu.Unlock()
	value, err := json.Marshal(p)
	if err != nil {
		return err
	}
	m := &peerpb.BudgetPage{Host: string(o.firstTurnsName()), Sequence: p.Sequence, Value: value}
	if err := o.saveToDisk(m); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	f.written = added
	o.copies[o.firstTurnsName()] = m // for the next owner
	return nil
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
