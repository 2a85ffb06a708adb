package placement

import (
	"cmp"
	"time"
)

// Order decides which waiting call runs next: FirstCome or FairShare.
type Order interface{ isOrder() }

// FirstCome runs calls in order of arrival. It is the baseline of FairShare.
type FirstCome struct{}

// FairShare gives each workspace with waiting calls a part of the capacity in
// proportion to the Weight of its contract, counted in tokens. Within a
// workspace, the program with the least attained service runs first, except
// that calls that waited AgeBound run before all younger ones, oldest first.
type FairShare struct {
	// AgeBound is the wait after which a call no longer yields to calls of
	// programs with less attained service; 0 means 5 s.
	AgeBound time.Duration
	// OutputWeight is the cost of a completion token in prompt tokens; 0
	// means 2.
	OutputWeight float64
	// UnreservedFraction is the part of the places at engines that workspaces may fill beyond
	// their part by weight; 0 means 0.8. The rest is kept for workspaces below
	// their part, because each call slows down all calls in the same batch. 1
	// or more keeps nothing.
	UnreservedFraction float64
}

func (FirstCome) isOrder() {}
func (FairShare) isOrder() {}

// Choice decides at which free target a call runs: RoundRobin or CacheAware.
type Choice interface{ isChoice() }

// RoundRobin takes the free targets in turn. It is the baseline of CacheAware.
type RoundRobin struct{}

// CacheAware weighs the prompt tokens that a target would have to compute
// against its load. The load is the target's last report, plus the calls that
// this host sent since, less those that ended since. Of the targets whose cost
// is at most Slack above the lowest, two are drawn at random and the less
// loaded one is taken, so that hosts with the same reports do not all choose
// the same target.
type CacheAware struct {
	// CallCost is the number of prompt tokens that weigh as much as one call
	// at the target; 0 means 256.
	CallCost float64
	// Slack is the difference in prompt tokens within which targets count as
	// equal; 0 means 256.
	Slack float64
}

func (RoundRobin) isChoice() {}
func (CacheAware) isChoice() {}

// Retention decides whether a program stays with the target that holds its
// prefix while it pauses for tools: NoRetention or HoldThroughPause.
type Retention interface{ isRetention() }

// NoRetention keeps no program at a target. It is the baseline of
// HoldThroughPause.
type NoRetention struct{}

// HoldThroughPause holds a program at its target between two calls if the
// expected pause is at most PauseFactor times the time to compute the prefix
// again. The expected pause is a moving average of the program's pauses. A
// held program counts as HeldLoad calls when other programs choose a target,
// and its next call waits for a full target for up to WaitFactor times the time
// that computing the prefix elsewhere would take.
type HoldThroughPause struct {
	// TokenTime is the time to compute one prompt token; 0 means 100 µs.
	TokenTime time.Duration
	// PauseFactor compares memory held idle with recomputation; 0 means 32.
	PauseFactor float64
	// HeldLoad is the load of a held program, in calls; 0 means 0.25.
	HeldLoad float64
	// WaitFactor compares waiting with recomputation; 0 means 8.
	WaitFactor float64
}

func (NoRetention) isRetention()      {}
func (HoldThroughPause) isRetention() {}

// Defaults of the policies. docs/measurements-policy.md has the measurements
// behind defaultOpen, defaultCallCost, defaultPauseFactor and defaultWaitFactor; the others
// are starting points.
const (
	defaultAgeBound     = 5 * time.Second
	defaultOutputWeight = 2
	defaultOpen         = 0.8
	defaultCallCost     = 256 // prompt tokens
	defaultSlack        = 256 // prompt tokens
	defaultTokenTime    = 100 * time.Microsecond
	defaultPauseFactor  = 32
	defaultWaitFactor   = 8
	defaultHeldLoad     = 0.25 // calls
)

// Options configures a Scheduler. Nil policies mean FairShare, CacheAware and
// HoldThroughPause.
type Options struct {
	Order     Order
	Choice    Choice
	Retention Retention
	// Seed initializes the random choices.
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
	p.UnreservedFraction = cmp.Or(p.UnreservedFraction, defaultOpen)
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
