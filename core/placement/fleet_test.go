package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"mimosarelay/core/model"
)

// fleetSim plays several hosts and their targets in virtual time. Hosts exchange no
// messages and learn of the load of a target only from its answers.
type fleetSim struct {
	now      time.Duration
	events   simQueue
	sequence int
	random   *rand.Rand
	hosts    [][]*simHost // by zone
	targets  map[model.TargetID]*simTarget
	lastCall CallID
	blind    bool // hosts learn neither speeds nor slowness
	stats    []zoneStats
}

// zoneStats counts the calls of the callers of one zone.
type zoneStats struct {
	calls, over  int // all calls, and those that ran in another zone
	wait, total  time.Duration
	computed     model.Tokens // prompt tokens that were not kept
	overByPeriod map[overKey]int
}

// overKey is a period of overPeriod and the zone to which calls went.
type overKey struct{ period, zone int }

const (
	overPeriod = 500 * time.Millisecond
	simToken   = 4 * time.Microsecond
	simGap     = 10 * time.Millisecond // between two events at usual speed
	simEvents  = 30
)

type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type simHost struct {
	sim       *fleetSim
	zone      int
	scheduler *Scheduler
	calls     map[CallID]*simCall
}

type simTarget struct {
	sim     *fleetSim
	zone    int
	slots   int
	speed   float64                         // time of work, relative to the usual
	slow    func(now time.Duration) float64 // the same, of the machine at the moment
	running int
	queue   []*simCall
	kept    map[model.ProgramID]model.Tokens
}

type simCall struct {
	host     *simHost
	id       CallID
	request  Request
	arrived  time.Duration
	started  time.Duration
	uncached model.Tokens
	gap      time.Duration
	done     func() // runs when the caller has the answer
}

// simLatency is the one-way latency between two zones, or inside one.
func simLatency(a, b int) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	return 900 * time.Microsecond
}

func zoneName(z int) model.Zone { return model.Zone(fmt.Sprint("zone-", z)) }

// newFleetSim returns a simulation whose targets are equally fast.
func newFleetSim(zones, hostsPerZone, targetsPerZone, slots int, options func(zone int) Options) *fleetSim {
	f := &fleetSim{random: rand.New(rand.NewPCG(7, 9)), targets: map[model.TargetID]*simTarget{}, stats: make([]zoneStats, zones)}
	var list []Target
	for z := range zones {
		f.stats[z].overByPeriod = map[overKey]int{}
		for i := range targetsPerZone {
			id := model.TargetID(fmt.Sprintf("target-%d-%02d", z, i))
			f.targets[id] = &simTarget{sim: f, zone: z, slots: slots, speed: 1, kept: map[model.ProgramID]model.Tokens{}}
			list = append(list, Target{ID: id, Models: []model.ModelID{"m"}, Zone: zoneName(z), Slots: slots, Limit: max(2, 3*slots/(zones*hostsPerZone))})
		}
	}
	for z := range zones {
		var hosts []*simHost
		for i := range hostsPerZone {
			o := options(z)
			o.Seed = uint64(100*z + i)
			o.Choice, o.Retention = CacheAware{CallCost: 1500, Slack: 1500}, HoldThroughPause{TokenTime: simToken}
			h := &simHost{sim: f, zone: z, scheduler: NewScheduler(o), calls: map[CallID]*simCall{}}
			h.scheduler.SetTargets(start, list)
			hosts = append(hosts, h)
			f.every(100*time.Millisecond, func() { h.start(h.scheduler.Tick(f.clock())) })
		}
		f.hosts = append(f.hosts, hosts)
	}
	return f
}

func (f *fleetSim) clock() time.Time { return start.Add(f.now) }

func (f *fleetSim) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, simEvent{f.now + d, f.sequence, run})
}

func (f *fleetSim) every(d time.Duration, run func()) {
	f.after(d, func() { run(); f.every(d, run) })
}

// runUntil runs the events before a time.
func (f *fleetSim) runUntil(end time.Duration) {
	for f.events[0].at < end {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.run()
	}
}

// arrivals starts programs in a zone at a rate a second, which may depend on the time.
func (f *fleetSim) arrivals(zone int, rate func(now time.Duration) float64, turns int) {
	f.after(time.Duration(f.random.ExpFloat64()/rate(f.now)*float64(time.Second)), func() {
		f.lastCall++
		f.turn(zone, model.ProgramID(fmt.Sprint("p", f.lastCall)), uint64(f.lastCall)<<16, turns, 0)
		f.arrivals(zone, rate, turns)
	})
}

