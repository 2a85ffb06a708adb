package main

import (
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// probe is the state of a target that a host cannot use after a failure, as in
// app/placement.
type probe struct {
	active  bool
	backoff time.Duration
}

// host simulates an entry host: a scheduler and the calls that it queues.
type host struct {
	run           *run
	id            model.HostID
	zone          int
	scheduler     *placement.Scheduler
	calls         map[placement.CallID]*call
	lastCall      placement.CallID
	probes        map[model.TargetID]*probe
	leavingTarget model.TargetID
	queue         []queuedCall // in order of deadlines
}

// queuedCall is a call that waits for a target until its deadline. It may have
// been granted one in the meantime.
type queuedCall struct {
	id       placement.CallID
	call     *call
	deadline time.Duration
}

func newHost(r *run, i int, hostIDs []model.HostID, options placement.Options) *host {
	h := &host{
		run: r, id: hostIDs[i], zone: i % zones, scheduler: placement.NewScheduler(options),
		calls: map[placement.CallID]*call{}, probes: map[model.TargetID]*probe{},
	}
	for i := range r.site.workShares {
		h.scheduler.SetWeight(workspaceName(i), 1)
	}
	return h
}

// setTargets passes the targets to the scheduler, as after a configuration
// change.
func (h *host) setTargets(hostIDs []model.HostID) {
	var targets []placement.Target
	for _, e := range h.run.engines {
		t := placement.Target{ID: e.id, Models: []model.ModelID{modelName}}
		if e.id != h.leavingTarget {
			t.Limit = placement.HostLimit(hostIDs, h.id, e.id, maxInFlight)
		}
		p := h.probes[e.id]
		t.Skip = p != nil && p.active
		targets = append(targets, t)
	}
	for i := range applicationServers {
		id := applicationName(i)
		targets = append(targets, placement.Target{ID: id, Limit: placement.HostLimit(hostIDs, h.id, id, maxApplicationCalls)})
	}
	h.startGranted(h.scheduler.SetTargets(h.run.events.clockTime(), targets))
}

// enqueue queues a call until it is granted a target or queueWait has passed.
func (h *host) enqueue(c *call) {
	h.lastCall++
	id := h.lastCall
	h.calls[id] = c
	grants, err := h.scheduler.Add(h.run.events.clockTime(), id, c.request)
	if err != nil { // the call has tried all targets
		delete(h.calls, id)
		h.run.refuseCall(c)
		return
	}
	h.startGranted(grants)
	h.queue = append(h.queue, queuedCall{id: id, call: c, deadline: h.run.events.now + queueWait})
}

// tick runs every tickInterval. It refuses the calls whose deadline has passed
// and advances the scheduler.
func (h *host) tick() {
	for len(h.queue) > 0 && h.queue[0].deadline <= h.run.events.now {
		x := h.queue[0]
		h.queue = h.queue[1:]
		if h.scheduler.Cancel(x.id) {
			delete(h.calls, x.id)
			h.run.refuseCall(x.call)
		}
	}
	h.startGranted(h.scheduler.Tick(h.run.events.clockTime()))
}

// startGranted sends granted calls to their targets.
func (h *host) startGranted(grants []placement.Grant) {
	for _, g := range grants {
		c := h.calls[g.Call]
		c.id, c.target = g.Call, g.Target
		h.run.sendToTarget(c)
	}
}

// release reports the end of a granted call to the scheduler.
func (h *host) release(c *call, u placement.Usage) {
	delete(h.calls, c.id)
	now := h.run.events.clockTime()
	if u.Failed {
		h.markFailed(c.target)
	} else if p := h.probes[c.target]; p != nil && !p.active {
		delete(h.probes, c.target)
	}
	h.startGranted(h.scheduler.Release(now, c.id, u))
}

// markFailed stops the use of a target until a probe reaches it.
func (h *host) markFailed(id model.TargetID) {
	p := h.probes[id]
	if p == nil {
		p = &probe{}
		h.probes[id] = p
	}
	if p.active {
		return
	}
	p.active = true
	h.startGranted(h.scheduler.SetSkip(h.run.events.clockTime(), id, true))
	h.probeTarget(id, p)
}

// probeTarget probes a target again, with backoff, until it is up.
func (h *host) probeTarget(id model.TargetID, p *probe) {
	now := h.run.events.clockTime()
	if !h.run.engineByID[id].down {
		p.active = false
		h.startGranted(h.scheduler.SetSkip(now, id, false))
		return
	}
	h.scheduler.LostCache(now, id)
	p.backoff = min(max(2*p.backoff, minProbeBackoff), maxProbeBackoff)
	h.run.events.schedule(p.backoff, func() { h.probeTarget(id, p) })
}
