package programs

import (
	"cmp"
	"context"
	"errors"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
)

const retryAdvice = time.Second

// CallSpec describes a call that is about to run.
type CallSpec struct {
	Key    model.ProgramKey
	Parent model.ProgramID  // root program of a sub-agent; empty for a root
	Call   model.CallNumber // 0: outside a program
	// IdempotencyKey identifies a non-idempotent call outside a program.
	IdempotencyKey string
	Fingerprint    model.Fingerprint
	Reserve        model.Tokens // most that the call can cost
	Idempotent     bool
	Messages       []byte // new messages, for the history
}

// keyPrefix cannot occur in a program id, which is a header value.
const keyPrefix = "\x00key:"

// KeyProgram returns the program that stands for a call outside programs. Its
// call has the number 1.
func KeyProgram(w model.WorkspaceID, idempotencyKey string) model.ProgramKey {
	return model.ProgramKey{Workspace: w, Program: model.ProgramID(keyPrefix + idempotencyKey)}
}

// Root returns the root program of a call, whose shard decides the owner. It
// reports false for an idempotent call outside a program, which any host runs.
func (c CallSpec) Root() (model.ProgramKey, bool) {
	switch {
	case c.Call == 0 && c.Idempotent:
		return model.ProgramKey{}, false
	case c.Call == 0:
		return KeyProgram(c.Key.Workspace, c.IdempotencyKey), true
	case c.Parent != "":
		return model.ProgramKey{Workspace: c.Key.Workspace, Program: c.Parent}, true
	default:
		return c.Key, true
	}
}

func (c CallSpec) check() error {
	switch {
	case c.Key.Workspace == "":
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "call without workspace")
	case c.Call == 0 && c.Key.Program != "":
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "call of program %q without a number", c.Key.Program)
	case c.Call != 0 && c.Key.Program == "":
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "call %d without a program", c.Call)
	case c.Call == 0 && !c.Idempotent && c.IdempotencyKey == "":
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "non-idempotent call without Idempotency-Key")
	}
	return nil
}

// Decision is what to do with a call: *Run or *Replay.
type Decision interface{ decision() }

// Replay is a call whose answer is recorded and committed.
type Replay struct{ Result Result }

// Result is the recorded end of a call.
type Result = program.Result

// Run is a call that may run. Exactly one of Finish and Abort must follow.
// Methods are for one goroutine.
type Run struct {
	service *Service
	entry   *entry // nil outside programs
	program model.ProgramID
	call    model.CallNumber
	ended   bool
}

func (*Run) decision()    {}
func (*Replay) decision() {}

// Begin decides about a call. It waits for predecessors up to OrderWait and for
// a running duplicate until ctx ends. Errors are *model.Refusal.
func (s *Service) Begin(ctx context.Context, c CallSpec) (Decision, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	root, tracked := c.Root()
	if !tracked {
		if !s.options.MayAct() {
			return nil, noRightToAct()
		}
		return &Run{service: s}, nil
	}
	r := program.Request{
		Program:     c.Key.Program,
		Call:        c.Call,
		Fingerprint: c.Fingerprint,
		Reserve:     c.Reserve,
		Idempotent:  c.Idempotent,
		Messages:    c.Messages,
	}
	if c.Call == 0 {
		r.Program = root.Program
		r.Call = 1
	}
	timer := s.options.Clock.NewTimer(s.options.OrderWait)
	defer timer.Stop()
	timeout := timer.Chan()
	for {
		e, wake, err := s.lookup(root, c.Key)
		if err != nil {
			return nil, err
		}
		duplicate := false
		if e != nil {
			var d program.Decision
			d, wake = s.admit(e, r)
			switch d := d.(type) {
			case program.Run:
				return &Run{service: s, entry: e, program: r.Program, call: r.Call}, nil
			case program.Replay:
				return s.replay(ctx, e, r, d.Result)
			case program.Reject:
				return nil, d.Refusal
			case program.Wait:
				duplicate = d.Duplicate
			}
		}
		if duplicate {
			timeout = nil
		}
		select {
		case <-wake:
		case <-timeout:
			if e == nil {
				return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "records of program %q are being taken over", root.Program).Retry(retryAdvice)
			}
			return nil, model.NewRefusal(model.ErrOrder, model.RanNo, "a call before %d of program %q has not ended", r.Call, r.Program).Retry(retryAdvice)
		case <-ctx.Done():
			if duplicate {
				return nil, model.NewRefusal(model.ErrUnavailable, model.RanUnknown, "call %d of program %q is running", r.Call, r.Program)
			}
			return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "caller left before call %d could run", r.Call)
		case <-s.ctx.Done():
			return nil, model.NewRefusal(model.ErrDraining, model.RanNo, "host has stopped")
		}
	}
}

func noRightToAct() *model.Refusal {
	return model.NewRefusal(model.ErrNoRight, model.RanNo, "host has neither lease nor quorum confirmation").Retry(retryAdvice)
}

// admit asks the state machine and returns what to wait for.
func (s *Service) admit(e *entry, r program.Request) (program.Decision, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		// The table has changed: a closed channel makes Begin look again.
		closed := make(chan struct{})
		close(closed)
		return program.Wait{}, closed
	}
	if e.recordsErr != nil {
		return program.Reject{Refusal: model.NewRefusal(model.ErrUnavailable, model.RanNo, "records of program %q are damaged", e.root.Program)}, nil
	}
	d := e.tree.Admit(r, s.options.Clock.Now())
	return d, e.changed
}

