// Package programs runs the programs of the shards that a host owns. It commits
// each change to peers in two other zones or to the store, loads the programs of
// shards that the host gains, and hands over those of shards that it loses.
package programs

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/jonboulle/clockwork"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/core/store"
)

// Defaults of Options, and intervals of background work.
const (
	defaultOrderWait  = 10 * time.Second
	defaultCommitWait = 3 * time.Second // a store slower than 1 s counts as down; the rest is for fallback peers
	defaultPeerWait   = time.Second
	retryInterval     = 100 * time.Millisecond // of an incomplete takeover or drain
	defaultLifetime   = 24 * time.Hour         // a program that is never ended would be kept forever
	defaultRetention  = time.Hour              // callers may ask for history and outcomes this long after the end
	defaultWorkers    = 64                     // concurrent replication requests to peers
	sweepInterval     = time.Second
)

// Options configures a Service. Store, Peers, MayAct and Clock are required.
type Options struct {
	Store  store.Store
	Peers  Peers
	Clock  clockwork.Clock
	MayAct func() bool // reports whether this host may run calls now
	Disk   Disk        // nil: replicas are kept in memory only
	// Budget returns the limits of a new program. If it is nil, or a field of
	// its result is zero, there is no limit, except that Lifetime defaults to
	// 24 h.
	Budget     func(model.WorkspaceID) program.Budget
	Log        *slog.Logger
	OrderWait  time.Duration // longest wait for earlier calls of a program; 0: 10 s
	CommitWait time.Duration // longest wait for a commit; 0: 3 s
	PeerWait   time.Duration // timeout of one request to a peer; 0: 1 s
	Retention  time.Duration // how long an ended program is kept; 0: 1 h
	Workers    int           // concurrent replication requests; 0: 64
}

func (o *Options) setDefaults() {
	o.OrderWait = cmp.Or(o.OrderWait, defaultOrderWait)
	o.CommitWait = cmp.Or(o.CommitWait, defaultCommitWait)
	o.PeerWait = cmp.Or(o.PeerWait, defaultPeerWait)
	o.Retention = cmp.Or(o.Retention, defaultRetention)
	o.Workers = cmp.Or(o.Workers, defaultWorkers)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Budget == nil {
		o.Budget = func(model.WorkspaceID) program.Budget { return program.Budget{} }
	}
}

// entry holds a tree that this host owns, and the state of its commits.
type entry struct {
	root  model.ProgramKey
	shard model.Shard

	mu         sync.Mutex
	tree       *program.Tree
	recordsErr error         // the records of the tree are incomplete
	removed    bool          // no longer in Service.entries; the tree must not be changed
	changed    chan struct{} // closed and replaced at each change
	committed  program.Version
	// Content that peers in two zones, or the store, have not confirmed yet.
	peersPending      map[program.ContentID]bool
	storePending      map[program.ContentID]bool
	replicaGeneration int // incremented when all content becomes pending again
	endNotified       map[model.ProgramID]bool
	// Commits of ended calls that callers wait for. The program stays at this host
	// until they have ended, because a commit fails once the program has moved.
	awaitedCommits int
}

// isBusy reports whether the program must stay at this host. The caller must hold
// e.mu, and e.tree must not be nil.
func (e *entry) isBusy() bool { return e.awaitedCommits > 0 || e.tree.Busy() }

// Service runs the programs of the shards that a host owns. Lock order:
// Service.mu, then entry.mu, then replicaSet.mu, then journal.mu. No lock is held
// during I/O, except that replicaSet.mu is held while io/disk starts or compacts
// a segment.
type Service struct {
	options        Options
	pool           pond.Pool
	journal        *journal
	replicas       *replicaSet
	ctx            context.Context
	cancel         context.CancelFunc
	replicasLoaded atomic.Bool    // the replicas in the data folder have been read
	wg             sync.WaitGroup // background goroutines
	epoch          atomic.Uint64  // of topology; may be read while entry.mu is held

	mu             sync.Mutex
	topology       Topology
	changed        chan struct{}             // closed and replaced when the fields below change
	ready          map[model.Shard]bool      // owned shards whose programs are loaded
	busyElsewhere  map[model.ProgramKey]bool // root programs with a running call at the previous owner
	entries        map[model.ProgramKey]*entry
	rootOf         map[model.ProgramKey]model.ProgramKey // root program of each sub-agent
	cancelTakeover context.CancelFunc
	draining       bool
	onEnd          []func(model.ProgramKey)
}

