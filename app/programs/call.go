package programs

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
)

// retryAfter is the Retry-After of calls that are refused for a temporary reason.
const retryAfter = time.Second

// CallSpec describes a call that asks to run.
type CallSpec struct {
	Key    model.ProgramKey
	Parent model.ProgramID  // root program of a sub-agent's call; otherwise empty
	Call   model.CallNumber // 0: outside a program
	// IdempotencyKey identifies a non-idempotent call outside a program.
	IdempotencyKey string
	Fingerprint    model.Fingerprint
	Reserve        model.Tokens // upper bound of the call's cost
	Idempotent     bool
	Messages       []byte // messages that the call adds to the history
}

// keyPrefix marks program ids that stand for an idempotency key. Program ids of
// callers are header values, which cannot contain a NUL byte.
const keyPrefix = "\x00key:"

// KeyProgram returns the program under which a non-idempotent call outside a
// program is recorded. The call is the only one of that program and has number
// 1.
func KeyProgram(w model.WorkspaceID, idempotencyKey string) model.ProgramKey {
	return model.ProgramKey{Workspace: w, Program: model.ProgramID(keyPrefix + idempotencyKey)}
}

// Root returns the root program of a call, whose shard determines the host that
// owns the call. It returns false for an idempotent call outside a program,
// which may run at any host.
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

// Decision says what to do with a call. It is a *Run or a *Replay.
type Decision interface{ decision() }

// Replay answers a call with its recorded and committed result.
type Replay struct{ Result Result }

// Result is the outcome of a call that ran to completion.
type Result = program.Result

// Run is an admitted call. The caller must end it with exactly one of Finish and
// Abort. The methods are not safe for concurrent use.
type Run struct {
	service *Service
	entry   *entry // nil for an idempotent call outside a program
	program model.ProgramID
	call    model.CallNumber
	ended   bool
}

func (*Run) decision()    {}
func (*Replay) decision() {}

// Begin decides whether a call runs or is answered with its recorded result. It
// waits up to OrderWait for earlier calls of the program, and for a running
// duplicate until ctx ends. Errors are of type *model.Refusal.
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
				return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "records of program %q are being taken over", root.Program).Retry(retryAfter)
			}
			return nil, model.NewRefusal(model.ErrOrder, model.RanNo, "a call before %d of program %q has not ended", r.Call, r.Program).Retry(retryAfter)
		case <-ctx.Done():
			if duplicate {
				return nil, model.NewRefusal(model.ErrUnavailable, model.RanUnknown, "call %d of program %q is running", r.Call, r.Program)
			}
			return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "request of call %d of program %q ended before the call could run", r.Call, r.Program)
		case <-s.ctx.Done():
			return nil, model.NewRefusal(model.ErrDraining, model.RanNo, "host has stopped")
		}
	}
}

func noRightToAct() *model.Refusal {
	return model.NewRefusal(model.ErrNoRight, model.RanNo, "host has neither lease nor quorum confirmation").Retry(retryAfter)
}

