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

// Lenders reaches the Lend and TakeBack of other hosts.
type Lenders interface {
	// Borrow asks a host for one place at a target. After an error the host
	// may or may not have lent it.
	Borrow(ctx context.Context, lender model.HostID, target model.TargetID, id LoanID) (bool, error)
	// Return gives a place back. It may be repeated, and sent for a loan that
	// was not made.
	Return(ctx context.Context, lender model.HostID, target model.TargetID, id LoanID) error
}

// LoanID identifies a loan, fleet-wide.
type LoanID string

const (
	// loanTime is how long a borrower starts calls in a borrowed place. Its
	// calls may take longer.
	loanTime = 2 * time.Second
	// reserveTime is how long a lender keeps its next free place for a host
	// that asked in vain. It exceeds the time between two requests.
	reserveTime = 500 * time.Millisecond
	// returnedTime is how long a lender remembers a returned loan, so that a
	// late request does not make it again. It exceeds the time of a request.
	returnedTime = time.Minute
	// maxLoan ends a loan whose borrower restarted without giving it back. It
	// exceeds the duration of a call.
	maxLoan = 15 * time.Minute
	// maxLenders bounds the hosts that are asked in one round.
	maxLenders = 3
)

// loan is a place lent or borrowed.
type loan struct {
	id     LoanID
	target model.TargetID
	host   model.HostID // the other side
	ends   time.Time    // borrowed: last start of a call; lent: end without return
}

// loans is the state of both sides. Service.mu guards it.
type loans struct {
	lent      map[LoanID]loan
	returned  map[LoanID]time.Time
	reserved  map[model.TargetID]loan // for the host that asked first, until ends
	ownTurn   map[model.TargetID]bool // own calls waited for the returned place
	borrowed  map[LoanID]loan
	returning map[LoanID]loan // until the lender confirms
	asking    map[model.TargetID]bool
}

func newLoans() loans {
	return loans{
		lent: map[LoanID]loan{}, returned: map[LoanID]time.Time{}, reserved: map[model.TargetID]loan{},
		ownTurn: map[model.TargetID]bool{}, borrowed: map[LoanID]loan{}, returning: map[LoanID]loan{},
		asking: map[model.TargetID]bool{},
	}
}

func (l *loans) counts() (lent, borrowed int) { return len(l.lent), len(l.borrowed) }

// change is the number of places by which loans change a host's part.
func (l *loans) change(t model.TargetID, now time.Time) int {
	n := 0
	for _, x := range l.borrowed {
		if x.target == t && now.Before(x.ends) {
			n++
		}
	}
	if x, ok := l.reserved[t]; ok && now.Before(x.ends) {
		n--
	}
	return n - l.lentAt(t)
}

func (l *loans) lentAt(t model.TargetID) int {
	n := 0
	for _, x := range l.lent {
		if x.target == t {
			n++
		}
	}
	return n
}

// forgetHosts ends the loans to hosts that left the membership.
func (l *loans) forgetHosts(known func(model.HostID) bool) {
	for id, x := range l.lent {
		if !known(x.host) {
			delete(l.lent, id)
		}
	}
	for id, x := range l.returning {
		if !known(x.host) {
			delete(l.returning, id)
		}
	}
}

// part returns this host's part of a target that is in use, without loans.
func (s *Service) part(id model.TargetID) int {
	for _, t := range s.targets {
		if t.ID == id {
			return t.Limit
		}
	}
	return 0
}

func (s *Service) applyLoans(now time.Time, id model.TargetID) {
	if t, ok := s.snapshot.Target(id); ok {
		s.deliver(now, s.scheduler.SetLimit(now, id, s.limit(t, s.part(id), now)))
	}
}

