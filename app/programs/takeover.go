package programs

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// ErrStaleEpoch reports a request that this host refuses because it belongs to
// another epoch.
var ErrStaleEpoch = errors.New("request belongs to another epoch")

// maxSweepInterval is the longest interval between two sweeps for segments of
// former members. Each sweep reads all journals.
const maxSweepInterval = time.Minute

var errNotLoaded = errors.New("replicas in the data folder are not loaded yet")

// EpochChanged switches from the topology old, which is zero at the first call,
// to cur. Shards that the host gains are loaded in the background.
func (s *Service) EpochChanged(old, cur Topology) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur.Epoch <= s.topology.Epoch {
		return
	}
	oldSelf, wasMember := old.Member(cur.Self)
	self, isMember := cur.Member(cur.Self)
	if !isMember || !wasMember || oldSelf.Incarnation != self.Incarnation {
		s.dropAll()
		prefix := ""
		if isMember {
			prefix = fmt.Sprintf("%s%s/%s/", journalPrefix, self.Host, self.Incarnation)
		}
		s.journal.reset(prefix)
	}
	s.topology = cur
	s.epoch.Store(uint64(cur.Epoch))
	s.cancelTakeover()
	for shard := range s.ready {
		if cur.Owner(shard) != cur.Self {
			delete(s.ready, shard)
		}
	}
	for root := range s.busyElsewhere {
		delete(s.ready, program.ShardOf(root))
		delete(s.busyElsewhere, root)
	}
	s.replicateAgain(old, cur)
	s.notifyTables()
	s.startTakeover(cur)
}

// dropAll drops all programs, because the host was removed from the membership
// and other hosts own them now. The caller must hold s.mu.
func (s *Service) dropAll() {
	for _, e := range s.entries {
		e.mu.Lock()
		e.removed = true
		e.notify()
		e.mu.Unlock()
	}
	clear(s.entries)
	clear(s.rootOf)
	clear(s.ready)
	clear(s.busyElsewhere)
}

// replicateAgain sends all content of the programs of those shards whose replicas
// have changed. The caller must hold s.mu.
func (s *Service) replicateAgain(old, cur Topology) {
	for _, e := range s.entries {
		if slices.EqualFunc(old.replicasByZone(e.shard), cur.replicasByZone(e.shard), slices.Equal[[]Member]) {
			continue
		}
		e.mu.Lock()
		if e.tree == nil {
			e.mu.Unlock()
			continue
		}
		e.replicaGeneration++
		for _, id := range e.tree.ContentIDs() {
			e.peersPending[id] = true
		}
		e.mu.Unlock()
		s.backgroundLocked(func() { _ = s.commit(s.ctx, e) })
	}
}

