package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/escrow"
	_ "mimosarelay/test/fixedseed"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against tokens that a change of contract or share mints, and against
// admissions above fraction of burst + fraction of rate × t.
func TestBucketBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Contract {
			return NewContract(rapid.Float64Range(0, 1000).Draw(t, "rate"), rapid.Float64Range(0, 100).Draw(t, "burst"))
		}
		now, largest := start, draw()
		share := func(name string) int64 { return rapid.Int64Range(0, escrow.Whole).Draw(t, name) }
		b := NewBucket(now, largest, share("rate share"), share("burst share"))
		topRate, topBurst, taken := b.Rate(), b.Burst(), 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			before := b.Level(now)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				c := draw()
				b.SetContract(now, c)
				largest = Contract{Rate: max(largest.Rate, c.Rate), Burst: max(largest.Burst, c.Burst)}
			case 1:
				b.SetFractions(now, share("rate share"), share("burst share"))
				topRate, topBurst = max(topRate, b.Rate()), max(topBurst, b.Burst())
			case 2:
				b.Reserve(now, rapid.Int64Range(0, 10*Token).Draw(t, "reserved"))
			default:
				if b.Take(now) {
					taken++
				}
			}
			if b.Level(now) > before || b.Level(now) > max(0, b.Contract().Capacity(b.Burst())-b.Reserved()) {
				t.Fatalf("level rose from %d to %d", before, b.Level(now))
			}
		}
		bound := float64(largest.Capacity(topBurst)) + float64(largest.Rate)*now.Sub(start).Seconds()*float64(topRate)/float64(escrow.Whole)
		if float64(int64(taken)*Token) > bound+1 {
			t.Fatalf("took %d tokens, bound is %f micro tokens", taken, bound)
		}
	})
}

// Guards against rounding that stops the refill of a small share that is looked
// at often.
func TestSmallShareRefills(t *testing.T) {
	b := NewBucket(start, NewContract(0.001, 1), escrow.Whole, escrow.Whole)
	now := start
	for range 1_001_000 {
		now = now.Add(time.Millisecond)
		b.Level(now)
	}
	assert.Assert(t, b.Take(now))
}

// Guards against a wait after which the token is still missing.
func TestWait(t *testing.T) {
	b := NewBucket(start, NewContract(3, 7), escrow.Whole/7+1, escrow.Whole/7+1)
	wait, ok := b.Wait(start, Token)
	assert.Assert(t, ok)
	assert.Assert(t, !b.Take(start.Add(wait-time.Millisecond)))
	assert.Assert(t, b.Take(start.Add(wait)))
	_, ok = NewBucket(start, NewContract(3, 1), escrow.Whole/7, escrow.Whole/7).Wait(start, Token)
	assert.Assert(t, !ok)
}

// Guards against a hold for which the burst does not suffice, and against one that
// is shorter than the time in which nobody asks.
func TestHold(t *testing.T) {
	cases := map[string]struct {
		rate, burst float64
		want        time.Duration
	}{
		"long":                                   {5, 3, 250 * time.Millisecond},
		"one request per second":                 {1, 2, time.Second},
		"little burst":                           {100, 11, 100 * time.Millisecond},
		"burst of one":                           {1, 1, 0},
		"less than the time between requests":    {2, 1.5, 0},
		"less than the time to ask all peers":    {100, 5, 0},
		"no rate":                                {0, 5, maxRefill},
		"neither rate nor burst for one request": {0, 0.5, maxRefill},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, NewContract(tc.rate, tc.burst).Hold(), tc.want)
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		c := NewContract(rapid.Float64Range(0.001, 1000).Draw(t, "rate"), rapid.Float64Range(0, 100).Draw(t, "burst"))
		if c.Hold() > 0 && c.held(escrow.Whole)+Token > c.Burst {
			t.Fatalf("hold %v of %+v", c.Hold(), c)
		}
	})
}

