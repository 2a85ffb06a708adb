// Package release frees the cache memory that engines hold for programs that
// ended, expired or lost their caller. The memory of a program is released when the
// program ends, and by a periodic sweep that compares the reports of the engines
// with the live programs.
//
// Each engine is swept by one host, the Sweeper of core/release. It releases a
// program only if the program is not live at any host, and releases nothing while
// the live programs of any host are unknown. So it never frees the memory of a
// program that is live at another host or is being taken over. The memory of an
// ended program is free within two sweep intervals, 20 s, after the end of the
// program and of its last stream at the engine, provided that the engine answers,
// its reports are less than 10 s late and at most one release fails. Memory of
// calls outside programs is left to the engine.
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

// Engines reads and frees the cache memory of engines.
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
	// Hosts returns the live members. It returns the same at all hosts in an epoch.
	Hosts func() []model.HostID
	// Snapshot returns the current configuration.
	Snapshot func() *config.Snapshot
	// Live returns the programs that are live at any host, all fetched after the
	// start of the call. It returns nil if a host did not answer or a shard has no
	// owner that has loaded its programs, and an empty map if the fleet has no
	// programs.
	Live func() map[model.ProgramKey]bool
	// Interval is the time between two sweeps; 0 means 10 s, a third of the 30 s
	// within which memory must be freed.
	Interval time.Duration
	// Timeout limits one request to an engine; 0 means 2 s.
	Timeout time.Duration
	Clock   clockwork.Clock
	Log     *slog.Logger
}

// Service frees engine memory. It is safe for concurrent use.
//
// Lock order: mu is the only lock. None of the Options is called with it held
// except Clock and Log.
type Service struct {
	options Options
	wake    chan struct{}

	mu               sync.Mutex
	enginesByProgram map[model.ProgramKey][]model.TargetID // engines that ran calls of live programs
	pending          []pendingRelease                      // releases to send
	lastSweep        time.Time
	freed            int64 // number of blocks
	failed           int64 // number of releases
}

// pendingRelease is the release of one program's memory at one engine.
type pendingRelease struct {
	target  model.TargetID
	program model.ProgramKey
}

// New returns a Service. It releases nothing unless Run is running.
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
	return &Service{options: o, wake: make(chan struct{}, 1), enginesByProgram: map[model.ProgramKey][]model.TargetID{}}
}

// RecordUse records that a target runs a call of a program.
func (s *Service) RecordUse(key model.ProgramKey, t model.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.enginesByProgram[key], t) {
		s.enginesByProgram[key] = append(s.enginesByProgram[key], t)
	}
}

// ReleaseProgram schedules the release of a program's memory at the targets that
// RecordUse recorded. The program must have no open calls there. It does not
// block. Memory at other engines, and memory whose release fails, is left to the
// sweep.
func (s *Service) ReleaseProgram(key model.ProgramKey) {
	s.mu.Lock()
	for _, t := range s.enginesByProgram[key] {
		s.pending = append(s.pending, pendingRelease{target: t, program: key})
	}
	delete(s.enginesByProgram, key)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ForgetProgram drops the records of a program that is now owned by another host.
func (s *Service) ForgetProgram(key model.ProgramKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.enginesByProgram, key)
}

// Run sends the scheduled releases and sweeps until ctx ends.
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
			s.releasePending(ctx, pool)
		case <-tick.Chan():
			s.releasePending(ctx, pool)
			s.sweep(ctx, pool)
		}
	}
}

// releasePending sends the releases that ReleaseProgram scheduled and waits for
// them.
func (s *Service) releasePending(ctx context.Context, pool pond.Pool) {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	snapshot := s.options.Snapshot()
	group := pool.NewGroup()
	for _, p := range pending {
		if t, ok := snapshot.Target(p.target); ok {
			group.Submit(func() { s.release(ctx, t, p.program) })
		}
	}
	_ = group.Wait() // the tasks return no error
}

// engineReport holds the programs that use memory at one engine.
type engineReport struct {
	target  config.Target
	entries []release.Entry
}

// sweep releases the memory of ended programs at the engines that this host
// sweeps. It fetches the live programs after the reports, as release.Plan
// requires.
func (s *Service) sweep(ctx context.Context, pool pond.Pool) {
	hosts := s.options.Hosts()
	var mu sync.Mutex
	var reports []engineReport
	group := pool.NewGroup()
	for _, t := range s.options.Snapshot().Document().Targets {
		if t.Kind != config.Engine || release.Sweeper(t.Name, hosts) != s.options.Host {
			continue
		}
		group.Submit(func() {
			entries, err := s.fetchReport(ctx, t)
			if err != nil {
				s.options.Log.Warn("failed to read the memory report of the engine", "target", t.Name, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, engineReport{target: t, entries: entries})
		})
	}
	_ = group.Wait()
	if len(reports) == 0 {
		return
	}
	live := s.options.Live()
	if live == nil {
		s.options.Log.Warn("skipped the sweep of engine memory because the live programs are unknown")
		return
	}
	s.releaseEnded(ctx, pool, reports, live)
	s.mu.Lock()
	s.lastSweep = s.options.Clock.Now()
	s.mu.Unlock()
}

func (s *Service) releaseEnded(ctx context.Context, pool pond.Pool, reports []engineReport, live map[model.ProgramKey]bool) {
	group := pool.NewGroup()
	for _, r := range reports {
		for _, key := range release.Plan(r.entries, live) {
			group.Submit(func() { s.release(ctx, r.target, key) })
		}
	}
	_ = group.Wait()
}

func (s *Service) fetchReport(ctx context.Context, t config.Target) ([]release.Entry, error) {
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
		s.options.Log.Warn("failed to release the engine memory of the program", "target", t.Name, "workspace", key.Workspace, "program", key.Program, "error", err)
		return
	}
	s.freed += int64(n)
}

// Dump returns the state as shown to operators.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Programs int
		Orders   int
		Swept    time.Time
		Freed    int64
		Failed   int64
	}{Programs: len(s.enginesByProgram), Orders: len(s.pending), Swept: s.lastSweep, Freed: s.freed, Failed: s.failed}
}
