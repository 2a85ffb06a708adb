package main

import (
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// probe is the state of a target that refused a host, as in app/placement.
type probe struct {
	active bool
	pause  time.Duration
}

// host is an entry host: a scheduler with the queue of its calls.
type host struct {
	run       *run
	id        model.HostID
	zone      int
	scheduler *placement.Scheduler
	calls     map[placement.CallID]*call
	next      placement.CallID
	probes    map[model.TargetID]*probe
	leaving   model.TargetID
	queued    []queued // in order of ends
}

// queued is a call that may wait for a target until a time.
type queued struct {
	id   placement.CallID
	call *call
	ends time.Duration
}

func newHost(r *run, i int, names []model.HostID, o placement.Options) *host {
	h := &host{
		run: r, id: names[i], zone: i % zones, scheduler: placement.NewScheduler(o),
		calls: map[placement.CallID]*call{}, probes: map[model.TargetID]*probe{},
	}
	for i := range r.site.shares {
		h.scheduler.SetWeight(workspaceName(i), 1)
	}
	return h
}

// setTargets hands the targets to the scheduler, as after a change of the
// configuration.
func (h *host) setTargets(names []model.HostID) {
	var list []placement.Target
	for _, e := range h.run.engines {
		t := placement.Target{ID: e.id, Models: []model.ModelID{modelName}}
		if e.id != h.leaving {
			t.Limit = placement.HostLimit(names, h.id, e.id, maxInFlight)
		}
		p := h.probes[e.id]
		t.Skip = p != nil && p.active
		list = append(list, t)
	}
	for i := range applicationServers {
		id := applicationName(i)
		list = append(list, placement.Target{ID: id, Limit: placement.HostLimit(names, h.id, id, applicationCalls)})
	}
	h.deliver(h.scheduler.SetTargets(h.run.events.time(), list))
}

// add queues a call until it is granted or queueWait has passed.
func (h *host) add(c *call) {
	h.next++
	id := h.next
	h.calls[id] = c
	grants, err := h.scheduler.Add(h.run.events.time(), id, c.request)
	if err != nil { // all targets were tried
		delete(h.calls, id)
		h.run.refuse(c)
		return
	}
	h.deliver(grants)
	h.queued = append(h.queued, queued{id: id, call: c, ends: h.run.events.now + queueWait})
}

// tick handles the passing of time, about every 100 ms.
func (h *host) tick() {
	for len(h.queued) > 0 && h.queued[0].ends <= h.run.events.now {
		x := h.queued[0]
		h.queued = h.queued[1:]
		if h.scheduler.Cancel(x.id) {
			delete(h.calls, x.id)
			h.run.refuse(x.call)
		}
	}
	h.deliver(h.scheduler.Tick(h.run.events.time()))
}

func (h *host) deliver(grants []placement.Grant) {
	for _, g := range grants {
		c := h.calls[g.Call]
		c.id, c.target = g.Call, g.Target
		h.run.start(c)
	}
}

// release ends a granted call.
func (h *host) release(c *call, u placement.Usage) {
	delete(h.calls, c.id)
	now := h.run.events.time()
	if u.Failed {
		h.failed(c.target)
	} else if p := h.probes[c.target]; p != nil && !p.active {
		delete(h.probes, c.target)
	}
	h.deliver(h.scheduler.Release(now, c.id, u))
}

// failed takes a target out of use until a probe reaches it.
func (h *host) failed(id model.TargetID) {
	p := h.probes[id]
	if p == nil {
		p = &probe{}
		h.probes[id] = p
	}
	if p.active {
		return
	}
	p.active = true
	h.deliver(h.scheduler.SetSkip(h.run.events.time(), id, true))
	h.probe(id, p)
}

func (h *host) probe(id model.TargetID, p *probe) {
	now := h.run.events.time()
	if !h.run.byName[id].down {
		p.active = false
		h.deliver(h.scheduler.SetSkip(now, id, false))
		return
	}
	h.scheduler.LostCache(now, id)
	p.pause = min(max(2*p.pause, minProbeTime), maxProbeTime)
	h.run.events.after(p.pause, func() { h.probe(id, p) })
}