// startTakeover starts to take over all shards that are owned but not loaded. The
// caller must hold s.mu.
func (s *Service) startTakeover(t Topology) {
	missing := map[model.Shard]bool{}
	for shard := range model.Shard(model.ShardCount) {
		if t.Owner(shard) == t.Self && t.Self != "" && !s.ready[shard] {
			missing[shard] = true
		}
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelTakeover = cancel
	if _, member := t.Member(t.Self); !member || len(missing) == 0 {
		return
	}
	s.backgroundLocked(func() { s.takeOver(ctx, t, missing) })
}

// takeOver repeats a takeover until it succeeds with no program left busy at its
// previous owner, and then removes the journals of former members. It returns
// early if the epoch changes.
func (s *Service) takeOver(ctx context.Context, t Topology, shards map[model.Shard]bool) {
	var remaining map[model.ProgramKey]bool // root programs to load; nil: all of the shards
	lastLogged := ""                        // logs each cause once, not each attempt
	for {
		busy, err := s.tryTakeOver(ctx, t, shards, remaining)
		switch {
		case err != nil && err.Error() != lastLogged:
			lastLogged = err.Error()
			s.options.Log.Info("failed to take over shards, trying again", "epoch", t.Epoch, "error", err)
		case err != nil:
		case len(busy) == 0:
			s.removeFormerJournals(ctx, t)
			return
		default:
			remaining = busy
		}
		select {
		case <-ctx.Done():
			return
		case <-s.options.Clock.After(retryInterval):
		}
	}
}

// tryTakeOver asks the other members to hand the shards over, reads the records
// of the shards from all members and from the store, and installs the programs.
// It returns the root programs that still have an open call at another host.
func (s *Service) tryTakeOver(ctx context.Context, t Topology, shards map[model.Shard]bool, remaining map[model.ProgramKey]bool) (map[model.ProgramKey]bool, error) {
	if !s.replicasLoaded.Load() {
		return nil, errNotLoaded
	}
	busy := map[model.ProgramKey]bool{}
	found := newReplicaSet(nil)
	sorted := slices.Sorted(maps.Keys(shards))
	numbers := make([]uint32, len(sorted))
	for i, n := range sorted {
		numbers[i] = uint32(n)
	}
	// The shards are handed over before the records are fetched, because the
	// handover adds the final state of the programs to the records.
	for _, m := range t.otherMembers() {
		r, err := s.takeShards(ctx, m, &peerpb.TakeShardsRequest{Sender: t.sender(), Shards: numbers})
		if err != nil {
			return nil, fmt.Errorf("take shards from %s: %w", m.Host, err)
		}
		for _, b := range r.GetBusy() {
			busy[model.ProgramKey{Workspace: model.WorkspaceID(b.GetWorkspace()), Program: model.ProgramID(b.GetProgram())}] = true
		}
	}
	for _, m := range t.otherMembers() {
		if err := s.fetchRecords(ctx, m, &peerpb.FetchRecordsRequest{Sender: t.sender(), Shards: numbers}, found); err != nil {
			return nil, fmt.Errorf("fetch records from %s: %w", m.Host, err)
		}
	}
	found.keep(s.replicas.list(func(n model.Shard) bool { return shards[n] }))
	entries, err := s.listSegments(ctx)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		records, err := decodeSegment(e.Value)
		if err != nil {
			return nil, fmt.Errorf("read journal segment %q: %w", e.Key, err)
		}
		found.keep(slices.DeleteFunc(records, func(r program.Record) bool { return !shards[program.ShardOf(r.ID.Root)] }))
	}
	return busy, s.install(ctx, t, shards, remaining, busy, found)
}

func (s *Service) takeShards(ctx context.Context, m Member, r *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.options.Clock.AfterFunc(s.options.PeerWait, cancel).Stop()
	return s.options.Peers.TakeShards(ctx, m.Address, r)
}

func (s *Service) fetchRecords(ctx context.Context, m Member, r *peerpb.FetchRecordsRequest, into *replicaSet) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Sending all copies of a host may take longer than an ordinary request.
	defer s.options.Clock.AfterFunc(10*s.options.PeerWait, cancel).Stop()
	response, err := s.options.Peers.FetchRecords(ctx, m.Address, r)
	if err != nil {
		return err
	}
	for _, p := range response.GetRecords() {
		record, err := fromPeer(p)
		if err != nil {
			return err
		}
		into.keep([]program.Record{record})
	}
	return nil
}

func (s *Service) listSegments(ctx context.Context) ([]store.Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.options.Clock.AfterFunc(10*storeTimeout, cancel).Stop()
	entries, _, err := s.options.Store.List(ctx, journalPrefix)
	if err != nil {
		return nil, fmt.Errorf("list journal segments: %w", err)
	}
	return entries, nil
}

