package placement

import (
	"time"

	"mimosarelay/core/model"
)

// Target describes a target to a Scheduler.
type Target struct {
	ID     model.TargetID
	Models []model.ModelID
	Zone   model.Zone
	// Slots is the number of calls of all hosts that the target runs at a time; 0 if
	// that is not known.
	Slots int
	// Limit is the number of places: calls that this host may have in flight
	// at the target. A target with limit 0 gets no call.
	Limit int
	// Skip takes the target out of use for now, for example because it
	// refuses connections. Calls that wait for it stay queued.
	Skip bool
}

// Load is a target's report of its load.
type Load struct {
	// At is the time at which the load was measured, by this host's clock.
	At time.Time
	// Running and Waiting count the target's calls from all hosts.
	Running int
	Waiting int
	// Slots is the number of calls that the target runs at a time; 0 if not stated.
	Slots int
	// Slowness is the time that work takes at the target at the moment, relative to
	// the usual time; 0 if not stated.
	Slowness float64
}

// target holds a target's configuration and its state at this host.
type target struct {
	Target
	idHash           uint64 // of the ID
	inFlight         map[CallID]*call
	classes          []*class
	available        bool // hasCapacity, as last counted in classes
	load             Load
	sentSinceReport  int         // calls in flight that started after load.At
	endedSinceReport []time.Time // end times after load.At of calls that load includes
	// hitTokens is the part of the prompt that the target probably has cached.
	// It is valid while hitDecision equals Scheduler.decision.
	hitDecision  uint64
	hitTokens    model.Tokens
	heldPrograms int       // programs held here during a pause
	cacheLostAt  time.Time // when the target last lost its cache
}

func (t *target) hasCapacity() bool { return !t.Skip && len(t.inFlight) < t.Limit }

const (
	// loadFreshAge is the age up to which a load report counts in full.
	loadFreshAge = time.Second
	// loadMaxAge is the age from which a load report no longer counts. Calls last
	// fractions of a second, so an older report describes calls that have ended.
	loadMaxAge = 3 * time.Second
)

// estimatedCalls returns the number of calls at the target: the reported load,
// corrected by the calls that this host started or ended since. The calls of
// other hosts lose weight as the report ages, because in a large fleet a host
// receives a report of a target only every few seconds.
func (t *target) estimatedCalls(now time.Time) float64 {
	own := float64(len(t.inFlight))
	others := float64(t.load.Running+t.load.Waiting-len(t.endedSinceReport)+t.sentSinceReport) - own
	weight := float64(loadMaxAge-now.Sub(t.load.At)) / float64(loadMaxAge-loadFreshAge)
	return own + max(0, others)*min(max(0, weight), 1)
}

// setLoad replaces the load report unless the present one is newer.
func (t *target) setLoad(l Load) {
	if l.At.Before(t.load.At) {
		return
	}
	t.load = l
	kept := t.endedSinceReport[:0]
	for _, at := range t.endedSinceReport {
		if at.After(l.At) {
			kept = append(kept, at)
		}
	}
	t.endedSinceReport = kept
	t.sentSinceReport = 0
	for _, c := range t.inFlight {
		if c.started.After(l.At) {
			t.sentSinceReport++
		}
	}
}

func (t *target) startCall(c *call) {
	t.inFlight[c.id] = c
	if c.started.After(t.load.At) {
		t.sentSinceReport++
	}
}

func (t *target) endCall(c *call, now time.Time) {
	delete(t.inFlight, c.id)
	if c.started.After(t.load.At) {
		t.sentSinceReport--
	} else if !t.load.At.IsZero() {
		t.endedSinceReport = append(t.endedSinceReport, now)
	}
}

// chooseTarget returns an available target of the class, which must have at
// least one.
func (s *Scheduler) chooseTarget(c *class, k *call, now time.Time) *target {
	if k.request.Object != 0 && len(k.request.Prefixes) == 0 {
		return chooseByObject(c, k.request.Object, now)
	}
	if p, ok := s.options.Choice.(CacheAware); ok {
		return s.chooseByCost(c, k, p, now)
	}
	for {
		t := c.targets[c.nextTarget%len(c.targets)]
		c.nextTarget = (c.nextTarget + 1) % len(c.targets)
		if t.available {
			return t
		}
	}
}

// scoredTarget is an available target with its cost in prompt tokens.
type scoredTarget struct {
	target *target
	calls  float64
	cost   float64
}

// chooseByCost draws two of the targets whose cost is within Slack of the
// lowest and returns the one with fewer calls, or the lower cost if equal.
func (s *Scheduler) chooseByCost(c *class, k *call, p CacheAware, now time.Time) *target {
	s.findCached(k, now)
	prompt := s.expectedPrompt(&k.request)
	home := s.creditHomes(c, k)
	s.scored = s.scored[:0]
	lowest := 0.0
	for _, t := range c.targets {
		if !t.available {
			continue
		}
		calls := t.estimatedCalls(now)
		load := calls + s.heldLoad(t)
		cost := float64(prompt-min(s.cachedTokens(t), prompt)) + load*p.CallCost
		if t == home {
			cost -= homeBonusCalls * p.CallCost
		}
		if len(s.scored) == 0 || cost < lowest {
			lowest = cost
		}
		s.scored = append(s.scored, scoredTarget{target: t, calls: calls, cost: cost})
	}
	cheapest := s.scored[:0]
	for _, st := range s.scored {
		if st.cost <= lowest+p.Slack {
			cheapest = append(cheapest, st)
		}
	}
	a := cheapest[s.random.IntN(len(cheapest))]
	b := cheapest[s.random.IntN(len(cheapest))]
	if b.calls < a.calls || b.calls == a.calls && b.cost < a.cost {
		return b.target
	}
	return a.target
}
