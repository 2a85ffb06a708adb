package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/health"
	"mimosarelay/core/model"
)

const (
	simHosts   = 64
	simTargets = 24
	// simMaxTargets is the number of targets of the largest test.
	simMaxTargets = 300
	simZones      = 3
	simStep       = 10 * time.Millisecond
	// simRate is the number of requests of one host to one target in a second.
	simRate = 0.4
	// simFaultAt and simFaultEnd bound the fault in the simulated time.
	simFaultAt  = 10 * time.Second
	simFaultEnd = 40 * time.Second
	simEnd      = 80 * time.Second
)

// fault returns the outcome of a request that a host of a zone sends to a target.
type fault func(r *rand.Rand, target, zone int, now time.Duration) health.Outcome

// simHost is one entry host with the targets that it uses.
type simHost struct {
	tracker *health.Tracker
	zone    int
}

// simResult is what callers got, and what happened to targets.
type simResult struct {
	requests, failed int // of all callers during the fault
	byKind           map[health.Outcome]int
	once             int                    // failed requests that may not be repeated
	ejected          [simZones]map[int]bool // targets that a host of a zone ejected
	avoided          map[int]time.Duration  // when half of the hosts of zone 0 avoided a target
	returned         map[int]time.Duration  // when all hosts used it in full again
	probes           int                    // requests to ejected targets
	mostOut          int                    // most targets that one host skipped
	reduced          map[model.TargetID]int // steps to less load by target
}

type ending struct {
	host    *simHost
	target  int
	outcome health.Outcome
	probe   bool
}

// simulation plays requests of several hosts in virtual time. Without enabled, the hosts
// use all targets as before.
type simulation struct {
	hosts    []*simHost
	inFlight [simTargets]int
	endings  map[time.Duration][]ending
	random   *rand.Rand
	fault    fault
	enabled  bool
	result   simResult
	start    time.Time
}

// simIDs holds the ids of targets. They are made once because each request needs many.
var simIDs = func() (ids [simMaxTargets]model.TargetID) {
	for i := range ids {
		ids[i] = model.TargetID(fmt.Sprintf("t%03d", i))
	}
	return ids
}()

func simID(i int) model.TargetID { return simIDs[i] }

func newSimulation(f fault, enabled bool) *simulation {
	s := &simulation{
		endings: map[time.Duration][]ending{}, random: rand.New(rand.NewPCG(1, 2)), fault: f, enabled: enabled,
		start: time.Unix(1000, 0),
		result: simResult{
			byKind: map[health.Outcome]int{}, avoided: map[int]time.Duration{}, returned: map[int]time.Duration{},
			reduced: map[model.TargetID]int{},
		},
	}
	for z := range simZones {
		s.result.ejected[z] = map[int]bool{}
	}
	var targets []health.Target
	for i := range simTargets {
		targets = append(targets, health.Target{ID: simID(i), Services: []model.ModelID{"m"}})
	}
	for i := range simHosts {
		h := &simHost{tracker: health.NewTracker(rand.New(rand.NewPCG(uint64(i), 3))), zone: i % simZones}
		h.tracker.SetTargets(targets)
		s.hosts = append(s.hosts, h)
	}
	return s
}

// duration returns how long a request takes: errors come at once, which makes a target
// look idle.
func (s *simulation) duration(o health.Outcome) time.Duration {
	switch o {
	case health.TimedOut:
		return 3 * time.Second
	case health.Answered:
		return simStep * time.Duration(20+s.random.IntN(40))
	default:
		return simStep
	}
}

// choose returns the target with fewer requests of two random ones that are in use.
func (s *simulation) choose(h *simHost, exclude map[int]bool) int {
	draw := func() int {
		for {
			i := s.random.IntN(simTargets)
			if !exclude[i] && (!s.enabled || !h.tracker.Skipped(simID(i))) {
				return i
			}
		}
	}
	a, b := draw(), draw()
	if s.inFlight[b] < s.inFlight[a] {
		return b
	}
	return a
}

func (s *simulation) send(h *simHost, target int, now time.Duration, probe bool) health.Outcome {
	o := s.fault(s.random, target, h.zone, now)
	s.inFlight[target]++
	at := now + s.duration(o)
	s.endings[at] = append(s.endings[at], ending{h, target, o, probe})
	return o
}

