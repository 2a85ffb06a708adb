// Package placement limits the calls in flight per target, queues waiting calls
// and chooses their targets.
//
// MaxInFlight of a target limits the calls of the whole fleet. The limit of each
// live host is the HostLimit of core/placement for its view of the membership.
// While the membership is stable and all hosts have the same view, the host
// limits add up to MaxInFlight, so that it is never exceeded. When the membership
// changes, a host lowers its limit immediately and raises it only ChangeDelay
// later. MaxInFlight may be exceeded by the limit of a host that joined until the
// other hosts know it, and by calls that were admitted under a higher limit until
// they end.
//
// If MaxInFlight is lower than the number of hosts, some hosts have no places at
// a target. A host whose waiting calls cannot run at any other target borrows
// single places from a host that has some, see Lenders. The lender counts a place
// as used from before its answer until the borrower has returned it or is no
// longer a member, so that loans never raise the sum of the limits. A loan that
// is not returned within 15 minutes, because the borrower restarted, ends as
// well; only a call that runs longer than that in a borrowed place is not
// counted. Transfers of host limits on demand, with core/escrow as described in
// section 7.3 of docs/design.md, are not implemented yet.
package placement

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/core/config"
	"mimosarelay/core/health"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// Place is a granted slot for one call at a target.
type Place interface {
	Target() config.Target
	// Release frees the place. Only the first call has an effect.
	Release(u placement.Usage)
}

// LoadSource reads the load of targets.
type LoadSource interface {
	Load(ctx context.Context, t config.Target) (placement.Load, error)
}

// Prober checks whether a target accepts new connections.
type Prober interface {
	Reachable(ctx context.Context, address string) bool
}

// Defaults of Options.
const (
	defaultQueueWait    = 30 * time.Second
	defaultPollInterval = 500 * time.Millisecond
	// defaultChangeDelay exceeds the lease of a host, so that a removed host
	// can no longer send calls when others take over its places.
	defaultChangeDelay = 4 * time.Second
)

// Options configures a Service. Zero values mean the defaults.
type Options struct {
	// Host is this host.
	Host model.HostID
	// Hosts returns the members that are not leaving. It returns the same at all
	// hosts in an epoch. It must not call the Service.
	Hosts func() []model.HostID
	// Snapshot returns the current configuration. It must not call the
	// Service.
	Snapshot func() *config.Snapshot
	// Loads is nil if targets report no load.
	Loads LoadSource
	// Prober is nil if failed targets are used again after a backoff without a
	// probe.
	Prober Prober
	// Lenders is nil if hosts do not borrow places at targets where they have
	// none.
	Lenders Lenders
	Policy  placement.Options
	// MinHostLimit is the lowest limit of this host at each target that is not
	// leaving. A value above 0 may exceed MaxInFlight across the fleet, so it is
	// only for targets that reject calls beyond their queue without running them.
	MinHostLimit int
	// Health judges targets by the outcomes of requests; nil if only targets that refuse
	// connections are taken out of use.
	Health *HealthOptions
	// QueueWait is how long a call waits for a target; 0 means 30 s.
	QueueWait time.Duration
	// PollInterval is the time between two load reports of a target; 0 means
	// 500 ms.
	PollInterval time.Duration
	// ChangeDelay is the time before a higher limit takes effect after a membership
	// change; 0 means 4 s.
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
// Lock order: mu is the only lock. Options.Snapshot and Options.Hosts are called
// with it held, but Loads, Prober and Lenders are not.
type Service struct {
	options Options
	wake    chan struct{} // signals that a target failed

	mu         sync.Mutex
	scheduler  *placement.Scheduler
	lastCallID placement.CallID
	waiters    map[placement.CallID]chan config.Target
	snapshot   *config.Snapshot
	membership membership
	health     map[model.TargetID]*targetHealth
	pauses     map[model.TargetID]pause
	targets    []placement.Target      // of the snapshot; Limit is without loans
	skipping   map[model.TargetID]bool // targets that the scheduler skips
	outcomes   *targetOutcomes         // nil without Options.Health
	loans      loans
}

// New returns a Service. Run must be running for load reports, probes and loans.
func New(o Options) *Service {
	o = o.withDefaults()
	s := &Service{
		options:    o,
		wake:       make(chan struct{}, 1),
		scheduler:  placement.NewScheduler(o.Policy),
		waiters:    map[placement.CallID]chan config.Target{},
		membership: membership{delay: o.ChangeDelay},
		health:     map[model.TargetID]*targetHealth{},
		pauses:     map[model.TargetID]pause{},
		skipping:   map[model.TargetID]bool{},
		loans:      newLoans(),
	}
	if o.Health != nil {
		s.outcomes = newTargetOutcomes(*o.Health)
	}
	return s
}

// Acquire waits until the call may run at a target. It fails with a
// *model.Refusal with RanNo: immediately if no target can run the call, after
// QueueWait, or when ctx ends.
func (s *Service) Acquire(ctx context.Context, r placement.Request) (Place, error) {
	id, granted, probe, err := s.enqueueCall(r)
	if err != nil {
		return nil, err
	}
	timer := s.options.Clock.NewTimer(s.options.QueueWait)
	defer timer.Stop()
	var reason string
	select {
	case t := <-granted:
		return &place{service: s, id: id, target: t, probe: probe}, nil
	case <-timer.Chan():
		reason = "no target became free in time"
	case <-ctx.Done():
		reason = "the caller stopped waiting for a target"
	}
	if t, ok := s.cancelWait(id, granted); ok {
		p := &place{service: s, id: id, target: t, probe: probe}
		if ctx.Err() == nil {
			return p, nil
		}
		p.Release(placement.Usage{})
	}
	return nil, s.noPlaceRefusal(reason, r)
}

// noPlaceRefusal returns a refusal that states the places of this host, so that the
// caller can distinguish a host without places from busy targets.
func (s *Service) noPlaceRefusal(reason string, r placement.Request) *model.Refusal {
	s.mu.Lock()
	capacity := s.scheduler.Capacity(r)
	s.mu.Unlock()
	return unavailable(fmt.Sprintf("%s: %d targets, %d places of this host, %d taken, %d calls waiting",
		reason, capacity.Targets, capacity.Places, capacity.Taken, capacity.Waiting))
}

// retryAfter is the Retry-After of calls that got no place.
const retryAfter = time.Second

func unavailable(reason string) *model.Refusal {
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "%s", reason).Retry(retryAfter)
}

