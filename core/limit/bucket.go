// Package limit holds the token bucket of one workspace on one host, and the
// policy on what a host gives to another that lacks tokens.
package limit

import (
	"math"
	"math/bits"
	"time"

	"mimosarelay/core/escrow"
)

// Token is one request, in micro tokens.
const Token int64 = 1_000_000

// maxContract bounds rate and burst, in micro tokens (per second), so that the
// refill of maxRefill fits in 64 bits.
const maxContract int64 = 1_000_000 * Token

// maxRefill is the longest time that one refill accounts for.
const maxRefill = 24 * time.Hour

// Contract is the fleet-wide limit of a workspace.
type Contract struct {
	Rate  int64 // micro tokens per second
	Burst int64 // micro tokens
}

// NewContract converts requests per second and requests. Values out of range
// are clamped to [0, 1e6] requests.
func NewContract(rate, burst float64) Contract {
	return Contract{Rate: micro(rate), Burst: micro(burst)}
}

func micro(requests float64) int64 {
	if math.IsNaN(requests) || requests <= 0 {
		return 0
	}
	return int64(min(requests*float64(Token), float64(maxContract)))
}

// Bucket refills at its fraction of the rate up to its fraction of the burst less
// the reserved room. Only the passing of time and Deposit add tokens. It is not
// safe for concurrent use.
type Bucket struct {
	contract Contract
	rate     int64 // units of 2^-30
	burst    int64 // units of 2^-30
	level    int64 // micro tokens
	reserved int64 // micro tokens
	at       time.Time
	// carryRate and carryShare are the remainders of the two divisions of a
	// refill; without them, frequent refills of a small share add nothing.
	carryRate  uint64 // 1e-9 micro tokens of the entire rate
	carryShare uint64 // 2^-30 micro tokens
}

// NewBucket returns an empty bucket with fractions of the rate and the burst, in
// units of 2^-30.
func NewBucket(now time.Time, c Contract, rate, burst int64) *Bucket {
	return &Bucket{contract: c, rate: rate, burst: burst, at: now}
}

// Rate returns the fraction of the rate, in units of 2^-30.
func (b *Bucket) Rate() int64 { return b.rate }

// Burst returns the fraction of the burst, in units of 2^-30.
func (b *Bucket) Burst() int64 { return b.burst }

// Reserved returns the room kept for tokens in flight to this bucket, in micro
// tokens.
func (b *Bucket) Reserved() int64 { return b.reserved }

// Capacity returns the micro tokens that the bucket can hold now.
func (b *Bucket) Capacity() int64 {
	return max(0, b.contract.Capacity(b.burst)-b.reserved)
}

// Contract returns the limit the bucket is sized by.
func (b *Bucket) Contract() Contract { return b.contract }

// Level returns the tokens at the given time, in micro tokens.
func (b *Bucket) Level(now time.Time) int64 {
	b.refill(now)
	return b.level
}

// Capacity returns the micro tokens that a fraction of the burst holds.
func (c Contract) Capacity(fraction int64) int64 {
	return mulDiv(c.Burst, fraction, escrow.Whole)
}

// Fraction returns the smallest fraction whose capacity is at least the given
// micro tokens. It exceeds escrow.Whole if none is.
func (c Contract) Fraction(microTokens int64) int64 {
	if microTokens <= 0 {
		return 0
	}
	if c.Burst < microTokens {
		return escrow.Whole + 1
	}
	f := mulDiv(microTokens, escrow.Whole, c.Burst)
	if c.Capacity(f) < microTokens {
		f++
	}
	return f
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	elapsed = min(elapsed, maxRefill)
	hi, lo := bits.Mul64(uint64(b.contract.Rate), uint64(elapsed))
	lo, carry := bits.Add64(lo, b.carryRate, 0)
	var whole uint64
	whole, b.carryRate = bits.Div64(hi+carry, lo, uint64(time.Second))
	hi, lo = bits.Mul64(whole, uint64(b.rate))
	lo, carry = bits.Add64(lo, b.carryShare, 0)
	var gain uint64
	gain, b.carryShare = bits.Div64(hi+carry, lo, uint64(escrow.Whole))
	b.level += int64(gain)
	b.clamp()
}

// clamp removes the tokens above the capacity. A full bucket earns no
// remainder either.
func (b *Bucket) clamp() {
	if c := b.Capacity(); b.level >= c {
		b.level = c
		b.carryRate, b.carryShare = 0, 0
	}
}

// SetContract applies a changed contract. It never adds tokens.
func (b *Bucket) SetContract(now time.Time, c Contract) {
	b.refill(now)
	b.contract = c
	b.resize()
}

// SetFractions applies changed holdings. It never adds tokens.
func (b *Bucket) SetFractions(now time.Time, rate, burst int64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.resize()
}

// Reserve sets the room kept for tokens in flight to this bucket. Tokens in it
// are lost.
func (b *Bucket) Reserve(now time.Time, microTokens int64) {
	b.refill(now)
	b.reserved = max(0, microTokens)
	b.clamp()
}

func (b *Bucket) resize() {
	b.carryRate, b.carryShare = 0, 0
	b.clamp()
}

// Take removes one token if there is one.
func (b *Bucket) Take(now time.Time) bool { return b.Withdraw(now, Token) }

// Withdraw removes micro tokens if there are as many.
func (b *Bucket) Withdraw(now time.Time, microTokens int64) bool {
	b.refill(now)
	if microTokens < 0 || b.level < microTokens {
		return false
	}
	b.level -= microTokens
	return true
}

// Deposit adds received tokens, up to the capacity.
func (b *Bucket) Deposit(now time.Time, microTokens int64) {
	b.refill(now)
	b.level += max(0, min(microTokens, maxContract))
	b.clamp()
}

// Wait returns the time until refill provides the given micro tokens, and
// false if it never does at the current fractions.
func (b *Bucket) Wait(now time.Time, microTokens int64) (time.Duration, bool) {
	b.refill(now)
	missing := microTokens - b.level
	if missing <= 0 {
		return 0, true
	}
	speed := mulDiv(b.contract.Rate, b.rate, escrow.Whole) // micro tokens per second
	if speed == 0 || b.Capacity() < microTokens {
		return 0, false
	}
	seconds := float64(missing) / float64(speed)
	if seconds > maxRefill.Seconds() {
		return maxRefill, true
	}
	// The remainders of the refill make the estimate up to 1 µs short.
	return time.Duration(seconds*float64(time.Second)) + time.Microsecond, true
}

// mulDiv returns a × b / c for non-negative values with a result of 63 bits.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}
