// Package turn limits the tokens that the turns of each program generate, even
// if the process that counts them is lost.
//
// A turn reserves the most tokens that it can generate, and its end replaces the
// reservation with the number that it did generate. Before a turn starts, a
// record outside the process must say that the program may have spent all tokens
// that are committed so far and those of the turn. A record also covers some
// later turns, so that few records are written. After the loss of the process,
// all tokens that the record allows count as spent.
//
// The first turn of a program needs no record: the guarantee is the budget plus
// one turn, and no other turn runs unrecorded. The process notes it on its own disk
// instead (Uncovered), because a program that pauses can have a first turn at each of
// several processes that are lost one after the other. FirstTurnRule says when a
// program without an account may not be a new one, so that its turn does need a record.
package turn

import (
	"time"

	"mimosarelay/core/model"
)

// Decision is the answer to a Reservation: Granted, Exhausted or Unrecorded.
type Decision interface{ isDecision() }

// Granted lets the turn run.
type Granted struct{}

// Exhausted refuses the turn because it does not fit in the rest of the budget.
type Exhausted struct{}

// Unrecorded delays the turn until a record that covers it has been written.
type Unrecorded struct{}

func (Granted) isDecision()    {}
func (Exhausted) isDecision()  {}
func (Unrecorded) isDecision() {}

const (
	// IdleRetention is the time after which the account of an idle program is
	// deleted. A program that was stopped may resume a minute later, and its
	// record must still exist then.
	IdleRetention = 3 * time.Minute
	// recordAheadTurns is the number of turns that a record covers beyond those
	// that have started. It is more than one because sub-agents start several
	// turns at the same time.
	recordAheadTurns = 2
	// useRecordInterval is the age at which the recorded time of the last use is
	// written again. A program that only asks for turns and is refused would otherwise
	// be idle for its next owner, and start again with a whole budget.
	useRecordInterval = IdleRetention / 9
	// expiryGrace is the time after its deadline when a turn without a reported
	// end is settled with all the tokens that it reserved.
	expiryGrace = time.Second
)

// Reservation asks for the tokens of one turn.
type Reservation struct {
	Program model.ProgramKey
	Turn    model.RequestID
	Budget  model.Tokens
	// Max is the most tokens that the turn can generate.
	Max model.Tokens
	// Deadline is the time after which a turn without a reported end expires.
	Deadline time.Time
	// Inherited says that the program may have run a turn without a record at a
	// previous owner, so that its first turn at this owner needs a record
	// (FirstTurnRule).
	Inherited bool
}

// openTurn is a granted turn that has not been settled.
type openTurn struct {
	max      model.Tokens
	deadline time.Time
}

// account holds the counts of one program.
type account struct {
	budget          model.Tokens
	spent           model.Tokens
	open            map[model.RequestID]openTurn
	maxTurn         model.Tokens // the largest turn reserved so far
	wantedAllowance model.Tokens // what the next record should allow
	// guaranteedAllowance is the lowest allowance of the last record known to be
	// written and of those whose write has started since: after a loss of the
	// process, any of them may be the one that is read.
	guaranteedAllowance model.Tokens
	lastUsed            time.Time
	recordedUse         time.Time // Record.Used of the last record known to be written
}

// Record is the persistent state of a program: the number of tokens that it may
// have spent.
type Record struct {
	Program model.ProgramKey
	Allowed model.Tokens
	Used    time.Time // when the program last asked for a turn or ended one
}

// Ledger counts the tokens of programs. It is not safe for concurrent use.
type Ledger struct {
	accounts map[model.ProgramKey]*account
	unsaved  bool // a program needs a larger allowance than its record
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[model.ProgramKey]*account{}} }

// Reserve decides on a turn. A repeated reservation of an open turn is granted
// again and reserves nothing more.
func (l *Ledger) Reserve(now time.Time, r Reservation) Decision {
	a := l.accounts[r.Program]
	if a == nil {
		a = &account{open: map[model.RequestID]openTurn{}}
		l.accounts[r.Program] = a
	}
	a.lastUsed = now
	a.budget = r.Budget
	if a.wantedAllowance > 0 && now.Sub(a.recordedUse) > useRecordInterval {
		l.unsaved = true
	}
	if _, ok := a.open[r.Turn]; ok {
		return Granted{}
	}
	a.expire(now)
	committed := a.committed()
	need := committed + r.Max
	if need > r.Budget {
		return Exhausted{}
	}
	if a.raiseAllowance(need, r.Max) {
		l.unsaved = true
	}
	first := committed == 0 && a.guaranteedAllowance == 0 && !r.Inherited
	if need > a.guaranteedAllowance && !first {
		return Unrecorded{}
	}
	a.open[r.Turn] = openTurn{max: r.Max, deadline: r.Deadline}
	return Granted{}
}

