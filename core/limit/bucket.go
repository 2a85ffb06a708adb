// Package limit implements the token bucket of one workspace on one host, and
// the policy that decides what a host transfers to a peer that lacks tokens.
package limit

import (
	"math"
	"math/bits"
	"time"

	"mimosarelay/core/escrow"
)

// Token is the cost of one request, in micro tokens.
const Token int64 = 1_000_000

// maxMicroTokens bounds a contract's rate (per second) and burst, in micro
// tokens, so that the refill of maxRefill fits in 64 bits.
const maxMicroTokens int64 = 1_000_000 * Token

// maxRefill caps the elapsed time that one refill accounts for.
const maxRefill = 24 * time.Hour

// Contract is the fleet-wide rate limit of a workspace.
type Contract struct {
	Rate  int64 // micro tokens per second
	Burst int64 // micro tokens
}

// NewContract returns the contract for a rate in requests per second and a burst
// in requests. Both are clamped to [0, 1e6].
func NewContract(rate, burst float64) Contract {
	return Contract{Rate: toMicroTokens(rate), Burst: toMicroTokens(burst)}
}

func toMicroTokens(requests float64) int64 {
	if math.IsNaN(requests) || requests <= 0 {
		return 0
	}
	return int64(min(requests*float64(Token), float64(maxMicroTokens)))
}

// Bucket is the token bucket of one host. It refills at the host's fraction of
// the contract's rate, up to its fraction of the burst minus the reserved
// capacity. Only elapsed time and Deposit add tokens. It is not safe for
// concurrent use.
type Bucket struct {
	contract   Contract
	rate       int64 // fraction of the rate, units of 2^-30
	burst      int64 // fraction of the burst, units of 2^-30
	level      int64 // micro tokens
	reserved   int64 // micro tokens
	refilledAt time.Time
	// rateRemainder and shareRemainder carry the remainders of the two divisions
	// over to the next refill; without them, frequent refills of a small share
	// would all round down to nothing.
	rateRemainder  uint64 // 1e-9 micro tokens of the entire rate
	shareRemainder uint64 // 2^-30 micro tokens
}

// NewBucket returns an empty bucket that holds the given fractions of the
// contract's rate and burst, in units of 2^-30.
func NewBucket(now time.Time, c Contract, rate, burst int64) *Bucket {
	return &Bucket{contract: c, rate: rate, burst: burst, refilledAt: now}
}

// Rate returns the fraction of the rate, in units of 2^-30.
func (b *Bucket) Rate() int64 { return b.rate }

// Burst returns the fraction of the burst, in units of 2^-30.
func (b *Bucket) Burst() int64 { return b.burst }

// Reserved returns the capacity reserved for tokens in flight to this bucket, in
// micro tokens.
func (b *Bucket) Reserved() int64 { return b.reserved }

// Capacity returns the unreserved capacity of the bucket, in micro tokens.
func (b *Bucket) Capacity() int64 {
	return max(0, b.contract.Capacity(b.burst)-b.reserved)
}

// Contract returns the contract that the bucket enforces.
func (b *Bucket) Contract() Contract { return b.contract }

// Level refills the bucket up to now and returns its tokens, in micro tokens.
func (b *Bucket) Level(now time.Time) int64 {
	b.refill(now)
	return b.level
}

// Capacity returns the capacity of a fraction of the burst, in micro tokens.
func (c Contract) Capacity(fraction int64) int64 {
	return mulDiv(c.Burst, fraction, escrow.FullShare)
}

// Fraction returns the smallest fraction of the burst with a capacity of at least
// microTokens, or a value above escrow.FullShare if the entire burst is smaller.
func (c Contract) Fraction(microTokens int64) int64 {
	if microTokens <= 0 {
		return 0
	}
	if c.Burst < microTokens {
		return escrow.FullShare + 1
	}
	f := mulDiv(microTokens, escrow.FullShare, c.Burst)
	if c.Capacity(f) < microTokens {
		f++
	}
	return f
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	elapsed = min(elapsed, maxRefill)
	hi, lo := bits.Mul64(uint64(b.contract.Rate), uint64(elapsed))
	lo, carry := bits.Add64(lo, b.rateRemainder, 0)
	var refilled uint64
	refilled, b.rateRemainder = bits.Div64(hi+carry, lo, uint64(time.Second))
	hi, lo = bits.Mul64(refilled, uint64(b.rate))
	lo, carry = bits.Add64(lo, b.shareRemainder, 0)
	var added uint64
	added, b.shareRemainder = bits.Div64(hi+carry, lo, uint64(escrow.FullShare))
	b.level += int64(added)
	b.clamp()
}

// clamp discards the tokens above the capacity, and with them the remainders,
// because a full bucket does not refill.
func (b *Bucket) clamp() {
	if c := b.Capacity(); b.level >= c {
		b.level = c
		b.rateRemainder, b.shareRemainder = 0, 0
	}
}

// SetContract replaces the contract. It never adds tokens beyond the refill up to
// now.
func (b *Bucket) SetContract(now time.Time, c Contract) {
	b.refill(now)
	b.contract = c
	b.resize()
}

// SetFractions replaces the fractions of rate and burst. It never adds tokens
// beyond the refill up to now.
func (b *Bucket) SetFractions(now time.Time, rate, burst int64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.resize()
}

// Reserve sets the capacity reserved for tokens in flight to this bucket. Tokens
// that no longer fit are discarded.
func (b *Bucket) Reserve(now time.Time, microTokens int64) {
	b.refill(now)
	b.reserved = max(0, microTokens)
	b.clamp()
}

func (b *Bucket) resize() {
	b.rateRemainder, b.shareRemainder = 0, 0
	b.clamp()
}

// Take removes one token and reports whether the bucket held one.
func (b *Bucket) Take(now time.Time) bool { return b.Withdraw(now, Token) }

// Withdraw removes microTokens and reports whether the bucket held that many. It
// removes nothing otherwise.
func (b *Bucket) Withdraw(now time.Time, microTokens int64) bool {
	b.refill(now)
	if microTokens < 0 || b.level < microTokens {
		return false
	}
	b.level -= microTokens
	return true
}

// Deposit adds tokens received from a peer, up to the capacity.
func (b *Bucket) Deposit(now time.Time, microTokens int64) {
	b.refill(now)
	b.level += max(0, min(microTokens, maxMicroTokens))
	b.clamp()
}

// Wait returns the time until the refill provides microTokens, at most maxRefill,
// and false if it never does at the current fractions.
func (b *Bucket) Wait(now time.Time, microTokens int64) (time.Duration, bool) {
	b.refill(now)
	missing := microTokens - b.level
	if missing <= 0 {
		return 0, true
	}
	refillRate := mulDiv(b.contract.Rate, b.rate, escrow.FullShare) // micro tokens per second
	if refillRate == 0 || b.Capacity() < microTokens {
		return 0, false
	}
	seconds := float64(missing) / float64(refillRate)
	if seconds > maxRefill.Seconds() {
		return maxRefill, true
	}
	// Division remainders in refill make the estimate up to 1 µs too short.
	return time.Duration(seconds*float64(time.Second)) + time.Microsecond, true
}

// mulDiv returns a × b / c for non-negative values. The result must fit in 63
// bits.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}
