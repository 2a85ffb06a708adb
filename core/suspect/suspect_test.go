package suspect

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/model"
	_ "mimosarelay/test/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against crashes that are counted twice, that never expire or that a
// late message brings back after they were lifted.
func TestCrashesCountOnceUntilLiftedOrExpired(t *testing.T) {
	l := NewLedger()
	assert.Assert(t, l.RecordCrash(start, "f", Crash{Target: "a", At: start}))
	assert.Assert(t, !l.RecordCrash(start, "f", Crash{Target: "a", At: start.Add(duplicateCrashWindow - 1)}))
	assert.Equal(t, l.Crashes(start, "f"), 1)
	late := start.Add(time.Minute)
	assert.Assert(t, l.RecordCrash(late, "f", Crash{Target: "b", At: late}))
	assert.Equal(t, l.Crashes(late, "f"), 2)
	assert.Equal(t, l.Crashes(late.Add(Lifetime-1), "f"), 2)
	assert.Equal(t, l.Crashes(late.Add(Lifetime), "f"), 0)
	other := NewLedger()
	other.Merge(late, l.Get("f"))
	other.Merge(late, l.Get("f"))
	assert.DeepEqual(t, other.Entries(), l.Entries())
	assert.Assert(t, l.Lift(late, "f", late))
	assert.Equal(t, l.Crashes(late, "f"), 0)
	l.Merge(late, other.Get("f")) // recorded before the lift
	assert.Equal(t, l.Crashes(late, "f"), 0)
	assert.Assert(t, l.RecordCrash(late, "f", Crash{Target: "a", At: late.Add(1)}))
	l.Expire(late.Add(2 * Lifetime))
	assert.Equal(t, len(l.Entries()), 0)
}

// Guards against a request whose running copies and crashes add up to more than
// MaxCrashes (2), and against a run after a crash beside another copy.
func TestCopiesAndCrashesStayWithinMaxCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, now, crashes, next := NewClaims(), start, 0, 0
		running := map[ClaimID]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0, 1:
				next++
				id := ClaimID(fmt.Sprint(next))
				v := c.Claim(now, "f", id, crashes)
				if v == Granted || v == GrantedExclusive {
					running[id] = true
				}
				if (v == GrantedExclusive) != (crashes == 1 && len(running) == 1 && running[id]) {
					rt.Fatalf("got verdict %d with %d crashes and %d running copies", v, crashes, len(running))
				}
			case 2:
				for id := range running {
					crashes++
					c.End(now, "f", id, false)
					delete(running, id)
					break
				}
			}
			if len(running)+crashes > MaxCrashes {
				rt.Fatalf("got %d running copies and %d crashes, want at most %d together",
					len(running), crashes, MaxCrashes)
			}
		}
	})
}

// Guards against requests that stay limited to MaxCrashes copies although one
// ended without a crash, and against claims that count forever because their end
// was not reported.
func TestHarmlessRequestsAreUnlimitedAndClaimsExpire(t *testing.T) {
	c := NewClaims()
	assert.Equal(t, c.Claim(start, "f", "1", 0), Granted)
	assert.Equal(t, c.Claim(start, "f", "2", 0), Granted)
	assert.Equal(t, c.Claim(start, "f", "1", 0), Granted) // repeated
	assert.Equal(t, c.Claim(start, "f", "3", 0), Busy)
	assert.Equal(t, c.Claim(start.Add(ClaimLifetime), "f", "3", 0), Granted)
	c.End(start, "f", "1", true)
	for i := range 10 {
		assert.Equal(t, c.Claim(start, "f", ClaimID(fmt.Sprint("x", i)), 0), Granted)
	}
	assert.Equal(t, c.Claim(start, "f", "4", 2), Refused)
	c.Expire(start.Add(2 * ClaimLifetime))
	assert.Equal(t, c.Running(), 0)
}

// Guards against an owner that depends on the order of the addresses, and against
// one host that owns most requests.
func TestOwnerIgnoresAddressOrderAndSpreadsRequests(t *testing.T) {
	owners := map[string]int{}
	for i := range 300 {
		f := model.Fingerprint(fmt.Sprint(i))
		a := Owner(f, []string{"x", "y", "z"})
		assert.Equal(t, Owner(f, []string{"z", "x", "y"}), a)
		owners[a]++
	}
	assert.Assert(t, owners["x"] > 50 && owners["y"] > 50 && owners["z"] > 50, "%v", owners)
}
