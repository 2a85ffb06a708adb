package placement

import (
	"slices"
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
	ended            []endedCall // calls that ended after load.At, oldest first
	endedSinceReport int         // those of them that load includes
	// hitTokens is the part of the prompt that the target probably has cached.
	// It is valid while hitDecision equals Scheduler.decision.
	hitDecision  uint64
	hitTokens    model.Tokens
	heldPrograms int       // programs held here during a pause
	cacheLostAt  time.Time // when the target last lost its cache
	speed        speed
	sharing      sharing
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
	others := float64(t.load.Running+t.load.Waiting-t.endedSinceReport+t.sentSinceReport) - own
	weight := float64(loadMaxAge-now.Sub(t.load.At)) / float64(loadMaxAge-loadFreshAge)
	return own + max(0, others)*min(max(0, weight), 1)
}

// setLoad replaces the load report unless the present one is newer.
func (t *target) setLoad(l Load) {
	if l.At.Before(t.load.At) {
		return
	}
	t.load = l
	t.dropEnded(l.At)
	t.endedSinceReport = 0
	for _, c := range t.ended {
		if !c.started.After(l.At) {
			t.endedSinceReport++
		}
	}
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

// endCall removes a call. Also a call that the present load does not include is kept in
// ended, because a later report may be older than its end.
func (t *target) endCall(c *call, now time.Time) {
	delete(t.inFlight, c.id)
	t.dropEnded(now.Add(-loadMaxAge))
	t.ended = append(t.ended, endedCall{started: c.started, ended: now})
	if c.started.After(t.load.At) {
		t.sentSinceReport--
	} else if !t.load.At.IsZero() {
		t.endedSinceReport++
	}
}

// dropEnded forgets the calls that ended until a moment. Later reports are younger.
func (t *target) dropEnded(until time.Time) {
	n := 0
	for n < len(t.ended) && !t.ended[n].ended.After(until) {
		n++
	}
	t.ended = slices.Delete(t.ended, 0, n)
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
	calls  float64 // weighted by the time that they take
	cost   float64
}

const (
	// maxCallWork bounds the work of a call after its prompt, in calls of load. With
	// more, a difference in speed would outweigh any kept prefix.
	maxCallWork = 8
	// defaultQueueWork is the cost of a call beyond the slots of a target, in calls of
	// load, while the time that calls take is not known. A call that runs slows down the
	// others; one that waits for a slot waits for the end of another.
	defaultQueueWork = 4
	// keptTolerance is the factor up to which a slow target costs nothing for a program
	// whose prompt it keeps. Moving the program for less would compute the prompt again
	// for each change of the speeds.
	keptTolerance = 1.5
)

// callWork holds the parts of the cost that are the same for all targets of a decision.
type callWork struct {
	prompt   model.Tokens
	callCost float64
	// own is the work of the call after its prompt, in prompt tokens.
	own float64
	// meanCall is the mean time of a call in prompt tokens; 0 if it is not known.
	meanCall float64
	begun    bool // a target keeps at least half of the prompt
}

// workOf returns the work of a call of a pool.
func (s *Scheduler) workOf(p *pool, prompt model.Tokens, callCost float64) callWork {
	w := callWork{prompt: prompt, callCost: callCost}
	if p != nil {
		w.meanCall = float64(p.meanCall) / float64(s.tokenTime())
		w.own = min(w.meanCall, maxCallWork*callCost)
	}
	return w
}

// tokenTime returns the time to compute one prompt token.
func (s *Scheduler) tokenTime() time.Duration {
	if h, ok := s.options.Retention.(HoldThroughPause); ok {
		return h.TokenTime
	}
	return defaultTokenTime
}

// cost returns the expected time until the call is complete at a target, in prompt
// tokens: the work of the call and of the calls that are there, and the wait for a
// slot, at the speed of the target.
func (w *callWork) cost(cached model.Tokens, load float64, slots int, factor float64) float64 {
	cached = min(cached, w.prompt)
	if w.begun {
		if w.keeps(cached) {
			factor /= keptTolerance
		}
		factor = max(factor, 1)
	}
	work := float64(w.prompt-cached) + w.own + load*w.callCost
	if queue := load + 1 - float64(slots); slots > 0 && queue > 0 {
		work += queue * w.queueCost(slots)
	}
	return factor * work
}

// queueCost returns the cost of a call that waits for one of the slots of a target.
func (w *callWork) queueCost(slots int) float64 {
	if w.meanCall == 0 {
		return defaultQueueWork * w.callCost
	}
	return min(max(w.meanCall/float64(slots), w.callCost), maxCallWork*w.callCost)
}

// slots returns the number of calls that the target runs at a time; 0 if it is not
// known.
func (t *target) slots() int {
	if t.load.Slots > 0 {
		return t.load.Slots
	}
	return t.Slots
}

// chooseByCost draws two of the targets whose cost is within Slack of the lowest and
// returns the one with fewer calls, or the lower cost if equal. Targets in other zones
// count only as reachOf decides, unless no other target is available.
func (s *Scheduler) chooseByCost(c *class, k *call, p CacheAware, now time.Time) *target {
	s.findCached(k, now)
	r := s.reachOf(c, k)
	home := s.creditHomes(c, k, &r)
	r.kept = s.mostKept(c, s.options.Zone)
	work := s.workOf(c.pool, s.expectedPrompt(&k.request), p.CallCost)
	work.begun = work.prompt > 0 && s.keptBy(c, work.prompt)
	if lowest := s.scoreTargets(c, &work, &r, home, now); len(s.scored) > 0 {
		return s.drawTarget(lowest + p.Slack)
	}
	r.all = true
	return s.drawTarget(s.scoreTargets(c, &work, &r, home, now) + p.Slack)
}

// scoreTargets sets scored to the available targets that the call may use and returns
// their lowest cost. A target that keeps at least half of the prompt, and more than those
// in the zone of the host, may be used in any zone: the program began there. Without the
// second condition a prefix that many programs share would lead to any zone.
func (s *Scheduler) scoreTargets(c *class, w *callWork, r *reach, home *target, now time.Time) float64 {
	s.scored = s.scored[:0]
	lowest := 0.0
	for _, t := range c.targets {
		if !t.available {
			continue
		}
		cached := s.cachedTokens(t)
		if !r.includes(t) && (!w.keeps(cached) || cached <= r.kept) {
			continue
		}
		calls, factor := t.estimatedCalls(now), t.timeFactor(now)
		cost := w.cost(cached, calls+s.heldLoad(t), t.slots(), factor) + r.pathTo(t, s.options.Zone)
		if t == home {
			cost -= homeBonusCalls * w.callCost
		}
		if len(s.scored) == 0 || cost < lowest {
			lowest = cost
		}
		s.scored = append(s.scored, scoredTarget{target: t, calls: calls * factor, cost: cost})
	}
	return lowest
}

// drawTarget draws two of the scored targets whose cost is at most limit and returns the
// better one.
func (s *Scheduler) drawTarget(limit float64) *target {
	cheapest := s.scored[:0]
	for _, st := range s.scored {
		if st.cost <= limit {
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

// keeps reports whether a target with that part of the prompt keeps at least half of it.
func (w *callWork) keeps(cached model.Tokens) bool { return w.prompt > 0 && 2*cached >= w.prompt }

// keptBy reports whether a target of the class keeps at least half of the prompt.
func (s *Scheduler) keptBy(c *class, prompt model.Tokens) bool {
	for _, t := range c.targets {
		if 2*s.cachedTokens(t) >= prompt {
			return true
		}
	}
	return false
}
