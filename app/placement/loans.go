package placement

import (
	"context"
	"slices"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/google/uuid"

	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// Lenders calls Lend and TakeBack of other hosts.
type Lenders interface {
	// Borrow asks a host to lend one place at a target and reports whether it
	// did. After an error the host may or may not have lent it.
	Borrow(ctx context.Context, lender model.HostID, target model.TargetID, id LoanID) (bool, error)
	// Return ends a loan. It may be repeated, and may name a loan that was never
	// made.
	Return(ctx context.Context, lender model.HostID, target model.TargetID, id LoanID) error
}

// LoanID identifies a loan across the fleet.
type LoanID string

const (
	// loanDuration is the time during which a borrower may start calls in a
	// borrowed place. The calls may take longer.
	loanDuration = 2 * time.Second
	// reservationDuration is the time for which a lender reserves its next free
	// place for a host whose request it rejected. It exceeds the time between two
	// requests.
	reservationDuration = 500 * time.Millisecond
	// returnedLoanTTL is the time for which a lender remembers a returned loan, so
	// that a delayed request does not create it again. It exceeds the duration of
	// a request.
	returnedLoanTTL = time.Minute
	// maxLoanDuration is the time after which a lender ends a loan whose borrower
	// restarted without returning it. It exceeds the duration of a call.
	maxLoanDuration = 15 * time.Minute
	// maxLendersPerRound limits the hosts that are asked for one place.
	maxLendersPerRound = 3
)

// loan is one place that this host has lent or borrowed.
type loan struct {
	id      LoanID
	target  model.TargetID
	peer    model.HostID // borrower or lender
	expires time.Time    // borrowed: end of call starts; lent: end if it is not returned
}

// loans holds the loans of this host as lender and as borrower. Service.mu
// guards it.
type loans struct {
	lent          map[LoanID]loan
	returned      map[LoanID]time.Time
	reserved      map[model.TargetID]loan // for the first host that was rejected, until expires
	ownCallsFirst map[model.TargetID]bool // own calls waited when a loan ended and precede new loans
	borrowed      map[LoanID]loan
	returning     map[LoanID]loan // until the lender confirms the return
	requesting    map[model.TargetID]bool
}

func newLoans() loans {
	return loans{
		lent: map[LoanID]loan{}, returned: map[LoanID]time.Time{}, reserved: map[model.TargetID]loan{},
		ownCallsFirst: map[model.TargetID]bool{}, borrowed: map[LoanID]loan{}, returning: map[LoanID]loan{},
		requesting: map[model.TargetID]bool{},
	}
}

func (l *loans) counts() (lent, borrowed int) { return len(l.lent), len(l.borrowed) }

// limitDelta returns the number of places by which loans and reservations change
// the limit of this host at a target.
func (l *loans) limitDelta(t model.TargetID, now time.Time) int {
	n := 0
	for _, ln := range l.borrowed {
		if ln.target == t && now.Before(ln.expires) {
			n++
		}
	}
	if r, ok := l.reserved[t]; ok && now.Before(r.expires) {
		n--
	}
	return n - l.lentPlaces(t)
}

func (l *loans) lentPlaces(t model.TargetID) int {
	n := 0
	for _, ln := range l.lent {
		if ln.target == t {
			n++
		}
	}
	return n
}

// dropAbsentHosts drops the loans to hosts that left the membership and the
// returns to such hosts.
func (l *loans) dropAbsentHosts(known func(model.HostID) bool) {
	for id, ln := range l.lent {
		if !known(ln.peer) {
			delete(l.lent, id)
		}
	}
	for id, ln := range l.returning {
		if !known(ln.peer) {
			delete(l.returning, id)
		}
	}
}

// hostLimit returns the limit of this host at a target without loans. It is 0 for
// a target that is leaving or not configured. The caller holds mu.
func (s *Service) hostLimit(id model.TargetID) int {
	for _, t := range s.targets {
		if t.ID == id {
			return t.Limit
		}
	}
	return 0
}

// updateLimit sets the scheduler's limit of a target to the current loans. The
// caller holds mu.
func (s *Service) updateLimit(now time.Time, id model.TargetID) {
	if t, ok := s.snapshot.Target(id); ok {
		s.deliverGrants(now, s.scheduler.SetLimit(now, id, s.limitWithLoans(t, s.hostLimit(id), now)))
	}
}

// Lend decides whether this host lends one place to another host. If all its
// places are taken, the next free one is reserved for the borrower for a short
// time, because otherwise the calls of this host could take every free place.
func (s *Service) Lend(borrower model.HostID, target model.TargetID, id LoanID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.refresh(now)
	if _, repeated := s.loans.lent[id]; repeated {
		return true
	}
	if _, returned := s.loans.returned[id]; returned || !s.membership.recentMember(borrower) || s.hostLimit(target) == 0 {
		return false
	}
	reservation, reserved := s.loans.reserved[target]
	if reserved && now.Before(reservation.expires) && reservation.peer != borrower ||
		s.loans.ownCallsFirst[target] && s.scheduler.Awaited(target) {
		return false
	}
	if s.scheduler.InFlight(target)+s.loans.lentPlaces(target) >= s.hostLimit(target) {
		s.loans.reserved[target] = loan{target: target, peer: borrower, expires: now.Add(reservationDuration)}
		s.updateLimit(now, target)
		return false
	}
	delete(s.loans.reserved, target)
	s.loans.lent[id] = loan{id: id, target: target, peer: borrower, expires: now.Add(maxLoanDuration)}
	s.updateLimit(now, target)
	return true
}

// TakeBack ends a loan to another host.
func (s *Service) TakeBack(target model.TargetID, id LoanID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.refresh(now)
	s.loans.returned[id] = now
	if _, ok := s.loans.lent[id]; !ok {
		return
	}
	delete(s.loans.lent, id)
	s.loans.ownCallsFirst[target] = s.scheduler.Awaited(target)
	s.updateLimit(now, target)
}

// expireLoans ends expired loans and reservations. A borrowed place is returned
// once no call uses it. The caller holds mu.
func (s *Service) expireLoans(now time.Time) {
	for id, at := range s.loans.returned {
		if now.Sub(at) >= returnedLoanTTL {
			delete(s.loans.returned, id)
		}
	}
	for id, ln := range s.loans.lent {
		if !now.Before(ln.expires) {
			delete(s.loans.lent, id)
			s.updateLimit(now, ln.target)
		}
	}
	for t, ln := range s.loans.reserved {
		if !now.Before(ln.expires) {
			delete(s.loans.reserved, t)
			s.updateLimit(now, t)
		}
	}
	for id, ln := range s.loans.borrowed {
		if now.Before(ln.expires) {
			continue
		}
		s.updateLimit(now, ln.target)
		borrowed := 0 // places at the target that are not returned yet
		for _, other := range s.loans.borrowed {
			if other.target == ln.target {
				borrowed++
			}
		}
		if s.scheduler.InFlight(ln.target) <= s.hostLimit(ln.target)+borrowed-1-s.loans.lentPlaces(ln.target) {
			delete(s.loans.borrowed, id)
			s.loans.returning[id] = ln
		}
	}
}

// updateLoans ends expired loans, starts the return of ended ones and starts to
// borrow places that waiting calls need.
func (s *Service) updateLoans(ctx context.Context, pool pond.Pool) {
	if s.options.Lenders == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.expireLoans(now)
	for _, ln := range s.loans.returning {
		if !s.loans.requesting[ln.target] {
			s.loans.requesting[ln.target] = true
			pool.Submit(func() { s.returnPlace(ctx, ln) })
		}
	}
	for _, id := range s.scheduler.Starved() {
		t, ok := s.snapshot.Target(id)
		if !ok || t.Leaving || s.loans.requesting[id] {
			continue
		}
		s.loans.requesting[id] = true
		lenders := s.candidateLenders(id, t.MaxInFlight)
		pool.Submit(func() { s.borrowFromAny(ctx, id, lenders) })
	}
}

// candidateLenders returns up to maxLendersPerRound hosts with places at a target.
// The number of calls so far selects the first one, so that the requests spread.
func (s *Service) candidateLenders(id model.TargetID, limit int) []model.HostID {
	var hosts []model.HostID
	for _, h := range s.membership.current {
		if h != s.options.Host && placement.HostLimit(s.membership.current, h, id, limit) > 0 {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) > 0 {
		i := int(s.lastCallID) % len(hosts)
		hosts = slices.Concat(hosts[i:], hosts[:i])
	}
	return hosts[:min(len(hosts), maxLendersPerRound)]
}

// borrowFromAny asks the lenders in turn until one lends a place.
func (s *Service) borrowFromAny(ctx context.Context, t model.TargetID, lenders []model.HostID) {
	for _, h := range lenders {
		ln := loan{id: LoanID(uuid.NewString()), target: t, peer: h}
		if s.borrowFrom(ctx, ln) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.loans.requesting, t)
}

func (s *Service) borrowFrom(ctx context.Context, ln loan) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	ok, err := s.options.Lenders.Borrow(ctx, ln.peer, ln.target, ln.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	switch {
	case err != nil: // the host may have lent the place, so it is returned
		s.options.Log.Warn("failed to borrow a place at the target", "target", ln.target, "peer", ln.peer, "error", err)
		s.loans.returning[ln.id] = ln
		return false
	case ok:
		ln.expires = now.Add(loanDuration)
		s.loans.borrowed[ln.id] = ln
		s.updateLimit(now, ln.target)
	}
	return ok
}

func (s *Service) returnPlace(ctx context.Context, ln loan) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	err := s.options.Lenders.Return(ctx, ln.peer, ln.target, ln.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.loans.requesting, ln.target)
	if err != nil {
		s.options.Log.Warn("failed to return a borrowed place", "target", ln.target, "peer", ln.peer, "error", err)
		return
	}
	delete(s.loans.returning, ln.id)
}