// Guards against gifts above the giver's holding, and against tokens that neither
// the moved capacity nor the room of the asker covers.
func TestGiveBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewContract(rapid.Float64Range(0, 1000).Draw(t, "rate"), rapid.Float64Range(0, 100).Draw(t, "burst"))
		g := Donor{
			Contract: c,
			Rate:     rapid.Int64Range(0, escrow.Whole).Draw(t, "rate share"),
			Burst:    rapid.Int64Range(0, escrow.Whole).Draw(t, "burst share"),
			Demand:   rapid.Float64Range(0, 2000).Draw(t, "demand"),
			Waiting:  rapid.IntRange(0, 10).Draw(t, "waiting"),
			Yields:   rapid.Bool().Draw(t, "yields"),
		}
		g.Reserved = rapid.Int64Range(0, c.Capacity(g.Burst)).Draw(t, "reserved")
		g.Level = rapid.Int64Range(0, c.Capacity(g.Burst)-g.Reserved).Draw(t, "level")
		a := TransferRequest{
			Want:         rapid.Int64Range(0, 20*Token).Draw(t, "want"),
			Room:         rapid.Int64Range(0, 20*Token).Draw(t, "room"),
			WantCapacity: rapid.Int64Range(0, Token).Draw(t, "capacity"),
		}
		m := PlanTransfer(g, a)
		if m.Rate < 0 || m.Rate > g.Rate || m.Burst < 0 || m.Burst > g.Burst || m.MicroTokens < 0 || m.MicroTokens > g.Level {
			t.Fatalf("gave %+v of %+v", m, g)
		}
		if m.MicroTokens > a.Room+c.Capacity(m.Burst) {
			t.Fatalf("gave uncovered tokens %+v to %+v", m, a)
		}
		// Rounding of fractions loses at most one micro token.
		if over := g.Level - m.MicroTokens + g.Reserved - c.Capacity(g.Burst-m.Burst); over > 1 {
			t.Fatalf("%d micro tokens above the remaining capacity: gave %+v of %+v", over, m, g)
		}
		if g.Waiting > 0 && !g.Yields && g.Level-m.MicroTokens < min(g.Level, int64(g.Waiting)*Token) {
			t.Fatalf("gave %d micro tokens that requests wait for: %+v", m.MicroTokens, g)
		}
	})
}

// Guards against a policy under which no host ever holds a whole token, under
// which rate does not follow demand, or under which a host keeps rate without
// the capacity to hold its refill.
func TestGivePolicy(t *testing.T) {
	seventh := escrow.Whole / 7
	one := NewContract(1, 1)
	large := NewContract(70, 70)
	cases := map[string]struct {
		giver Donor
		ask   TransferRequest
		want  TransferAmounts
	}{
		"burst of one is given whole": {
			Donor{Contract: one, Rate: seventh, Burst: seventh, Level: Token / 7},
			TransferRequest{Want: Token * 6 / 7, WantCapacity: Token * 6 / 7},
			TransferAmounts{seventh, seventh, Token / 7},
		},
		"idle giver hands over half of its rate": {
			Donor{Contract: large, Rate: seventh, Burst: seventh, Level: 8 * Token},
			TransferRequest{Want: Token, Room: Token},
			TransferAmounts{seventh / 2, 0, Token},
		},
		"idle giver hands over the rest of its rate": {
			Donor{Contract: large, Rate: restRate, Burst: seventh, Level: 8 * Token},
			TransferRequest{Want: Token, Room: Token},
			TransferAmounts{restRate, 0, Token},
		},
		"room is filled with half of the tokens": {
			Donor{Contract: large, Rate: seventh, Burst: seventh, Level: 9 * Token, Demand: 10},
			TransferRequest{Want: Token, Room: 9 * Token},
			TransferAmounts{0, 0, 5 * Token},
		},
		"capacity moves for tokens beyond the room": {
			Donor{Contract: large, Rate: seventh, Burst: seventh, Level: 5 * Token, Demand: 10},
			TransferRequest{Want: 2 * Token, Room: Token},
			TransferAmounts{0, large.Fraction(Token), 2 * Token},
		},
		"capacity for the refill stays": {
			Donor{Contract: large, Rate: seventh, Burst: large.Fraction(3 * Token), Level: Token, Demand: 10},
			TransferRequest{Want: Token, WantCapacity: Token},
			TransferAmounts{0, large.Fraction(3*Token) - large.Fraction(large.held(seventh)), 3*Token - large.held(seventh)},
		},
		"giver with waiting requests keeps its share": {
			Donor{Contract: one, Rate: seventh, Burst: seventh, Waiting: 1}, TransferRequest{Want: Token, WantCapacity: Token}, TransferAmounts{},
		},
		"yielding giver": {
			Donor{Contract: one, Rate: seventh, Burst: seventh, Waiting: 1, Yields: true},
			TransferRequest{Want: Token, WantCapacity: Token},
			TransferAmounts{seventh, seventh, 0},
		},
		"rate without capacity is given": {
			Donor{Contract: large, Rate: seventh, Demand: 10}, TransferRequest{Want: Token, WantCapacity: Token}, TransferAmounts{seventh, 0, 0},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, PlanTransfer(tc.giver, tc.ask), tc.want)
		})
	}
}
