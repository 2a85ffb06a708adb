package cold_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/cold"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/core/pacing"
)

var start = time.Unix(1000, 0)

func half() float64 { return 0.5 }

func entryOf(startedAt ingress.UnixMilliseconds, coldFor time.Duration) []ingress.Target {
	return []ingress.Target{{ID: "t", StartedAt: startedAt, ColdFor: coldFor}}
}

// Guards against a target that counts as warm before its own statement, and against one
// that is paced for ever.
func TestColdEndsByStatementOfNewStart(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		learn func(*cold.Tracker)
		want  map[float64]bool // cold at a time in seconds
	}{
		"warm":                    {func(*cold.Tracker) {}, map[float64]bool{1: false}},
		"stated":                  {func(x *cold.Tracker) { x.SetTargets(at(1), entryOf(1, 3*time.Second)) }, map[float64]bool{1: true, 3.9: true, 4.1: false}},
		"refused, entry of old":   {func(x *cold.Tracker) { x.Suspect(at(1), "t"); x.SetTargets(at(2), entryOf(1, 0)) }, map[float64]bool{2: true, 60: true}},
		"refused, new start":      {func(x *cold.Tracker) { x.Suspect(at(1), "t"); x.SetTargets(at(2), entryOf(2, 3*time.Second)) }, map[float64]bool{2: true, 4.9: true, 5.1: false}},
		"refused, new warm start": {func(x *cold.Tracker) { x.Suspect(at(1), "t"); x.SetTargets(at(2), entryOf(2, 0)) }, map[float64]bool{2.1: false}},
		"older list after the new one": {func(x *cold.Tracker) {
			x.SetTargets(at(1), entryOf(2, 3*time.Second))
			x.SetTargets(at(1.4), entryOf(1, 0))
			x.Suspect(at(1.5), "t")
			x.SetTargets(at(1.8), entryOf(2, 2200*time.Millisecond))
		}, map[float64]bool{1.4: true, 1.8: true, 30: true}},
		"statement withdrawn": {func(x *cold.Tracker) {
			x.SetTargets(at(1), entryOf(1, time.Hour))
			x.SetTargets(at(2), entryOf(1, 0))
			x.SetTargets(at(4.1), entryOf(1, 0))
		}, map[float64]bool{4.2: false}},
		"evacuated, new start meanwhile": {func(x *cold.Tracker) {
			x.SetEvacuated(at(1), func(model.TargetID) bool { return true })
			x.SetTargets(at(2), entryOf(2, 0))
			x.SetEvacuated(at(3), func(model.TargetID) bool { return false })
			x.SetTargets(at(4), entryOf(2, 0))
		}, map[float64]bool{2: true, 4: true, 30: true}},
	} {
		t.Run(name, func(t *testing.T) {
			x := cold.NewTracker(half)
			x.SetTargets(start, entryOf(1, 0))
			c.learn(x)
			for s, want := range c.want {
				assert.Equal(t, x.Cold(at(s), "t"), want, "after %v s", s)
			}
		})
	}
}

// Guards against a probe that is sent at once by all hosts, that clears a later
// suspicion, or that is sent without end.
func TestProbesAreRareAndCountForTheirSuspicion(t *testing.T) {
	x := cold.NewTracker(rand.Float64)
	wanted := func(model.TargetID) bool { return true }
	x.Suspect(start, "t")
	assert.Equal(t, len(x.StartProbes(start.Add(2900*time.Millisecond), 9, wanted)), 0)
	due := x.StartProbes(start.Add(7100*time.Millisecond), 9, wanted)
	assert.Equal(t, len(due), 1)
	x.Suspect(start.Add(7200*time.Millisecond), "t")
	now := start.Add(7300 * time.Millisecond)
	x.FinishProbe(now, due[0], true, 0)
	assert.Assert(t, x.Cold(now, "t"), "a result of before the last failure counts")
	probes := 0
	for ; now.Before(start.Add(5 * time.Minute)); now = now.Add(500 * time.Millisecond) {
		for _, p := range x.StartProbes(now, 9, wanted) {
			probes++
			x.FinishProbe(now, p, false, 0)
		}
	}
	assert.Assert(t, probes >= 4 && probes <= 10, "%d probes in 5 minutes", probes)
	for ; x.Cold(now, "t") && now.Before(start.Add(10*time.Minute)); now = now.Add(500 * time.Millisecond) {
		for _, p := range x.StartProbes(now, 9, wanted) {
			x.FinishProbe(now, p, true, 2*time.Second)
		}
	}
	assert.Assert(t, now.Before(start.Add(10*time.Minute)))
}

// Guards against a host that sends its first requests to targets of a lost zone unpaced,
// because it had sent these targets nothing while they were down.
func TestTargetsThatFailTogetherAreAllSuspect(t *testing.T) {
	x := cold.NewTracker(half)
	group := []model.TargetID{"a", "b", "c", "d", "e"}
	for i, id := range group[:3] {
		assert.Assert(t, !x.Cold(start, "e"))
		assert.Equal(t, x.SuspectGroup(start, id, group), i == 2)
	}
	assert.Equal(t, len(x.List(start)), len(group))
}

