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
	// pollTimeout bounds one load report or probe.
	pollTimeout = time.Second
	// pollWorkers bounds the load reports and probes at the same time.
	pollWorkers = 16
	// minPause and maxPause bound the growing time between two probes of a
	// target that refuses connections.
	minPause = 100 * time.Millisecond
	maxPause = 10 * time.Second
)

// health is the state of a target that failed.
type health struct {
	skip    bool
	probing bool
	pause   time.Duration
	probeAt time.Time
}

// failed takes a target out of use until a probe finds it reachable.
func (s *Service) failed(now time.Time, id model.TargetID) {
	h := s.health[id]
	if h == nil {
		h = &health{}
		s.health[id] = h
	}
	if h.skip {
		return
	}
	h.skip = true
	h.probeAt = now
	if s.options.Prober == nil {
		h.lengthen(now)
	}
	s.deliver(now, s.scheduler.SetSkip(now, id, true))
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// lengthen puts off the next probe.
func (h *health) lengthen(now time.Time) {
	h.pause = min(max(2*h.pause, minPause), maxPause)
	h.probeAt = now.Add(h.pause)
}

// Run polls load reports and probes failed targets until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	pool := pond.NewPool(pollWorkers)
	defer pool.StopAndWait()
	tick := s.options.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	poll := s.options.Clock.NewTicker(s.options.PollInterval)
	defer poll.Stop()
	var polling sync.Map // model.TargetID of reports on their way
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.Chan():
			s.tick()
			s.probe(ctx, pool)
			s.borrow(ctx, pool)
		case <-s.wake:
			s.probe(ctx, pool)
		case <-poll.Chan():
			s.poll(ctx, pool, &polling)
		}
	}
}

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.refresh(now)
	s.deliver(now, s.scheduler.Tick(now))
}

// probe starts the probes that are due.
func (s *Service) probe(ctx context.Context, pool pond.Pool) {
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
		pool.Submit(func() { s.probeOne(ctx, t) })
	}
}

func (s *Service) probeOne(ctx context.Context, t config.Target) {
	reachable := true
	if s.options.Prober != nil {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
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
		s.options.Log.Warn("target refuses connections", "target", t.Name, "pause", h.pause)
		s.scheduler.LostCache(now, t.Name)
		h.lengthen(now)
		return
	}
	h.skip = false
	s.deliver(now, s.scheduler.SetSkip(now, t.Name, false))
}

// healthy ends the memory of earlier failures.
func (s *Service) healthy(id model.TargetID) {
	if h := s.health[id]; h != nil && !h.skip {
		delete(s.health, id)
	}
}

// poll asks the engines that this host uses for their load.
func (s *Service) poll(ctx context.Context, pool pond.Pool, polling *sync.Map) {
	if s.options.Loads == nil {
		return
	}
	for _, t := range s.used() {
		if _, busy := polling.LoadOrStore(t.Name, true); busy {
			continue
		}
		pool.Submit(func() {
			defer polling.Delete(t.Name)
			s.pollOne(ctx, t)
		})
	}
}

// used lists the engines of which this host has a part.
func (s *Service) used() []config.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(s.options.Clock.Now())
	var list []config.Target
	for i, t := range s.snapshot.Document().Targets {
		if t.Kind == config.Engine && s.targets[i].Limit > 0 {
			list = append(list, t)
		}
	}
	return list
}

func (s *Service) pollOne(ctx context.Context, t config.Target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := s.options.Loads.Load(ctx, t)
	gone := false
	if err != nil {
		s.options.Log.Warn("no load report", "target", t.Name, "error", err)
		gone = ctx.Err() == nil && s.options.Prober != nil && !s.options.Prober.Reachable(ctx, t.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.healthy(t.Name)
		s.scheduler.Report(t.Name, load)
	case gone && ctx.Err() == nil:
		s.failed(s.options.Clock.Now(), t.Name)
	}
}
