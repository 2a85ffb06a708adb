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
	zonesToCommit   = 2       // zones, other than the owner's, with a peer that acknowledged
	maxMessageBytes = 2 << 20 // record data in one peer message; drpc accepts 4 MiB
)

var (
	errTooFewPeers    = errors.New("not acknowledged by peers in two other zones")
	errProgramRemoved = errors.New("program is no longer at this host")
	errMayNotAct      = errors.New("host lost the right to act before the store confirmed the write")
)

// advanceVersion gives the tree a new version, seals new content and marks it as
// pending at the peers and the store. The caller must hold e.mu.
func (s *Service) advanceVersion(e *entry) {
	e.tree.Version = e.tree.Version.Next(model.Epoch(s.epoch.Load()))
	for _, id := range e.tree.ContentIDs() {
		c, err := e.tree.Get(id.Program, id.Call)
		if err != nil || c.Written != 0 {
			continue
		}
		if err := e.tree.Seal(id); err != nil {
			continue
		}
		e.peersPending[id] = true
		e.storePending[id] = true
	}
	e.notify()
}

// snapshot holds the records that one commit sends.
type snapshot struct {
	version           program.Version
	replicaGeneration int              // of the entry, when the snapshot was taken
	forPeers          []program.Record // content records, then the head
	forStore          []program.Record
	peerIDs           []program.ContentID
	storeIDs          []program.ContentID
}

func (e *entry) snapshot() (snapshot, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.removed {
		return snapshot{}, errProgramRemoved
	}
	head, err := e.tree.Head()
	if err != nil {
		return snapshot{}, err
	}
	snap := snapshot{version: e.tree.Version, replicaGeneration: e.replicaGeneration}
	if snap.forPeers, snap.peerIDs, err = e.encodeContents(e.peersPending); err != nil {
		return snapshot{}, err
	}
	if snap.forStore, snap.storeIDs, err = e.encodeContents(e.storePending); err != nil {
		return snapshot{}, err
	}
	snap.forPeers = append(snap.forPeers, head)
	snap.forStore = append(snap.forStore, head)
	return snap, nil
}

func (e *entry) encodeContents(pending map[program.ContentID]bool) ([]program.Record, []program.ContentID, error) {
	var records []program.Record
	var ids []program.ContentID
	for id := range pending {
		rs, err := e.tree.Contents(id)
		if err != nil {
			return nil, nil, err
		}
		records = append(records, rs...)
		ids = append(ids, id)
	}
	return records, ids, nil
}

// commit makes the current state durable. It sends the records to peers in two
// other zones and to the store, and returns when either has confirmed them; the
// other continues in the background. A tree without a version is skipped: it has
// no state yet, and no host could read its record.
func (s *Service) commit(ctx context.Context, e *entry) error {
	if e.isUnversioned() {
		return nil
	}
	snap, err := e.snapshot()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := s.options.Clock.NewTimer(s.options.CommitWait)
	defer timer.Stop()

	stored := s.journal.enqueue(snap.forStore)
	peers := s.startReplication(e, snap)
	s.awaitStore(e, snap, stored)
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
			// The write of a removed host does not count: the new owner may
			// have read the store before it.
			if s.options.MayAct() {
				e.markCommitted(snap)
				return nil
			}
			failures = errors.Join(failures, errMayNotAct)
			stored = nil
		case <-timer.Chan():
			return fmt.Errorf("version %d of program %q not committed: %w", snap.version, e.root.Program, errors.Join(failures, context.DeadlineExceeded))
		case <-ctx.Done():
			return fmt.Errorf("version %d of program %q not committed: %w", snap.version, e.root.Program, errors.Join(failures, ctx.Err()))
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
}

func (e *entry) isUnversioned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.removed && e.tree.Version == 0
}

func (s *Service) startReplication(e *entry, snap snapshot) <-chan error {
	done := make(chan error, 1)
	s.background(func() { done <- s.replicate(e, snap) })
	return done
}

func (s *Service) awaitStore(e *entry, snap snapshot, stored <-chan struct{}) {
	s.background(func() {
		select {
		case <-stored:
			e.markStored(snap)
		case <-s.ctx.Done():
		}
	})
}

// markCommitted records the version of a snapshot as committed.
func (e *entry) markCommitted(snap snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.committed = max(e.committed, snap.version)
}

// markStored records that the store holds the content of a snapshot.
func (e *entry) markStored(snap snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range snap.storeIDs {
		delete(e.storePending, id)
	}
}

// markReplicated records the version of a snapshot as committed. It also records
// that peers in two zones hold its content, unless the hosts that keep replicas
// have changed since the snapshot.
func (e *entry) markReplicated(snap snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.committed = max(e.committed, snap.version)
	if e.replicaGeneration != snap.replicaGeneration {
		return
	}
	for _, id := range snap.peerIDs {
		delete(e.peersPending, id)
	}
}

// replicate sends a snapshot to one host in each of two other zones. If a host
// fails, it tries the next one in that zone, and then further zones.
func (s *Service) replicate(e *entry, snap snapshot) error {
	t := s.currentTopology()
	zones := t.replicasByZone(e.shard)
	results := make(chan error, len(zones))
	next, running, acks := 0, 0, 0
	var failures error
	start := func() {
		replicas := zones[next]
		next++
		running++
		s.pool.Submit(func() { results <- s.replicateToZone(t, e.shard, replicas, snap.forPeers) })
	}
	for next < min(zonesToCommit, len(zones)) {
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
		if next < len(zones) {
			start()
		}
	}
	if acks < zonesToCommit {
		return errors.Join(errTooFewPeers, failures)
	}
	e.markReplicated(snap)
	return nil
}

// replicateToZone tries the replicas of one zone in turn until one acknowledges
// the records.
func (s *Service) replicateToZone(t Topology, shard model.Shard, replicas []Member, records []program.Record) error {
	var failures error
	for _, m := range replicas {
		err := s.replicateTo(t, m, shard, records)
		if err == nil {
			return nil
		}
		failures = errors.Join(failures, fmt.Errorf("replicate to %s: %w", m.Host, err))
	}
	return failures
}

func (s *Service) replicateTo(t Topology, m Member, shard model.Shard, records []program.Record) error {
	for _, batch := range batches(records, maxMessageBytes) {
		request := &peerpb.ReplicateRequest{Sender: t.sender(), Records: toPeer(shard, batch)}
		ctx, cancel := s.peerContext()
		_, err := s.options.Peers.Replicate(ctx, m.Address, request)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// peerContext returns a context that is cancelled PeerWait after now on the
// service's clock. It bounds one request to a peer.
func (s *Service) peerContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	t := s.options.Clock.AfterFunc(s.options.PeerWait, cancel)
	return ctx, func() {
		t.Stop()
		cancel()
	}
}

// batches splits records into batches of at most limit bytes of data. A record
// that is larger than limit has a batch of its own.
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

// fromPeer decodes a record and checks that it matches the fields of its
// message.
func fromPeer(p *peerpb.Record) (program.Record, error) {
	r, err := program.Identify(p.GetData())
	if err != nil {
		return r, err
	}
	root := model.ProgramKey{Workspace: model.WorkspaceID(p.GetWorkspace()), Program: model.ProgramID(p.GetProgram())}
	if r.ID.Root != root || uint64(r.Version) != p.GetVersion() || uint32(program.ShardOf(root)) != p.GetShard() {
		return r, fmt.Errorf("%w: message fields of the record of program %q do not match its data", program.ErrBadRecord, p.GetProgram())
	}
	return r, nil
}

func (s *Service) currentTopology() Topology {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topology
}
