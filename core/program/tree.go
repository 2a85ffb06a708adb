// Package program implements the state machine of agent programs: the order of
// calls, duplicate calls, the budget, the outcomes of non-idempotent calls and
// the history. It does no I/O and is not safe for concurrent use; package
// app/programs adds both.
//
// A root program and its sub-agents form one Tree with one budget and one
// version. The tree is the unit of placement and of commits, so that the
// reservation and the state of a sub-agent's call change in the same record.
package program

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// Version orders the states of a tree. The upper 32 bits hold the epoch of the
// writer, so that a record of a removed owner is always older than those of its
// successor.
type Version uint64

const versionSequenceBits = 32

// Epoch returns the epoch of the writer.
func (v Version) Epoch() model.Epoch { return model.Epoch(v >> versionSequenceBits) }

// Next returns the version that follows v for a writer in epoch e.
func (v Version) Next(e model.Epoch) Version {
	if e > v.Epoch() {
		return Version(e)<<versionSequenceBits | 1
	}
	return v + 1
}

// Budget limits a tree. A field that is zero sets no limit.
type Budget struct {
	Tokens   model.Tokens  // used and reserved by all calls
	Calls    int           // calls of the root and its sub-agents
	Lifetime time.Duration // from the first call
}

// State is the state of a call.
type State string

// States of a call. An admitted call has a reservation, but nothing of it has
// been sent to a target. Done, Failed and Unknown are final.
const (
	Admitted State = "admitted"
	Started  State = "started" // committed as sent; may be running
	Done     State = "done"    // ran, and its answer was recorded
	Failed   State = "failed"  // ran, but no answer was recorded
	Unknown  State = "unknown" // may have run; must not be sent again
)

// Final reports whether the call has ended and its successor may run.
func (s State) Final() bool { return s == Done || s == Failed || s == Unknown }

// Call is one call of a program, without its content.
type Call struct {
	Number      model.CallNumber
	Fingerprint model.Fingerprint
	Idempotent  bool
	State       State
	Reserved    model.Tokens // 0 after settlement; kept if the outcome is unknown
	Used        model.Tokens
	Status      int     // HTTP status of a done call
	ContentType string  // of a done call
	Parts       int     // number of content records of a done call
	Written     Version // version of the tree that first held the content
	EndedAt     time.Time

	messages []byte
}

// Program is the root or a sub-agent of a tree.
type Program struct {
	Calls   map[model.CallNumber]*Call
	EndedAt time.Time // zero unless this sub-agent alone was ended
}

// next returns the lowest call number whose call is not in a final state. Only
// the last call can be open.
func (p *Program) next() model.CallNumber {
	n := model.CallNumber(len(p.Calls) + 1)
	for n > 1 && !p.Calls[n-1].State.Final() {
		n--
	}
	return n
}

// Content holds the messages and the answer of a done call.
type Content struct {
	Messages []byte
	Answer   []byte
}

// ContentID identifies the content of one call within a tree.
type ContentID struct {
	Program model.ProgramID
	Call    model.CallNumber
}

// Tree is a root program with its sub-agents.
type Tree struct {
	Root      model.ProgramKey
	Version   Version
	Budget    Budget
	CreatedAt time.Time
	EndedAt   time.Time // zero until End is called
	Reason    string    // why the tree ended
	Used      model.Tokens
	Reserved  model.Tokens
	Calls     int // admitted calls, except those that certainly did not run
	Programs  map[model.ProgramID]*Program

	contents map[ContentID]Content
}

// New returns an empty tree.
func New(root model.ProgramKey, b Budget, now time.Time) *Tree {
	return &Tree{
		Root:      root,
		Budget:    b,
		CreatedAt: now.UTC().Round(0),
		Programs:  map[model.ProgramID]*Program{},
		contents:  map[ContentID]Content{},
	}
}

// ShardOf returns the shard of a root program and all its sub-agents.
func ShardOf(root model.ProgramKey) model.Shard {
	h := xxhash.Sum64String(string(root.Workspace) + "\x00" + string(root.Program))
	return model.Shard(h % model.ShardCount)
}

