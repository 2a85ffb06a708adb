package limits

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/evidence"
	"mimosarelay/core/limit"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// maxLimitAge is the age of the evidence at which the keepers of these tests stop to
// admit requests.
const maxLimitAge = evidence.MaxAge(4600 * time.Millisecond)

// loneKeeper is the only member of a fleet. It acts by its own majority while the
// store does not answer it.
type loneKeeper struct {
	*Service
	confirmed evidence.Stamp
	admitted  []time.Time
}

func officeLimit(revision model.Revision, rate float64) *config.Document {
	return &config.Document{Revision: revision, Workspaces: []config.Workspace{{Name: "office", Rate: rate, Burst: rate}}}
}

func newLoneKeeper(rate float64) *loneKeeper {
	k := &loneKeeper{confirmed: evidence.Now(clockwork.NewRealClock())}
	k.Service = New(Options{
		Host: "k", Clock: clockwork.NewRealClock(), Store: &memoryStore{}, MayAct: func() bool { return true },
		LimitWait: 250 * time.Millisecond, Confirmed: func() evidence.Stamp { return k.confirmed }, MaxAge: maxLimitAge,
	})
	k.EpochChanged(Membership{Epoch: 1, Incarnation: "i", Members: []Member{{Host: "k", Incarnation: "i"}}})
	k.ContractsChanged(officeLimit(1, rate))
	k.mu.Lock()
	k.reports["k"] = EntryReport{Host: "k", Incarnation: "i", Epoch: 1}
	k.mu.Unlock()
	k.requestSettlement()
	time.Sleep(time.Second) // the settlement, and the first tokens
	return k
}

// load sends 60 requests a second for d, each with known as the limit that the entry
// host knows at that moment.
func (k *loneKeeper) load(d time.Duration, known func() *peerpb.KnownLimit) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / 60) {
		k.LearnFrom("office", known())
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		if k.Admit(ctx, "office") == nil {
			k.admitted = append(k.admitted, time.Now())
		}
		cancel()
	}
}

// most returns the highest number of admissions in 5 s that begin after a moment.
func (k *loneKeeper) most(after time.Time) int {
	most := 0
	for i, first := range k.admitted {
		n := 0
		for _, at := range k.admitted[i:] {
			if at.Before(first.Add(5 * time.Second)) {
				n++
			}
		}
		if !first.Before(after) {
			most = max(most, n)
		}
	}
	return most
}

// Guards against a keeper that the store turns away, that acts by its own majority and
// that grants by a limit that was lowered meanwhile: 128 requests ran in 5 s, 46 were
// allowed.
func TestKeeperDoesNotGrantByOutdatedLimit(t *testing.T) {
	none := func(evidence.Stamp) *peerpb.KnownLimit { return nil }
	cases := map[string]struct {
		// known is what entry hosts tell. lowered is when the store confirmed the lower
		// limit.
		known func(lowered evidence.Stamp) *peerpb.KnownLimit
		// bindsAfter is when the lower limit binds, and min how many requests are
		// served at least in 5 s after that.
		bindsAfter time.Duration
		min        int
	}{
		"hosts tell nothing": {known: none, bindsAfter: 7 * time.Second},
		"hosts know the lower limit": {known: func(evidence.Stamp) *peerpb.KnownLimit {
			return EncodeKnown(limit.Known{Revision: 2, Rate: 4, Burst: 4, Confirmed: evidence.Now(clockwork.NewRealClock())})
		}, bindsAfter: 2 * time.Second, min: 15},
		"hosts know an old revision": {known: func(lowered evidence.Stamp) *peerpb.KnownLimit {
			return EncodeKnown(limit.Known{Revision: 1, Rate: 171, Burst: 171, Confirmed: lowered})
		}, bindsAfter: 7 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newLoneKeeper(171)
				defer k.Close()
				k.confirmed = evidence.Now(clockwork.NewRealClock()) // the last one
				time.Sleep(100 * time.Millisecond)
				lowered, start := evidence.Now(clockwork.NewRealClock()), time.Now()
				k.load(15*time.Second, func() *peerpb.KnownLimit { return c.known(lowered) })
				most := k.most(start.Add(c.bindsAfter))
				assert.Check(t, float64(most) <= (4*5+4)*1.1+20, "%d requests in 5 s", most)
				assert.Check(t, most >= c.min, "%d requests in 5 s", most)
			})
		})
	}
}

// Guards against refusals while hosts whose evidence is recent confirm the limit of a
// keeper that the store turns away, and against the lower limit that stays in force
// when the keeper has read a newer configuration.
func TestKeeperServesByConfirmedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newLoneKeeper(10)
		defer k.Close()
		k.load(20*time.Second, func() *peerpb.KnownLimit {
			return EncodeKnown(limit.Known{Revision: 1, Rate: 10, Burst: 10, Confirmed: evidence.Now(clockwork.NewRealClock())})
		})
		assert.Check(t, len(k.admitted) >= 200, "%d of 200 requests within the limit", len(k.admitted))
		k.Learn("office", limit.Known{Revision: 2, Rate: 1, Burst: 1, Confirmed: evidence.Now(clockwork.NewRealClock())})
		assert.Equal(t, k.workspaces["office"].bucket.Contract(), limit.NewContract(1, 1))
		k.Learn("office", limit.Known{Revision: 3, Rate: 100, Burst: 100, Confirmed: evidence.Now(clockwork.NewRealClock())})
		assert.Equal(t, k.workspaces["office"].bucket.Contract(), limit.NewContract(10, 10), "a raised limit is not taken from a host")
		k.ContractsChanged(officeLimit(3, 100))
		assert.Equal(t, k.workspaces["office"].bucket.Contract(), limit.NewContract(100, 100))
	})
}