// install aborts the open calls of the trees in found, adds the trees to the
// service, and commits them under the new epoch. Root programs in busy, or, if
// remaining is not nil, missing in remaining, are skipped.
func (s *Service) install(ctx context.Context, t Topology, shards map[model.Shard]bool, remaining, busy map[model.ProgramKey]bool, found *replicaSet) error {
	cutoff := s.options.Clock.Now().Add(-s.options.Retention)
	if err := found.expire(cutoff); err != nil {
		return err
	}
	restored := map[model.ProgramKey]*entry{}
	for root, replica := range found.trees {
		if busy[root] || remaining != nil && !remaining[root] {
			continue
		}
		restored[root] = s.restore(root, replica)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || s.topology.Epoch != t.Epoch {
		return context.Canceled
	}
	for root, e := range restored {
		if s.entries[root] != nil {
			continue // still here, because it had an open call
		}
		s.entries[root] = e
		if e.tree == nil {
			continue
		}
		for id := range e.tree.Programs {
			if id != root.Program {
				s.rootOf[model.ProgramKey{Workspace: root.Workspace, Program: id}] = root
			}
		}
		s.backgroundLocked(func() { _ = s.commit(s.ctx, e) })
	}
	for shard := range shards {
		s.ready[shard] = true
	}
	s.busyElsewhere = busy
	s.notifyTables()
	return nil
}

// restore builds the entry of a tree from its records.
func (s *Service) restore(root model.ProgramKey, replica *treeReplica) *entry {
	e := newEntry(root, nil)
	find := func(i program.ID) (program.Record, bool) { r, ok := replica.records[i]; return r, ok }
	head, ok := find(program.ID{Root: root})
	if !ok {
		// Content is written before its head, so that nothing of this tree was
		// committed.
		e.tree = program.New(root, s.budget(root), s.options.Clock.Now())
		return e
	}
	tree, err := program.Assemble(head, find)
	if err == nil {
		err = tree.Recover(s.options.Clock.Now())
	}
	if err != nil {
		// The program is refused from now on: an older state of it could make
		// a call run twice.
		e.recordsErr = err
		s.options.Log.Error("failed to restore program from its records", "workspace", root.Workspace, "program", root.Program, "error", err)
		return e
	}
	e.tree = tree
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range tree.ContentIDs() {
		e.peersPending[id] = true
		e.storePending[id] = true
	}
	s.advanceVersion(e)
	return e
}

// removeFormerJournals removes the journals of former members as soon as the new
// owners have written the programs to their own journals. It returns when none is
// left or the epoch changes.
func (s *Service) removeFormerJournals(ctx context.Context, t Topology) {
	pause := sweepInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.options.Clock.After(pause):
		}
		remaining, err := s.removeFormerSegments(ctx, t)
		if err != nil {
			s.options.Log.Warn("failed to remove the journals of former members", "epoch", t.Epoch, "error", err)
		} else if remaining == 0 {
			return
		}
		pause = min(2*pause, maxSweepInterval)
	}
}

// removeFormerSegments deletes the segments of former members whose programs all
// have a head of a later epoch in the journal of a member, or are past their
// retention. It returns the number of segments that must stay.
func (s *Service) removeFormerSegments(ctx context.Context, t Topology) (int, error) {
	entries, err := s.listSegments(ctx)
	if err != nil {
		return 0, err
	}
	memberVersions := map[program.ID]program.Version{}
	formerSegments := map[string][]program.Record{}
	versions := map[string]store.Version{}
	for _, e := range entries {
		host, incarnation, ok := journalOwner(e.Key)
		records, err := decodeSegment(e.Value)
		if !ok || err != nil {
			continue
		}
		if m, member := t.Member(host); !member || m.Incarnation != incarnation {
			formerSegments[e.Key] = records
			versions[e.Key] = e.Version
			continue
		}
		for _, r := range records {
			memberVersions[r.ID] = max(memberVersions[r.ID], r.Version)
		}
	}
	cutoff := s.options.Clock.Now().Add(-s.options.Retention)
	remaining := 0
	for key, records := range formerSegments {
		needed := slices.ContainsFunc(records, func(r program.Record) bool {
			expired := r.ID.IsHead() && !r.Expiry.IsZero() && r.Expiry.Before(cutoff)
			head := memberVersions[program.ID{Root: r.ID.Root}]
			return !expired && head.Epoch() <= r.Version.Epoch()
		})
		if needed {
			remaining++
			continue
		}
		_ = s.options.Store.Delete(ctx, key, versions[key]) // fails if another member has deleted it
	}
	return remaining, nil
}

// HandleReplicate keeps copies of records that another host owns.
func (s *Service) HandleReplicate(_ context.Context, r *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	records := make([]program.Record, len(r.GetRecords()))
	for i, p := range r.GetRecords() {
		var err error
		if records[i], err = fromPeer(p); err != nil {
			return nil, err
		}
	}
	// A sender in a newer epoch is accepted: a takeover in that epoch fetches
	// the records of this host later. The epoch is checked again after the
	// write, because a takeover may have read the copies in between.
	if err := s.checkEpoch(r.GetSender(), false); err != nil {
		return nil, err
	}
	if err := s.replicas.persist(records); err != nil {
		return nil, err
	}
	if err := s.checkEpoch(r.GetSender(), false); err != nil {
		return nil, err
	}
	return &peerpb.ReplicateResponse{Sender: s.currentTopology().sender(), OnDisk: s.options.Disk != nil}, nil
}