// Request describes a call that asks for admission.
type Request struct {
	Program     model.ProgramID
	Call        model.CallNumber
	Fingerprint model.Fingerprint
	Reserve     model.Tokens
	Idempotent  bool
	Messages    []byte
}

// Result is the outcome of a call that ran to completion.
type Result struct {
	Answer      []byte
	ContentType string
	Status      int
	Used        model.Tokens
}

// Decision says what to do with a Request. It is a Run, Replay, Wait or Reject.
type Decision interface{ decision() }

// Run admits the call. Its tokens have been reserved.
type Run struct{}

// Replay answers the call with the recorded result.
type Replay struct{ Result Result }

// Wait delays the call until the tree has changed.
type Wait struct {
	Duplicate bool // the same call is open; if false, an earlier call has not ended
}

// Reject refuses the call with an error for the caller.
type Reject struct{ Refusal *model.Refusal }

func (Run) decision()    {}
func (Replay) decision() {}
func (Wait) decision()   {}
func (Reject) decision() {}

func reject(kind error, ran model.Ran, format string, args ...any) Reject {
	return Reject{model.NewRefusal(kind, ran, format, args...)}
}

// Admit decides on a call and reserves its tokens if it may run.
func (t *Tree) Admit(r Request, now time.Time) Decision {
	if r.Call == 0 || r.Reserve < 0 {
		return reject(model.ErrBadRequest, model.RanNo, "invalid call number %d or reservation of %d tokens", r.Call, r.Reserve)
	}
	p := t.Programs[r.Program]
	if p != nil {
		if c := p.Calls[r.Call]; c != nil {
			return t.decideRepeated(r, c)
		}
	}
	if t.Closed(now) || p != nil && !p.EndedAt.IsZero() {
		return reject(model.ErrProgramEnded, model.RanNo, "program %q has ended", r.Program)
	}
	next := model.CallNumber(1)
	if p != nil {
		next = p.next()
	}
	if r.Call > next {
		return Wait{}
	}
	if d := t.checkBudget(r); d != nil {
		return d
	}
	if p == nil {
		p = &Program{Calls: map[model.CallNumber]*Call{}}
		t.Programs[r.Program] = p
	}
	p.Calls[r.Call] = &Call{
		Number:      r.Call,
		Fingerprint: r.Fingerprint,
		Idempotent:  r.Idempotent,
		State:       Admitted,
		Reserved:    r.Reserve,
		messages:    r.Messages,
	}
	t.Reserved += r.Reserve
	t.Calls++
	return Run{}
}

// decideRepeated decides on a request whose call is already known.
func (t *Tree) decideRepeated(r Request, c *Call) Decision {
	if r.Fingerprint != c.Fingerprint {
		return reject(model.ErrConflict, model.RanNo, "call %d of program %q was made before with different content", r.Call, r.Program)
	}
	switch c.State {
	case Done:
		return Replay{t.result(ContentID{r.Program, r.Call}, c)}
	case Failed:
		return reject(model.ErrTargetFailed, model.RanYes, "call %d of program %q ran, but its answer was not recorded", r.Call, r.Program)
	case Unknown:
		return reject(model.ErrOutcomeUnknown, model.RanUnknown, "call %d of program %q may have run and is not sent again", r.Call, r.Program)
	default:
		return Wait{Duplicate: true}
	}
}

func (t *Tree) result(id ContentID, c *Call) Result {
	return Result{
		Answer:      t.contents[id].Answer,
		ContentType: c.ContentType,
		Status:      c.Status,
		Used:        c.Used,
	}
}

