package placement

import (
	"bytes"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"mimosarelay/core/health"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// healthService returns a service that judges four targets, and its fleet, metrics and log.
func healthService(places int) (*Service, *fleet, tally.TestScope, *bytes.Buffer) {
	f := newFleet(document(places, "a", "b", "c", "d"), "h")
	scope, log := tally.NewTestScope("", nil), &bytes.Buffer{}
	s := f.service("h", func(p *Options) {
		p.Health = &HealthOptions{Random: rand.New(rand.NewPCG(1, 2)), Scope: scope}
		p.Log = slog.New(slog.NewTextHandler(log, nil))
	})
	s.tick()
	return s, f, scope, log
}

// failAt makes requests fail at a target until it is ejected.
func failAt(t *testing.T, s *Service, f *fleet, id model.TargetID) {
	t.Helper()
	for range 200 {
		if s.exclusion(id) == placement.ExcludedEjected {
			return
		}
		p := acquire(t, s, placement.Request{Workspace: "w", Model: "m", Repeatable: true})
		if p.target.Name == id {
			p.Record(health.Disconnected)
		} else {
			p.Record(health.Answered)
		}
		p.Release(placement.Usage{})
		f.clock.Advance(tickInterval)
		s.tick()
	}
	t.Fatalf("target %q is not ejected", id)
}

func acquire(t *testing.T, s *Service, r placement.Request) *place {
	t.Helper()
	p, err := s.Acquire(t.Context(), r)
	assert.NilError(t, err)
	return p.(*place)
}

// Guards against targets that stay in use although their requests fail, against an ejected
// target that gets no probe or several at a time, and against a state that operators
// cannot see.
func TestTargetWithFailedRequestsIsEjectedAndProbed(t *testing.T) {
	s, f, scope, log := healthService(8)
	failAt(t, s, f, "a")
	assert.Assert(t, strings.Contains(log.String(), `msg="target ejected because its requests fail, probing it" target=a`), log)
	f.clock.Advance(5 * time.Second)
	repeatable := placement.Request{Workspace: "w", Model: "m", Repeatable: true}
	probe := acquire(t, s, repeatable)
	assert.Equal(t, probe.target.Name, model.TargetID("a"))
	for range 8 {
		p := acquire(t, s, repeatable)
		assert.Assert(t, p.target.Name != "a")
		p.Release(placement.Usage{})
	}
	probe.Record(health.Answered)
	probe.Release(placement.Usage{})
	for range 8 {
		f.clock.Advance(2 * time.Second)
		p := acquire(t, s, repeatable)
		p.Record(health.Answered)
		p.Release(placement.Usage{})
		s.tick()
	}
	assert.Assert(t, s.exclusion("a") != placement.ExcludedEjected)
	snapshot := scope.Snapshot()
	assert.Assert(t, snapshot.Counters()["target_health.probes+"].Value() >= 3)
	assert.Assert(t, snapshot.Counters()["target_health.outcomes+outcome=disconnected"].Value() >= 5)
	assert.Assert(t, snapshot.Counters()["target_health.steps+step=ejected"].Value() == 1)
}

// Guards against requests that may not be repeated at a target that failed before, and
// against their refusal while only such targets have a free place.
func TestNonRepeatableRequestsAvoidDoubtfulTargets(t *testing.T) {
	s, _, _, _ := healthService(2)
	for range 2 {
		s.outcomes.tracker.Record(s.options.Clock.Now(), "a", health.Disconnected)
	}
	var last *place
	for i := range 8 {
		last = acquire(t, s, placement.Request{Workspace: "w", Model: "m"})
		assert.Equal(t, last.target.Name == "a", i >= 6, "call %d at %q", i, last.target.Name)
	}
}

// Guards against a call that may run at one target only and waits for the return of that
// target until it is refused.
func TestCallForOneTargetRunsThereWhileItIsEjected(t *testing.T) {
	s, f, _, _ := healthService(2)
	failAt(t, s, f, "a")
	p := acquire(t, s, placement.Request{Workspace: "w", Candidates: []model.TargetID{"a"}})
	assert.Equal(t, p.target.Name, model.TargetID("a"))
	assert.Assert(t, s.scheduler.InFlight("a") == 1)
}

// Guards against services that judge targets without being configured to do so.
func TestWithoutHealthNoTargetIsEjected(t *testing.T) {
	s := newFleet(document(8, "a", "b"), "h").service("h", nil)
	for range 50 {
		p := acquire(t, s, placement.Request{Workspace: "w", Model: "m", Repeatable: true})
		p.Record(health.Disconnected)
		p.Release(placement.Usage{})
		s.tick()
	}
	assert.Equal(t, s.exclusion("a"), placement.NotExcluded)
	assert.Equal(t, len(s.HealthReports()), 0)
}

// Guards against a log that grows with the number of targets that change at a time.
func TestStepLogIsLimited(t *testing.T) {
	log := &bytes.Buffer{}
	o, now := newTargetOutcomes(HealthOptions{}), time.Unix(1000, 0)
	logger := slog.New(slog.NewTextHandler(log, nil))
	for range 500 {
		o.logChange(logger, now, health.Change{Target: "a", To: health.Reduced})
	}
	assert.Equal(t, strings.Count(log.String(), "\n"), stepLogBurst)
	o.logChange(logger, now.Add(stepLogInterval), health.Change{Target: "a", To: health.Reduced})
	assert.Assert(t, strings.Contains(log.String(), "suppressed=450"))
}