// Lend answers a request of another host for one place. A request that fails
// reserves the next free place for a short time, so that the calls of this host
// do not take it forever.
func (s *Service) Lend(borrower model.HostID, target model.TargetID, id LoanID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.refresh(now)
	if _, again := s.loans.lent[id]; again {
		return true
	}
	if _, late := s.loans.returned[id]; late || !s.views.known(borrower) || s.part(target) == 0 {
		return false
	}
	r, reserved := s.loans.reserved[target]
	if reserved && now.Before(r.ends) && r.host != borrower || s.loans.ownTurn[target] && s.scheduler.Awaited(target) {
		return false
	}
	if s.scheduler.InFlight(target)+s.loans.lentAt(target) >= s.part(target) {
		s.loans.reserved[target] = loan{target: target, host: borrower, ends: now.Add(reserveTime)}
		s.applyLoans(now, target)
		return false
	}
	delete(s.loans.reserved, target)
	s.loans.lent[id] = loan{id: id, target: target, host: borrower, ends: now.Add(maxLoan)}
	s.applyLoans(now, target)
	return true
}

// TakeBack ends a loan.
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
	s.loans.ownTurn[target] = s.scheduler.Awaited(target)
	s.applyLoans(now, target)
}

// endLoans gives up expired loans and reservations. The caller holds mu.
func (s *Service) endLoans(now time.Time) {
	for id, at := range s.loans.returned {
		if now.Sub(at) >= returnedTime {
			delete(s.loans.returned, id)
		}
	}
	for id, x := range s.loans.lent {
		if !now.Before(x.ends) {
			delete(s.loans.lent, id)
			s.applyLoans(now, x.target)
		}
	}
	for t, x := range s.loans.reserved {
		if !now.Before(x.ends) {
			delete(s.loans.reserved, t)
			s.applyLoans(now, t)
		}
	}
	for id, x := range s.loans.borrowed {
		if now.Before(x.ends) {
			continue
		}
		s.applyLoans(now, x.target)
		rest := 0
		for _, y := range s.loans.borrowed {
			if y.target == x.target {
				rest++
			}
		}
		if s.scheduler.InFlight(x.target) <= s.part(x.target)+rest-1-s.loans.lentAt(x.target) {
			delete(s.loans.borrowed, id)
			s.loans.returning[id] = x
		}
	}
}

// borrow returns ended loans and asks for places that waiting calls need.
func (s *Service) borrow(ctx context.Context, pool pond.Pool) {
	if s.options.Lenders == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.endLoans(now)
	for _, x := range s.loans.returning {
		if !s.loans.asking[x.target] {
			s.loans.asking[x.target] = true
			pool.Submit(func() { s.giveBack(ctx, x) })
		}
	}
	for _, id := range s.scheduler.Starved() {
		t, ok := s.snapshot.Target(id)
		if !ok || t.Leaving || s.loans.asking[id] {
			continue
		}
		s.loans.asking[id] = true
		lenders := s.lenders(id, t.MaxInFlight)
		pool.Submit(func() { s.ask(ctx, id, lenders) })
	}
}

// lenders returns hosts with a part of a target, beginning at a random one.
func (s *Service) lenders(id model.TargetID, limit int) []model.HostID {
	var list []model.HostID
	for _, h := range s.views.current {
		if h != s.options.Host && placement.HostLimit(s.views.current, h, id, limit) > 0 {
			list = append(list, h)
		}
	}
	if len(list) > 0 {
		i := int(s.next) % len(list)
		list = slices.Concat(list[i:], list[:i])
	}
	return list[:min(len(list), maxLenders)]
}

func (s *Service) ask(ctx context.Context, t model.TargetID, lenders []model.HostID) {
	for _, h := range lenders {
		x := loan{id: LoanID(uuid.NewString()), target: t, host: h}
		if s.askOne(ctx, x) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.loans.asking, t)
}

func (s *Service) askOne(ctx context.Context, x loan) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	ok, err := s.options.Lenders.Borrow(ctx, x.host, x.target, x.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	switch {
	case err != nil: // lent or not: it is returned
		s.options.Log.Warn("place not borrowed", "target", x.target, "host", x.host, "error", err)
		s.loans.returning[x.id] = x
		return false
	case ok:
		x.ends = now.Add(loanTime)
		s.loans.borrowed[x.id] = x
		s.applyLoans(now, x.target)
	}
	return ok
}

func (s *Service) giveBack(ctx context.Context, x loan) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	err := s.options.Lenders.Return(ctx, x.host, x.target, x.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.loans.asking, x.target)
	if err != nil {
		s.options.Log.Warn("borrowed place not returned yet", "target", x.target, "host", x.host, "error", err)
		return
	}
	delete(s.loans.returning, x.id)
}