// checkBudget returns a Reject if the call exceeds the budget, otherwise nil.
func (t *Tree) checkBudget(r Request) Decision {
	if t.Budget.Calls > 0 && t.Calls >= t.Budget.Calls {
		return reject(model.ErrBudget, model.RanNo, "program %q has made all %d calls of its budget", t.Root.Program, t.Budget.Calls)
	}
	limit := t.Budget.Tokens
	if limit == 0 {
		limit = math.MaxInt64
	}
	available := limit - t.Used - t.Reserved
	if r.Reserve > available {
		return reject(model.ErrBudget, model.RanNo, "call %d of program %q needs %d tokens, but %d of %d are left in the budget", r.Call, r.Program, r.Reserve, max(available, 0), limit)
	}
	return nil
}

// Get returns a call, or an error that wraps model.ErrNotFound.
func (t *Tree) Get(p model.ProgramID, n model.CallNumber) (*Call, error) {
	if pr := t.Programs[p]; pr != nil {
		if c := pr.Calls[n]; c != nil {
			return c, nil
		}
	}
	return nil, fmt.Errorf("call %d of program %q: %w", n, p, model.ErrNotFound)
}

// Start marks an admitted call as sent. The new state must be committed before
// the first byte of the call is sent.
func (t *Tree) Start(p model.ProgramID, n model.CallNumber) error {
	c, err := t.Get(p, n)
	if err != nil {
		return err
	}
	if c.State != Admitted {
		return fmt.Errorf("start call %d of program %q: call is %s", n, p, c.State)
	}
	c.State = Started
	return nil
}

// Finish records the answer of a started call and replaces its reservation with
// the tokens that it used.
func (t *Tree) Finish(p model.ProgramID, n model.CallNumber, r Result, now time.Time) error {
	c, err := t.Get(p, n)
	if err != nil {
		return err
	}
	if c.State != Started {
		return fmt.Errorf("finish call %d of program %q: call is %s", n, p, c.State)
	}
	if r.Used < 0 {
		return fmt.Errorf("finish call %d of program %q: negative number of used tokens: %d", n, p, r.Used)
	}
	t.Reserved -= c.Reserved
	t.Used += r.Used
	c.State = Done
	c.Reserved = 0
	c.Used = r.Used
	c.Status = r.Status
	c.ContentType = r.ContentType
	c.EndedAt = now.UTC().Round(0)
	t.contents[ContentID{p, n}] = Content{Messages: c.messages, Answer: r.Answer}
	c.messages = nil
	return nil
}

// Abort ends a call without an answer. A call that certainly did not run is
// removed together with its reservation. A non-idempotent call that ran, or may
// have run, becomes final. An idempotent one is removed, so that it may run
// again; the reserved tokens of the lost attempt count as used, because the
// target may have spent them.
func (t *Tree) Abort(p model.ProgramID, n model.CallNumber, ran model.Ran, now time.Time) error {
	c, err := t.Get(p, n)
	if err != nil {
		return err
	}
	if c.State.Final() {
		return fmt.Errorf("abort call %d of program %q: call is %s", n, p, c.State)
	}
	switch {
	case ran == model.RanNo || c.State == Admitted:
		t.Reserved -= c.Reserved
		t.Calls--
		t.removeCall(p, n)
	case c.Idempotent:
		t.Reserved -= c.Reserved
		t.Used += c.Reserved
		t.removeCall(p, n)
	case ran == model.RanYes:
		t.Reserved -= c.Reserved
		t.Used += c.Reserved
		c.Used = c.Reserved
		c.Reserved = 0
		c.State = Failed
		c.EndedAt = now.UTC().Round(0)
		c.messages = nil
	default:
		c.State = Unknown
		c.EndedAt = now.UTC().Round(0)
		c.messages = nil
	}
	return nil
}

// removeCall deletes a call, and its program if that is then empty and was not
// ended.
func (t *Tree) removeCall(p model.ProgramID, n model.CallNumber) {
	pr := t.Programs[p]
	delete(pr.Calls, n)
	if len(pr.Calls) == 0 && pr.EndedAt.IsZero() {
		delete(t.Programs, p)
	}
}

// Recover aborts the calls that a previous owner left open. An admitted call was
// not sent. The outcome of a started one is unknown; it may run again if it is
// idempotent.
func (t *Tree) Recover(now time.Time) error {
	for id, p := range t.Programs {
		for n, c := range p.Calls {
			if c.State.Final() {
				continue
			}
			if err := t.Abort(id, n, model.RanUnknown, now); err != nil {
				return err
			}
		}
	}
	return nil
}

