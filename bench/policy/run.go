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
const promptEstimateRatio = 1.5

// setup describes one run.
type setup struct {
	site          site
	demand        demand
	load          int // percent
	disturbance   disturbance
	policy        policy
	seed          uint64
	arrivalPeriod time.Duration
}

// program is a running script.
type program struct {
	script           *script
	host             *host
	parent           *program
	runningSubAgents int // sub-agents that run
	nextStep         int // step
	callInFlight     bool
	history          model.Tokens // prompt and response of the last call
	prefixes         []uint64
	rateRefusals     int // for the rate, in succession
}

// call is a call of a program on its way to a target.
type call struct {
	program   *program
	step      int
	service   bool
	request   placement.Request
	id        placement.CallID
	target    model.TargetID
	arrivedAt time.Duration // at the host
}

// run is the state of one run.
type run struct {
	setup
	events           eventQueue
	hosts            []*host
	hostIDs          []model.HostID
	engines          []*engine
	engineByID       map[model.TargetID]*engine
	buckets          []*limit.Bucket
	unfinished       int // programs that started or will start
	storeUnavailable bool
	result           result
	violation        error // a violated invariant
}

// play runs a setup until all programs ended.
func simulate(s setup) (result, error) {
	r := &run{setup: s, engineByID: map[model.TargetID]*engine{}}
	r.result.init(len(s.site.workShares))
	for i := range s.site.engines {
		e := newEngine(engineName(i), i%zones, &r.events)
		r.engines = append(r.engines, e)
		r.engineByID[e.id] = e
	}
	for i := range s.site.hosts {
		r.hostIDs = append(r.hostIDs, hostName(i))
	}
	for i := range r.hostIDs {
		o := s.policy.options
		o.Seed = s.seed<<8 | uint64(i)
		r.hosts = append(r.hosts, newHost(r, i, r.hostIDs, o))
	}
	for _, h := range r.hosts {
		h.setTargets(r.hostIDs)
	}
	r.schedulePrograms()
	r.schedulePeriodic()
	r.scheduleDisturbance()
	for r.unfinished > 0 && r.violation == nil {
		if r.events.now > maxTime {
			return result{}, fmt.Errorf("%d programs did not end within %v", r.unfinished, maxTime)
		}
		r.events.runNext()
	}
	for _, e := range r.engines {
		r.result.busyTime += e.busyTime
		r.result.peakCalls = max(r.result.peakCalls, e.peakCalls)
		r.result.peakBlocks = max(r.result.peakBlocks, e.cache.peakBlocks)
	}
	r.result.elapsed = r.events.now
	return r.result, r.violation
}

// schedulePrograms draws the programs. Those of a workspace are the same in
// all runs with the same seed, unless the workspace exceeds its rate.
func (r *run) schedulePrograms() {
	for w := range r.site.workShares {
		contract := limit.NewContract(rateFactor*r.demand.calls[w], rateFactor*r.demand.calls[w]*burstTime.Seconds())
		b := limit.NewBucket(startTime, contract, escrow.Whole, escrow.Whole)
		b.Deposit(startTime, contract.Burst)
		r.buckets = append(r.buckets, b)
		rate := r.demand.programs[w] * float64(r.load) / 100
		if r.exceedsRate(w) {
			rate = r.demand.programs[w] * rateFactor * excessFactor
		}
		for _, s := range newGenerator(r.seed, w, r.site.serviceChance).arrivals(rate, r.arrivalPeriod) {
			r.unfinished++
			r.events.schedule(s.startsAt, func() { r.startProgram(s, nil) })
		}
	}
}

// exceeds reports whether a workspace sends more than its rate: the largest.
func (r *run) exceedsRate(w int) bool { return r.disturbance == rateExceeded && w == 0 }

func (r *run) schedulePeriodic() {
	for _, h := range r.hosts {
		r.every(tickInterval, h.tick)
	}
	lag := reportLag
	if r.disturbance == lateReports {
		lag = lateReportLag
	}
	for _, e := range r.engines {
		r.every(pollInterval, func() { r.reportLoad(e, lag) })
	}
}

// every runs a function until all programs ended.
func (r *run) every(d time.Duration, f func()) {
	r.events.schedule(d, func() {
		f()
		r.every(d, f)
	})
}