// request plays one request of a caller. Repeatable requests, four of five, are sent
// again once elsewhere if the exchange broke off, as in app/relay.
func (s *simulation) request(h *simHost, now time.Duration) {
	repeatable := s.random.IntN(5) > 0
	exclude := map[int]bool{}
	probe, target := false, -1
	if s.enabled {
		if id, ok := h.tracker.NextProbe(s.start.Add(now), "m"); ok && repeatable {
			h.tracker.BeginProbe(s.start.Add(now), id)
			_, _ = fmt.Sscanf(string(id), "t%d", &target)
			probe = true
			s.result.probes++
		}
		if !repeatable {
			for _, id := range h.tracker.Doubtful(s.start.Add(now), "m") {
				var i int
				_, _ = fmt.Sscanf(string(id), "t%d", &i)
				exclude[i] = true
			}
		}
	}
	if target < 0 {
		target = s.choose(h, exclude)
	}
	o := s.send(h, target, now, probe)
	if repeatable && (o == health.Disconnected || o == health.StreamBroken) {
		exclude[target] = true
		o = s.send(h, s.choose(h, exclude), now, false)
	}
	if now < simFaultAt || now >= simFaultEnd {
		return
	}
	s.result.requests++
	if o == health.Answered {
		return
	}
	s.result.failed++
	s.result.byKind[o]++
	if !repeatable {
		s.result.once++
	}
}

func (s *simulation) run() *simResult {
	keeper := health.NewAggregator()
	perStep := simRate * simTargets * simStep.Seconds()
	for now := time.Duration(0); now < simEnd; now += simStep {
		at := s.start.Add(now)
		for _, e := range s.endings[now] {
			s.inFlight[e.target]--
			e.host.tracker.Record(at, simID(e.target), e.outcome)
			if e.probe {
				e.host.tracker.EndProbe(at, simID(e.target), e.outcome)
			}
		}
		delete(s.endings, now)
		for i, h := range s.hosts {
			if s.enabled && (int(now/simStep)+i*7)%50 == 0 {
				zone := model.Zone(fmt.Sprint(h.zone))
				h.tracker.SetHints(at, keeper.Update(at, zone, model.HostID(fmt.Sprint(i)), h.tracker.Reports(at)))
			}
			if s.enabled && (int(now/simStep)+i)%10 == 0 {
				s.note(h, h.tracker.Tick(at, func(model.TargetID) bool { return false }))
			}
			for n := perStep; n > 0; n-- {
				if s.random.Float64() < n {
					s.request(h, now)
				}
			}
		}
		if now%(200*time.Millisecond) == 0 {
			s.observe(now)
		}
	}
	return &s.result
}

func (s *simulation) note(h *simHost, changes []health.Change) {
	for _, c := range changes {
		var i int
		_, _ = fmt.Sscanf(string(c.Target), "t%d", &i)
		if c.To > c.From {
			s.result.reduced[c.Target]++
		}
		if c.To == health.Ejected {
			s.result.ejected[h.zone][i] = true
		}
	}
}

// observe records when hosts of zone 0 avoid targets and when all hosts use them again.
func (s *simulation) observe(now time.Duration) {
	for _, h := range s.hosts {
		out := 0
		for i := range simTargets {
			if h.tracker.Skipped(simID(i)) {
				out++
			}
		}
		s.result.mostOut = max(s.result.mostOut, out)
	}
	for i := range simTargets {
		avoiding, using, hosts := 0, 0, 0
		for _, h := range s.hosts {
			step := h.tracker.Step(simID(i))
			if step == health.InUse {
				using++
			}
			if h.zone == 0 {
				hosts++
				if step == health.Ejected {
					avoiding++
				}
			}
		}
		if _, ok := s.result.avoided[i]; !ok && 2*avoiding >= hosts {
			s.result.avoided[i] = now - simFaultAt
		}
		if _, ok := s.result.returned[i]; !ok && now >= simFaultEnd && using == len(s.hosts) {
			s.result.returned[i] = now - simFaultEnd
		}
	}
}

func failing(o health.Outcome, fraction float64, targets ...int) fault {
	return func(r *rand.Rand, target, _ int, now time.Duration) health.Outcome {
		if now >= simFaultAt && now < simFaultEnd {
			for _, t := range targets {
				if t == target && r.Float64() < fraction {
					return o
				}
			}
		}
		return health.Answered
	}
}

