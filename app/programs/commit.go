package programs

import (
	"context"
	"errors"
	"fmt"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/io/peer/peerpb"
)

const (
	acksToCommit = 2       // peers in zones different from the owner's and from each other
	maxMessage   = 2 << 20 // bytes of records in one peer message; drpc accepts 4 MiB
)

var (
	errFewPeers  = errors.New("not acknowledged by two peers in other zones")
	errGone      = errors.New("program has left this host")
	errMayNotAct = errors.New("lost the right to act before the store confirmed")
)

// touch gives the tree a new version and marks new content. Needs e.mu.
func (s *Service) touch(e *entry) {
	e.tree.Version = e.tree.Version.Next(model.Epoch(s.epoch.Load()))
	for _, id := range e.tree.ContentIDs() {
		c, err := e.tree.Get(id.Program, id.Call)
		if err != nil || c.Written != 0 {
			continue
		}
		if err := e.tree.Seal(id); err != nil {
			continue
		}
		e.peersLack[id] = true
		e.storeLack[id] = true
	}
	e.notify()
}

// snapshot is what one commit sends.
type snapshot struct {
	version    program.Version
	generation int              // of entry.peersLack
	forPeers   []program.Record // content, then the head
	forStore   []program.Record
	peerIDs    []program.ContentID
	storeIDs   []program.ContentID
}

func (e *entry) snapshot() (snapshot, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return snapshot{}, errGone
	}
	head, err := e.tree.Head()
	if err != nil {
		return snapshot{}, err
	}
	n := snapshot{version: e.tree.Version, generation: e.generation}
	if n.forPeers, n.peerIDs, err = e.contents(e.peersLack); err != nil {
		return snapshot{}, err
	}
	if n.forStore, n.storeIDs, err = e.contents(e.storeLack); err != nil {
		return snapshot{}, err
	}
	n.forPeers = append(n.forPeers, head)
	n.forStore = append(n.forStore, head)
	return n, nil
}

func (e *entry) contents(lack map[program.ContentID]bool) ([]program.Record, []program.ContentID, error) {
	var records []program.Record
	var ids []program.ContentID
	for id := range lack {
		rs, err := e.tree.Contents(id)
		if err != nil {
			return nil, nil, err
		}
		records = append(records, rs...)
		ids = append(ids, id)
	}
	return records, ids, nil
}

