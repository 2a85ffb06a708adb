package limit

import (
	"math"
	"time"

	"mimosarelay/core/escrow"
)

// demandTimeConstant is the time constant of the exponential decay of the demand
// estimate. It spans several requests of a slow caller, and shares still follow
// callers within seconds.
const demandTimeConstant = 5 * time.Second

// Demand estimates the rate of requests that arrive at this host, as an
// exponentially decaying average.
type Demand struct {
	rate      float64
	updatedAt time.Time
}

// Add counts one request.
func (d *Demand) Add(now time.Time) {
	d.rate = d.Rate(now) + 1/demandTimeConstant.Seconds()
	d.updatedAt = now
}

// Rate returns the estimate at now, in requests per second.
func (d *Demand) Rate(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	age := max(0, now.Sub(d.updatedAt))
	return d.rate * math.Exp(-age.Seconds()/demandTimeConstant.Seconds())
}

// Parameters of PlanTransfer.
const (
	// maxHold caps the hold of a contract with several requests per second, so
	// that hosts ask idle peers a few times per second.
	maxHold = 250 * time.Millisecond
	// minHold is the shortest hold. A host asks its peers one after the other,
	// which takes milliseconds for each.
	minHold = 50 * time.Millisecond
	// demandMarginPercent is the rate that a host keeps, in percent of its
	// estimated demand. The estimate of a steady demand of 0.7 requests per second
	// decays to 86 % of it between requests.
	demandMarginPercent = 125
	// minRateMove is the smallest excess of rate that is transferred, unless a
	// host transfers its entire rate. The refill of rate in flight is lost, so
	// small differences are not balanced.
	minRateMove = escrow.FullShare / 1024
	// indivisibleRate is the rate up to which an idle host transfers all of it
	// rather than half.
	indivisibleRate = escrow.FullShare / 64
)

// Donor is the state of a host that a peer, the requester, asks for a part of its
// share.
type Donor struct {
	Contract Contract
	Rate     int64   // units of 2^-30
	Burst    int64   // units of 2^-30
	Level    int64   // micro tokens
	Reserved int64   // capacity reserved for transfers to this host, micro tokens
	Demand   float64 // requests per second that arrive at this host
	Waiting  int     // requests that wait at this host
	// Yields is set if the requester goes first when both hosts have waiting
	// requests.
	Yields bool
}

// TransferRequest describes what the requester needs, in micro tokens.
type TransferRequest struct {
	Want         int64 // tokens for its waiting requests
	Room         int64 // capacity that it reserved for the transfer
	WantCapacity int64 // capacity that it lacks to hold one token
}

// TransferAmounts is what moves from the donor to the requester.
type TransferAmounts struct {
	Rate        int64 // units of 2^-30
	Burst       int64 // units of 2^-30
	MicroTokens int64
}

// Hold returns for how long idle hosts can store their refill until a peer asks
// for it, while the rest of the burst lets one host hold a whole token. It is 0 if
// the burst allows less than minHold or than the time between two requests, in
// which no host asks. The limit then moves between hosts as a whole.
func (c Contract) Hold() time.Duration {
	between := c.refillTime(Token)
	hold := min(max(maxHold, between), c.refillTime(c.Burst-Token))
	if hold < max(minHold, between) {
		return 0
	}
	return hold
}

// SmallestBurst returns the burst, in requests, with which a workspace that uses
// exactly its rate is not refused, whichever hosts its callers choose: one token
// for each of a few hosts that request transfers at once, plus the refill during
// two rounds of requests to all peers.
func SmallestBurst(rate float64) float64 {
	const hosts = 4
	return hosts + 2*rate*minHold.Seconds()
}

// refillTime returns the time in which the entire rate refills microTokens, at
// most maxRefill.
func (c Contract) refillTime(microTokens int64) time.Duration {
	if c.Rate == 0 {
		return maxRefill
	}
	seconds := float64(max(0, microTokens)) / float64(c.Rate)
	return time.Duration(min(seconds, maxRefill.Seconds()) * float64(time.Second))
}

// holdCapacity returns the capacity that stores the refill of a fraction of the
// rate during Hold, in micro tokens.
func (c Contract) holdCapacity(rate int64) int64 {
	refill := mulDiv(c.Rate, int64(c.Hold()), int64(time.Second))
	return mulDiv(refill, rate, escrow.FullShare)
}

