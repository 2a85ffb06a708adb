package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/escrow"
	_ "mimosarelay/test/fixedseed"
)

var startTime = time.Unix(1_700_000_000, 0)

// Guards against changes of contract or share that add tokens, and against more
// admissions than fraction of burst + fraction of rate × t.
func TestBucketNeverExceedsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawContract := func() Contract {
			return NewContract(rapid.Float64Range(0, 1000).Draw(t, "rate"), rapid.Float64Range(0, 100).Draw(t, "burst"))
		}
		now, largest := startTime, drawContract()
		drawShare := func(name string) int64 { return rapid.Int64Range(0, escrow.FullShare).Draw(t, name) }
		b := NewBucket(now, largest, drawShare("rate share"), drawShare("burst share"))
		maxRate, maxBurst, taken := b.Rate(), b.Burst(), 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			before := b.Level(now)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				c := drawContract()
				b.SetContract(now, c)
				largest = Contract{Rate: max(largest.Rate, c.Rate), Burst: max(largest.Burst, c.Burst)}
			case 1:
				b.SetFractions(now, drawShare("rate share"), drawShare("burst share"))
				maxRate, maxBurst = max(maxRate, b.Rate()), max(maxBurst, b.Burst())
			case 2:
				b.Reserve(now, rapid.Int64Range(0, 10*Token).Draw(t, "reserved"))
			default:
				if b.Take(now) {
					taken++
				}
			}
			if b.Level(now) > before || b.Level(now) > max(0, b.Contract().Capacity(b.Burst())-b.Reserved()) {
				t.Fatalf("level rose from %d to %d micro tokens or exceeds the capacity", before, b.Level(now))
			}
		}
		bound := float64(largest.Capacity(maxBurst)) + float64(largest.Rate)*now.Sub(startTime).Seconds()*float64(maxRate)/float64(escrow.FullShare)
		if float64(int64(taken)*Token) > bound+1 {
			t.Fatalf("took %d tokens, the bound is %f micro tokens", taken, bound)
		}
	})
}

// Guards against a small share whose refills, each rounded down, never add a token
// because its level is read often.
func TestFrequentRefillKeepsRemainders(t *testing.T) {
	b := NewBucket(startTime, NewContract(0.001, 1), escrow.FullShare, escrow.FullShare)
	now := startTime
	for range 1_001_000 {
		now = now.Add(time.Millisecond)
		b.Level(now)
	}
	assert.Assert(t, b.Take(now))
}

// Guards against a wait that is too short for a token to be refilled, against one
// that is 1 ms too long, and against a wait for a share that can never hold a
// token.
func TestWaitIsLongEnoughForToken(t *testing.T) {
	b := NewBucket(startTime, NewContract(3, 7), escrow.FullShare/7+1, escrow.FullShare/7+1)
	wait, ok := b.Wait(startTime, Token)
	assert.Assert(t, ok)
	assert.Assert(t, !b.Take(startTime.Add(wait-time.Millisecond)))
	assert.Assert(t, b.Take(startTime.Add(wait)))
	_, ok = NewBucket(startTime, NewContract(3, 1), escrow.FullShare/7, escrow.FullShare/7).Wait(startTime, Token)
	assert.Assert(t, !ok)
}

// Guards against a hold whose refill does not fit in the burst beside one token,
// and against one that is shorter than the time between two requests.
func TestHoldFitsBurstAndRequestInterval(t *testing.T) {
	cases := map[string]struct {
		rate, burst float64
		want        time.Duration
	}{
		"large burst":                            {5, 3, 250 * time.Millisecond},
		"one request per second":                 {1, 2, time.Second},
		"burst limits the hold":                  {100, 11, 100 * time.Millisecond},
		"burst of one moves as a whole":          {1, 1, 0},
		"shorter than the time between requests": {2, 1.5, 0},
		"shorter than the time to ask all peers": {100, 5, 0},
		"no rate to refill":                      {0, 5, maxRefill},
		"neither rate nor burst for one request": {0, 0.5, maxRefill},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, NewContract(tc.rate, tc.burst).Hold(), tc.want)
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		c := NewContract(rapid.Float64Range(0.001, 1000).Draw(t, "rate"), rapid.Float64Range(0, 100).Draw(t, "burst"))
		if c.Hold() > 0 && c.holdCapacity(escrow.FullShare)+Token > c.Burst {
			t.Fatalf("the refill during a hold of %v and one token exceed the burst of %+v", c.Hold(), c)
		}
	})
}

