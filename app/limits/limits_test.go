package limits

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/escrow"
	"mimosarelay/core/model"
)

func TestMain(m *testing.M) {
	// The deliberate fault in TestCheckerFindsDoubleCredit logs thousands of lines.
	slog.SetDefault(slog.New(slog.DiscardHandler))
	goleak.VerifyTestMain(m)
}

// contracts has bursts that seven hosts cannot divide into whole tokens, and rates
// that keep all hosts busy.
var contracts = &config.Document{Workspaces: []config.Workspace{
	{Name: "one", Rate: 1, Burst: 1},
	{Name: "small", Rate: 5, Burst: 3},
	{Name: "medium", Rate: 20, Burst: 20},
	{Name: "large", Rate: 100, Burst: 50},
}}

// checker records admissions and refusals, and verifies that no interval has more
// admissions than the rate and burst allow.
type checker struct {
	mu       sync.Mutex
	admitted map[model.WorkspaceID][]time.Time
	refused  map[model.WorkspaceID][]time.Time
	waited   []admissionWait
}

// admissionWait is how long an admitted request waited.
type admissionWait struct {
	id       model.WorkspaceID
	arrived  time.Time
	duration time.Duration
}

func newChecker() *checker {
	return &checker{admitted: map[model.WorkspaceID][]time.Time{}, refused: map[model.WorkspaceID][]time.Time{}}
}

func (c *checker) admit(n *node, id model.WorkspaceID) {
	arrived := time.Now()
	err := n.service.Admit(context.Background(), id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.admitted[id] = append(c.admitted[id], time.Now())
		c.waited = append(c.waited, admissionWait{id, arrived, time.Since(arrived)})
		return
	}
	c.refused[id] = append(c.refused[id], arrived)
}

// check returns an error if an interval of length t has more than burst + rate × t
// admissions. With offset(j) = j - rate × t(j), the admissions from i to j exceed the
// bound if offset(j) + 1 - offset(i) > burst, so it suffices to compare with the
// smallest offset so far.
func (c *checker) check(document *config.Document) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range document.Workspaces {
		minimum := math.Inf(1)
		times := c.admitted[w.Name]
		for j, at := range times {
			offset := float64(j) - w.Rate*at.Sub(times[0]).Seconds()
			minimum = min(minimum, offset)
			if excess := offset + 1 - minimum - w.Burst; excess > 1e-6 {
				return fmt.Errorf("workspace %q: %.3f requests above burst + rate × t at %v", w.Name, excess, at.Sub(times[0]))
			}
		}
	}
	return nil
}

// sendLoad sends requests of each workspace at factor × its rate for d. route
// returns the host of the i-th request.
func sendLoad(f *testFleet, c *checker, factor float64, d time.Duration, route func(i int) model.HostID) {
	var wg sync.WaitGroup
	for _, w := range f.document.Workspaces {
		wg.Go(func() {
			pause := time.Duration(float64(time.Second) / (w.Rate * factor))
			var calls sync.WaitGroup
			for i := 0; time.Duration(i)*pause < d; i++ {
				n := f.node(route(i))
				calls.Go(func() { c.admit(n, w.Name) })
				time.Sleep(pause)
			}
			calls.Wait()
		})
	}
	wg.Wait()
}

func hostID(i int) model.HostID { return model.HostID(fmt.Sprintf("h%d", i%hostCount)) }

func alwaysH3(int) model.HostID { return "h3" }

// Guards against refusals at exactly the rate, when all callers use one host and
// when they change hosts, so that shares must be transferred. It runs for five
// minutes, because small losses of tokens do not lead to refusals within one.
func TestWithinRateIsNeverRefused(t *testing.T) {
	cases := map[string]struct {
		route func(i int) model.HostID
	}{
		"one host":                       {alwaysH3},
		"host changes with each request": {hostID},
		"host changes seldom":            {func(i int) model.HostID { return hostID(i / 37) }},
		"two hosts":                      {func(i int) model.HostID { return hostID(i % 2 * 5) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 1, contracts)
				defer f.close()
				time.Sleep(5 * time.Second) // buckets fill
				c := newChecker()
				sendLoad(f, c, 1, 5*time.Minute, tc.route)
				f.logRequestRates()
				for id, times := range c.refused {
					t.Errorf("workspace %q: %d refused, %d admitted", id, len(times), len(c.admitted[id]))
				}
				assert.NilError(t, c.check(contracts))
			})
		})
	}
}

// Guards against shares of a dead host that are not granted again: from 10 s after
// it was killed, no request within the rate may be refused.
func TestSharesOfDeadHostAreGrantedAgain(t *testing.T) {
	t.Parallel()
	checkHostDeath(t, 0.9, nil, survivingHost)
}

func survivingHost(i int) model.HostID { return hostID(1 + i%6) }