// raiseAllowance makes the next record cover need and some later turns. It
// reports whether the wanted allowance has changed.
func (a *account) raiseAllowance(need, turnMax model.Tokens) bool {
	a.maxTurn = max(a.maxTurn, turnMax)
	if need+turnMax <= a.wantedAllowance || a.wantedAllowance >= a.budget {
		return false
	}
	a.wantedAllowance = min(a.budget, need+recordAheadTurns*a.maxTurn)
	return true
}

// committed returns the tokens that are spent or reserved by open turns.
func (a *account) committed() model.Tokens {
	sum := a.spent
	for _, o := range a.open {
		sum += o.max
	}
	return sum
}

// expire settles turns whose end was not reported in time, with all the tokens
// that they reserved.
func (a *account) expire(now time.Time) {
	for id, o := range a.open {
		if now.Sub(o.deadline) > expiryGrace {
			a.spent += o.max
			delete(a.open, id)
		}
	}
}

// End settles a turn with the tokens that it generated. It does nothing if the
// turn is unknown.
func (l *Ledger) End(now time.Time, key model.ProgramKey, id model.RequestID, used model.Tokens) {
	a := l.accounts[key]
	if a == nil {
		return
	}
	o, ok := a.open[id]
	if !ok {
		return
	}
	a.lastUsed = now
	a.spent += min(used, o.max)
	delete(a.open, id)
}

// IsOpen reports whether a turn is granted and not settled.
func (l *Ledger) IsOpen(key model.ProgramKey, id model.RequestID) bool {
	a := l.accounts[key]
	if a == nil {
		return false
	}
	_, ok := a.open[id]
	return ok
}

// Uncovered returns the tokens that a program may have spent, as a Record, if its last
// written record does not cover them, as after its first turn.
func (l *Ledger) Uncovered(key model.ProgramKey) (Record, bool) {
	a := l.accounts[key]
	if a == nil {
		return Record{}, false
	}
	committed := a.committed()
	return Record{Program: key, Allowed: committed, Used: a.lastUsed}, committed > a.guaranteedAllowance
}

// Unsaved reports whether a program needs a larger allowance than its record
// has.
func (l *Ledger) Unsaved() bool { return l.unsaved }

// PrepareRecords returns the records of all programs that need one, and deletes
// the accounts of programs that have been idle for IdleRetention. A record may
// allow less than the previous one, because turns seldom generate all the tokens
// that they reserved. The caller writes the records and reports the result with
// MarkSaved or MarkUnsaved.
func (l *Ledger) PrepareRecords(now time.Time) []Record {
	list := make([]Record, 0, len(l.accounts))
	l.unsaved = false
	for key, a := range l.accounts {
		a.expire(now)
		if now.Sub(a.lastUsed) > IdleRetention && len(a.open) == 0 {
			delete(l.accounts, key)
			continue
		}
		if a.wantedAllowance == 0 {
			continue
		}
		a.wantedAllowance = max(a.committed(), min(a.budget, a.committed()+recordAheadTurns*a.maxTurn))
		a.guaranteedAllowance = min(a.guaranteedAllowance, a.wantedAllowance)
		list = append(list, Record{Program: key, Allowed: a.wantedAllowance, Used: a.lastUsed})
	}
	return list
}

// MarkSaved notes that the latest records have been written outside the process.
func (l *Ledger) MarkSaved(list []Record) {
	for _, r := range list {
		if a := l.accounts[r.Program]; a != nil {
			a.guaranteedAllowance, a.recordedUse = r.Allowed, r.Used
		}
	}
}

// MarkUnsaved notes that the records could not be written.
func (l *Ledger) MarkUnsaved() { l.unsaved = true }

// Load takes over a record of another process, or of an earlier process of this
// host. All tokens that it allows count as spent.
func (l *Ledger) Load(r Record) {
	a := l.accounts[r.Program]
	if a == nil {
		a = &account{open: map[model.RequestID]openTurn{}, lastUsed: r.Used}
		l.accounts[r.Program] = a
	}
	if r.Used.After(a.lastUsed) {
		a.lastUsed = r.Used
	}
	if r.Used.After(a.recordedUse) {
		a.recordedUse = r.Used
	}
	a.spent = max(a.spent, r.Allowed)
	a.wantedAllowance = max(a.wantedAllowance, r.Allowed)
	a.guaranteedAllowance = max(a.guaranteedAllowance, r.Allowed)
	a.budget = max(a.budget, r.Allowed)
}

// Release ends the counting of a program that another process counts from now
// on. The program stays among the records, because the other process may read
// them only after the next write. If the program comes back to this process, all
// tokens that its record allows count as spent.
func (l *Ledger) Release(key model.ProgramKey) {
	a := l.accounts[key]
	if a == nil {
		return
	}
	a.spent = max(a.committed(), a.wantedAllowance)
	clear(a.open)
}

// Programs lists the programs that have an account.
func (l *Ledger) Programs() []model.ProgramKey {
	list := make([]model.ProgramKey, 0, len(l.accounts))
	for key := range l.accounts {
		list = append(list, key)
	}
	return list
}
