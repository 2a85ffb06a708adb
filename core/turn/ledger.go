// Package turn bounds the tokens that the turns of each program generate, over
// the loss of the process that counts them.
//
// A turn reserves the most that it can generate and settles with what it did.
// Before a turn starts, a record outside the process says that the program may
// have spent as much as the turn allows. Records are made ahead in steps, so
// that few are written; after the loss of the process, all that the record
// allows counts as spent. The first turn of a program needs no record: the
// bound allows one turn beyond the budget, and nothing else is unrecorded. The
// first turn after a change of the owner needs one, because the one before may
// have been lost with an unrecorded turn.
package turn

import (
	"time"

	"mimosarelay/core/model"
)

// Decision answers a reservation: Granted, Exhausted or Unrecorded.
type Decision interface{ isDecision() }

// Granted lets the turn run.
type Granted struct{}

// Exhausted says that the budget does not hold the turn.
type Exhausted struct{}

// Unrecorded says that the turn needs a larger record first.
type Unrecorded struct{}

func (Granted) isDecision()    {}
func (Exhausted) isDecision()  {}
func (Unrecorded) isDecision() {}

const (
	// Keep is how long an idle program is remembered. A program that was
	// stopped may come back a minute later; its record must outlast that.
	Keep = 3 * time.Minute
	// ahead is the number of turns that a record covers beyond those that have
	// begun: sub-agents begin several at a time.
	ahead = 2
	// settleGrace is what an unfinished turn may take beyond its deadline
	// before it counts as ended with all that it reserved.
	settleGrace = time.Second
)

// Reservation describes one turn.
type Reservation struct {
	Program model.ProgramKey
	Turn    model.RequestID
	Budget  model.Tokens
	Max     model.Tokens
	// Deadline is when an unfinished turn is over.
	Deadline time.Time
	// Inherited says that the program may have run a turn without a record at an
	// earlier owner, so that its first turn here needs one.
	Inherited bool
}

type open struct {
	max      model.Tokens
	deadline time.Time
}

type account struct {
	budget model.Tokens
	spent  model.Tokens
	open   map[model.RequestID]open
	step   model.Tokens // largest turn seen
	wanted model.Tokens // to be recorded
	// recorded is the smallest of the last record that is kept and of those
	// whose writing has begun since: any of them may be what is found after a
	// loss.
	recorded model.Tokens
	used     time.Time
}

// Record says how much a program may have spent.
type Record struct {
	Program model.ProgramKey
	Allowed model.Tokens
	Used    time.Time
}

// Ledger counts the tokens of programs. It is not safe for concurrent use.
type Ledger struct {
	accounts map[model.ProgramKey]*account
	unsaved  bool // some record is smaller than wanted
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[model.ProgramKey]*account{}} }

// Reserve decides on a turn. A repeated reservation of a turn is granted again.
func (l *Ledger) Reserve(now time.Time, r Reservation) Decision {
	a := l.accounts[r.Program]
	if a == nil {
		a = &account{open: map[model.RequestID]open{}}
		l.accounts[r.Program] = a
	}
	a.used = now
	a.budget = r.Budget
	if _, ok := a.open[r.Turn]; ok {
		return Granted{}
	}
	a.expire(now)
	committed := a.committed()
	need := committed + r.Max
	if need > r.Budget {
		return Exhausted{}
	}
	if a.want(need, r.Max) {
		l.unsaved = true
	}
	first := committed == 0 && a.recorded == 0 && !r.Inherited
	if need > a.recorded && !first {
		return Unrecorded{}
	}
	a.open[r.Turn] = open{max: r.Max, deadline: r.Deadline}
	return Granted{}
}

// want asks for a record that covers need and some turns to come. It reports
// whether more is wanted than before.
func (a *account) want(need, step model.Tokens) bool {
	a.step = max(a.step, step)
	if need+step <= a.wanted || a.wanted >= a.budget {
		return false
	}
	a.wanted = min(a.budget, need+ahead*a.step)
	return true
}

func (a *account) committed() model.Tokens {
	sum := a.spent
	for _, o := range a.open {
		sum += o.max
	}
	return sum
}

// expire settles turns whose end was never reported.
func (a *account) expire(now time.Time) {
	for id, o := range a.open {
		if now.Sub(o.deadline) > settleGrace {
			a.spent += o.max
			delete(a.open, id)
		}
	}
}

// End settles a turn. An unknown turn changes nothing.
func (l *Ledger) End(now time.Time, key model.ProgramKey, id model.RequestID, used model.Tokens) {
	a := l.accounts[key]
	if a == nil {
		return
	}
	o, ok := a.open[id]
	if !ok {
		return
	}
	a.used = now
	a.spent += min(used, o.max)
	delete(a.open, id)
}

// Unsaved says whether some record is smaller than wanted.
func (l *Ledger) Unsaved() bool { return l.unsaved }

// PrepareRecords returns the records of all programs that need one, and forgets
// programs that were idle for Keep. A record may allow less than the one before,
// because turns seldom generate all that they reserved. The caller writes the
// records, and reports the end of the write with MarkSaved or MarkUnsaved.
func (l *Ledger) PrepareRecords(now time.Time) []Record {
	list := make([]Record, 0, len(l.accounts))
	l.unsaved = false
	for key, a := range l.accounts {
		a.expire(now)
		if now.Sub(a.used) > Keep && len(a.open) == 0 {
			delete(l.accounts, key)
			continue
		}
		if a.wanted == 0 {
			continue
		}
		a.wanted = max(a.committed(), min(a.budget, a.committed()+ahead*a.step))
		a.recorded = min(a.recorded, a.wanted)
		list = append(list, Record{Program: key, Allowed: a.wanted, Used: a.used})
	}
	return list
}

// MarkSaved notes that the latest records are kept outside the process.
func (l *Ledger) MarkSaved(list []Record) {
	for _, r := range list {
		if a := l.accounts[r.Program]; a != nil {
			a.recorded = r.Allowed
		}
	}
}

// MarkUnsaved notes that records could not be kept.
func (l *Ledger) MarkUnsaved() { l.unsaved = true }

// Load takes over a record of another process, or of an earlier one. All that
// it allows counts as spent.
func (l *Ledger) Load(r Record) {
	a := l.accounts[r.Program]
	if a == nil {
		a = &account{open: map[model.RequestID]open{}, used: r.Used}
		l.accounts[r.Program] = a
	}
	a.spent = max(a.spent, r.Allowed)
	a.wanted = max(a.wanted, r.Allowed)
	a.recorded = max(a.recorded, r.Allowed)
	a.budget = max(a.budget, r.Allowed)
}

// Release gives up a program that another process counts from now on. Its
// record is kept, because the other process may read it later than the next
// write. If the program comes back, all that its record allows counts as spent.
func (l *Ledger) Release(key model.ProgramKey) {
	a := l.accounts[key]
	if a == nil {
		return
	}
	a.spent = max(a.committed(), a.wanted)
	clear(a.open)
}

// Programs lists the known programs.
func (l *Ledger) Programs() []model.ProgramKey {
	list := make([]model.ProgramKey, 0, len(l.accounts))
	for key := range l.accounts {
		list = append(list, key)
	}
	return list
}
