package member

import (
	"time"

	"mimosarelay/core/model"
)

// Times are the durations that the right to act depends on.
type Times struct {
	// LeaseTTL is the lease of a host in the store.
	LeaseTTL time.Duration
	// WordTTL is how long a quorum confirmation counts, from sending the
	// heartbeat that asked for it.
	WordTTL time.Duration
	// Margin covers the drift between the clocks of two machines.
	Margin time.Duration
}

// Right is the state of one host's right to act. It is not safe for concurrent
// use.
type Right struct {
	times  Times
	self   Member
	record Record
	// renewed is when the last successful renewal was sent; zero: no lease.
	renewed time.Time
	away    bool
	// confirmed holds when the heartbeat was sent that a member answered with
	// this epoch and StoreAway.
	confirmed map[model.Incarnation]time.Time
	// lastAway is when this host last answered StoreAway.
	lastAway time.Time
}

// NewRight returns the state of a process that started at start. The start
// counts as an answer of StoreAway, because the previous process of this host
// may have given one just before.
func NewRight(t Times, self Member, start time.Time) *Right {
	return &Right{times: t, self: self, lastAway: start, confirmed: map[model.Incarnation]time.Time{}}
}

// Enter moves to a record. Confirmations of other epochs end.
func (r *Right) Enter(record Record) {
	if record.Epoch != r.record.Epoch {
		clear(r.confirmed)
	}
	r.record = record
}

// Rename continues as a new process of the host without a lease.
func (r *Right) Rename(self Member) {
	r.self = self
	r.record = Record{}
	r.LeaseLost()
	clear(r.confirmed)
}

// Renewed notes a successful renewal that was sent at sent.
func (r *Right) Renewed(sent time.Time) {
	if sent.After(r.renewed) {
		r.renewed = sent
	}
}

// LeaseLost ends the right that comes from the lease.
func (r *Right) LeaseLost() { r.renewed = time.Time{} }

// SetAway notes whether this host cannot reach the store.
func (r *Right) SetAway(away bool) { r.away = away }

// Away tells whether this host cannot reach the store.
func (r *Right) Away() bool { return r.away }

// Answer returns what this host tells a peer at now, and notes an answer of
// StoreAway, which delays the next entry report.
func (r *Right) Answer(now time.Time) (e model.Epoch, away bool) {
	if r.away {
		r.lastAway = now
	}
	return r.record.Epoch, r.away
}

// Confirm notes the answer of a member to a heartbeat sent at sent.
func (r *Right) Confirm(from model.Incarnation, e model.Epoch, away bool, sent time.Time) {
	if e != r.record.Epoch || !away {
		delete(r.confirmed, from)
		return
	}
	if sent.After(r.confirmed[from]) {
		r.confirmed[from] = sent
	}
}

// EntryAt returns the earliest time at which an entry report may be written:
// every confirmation that this host gave in an earlier epoch has expired.
func (r *Right) EntryAt() time.Time { return r.lastAway.Add(r.times.WordTTL + r.times.Margin) }

// MayAct tells whether the host may act at now.
func (r *Right) MayAct(now time.Time) bool {
	if !r.record.Has(r.self.Host, r.self.Incarnation) {
		return false
	}
	if !r.renewed.IsZero() && now.Sub(r.renewed) < r.times.LeaseTTL-r.times.Margin {
		return true
	}
	n := 0
	for _, m := range r.record.Members {
		sent, ok := r.confirmed[m.Incarnation]
		self := m.Incarnation == r.self.Incarnation
		if (self && r.away) || (!self && ok && now.Sub(sent) < r.times.WordTTL) {
			n++
		}
	}
	return n > len(r.record.Members)/2
}