// report sends the load of an engine to all hosts, or lets them find that it
// refuses connections.
func (r *run) reportLoad(e *engine, lag time.Duration) {
	if e.down {
		for _, h := range r.hosts {
			h.markFailed(e.id)
		}
		return
	}
	l := placement.Load{At: r.events.clockTime(), Running: len(e.batch), Waiting: len(e.waiting)}
	r.events.schedule(lag, func() {
		for _, h := range r.hosts {
			h.scheduler.Report(e.id, l)
		}
	})
}

func (r *run) scheduleDisturbance() {
	e := r.engines[int(r.seed)%len(r.engines)]
	starts, ends := r.arrivalPeriod/3, r.arrivalPeriod*2/3
	switch r.disturbance {
	case targetLost:
		r.events.schedule(starts, e.crash)
		r.events.schedule(ends, func() { e.down = false })
	case targetLeaving:
		r.events.schedule(starts+configDelay, func() { r.setLeavingTarget(e.id) })
		r.events.schedule(ends+configDelay, func() { r.setLeavingTarget("") })
	case storeAway:
		r.events.schedule(starts, func() { r.storeUnavailable = true })
		r.events.schedule(ends, func() { r.storeUnavailable = false })
	case eventGaps:
		n := int(r.seed)
		r.every(cacheLossInterval, func() {
			n++
			r.clearCache(r.engines[n%len(r.engines)], n%unreportedEvery == 0)
		})
	}
}

// leave marks a target as leaving, or none.
func (r *run) setLeavingTarget(id model.TargetID) {
	for _, h := range r.hosts {
		h.leavingTarget = id
		h.setTargets(r.hostIDs)
	}
}

// clearCache empties the cache of an engine. The event comes late or is lost.
func (r *run) clearCache(e *engine, lost bool) {
	e.cache.evictIdle()
	if lost {
		return
	}
	at := r.events.clockTime()
	r.events.schedule(reportLag, func() {
		for _, h := range r.hosts {
			h.scheduler.LostCache(at, e.id)
		}
	})
}

// begin starts a program or a sub-agent.
func (r *run) startProgram(s *script, parent *program) {
	p := &program{script: s, parent: parent, host: r.hosts[int(s.id%uint64(len(r.hosts)))]}
	p.prefixes = []uint64{uint64(s.workspace)<<16 | 1}
	r.sendCall(p, false)
}

// entry is the latency between a caller and the owner of its program. The
// caller connects to a host of any zone.
func (p *program) entryLatency() time.Duration {
	if int(p.script.id%zones) == p.host.zone {
		return callerLatency
	}
	return callerLatency + zoneLatency
}

// send starts the next call of a program.
func (r *run) sendCall(p *program, service bool) {
	if p.callInFlight {
		r.violation = fmt.Errorf("program %x: call %d starts before the previous one ended", p.script.id, p.nextStep)
	}
	p.callInFlight = true
	c := &call{program: p, step: p.nextStep, service: service}
	c.request = placement.Request{Workspace: workspaceName(p.script.workspace), Program: p.script.name()}
	if service {
		for i := range applicationServers {
			c.request.Candidates = append(c.request.Candidates, applicationName(i))
		}
	} else {
		x := p.script.steps[p.nextStep]
		if p.nextStep == 0 {
			p.history = p.script.systemTokens
		} else { // the last response
			p.prefixes = append(p.prefixes, p.script.id<<16|uint64(2*p.nextStep))
		}
		p.prefixes = append(p.prefixes, p.script.id<<16|uint64(2*p.nextStep+1))
		c.request.Model = modelName
		c.request.Prompt = model.Tokens(promptEstimateRatio * float64(p.history+x.addedTokens))
		c.request.Prefixes = p.prefixes[:len(p.prefixes):len(p.prefixes)]
	}
	r.result.sent++
	r.events.schedule(p.entryLatency(), func() { r.receiveCall(c) })
}

// arrive admits a call at the host against the rate of its workspace.
func (r *run) receiveCall(c *call) {
	c.arrivedAt = r.events.now
	r.admit(c)
}

func (r *run) admit(c *call) {
	now := r.events.clockTime()
	w := c.program.script.workspace
	if r.buckets[w].Take(now) {
		c.program.rateRefusals = 0
		c.program.host.enqueue(c)
		return
	}
	wait, ok := r.buckets[w].Wait(now, limit.Token)
	if ok && r.events.now+wait <= c.arrivedAt+limitWait {
		r.events.schedule(max(wait, time.Millisecond), func() { r.admit(c) })
		return
	}
	r.result.rateLimited[w]++
	c.program.rateRefusals++
	if c.program.rateRefusals == maxRefusals {
		r.abandonProgram(c.program)
		return
	}
	r.retryLater(c)
}