func (s *Service) enqueue(r placement.Request) (placement.CallID, chan config.Target, error) {
	id, granted, _, err := s.enqueueCall(r)
	return id, granted, err
}

// enqueueCall queues a call. probe is set if the call was granted a target as a probe.
func (s *Service) enqueueCall(r placement.Request) (id placement.CallID, granted chan config.Target, probe bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.refresh(now)
	s.lastCallID++
	id = s.lastCallID
	granted = make(chan config.Target, 1)
	s.waiters[id] = granted
	grants, probe, err := s.addCall(now, id, r)
	s.deliverGrants(now, grants)
	if err != nil {
		delete(s.waiters, id)
		if errors.Is(err, placement.ErrNoTarget) {
			return 0, nil, false, unavailable("no target can run the call")
		}
		return 0, nil, false, model.NewRefusal(model.ErrUnavailable, model.RanNo, "schedule the call: %v", err)
	}
	return id, granted, probe, nil
}

// cancelWait removes a waiting call from the queue. If the call has been granted
// a target in the meantime, it returns that target.
func (s *Service) cancelWait(id placement.CallID, granted chan config.Target) (config.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler.Cancel(id) {
		delete(s.waiters, id)
		return config.Target{}, false
	}
	return <-granted, true // does not block: the grant was sent when the call left the queue
}

// deliverGrants passes granted targets to the waiting callers. The caller holds
// mu.
func (s *Service) deliverGrants(now time.Time, grants []placement.Grant) {
	for len(grants) > 0 {
		g := grants[0]
		grants = grants[1:]
		t, ok := s.snapshot.Target(g.Target)
		if !ok { // unexpected: the scheduler has the targets of this snapshot
			s.options.Log.Error("scheduler granted a target that is not configured", "target", g.Target)
			grants = append(grants, s.scheduler.Release(now, g.Call, placement.Usage{})...)
			continue
		}
		delete(s.loans.ownCallsFirst, g.Target)
		s.waiters[g.Call] <- t
		delete(s.waiters, g.Call)
	}
}

// refresh applies a change of the configuration or the membership. The caller
// holds mu.
func (s *Service) refresh(now time.Time) {
	snapshot := s.options.Snapshot()
	changed := s.membership.update(now, s.options.Hosts())
	if snapshot == s.snapshot && !changed {
		return
	}
	s.snapshot = snapshot
	document := snapshot.Document()
	for _, w := range document.Workspaces {
		s.scheduler.SetWeight(w.Name, w.FairWeight())
	}
	s.loans.dropAbsentHosts(s.membership.recentMember)
	if s.outcomes != nil {
		s.outcomes.setTargets(document.Targets)
	}
	clear(s.skipping)
	s.targets = s.targets[:0]
	targets := make([]placement.Target, 0, len(document.Targets))
	for _, t := range document.Targets {
		target := s.schedulerTarget(t)
		s.targets = append(s.targets, target)
		target.Limit = s.limitWithLoans(t, target.Limit, now)
		targets = append(targets, target)
	}
	s.deliverGrants(now, s.scheduler.SetTargets(now, targets))
}

// schedulerTarget converts a configured target. Its Limit is without loans.
func (s *Service) schedulerTarget(t config.Target) placement.Target {
	target := placement.Target{ID: t.Name, Models: t.Models, Zone: t.Zone, Slots: t.Slots}
	if !t.Leaving {
		target.Limit = max(s.membership.hostLimit(s.options.Host, t.Name, t.MaxInFlight), s.options.MinHostLimit)
	}
	target.Skip = s.skipped(t.Name)
	s.skipping[t.Name] = target.Skip
	return target
}

