package programs

import (
	"context"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
)

// State describes a program for its caller and for operators.
type State struct {
	Key       model.ProgramKey
	Root      model.ProgramID
	NextCall  model.CallNumber
	Running   bool         // whether the tree has an open call
	Used      model.Tokens // by the root and its sub-agents
	Reserved  model.Tokens
	Calls     int
	Budget    program.Budget
	CreatedAt time.Time
	EndedAt   time.Time // zero if the program has not ended
	Reason    string    // why the program ended
}

// Outcome describes one call. Ran is RanUnknown while the call runs.
type Outcome struct {
	State       program.State
	Ran         model.Ran
	Status      int
	ContentType string
	Used        model.Tokens
	EndedAt     time.Time
}

// findAndLock returns the entry of a program with its mutex locked. The caller
// must unlock it.
func (s *Service) findAndLock(key model.ProgramKey) (*entry, error) {
	s.mu.Lock()
	root, ok := s.rootOf[key]
	if !ok {
		root = key
	}
	e := s.entries[root]
	shard := program.ShardOf(root)
	ready := s.topology.Owner(shard) == s.topology.Self && s.ready[shard] && !s.busyElsewhere[root]
	s.mu.Unlock()
	if e == nil && !ready {
		// ErrNotFound would tell the caller that the history is lost.
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "records of program %q are not at this host", key.Program).Retry(retryAfter)
	}
	if e == nil {
		return nil, model.NewRefusal(model.ErrNotFound, model.RanNo, "program %q is not at this host", key.Program)
	}
	e.mu.Lock()
	if e.removed || e.tree == nil {
		e.mu.Unlock()
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "records of program %q are not available", key.Program)
	}
	return e, nil
}

// State returns the state of a program or sub-agent.
func (s *Service) State(key model.ProgramKey) (State, error) {
	e, err := s.findAndLock(key)
	if err != nil {
		return State{}, err
	}
	defer e.mu.Unlock()
	t := e.tree
	out := State{
		Key:       key,
		Root:      e.root.Program,
		NextCall:  t.Next(key.Program),
		Running:   t.Busy(),
		Used:      t.Used,
		Reserved:  t.Reserved,
		Calls:     t.Calls,
		Budget:    t.Budget,
		CreatedAt: t.CreatedAt,
		EndedAt:   t.EndedAt,
		Reason:    t.Reason,
	}
	if p := t.Programs[key.Program]; p != nil && t.EndedAt.IsZero() {
		out.EndedAt = p.EndedAt
	}
	return out, nil
}

// findCommittedAndLock is findAndLock for answers about finished calls. It
// commits them first if necessary: they may be uncommitted after a takeover, or
// after a Finish whose commit failed.
func (s *Service) findCommittedAndLock(key model.ProgramKey) (*entry, error) {
	e, err := s.findAndLock(key)
	if err != nil {
		return nil, err
	}
	if e.tree.LastWritten() <= e.committed {
		return e, nil
	}
	e.mu.Unlock()
	if err := s.commit(s.ctx, e); err != nil {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "records of program %q are not committed yet: %v", key.Program, err).Retry(retryAfter)
	}
	return s.findAndLock(key)
}

// History returns the turns of a program and commits them first if necessary.
func (s *Service) History(key model.ProgramKey) ([]program.Turn, error) {
	e, err := s.findCommittedAndLock(key)
	if err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	var out []program.Turn
	for _, t := range e.tree.History(key.Program) {
		if t.Written <= e.committed {
			out = append(out, t)
		}
	}
	return out, nil
}

// Outcome returns what is known about one call. A call whose result is not
// committed yet is reported as started.
func (s *Service) Outcome(key model.ProgramKey, n model.CallNumber) (Outcome, error) {
	e, err := s.findCommittedAndLock(key)
	if err != nil {
		return Outcome{}, err
	}
	defer e.mu.Unlock()
	c, err := e.tree.Get(key.Program, n)
	if err != nil {
		return Outcome{}, model.NewRefusal(model.ErrNotFound, model.RanNo, "%v", err)
	}
	if c.State == program.Done && c.Written > e.committed {
		return Outcome{State: program.Started, Ran: model.RanUnknown}, nil
	}
	out := Outcome{c.State, model.RanUnknown, c.Status, c.ContentType, c.Used, c.EndedAt}
	switch c.State {
	case program.Done, program.Failed:
		out.Ran = model.RanYes
	case program.Admitted:
		out.Ran = model.RanNo
	}
	return out, nil
}

