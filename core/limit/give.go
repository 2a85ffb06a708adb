package limit

import (
	"math"
	"time"

	"mimosarelay/core/escrow"
)

// demandTime is the time constant of the demand estimate. It spans several
// requests of a slow caller and lets shares follow callers within seconds.
const demandTime = 5 * time.Second

// Demand estimates the requests per second that arrive at this host.
type Demand struct {
	rate float64
	at   time.Time
}

// Add counts one request.
func (d *Demand) Add(now time.Time) {
	d.rate = d.Rate(now) + 1/demandTime.Seconds()
	d.at = now
}

// Rate returns the estimate at the given time.
func (d *Demand) Rate(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	age := max(0, now.Sub(d.at))
	return d.rate * math.Exp(-age.Seconds()/demandTime.Seconds())
}

// Giver describes a host that is asked for a part of its holding.
type Giver struct {
	Contract Contract
	Fraction int64   // units of 2^-30
	Level    int64   // micro tokens
	Demand   float64 // requests per second that arrive here
	Waiting  int     // requests waiting here
	// Yields says that the asker goes first if both have waiting requests.
	Yields bool
}

// Yields reports whether a host that misses own micro tokens lets an asker go
// first that misses want. The order is total, so of two hosts that each hold a
// part of a token one always completes it.
func Yields(own, want int64, ownHost, asker string) bool {
	if own != want {
		return want < own
	}
	return asker < ownHost
}

// Give returns the fraction and the micro tokens to hand to an asker that
// misses want micro tokens: enough to hold the tokens it wants, and half of
// what the giver's own demand leaves over, so that shares follow demand. A
// giver with waiting requests of its own adds no such half, because two busy
// hosts would pass it back and forth and lose the refill of each passage.
func Give(g Giver, want int64) (fraction, microTokens int64) {
	if want <= 0 || g.Fraction <= 0 {
		return 0, 0
	}
	keep := g.keep()
	needed := min(g.Contract.Fraction(want), g.Fraction-keep)
	spare := g.Fraction - needed - max(keep, g.forecast())
	fraction = max(0, needed)
	if g.Waiting == 0 {
		fraction += max(0, spare) / 2
	}
	if fraction == 0 {
		return 0, 0
	}
	microTokens = max(min(want, g.spareTokens()), mulDiv(g.Level, fraction, g.Fraction))
	return fraction, min(microTokens, g.spareTokens(), g.Contract.Capacity(fraction))
}

// keep returns the fraction that holds the tokens of the requests waiting here.
func (g Giver) keep() int64 {
	if g.Waiting == 0 || g.Yields {
		return 0
	}
	return min(g.Fraction, max(g.Contract.Fraction(int64(g.Waiting)*Token), g.forecast()))
}

func (g Giver) spareTokens() int64 {
	if g.Waiting == 0 || g.Yields {
		return g.Level
	}
	return max(0, g.Level-int64(g.Waiting)*Token)
}

// forecast returns the fraction whose refill meets the demand at this host.
func (g Giver) forecast() int64 {
	if g.Contract.Rate == 0 {
		return 0
	}
	part := g.Demand * float64(Token) / float64(g.Contract.Rate)
	return int64(min(part, 1) * float64(escrow.Whole))
}
