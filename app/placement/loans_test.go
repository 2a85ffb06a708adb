package placement

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// lossyLenders connects services in memory. One in ten responses is lost.
type lossyLenders struct {
	self        model.HostID
	mu          *sync.Mutex
	random      *rand.Rand
	services    map[model.HostID]*Service
	overcommits bool // wrong on purpose: lends places that are in use
}

func (l *lossyLenders) loseAnswer() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.IntN(10) == 0 {
		return errors.New("simulated loss of the answer about a loan")
	}
	return nil
}

// Borrow implements Lenders.
func (l *lossyLenders) Borrow(_ context.Context, h model.HostID, t model.TargetID, id LoanID) (bool, error) {
	ok := l.services[h].Lend(l.self, t, id) || l.overcommits
	return ok, l.loseAnswer()
}

// Return implements Lenders.
func (l *lossyLenders) Return(_ context.Context, h model.HostID, t model.TargetID, id LoanID) error {
	l.services[h].TakeBack(t, id)
	return l.loseAnswer()
}

// runBorrowingFleet runs calls of 7 hosts at a target with two places. It returns
// the highest number of calls in flight at one time and the number of refusals.
func runBorrowingFleet(t *testing.T, overcommits bool) (peakInFlight, refused int32) {
	t.Helper()
	var hosts []model.HostID
	for i := range 7 {
		hosts = append(hosts, model.HostID(fmt.Sprint("host-", i)))
	}
	f := newFleet(document(2, "a"), hosts...)
	services := map[model.HostID]*Service{}
	mu := &sync.Mutex{}
	random := rand.New(rand.NewPCG(7, 7))
	ctx, cancel := context.WithCancel(t.Context())
	var loops, work sync.WaitGroup
	for _, h := range hosts {
		services[h] = f.service(h, func(o *Options) {
			o.Lenders = &lossyLenders{self: h, mu: mu, random: random, services: services, overcommits: overcommits}
			o.Log = slog.New(slog.DiscardHandler)
		})
	}
	for _, s := range services {
		loops.Go(func() { _ = s.Run(ctx) })
	}
	assert.NilError(t, f.clock.BlockUntilContext(ctx, 2*len(hosts)))
	var inFlight, peak, failures atomic.Int32
	for _, s := range services {
		for range 3 {
			work.Go(func() {
				for range 4 {
					p, err := s.Acquire(ctx, request)
					if err != nil {
						failures.Add(1)
						continue
					}
					n := inFlight.Add(1)
					for m := peak.Load(); n > m && !peak.CompareAndSwap(m, n); m = peak.Load() {
					}
					f.clock.Sleep(50 * time.Millisecond)
					inFlight.Add(-1)
					p.Release(placement.Usage{Prompt: 100})
				}
			})
		}
	}
	done := make(chan struct{})
	go func() {
		work.Wait()
		close(done)
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
			f.clock.Advance(10 * time.Millisecond)
			time.Sleep(200 * time.Microsecond)
		}
	}
	cancel()
	loops.Wait()
	return peak.Load(), failures.Load()
}

// Guards against refusals of all calls at hosts without places at a target, and
// against loans that let more calls run than MaxInFlight.
func TestHostsWithoutPlacesBorrowWithinLimit(t *testing.T) {
	peak, refused := runBorrowingFleet(t, false)
	assert.Assert(t, peak <= 2, "%d calls in flight", peak)
	assert.Equal(t, refused, int32(0))
}

// Verifies that the check above detects a lender that lends places in use.
func TestLimitCheckDetectsOvercommittingLenders(t *testing.T) {
	peak, _ := runBorrowingFleet(t, true)
	assert.Assert(t, peak > 2, "%d calls in flight", peak)
}

// Guards against places that stay lent: because the borrower left the membership,
// because a delayed request arrives after the return of its loan, or because the
// borrower restarted without returning the place.
func TestLentPlacesBecomeAvailableAgain(t *testing.T) {
	f := newFleet(document(1, "a"), "h1", "h2")
	lender, borrower := model.HostID("h1"), model.HostID("h2")
	if placement.HostLimit([]model.HostID{"h1", "h2"}, "h1", "a", 1) == 0 {
		lender, borrower = borrower, lender
	}
	s := f.service(lender, func(o *Options) { o.Lenders = &lossyLenders{} })
	s.TakeBack("a", "late")
	assert.Assert(t, !s.Lend(borrower, "a", "late"))
	assert.Assert(t, s.Lend(borrower, "a", "1"))
	assert.Assert(t, s.Lend(borrower, "a", "1")) // repeated
	assert.Assert(t, !s.Lend(borrower, "a", "2"))
	assert.Assert(t, tryAcquire(t, s) == nil)
	f.hosts.Store(&[]model.HostID{lender})
	s.tick()
	f.clock.Advance(defaultChangeDelay)
	p := tryAcquire(t, s)
	assert.Assert(t, p != nil)
	p.Release(placement.Usage{Prompt: 1})
	f.hosts.Store(&[]model.HostID{"h1", "h2"})
	s.tick()
	assert.Assert(t, s.Lend(borrower, "a", "3"))
	f.clock.Advance(maxLoanDuration)
	s.mu.Lock()
	s.expireLoans(f.clock.Now())
	s.mu.Unlock()
	assert.Assert(t, tryAcquire(t, s) != nil)
	assert.Assert(t, !s.Lend("stranger", "a", "4"))
}

// Guards against new calls in borrowed places of a leaving target.
func TestLeavingTargetGetsNoCallsInBorrowedPlaces(t *testing.T) {
	d := document(1, "a")
	f := newFleet(d, "h1", "h2")
	borrower := model.HostID("h1")
	if placement.HostLimit([]model.HostID{"h1", "h2"}, "h1", "a", 1) == 1 {
		borrower = "h2"
	}
	s := f.service(borrower, nil)
	assert.Assert(t, tryAcquire(t, s) == nil)
	addBorrowedPlace := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := f.clock.Now()
		s.loans.borrowed["1"] = loan{id: "1", target: "a", peer: "other", expires: now.Add(loanDuration)}
		s.updateLimit(now, "a")
	}
	addBorrowedPlace()
	p := tryAcquire(t, s)
	assert.Assert(t, p != nil)
	p.Release(placement.Usage{Prompt: 1})
	d.Targets[0].Leaving = true
	f.snapshot.Store(config.NewSnapshot(&d))
	assert.Assert(t, tryAcquire(t, s) == nil)
	addBorrowedPlace()
	assert.Assert(t, tryAcquire(t, s) == nil)
}