// New returns a service that owns no shards until EpochChanged is called. The
// caller must call Run, and finally Close.
func New(o Options) *Service {
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		options:        o,
		pool:           pond.NewPool(o.Workers),
		journal:        newJournal(o.Store, o.Clock, o.Log),
		replicas:       newReplicaSet(o.Disk),
		ctx:            ctx,
		cancel:         cancel,
		changed:        make(chan struct{}),
		ready:          map[model.Shard]bool{},
		busyElsewhere:  map[model.ProgramKey]bool{},
		entries:        map[model.ProgramKey]*entry{},
		rootOf:         map[model.ProgramKey]model.ProgramKey{},
		cancelTakeover: func() {},
	}
}

// Run loads the replicas from the data folder. It then writes the journal and
// ends programs whose lifetime has passed, until ctx ends or Close is called.
func (s *Service) Run(ctx context.Context) error {
	if err := s.replicas.load(); err != nil {
		return err
	}
	s.replicasLoaded.Store(true)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	s.background(func() { s.journal.run(ctx) })
	tick := s.options.Clock.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
			s.sweep()
		}
	}
}

// Close stops all background work and waits for it.
func (s *Service) Close() {
	s.cancel()
	s.mu.Lock()
	s.cancelTakeover()
	s.mu.Unlock()
	s.wg.Wait()
	s.pool.StopAndWait()
}

// background runs f in a goroutine that Close waits for.
func (s *Service) background(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backgroundLocked(f)
}

// backgroundLocked is background for callers that hold s.mu.
func (s *Service) backgroundLocked(f func()) {
	if s.ctx.Err() == nil {
		s.wg.Go(f)
	}
}

// sweep ends programs whose lifetime has passed and drops programs whose
// retention has passed.
func (s *Service) sweep() {
	now := s.options.Clock.Now()
	cutoff := now.Add(-s.options.Retention)
	for _, e := range s.listEntries() {
		e.mu.Lock()
		if e.tree == nil || e.removed {
			e.mu.Unlock()
			continue
		}
		unused := e.tree.Version == 0 && len(e.tree.Programs) == 0 // never admitted a call
		lifetimePassed := !unused && e.tree.Closed(now) && e.tree.EndedAt.IsZero()
		retentionPassed := !e.tree.EndedAt.IsZero() && e.tree.EndedAt.Before(cutoff) && !e.tree.Busy()
		removable := unused || retentionPassed
		if lifetimePassed {
			e.tree.End("lifetime", now)
			s.advanceVersion(e)
		}
		if removable {
			e.removed = true
			e.notify()
		}
		e.mu.Unlock()
		if lifetimePassed {
			s.background(func() { _ = s.commit(s.ctx, e) })
			s.notifyEnded(e)
		}
		if removable {
			s.removeEntry(e)
			s.journal.removeProgram(e.root)
		}
	}
	if err := s.replicas.expire(cutoff); err != nil {
		s.options.Log.Warn("failed to delete expired replicas from the data folder", "error", err)
	}
}

func (s *Service) listEntries() []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	return out
}

// removeEntry removes an entry from the tables of the service.
func (s *Service) removeEntry(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.root] != e {
		return
	}
	delete(s.entries, e.root)
	for k, r := range s.rootOf {
		if r == e.root {
			delete(s.rootOf, k)
		}
	}
}

// notify wakes all goroutines that wait for a change of the entry. The caller
// must hold e.mu.
func (e *entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// notifyTables wakes all goroutines that wait for a change of the service's
// tables. The caller must hold s.mu.
func (s *Service) notifyTables() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// notifyEnded calls the OnEnd functions for each program of the tree that has
// ended and has no open call, once per program.
func (s *Service) notifyEnded(e *entry) {
	now := s.options.Clock.Now()
	e.mu.Lock()
	var keys []model.ProgramKey
	for id := range e.tree.Programs {
		if e.endNotified[id] || !e.tree.Ended(id, now) {
			continue
		}
		e.endNotified[id] = true
		keys = append(keys, model.ProgramKey{Workspace: e.root.Workspace, Program: id})
	}
	e.mu.Unlock()
	s.mu.Lock()
	callbacks := s.onEnd
	s.mu.Unlock()
	for _, k := range keys {
		for _, f := range callbacks {
			f(k)
		}
	}
}