// admit asks the program's tree for a decision. For program.Wait it also returns
// the channel that is closed when the call should be tried again.
func (s *Service) admit(e *entry, r program.Request) (program.Decision, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.removed {
		// The entry was removed after the lookup. The closed channel makes Begin
		// look it up again.
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

// lookup returns the entry of a root program. While a takeover of the program is
// in progress, it returns a channel that is closed when the tables change.
func (s *Service) lookup(root, key model.ProgramKey) (*entry, <-chan struct{}, error) {
	if !s.options.MayAct() {
		return nil, nil, noRightToAct()
	}
	shard := program.ShardOf(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner := s.topology.Owner(shard); owner != s.topology.Self || owner == "" {
		return nil, nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "program %q belongs to host %q", root.Program, owner).Retry(retryAfter)
	}
	if s.draining {
		return nil, nil, model.NewRefusal(model.ErrDraining, model.RanNo, "host is shutting down").Retry(retryAfter)
	}
	if !s.ready[shard] || s.busyElsewhere[root] {
		return nil, s.changed, nil
	}
	if key.Program != "" && key != root {
		if r, ok := s.rootOf[key]; ok && r != root || s.entries[key] != nil {
			return nil, nil, model.NewRefusal(model.ErrConflict, model.RanNo, "program %q is already registered under another parent", key.Program)
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

// replay returns a recorded result and commits it first if necessary.
func (s *Service) replay(ctx context.Context, e *entry, r program.Request, res Result) (Decision, error) {
	e.mu.Lock()
	c, err := e.tree.Get(r.Program, r.Call)
	committed := err == nil && e.committed >= c.Written
	if !committed {
		e.awaitedCommits++
	}
	e.mu.Unlock()
	if !committed {
		if err := s.awaitCommit(ctx, e); err != nil {
			return nil, model.NewRefusal(model.ErrUnavailable, model.RanYes, "answer of call %d of program %q is not committed yet: %v", r.Call, r.Program, err).Retry(retryAfter)
		}
	}
	return &Replay{Result: res}, nil
}

// Start commits that the call is about to be sent. No byte of the call may be
// sent before Start has returned nil. Its refusals have Ran set to RanNo.
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
		return model.NewRefusal(model.ErrUnavailable, model.RanNo, "start of call %d of program %q cannot be recorded: %v", r.call, r.program, err).Retry(retryAfter)
	}
	if !r.service.options.MayAct() || r.isRemoved() {
		r.abortUnsent()
		return noRightToAct()
	}
	return nil
}

func (r *Run) isRemoved() bool {
	r.entry.mu.Lock()
	defer r.entry.mu.Unlock()
	return r.entry.removed
}

// abortUnsent aborts a call of which nothing was sent. Start need not wait for
// this commit: if the record is lost, the outcome of the call counts as unknown.
func (r *Run) abortUnsent() {
	r.ended = true
	now := r.service.options.Clock.Now()
	if r.apply(func(t *program.Tree) error { return t.Abort(r.program, r.call, model.RanNo, now) }) != nil {
		return
	}
	r.service.background(func() { _ = r.service.commit(r.service.ctx, r.entry) })
}

// apply changes the tree with f and advances its version.
func (r *Run) apply(f func(*program.Tree) error) error {
	r.entry.mu.Lock()
	defer r.entry.mu.Unlock()
	return r.applyLocked(f)
}

// applyLocked is apply for callers that hold entry.mu.
func (r *Run) applyLocked(f func(*program.Tree) error) error {
	if r.entry.removed {
		return errProgramRemoved
	}
	if err := f(r.entry.tree); err != nil {
		return err
	}
	r.service.advanceVersion(r.entry)
	return nil
}

// applyEnd is apply for the end of the call. The program stays at this host until the
// awaitCommit that must follow has returned.
func (r *Run) applyEnd(f func(*program.Tree) error) error {
	r.entry.mu.Lock()
	defer r.entry.mu.Unlock()
	if err := r.applyLocked(f); err != nil {
		return err
	}
	r.entry.awaitedCommits++
	return nil
}

// awaitCommit is commit for callers that have incremented e.awaitedCommits.
func (s *Service) awaitCommit(ctx context.Context, e *entry) error {
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.awaitedCommits--
	}()
	return s.commit(ctx, e)
}

// Finish records the result and returns when it is committed. Its refusals have
// Ran set to RanYes. If only the commit failed, the result stays in memory, and a
// retry of the call tries to commit it again.
func (r *Run) Finish(ctx context.Context, res Result) error {
	if r.entry == nil {
		return nil
	}
	if r.ended {
		return fmt.Errorf("finish call %d of program %q: call has already ended", r.call, r.program)
	}
	r.ended = true
	now := r.service.options.Clock.Now()
	if err := r.applyEnd(func(t *program.Tree) error { return t.Finish(r.program, r.call, res, now) }); err != nil {
		return model.NewRefusal(model.ErrUnavailable, model.RanYes, "call %d of program %q ran but cannot be recorded: %v", r.call, r.program, err)
	}
	r.service.notifyEnded(r.entry)
	if err := r.service.awaitCommit(ctx, r.entry); err != nil {
		return model.NewRefusal(model.ErrUnavailable, model.RanYes, "call %d of program %q ran but is not committed: %v", r.call, r.program, err).Retry(retryAfter)
	}
	return nil
}

// Abort records that a call ended without an answer. ran may be RanNo only if no
// byte of the request was sent. The call may run again after RanNo, or if it is
// idempotent.
func (r *Run) Abort(ctx context.Context, ran model.Ran) error {
	if r.entry == nil || r.ended {
		return nil
	}
	r.ended = true
	now := r.service.options.Clock.Now()
	if err := r.applyEnd(func(t *program.Tree) error { return t.Abort(r.program, r.call, ran, now) }); err != nil {
		return model.NewRefusal(model.ErrUnavailable, ran, "end of call %d of program %q cannot be recorded: %v", r.call, r.program, err)
	}
	r.service.notifyEnded(r.entry)
	if err := r.service.awaitCommit(ctx, r.entry); err != nil {
		return model.NewRefusal(model.ErrUnavailable, ran, "end of call %d of program %q is not committed: %v", r.call, r.program, err)
	}
	return nil
}