// expectation bounds what callers and targets get with health, compared with the same
// load without it.
type expectation struct {
	fault  fault
	faulty []int // targets to be ejected in zone 0
	zones  int   // zones in which they are to be ejected
	// failed and once bound the failed requests, and those that may not be repeated, as a
	// fraction of those without health.
	failed, once     float64
	avoided, returns time.Duration // bounds; 0 for none
}

// Guards against faulty targets that stay in use, return late or are found only by the
// zone that they serve well, against the ejection of targets that sometimes lose an
// answer, and against more than half of a service out of use.
func TestCallersGetFewerFailuresOfFaultyTargets(t *testing.T) {
	three := []int{3, 7, 11}
	half := []int{0, 2, 4, 6, 8, 10, 12, 14, 16, 18, 20, 22}
	most := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}
	for name, c := range map[string]expectation{
		"45 % error status": {failing(health.AnsweredError, 0.45, three...), three, 3, 0.5, 0.25, 6 * time.Second, 15 * time.Second},
		"45 % resets":       {failing(health.Disconnected, 0.45, three...), three, 3, 0.25, 0.25, 6 * time.Second, 15 * time.Second},
		// The choice by load already avoids targets that hang.
		"45 % hangs": {failing(health.TimedOut, 0.45, three...), three, 3, 1.05, 0.7, 0, 35 * time.Second},
		"up and down each second": {func(_ *rand.Rand, target, _ int, now time.Duration) health.Outcome {
			if target < 2 && now >= simFaultAt && now < simFaultEnd && now%(2*time.Second) < time.Second {
				return health.Disconnected
			}
			return health.Answered
		}, []int{0, 1}, 3, 0.25, 0.25, 5 * time.Second, 15 * time.Second},
		"45 % error status in one zone": {func(r *rand.Rand, target, zone int, now time.Duration) health.Outcome {
			if target < 2 && zone == 0 && now >= simFaultAt && now < simFaultEnd && r.Float64() < 0.45 {
				return health.AnsweredError
			}
			return health.Answered
		}, []int{0, 1}, 1, 0.6, 0.5, 15 * time.Second, 15 * time.Second},
		"2 % lost at half of the targets": {failing(health.Disconnected, 0.02, half...), nil, 0, 1.1, 1.1, 0, 0},
		"5 % lost at half of the targets": {failing(health.Disconnected, 0.05, half...), nil, 0, 1.1, 1.1, 0, 0},
		// The median is faulty, so that no target is told from the others.
		"45 % resets at two of three targets": {failing(health.Disconnected, 0.45, most...), nil, 3, 1.1, 1.1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			without := newSimulation(c.fault, false).run()
			with := newSimulation(c.fault, true).run()
			t.Logf("without: %d of %d requests failed %v, %d not repeatable; with: %d of %d %v, %d not repeatable, %d probes, avoided after %v, returned after %v",
				without.failed, without.requests, without.byKind, without.once, with.failed, with.requests, with.byKind, with.once, with.probes, with.avoided, with.returned)
			assert.Assert(t, float64(with.failed) <= c.failed*float64(without.failed))
			assert.Assert(t, float64(with.once) <= c.once*float64(without.once))
			assert.Assert(t, with.mostOut <= simTargets/2, "%d of %d targets out of use", with.mostOut, simTargets)
			for zone, ejected := range with.ejected {
				if zone >= c.zones {
					assert.Equal(t, len(ejected), 0, "zone %d ejected %v", zone, ejected)
				}
			}
			for _, i := range c.faulty {
				assert.Assert(t, with.ejected[0][i], "target %d", i)
				at, ok := with.avoided[i]
				assert.Assert(t, c.avoided == 0 || ok && at <= c.avoided, "target %d avoided after %v", i, at)
				at, ok = with.returned[i]
				assert.Assert(t, ok && at <= c.returns, "target %d returned after %v", i, at)
			}
			if c.failed < 1.1 {
				assert.Equal(t, len(with.reduced), len(c.faulty), "%v", with.reduced)
			} else if c.zones == 0 {
				assert.Equal(t, len(with.reduced), 0, "%v", with.reduced)
			}
		})
	}
}
