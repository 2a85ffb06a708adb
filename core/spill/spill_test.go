package spill_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/spill"
)

var start = time.Unix(1_800_000_000, 0)

// A zone that costs three times as much as another one sends it a growing share.
func ExampleDecider() {
	d := spill.New(spill.Options{PathCost: 1})
	for i := range 4 {
		d.Update(start.Add(time.Duration(i)*time.Second), spill.Zone{Name: "a", Usable: 8, Cost: 30}, []spill.Zone{{Name: "b", Usable: 8, Cost: 10, Use: 0.5}})
		fmt.Println(d.Zone(), d.Share())
	}
	// Output:
	// b 0.08
	// b 0.16
	// b 0.32
	// b 0.64
}

// Guards against calls that are sent to a zone which is as busy or has no targets, and
// against the loss of the decision when a zone has none.
func TestShareFollowsUsableZones(t *testing.T) {
	cases := map[string]struct {
		local    spill.Zone
		other    spill.Zone
		share    float64 // after 10 steps
		anywhere bool
	}{
		"equal":           {spill.Zone{Usable: 8, Cost: 30}, spill.Zone{Name: "b", Usable: 8, Cost: 30}, 0, false},
		"path costs more": {spill.Zone{Usable: 8, Cost: 30}, spill.Zone{Name: "b", Usable: 8, Cost: 25}, 0, false},
		"slow":            {spill.Zone{Usable: 8, Cost: 30}, spill.Zone{Name: "b", Usable: 8, Cost: 10}, 0.75, false},
		"other is busy":   {spill.Zone{Usable: 8, Cost: 90}, spill.Zone{Name: "b", Usable: 8, Cost: 10, Use: 0.9}, 0, false},
		"other is gone":   {spill.Zone{Usable: 8, Cost: 90}, spill.Zone{Name: "b"}, 0, false},
		"own is gone":     {spill.Zone{}, spill.Zone{Name: "b", Usable: 8, Cost: 90, Use: 3}, 1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := spill.New(spill.Options{PathCost: 5})
			for i := range 10 {
				d.Update(start.Add(time.Duration(i)*time.Second), c.local, []spill.Zone{c.other})
			}
			assert.Equal(t, d.Share(), c.share)
			assert.Equal(t, d.Anywhere(), c.anywhere)
			d.Update(start.Add(time.Minute), spill.Zone{Usable: 8, Cost: 1}, []spill.Zone{{Name: "b", Usable: 8, Cost: 1}})
			assert.Assert(t, d.Share() < 0.75, "the calls don't return in steps")
		})
	}
}

// Guards against a share that jumps while the zone has targets, leaves its bounds, or is
// not what Leaves gives.
func TestShareChangesInSteps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := spill.New(spill.Options{})
		now, before := start, 0.0
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			zone := func(name string) spill.Zone {
				return spill.Zone{Usable: rapid.IntRange(1, 9).Draw(rt, name), Cost: rapid.Float64Range(0.1, 1e6).Draw(rt, name), Use: rapid.Float64Range(0, 5).Draw(rt, name)}
			}
			d.Update(now, zone("own"), []spill.Zone{zone("b"), zone("c")})
			share := d.Share()
			if share < 0 || share > 0.75 || share > max(0.08, 2*before) || share < 0.7*before-0.02 {
				rt.Fatalf("share changed from %v to %v", before, share)
			}
			before = share
		}
		left := 0
		for range 1000 {
			if d.Leaves(0) {
				left++
			}
		}
		if x := float64(left) / 1000; x < before-0.002 || x > before+0.002 {
			rt.Fatalf("%v left, share %v", x, before)
		}
	})
}