// Guards against shares of a dead host that are not granted again, at exactly the
// rate, where any later loss of tokens leads to refusals. Also guards against a
// backlog that keeps waits close to LimitWait after the kill, so that any further
// delay leads to refusals.
func TestNoRefusalsAtFullRateAfterHostDeath(t *testing.T) {
	cases := map[string]struct{ before, after func(i int) model.HostID }{
		"host changes with each request":    {nil, survivingHost},
		"one host":                          {nil, alwaysH3},
		"two hosts":                         {nil, func(i int) model.HostID { return hostID(1 + i%2*4) }},
		"the host of all callers is killed": {func(int) model.HostID { return "h0" }, alwaysH3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkHostDeath(t, 1, tc.before, tc.after)
		})
	}
}

// checkHostDeath sends load to the hosts of before for 10 s, if before is set, and
// then kills h0 and sends load to the hosts of after.
func checkHostDeath(t *testing.T, factor float64, before, after func(i int) model.HostID) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2, contracts)
		defer f.close()
		time.Sleep(5 * time.Second)
		c := newChecker()
		if before != nil {
			sendLoad(f, c, factor, 10*time.Second, before)
		}
		killedAt := time.Now()
		f.wg.Go(func() { f.kill("h0") })
		sendLoad(f, c, factor, time.Minute, after)
		f.logRequestRates()
		for id, times := range c.refused {
			for _, at := range times {
				if at.Before(killedAt) || at.Sub(killedAt) > 10*time.Second {
					t.Errorf("workspace %q refused %v after the host was killed", id, at.Sub(killedAt))
				}
			}
		}
		for _, w := range c.waited {
			if w.arrived.Sub(killedAt) > 10*time.Second && w.duration > defaultLimitWait*3/4 {
				t.Errorf("workspace %q waited %v at %v after the host was killed", w.id, w.duration, w.arrived.Sub(killedAt))
			}
		}
		assert.NilError(t, c.check(contracts))
		time.Sleep(time.Second) // transfers in flight arrive
		for _, w := range contracts.Workspaces {
			assert.Equal(t, f.totalShares(w.Name), escrow.FullShare)
			assert.Equal(t, f.totalShares(escrow.BurstAccount(w.Name)), escrow.FullShare)
		}
	})
}

// runOverloadWithFaults sends three times the rate under random faults, two at a
// time. It returns the smallest number of admissions of a workspace and the result of
// the checker.
func runOverloadWithFaults(t *testing.T, seed uint64, twice bool) (minAdmitted int, result error) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, seed, contracts)
		defer f.close()
		f.messageFaults, f.creditTwice = true, twice
		c := newChecker()
		var faults sync.WaitGroup
		for lane := range 2 {
			faults.Go(func() { f.injectFaults(lane, 30*time.Second) })
		}
		sendLoad(f, c, 3, 40*time.Second, func(int) model.HostID { return hostID(int(f.randomFloat() * hostCount)) })
		faults.Wait()
		result = c.check(contracts)
		minAdmitted = math.MaxInt
		for _, w := range contracts.Workspaces {
			minAdmitted = min(minAdmitted, len(c.admitted[w.Name]))
			for _, account := range []model.WorkspaceID{w.Name, escrow.BurstAccount(w.Name)} {
				if sum := f.totalShares(account); sum > escrow.FullShare && !twice {
					t.Errorf("account %q: shares sum to %d", account, sum)
				}
			}
		}
	})
	return minAdmitted, result
}

// injectFaults injects one fault after the other. The two lanes use disjoint sets of
// hosts, so that concurrent faults never hit the same host.
func (f *testFleet) injectFaults(lane int, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		h := hostID(2*int(f.randomFloat()*3) + lane)
		switch r := f.randomFloat(); {
		case r < 0.35:
			f.kill(h)
			f.start(h)
			f.newEpoch()
		case r < 0.7:
			f.isolate(h, time.Duration(f.randomFloat()*float64(8*time.Second)))
		case r < 0.85:
			f.setStore(true, false)
			time.Sleep(time.Duration(f.randomFloat() * float64(5*time.Second)))
			f.setStore(false, true)
		default:
			f.newEpoch()
		}
		time.Sleep(time.Duration(f.randomFloat() * float64(2*time.Second)))
	}
}

func (f *testFleet) setStore(down, loseNextAnswer bool) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.down, f.store.loseNextAnswer = down, loseNextAnswer
}

// Guards against more than burst + rate × t admissions in any interval while up to
// two faults are active at a time.
func TestBoundHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			least, err := runOverloadWithFaults(t, seed, false)
			assert.NilError(t, err)
			assert.Assert(t, least > 0)
		})
	}
}

