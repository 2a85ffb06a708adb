package placement

import (
	"cmp"
	"time"

	"mimosarelay/core/model"
)

// Order decides which waiting call runs next: FirstCome or FairShare.
type Order interface{ isOrder() }

// FirstCome runs calls in order of arrival. It is the baseline to which FairShare
// is compared.
type FirstCome struct{}

// FairShare gives each workspace with waiting calls a share of the capacity in
// proportion to the Weight of its contract, measured in tokens. Within a
// workspace, the call of the program with the least attained service runs first,
// except that calls that have waited for AgeBound run before all younger ones,
// oldest first.
type FairShare struct {
	// AgeBound is the time after which a waiting call is no longer overtaken by
	// calls of programs with less attained service; 0 means 5 s.
	AgeBound time.Duration
	// OutputWeight is the cost of a completion token in prompt tokens; 0
	// means 2.
	OutputWeight float64
	// UnreservedFraction is the fraction of the places at engines up to which
	// workspaces may exceed their share by weight; 0 means 0.8. The rest is
	// reserved for workspaces below their share, because each call slows down
	// all calls in the same batch. 1 or more reserves nothing.
	UnreservedFraction float64
}

func (FirstCome) isOrder() {}
func (FairShare) isOrder() {}

// Choice decides at which available target a call runs: RoundRobin or
// CacheAware.
type Choice interface{ isChoice() }

// RoundRobin uses the available targets in turn. It is the baseline to which
// CacheAware is compared.
type RoundRobin struct{}

// CacheAware weighs the prompt tokens that a target would have to compute
// against its load. The load is the target's last report, plus the calls that
// this host has sent since, minus those that have ended since. Of the targets
// whose cost is at most Slack above the lowest, two are drawn at random and the
// less loaded one is chosen, so that hosts with the same reports do not all
// choose the same target.
type CacheAware struct {
	// CallCost is the cost of one call at the target in prompt tokens; 0 means
	// 256.
	CallCost float64
	// Slack is the difference in cost, in prompt tokens, within which targets are
	// equally good; 0 means 256.
	Slack float64
}

func (RoundRobin) isChoice() {}
func (CacheAware) isChoice() {}

// Retention decides whether a program that pauses to run its tools stays assigned
// to the target that has its prefix cached: NoRetention or HoldThroughPause.
type Retention interface{ isRetention() }

// NoRetention holds no program at a target. It is the baseline to which
// HoldThroughPause is compared.
type NoRetention struct{}

// HoldThroughPause holds a program at its target between two calls if the
// expected pause is at most PauseFactor times the time to recompute the prefix.
// The expected pause is a moving average of the program's pauses. A held program
// counts as HeldLoad calls when a target is chosen for another program. If the
// target is full, the next call of the held program waits for it for up to
// WaitFactor times the time to compute the prefix at another target.
type HoldThroughPause struct {
	// TokenTime is the time to compute one prompt token; 0 means 100 µs.
	TokenTime time.Duration
	// PauseFactor is the longest expected pause for which a program is held, as a
	// multiple of the time to recompute its prefix. It weighs the memory that is
	// held idle against the recomputation; 0 means 32.
	PauseFactor float64
	// HeldLoad is the load of a held program in calls; 0 means 0.25.
	HeldLoad float64
	// WaitFactor is the longest wait for the target that holds a program, as a
	// multiple of the time to recompute its prefix; 0 means 8.
	WaitFactor float64
}

func (NoRetention) isRetention()      {}
func (HoldThroughPause) isRetention() {}

// Default values of the policies. docs/measurements-policy.md compares other values
// of defaultUnreservedFraction, defaultCallCost, defaultPauseFactor and
// defaultWaitFactor.
const (
	defaultAgeBound           = 5 * time.Second
	defaultOutputWeight       = 2
	defaultUnreservedFraction = 0.8
	defaultCallCost           = 256 // prompt tokens
	defaultSlack              = 256 // prompt tokens
	defaultTokenTime          = 100 * time.Microsecond
	defaultPauseFactor        = 32
	defaultWaitFactor         = 8
	defaultHeldLoad           = 0.25 // calls
)

// Options configures a Scheduler. Nil policies mean FairShare, CacheAware and
// HoldThroughPause.
type Options struct {
	// Zone is the availability zone of this host.
	Zone model.Zone
	// Zones has an effect only with Zone and CacheAware.
	Zones     Zones
	Order     Order
	Choice    Choice
	Retention Retention
	// Seed initializes the random number generator of Choice.
	Seed uint64
}

func (o Options) withDefaults() Options {
	switch p := o.Order.(type) {
	case nil:
		o.Order = FairShare{}.withDefaults()
	case FairShare:
		o.Order = p.withDefaults()
	}
	switch p := o.Choice.(type) {
	case nil:
		o.Choice = CacheAware{}.withDefaults()
	case CacheAware:
		o.Choice = p.withDefaults()
	}
	switch p := o.Retention.(type) {
	case nil:
		o.Retention = HoldThroughPause{}.withDefaults()
	case HoldThroughPause:
		o.Retention = p.withDefaults()
	}
	return o
}

func (p FairShare) withDefaults() FairShare {
	p.AgeBound = cmp.Or(p.AgeBound, defaultAgeBound)
	p.OutputWeight = cmp.Or(p.OutputWeight, defaultOutputWeight)
	p.UnreservedFraction = cmp.Or(p.UnreservedFraction, defaultUnreservedFraction)
	return p
}

func (p CacheAware) withDefaults() CacheAware {
	p.CallCost = cmp.Or(p.CallCost, defaultCallCost)
	p.Slack = cmp.Or(p.Slack, defaultSlack)
	return p
}

func (p HoldThroughPause) withDefaults() HoldThroughPause {
	p.TokenTime = cmp.Or(p.TokenTime, defaultTokenTime)
	p.PauseFactor = cmp.Or(p.PauseFactor, defaultPauseFactor)
	p.HeldLoad = cmp.Or(p.HeldLoad, defaultHeldLoad)
	p.WaitFactor = cmp.Or(p.WaitFactor, defaultWaitFactor)
	return p
}
