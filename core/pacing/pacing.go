// Package pacing limits the rate of the requests that all hosts together send to a
// target which states how many it takes.
package pacing

import (
	"time"

	"mimosarelay/core/model"
)

// Rate is a number of requests per second.
type Rate float64

// minRate is used for lower rates, so that hosts learn when a target states a higher
// one.
const minRate Rate = 0.1

// interval returns the time between two requests.
func (r Rate) interval() time.Duration {
	return time.Duration(float64(time.Second) / float64(max(r, minRate)))
}

const (
	// burstTime is the time of which the requests may be sent at once.
	burstTime = time.Second
	// maxRetryDelay bounds the time after which a host asks again.
	maxRetryDelay = time.Second
	// idleTime is the time without requests after which a schedule is removed.
	idleTime = time.Minute
)

// Scheduler assigns the times at which requests may be sent to the targets. One
// Scheduler decides for all hosts. It is not safe for concurrent use.
type Scheduler struct {
	schedules map[model.TargetID]*schedule
	sweptAt   time.Time
}

type schedule struct {
	next    time.Time // when the next request may be sent without a burst
	askedAt time.Time
	denied  int // denials without a later grant
}

// NewScheduler returns a Scheduler without targets.
func NewScheduler() *Scheduler { return &Scheduler{schedules: map[model.TargetID]*schedule{}} }

// Decision is Granted or Denied.
type Decision interface{ isDecision() }

// Granted allows one request to be sent after Delay.
type Granted struct {
	Delay time.Duration
	// Expires is when the request must have been sent; zero for no limit.
	Expires time.Time
}

// Denied allows no request. A host may ask again after RetryAfter.
type Denied struct {
	RetryAfter time.Duration
	// Cold says that the target is cold, or may be.
	Cold bool
}

func (Granted) isDecision() {}
func (Denied) isDecision()  {}

// Take decides on one request to a target with the rate that it states. The request
// is denied if it would have to wait for longer than maxDelay.
func (s *Scheduler) Take(now time.Time, id model.TargetID, rate Rate, maxDelay time.Duration) Decision {
	return s.take(now, id, rate, burstTime, maxDelay)
}

// TakeCold is like Take for a cold target, which gets no burst.
func (s *Scheduler) TakeCold(now time.Time, id model.TargetID, rate Rate, maxDelay time.Duration) Decision {
	return s.take(now, id, rate, 0, maxDelay)
}

func (s *Scheduler) take(now time.Time, id model.TargetID, rate Rate, burstTime, maxDelay time.Duration) Decision {
	s.sweep(now)
	interval := rate.interval()
	x := s.schedules[id]
	if x == nil {
		x = &schedule{next: now.Add(interval)} // a previous owner may have granted requests
		s.schedules[id] = x
	}
	x.askedAt = now
	at := x.next
	if earliest := now.Add(-max(0, burstTime-interval)); at.Before(earliest) {
		at = earliest
	}
	delay := max(0, at.Sub(now))
	if delay > maxDelay {
		// Hosts that are denied one after the other come back one after the other.
		retry := delay + time.Duration(x.denied)*interval
		if retry >= maxRetryDelay {
			return Denied{RetryAfter: maxRetryDelay}
		}
		x.denied++
		return Denied{RetryAfter: retry}
	}
	x.denied = max(0, x.denied-1)
	x.next = at.Add(interval)
	return Granted{Delay: delay}
}

func (s *Scheduler) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < idleTime {
		return
	}
	s.sweptAt = now
	for id, x := range s.schedules {
		if now.Sub(x.askedAt) >= idleTime {
			delete(s.schedules, id)
		}
	}
}

// Stated holds the rates that targets state, as one host knows them. It is not safe
// for concurrent use.
type Stated struct{ rates map[model.TargetID]statedRate }

type statedRate struct {
	rate Rate
	at   time.Time // arrival of the last response that stated it
}

// NewStated returns a Stated without rates.
func NewStated() *Stated { return &Stated{rates: map[model.TargetID]statedRate{}} }

// Observe records the rate in a response of a target. stated is false if the response
// had none: the target then takes any number of requests, unless the request was sent
// before the last response that stated a rate arrived.
func (s *Stated) Observe(now time.Time, id model.TargetID, rate Rate, stated bool, sentAt time.Time) {
	if stated {
		s.rates[id] = statedRate{rate: rate, at: now}
		return
	}
	if known, ok := s.rates[id]; ok && sentAt.After(known.at) {
		delete(s.rates, id)
	}
}

// Rate returns the rate that a target states, and whether it states one.
func (s *Stated) Rate(id model.TargetID) (Rate, bool) {
	known, ok := s.rates[id]
	return known.rate, ok
}

// Retain removes the rates of the targets for which known returns false.
func (s *Stated) Retain(known func(model.TargetID) bool) {
	for id := range s.rates {
		if !known(id) {
			delete(s.rates, id)
		}
	}
}

// Turns holds when one host may ask again about the targets that denied it a request.
// It is not safe for concurrent use.
type Turns struct{ turns map[model.TargetID]time.Time }

// NewTurns returns Turns without denials.
func NewTurns() *Turns { return &Turns{turns: map[model.TargetID]time.Time{}} }

// Deny records a denial and returns the time after which the host may ask again.
// Questions of one host that are in progress together are denied one after the other;
// the host asks again after the shortest of their times.
func (t *Turns) Deny(now time.Time, id model.TargetID, retryAfter time.Duration) time.Duration {
	turn := now.Add(retryAfter)
	if known, ok := t.turns[id]; ok && known.After(now) && known.Before(turn) {
		turn = known
	}
	t.turns[id] = turn
	return turn.Sub(now)
}

// Retain removes the turns at the targets for which known returns false.
func (t *Turns) Retain(known func(model.TargetID) bool) {
	for id := range t.turns {
		if !known(id) {
			delete(t.turns, id)
		}
	}
}
