package settings

import (
	"cmp"

	"mimosarelay/core/config"
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
}

func (p *Placement) complete(r *config.Report) {
	p.Order = cmp.Or(p.Order, "FairShare")
	p.Choice = cmp.Or(p.Choice, "CacheAware")
	p.Retention = cmp.Or(p.Retention, "HoldThroughPause")
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

// Policies returns the chosen policies. It fails only for names that Load
// rejects.
func (p Placement) Policies() (placement.Options, error) {
	return placement.PolicyNames{Order: p.Order, Choice: p.Choice, Retention: p.Retention}.Options()
}
