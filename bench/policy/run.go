package main

import (
	"fmt"
	"time"

	"mimosarelay/core/escrow"
	"mimosarelay/core/limit"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// boundRatio is an entry host's estimate of a prompt by its actual tokens.
const boundRatio = 1.5

// setup describes one run.
type setup struct {
	site        site
	demand      demand
	load        int // percent
	disturbance disturbance
	policy      policy
	seed        uint64
	arrivals    time.Duration
}

// program is a running script.
type program struct {
	script   *script
	host     *host
	parent   *program
	children int // sub-agents that run
	next     int // step
	running  bool
	history  model.Tokens // prompt and response of the last call
	prefixes []uint64
	refusals int // for the rate, in succession
}

// call is a call of a program on its way to a target.
type call struct {
	program *program
	step    int
	service bool
	request placement.Request
	id      placement.CallID
	target  model.TargetID
	arrived time.Duration // at the host
}

// run is the state of one run.
type run struct {
	setup
	events  eventQueue
	hosts   []*host
	names   []model.HostID
	engines []*engine
	byName  map[model.TargetID]*engine
	buckets []*limit.Bucket
	live    int // programs that started or will start
	away    bool
	result  result
	fault   error // a violated invariant
}

// play runs a setup until all programs ended.
func play(s setup) (result, error) {
	r := &run{setup: s, byName: map[model.TargetID]*engine{}}
	r.result.init(len(s.site.shares))
	for i := range s.site.engines {
		e := newEngine(engineName(i), i%zones, &r.events)
		r.engines = append(r.engines, e)
		r.byName[e.id] = e
	}
	for i := range s.site.hosts {
		r.names = append(r.names, hostName(i))
	}
	for i := range r.names {
		o := s.policy.options
		o.Seed = s.seed<<8 | uint64(i)
		r.hosts = append(r.hosts, newHost(r, i, r.names, o))
	}
	for _, h := range r.hosts {
		h.setTargets(r.names)
	}
	r.schedulePrograms()
	r.schedulePeriodic()
	r.scheduleDisturbance()
	for r.live > 0 && r.fault == nil {
		if r.events.now > maxTime {
			return result{}, fmt.Errorf("%d programs did not end within %v", r.live, maxTime)
		}
		r.events.step()
	}
	for _, e := range r.engines {
		r.result.busy += e.busy
		r.result.peak = max(r.result.peak, e.peak)
		r.result.blocks = max(r.result.blocks, e.cache.peak)
	}
	r.result.elapsed = r.events.now
	return r.result, r.fault
}

// schedulePrograms draws the programs. Those of a workspace are the same in
// all runs with the same seed, unless the workspace exceeds its rate.
func (r *run) schedulePrograms() {
	for w := range r.site.shares {
		contract := limit.NewContract(rateFactor*r.demand.calls[w], rateFactor*r.demand.calls[w]*burstTime.Seconds())
		b := limit.NewBucket(epoch, contract, escrow.FullShare, escrow.FullShare)
		b.Deposit(epoch, contract.Burst)
		r.buckets = append(r.buckets, b)
		rate := r.demand.programs[w] * float64(r.load) / 100
		if r.exceeds(w) {
			rate = r.demand.programs[w] * rateFactor * excessFactor
		}
		for _, s := range newGenerator(r.seed, w, r.site.serviceChance).arrivals(rate, r.arrivals) {
			r.live++
			r.events.after(s.starts, func() { r.begin(s, nil) })
		}
	}
}

// exceeds reports whether a workspace sends more than its rate: the largest.
func (r *run) exceeds(w int) bool { return r.disturbance == excess && w == 0 }

func (r *run) schedulePeriodic() {
	for _, h := range r.hosts {
		r.every(tickTime, h.tick)
	}
	lag := reportLag
	if r.disturbance == lateReports {
		lag = lateLag
	}
	for _, e := range r.engines {
		r.every(pollTime, func() { r.report(e, lag) })
	}
}

// every runs a function until all programs ended.
func (r *run) every(d time.Duration, f func()) {
	r.events.after(d, func() {
		f()
		r.every(d, f)
	})
}

// report sends the load of an engine to all hosts, or lets them find that it
// refuses connections.
func (r *run) report(e *engine, lag time.Duration) {
	if e.down {
		for _, h := range r.hosts {
			h.failed(e.id)
		}
		return
	}
	l := placement.Load{At: r.events.time(), Running: len(e.batch), Waiting: len(e.waiting)}
	r.events.after(lag, func() {
		for _, h := range r.hosts {
			h.scheduler.Report(e.id, l)
		}
	})
}

func (r *run) scheduleDisturbance() {
	e := r.engines[int(r.seed)%len(r.engines)]
	starts, ends := r.arrivals/3, r.arrivals*2/3
	switch r.disturbance {
	case targetLost:
		r.events.after(starts, e.crash)
		r.events.after(ends, func() { e.down = false })
	case targetLeave:
		r.events.after(starts+changeTime, func() { r.leave(e.id) })
		r.events.after(ends+changeTime, func() { r.leave("") })
	case storeAway:
		r.events.after(starts, func() { r.away = true })
		r.events.after(ends, func() { r.away = false })
	case eventGaps:
		n := int(r.seed)
		r.every(clearTime, func() {
			n++
			r.clearCache(r.engines[n%len(r.engines)], n%clearGap == 0)
		})
	}
}

// leave marks a target as leaving, or none.
func (r *run) leave(id model.TargetID) {
	for _, h := range r.hosts {
		h.leaving = id
		h.setTargets(r.names)
	}
}

// clearCache empties the cache of an engine. The event comes late or is lost.
func (r *run) clearCache(e *engine, lost bool) {
	e.cache.clear()
	if lost {
		return
	}
	at := r.events.time()
	r.events.after(reportLag, func() {
		for _, h := range r.hosts {
			h.scheduler.LostCache(at, e.id)
		}
	})
}

// begin starts a program or a sub-agent.
func (r *run) begin(s *script, parent *program) {
	p := &program{script: s, parent: parent, host: r.hosts[int(s.id%uint64(len(r.hosts)))]}
	p.prefixes = []uint64{uint64(s.workspace)<<16 | 1}
	r.send(p, false)
}

// entry is the latency between a caller and the owner of its program. The
// caller connects to a host of any zone.
func (p *program) entry() time.Duration {
	if int(p.script.id%zones) == p.host.zone {
		return callerLatency
	}
	return callerLatency + zoneLatency
}

// send starts the next call of a program.
func (r *run) send(p *program, service bool) {
	if p.running {
		r.fault = fmt.Errorf("program %x: call %d starts before the previous one ended", p.script.id, p.next)
	}
	p.running = true
	c := &call{program: p, step: p.next, service: service}
	c.request = placement.Request{Workspace: workspaceName(p.script.workspace), Program: p.script.name()}
	if service {
		for i := range applicationServers {
			c.request.Candidates = append(c.request.Candidates, applicationName(i))
		}
	} else {
		x := p.script.steps[p.next]
		if p.next == 0 {
			p.history = p.script.system
		} else { // the last response
			p.prefixes = append(p.prefixes, p.script.id<<16|uint64(2*p.next))
		}
		p.prefixes = append(p.prefixes, p.script.id<<16|uint64(2*p.next+1))
		c.request.Model = modelName
		c.request.Prompt = model.Tokens(boundRatio * float64(p.history+x.added))
		c.request.Prefixes = p.prefixes[:len(p.prefixes):len(p.prefixes)]
	}
	r.result.sent++
	r.events.after(p.entry(), func() { r.arrive(c) })
}

// arrive admits a call at the host against the rate of its workspace.
func (r *run) arrive(c *call) {
	c.arrived = r.events.now
	r.admit(c)
}

func (r *run) admit(c *call) {
	now := r.events.time()
	w := c.program.script.workspace
	if r.buckets[w].Take(now) {
		c.program.refusals = 0
		c.program.host.add(c)
		return
	}
	wait, ok := r.buckets[w].Wait(now, limit.Token)
	if ok && r.events.now+wait <= c.arrived+limitWait {
		r.events.after(max(wait, time.Millisecond), func() { r.admit(c) })
		return
	}
	r.result.limited[w]++
	c.program.refusals++
	if c.program.refusals == maxRefusals {
		r.giveUp(c.program)
		return
	}
	r.resend(c)
}

// refuse ends an attempt that was within the rate but found no target.
func (r *run) refuse(c *call) {
	r.result.refused[c.program.script.workspace]++
	r.resend(c)
}

func (r *run) resend(c *call) {
	c.request.Exclude = nil
	r.events.after(2*c.program.entry()+retryAfter, func() { r.arrive(c) })
}

// start sends a granted call to its target.
func (r *run) start(c *call) {
	if c.service {
		x := c.program.script.steps[c.step]
		r.events.after(x.service+2*zoneLatency, func() {
			c.program.host.release(c, placement.Usage{})
			r.commit(c)
		})
		return
	}
	e := r.byName[c.target]
	distance := time.Duration(0)
	if e.zone != c.program.host.zone {
		distance = zoneLatency
	}
	x := c.program.script.steps[c.step]
	s := &sequence{script: c.program.script, prompt: c.program.history + x.added, output: x.output}
	s.done = func(s *sequence, failed bool) {
		r.events.after(distance, func() { r.answered(c, s, failed) })
	}
	r.events.after(distance, func() { e.submit(s) })
}

// answered handles the end of a call at an engine.
func (r *run) answered(c *call, s *sequence, failed bool) {
	p := c.program
	if c.step > 0 && s.admitted {
		known := p.history / blockTokens * blockTokens
		r.result.recomputed += max(known-s.cached, 0)
	}
	if failed {
		p.host.release(c, placement.Usage{Failed: true})
		c.request.Exclude = append(c.request.Exclude, c.target)
		p.host.add(c)
		return
	}
	if p.next != c.step {
		r.fault = fmt.Errorf("program %x: call %d ended as call %d", p.script.id, c.step, p.next)
	}
	p.host.release(c, placement.Usage{Prompt: s.prompt, Cached: s.cached, Completion: s.output})
	r.result.prompt += s.prompt
	p.history = s.prompt + s.output
	r.commit(c)
}

// commit records a call and answers the caller.
func (r *run) commit(c *call) {
	d := storeCommit
	if r.away {
		d = peerCommit
	}
	r.events.after(d+c.program.entry(), func() { r.done(c) })
}

// done continues a program after the response to a call.
func (r *run) done(c *call) {
	p := c.program
	p.running = false
	r.result.done++
	x := p.script.steps[c.step]
	switch {
	case c.service:
		r.proceed(p)
	case x.service > 0:
		r.send(p, true)
	case len(x.children) > 0:
		p.children = len(x.children)
		for _, s := range x.children {
			r.live++
			r.begin(s, p)
		}
	default:
		r.events.after(x.pause, func() { r.proceed(p) })
	}
}

// proceed goes on to the next step.
func (r *run) proceed(p *program) {
	p.next++
	if p.next < len(p.script.steps) {
		r.send(p, false)
		return
	}
	r.end(p)
}

// end finishes a program.
func (r *run) end(p *program) {
	r.live--
	p.host.scheduler.EndProgram(model.ProgramKey{Workspace: workspaceName(p.script.workspace), Program: p.script.name()})
	if p.parent != nil {
		r.childEnded(p.parent)
		return
	}
	if p.script.starts >= r.warmUp() && !r.exceeds(p.script.workspace) {
		r.result.add(p.script, r.events.now-p.script.starts)
	}
}

func (r *run) warmUp() time.Duration { return min(warmUp, r.arrivals/4) }

// giveUp ends a program that was refused too often for the rate.
func (r *run) giveUp(p *program) {
	r.live--
	r.result.done++ // the call ended with a refusal
	r.result.givenUp[p.script.workspace]++
	p.host.scheduler.EndProgram(model.ProgramKey{Workspace: workspaceName(p.script.workspace), Program: p.script.name()})
	if p.parent != nil {
		r.childEnded(p.parent)
	}
}

func (r *run) childEnded(p *program) {
	p.children--
	if p.children == 0 {
		r.proceed(p)
	}
}