// Guards against tokens in flight for which no capacity is reserved or transferred:
// the donor would refill meanwhile, and the fleet would hold more than the burst.
func TestTokensInFlightDoNotExceedBurst(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, contracts)
		defer f.close()
		time.Sleep(5 * time.Second)
		c := newChecker()
		sendBurst := func(hosts, requests int) {
			for _, w := range contracts.Workspaces {
				for i := range hosts * requests {
					f.wg.Go(func() { c.admit(f.node(hostID(i%hosts)), w.Name) })
				}
			}
		}
		f.setLoseAnswers(true)
		sendBurst(1, 12)
		time.Sleep(5 * time.Second) // donors refill
		sendBurst(hostCount, 20)
		time.Sleep(10 * time.Millisecond)
		f.setLoseAnswers(false)
		time.Sleep(2 * time.Second)
		assert.NilError(t, c.check(contracts))
	})
}

// Guards against a checker that never fails: it must detect hosts that credit
// transfers twice.
func TestCheckerFindsDoubleCredit(t *testing.T) {
	t.Parallel()
	_, err := runOverloadWithFaults(t, 1, true)
	assert.ErrorContains(t, err, "above burst")
	t.Log(err)
}

// Guards against contract changes that add tokens, when the rate and burst are
// raised and lowered repeatedly.
func TestContractChangesAddNoTokens(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, contracts)
		defer f.close()
		time.Sleep(5 * time.Second)
		larger := &config.Document{}
		for _, w := range contracts.Workspaces {
			w.Rate, w.Burst = 2*w.Rate, 2*w.Burst
			larger.Workspaces = append(larger.Workspaces, w)
		}
		f.wg.Go(func() {
			for i := range 20 {
				time.Sleep(time.Second)
				for h := range hostCount {
					f.node(hostID(h)).service.ContractsChanged([]*config.Document{larger, contracts}[i%2])
				}
			}
		})
		c := newChecker()
		sendLoad(f, c, 4, 25*time.Second, hostID)
		assert.NilError(t, c.check(larger))
	})
}

// Guards against tokens taken without the right to act, and against refusals that
// do not state that the call did not run.
func TestRefusalsStateThatCallDidNotRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4, contracts)
		defer f.close()
		time.Sleep(5 * time.Second)
		s := f.node("h1").service
		refusal := func(id model.WorkspaceID, kind error) time.Duration {
			err := s.Admit(context.Background(), id)
			var r *model.Refusal
			assert.Assert(t, errors.As(err, &r), "%v", err)
			assert.ErrorIs(t, err, kind)
			assert.Equal(t, r.Ran, model.RanNo)
			return r.RetryAfter
		}
		assert.Equal(t, refusal("nobody", model.ErrForbidden), time.Duration(0))
		assert.NilError(t, s.Admit(context.Background(), "one"))
		c := newChecker()
		for range 3 {
			f.wg.Go(func() { c.admit(f.node("h1"), "one") })
		}
		synctest.Wait()
		assert.Assert(t, refusal("one", model.ErrRateLimited) > 0)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		time.Sleep(2 * time.Second)
		assert.NilError(t, s.Admit(context.Background(), "one"))
		assert.ErrorIs(t, s.Admit(ctx, "one"), context.DeadlineExceeded)
		n := f.node("h1")
		f.mu.Lock()
		n.rightEnd = time.Now()
		f.mu.Unlock()
		assert.Equal(t, refusal("large", model.ErrNoRight), time.Duration(0))
	})
}

// Guards against a host that keeps its shares after it was removed and has rejoined
// with another incarnation, although other hosts may have been granted them.
func TestRemovedHostDropsHoldings(t *testing.T) {
	cases := map[string]struct {
		incarnation model.Incarnation
		want        int
	}{
		"same incarnation": {"p2", 2 * len(contracts.Workspaces)},
		"new incarnation":  {"p9", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 5, contracts)
				defer f.close()
				time.Sleep(5 * time.Second)
				s := f.node("h1").service
				s.EpochChanged(Membership{
					Epoch: 2, Incarnation: tc.incarnation, Members: []Member{{Host: "h1", Incarnation: tc.incarnation}},
				})
				assert.Equal(t, len(s.Holdings(2)), tc.want)
			})
		})
	}
}

// Guards against requests that wait until an isolated host may act, although another
// host could serve them.
func TestIsolatedHostRefusesAtOnce(t *testing.T) {
	for name, isolated := range map[string]bool{"isolated": true, "not isolated": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{
					Host: "h", Clock: clockwork.NewRealClock(), Store: &memoryStore{}, MayAct: func() bool { return false },
					Isolated: func() bool { return isolated }, SettleWait: time.Second,
				})
				defer s.Close()
				start := time.Now()
				err := s.Admit(t.Context(), "w")
				assert.ErrorIs(t, err, model.ErrNoRight)
				assert.Equal(t, time.Since(start) < 100*time.Millisecond, isolated)
			})
		})
	}
}
