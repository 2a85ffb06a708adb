// Package evidence holds how old the knowledge of a host about the store is.
//
// Evidence has a single age: from the moment at which the store was asked to the
// decision. Hosts that relay evidence add the time that it spent with them, and none
// of them restarts the age.
package evidence

import "time"

// Clock measures the age of evidence. On real machines it is io/boottime.Clock,
// because a clock that stops while the machine is suspended makes evidence look
// younger than it is.
type Clock interface {
	Now() time.Time
}

// MaxAge is the highest age at which a decision accepts evidence.
type MaxAge time.Duration

// Unknown is the age of the zero Stamp.
const Unknown time.Duration = -1

// Stamp is the moment as of which evidence was true, with the clock that measured
// it. The zero Stamp says that there is no evidence, and no decision accepts it.
type Stamp struct {
	clock Clock
	asOf  time.Time
}

// Now returns the Stamp of a request to the store that is about to be sent.
func Now(c Clock) Stamp { return Stamp{clock: c, asOf: c.Now()} }

// Before returns the Stamp of evidence that was age old at s. A negative age is that
// of evidence younger than s; the result is never later than the present, because a
// sender that states a wrong age must not make evidence last longer.
func (s Stamp) Before(age time.Duration) Stamp {
	if s.clock == nil {
		return s
	}
	s.asOf = s.asOf.Add(-age)
	if now := s.clock.Now(); s.asOf.After(now) {
		s.asOf = now
	}
	return s
}

// Known reports whether there is evidence.
func (s Stamp) Known() bool { return s.clock != nil }

// Age returns the present age of the evidence, or Unknown.
func (s Stamp) Age() time.Duration {
	if s.clock == nil {
		return Unknown
	}
	return s.clock.Now().Sub(s.asOf)
}

// AgeAt returns the age of the evidence at another moment. It is negative if the
// evidence is younger. Both must be known and of the same clock.
func (s Stamp) AgeAt(at Stamp) time.Duration { return at.asOf.Sub(s.asOf) }

// Within reports whether the evidence is known and no older than m.
func (s Stamp) Within(m MaxAge) bool { return s.clock != nil && s.Age() <= time.Duration(m) }

// Left returns the time after which the evidence is older than m. It is 0 if the
// evidence is older already or unknown.
func (s Stamp) Left(m MaxAge) time.Duration {
	if s.clock == nil {
		return 0
	}
	return max(0, time.Duration(m)-s.Age())
}

// Newer returns the younger one of two Stamps of the same clock.
func Newer(a, b Stamp) Stamp {
	if a.clock == nil || b.clock != nil && b.asOf.After(a.asOf) {
		return b
	}
	return a
}