// End ends a program, so that it accepts no new calls, and returns when that is
// committed. Ending a root program ends its sub-agents too.
func (s *Service) End(ctx context.Context, key model.ProgramKey) error {
	if !s.options.MayAct() {
		return noRightToAct()
	}
	e, err := s.findAndLock(key)
	if err != nil {
		return err
	}
	if e.tree.EndProgram(key.Program, "caller", s.options.Clock.Now()) {
		s.advanceVersion(e)
	}
	e.mu.Unlock()
	s.notifyEnded(e)
	if err := s.commit(ctx, e); err != nil {
		return model.NewRefusal(model.ErrUnavailable, model.RanUnknown, "end of program %q is not committed: %v", key.Program, err)
	}
	return nil
}

// OnEnd registers a function that is called when a program has ended and has no
// open call. It must not block.
func (s *Service) OnEnd(f func(model.ProgramKey)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onEnd = append(s.onEnd, f)
}

// Live lists the programs at this host that have not ended or have an open call.
func (s *Service) Live() []model.ProgramKey {
	now := s.options.Clock.Now()
	var out []model.ProgramKey
	for _, e := range s.listEntries() {
		e.mu.Lock()
		if e.tree != nil && !e.removed {
			for id := range e.tree.Programs {
				if !e.tree.Ended(id, now) {
					out = append(out, model.ProgramKey{Workspace: e.root.Workspace, Program: id})
				}
			}
		}
		e.mu.Unlock()
	}
	return out
}

// AllShardsLoaded reports whether the programs of all shards that this host owns
// are loaded, so that Live lists all of them.
func (s *Service) AllShardsLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topology.Epoch == 0 {
		return false
	}
	for shard := range model.Shard(model.ShardCount) {
		if s.topology.Owner(shard) == s.topology.Self && !s.ready[shard] {
			return false
		}
	}
	return true
}

// Drain stops admitting calls and waits until the running ones have ended, the
// new owners have taken over all programs, and the journal is written.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for !s.drained() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.options.Clock.After(retryInterval):
		}
	}
	return nil
}

// drained reports whether Drain is done. If all other members are leaving too,
// no host takes the programs over, and Drain waits only for their calls and the
// journal.
func (s *Service) drained() bool {
	t := s.currentTopology()
	lastHost := true
	for _, m := range t.otherMembers() {
		lastHost = lastHost && m.Leaving
	}
	entries := s.listEntries()
	if !lastHost && len(entries) > 0 {
		return false
	}
	for _, e := range entries {
		e.mu.Lock()
		busy := e.tree != nil && e.isBusy()
		e.mu.Unlock()
		if busy {
			return false
		}
	}
	return s.journal.idle()
}

// Dump returns the tables of the service for operators, without the content of
// calls.
func (s *Service) Dump() any {
	type row struct {
		Program   model.ProgramKey
		Version   program.Version
		Committed program.Version
		Busy      bool
		Broken    bool
	}
	var d struct {
		Epoch     model.Epoch
		Ready     int // loaded shards
		Elsewhere int // programs with a running call at the previous owner
		Draining  bool
		Copies    int // trees of other owners
		Segments  int // of the journal
		Queued    int // records not yet in the store
		Programs  []row
	}
	s.mu.Lock()
	d.Epoch = s.topology.Epoch
	d.Ready = len(s.ready)
	d.Elsewhere = len(s.busyElsewhere)
	d.Draining = s.draining
	s.mu.Unlock()
	d.Copies = s.replicas.count()
	d.Segments, d.Queued = s.journal.counts()
	for _, e := range s.listEntries() {
		e.mu.Lock()
		r := row{Program: e.root, Committed: e.committed, Broken: e.recordsErr != nil}
		if e.tree != nil {
			r.Version = e.tree.Version
			r.Busy = e.tree.Busy()
		}
		e.mu.Unlock()
		d.Programs = append(d.Programs, r)
	}
	return d
}