// exclusion returns why a target gets no new call of this host, apart from its
// places. The caller holds mu.
func (s *Service) exclusion(id model.TargetID) placement.Exclusion {
	if e := s.otherExclusion(id); e != placement.NotExcluded {
		return e
	}
	return s.outcomes.exclusion(id)
}

// otherExclusion returns why a target gets no new call for another reason than the
// outcomes of requests. The caller holds mu.
func (s *Service) otherExclusion(id model.TargetID) placement.Exclusion {
	if t, ok := s.snapshot.Target(id); ok && t.Leaving {
		return placement.ExcludedLeaving
	}
	if t, ok := s.snapshot.Target(id); ok && t.Evacuated {
		return placement.ExcludedEvacuated
	}
	if h := s.health[id]; h != nil && h.skip {
		return placement.ExcludedUnreachable
	}
	if p, paused := s.pauses[id]; paused {
		return p.reason
	}
	return placement.NotExcluded
}

// skipped reports whether a target is out of use. A leaving target is not: it has
// no places. The caller holds mu.
func (s *Service) skipped(id model.TargetID) bool {
	switch s.exclusion(id) {
	case placement.NotExcluded, placement.ExcludedLeaving:
		return false
	}
	return true
}

// pause is a time in which this host sends a target nothing.
type pause struct {
	end    time.Time
	reason placement.Exclusion
}

// Pause takes a target out of use for a time. A longer pause is not shortened.
func (s *Service) Pause(id model.TargetID, d time.Duration) {
	s.pause(id, d, placement.ExcludedPaused)
}

// PauseCold is like Pause for a target that is cold.
func (s *Service) PauseCold(id model.TargetID, d time.Duration) {
	s.pause(id, d, placement.ExcludedCold)
}

func (s *Service) pause(id model.TargetID, d time.Duration, reason placement.Exclusion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	end := now.Add(d)
	if !end.After(s.pauses[id].end) {
		return
	}
	s.pauses[id] = pause{end, reason}
	s.setSkip(now, id, true)
	s.options.Clock.AfterFunc(d, func() { s.endPause(id) })
}

func (s *Service) endPause(id model.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	if now.Before(s.pauses[id].end) {
		return // a longer pause ends later
	}
	delete(s.pauses, id)
	s.setSkip(now, id, s.skipped(id))
}

// setSkip takes a target out of use or puts it back into use. The caller holds mu.
func (s *Service) setSkip(now time.Time, id model.TargetID, skip bool) {
	s.skipping[id] = skip
	s.deliverGrants(now, s.scheduler.SetSkip(now, id, skip))
}

// limitWithLoans returns the number of calls that this host may have in flight at
// a target, given its limit without loans.
func (s *Service) limitWithLoans(t config.Target, hostLimit int, now time.Time) int {
	if t.Leaving {
		return 0
	}
	return max(hostLimit+s.loans.limitDelta(t.Name, now), 0)
}

// place implements Place.
type place struct {
	service *Service
	id      placement.CallID
	target  config.Target
	probe   bool // granted for a probe that has no outcome yet; guarded by Service.mu
	once    sync.Once
}

// Target implements Place.
func (p *place) Target() config.Target { return p.target }

// Release implements Place.
func (p *place) Release(u placement.Usage) {
	p.once.Do(func() { p.service.release(p, u) })
}

func (s *Service) release(p *place, u placement.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.refresh(now)
	p.endProbe(now, health.Unknown)
	t := p.target
	if u.Failed {
		s.markFailed(now, t.Name)
	} else if u.Prompt > 0 {
		s.clearFailures(t.Name)
	}
	s.deliverGrants(now, s.scheduler.Release(now, p.id, u))
}

// Report records the load that a target reported in a response, as of now.
func (s *Service) Report(id model.TargetID, l placement.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.At = s.options.Clock.Now()
	s.scheduler.Report(id, l)
}

// EndProgram removes the scheduler's state of a program that ended.
func (s *Service) EndProgram(key model.ProgramKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.EndProgram(key)
}

// Dump returns the state as shown to operators.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	type dump struct {
		placement.Dump
		Hosts   []model.HostID
		Skipped []model.TargetID
		Paused  []model.TargetID
		// Excluded holds the reason for each target that gets no new call.
		Excluded map[model.TargetID]placement.Exclusion `json:",omitempty"`
		Lent     int
		Loans    int
	}
	d := dump{Dump: s.scheduler.Dump(), Hosts: slices.Clone(s.membership.current)}
	d.Lent, d.Loans = s.loans.counts()
	for id, h := range s.health {
		if h.skip {
			d.Skipped = append(d.Skipped, id)
		}
	}
	slices.Sort(d.Skipped)
	d.Paused = slices.Sorted(maps.Keys(s.pauses))
	d.Excluded = map[model.TargetID]placement.Exclusion{}
	for _, t := range s.targets {
		if e := s.exclusion(t.ID); e != placement.NotExcluded {
			d.Excluded[t.ID] = e
		}
	}
	return d
}
