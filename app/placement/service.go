// Package placement bounds the calls in flight per target, queues the calls
// that wait and chooses their targets.
//
// The bound MaxInFlight of a target holds for the fleet. Each live host uses
// the part that placement.Part gives it for its view of the membership. In a
// stable membership, in which all hosts have the same view, the parts add up
// to the bound, so that it is never exceeded. While the membership changes, a
// host lowers its part at once and raises it only after the change is
// ChangeDelay old. The bound may be exceeded by the part of a host that joined
// until the others know of it, and by calls that were admitted under a larger
// part until they end.
//
// With a bound below the number of hosts, some hosts have no part of a target.
// A host whose waiting calls can run nowhere else borrows single places from a
// host that has a part, see Lenders. The lender counts a place as used from
// before it answers until the borrower has given it back or is no longer a
// member, so that a loan never raises the sum. A loan that is not given back
// for 15 minutes, because the borrower restarted, ends too; only a call that
// takes longer than that in a borrowed place is not counted. Moving parts between hosts on demand, with the escrow
// of section 7.3 of the design, is a later step.
package placement

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// Place is one call's right to run at a target.
type Place interface {
	Target() config.Target
	// Release ends the call's use of the target. Only the first release has
	// an effect.
	Release(u placement.Usage)
}

// LoadSource asks targets for their load.
type LoadSource interface {
	Load(ctx context.Context, t config.Target) (placement.Load, error)
}

// Prober says whether a target accepts a new connection.
type Prober interface {
	Reachable(ctx context.Context, address string) bool
}

// Defaults of Options.
const (
	defaultQueueWait    = 30 * time.Second
	defaultPollInterval = 500 * time.Millisecond
	// defaultChangeDelay exceeds the lease of a host, so that a removed host
	// can no longer act when others take over its part.
	defaultChangeDelay = 4 * time.Second
)

// Options configures a Service. Zero values mean the defaults.
type Options struct {
	// Host is this host.
	Host model.HostID
	// Hosts returns the members that are not leaving; the same at all hosts
	// of an epoch. It must not call the Service.
	Hosts func() []model.HostID
	// Snapshot returns the current configuration. It must not call the
	// Service.
	Snapshot func() *config.Snapshot
	// Loads is nil if targets report no load.
	Loads LoadSource
	// Prober is nil if failed targets are tried again without a probe.
	Prober Prober
	// Lenders is nil if hosts without a part of a target do not use it.
	Lenders Lenders
	Policy  placement.Options
	// MinHostLimit is the number of places that this host has at each target in any
	// case. It may be set where targets refuse what exceeds their queue without
	// running it, so that MaxInFlight need not hold at every moment. 0 for other
	// targets.
	MinHostLimit int
	// QueueWait is how long a call waits for a target; 0 means 30 s.
	QueueWait time.Duration
	// PollInterval is the time between two load reports of a target; 0 means
	// 500 ms.
	PollInterval time.Duration
	// ChangeDelay is how long a raised part waits; 0 means 4 s.
	ChangeDelay time.Duration
	Clock       clockwork.Clock
	Log         *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.QueueWait == 0 {
		o.QueueWait = defaultQueueWait
	}
	if o.PollInterval == 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.ChangeDelay == 0 {
		o.ChangeDelay = defaultChangeDelay
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	return o
}

// Service places the calls of one host. It is safe for concurrent use.
//
// Lock order: mu is the only lock. Snapshot and Hosts are called with it held;
// no other port is.
type Service struct {
	options Options
	wake    chan struct{} // a target waits for a probe

	mu        sync.Mutex
	scheduler *placement.Scheduler
	next      placement.CallID
	waiters   map[placement.CallID]chan config.Target
	snapshot  *config.Snapshot
	views     views
	health    map[model.TargetID]*health
	targets   []placement.Target // of the snapshot; Limit is the part of this host
	loans     loans
}

// New returns a Service. Run must run for load reports and probes.
func New(o Options) *Service {
	o = o.withDefaults()
	return &Service{
		options:   o,
		wake:      make(chan struct{}, 1),
		scheduler: placement.NewScheduler(o.Policy),
		waiters:   map[placement.CallID]chan config.Target{},
		views:     views{delay: o.ChangeDelay},
		health:    map[model.TargetID]*health{},
		loans:     newLoans(),
	}
}

// Acquire waits until the call may run at a target. It fails with a
// *model.Refusal that says that the call did not run: at once if no target
// serves the call, after QueueWait, or when ctx ends.
func (s *Service) Acquire(ctx context.Context, r placement.Request) (Place, error) {
	id, granted, err := s.enqueue(r)
	if err != nil {
		return nil, err
	}
	timer := s.options.Clock.NewTimer(s.options.QueueWait)
	defer timer.Stop()
	var reason string
	select {
	case t := <-granted:
		return &place{service: s, id: id, target: t}, nil
	case <-timer.Chan():
		reason = "no target became free in time"
	case <-ctx.Done():
		reason = "the caller stopped waiting for a target"
	}
	if t, ok := s.withdraw(id, granted); ok {
		p := &place{service: s, id: id, target: t}
		if ctx.Err() == nil {
			return p, nil
		}
		p.Release(placement.Usage{})
	}
	return nil, s.noPlace(reason, r)
}

// noPlace refuses a call with the places that this host has, which tells a host
// without places from busy targets.
func (s *Service) noPlace(reason string, r placement.Request) *model.Refusal {
	s.mu.Lock()
	room := s.scheduler.Capacity(r)
	s.mu.Unlock()
	return unavailable(fmt.Sprintf("%s: %d targets, %d places of this host, %d taken, %d calls waiting",
		reason, room.Targets, room.Places, room.Taken, room.Waiting))
}

// retryAfter is the advice to callers whose call found no target.
const retryAfter = time.Second

func unavailable(reason string) *model.Refusal {
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "%s", reason).Retry(retryAfter)
}

