package placement

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

const (
	tickInterval = 100 * time.Millisecond
	// requestTimeout limits one load report, probe or request about a loan.
	requestTimeout = time.Second
	// requestWorkers limits the number of these that run at the same time.
	requestWorkers = 16
	// minProbeBackoff and maxProbeBackoff bound the backoff between two probes of
	// a target that refuses connections.
	minProbeBackoff = 100 * time.Millisecond
	maxProbeBackoff = 10 * time.Second
)

// targetHealth is the state of a target that failed.
type targetHealth struct {
	skip    bool
	probing bool
	backoff time.Duration
	probeAt time.Time
}

// markFailed takes a target out of use until a probe reaches it. The caller holds
// mu.
func (s *Service) markFailed(now time.Time, id model.TargetID) {
	h := s.health[id]
	if h == nil {
		h = &targetHealth{}
		s.health[id] = h
	}
	if h.skip {
		return
	}
	h.skip = true
	h.probeAt = now
	if s.options.Prober == nil {
		h.increaseBackoff(now)
	}
	s.setSkip(now, id, true)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// increaseBackoff doubles the backoff and sets the time of the next probe.
func (h *targetHealth) increaseBackoff(now time.Time) {
	h.backoff = min(max(2*h.backoff, minProbeBackoff), maxProbeBackoff)
	h.probeAt = now.Add(h.backoff)
}

// Run polls load reports, probes failed targets and maintains loans until ctx
// ends.
func (s *Service) Run(ctx context.Context) error {
	pool := pond.NewPool(requestWorkers)
	defer pool.StopAndWait()
	tick := s.options.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	poll := s.options.Clock.NewTicker(s.options.PollInterval)
	defer poll.Stop()
	var polling sync.Map // model.TargetID of load requests in progress
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.Chan():
			s.tick()
			s.startProbes(ctx, pool)
			s.updateLoans(ctx, pool)
		case <-s.wake:
			s.startProbes(ctx, pool)
		case <-poll.Chan():
			s.startLoadPolls(ctx, pool, &polling)
		}
	}
}

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.refresh(now)
	s.tickHealth(now)
	s.deliverGrants(now, s.scheduler.Tick(now))
}

// startProbes starts the probes that are due.
func (s *Service) startProbes(ctx context.Context, pool pond.Pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	for id, h := range s.health {
		if !h.skip || h.probing || now.Before(h.probeAt) {
			continue
		}
		t, ok := s.snapshot.Target(id)
		if !ok {
			delete(s.health, id)
			continue
		}
		h.probing = true
		pool.Submit(func() { s.probeTarget(ctx, t) })
	}
}

func (s *Service) probeTarget(ctx context.Context, t config.Target) {
	reachable := true
	if s.options.Prober != nil {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		reachable = s.options.Prober.Reachable(ctx, t.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.health[t.Name]
	if h == nil {
		return
	}
	now := s.options.Clock.Now()
	h.probing = false
	if !reachable {
		s.options.Log.Warn("target refuses connections", "target", t.Name, "pause", h.backoff)
		s.scheduler.LostCache(now, t.Name)
		h.increaseBackoff(now)
		return
	}
	h.skip = false
	s.setSkip(now, t.Name, s.skipped(t.Name))
}

// clearFailures resets the backoff of a target unless it is out of use. The caller
// holds mu.
func (s *Service) clearFailures(id model.TargetID) {
	if h := s.health[id]; h != nil && !h.skip {
		delete(s.health, id)
	}
}

// startLoadPolls requests the load of the engines that this host uses, except
// those whose last request has not ended.
func (s *Service) startLoadPolls(ctx context.Context, pool pond.Pool, polling *sync.Map) {
	if s.options.Loads == nil {
		return
	}
	for _, t := range s.usedEngines() {
		if _, busy := polling.LoadOrStore(t.Name, true); busy {
			continue
		}
		pool.Submit(func() {
			defer polling.Delete(t.Name)
			s.pollLoad(ctx, t)
		})
	}
}

// usedEngines returns the engines at which this host has a limit above 0.
func (s *Service) usedEngines() []config.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(s.options.Clock.Now())
	var engines []config.Target
	for i, t := range s.snapshot.Document().Targets {
		if t.Kind == config.Engine && s.targets[i].Limit > 0 {
			engines = append(engines, t)
		}
	}
	return engines
}

func (s *Service) pollLoad(ctx context.Context, t config.Target) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	load, err := s.options.Loads.Load(ctx, t)
	unreachable := false
	if err != nil {
		s.options.Log.Warn("failed to read the load of the target", "target", t.Name, "error", err)
		unreachable = ctx.Err() == nil && s.options.Prober != nil && !s.options.Prober.Reachable(ctx, t.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.clearFailures(t.Name)
		s.scheduler.Report(t.Name, load)
	case unreachable && ctx.Err() == nil:
		s.markFailed(s.options.Clock.Now(), t.Name)
	}
}
