// Package programs keeps the programs of the shards that a host owns. It
// commits each change to two peers or to the store, takes shards over and hands
// them over.
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

// Defaults of Options.
const (
	defaultOrderWait  = 10 * time.Second
	defaultCommitWait = 3 * time.Second // a slow store counts as down after 1 s; leaves room for fallback peers
	defaultPeerWait   = time.Second
	retryInterval     = 100 * time.Millisecond
	defaultLifetime   = 24 * time.Hour // records without an end would be kept forever
	defaultRetention  = time.Hour      // a caller may ask for the history and outcomes this long after the end
	defaultWorkers    = 64             // concurrent replication requests to peers
	sweepInterval     = time.Second
)

// Options configure a Service. Store, Peers, MayAct and Clock are required.
type Options struct {
	Store  store.Store
	Peers  Peers
	Clock  clockwork.Clock
	MayAct func() bool
	Disk   Disk // nil: replicas stay in memory
	// Budget returns the bounds of a new program. Nil, or a zero field, means
	// no bound, except that Lifetime defaults to 24 h.
	Budget     func(model.WorkspaceID) program.Budget
	Log        *slog.Logger
	OrderWait  time.Duration // wait for predecessors; 0: 10 s
	CommitWait time.Duration // longest wait for a commit; 0: 3 s
	PeerWait   time.Duration // time-out of one request to a peer; 0: 1 s
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

// entry is a tree that this host owns.
type entry struct {
	root  model.ProgramKey
	shard model.Shard

	mu         sync.Mutex
	tree       *program.Tree
	recordsErr error         // the records of the tree are incomplete
	gone       bool          // handed over or dropped; holders must not change the tree
	changed    chan struct{} // closed and replaced at each change
	committed  program.Version
	// Content that the peers, or the store, have not confirmed yet.
	peersPending      map[program.ContentID]bool
	storePending      map[program.ContentID]bool
	replicaGeneration int // grows when peersLack is filled again
	endNotified       map[model.ProgramID]bool
}

// Service owns the programs of a host. Lock order: Service.mu, then entry.mu,
// then replicas.mu, then journal.mu. No lock is held during I/O, except that
// replicas.mu waits while io/disk starts or compacts a segment.
type Service struct {
	options        Options
	pool           pond.Pool
	journal        *journal
	replicas       *replicaSet
	ctx            context.Context
	cancel         context.CancelFunc
	replicasLoaded atomic.Bool    // the data folder was read
	wg             sync.WaitGroup // background goroutines
	epoch          atomic.Uint64  // of topology; readable under entry.mu

	mu             sync.Mutex
	topology       Topology
	changed        chan struct{} // closed and replaced when the fields below change
	ready          map[model.Shard]bool
	busyElsewhere  map[model.ProgramKey]bool // roots with a running call at the previous owner
	entries        map[model.ProgramKey]*entry
	rootOf         map[model.ProgramKey]model.ProgramKey // sub-agents
	cancelTakeover context.CancelFunc
	draining       bool
	onEnd          []func(model.ProgramKey)
}

// New returns a service that owns nothing until EpochChanged. The caller must
// call Run, and Close at the end.
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

// Run loads the data folder, writes the journal and ends programs at their
// lifetime, until ctx ends or Close is called.
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

// spawn is background for holders of s.mu.
func (s *Service) backgroundLocked(f func()) {
	if s.ctx.Err() == nil {
		s.wg.Go(f)
	}
}

// sweep ends programs at their lifetime and drops those past retention.
func (s *Service) sweep() {
	now := s.options.Clock.Now()
	cutoff := now.Add(-s.options.Retention)
	for _, e := range s.listEntries() {
		e.mu.Lock()
		if e.tree == nil || e.gone {
			e.mu.Unlock()
			continue
		}
		unused := e.tree.Version == 0 && len(e.tree.Programs) == 0 // its only call was rejected
		lifetimePassed := !unused && e.tree.Closed(now) && e.tree.EndedAt.IsZero()
		retentionPassed := !e.tree.EndedAt.IsZero() && e.tree.EndedAt.Before(cutoff) && !e.tree.Busy()
		removable := unused || retentionPassed
		if lifetimePassed {
			e.tree.End("lifetime", now)
			s.advanceVersion(e)
		}
		if removable {
			e.gone = true
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
		s.options.Log.Warn("expired copies not deleted from the data folder", "Error", err)
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

// drop removes an entry from the tables.
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

// notify wakes everything that waits for a change. Needs e.mu.
func (e *entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// signal wakes everything that waits for a change of the tables. Needs s.mu.
func (s *Service) notifyTables() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// tellEnd calls the OnEnd functions once for each program that has ended and
// has no open call.
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