// refuse ends an attempt that was within the rate but found no target.
func (r *run) refuseCall(c *call) {
	r.result.refused[c.program.script.workspace]++
	r.retryLater(c)
}

func (r *run) retryLater(c *call) {
	c.request.Exclude = nil
	r.events.schedule(2*c.program.entryLatency()+retryAfter, func() { r.receiveCall(c) })
}

// start sends a granted call to its target.
func (r *run) sendToTarget(c *call) {
	if c.service {
		x := c.program.script.steps[c.step]
		r.events.schedule(x.serviceTime+2*zoneLatency, func() {
			c.program.host.release(c, placement.Usage{})
			r.commitCall(c)
		})
		return
	}
	e := r.engineByID[c.target]
	distance := time.Duration(0)
	if e.zone != c.program.host.zone {
		distance = zoneLatency
	}
	x := c.program.script.steps[c.step]
	s := &sequence{script: c.program.script, prompt: c.program.history + x.addedTokens, output: x.outputTokens}
	s.done = func(s *sequence, failed bool) {
		r.events.schedule(distance, func() { r.finishAttempt(c, s, failed) })
	}
	r.events.schedule(distance, func() { e.submit(s) })
}

// answered handles the end of a call at an engine.
func (r *run) finishAttempt(c *call, s *sequence, failed bool) {
	p := c.program
	if c.step > 0 && s.admitted {
		known := p.history / blockTokens * blockTokens
		r.result.recomputedTokens += max(known-s.cached, 0)
	}
	if failed {
		p.host.release(c, placement.Usage{Failed: true})
		c.request.Exclude = append(c.request.Exclude, c.target)
		p.host.enqueue(c)
		return
	}
	if p.nextStep != c.step {
		r.violation = fmt.Errorf("program %x: call %d ended as call %d", p.script.id, c.step, p.nextStep)
	}
	p.host.release(c, placement.Usage{Prompt: s.prompt, Cached: s.cached, Completion: s.output})
	r.result.promptTokens += s.prompt
	p.history = s.prompt + s.output
	r.commitCall(c)
}

// commit records a call and answers the caller.
func (r *run) commitCall(c *call) {
	d := storeCommitTime
	if r.storeUnavailable {
		d = peerCommitTime
	}
	r.events.schedule(d+c.program.entryLatency(), func() { r.continueProgram(c) })
}

// done continues a program after the response to a call.
func (r *run) continueProgram(c *call) {
	p := c.program
	p.callInFlight = false
	r.result.done++
	x := p.script.steps[c.step]
	switch {
	case c.service:
		r.startNextStep(p)
	case x.serviceTime > 0:
		r.sendCall(p, true)
	case len(x.subAgents) > 0:
		p.runningSubAgents = len(x.subAgents)
		for _, s := range x.subAgents {
			r.unfinished++
			r.startProgram(s, p)
		}
	default:
		r.events.schedule(x.toolTime, func() { r.startNextStep(p) })
	}
}

// proceed goes on to the next step.
func (r *run) startNextStep(p *program) {
	p.nextStep++
	if p.nextStep < len(p.script.steps) {
		r.sendCall(p, false)
		return
	}
	r.endProgram(p)
}

// end finishes a program.
func (r *run) endProgram(p *program) {
	r.unfinished--
	p.host.scheduler.EndProgram(model.ProgramKey{Workspace: workspaceName(p.script.workspace), Program: p.script.name()})
	if p.parent != nil {
		r.subAgentEnded(p.parent)
		return
	}
	if p.script.startsAt >= r.unmeasuredTime() && !r.exceedsRate(p.script.workspace) {
		r.result.addProgram(p.script, r.events.now-p.script.startsAt)
	}
}

func (r *run) unmeasuredTime() time.Duration { return min(warmUp, r.arrivalPeriod/4) }

// giveUp ends a program that was refused too often for the rate.
func (r *run) abandonProgram(p *program) {
	r.unfinished--
	r.result.done++ // the call ended with a refusal
	r.result.abandoned[p.script.workspace]++
	p.host.scheduler.EndProgram(model.ProgramKey{Workspace: workspaceName(p.script.workspace), Program: p.script.name()})
	if p.parent != nil {
		r.subAgentEnded(p.parent)
	}
}

func (r *run) subAgentEnded(p *program) {
	p.runningSubAgents--
	if p.runningSubAgents == 0 {
		r.startNextStep(p)
	}
}
