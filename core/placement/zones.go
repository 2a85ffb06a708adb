package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
	"mimosarelay/core/spill"
)

// Zones configures which calls are kept in the availability zone of the host.
type Zones struct {
	// MinTargets is the number of targets of a service in the zone from which its calls
	// are kept there; 0 means 8. With fewer, the variation of the load among them costs
	// more than the path to other zones. A negative value keeps no calls.
	MinTargets int
	// PathCost is the cost of a call to a target in another zone, in prompt tokens: the
	// time of the path and the price of the bytes. 0 means twice the cost of a call at
	// a target.
	PathCost float64
}

const (
	defaultMinTargets = 8
	// defaultPathCalls is the default of Zones.PathCost in calls at a target.
	defaultPathCalls = 2
	// zoneMaxAge is the age from which a report doesn't count for the load of a zone. It
	// exceeds loadMaxAge, because the load of a zone changes more slowly than that of a
	// target.
	zoneMaxAge = 5 * time.Second
	// usualUse is the calls for each slot that a zone without reports is assumed to
	// have: low enough to try it when the own zone has a queue, high enough not to
	// prefer it otherwise. It counts like the report of one target.
	usualUse = 0.6
)

// poolZone is the part of a pool in one zone.
type poolZone struct {
	name    model.Zone
	targets []*target
}

// attachZones divides the targets of a pool by zone, that of the host first. It keeps
// the spill decision while calls are kept in the zone.
func (s *Scheduler) attachZones(p *pool) {
	p.zones = p.zones[:0]
	for _, t := range p.targets {
		i := slices.IndexFunc(p.zones, func(z poolZone) bool { return z.name == t.Zone })
		if i < 0 {
			i = len(p.zones)
			p.zones = append(p.zones, poolZone{name: t.Zone})
		}
		p.zones[i].targets = append(p.zones[i].targets, t)
	}
	own := slices.IndexFunc(p.zones, func(z poolZone) bool { return z.name == s.options.Zone })
	_, byCost := s.options.Choice.(CacheAware)
	least := cmp.Or(s.options.Zones.MinTargets, defaultMinTargets)
	if s.options.Zone == "" || !byCost || least < 0 || len(p.zones) < 2 || own < 0 || len(p.zones[own].targets) < least {
		p.spill = nil
		return
	}
	p.zones[0], p.zones[own] = p.zones[own], p.zones[0]
	if p.spill == nil {
		p.spill = spill.New(spill.Options{PathCost: s.pathCost()})
	}
}

// pathCost returns the cost of a call to another zone in prompt tokens.
func (s *Scheduler) pathCost() float64 {
	return cmp.Or(s.options.Zones.PathCost, defaultPathCalls*s.options.Choice.(CacheAware).CallCost)
}

// updateZones updates the share of the calls that leave the zone of the host.
func (s *Scheduler) updateZones(p *pool, now time.Time) {
	if p.spill == nil {
		return
	}
	w := s.workOf(p, 0, s.options.Choice.(CacheAware).CallCost)
	p.views = p.views[:0]
	for _, z := range p.zones {
		p.views = append(p.views, z.view(&w, now))
	}
	p.spill.Update(now, p.views[0], p.views[1:])
}

// view returns what the reports say about the zone. Only a part of its targets may have
// reported lately; their load stands for that of all.
func (z *poolZone) view(w *callWork, now time.Time) spill.Zone {
	v := spill.Zone{Name: z.name}
	var slots, factors float64                 // of all usable targets
	var load, known, weights, slowness float64 // of those that reported
	for _, t := range z.targets {
		if t.Skip || t.Limit <= 0 {
			continue
		}
		v.Usable++
		slots += float64(t.slots())
		factors += t.speedFactor()
		weight := min(max(0, 1-float64(now.Sub(t.load.At))/float64(zoneMaxAge)), 1)
		load += weight * t.lastCalls()
		known += weight * float64(t.slots())
		weights += weight
		if t.load.Slowness > 0 {
			slowness += weight * (min(max(t.load.Slowness, minSlowness), maxSlowness) - 1)
		}
	}
	if v.Usable == 0 {
		return v
	}
	n := float64(v.Usable)
	factor := factors / n * (1 + slowness/(weights+1))
	if slots == 0 { // targets that don't state their slots
		v.Cost = w.cost(0, load/(weights+1), 0, factor)
		return v
	}
	v.Use = (load + usualUse*slots/n) / (known + slots/n)
	v.Cost = w.cost(0, v.Use*slots/n, int(slots/n), factor)
	return v
}

// lastCalls returns the number of calls at the target as last reported, corrected by the
// calls that this host started or ended since.
func (t *target) lastCalls() float64 {
	return float64(max(len(t.inFlight), t.load.Running+t.load.Waiting-t.endedSinceReport+t.sentSinceReport))
}

// reach is the set of targets that a call may use because of their zones.
type reach struct {
	all   bool
	zone  model.Zone
	also  model.Zone   // a second zone; the same as zone if there is none
	home  model.Zone   // in which the prompt has its homes
	extra float64      // cost of a target outside the zone of the host
	kept  model.Tokens // most that an available target in the zone of the host keeps
}

// reachOf decides whether a call leaves the zone of the host.
func (s *Scheduler) reachOf(c *class, k *call) reach {
	if c.pool == nil || c.pool.spill == nil {
		return reach{all: true}
	}
	own, d := s.options.Zone, c.pool.spill
	r := reach{zone: own, also: own, home: own, extra: s.pathCost()}
	if d.Anywhere() {
		r.all, r.home = true, ""
		return r
	}
	var hash uint64
	if k.request.Program != "" {
		hash = max(1, xxhash.Sum64String(string(k.request.Program)))
	}
	if d.Share() == 0 || !d.Leaves(hash) {
		return r
	}
	r.zone, r.home = d.Zone(), d.Zone()
	if prompt := s.expectedPrompt(&k.request); prompt > 0 && 2*s.mostKept(c, own) >= prompt {
		r.also = own // the cost decides whether a kept prompt is worth the wait
	} else {
		r.also = r.zone
	}
	return r
}

// mostKept returns the most tokens of the present prompt that an available target in a
// zone keeps.
func (s *Scheduler) mostKept(c *class, zone model.Zone) model.Tokens {
	var most model.Tokens
	for _, t := range c.targets {
		if t.available && t.Zone == zone {
			most = max(most, s.cachedTokens(t))
		}
	}
	return most
}

// includes reports whether the call may use a target.
func (r *reach) includes(t *target) bool { return r.all || t.Zone == r.zone || t.Zone == r.also }

// pathTo returns the cost of the path to a target.
func (r *reach) pathTo(t *target, own model.Zone) float64 {
	if t.Zone == own {
		return 0
	}
	return r.extra
}