// commit makes the current state durable: two peers in other zones, or the
// store, whichever confirms first. The other one goes on in the background. A
// tree without a version has no state yet, and no host could read its record.
func (s *Service) commit(ctx context.Context, e *entry) error {
	if e.unversioned() {
		return nil
	}
	n, err := e.snapshot()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := s.o.Clock.NewTimer(s.o.CommitWait)
	defer late.Stop()

	stored := s.journal.add(n.forStore)
	peers := s.startReplication(e, n)
	s.noteStored(e, n, stored)
	var failures error
	for {
		select {
		case err := <-peers:
			if err == nil {
				return nil
			}
			failures = errors.Join(failures, err)
			peers = nil
		case <-stored:
			// A removed host must not trust its own late write: the new owner
			// may have read the store before it.
			if s.o.MayAct() {
				e.confirm(n)
				return nil
			}
			failures = errors.Join(failures, errMayNotAct)
			stored = nil
		case <-late.Chan():
			return fmt.Errorf("version %d of program %q not committed: %w", n.version, e.root.Program, errors.Join(failures, context.DeadlineExceeded))
		case <-ctx.Done():
			return fmt.Errorf("version %d of program %q not committed: %w", n.version, e.root.Program, errors.Join(failures, ctx.Err()))
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
}

func (e *entry) unversioned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.gone && e.tree.Version == 0
}

func (s *Service) startReplication(e *entry, n snapshot) <-chan error {
	done := make(chan error, 1)
	s.background(func() { done <- s.replicate(e, n) })
	return done
}

func (s *Service) noteStored(e *entry, n snapshot, stored <-chan struct{}) {
	s.background(func() {
		select {
		case <-stored:
			e.confirmStore(n)
		case <-s.ctx.Done():
		}
	})
}

// confirm notes the newest committed version.
func (e *entry) confirm(n snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.committed = max(e.committed, n.version)
}

// confirmStore notes which content the store holds.
func (e *entry) confirmStore(n snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range n.storeIDs {
		delete(e.storeLack, id)
	}
}

// confirmPeers notes which content two peers hold, unless the peers that keep
// copies have changed since the snapshot.
func (e *entry) confirmPeers(n snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.committed = max(e.committed, n.version)
	if e.generation != n.generation {
		return
	}
	for _, id := range n.peerIDs {
		delete(e.peersLack, id)
	}
}

// replicate sends a snapshot to one host in each of two other zones and falls
// back to further hosts and zones.
func (s *Service) replicate(e *entry, n snapshot) error {
	t := s.current()
	lanes := t.lanes(e.shard)
	results := make(chan error, len(lanes))
	next, running, acks := 0, 0, 0
	var failures error
	start := func() {
		l := lanes[next]
		next++
		running++
		s.pool.Submit(func() { results <- s.sendLane(t, e.shard, l, n.forPeers) })
	}
	for next < min(acksToCommit, len(lanes)) {
		start()
	}
	for running > 0 {
		var err error
		select {
		case err = <-results:
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
		running--
		if err == nil {
			acks++
			continue
		}
		failures = errors.Join(failures, err)
		if next < len(lanes) {
			start()
		}
	}
	if acks < acksToCommit {
		return errors.Join(errFewPeers, failures)
	}
	e.confirmPeers(n)
	return nil
}

// sendLane sends records to the first host of a zone that acknowledges them.
func (s *Service) sendLane(t Topology, shard model.Shard, lane []Member, records []program.Record) error {
	var failures error
	for _, m := range lane {
		err := s.sendTo(t, m, shard, records)
		if err == nil {
			return nil
		}
		failures = errors.Join(failures, fmt.Errorf("replicate to %s: %w", m.Host, err))
	}
	return failures
}

func (s *Service) sendTo(t Topology, m Member, shard model.Shard, records []program.Record) error {
	for _, batch := range batches(records, maxMessage) {
		request := &peerpb.ReplicateRequest{Sender: t.sender(), Records: toPeer(shard, batch)}
		ctx, cancel := s.timeout()
		_, err := s.o.Peers.Replicate(ctx, m.Address, request)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// timeout bounds one request to a peer on the service's clock.
func (s *Service) timeout() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	t := s.o.Clock.AfterFunc(s.o.PeerWait, cancel)
	return ctx, func() {
		t.Stop()
		cancel()
	}
}

// batches splits records so that each batch holds at most limit bytes of data,
// or a single record.
func batches(records []program.Record, limit int) [][]program.Record {
	var out [][]program.Record
	size := 0
	for _, r := range records {
		if len(out) == 0 || size+len(r.Data) > limit {
			out = append(out, nil)
			size = 0
		}
		out[len(out)-1] = append(out[len(out)-1], r)
		size += len(r.Data)
	}
	return out
}

func toPeer(shard model.Shard, records []program.Record) []*peerpb.Record {
	out := make([]*peerpb.Record, len(records))
	for i, r := range records {
		out[i] = &peerpb.Record{
			Shard:     uint32(shard),
			Workspace: string(r.ID.Root.Workspace),
			Program:   string(r.ID.Root.Program),
			Version:   uint64(r.Version),
			Data:      r.Data,
		}
	}
	return out
}

// fromPeer decodes a record and checks it against its envelope.
func fromPeer(p *peerpb.Record) (program.Record, error) {
	r, err := program.Identify(p.GetData())
	if err != nil {
		return r, err
	}
	root := model.ProgramKey{Workspace: model.WorkspaceID(p.GetWorkspace()), Program: model.ProgramID(p.GetProgram())}
	if r.ID.Root != root || uint64(r.Version) != p.GetVersion() || uint32(program.ShardOf(root)) != p.GetShard() {
		return r, fmt.Errorf("%w: envelope of program %q does not match its data", program.ErrBadRecord, p.GetProgram())
	}
	return r, nil
}

func (s *Service) current() Topology {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topology
}
