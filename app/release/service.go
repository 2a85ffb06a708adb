// Package release frees the engine memory of programs that ended, expired or
// lost their caller: by command at the end of a program, and by a sweep that
// compares what engines report with the programs that live.
//
// One host, release.Sweeper of the target, sweeps a target. It releases a
// program only if no host knows it as live, and nothing at all while that is
// not known for the whole fleet. So it frees no memory of a program that lives
// at another host or is being taken over. The memory of a program that ended is
// free within two sweep intervals, 20 s, of the end of the program and of its
// last stream at the engine, if the engine answers, its reports lag by less
// than 10 s and at most one release fails. Memory of calls outside programs
// belongs to no program and is left to the engine.
package release

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/jonboulle/clockwork"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/release"
)

// Engines reads and frees cache memory.
type Engines interface {
	Programs(ctx context.Context, t config.Target) ([]release.Entry, error)
	Release(ctx context.Context, t config.Target, program string) (int, error)
}

// Defaults of Options.
const (
	defaultInterval = 10 * time.Second
	defaultTimeout  = 2 * time.Second
	defaultWorkers  = 8
)

// Options configures a Service. Zero values mean the defaults.
type Options struct {
	Host    model.HostID
	Engines Engines
	// Hosts returns the live members, the same at all hosts of an epoch.
	Hosts func() []model.HostID
	// Snapshot returns the current configuration.
	Snapshot func() *config.Snapshot
	// Live returns the programs that live at any host, asked for after the
	// call began. It returns nil if a host did not answer or a shard has no
	// owner that has loaded its programs; a fleet without programs is an
	// empty map.
	Live func() map[model.ProgramKey]bool
	// Interval is the time between two sweeps; 0 means 10 s, a third of the
	// bound of 30 s on freeing memory.
	Interval time.Duration
	// Timeout bounds one exchange with an engine; 0 means 2 s.
	Timeout time.Duration
	Clock   clockwork.Clock
	Log     *slog.Logger
}

// Service frees engine memory. It is safe for concurrent use.
//
// Lock order: mu is the only lock, and no port is called with it held.
type Service struct {
	options Options
	wake    chan struct{}

	mu     sync.Mutex
	used   map[model.ProgramKey][]model.TargetID // engines that ran calls of live programs
	orders []order                               // releases to carry out
	swept  time.Time
	freed  int64 // blocks
	failed int64 // releases
}

// order is one release.
type order struct {
	target  model.TargetID
	program model.ProgramKey
}

// New returns a Service. Run must run.
func New(o Options) *Service {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	return &Service{options: o, wake: make(chan struct{}, 1), used: map[model.ProgramKey][]model.TargetID{}}
}

// RecordUse records that an engine runs a call of a program.
func (s *Service) RecordUse(key model.ProgramKey, t model.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.used[key], t) {
		s.used[key] = append(s.used[key], t)
	}
}

// ReleaseProgram releases the memory of a program that has no open call at the engines
// recorded by RecordUse. It does not block. What it misses is left to the sweep.
func (s *Service) ReleaseProgram(key model.ProgramKey) {
	s.mu.Lock()
	for _, t := range s.used[key] {
		s.orders = append(s.orders, order{target: t, program: key})
	}
	delete(s.used, key)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Moved forgets a program that another host owns now.
func (s *Service) Moved(key model.ProgramKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.used, key)
}

// Run carries out releases and sweeps until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	pool := pond.NewPool(defaultWorkers)
	defer pool.StopAndWait()
	tick := s.options.Clock.NewTicker(s.options.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
			s.carryOut(ctx, pool)
		case <-tick.Chan():
			s.carryOut(ctx, pool)
			s.sweep(ctx, pool)
		}
	}
}

// carryOut releases what ReleaseProgram asked for and waits for it.
func (s *Service) carryOut(ctx context.Context, pool pond.Pool) {
	s.mu.Lock()
	list := s.orders
	s.orders = nil
	s.mu.Unlock()
	snapshot := s.options.Snapshot()
	group := pool.NewGroup()
	for _, o := range list {
		if t, ok := snapshot.Target(o.target); ok {
			group.Submit(func() { s.release(ctx, t, o.program) })
		}
	}
	_ = group.Wait() // the tasks return no error
}

// report is what one engine holds.
type report struct {
	target  config.Target
	entries []release.Entry
}

// sweep fetches the reports first and the live programs after them, as
// release.Plan requires.
func (s *Service) sweep(ctx context.Context, pool pond.Pool) {
	hosts := s.options.Hosts()
	var mu sync.Mutex
	var reports []report
	group := pool.NewGroup()
	for _, t := range s.options.Snapshot().Document().Targets {
		if t.Kind != config.Engine || release.Sweeper(t.Name, hosts) != s.options.Host {
			continue
		}
		group.Submit(func() {
			entries, err := s.fetch(ctx, t)
			if err != nil {
				s.options.Log.Warn("no report of engine memory", "target", t.Name, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, report{target: t, entries: entries})
		})
	}
	_ = group.Wait()
	if len(reports) == 0 {
		return
	}
	live := s.options.Live()
	if live == nil {
		s.options.Log.Warn("engine memory not swept, because the live programs are not known")
		return
	}
	s.releaseDead(ctx, pool, reports, live)
	s.mu.Lock()
	s.swept = s.options.Clock.Now()
	s.mu.Unlock()
}

func (s *Service) releaseDead(ctx context.Context, pool pond.Pool, reports []report, live map[model.ProgramKey]bool) {
	group := pool.NewGroup()
	for _, r := range reports {
		for _, key := range release.Plan(r.entries, live) {
			group.Submit(func() { s.release(ctx, r.target, key) })
		}
	}
	_ = group.Wait()
}

func (s *Service) fetch(ctx context.Context, t config.Target) ([]release.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	return s.options.Engines.Programs(ctx, t)
}

func (s *Service) release(ctx context.Context, t config.Target, key model.ProgramKey) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	n, err := s.options.Engines.Release(ctx, t, release.Name(key))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		s.options.Log.Warn("engine memory not released", "target", t.Name, "workspace", key.Workspace, "program", key.Program, "error", err)
		return
	}
	s.freed += int64(n)
}

// Dump returns the state for operators.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Programs int
		Orders   int
		Swept    time.Time
		Freed    int64
		Failed   int64
	}{Programs: len(s.used), Orders: len(s.orders), Swept: s.swept, Freed: s.freed, Failed: s.failed}
}
