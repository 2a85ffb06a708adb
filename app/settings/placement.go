package settings

import (
	"cmp"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// Placement selects the policies that place calls on targets. The second name of
// each is a baseline for comparison. Empty names mean the defaults.
type Placement struct {
	// Order of waiting calls is FairShare or FirstCome; empty means FairShare.
	Order string `yaml:"Order,omitempty"`
	// Choice of the target is CacheAware or RoundRobin; empty means CacheAware.
	Choice string `yaml:"Choice,omitempty"`
	// Retention of prefixes during tool pauses is HoldThroughPause or
	// NoRetention; empty means HoldThroughPause.
	Retention string `yaml:"Retention,omitempty"`
	// ZoneTargets is the number of targets of a model or route in the zone of the host
	// from which its calls are kept there; 0 keeps no calls.
	ZoneTargets int `yaml:"ZoneTargets,omitempty"`
	// ZonePathCost is the cost of a call to another zone, in prompt tokens; 0 means 512.
	ZonePathCost int `yaml:"ZonePathCost,omitempty"`
}

// maxZonePathCost is the highest cost of a path: no call should wait longer than the time
// to compute a million tokens for a target in its zone.
const maxZonePathCost = 1_000_000

// maxZoneTargets is the highest number of targets of a deployment.
const maxZoneTargets = 10_000

func (p *Placement) complete(r *config.Report) {
	p.Order = cmp.Or(p.Order, "FairShare")
	p.Choice = cmp.Or(p.Choice, "CacheAware")
	p.Retention = cmp.Or(p.Retention, "HoldThroughPause")
	if p.ZoneTargets < 0 || p.ZoneTargets > maxZoneTargets {
		r.Addf("Placement.ZoneTargets", "%d is not between 0 and %d", p.ZoneTargets, maxZoneTargets)
	}
	if p.ZonePathCost < 0 || p.ZonePathCost > maxZonePathCost {
		r.Addf("Placement.ZonePathCost", "%d is not between 0 and %d", p.ZonePathCost, maxZonePathCost)
	}
	for field, names := range map[string]placement.PolicyNames{
		"Placement.Order":     {Order: p.Order},
		"Placement.Choice":    {Choice: p.Choice},
		"Placement.Retention": {Retention: p.Retention},
	} {
		if _, err := names.Options(); err != nil {
			r.Addf(field, "%v", err)
		}
	}
}

// Policies returns the chosen policies for a host in a zone. It fails only for names that
// Load rejects.
func (p Placement) Policies(zone model.Zone) (placement.Options, error) {
	o, err := placement.PolicyNames{Order: p.Order, Choice: p.Choice, Retention: p.Retention}.Options()
	if err == nil && p.ZoneTargets > 0 {
		o.Zone, o.Zones = zone, placement.Zones{MinTargets: p.ZoneTargets, PathCost: float64(p.ZonePathCost)}
	}
	return o, err
}