// Busy reports whether the tree has a call that has not ended.
func (t *Tree) Busy() bool {
	for _, p := range t.Programs {
		for _, c := range p.Calls {
			if !c.State.Final() {
				return true
			}
		}
	}
	return false
}

// Deadline returns the end of the tree's lifetime, or zero if it has no limit.
func (t *Tree) Deadline() time.Time {
	if t.Budget.Lifetime == 0 {
		return time.Time{}
	}
	return t.CreatedAt.Add(t.Budget.Lifetime)
}

// Closed reports whether the tree accepts no new calls at the time now, because
// it was ended or its lifetime has passed.
func (t *Tree) Closed(now time.Time) bool {
	if !t.EndedAt.IsZero() {
		return true
	}
	d := t.Deadline()
	return !d.IsZero() && !now.Before(d)
}

// End ends the tree, which then accepts no new calls. It returns false if the
// tree had been ended before.
func (t *Tree) End(reason string, now time.Time) bool {
	if !t.EndedAt.IsZero() {
		return false
	}
	t.EndedAt = now.UTC().Round(0)
	t.Reason = reason
	return true
}

// EndProgram ends the whole tree if id is its root, otherwise only that
// sub-agent. It returns false if the program is unknown or had been ended
// before.
func (t *Tree) EndProgram(id model.ProgramID, reason string, now time.Time) bool {
	if id == t.Root.Program {
		return t.End(reason, now)
	}
	p := t.Programs[id]
	if p == nil || !p.EndedAt.IsZero() {
		return false
	}
	p.EndedAt = now.UTC().Round(0)
	return true
}

// Next returns the lowest call number of a program whose call has not ended or
// was not made yet.
func (t *Tree) Next(id model.ProgramID) model.CallNumber {
	if p := t.Programs[id]; p != nil {
		return p.next()
	}
	return 1
}

// Expiry returns the time from which the tree accepts no new calls: when it was
// ended, otherwise its deadline. It is zero for a tree with neither.
func (t *Tree) Expiry() time.Time {
	if !t.EndedAt.IsZero() {
		return t.EndedAt
	}
	return t.Deadline()
}

// ContentIDs lists the content ids of all done calls of the tree.
func (t *Tree) ContentIDs() []ContentID {
	var out []ContentID
	for id := range t.contents {
		out = append(out, id)
	}
	return out
}

// Turn is one done call in the history of a program.
type Turn struct {
	Call        model.CallNumber
	Messages    []byte
	Answer      []byte
	ContentType string
	Status      int
	Written     Version // version of the tree that first held the content
}

// History returns the done calls of a program by call number.
func (t *Tree) History(id model.ProgramID) []Turn {
	p := t.Programs[id]
	if p == nil {
		return nil
	}
	var turns []Turn
	for n := model.CallNumber(1); int(n) <= len(p.Calls); n++ {
		c := p.Calls[n]
		if c.State != Done {
			continue
		}
		b := t.contents[ContentID{id, n}]
		turns = append(turns, Turn{n, b.Messages, b.Answer, c.ContentType, c.Status, c.Written})
	}
	return turns
}

// Ended reports whether a program accepts no new calls and has no open call.
func (t *Tree) Ended(id model.ProgramID, now time.Time) bool {
	p := t.Programs[id]
	if p == nil {
		return t.Closed(now)
	}
	if !t.Closed(now) && p.EndedAt.IsZero() {
		return false
	}
	for _, c := range p.Calls {
		if !c.State.Final() {
			return false
		}
	}
	return true
}

// LastWritten returns the newest version of the tree that added content.
func (t *Tree) LastWritten() Version {
	var v Version
	for id := range t.contents {
		if c, err := t.Get(id.Program, id.Call); err == nil {
			v = max(v, c.Written)
		}
	}
	return v
}
