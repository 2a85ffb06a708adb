package member

import (
	"slices"
	"time"

	"mimosarelay/core/model"
)

// Times are the durations that the right to act depends on.
type Times struct {
	// LeaseTTL is the lease of a host in the store.
	LeaseTTL time.Duration
	// ConfirmationTTL is how long a quorum confirmation counts, from sending the
	// heartbeat that asked for it.
	ConfirmationTTL time.Duration
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
	// lastAway is when this process last answered StoreAway.
	lastAway time.Time
	// started is when this process started. The previous process of this host
	// may have answered StoreAway just before.
	started time.Time
	// joined is the epoch in which this process joined first; 0 before.
	joined model.Epoch
	// holders may act on an answer of the previous process.
	holders []Member
	// lost says that such a process may exist that is no member any more.
	lost bool
}

// NewRight returns the state of a process that started at start.
func NewRight(t Times, self Member, start time.Time) *Right {
	return &Right{times: t, self: self, started: start, confirmed: map[model.Incarnation]time.Time{}}
}

// Joined notes that this process joined the record before in the given epoch.
// Only the first call counts.
func (r *Right) Joined(before Record, e model.Epoch) {
	if r.joined > 0 {
		return
	}
	r.joined = e
	replaced := before.ReplacedBy(r.self)
	known := map[model.Incarnation]bool{}
	for _, m := range before.Members {
		known[m.Incarnation] = true
		if !slices.Contains(replaced, m) {
			r.holders = append(r.holders, m)
		}
	}
	for _, p := range before.Past {
		for _, in := range p.Alive {
			r.lost = r.lost || !known[in]
		}
	}
}

// Enter moves to a record. Confirmations of other epochs end.
func (r *Right) Enter(record Record) {
	if record.Epoch != r.record.Epoch {
		clear(r.confirmed)
	}
	r.record = record
}

// ResetIncarnation continues as a new process of the host without a lease.
func (r *Right) ResetIncarnation(self Member) {
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

// SetStoreAway notes whether this host cannot reach the store.
func (r *Right) SetStoreAway(away bool) { r.away = away }

// StoreAway tells whether this host cannot reach the store.
func (r *Right) StoreAway() bool { return r.away }

// AnswerHeartbeat returns what this host tells a peer at now, and notes an answer of
// StoreAway, which delays the next entry report.
func (r *Right) AnswerHeartbeat(now time.Time) (e model.Epoch, away bool) {
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

// EarliestEntryReport returns the earliest time at which an entry report may be written:
// every confirmation that this host gave in an earlier epoch has expired. Those
// of its previous process end sooner if all processes that may act on them have
// entered the epoch in which this one joined, as entered tells, or were replaced.
func (r *Right) EarliestEntryReport(entered func(Member) model.Epoch) time.Time {
	last := r.lastAway
	if r.started.After(last) && r.mayBeHeld(entered) {
		last = r.started
	}
	if last.IsZero() {
		return last
	}
	return last.Add(r.times.ConfirmationTTL + r.times.Margin)
}

// mayBeHeld tells whether a process may act on a confirmation that the previous
// process of this host gave.
func (r *Right) mayBeHeld(entered func(Member) model.Epoch) bool {
	if r.joined == 0 || r.lost || r.record.Epoch < r.joined {
		return true
	}
	return slices.ContainsFunc(r.holders, func(h Member) bool {
		i := slices.IndexFunc(r.record.Members, func(m Member) bool { return m.PeerAddress == h.PeerAddress })
		if i < 0 {
			return true // removed without a proof that its process is gone
		}
		m := r.record.Members[i]
		return m.Incarnation == h.Incarnation && entered(m) < r.joined
	})
}

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
		if (self && r.away) || (!self && ok && now.Sub(sent) < r.times.ConfirmationTTL) {
			n++
		}
	}
	return n > len(r.record.Members)/2
}
