package placement

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosarelay/core/config"
	"mimosarelay/core/health"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// HealthOptions configures the judgement of targets by the outcomes of requests.
type HealthOptions struct {
	// Random spreads probes and the use of reduced targets; nil means a random seed.
	Random *rand.Rand
	// Scope is nil for no metrics.
	Scope tally.Scope
}

const (
	// stepLogInterval and stepLogBurst limit the log lines about steps of targets. The
	// burst covers a service of the deployments at once.
	stepLogInterval = time.Second
	stepLogBurst    = 50
)

// targetOutcomes judges targets by the outcomes of requests. Service.mu guards it.
type targetOutcomes struct {
	tracker  *health.Tracker
	outcomes map[health.Outcome]tally.Counter
	steps    map[health.Step]tally.Counter
	probes   tally.Counter
	ejected  tally.Gauge
	reduced  tally.Gauge
	shared   sharedLoadMetrics

	logTokens  int
	logRefill  time.Time
	suppressed int
}

func newTargetOutcomes(o HealthOptions) *targetOutcomes {
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	scope := o.Scope.SubScope("target_health")
	t := &targetOutcomes{
		tracker: health.NewTracker(o.Random), outcomes: map[health.Outcome]tally.Counter{}, steps: map[health.Step]tally.Counter{},
		probes: scope.Counter("probes"), ejected: scope.Gauge("ejected_targets"), reduced: scope.Gauge("reduced_targets"),
		shared: newSharedLoadMetrics(o.Scope), logTokens: stepLogBurst,
	}
	for _, x := range health.Outcomes() {
		t.outcomes[x] = scope.Tagged(map[string]string{"outcome": x.String()}).Counter("outcomes")
	}
	for _, x := range []health.Step{health.InUse, health.Reduced, health.Ejected} {
		t.steps[x] = scope.Tagged(map[string]string{"step": x.String()}).Counter("steps")
	}
	return t
}

// setTargets applies the configured targets.
func (t *targetOutcomes) setTargets(list []config.Target) {
	targets := make([]health.Target, 0, len(list))
	for _, x := range list {
		if !x.Leaving {
			targets = append(targets, health.Target{ID: x.Name, Services: x.Models})
		}
	}
	t.tracker.SetTargets(targets)
}

// exclusion returns why the target gets no call because of its outcomes.
func (t *targetOutcomes) exclusion(id model.TargetID) placement.Exclusion {
	switch {
	case t == nil || !t.tracker.Skipped(id):
		return placement.NotExcluded
	case t.tracker.Step(id) == health.Ejected:
		return placement.ExcludedEjected
	}
	return placement.ExcludedReduced
}

// logChange logs a step of a target, with a limit of the rate.
func (t *targetOutcomes) logChange(log *slog.Logger, now time.Time, c health.Change) {
	t.steps[c.To].Inc(1)
	if refill := int(now.Sub(t.logRefill) / stepLogInterval); refill > 0 {
		t.logTokens, t.logRefill = min(t.logTokens+refill, stepLogBurst), now
	}
	if t.logTokens == 0 {
		t.suppressed++
		return
	}
	t.logTokens--
	message := "target gets less load because its requests fail"
	switch {
	case c.To == health.Ejected:
		message = "target ejected because its requests fail, probing it"
	case c.From == health.Ejected:
		message = "target gets a part of its load again"
	case c.To == health.InUse:
		message = "target returned to full use"
	}
	log.Warn(message, "target", c.Target, "from", c.From.String(), "to", c.To.String(), "score", c.Score, "hint", c.Hint, "suppressed", t.suppressed)
	t.suppressed = 0
}

// tickHealth moves targets between steps. The caller holds mu.
func (s *Service) tickHealth(now time.Time) {
	h := s.outcomes
	if h == nil {
		return
	}
	changes := h.tracker.Tick(now, func(id model.TargetID) bool { return s.otherExclusion(id) != placement.NotExcluded })
	for _, c := range changes {
		h.logChange(s.options.Log, now, c)
	}
	ejected, reduced := 0, 0
	for _, t := range s.targets {
		switch h.tracker.Step(t.ID) {
		case health.Ejected:
			ejected++
		case health.Reduced:
			reduced++
		case health.InUse:
		}
		s.updateSkip(now, t.ID)
	}
	h.ejected.Update(float64(ejected))
	h.reduced.Update(float64(reduced))
}

// updateSkip passes a change of the exclusion of a target to the scheduler. The caller
// holds mu.
func (s *Service) updateSkip(now time.Time, id model.TargetID) {
	if skip := s.skipped(id); skip != s.skipping[id] {
		s.setSkip(now, id, skip)
	}
}

// Record implements relay.OutcomeRecorder.
func (p *place) Record(o health.Outcome) {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.outcomes
	if h == nil {
		return
	}
	now := s.options.Clock.Now()
	h.outcomes[o].Inc(1)
	h.tracker.Record(now, p.target.Name, o)
	p.endProbe(now, o)
	s.updateSkip(now, p.target.Name)
}

// endProbe ends the probe for which the place was granted, if it was. The caller holds
// mu.
func (p *place) endProbe(now time.Time, o health.Outcome) {
	if p.probe && p.service.outcomes != nil {
		p.probe = false
		p.service.outcomes.tracker.EndProbe(now, p.target.Name, o)
	}
}

// addCall queues a call. A repeatable call may be sent to an ejected target as a probe,
// and any other call avoids doubtful targets while others are free. The caller holds mu.
func (s *Service) addCall(now time.Time, id placement.CallID, r placement.Request) (grants []placement.Grant, probe bool, err error) {
	if len(r.Candidates) == 1 && s.outcomes.exclusion(r.Candidates[0]) != placement.NotExcluded &&
		s.otherExclusion(r.Candidates[0]) == placement.NotExcluded {
		// The call may run at no other target, so it must not wait for the return of
		// this one.
		if grants, granted := s.scheduler.AddProbe(now, id, r, r.Candidates[0]); granted {
			return grants, false, nil
		} else if len(grants) > 0 {
			s.deliverGrants(now, grants)
		}
	}
	if s.outcomes == nil || r.Model == "" || len(r.Exclude) > 0 {
		grants, err = s.scheduler.Add(now, id, r)
		return grants, false, err
	}
	tracker := s.outcomes.tracker
	if r.Repeatable {
		if target, ok := tracker.NextProbe(now, r.Model); ok {
			if grants, probe = s.scheduler.AddProbe(now, id, r, target); probe {
				tracker.BeginProbe(now, target)
				s.outcomes.probes.Inc(1)
				return grants, true, nil
			}
		}
	} else if doubtful := tracker.Doubtful(now, r.Model); len(doubtful) > 0 && s.scheduler.HasFree(r, doubtful) {
		careful := r
		careful.Exclude = doubtful
		if grants, err = s.scheduler.Add(now, id, careful); err == nil && !s.scheduler.Cancel(id) {
			return grants, false, nil
		}
	}
	more, err := s.scheduler.Add(now, id, r)
	return append(grants, more...), false, err
}

// HealthReports returns what this host counted at targets, for other hosts.
func (s *Service) HealthReports() []health.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes == nil {
		return nil
	}
	return s.outcomes.tracker.Reports(s.options.Clock.Now())
}

// SetHealthHints applies what the hosts of the zone counted.
func (s *Service) SetHealthHints(h health.Hints) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes != nil {
		s.outcomes.tracker.SetHints(s.options.Clock.Now(), h)
	}
}
