package placement

import (
	"time"

	"mimosarelay/core/model"
)

// Target is what the scheduler needs to know of a target.
type Target struct {
	ID     model.TargetID
	Models []model.ModelID
	// Limit bounds the calls in flight from this host. A target with limit 0
	// gets no call.
	Limit int
	// Skip takes the target out of use for now, for example because it
	// refuses connections. Its waiting calls wait on.
	Skip bool
}

// Load is a target's report of its load.
type Load struct {
	// At is the time that the report describes, by this host's clock.
	At time.Time
	// Running and Waiting count the calls of all hosts.
	Running int
	Waiting int
}

// target is the state of a target at this host.
type target struct {
	Target
	hash     uint64 // of the id
	inFlight map[CallID]*call
	classes  []*class
	free     bool // as counted in the classes
	load     Load
	sent     int         // calls in flight that started after load.At
	ended    []time.Time // ends since load.At of calls that it includes
	// hitTokens is the cached part of the prompt of the decision hitFor.
	hitFor    uint64
	hitTokens model.Tokens
	held      int       // programs held through a pause
	lost      time.Time // when the target last lost its cache
}

func (t *target) hasRoom() bool { return !t.Skip && len(t.inFlight) < t.Limit }

const (
	// loadFresh is the age up to which a report counts in full.
	loadFresh = time.Second
	// loadLifetime is the age at which a report no longer counts: calls last for
	// fractions of a second, so that it describes other calls.
	loadLifetime = 3 * time.Second
)

// calls returns the corrected number of calls at the target. Those of other
// hosts count for less as the report gets older: a host of a large fleet hears
// of a target only every few seconds.
func (t *target) calls(now time.Time) float64 {
	own := float64(len(t.inFlight))
	others := float64(t.load.Running+t.load.Waiting-len(t.ended)+t.sent) - own
	left := float64(loadLifetime-now.Sub(t.load.At)) / float64(loadLifetime-loadFresh)
	return own + max(0, others)*min(max(0, left), 1)
}

// report replaces the load unless a newer one is known.
func (t *target) report(l Load) {
	if l.At.Before(t.load.At) {
		return
	}
	t.load = l
	kept := t.ended[:0]
	for _, at := range t.ended {
		if at.After(l.At) {
			kept = append(kept, at)
		}
	}
	t.ended = kept
	t.sent = 0
	for _, c := range t.inFlight {
		if c.started.After(l.At) {
			t.sent++
		}
	}
}

func (t *target) begin(c *call) {
	t.inFlight[c.id] = c
	if c.started.After(t.load.At) {
		t.sent++
	}
}

func (t *target) end(c *call, now time.Time) {
	delete(t.inFlight, c.id)
	if c.started.After(t.load.At) {
		t.sent--
	} else if !t.load.At.IsZero() {
		t.ended = append(t.ended, now)
	}
}

// choose returns a target of the class with room. There is at least one.
func (s *Scheduler) choose(c *class, k *call, now time.Time) *target {
	if p, ok := s.options.Choice.(CacheAware); ok {
		return s.chooseCached(c, k, p, now)
	}
	for {
		t := c.targets[c.next%len(c.targets)]
		c.next = (c.next + 1) % len(c.targets)
		if t.free {
			return t
		}
	}
}

type scored struct {
	target *target
	calls  float64
	cost   float64
}

func (s *Scheduler) chooseCached(c *class, k *call, p CacheAware, now time.Time) *target {
	s.findCached(k, now)
	prompt := s.expected(&k.request)
	home := s.findHomes(c, k)
	s.scratch = s.scratch[:0]
	lowest := 0.0
	for _, t := range c.targets {
		if !t.free {
			continue
		}
		calls := t.calls(now)
		load := calls + s.heldLoad(t)
		cost := float64(prompt-min(s.cachedAt(t), prompt)) + load*p.CallCost
		if t == home {
			cost -= homeCalls * p.CallCost
		}
		if len(s.scratch) == 0 || cost < lowest {
			lowest = cost
		}
		s.scratch = append(s.scratch, scored{target: t, calls: calls, cost: cost})
	}
	near := s.scratch[:0]
	for _, x := range s.scratch {
		if x.cost <= lowest+p.Slack {
			near = append(near, x)
		}
	}
	a := near[s.random.IntN(len(near))]
	b := near[s.random.IntN(len(near))]
	if b.calls < a.calls || b.calls == a.calls && b.cost < a.cost {
		return b.target
	}
	return a.target
}
