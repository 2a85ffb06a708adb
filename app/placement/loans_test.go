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

// lenders connects services in memory. Some answers are lost.
type lenders struct {
	self     model.HostID
	mu       *sync.Mutex
	random   *rand.Rand
	services map[model.HostID]*Service
	generous bool // wrong: lends places that are in use
}

func (l *lenders) lose() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.IntN(10) == 0 {
		return errors.New("answer lost")
	}
	return nil
}

// Borrow implements Lenders.
func (l *lenders) Borrow(_ context.Context, h model.HostID, t model.TargetID, id LoanID) (bool, error) {
	ok := l.services[h].Lend(l.self, t, id) || l.generous
	return ok, l.lose()
}

// Return implements Lenders.
func (l *lenders) Return(_ context.Context, h model.HostID, t model.TargetID, id LoanID) error {
	l.services[h].TakeBack(t, id)
	return l.lose()
}

// share runs calls of 7 hosts at a target with two places, and returns the
// most calls in flight at one time and the number of refusals.
func share(t *testing.T, generous bool) (most, refused int32) {
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
			o.Lenders = &lenders{self: h, mu: mu, random: random, services: services, generous: generous}
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

// Guards against hosts without a part of a target whose calls are all refused,
// and against loans that raise the bound.
func TestHostsWithoutPartBorrow(t *testing.T) {
	most, refused := share(t, false)
	assert.Assert(t, most <= 2, "%d calls in flight", most)
	assert.Equal(t, refused, int32(0))
}

// Shows that the check above rejects a lender that lends places in use.
func TestBoundCheckerRejectsGenerousLenders(t *testing.T) {
	most, _ := share(t, true)
	assert.Assert(t, most > 2, "%d calls in flight", most)
}

// Guards against places that stay lent: to a host that left the membership, by
// a request that arrives after its return, and after a restart.
func TestLentPlacesComeBack(t *testing.T) {
	f := newFleet(document(1, "a"), "h1", "h2")
	lender, borrower := model.HostID("h1"), model.HostID("h2")
	if placement.HostLimit([]model.HostID{"h1", "h2"}, "h1", "a", 1) == 0 {
		lender, borrower = borrower, lender
	}
	s := f.service(lender, func(o *Options) { o.Lenders = &lenders{} })
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

// Guards against new calls in a borrowed place of a target that leaves.
func TestBorrowedPlaceOfLeavingTarget(t *testing.T) {
	d := document(1, "a")
	f := newFleet(d, "h1", "h2")
	borrower := model.HostID("h1")
	if placement.HostLimit([]model.HostID{"h1", "h2"}, "h1", "a", 1) == 1 {
		borrower = "h2"
	}
	s := f.service(borrower, nil)
	assert.Assert(t, tryAcquire(t, s) == nil)
	lend := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := f.clock.Now()
		s.loans.borrowed["1"] = loan{id: "1", target: "a", peer: "other", expires: now.Add(loanDuration)}
		s.updateLimit(now, "a")
	}
	lend()
	p := tryAcquire(t, s)
	assert.Assert(t, p != nil)
	p.Release(placement.Usage{Prompt: 1})
	d.Targets[0].Leaving = true
	f.snapshot.Store(config.NewSnapshot(&d))
	assert.Assert(t, tryAcquire(t, s) == nil)
	lend()
	assert.Assert(t, tryAcquire(t, s) == nil)
}