// fleet plays many hosts that use one target, which goes down and returns cold.
type fleet struct {
	t      *rapid.T
	random *rand.Rand
	queue  map[int64][]func(now time.Time) // by ms since start
	owners [2]*pacing.Scheduler            // both decide at the same time
	rate   pacing.Rate
	arrive []time.Time
	// bunch makes the granted requests arrive as close together as they may.
	bunch bool
}

const (
	fleetDown   = 2 * time.Second // the target goes down
	fleetReturn = fleetDown + 4500*time.Millisecond
	fleetCold   = 3 * time.Second
	fleetEnd    = fleetReturn + fleetCold + 5*time.Second
)

func (f *fleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d) + 1))
}

func (f *fleet) at(now time.Time, run func(time.Time)) {
	ms := now.Sub(start).Milliseconds()
	f.queue[ms] = append(f.queue[ms], run)
}

type fleetHost struct {
	*fleet
	tracker  *cold.Tracker
	isolated bool
	interval time.Duration
}

// bunchTime is the time between the bunches.
const bunchTime = 1500 * time.Millisecond

// delays returns the time from the slot of a granted request until it is sent, and from
// there until it arrives.
func (f *fleet) delays(slot time.Time) (send, transit time.Duration) {
	if !f.bunch {
		return f.upTo(600 * time.Millisecond), f.upTo(100 * time.Millisecond)
	}
	if left := bunchTime - slot.Sub(start)%bunchTime; left <= cold.GrantLifetime {
		return left, 100 * time.Millisecond
	}
	return 0, 0
}

// try sends one request if it may be sent.
func (h *fleetHost) try(now time.Time) {
	h.at(now.Add(h.interval/2+h.upTo(h.interval)), h.try)
	sendDelay, transit := h.upTo(600*time.Millisecond), h.upTo(100*time.Millisecond)
	send, expires := now.Add(sendDelay), time.Time{}
	if h.tracker.Cold(now, "t") {
		if h.isolated {
			return
		}
		granted, ok := h.owners[h.random.IntN(2)].TakeCold(now, "t", h.rate, 500*time.Millisecond).(pacing.Granted)
		if !ok {
			return
		}
		slot := now.Add(granted.Delay)
		expires = slot.Add(cold.GrantLifetime)
		sendDelay, transit = h.delays(slot)
		send = slot.Add(sendDelay)
	}
	h.at(send, func(now time.Time) {
		switch {
		case expires.IsZero() && h.tracker.Cold(now, "t"), !expires.IsZero() && now.After(expires):
			return
		case now.Sub(start) >= fleetDown && now.Sub(start) < fleetReturn:
			h.tracker.Suspect(now, "t")
		default:
			h.arrive = append(h.arrive, now.Add(transit))
		}
	})
}

// read reads a list of targets that may be old.
func (h *fleetHost) read(now time.Time) {
	h.at(now.Add(400*time.Millisecond), h.read)
	if asOf := now.Add(-h.upTo(1300 * time.Millisecond)).Sub(start); asOf < fleetReturn {
		h.tracker.SetTargets(now, entryOf(1, 0))
	} else {
		h.tracker.SetTargets(now, entryOf(2, max(0, fleetReturn+fleetCold-now.Sub(start))))
	}
}

// Guards against a target that returns and gets the requests of all hosts at once: hosts
// that learn of it in any order, that are cut off, and that ask two owners.
func TestColdTargetGetsNoMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perSecond = 26
		bound := cold.Bound{Over: 1.5, Slack: 5}
		f := &fleet{
			t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), queue: map[int64][]func(time.Time){},
			owners: [2]*pacing.Scheduler{pacing.NewScheduler(), pacing.NewScheduler()}, rate: bound.GrantRate(perSecond), bunch: rapid.Bool().Draw(t, "bunch"),
		}
		hosts := make([]*fleetHost, rapid.IntRange(1, 300).Draw(t, "hosts"))
		isolated := rapid.Float64Range(0, 1).Draw(t, "isolated")
		for i := range hosts {
			h := &fleetHost{fleet: f, tracker: cold.NewTracker(f.random.Float64), isolated: f.random.Float64() < isolated, interval: 50*time.Millisecond + f.upTo(time.Second)}
			h.tracker.SetTargets(start, entryOf(1, 0))
			h.at(start.Add(f.upTo(time.Second)), h.try)
			if !h.isolated {
				h.at(start.Add(f.upTo(400*time.Millisecond)), h.read)
			}
			hosts[i] = h
		}
		for ms := int64(0); ms < fleetEnd.Milliseconds(); ms++ {
			for i := 0; i < len(f.queue[ms]); i++ { // grows meanwhile
				f.queue[ms][i](start.Add(time.Duration(ms) * time.Millisecond))
			}
			delete(f.queue, ms)
		}
		counts := map[int64]int{} // by ms of the arrival
		for _, a := range f.arrive {
			counts[a.Sub(start).Milliseconds()]++
		}
		n := 0
		for ms := fleetReturn.Milliseconds(); ms < (fleetReturn + fleetCold).Milliseconds(); ms++ {
			n += counts[ms]
			if ms-1000 >= fleetReturn.Milliseconds() {
				n -= counts[ms-1000]
			}
			assert.Assert(t, float64(n) <= perSecond*bound.Over+bound.Slack, "%d requests in the second before %d ms", n, ms)
		}
		for _, h := range hosts {
			assert.Assert(t, h.isolated || !h.tracker.Cold(start.Add(fleetEnd), "t"), "the target is still paced")
		}
	})
}