// checkEpoch fails if the sender is in an older epoch than this host or, with
// exact, in any other epoch. It also fails until this host has joined and loaded
// its replicas.
func (s *Service) checkEpoch(sender *peerpb.Sender, exact bool) error {
	own := s.epoch.Load()
	if sender.GetEpoch() < own || exact && sender.GetEpoch() != own || own == 0 {
		return fmt.Errorf("%w: host %s is in epoch %d, this host in epoch %d", ErrStaleEpoch, sender.GetHost(), sender.GetEpoch(), own)
	}
	if !s.replicasLoaded.Load() {
		return errNotLoaded
	}
	return nil
}

// HandleFetchRecords sends the copies of the requested shards, or of all shards
// if none is requested.
func (s *Service) HandleFetchRecords(_ context.Context, r *peerpb.FetchRecordsRequest, send func(*peerpb.FetchRecordsResponse) error) error {
	if err := s.checkEpoch(r.GetSender(), true); err != nil {
		return err
	}
	wanted := newShardSet(r.GetShards())
	records := s.replicas.list(func(n model.Shard) bool { return len(wanted) == 0 || wanted[n] })
	for _, batch := range batches(records, maxMessageBytes) {
		m := &peerpb.FetchRecordsResponse{}
		for _, one := range batch {
			m.Records = append(m.Records, toPeer(program.ShardOf(one.ID.Root), []program.Record{one})...)
		}
		if err := send(m); err != nil {
			return err
		}
	}
	return nil
}

func newShardSet(numbers []uint32) map[model.Shard]bool {
	out := make(map[model.Shard]bool, len(numbers))
	for _, n := range numbers {
		out[model.Shard(n)] = true
	}
	return out
}

// HandleTakeShards hands over the programs of shards that this host no longer
// owns. Programs that are busy stay and are listed as such. The records of
// the others become replicas, which HandleFetchRecords sends.
func (s *Service) HandleTakeShards(_ context.Context, r *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	if err := s.checkEpoch(r.GetSender(), true); err != nil {
		return nil, err
	}
	wanted := newShardSet(r.GetShards())
	out := &peerpb.TakeShardsResponse{Sender: s.currentTopology().sender()}
	for _, e := range s.listEntries() {
		if !wanted[e.shard] {
			continue
		}
		if s.currentTopology().Owner(e.shard) == s.currentTopology().Self {
			return nil, fmt.Errorf("%w: shard %d belongs to this host", ErrStaleEpoch, e.shard)
		}
		handed, err := s.handOver(e)
		if err != nil {
			return nil, err
		}
		if !handed {
			out.Busy = append(out.Busy, &peerpb.Record{
				Shard:     uint32(e.shard),
				Workspace: string(e.root.Workspace),
				Program:   string(e.root.Program),
			})
		}
	}
	return out, nil
}

// handOver turns a program into a replica. It returns false if the program is busy.
func (s *Service) handOver(e *entry) (bool, error) {
	e.mu.Lock()
	if e.tree == nil || e.removed {
		e.mu.Unlock()
		s.removeEntry(e)
		return true, nil
	}
	if e.isBusy() {
		e.mu.Unlock()
		return false, nil
	}
	records, err := e.encodeAll()
	if err != nil {
		e.mu.Unlock()
		return false, err
	}
	s.replicas.keep(records)
	e.removed = true
	e.notify()
	e.mu.Unlock()
	s.removeEntry(e)
	return true, nil
}

// encodeAll encodes the whole tree. The caller must hold e.mu.
func (e *entry) encodeAll() ([]program.Record, error) {
	var out []program.Record
	for _, id := range e.tree.ContentIDs() {
		rs, err := e.tree.Contents(id)
		if err != nil {
			return nil, err
		}
		out = append(out, rs...)
	}
	if e.tree.Version == 0 {
		return out, nil // nothing was ever committed
	}
	head, err := e.tree.Head()
	return append(out, head), err
}