// lookup returns the entry of a root, or a channel to wait on while a takeover
// is under way.
func (s *Service) lookup(root, key model.ProgramKey) (*entry, <-chan struct{}, error) {
	if !s.options.MayAct() {
		return nil, nil, noRightToAct()
	}
	shard := program.ShardOf(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner := s.topology.Owner(shard); owner != s.topology.Self || owner == "" {
		return nil, nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "program %q belongs to host %q", root.Program, owner).Retry(retryAdvice)
	}
	if s.draining {
		return nil, nil, model.NewRefusal(model.ErrDraining, model.RanNo, "host is shutting down").Retry(retryAdvice)
	}
	if !s.ready[shard] || s.busyElsewhere[root] {
		return nil, s.changed, nil
	}
	if key.Program != "" && key != root {
		if r, ok := s.rootOf[key]; ok && r != root || s.entries[key] != nil {
			return nil, nil, model.NewRefusal(model.ErrConflict, model.RanNo, "program %q has another parent", key.Program)
		}
		s.rootOf[key] = root
	}
	e := s.entries[root]
	if e == nil {
		e = newEntry(root, program.New(root, s.budget(root), s.options.Clock.Now()))
		s.entries[root] = e
	}
	return e, nil, nil
}

func (s *Service) budget(root model.ProgramKey) program.Budget {
	b := s.options.Budget(root.Workspace)
	b.Lifetime = cmp.Or(b.Lifetime, defaultLifetime)
	return b
}

func newEntry(root model.ProgramKey, t *program.Tree) *entry {
	return &entry{
		root:         root,
		shard:        program.ShardOf(root),
		tree:         t,
		changed:      make(chan struct{}),
		peersPending: map[program.ContentID]bool{},
		storePending: map[program.ContentID]bool{},
		endNotified:  map[model.ProgramID]bool{},
	}
}

// replay answers with a recorded result once it is committed.
func (s *Service) replay(ctx context.Context, e *entry, r program.Request, res Result) (Decision, error) {
	e.mu.Lock()
	c, err := e.tree.Get(r.Program, r.Call)
	committed := err == nil && e.committed >= c.Written
	e.mu.Unlock()
	if !committed {
		if err := s.commit(ctx, e); err != nil {
			return nil, model.NewRefusal(model.ErrUnavailable, model.RanYes, "the answer is not committed yet: %v", err).Retry(retryAdvice)
		}
	}
	return &Replay{Result: res}, nil
}

// Start commits that the call is about to be sent. The first byte may leave
// only after it returned nil. A refusal says Ran no.
func (r *Run) Start(ctx context.Context) error {
	if r.entry == nil {
		if !r.service.options.MayAct() {
			return noRightToAct()
		}
		return nil
	}
	err := r.apply(func(t *program.Tree) error { return t.Start(r.program, r.call) })
	if err == nil {
		err = r.service.commit(ctx, r.entry)
	}
	if err != nil {
		r.abortUnsent()
		return model.NewRefusal(model.ErrUnavailable, model.RanNo, "call %d cannot be recorded: %v", r.call, err).Retry(retryAdvice)
	}
	if !r.service.options.MayAct() || r.isGone() {
		r.abortUnsent()
		return noRightToAct()
	}
	return nil
}

func (r *Run) isGone() bool {
	r.entry.mu.Lock()
	defer r.entry.mu.Unlock()
	return r.entry.gone
}

// withdraw takes back a call that was not sent. The record of the withdrawal
// need not be committed: without it the call counts as unknown.
func (r *Run) abortUnsent() {
	r.ended = true
	now := r.service.options.Clock.Now()
	if r.apply(func(t *program.Tree) error { return t.Abort(r.program, r.call, model.RanNo, now) }) != nil {
		return
	}
	r.service.background(func() { _ = r.service.commit(r.service.ctx, r.entry) })
}

// change applies f and gives the tree a new version.
func (r *Run) apply(f func(*program.Tree) error) error {
	r.entry.mu.Lock()
	defer r.entry.mu.Unlock()
	if r.entry.gone {
		return errProgramGone
	}
	if err := f(r.entry.tree); err != nil {
		return err
	}
	r.service.advanceVersion(r.entry)
	return nil
}

// Finish records the result and returns once it is committed. A refusal says
// Ran yes: the result is kept in memory, and a retry of the call commits it
// again.
func (r *Run) Finish(ctx context.Context, res Result) error {
	if r.entry == nil {
		return nil
	}
	if r.ended {
		return errors.New("finish: call has ended before")
	}
	r.ended = true
	now := r.service.options.Clock.Now()
	if err := r.apply(func(t *program.Tree) error { return t.Finish(r.program, r.call, res, now) }); err != nil {
		return model.NewRefusal(model.ErrUnavailable, model.RanYes, "call %d ran but cannot be recorded: %v", r.call, err)
	}
	r.service.notifyEnded(r.entry)
	if err := r.service.commit(ctx, r.entry); err != nil {
		return model.NewRefusal(model.ErrUnavailable, model.RanYes, "call %d ran but is not committed: %v", r.call, err).Retry(retryAdvice)
	}
	return nil
}

// Abort records the end of a call without an answer. RanNo is allowed only if
// no byte of the request was sent. After Abort with RanNo, and for idempotent
// calls, the call may run again.
func (r *Run) Abort(ctx context.Context, ran model.Ran) error {
	if r.entry == nil || r.ended {
		return nil
	}
	r.ended = true
	now := r.service.options.Clock.Now()
	if err := r.apply(func(t *program.Tree) error { return t.Abort(r.program, r.call, ran, now) }); err != nil {
		return model.NewRefusal(model.ErrUnavailable, ran, "end of call %d cannot be recorded: %v", r.call, err)
	}
	r.service.notifyEnded(r.entry)
	if err := r.service.commit(ctx, r.entry); err != nil {
		return model.NewRefusal(model.ErrUnavailable, ran, "end of call %d is not committed: %v", r.call, err)
	}
	return nil
}
