package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/escrow"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against tokens that a change of contract or share mints, and against
// admissions above fraction × (burst + rate × t).
func TestBucketBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Contract {
			return NewContract(rapid.Float64Range(0, 1000).Draw(t, "rate"), rapid.Float64Range(0, 100).Draw(t, "burst"))
		}
		now, largest := start, draw()
		b := NewBucket(now, largest, rapid.Int64Range(0, escrow.Whole).Draw(t, "fraction"))
		top, taken := b.Fraction(), 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			before := b.Level(now)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				c := draw()
				b.SetContract(now, c)
				largest = Contract{Rate: max(largest.Rate, c.Rate), Burst: max(largest.Burst, c.Burst)}
			case 1:
				b.SetFraction(now, rapid.Int64Range(0, escrow.Whole).Draw(t, "fraction"))
				top = max(top, b.Fraction())
			default:
				if b.Take(now) {
					taken++
				}
			}
			if b.Level(now) > before || b.Level(now) > b.Contract().Capacity(b.Fraction()) {
				t.Fatalf("level rose from %d to %d", before, b.Level(now))
			}
		}
		bound := float64(largest.Capacity(top)) + float64(largest.Rate)*now.Sub(start).Seconds()*float64(top)/float64(escrow.Whole)
		if float64(int64(taken)*Token) > bound+1 {
			t.Fatalf("took %d tokens, bound is %f micro tokens", taken, bound)
		}
	})
}

// Guards against rounding that stops the refill of a small share that is looked
// at often.
func TestSmallShareRefills(t *testing.T) {
	b := NewBucket(start, NewContract(0.001, 1), escrow.Whole)
	now := start
	for range 1_001_000 {
		now = now.Add(time.Millisecond)
		b.Level(now)
	}
	assert.Assert(t, b.Take(now))
}

// Guards against a wait after which the token is still missing.
func TestWait(t *testing.T) {
	b := NewBucket(start, NewContract(3, 7), escrow.Whole/7+1)
	wait, ok := b.Wait(start, Token)
	assert.Assert(t, ok)
	assert.Assert(t, !b.Take(start.Add(wait-time.Millisecond)))
	assert.Assert(t, b.Take(start.Add(wait)))
	_, ok = NewBucket(start, NewContract(3, 1), escrow.Whole/7).Wait(start, Token)
	assert.Assert(t, !ok)
}

// Guards against gifts above the giver's holding or tokens that the moved share
// can't hold.
func TestGiveBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewContract(rapid.Float64Range(0, 1000).Draw(t, "rate"), rapid.Float64Range(0, 100).Draw(t, "burst"))
		g := Giver{
			Contract: c,
			Fraction: rapid.Int64Range(0, escrow.Whole).Draw(t, "fraction"),
			Demand:   rapid.Float64Range(0, 2000).Draw(t, "demand"),
			Waiting:  rapid.IntRange(0, 10).Draw(t, "waiting"),
			Yields:   rapid.Bool().Draw(t, "yields"),
		}
		g.Level = rapid.Int64Range(0, c.Capacity(g.Fraction)).Draw(t, "level")
		f, m := Give(g, rapid.Int64Range(0, 20*Token).Draw(t, "want"))
		if f < 0 || f > g.Fraction || m < 0 || m > g.Level || m > c.Capacity(f) {
			t.Fatalf("gave %d, %d of %+v", f, m, g)
		}
		if g.Waiting > 0 && !g.Yields && g.Level-m < min(g.Level, int64(g.Waiting)*Token) {
			t.Fatalf("gave %d micro tokens that requests wait for: %+v", m, g)
		}
	})
}

// Guards against a policy under which no host ever holds a whole token, or
// under which shares do not follow demand.
func TestGivePolicy(t *testing.T) {
	seventh := escrow.Whole / 7
	one := NewContract(1, 1)
	large := NewContract(70, 70)
	cases := map[string]struct {
		giver      Giver
		want       int64
		min, limit int64
	}{
		"burst of one is given whole": {Giver{Contract: one, Fraction: seventh, Level: Token / 7}, Token * 6 / 7, seventh, seventh},
		"idle giver hands over half":  {Giver{Contract: large, Fraction: seventh, Level: 10 * Token}, Token, seventh / 2, seventh * 6 / 10},
		"giver with demand gives what is wanted": {
			Giver{Contract: large, Fraction: seventh, Level: 10 * Token, Demand: 10}, Token, escrow.Whole / 70, escrow.Whole/70 + 1,
		},
		"giver with waiting requests keeps its share": {
			Giver{Contract: one, Fraction: seventh, Waiting: 1}, Token, 0, 0,
		},
		"yielding giver": {Giver{Contract: one, Fraction: seventh, Waiting: 1, Yields: true}, Token, seventh, seventh},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f, _ := Give(tc.giver, tc.want)
			assert.Assert(t, f >= tc.min && f <= tc.limit, "gave %d, want %d to %d", f, tc.min, tc.limit)
		})
	}
	assert.Assert(t, Yields(5, 4, "a", "b") && !Yields(4, 5, "a", "b"))
	assert.Assert(t, Yields(5, 5, "b", "a") != Yields(5, 5, "a", "b"))
}
