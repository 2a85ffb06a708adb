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

// Parameters of PlanTransfer.
const (
	// longHold is the longest hold of a contract with several requests per second.
	// It lets hosts ask idle peers a few times per second.
	longHold = 250 * time.Millisecond
	// shortHold is the shortest. A host asks its peers one after the other, which
	// takes milliseconds for each.
	shortHold = 50 * time.Millisecond
	// demandMargin is the part of its demand that a host keeps in rate, in
	// percent. The estimate of an even demand of 0.7 requests per second falls
	// to 86 % of it between requests.
	demandMargin = 125
	// minMove is the least excess of rate that moves, unless all of it does. The
	// refill of rate in flight is lost, so small differences stay where they are.
	minMove = escrow.Whole / 1024
	// restRate is the rate of an idle host that moves at once.
	restRate = escrow.Whole / 64
)

// Donor describes a host that is asked for a part of its holding.
type Donor struct {
	Contract Contract
	Rate     int64   // units of 2^-30
	Burst    int64   // units of 2^-30
	Level    int64   // micro tokens
	Reserved int64   // micro tokens on their way to this host
	Demand   float64 // requests per second that arrive here
	Waiting  int     // requests waiting here
	// Yields says that the asker goes first if both have waiting requests.
	Yields bool
}

// TransferRequest describes what an asker lacks, in micro tokens.
type TransferRequest struct {
	Want         int64 // tokens
	Room         int64 // capacity reserved for them
	WantCapacity int64 // capacity that is missing to hold one token
}

// TransferAmounts is what moves to an asker.
type TransferAmounts struct {
	Rate        int64 // units of 2^-30
	Burst       int64 // units of 2^-30
	MicroTokens int64
}

// Hold returns how long the capacity of idle hosts holds their refill without
// being asked, while one host can hold a token. It is 0 if that is less than the
// time between two requests, in which nobody asks; the limit then moves as a
// whole.
func (c Contract) Hold() time.Duration {
	between := c.period(Token)
	hold := min(max(longHold, between), c.period(c.Burst-Token))
	if hold < max(shortHold, between) {
		return 0
	}
	return hold
}

// SmallestBurst returns the burst, in requests, with which a workspace that uses
// exactly its rate is not refused, whatever hosts its callers choose: one token
// for each of a few hosts that ask at once, and what the rate earns in two rounds
// of questions.
func SmallestBurst(rate float64) float64 {
	const hosts = 4
	return hosts + 2*rate*shortHold.Seconds()
}

// period returns the time for which the entire rate earns micro tokens, up to
// maxRefill.
func (c Contract) period(microTokens int64) time.Duration {
	if c.Rate == 0 {
		return maxRefill
	}
	seconds := float64(max(0, microTokens)) / float64(c.Rate)
	return time.Duration(min(seconds, maxRefill.Seconds()) * float64(time.Second))
}

// held returns the capacity that holds the refill of a fraction of the rate for
// Hold.
func (c Contract) held(rate int64) int64 {
	refill := mulDiv(c.Rate, int64(c.Hold()), int64(time.Second))
	return mulDiv(refill, rate, escrow.Whole)
}

// PlanTransfer returns what to hand to an asker: tokens, the capacity that they and one
// whole token need beyond the room of the asker, and rate that is not needed
// here. The moved tokens never exceed the room and the moved capacity.
func PlanTransfer(g Donor, a TransferRequest) TransferAmounts {
	if a.Want <= 0 || g.Rate <= 0 && g.Burst <= 0 {
		return TransferAmounts{}
	}
	tokens := min(a.Want, g.spareTokens())
	if g.Waiting == 0 {
		tokens += max(0, min(a.Room-tokens, g.Level-tokens)) / 2
	}
	burst := g.moveBurst(max(a.WantCapacity, tokens-a.Room))
	tokens = min(tokens, a.Room+g.Contract.Capacity(burst))
	// The remaining capacity can't hold all tokens. Those above it fit in the
	// moved capacity.
	above := g.Level + g.Reserved - g.Contract.Capacity(g.Burst-burst)
	tokens = max(tokens, min(above, g.Level, a.Room+g.Contract.Capacity(burst)))
	return TransferAmounts{Rate: g.moveRate(burst), Burst: burst, MicroTokens: tokens}
}

// busy reports whether requests here go before those of the asker.
func (g Donor) busy() bool { return g.Waiting > 0 && !g.Yields }

func (g Donor) spareTokens() int64 {
	if g.busy() {
		return max(0, g.Level-int64(g.Waiting)*Token)
	}
	return g.Level
}

// moveBurst returns the part of the burst to move for micro tokens of capacity.
func (g Donor) moveBurst(microTokens int64) int64 {
	if microTokens <= 0 {
		return 0
	}
	keep := g.Reserved
	switch {
	case g.busy():
		keep += max(Token, min(g.Level, int64(g.Waiting)*Token))
	default:
		keep += g.Contract.held(g.Rate)
	}
	spare := max(0, g.Burst-g.Contract.Fraction(keep))
	if g.Contract.Hold() == 0 && !g.busy() {
		return spare
	}
	return min(spare, g.Contract.Fraction(microTokens))
}

// moveRate returns the part of the rate to move along with a part of the burst.
func (g Donor) moveRate(burst int64) int64 {
	if g.busy() {
		return 0
	}
	if g.Burst == burst {
		return g.Rate
	}
	if g.Contract.Hold() == 0 {
		return mulDiv(g.Rate, burst, g.Burst)
	}
	if g.Waiting > 0 {
		return 0
	}
	return max(g.aboveDemand(), g.aboveCapacity(burst))
}

// aboveDemand returns half of the rate that exceeds the demand here, so that
// rate follows demand. It returns all of what an idle host has left.
func (g Donor) aboveDemand() int64 {
	forecast := g.forecast() * demandMargin / 100
	excess := g.Rate - forecast
	switch {
	case g.Rate <= restRate && forecast < minMove:
		return g.Rate
	case excess < minMove:
		return 0
	}
	return excess / 2
}

// aboveCapacity returns the rate whose refill the remaining capacity can't hold
// for Hold.
func (g Donor) aboveCapacity(burst int64) int64 {
	refill := g.Contract.held(escrow.Whole)
	held := g.Contract.Capacity(g.Burst - burst)
	if refill <= held {
		return 0
	}
	excess := g.Rate - mulDiv(held, escrow.Whole, refill)
	if excess < minMove {
		return 0
	}
	return excess
}

// forecast returns the fraction of the rate whose refill meets the demand here.
func (g Donor) forecast() int64 {
	if g.Contract.Rate == 0 {
		return 0
	}
	part := g.Demand * float64(Token) / float64(g.Contract.Rate)
	return int64(min(part, 1) * float64(escrow.Whole))
}