// Guards against transfers above the donor's holding, and against tokens that
// neither the transferred capacity nor the requester's room can hold.
func TestPlanTransferStaysWithinHolding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewContract(rapid.Float64Range(0, 1000).Draw(t, "rate"), rapid.Float64Range(0, 100).Draw(t, "burst"))
		donor := Donor{
			Contract: c,
			Rate:     rapid.Int64Range(0, escrow.FullShare).Draw(t, "rate share"),
			Burst:    rapid.Int64Range(0, escrow.FullShare).Draw(t, "burst share"),
			Demand:   rapid.Float64Range(0, 2000).Draw(t, "demand"),
			Waiting:  rapid.IntRange(0, 10).Draw(t, "waiting"),
			Yields:   rapid.Bool().Draw(t, "yields"),
		}
		donor.Reserved = rapid.Int64Range(0, c.Capacity(donor.Burst)).Draw(t, "reserved")
		donor.Level = rapid.Int64Range(0, c.Capacity(donor.Burst)-donor.Reserved).Draw(t, "level")
		req := TransferRequest{
			Want:         rapid.Int64Range(0, 20*Token).Draw(t, "want"),
			Room:         rapid.Int64Range(0, 20*Token).Draw(t, "room"),
			WantCapacity: rapid.Int64Range(0, Token).Draw(t, "capacity"),
		}
		amounts := PlanTransfer(donor, req)
		if amounts.Rate < 0 || amounts.Rate > donor.Rate || amounts.Burst < 0 || amounts.Burst > donor.Burst || amounts.MicroTokens < 0 || amounts.MicroTokens > donor.Level {
			t.Fatalf("transfer %+v exceeds the holding of donor %+v", amounts, donor)
		}
		if amounts.MicroTokens > req.Room+c.Capacity(amounts.Burst) {
			t.Fatalf("transfer %+v has tokens above the room and the moved capacity, request %+v", amounts, req)
		}
		// Rounding of fractions loses at most one micro token.
		if over := donor.Level - amounts.MicroTokens + donor.Reserved - c.Capacity(donor.Burst-amounts.Burst); over > 1 {
			t.Fatalf("%d micro tokens above the remaining capacity: transfer %+v from donor %+v", over, amounts, donor)
		}
		if donor.Waiting > 0 && !donor.Yields && donor.Level-amounts.MicroTokens < min(donor.Level, int64(donor.Waiting)*Token) {
			t.Fatalf("transferred %d micro tokens that requests of the donor wait for: %+v", amounts.MicroTokens, donor)
		}
	})
}

// Guards against a transfer policy under which no host ever holds a whole token,
// rate does not follow demand, or a host keeps rate without the capacity to hold
// its refill.
func TestPlanTransferPolicy(t *testing.T) {
	seventh := escrow.FullShare / 7
	one := NewContract(1, 1)
	large := NewContract(70, 70)
	cases := map[string]struct {
		donor Donor
		req   TransferRequest
		want  TransferAmounts
	}{
		"burst of one moves as a whole": {
			Donor{Contract: one, Rate: seventh, Burst: seventh, Level: Token / 7},
			TransferRequest{Want: Token * 6 / 7, WantCapacity: Token * 6 / 7},
			TransferAmounts{seventh, seventh, Token / 7},
		},
		"idle donor transfers half of its rate": {
			Donor{Contract: large, Rate: seventh, Burst: seventh, Level: 8 * Token},
			TransferRequest{Want: Token, Room: Token},
			TransferAmounts{seventh / 2, 0, Token},
		},
		"idle donor transfers all of a small rate": {
			Donor{Contract: large, Rate: indivisibleRate, Burst: seventh, Level: 8 * Token},
			TransferRequest{Want: Token, Room: Token},
			TransferAmounts{indivisibleRate, 0, Token},
		},
		"half of the surplus tokens fill the room": {
			Donor{Contract: large, Rate: seventh, Burst: seventh, Level: 9 * Token, Demand: 10},
			TransferRequest{Want: Token, Room: 9 * Token},
			TransferAmounts{0, 0, 5 * Token},
		},
		"capacity moves for tokens beyond the room": {
			Donor{Contract: large, Rate: seventh, Burst: seventh, Level: 5 * Token, Demand: 10},
			TransferRequest{Want: 2 * Token, Room: Token},
			TransferAmounts{0, large.Fraction(Token), 2 * Token},
		},
		"donor keeps the capacity for its refill": {
			Donor{Contract: large, Rate: seventh, Burst: large.Fraction(3 * Token), Level: Token, Demand: 10},
			TransferRequest{Want: Token, WantCapacity: Token},
			TransferAmounts{0, large.Fraction(3*Token) - large.Fraction(large.holdCapacity(seventh)), 3*Token - large.holdCapacity(seventh)},
		},
		"donor with waiting requests keeps its share": {
			Donor{Contract: one, Rate: seventh, Burst: seventh, Waiting: 1}, TransferRequest{Want: Token, WantCapacity: Token}, TransferAmounts{},
		},
		"donor that yields transfers its share despite waiting requests": {
			Donor{Contract: one, Rate: seventh, Burst: seventh, Waiting: 1, Yields: true},
			TransferRequest{Want: Token, WantCapacity: Token},
			TransferAmounts{seventh, seventh, 0},
		},
		"donor without capacity transfers all of its rate": {
			Donor{Contract: large, Rate: seventh, Demand: 10}, TransferRequest{Want: Token, WantCapacity: Token}, TransferAmounts{seventh, 0, 0},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, PlanTransfer(tc.donor, tc.req), tc.want)
		})
	}
}