// turn sends a turn of a program to a random host of the zone, and later the next one.
func (f *fleetSim) turn(zone int, program model.ProgramID, hash uint64, turns, n int) {
	f.lastCall++
	c := &simCall{host: f.hosts[zone][f.random.IntN(len(f.hosts[zone]))], id: f.lastCall, arrived: f.now}
	c.request = Request{Workspace: "w", Program: program, Model: "m", Prefixes: []uint64{1}, PrefixTokens: []model.Tokens{8000}}
	for i := range n + 1 {
		c.request.Prefixes = append(c.request.Prefixes, hash+uint64(i))
		c.request.PrefixTokens = append(c.request.PrefixTokens, model.Tokens(10000+1000*i))
	}
	c.request.Prompt = c.request.PrefixTokens[n+1]
	c.done = func() {
		if n+1 < turns {
			f.after(200*time.Millisecond, func() { f.turn(zone, program, hash, turns, n+1) })
		}
	}
	c.host.calls[c.id] = c
	grants, err := c.host.scheduler.Add(f.clock(), c.id, c.request)
	if err != nil {
		panic(err) // every call has a target
	}
	c.host.start(grants)
}

func (h *simHost) start(grants []Grant) {
	for _, g := range grants {
		t, c := h.sim.targets[g.Target], h.calls[g.Call]
		h.sim.after(simLatency(h.zone, t.zone), func() { t.arrive(c, g.Target) })
	}
}

func (t *simTarget) factor() float64 {
	if t.slow == nil {
		return t.speed
	}
	return t.speed * t.slow(t.sim.now)
}

func (t *simTarget) arrive(c *simCall, id model.TargetID) {
	if t.running == t.slots {
		t.queue = append(t.queue, c)
		return
	}
	t.running++
	f, h := t.sim, c.host
	c.started = f.now
	c.uncached = c.request.Prompt - max(t.kept[c.request.Program], t.kept[""])
	t.kept[""], t.kept[c.request.Program] = 8000, c.request.Prompt
	c.gap = time.Duration(t.factor() * float64(simGap))
	took := time.Duration(t.factor()*float64(c.uncached)*float64(simToken)) + simEvents*c.gap
	latency := simLatency(h.zone, t.zone)
	load := Load{Running: t.running, Waiting: len(t.queue), Slots: t.slots}
	if t.slow != nil && !f.blind {
		load.Slowness = t.slow(f.now)
	}
	f.after(latency, func() {
		load.At = f.clock()
		h.scheduler.Report(id, load)
	})
	f.after(took, func() {
		t.running--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.arrive(next, id)
		}
		f.after(latency, func() { t.finish(c) })
	})
}

func (t *simTarget) finish(c *simCall) {
	f, h := t.sim, c.host
	z := &f.stats[h.zone]
	z.calls++
	z.wait += c.started - c.arrived
	z.total += f.now - c.arrived
	z.computed += c.uncached
	if t.zone != h.zone {
		z.over++
		z.overByPeriod[overKey{int(c.arrived / overPeriod), t.zone}]++
	}
	delete(h.calls, c.id)
	u := Usage{Prompt: c.request.Prompt, Completion: simEvents, Work: c.gap, Kind: 1}
	if f.blind {
		u.Work = 0
	}
	h.start(h.scheduler.Release(f.clock(), c.id, u))
	c.done()
}

// sum returns the statistics of all zones together.
func (f *fleetSim) sum() zoneStats {
	var all zoneStats
	for _, z := range f.stats {
		all.calls, all.over = all.calls+z.calls, all.over+z.over
		all.wait, all.total, all.computed = all.wait+z.wait, all.total+z.total, all.computed+z.computed
	}
	return all
}

func (z zoneStats) meanWait() time.Duration  { return z.wait / time.Duration(max(1, z.calls)) }
func (z zoneStats) meanTotal() time.Duration { return z.total / time.Duration(max(1, z.calls)) }
func (z zoneStats) overShare() float64       { return float64(z.over) / float64(max(1, z.calls)) }
func (z zoneStats) meanComputed() float64    { return float64(z.computed) / float64(max(1, z.calls)) }

func (z zoneStats) String() string {
	return fmt.Sprintf("%d calls, wait %v, total %v, over %.3f, computed %.0f", z.calls, z.meanWait(), z.meanTotal(), z.overShare(), z.meanComputed())
}
