package main

import (
	"fmt"
	"time"

	"mimosarelay/core/escrow"
	"mimosarelay/core/limit"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// promptEstimateRatio is the ratio of an entry host's upper estimate of a
// prompt's tokens to their actual number.
const promptEstimateRatio = 1.5

// setup holds the parameters of one run.
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
	runningSubAgents int // of the current step
	stepIndex        int // current step in script.steps
	callInFlight     bool
	history          model.Tokens // tokens of the last call's prompt and response
	prefixes         []uint64
	rateRefusals     int // successive refusals because of the workspace's rate
}

// call is a call of a program, from the caller to the end at a target.
type call struct {
	program   *program
	step      int
	service   bool
	request   placement.Request
	id        placement.CallID
	target    model.TargetID
	arrivedAt time.Duration // at the host
}

// run is the state of one simulated run.
type run struct {
	setup
	events           eventQueue
	hosts            []*host
	hostIDs          []model.HostID
	engines          []*engine
	engineByID       map[model.TargetID]*engine
	buckets          []*limit.Bucket
	unfinished       int // programs that have not ended, including those that have not started
	storeUnavailable bool
	result           result
	violation        error // a violated invariant of the simulation; ends the run
}

// simulate runs a setup until all programs have ended.
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
			return result{}, fmt.Errorf("%d programs had not ended after %v of simulated time", r.unfinished, maxTime)
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

// schedulePrograms draws the programs. A workspace has the same programs in all
// runs of a site with the same seed and load, unless it exceeds its rate.
func (r *run) schedulePrograms() {
	for w := range r.site.workShares {
		contract := limit.NewContract(rateFactor*r.demand.calls[w], rateFactor*r.demand.calls[w]*burstTime.Seconds())
		b := limit.NewBucket(startTime, contract, escrow.FullShare, escrow.FullShare)
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

// exceedsRate reports whether a workspace sends more than its rate. Under
// rateExceeded, that is the first workspace, which is the largest.
func (r *run) exceedsRate(w int) bool { return r.disturbance == rateExceeded && w == 0 }

// schedulePeriodic starts the ticks of the hosts and the polls of the engines'
// load.
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

// every runs a function periodically until the end of the run.
func (r *run) every(d time.Duration, f func()) {
	r.events.schedule(d, func() {
		f()
		r.every(d, f)
	})
}

// reportLoad sends the load of an engine to all hosts after lag. If the engine
// is down, the hosts' poll fails instead.
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

// scheduleDisturbance applies the disturbance of the setup in the middle third
// of the arrival period. Late reports, cache losses and an exceeded rate apply
// to the whole run.
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

// setLeavingTarget marks a target as leaving at all hosts. An empty id marks
// none.
func (r *run) setLeavingTarget(id model.TargetID) {
	for _, h := range r.hosts {
		h.leavingTarget = id
		h.setTargets(r.hostIDs)
	}
}

// clearCache evicts the idle blocks of an engine. The hosts get the event after
// reportLag, or not at all if it is lost.
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

// startProgram starts a program, or a sub-agent if it has a parent.
func (r *run) startProgram(s *script, parent *program) {
	p := &program{script: s, parent: parent, host: r.hosts[int(s.id%uint64(len(r.hosts)))]}
	p.prefixes = []uint64{uint64(s.workspace)<<16 | 1}
	r.sendCall(p, false)
}

// entryLatency is the latency between a caller and the host that owns its
// program. The caller connects to a host in any zone; zoneLatency is added if the
// owner is in another one.
func (p *program) entryLatency() time.Duration {
	if int(p.script.id%zones) == p.host.zone {
		return callerLatency
	}
	return callerLatency + zoneLatency
}

// sendCall sends the call of a program's current step to its host: an engine
// call, or a call to an application server if service is set.
func (r *run) sendCall(p *program, service bool) {
	if p.callInFlight {
		r.violation = fmt.Errorf("program %x: call %d starts before the previous one ended", p.script.id, p.stepIndex)
	}
	p.callInFlight = true
	c := &call{program: p, step: p.stepIndex, service: service}
	c.request = placement.Request{Workspace: workspaceName(p.script.workspace), Program: p.script.name()}
	if service {
		for i := range applicationServers {
			c.request.Candidates = append(c.request.Candidates, applicationName(i))
		}
	} else {
		x := p.script.steps[p.stepIndex]
		if p.stepIndex == 0 {
			p.history = p.script.systemTokens
		} else { // the last response is a part of the prefix
			p.prefixes = append(p.prefixes, p.script.id<<16|uint64(2*p.stepIndex))
		}
		p.prefixes = append(p.prefixes, p.script.id<<16|uint64(2*p.stepIndex+1))
		c.request.Model = modelName
		c.request.Prompt = model.Tokens(promptEstimateRatio * float64(p.history+x.addedTokens))
		c.request.Prefixes = p.prefixes[:len(p.prefixes):len(p.prefixes)]
	}
	r.result.sent++
	r.events.schedule(p.entryLatency(), func() { r.receiveCall(c) })
}

// receiveCall handles the arrival of a call at its host.
func (r *run) receiveCall(c *call) {
	c.arrivedAt = r.events.now
	r.admit(c)
}

// admit checks a call against the rate of its workspace. A call waits up to
// limitWait for a token; then it is refused and the caller retries, until the
// program gives up after maxRefusals.
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

// refuseCall refuses a call that was within the rate but found no target. The
// caller retries it.
func (r *run) refuseCall(c *call) {
	r.result.refused[c.program.script.workspace]++
	r.retryLater(c)
}

// retryLater lets the caller send a refused call again after retryAfter.
func (r *run) retryLater(c *call) {
	c.request.Exclude = nil
	r.events.schedule(2*c.program.entryLatency()+retryAfter, func() { r.receiveCall(c) })
}

// sendToTarget sends a granted call to its target.
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

// finishAttempt handles the end of an attempt at an engine. A failed call is
// queued again for other targets.
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
	if p.stepIndex != c.step {
		r.violation = fmt.Errorf("program %x: an engine ended call %d while call %d is the current one", p.script.id, c.step, p.stepIndex)
	}
	p.host.release(c, placement.Usage{Prompt: s.prompt, Cached: s.cached, Completion: s.output})
	r.result.promptTokens += s.prompt
	p.history = s.prompt + s.output
	r.commitCall(c)
}

// commitCall commits the record of a call and answers the caller.
func (r *run) commitCall(c *call) {
	d := storeCommitTime
	if r.storeUnavailable {
		d = peerCommitTime
	}
	r.events.schedule(d+c.program.entryLatency(), func() { r.continueProgram(c) })
}

// continueProgram continues a program after the response to a call: with a call
// to an application server, sub-agents or a tool of the caller.
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

// startNextStep starts the next step of a program or ends it after the last.
func (r *run) startNextStep(p *program) {
	p.stepIndex++
	if p.stepIndex < len(p.script.steps) {
		r.sendCall(p, false)
		return
	}
	r.endProgram(p)
}

// endProgram ends a program and records its latency, unless it started during
// the warm-up or its workspace exceeds its rate. Sub-agents are not measured
// themselves; their time counts as part of their parent's.
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

// unmeasuredTime returns the time from the start of the run in which programs
// that start are not measured.
func (r *run) unmeasuredTime() time.Duration { return min(warmUp, r.arrivalPeriod/4) }

// abandonProgram ends a program after maxRefusals because of the rate.
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