// PlanTransfer decides what the donor transfers to the requester: tokens, the
// burst that the requester lacks to hold them or one whole token, and rate that
// the donor does not need. The tokens never exceed the room of the requester plus
// the transferred capacity.
func PlanTransfer(d Donor, req TransferRequest) TransferAmounts {
	if req.Want <= 0 || d.Rate <= 0 && d.Burst <= 0 {
		return TransferAmounts{}
	}
	tokens := min(req.Want, d.spareTokens())
	if d.Waiting == 0 {
		tokens += max(0, min(req.Room-tokens, d.Level-tokens)) / 2
	}
	burst := d.burstToMove(max(req.WantCapacity, tokens-req.Room))
	tokens = min(tokens, req.Room+d.Contract.Capacity(burst))
	// The donor's remaining capacity may be too small for all remaining tokens.
	// The excess moves too: it fits in the transferred capacity.
	above := d.Level + d.Reserved - d.Contract.Capacity(d.Burst-burst)
	tokens = max(tokens, min(above, d.Level, req.Room+d.Contract.Capacity(burst)))
	return TransferAmounts{Rate: d.rateToMove(burst), Burst: burst, MicroTokens: tokens}
}

// servesOwnFirst reports whether the requests that wait at the donor take
// precedence over those of the requester.
func (d Donor) servesOwnFirst() bool { return d.Waiting > 0 && !d.Yields }

// spareTokens returns the micro tokens that the donor does not need for its own
// waiting requests.
func (d Donor) spareTokens() int64 {
	if d.servesOwnFirst() {
		return max(0, d.Level-int64(d.Waiting)*Token)
	}
	return d.Level
}

// burstToMove returns the part of the burst to transfer for a requested capacity
// in micro tokens.
func (d Donor) burstToMove(microTokens int64) int64 {
	if microTokens <= 0 {
		return 0
	}
	keep := d.Reserved
	switch {
	case d.servesOwnFirst():
		keep += max(Token, min(d.Level, int64(d.Waiting)*Token))
	default:
		keep += d.Contract.holdCapacity(d.Rate)
	}
	spare := max(0, d.Burst-d.Contract.Fraction(keep))
	if d.Contract.Hold() == 0 && !d.servesOwnFirst() {
		return spare
	}
	return min(spare, d.Contract.Fraction(microTokens))
}

// rateToMove returns the part of the rate to transfer along with a part of the
// burst.
func (d Donor) rateToMove(burst int64) int64 {
	if d.servesOwnFirst() {
		return 0
	}
	if d.Burst == burst {
		return d.Rate
	}
	if d.Contract.Hold() == 0 {
		return mulDiv(d.Rate, burst, d.Burst)
	}
	if d.Waiting > 0 {
		return 0
	}
	return max(d.rateAboveDemand(), d.rateAboveCapacity(burst))
}

// rateAboveDemand returns half of the rate that exceeds the demand of the donor, so
// that rate follows demand. An idle donor transfers a rate of up to
// indivisibleRate as a whole.
func (d Donor) rateAboveDemand() int64 {
	needed := d.demandShare() * demandMarginPercent / 100
	excess := d.Rate - needed
	switch {
	case d.Rate <= indivisibleRate && needed < minRateMove:
		return d.Rate
	case excess < minRateMove:
		return 0
	}
	return excess / 2
}

// rateAboveCapacity returns the rate whose refill during Hold does not fit in the
// capacity that remains after burst has moved.
func (d Donor) rateAboveCapacity(burst int64) int64 {
	refill := d.Contract.holdCapacity(escrow.FullShare)
	held := d.Contract.Capacity(d.Burst - burst)
	if refill <= held {
		return 0
	}
	excess := d.Rate - mulDiv(held, escrow.FullShare, refill)
	if excess < minRateMove {
		return 0
	}
	return excess
}

// demandShare returns the fraction of the rate whose refill meets the demand of the
// donor.
func (d Donor) demandShare() int64 {
	if d.Contract.Rate == 0 {
		return 0
	}
	part := d.Demand * float64(Token) / float64(d.Contract.Rate)
	return int64(min(part, 1) * float64(escrow.FullShare))
}