func (s *Service) enqueue(r placement.Request) (placement.CallID, chan config.Target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.refresh(now)
	s.next++
	id := s.next
	granted := make(chan config.Target, 1)
	s.waiters[id] = granted
	grants, err := s.scheduler.Add(now, id, r)
	if err != nil {
		delete(s.waiters, id)
		if errors.Is(err, placement.ErrNoTarget) {
			return 0, nil, unavailable("no target in use serves the call")
		}
		return 0, nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "place the call: %v", err)
	}
	s.deliver(now, grants)
	return id, granted, nil
}

// withdraw ends the wait of a call. If the call was granted a target
// meanwhile, it returns that target.
func (s *Service) withdraw(id placement.CallID, granted chan config.Target) (config.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler.Cancel(id) {
		delete(s.waiters, id)
		return config.Target{}, false
	}
	return <-granted, true // buffered, and filled when the call left the queue
}

// deliver hands granted targets to their callers.
func (s *Service) deliver(now time.Time, grants []placement.Grant) {
	for len(grants) > 0 {
		g := grants[0]
		grants = grants[1:]
		t, ok := s.snapshot.Target(g.Target)
		if !ok { // the scheduler has the targets of this snapshot
			s.options.Log.Error("granted target is not configured", "target", g.Target)
			grants = append(grants, s.scheduler.Release(now, g.Call, placement.Usage{})...)
			continue
		}
		delete(s.loans.ownTurn, g.Target)
		s.waiters[g.Call] <- t
		delete(s.waiters, g.Call)
	}
}

// refresh takes over a change of the configuration or the membership.
func (s *Service) refresh(now time.Time) {
	snapshot := s.options.Snapshot()
	changed := s.views.update(now, s.options.Hosts())
	if snapshot == s.snapshot && !changed {
		return
	}
	s.snapshot = snapshot
	document := snapshot.Document()
	for _, w := range document.Workspaces {
		s.scheduler.SetWeight(w.Name, w.FairWeight())
	}
	s.loans.forgetHosts(s.views.known)
	s.targets = s.targets[:0]
	list := make([]placement.Target, 0, len(document.Targets))
	for _, t := range document.Targets {
		x := s.target(t)
		s.targets = append(s.targets, x)
		x.Limit = s.limit(t, x.Limit, now)
		list = append(list, x)
	}
	s.deliver(now, s.scheduler.SetTargets(now, list))
}

func (s *Service) target(t config.Target) placement.Target {
	x := placement.Target{ID: t.Name, Models: t.Models}
	if !t.Leaving {
		x.Limit = max(s.views.part(s.options.Host, t.Name, t.MaxInFlight), s.options.MinHostLimit)
	}
	if h := s.health[t.Name]; h != nil {
		x.Skip = h.skip
	}
	return x
}

// limit returns the calls that this host may have in flight at a target, with
// its loans.
func (s *Service) limit(t config.Target, part int, now time.Time) int {
	if t.Leaving {
		return 0
	}
	return max(part+s.loans.change(t.Name, now), 0)
}

// place implements Place.
type place struct {
	service *Service
	id      placement.CallID
	target  config.Target
	once    sync.Once
}

// Target implements Place.
func (p *place) Target() config.Target { return p.target }

// Release implements Place.
func (p *place) Release(u placement.Usage) {
	p.once.Do(func() { p.service.release(p.id, p.target, u) })
}

func (s *Service) release(id placement.CallID, t config.Target, u placement.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.refresh(now)
	if u.Failed {
		s.failed(now, t.Name)
	} else if u.Prompt > 0 {
		s.healthy(t.Name)
	}
	s.deliver(now, s.scheduler.Release(now, id, u))
}

// Report notes the load that a target told of itself in a response.
func (s *Service) Report(id model.TargetID, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Report(id, placement.Load{At: s.options.Clock.Now(), Running: running, Waiting: waiting})
}

// EndProgram forgets what is known of a program that ended.
func (s *Service) EndProgram(key model.ProgramKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.EndProgram(key)
}

// Dump returns the state for operators.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	type dump struct {
		placement.Dump
		Hosts   []model.HostID
		Skipped []model.TargetID
		Lent    int
		Loans   int
	}
	d := dump{Dump: s.scheduler.Dump(), Hosts: slices.Clone(s.views.current)}
	d.Lent, d.Loans = s.loans.counts()
	for id, h := range s.health {
		if h.skip {
			d.Skipped = append(d.Skipped, id)
		}
	}
	slices.Sort(d.Skipped)
	return d
}
