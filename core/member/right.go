package member

import (
	"slices"
	"time"

	"mimosarelay/core/model"
)

// Times are the durations that the right to act depends on.
type Times struct {
	// LeaseTTL is the TTL of a host's lease in the store.
	LeaseTTL time.Duration
	// ConfirmationTTL is how long the confirmation of a peer counts, from when the
	// heartbeat was sent that the peer answered.
	ConfirmationTTL time.Duration
	// Margin allows for clock drift between two machines.
	Margin time.Duration
	// AwayLimit ends the right to act by confirmations in an epoch of at most
	// SmallEpoch members, counted from when the last successful renewal of the lease
	// was sent. 0 means no limit, and that lost members of such an epoch can be
	// removed only with proof that their processes have ended.
	AwayLimit time.Duration
}

// Right tracks whether one host has the right to act. A member has this right while
// its lease in the store is valid. Without a lease, it has the right while the
// members that confirm in answers to its heartbeats that they cannot reach the store
// are a majority; the host counts as one of them if it cannot reach the store
// itself. In a small epoch, this ends at Times.AwayLimit after its last renewal.
// Right is not safe for concurrent use.
type Right struct {
	times  Times
	self   Member
	record Record
	// renewedAt is when the last successful lease renewal was sent. It is zero
	// without a lease.
	renewedAt time.Time
	// lastRenewedAt is renewedAt, but is kept when the lease is lost.
	lastRenewedAt time.Time
	storeAway     bool
	// confirmed holds, for each member whose last answer had this epoch and
	// StoreAway, when the heartbeat was sent.
	confirmed map[model.Incarnation]time.Time
	// lastAwayAnswer is when this process last answered a heartbeat with StoreAway.
	lastAwayAnswer time.Time
	// startedAt is when this process started. The previous process of this host
	// may have answered a heartbeat with StoreAway just before.
	startedAt time.Time
	// joinEpoch is the epoch in which this process first joined, 0 before that.
	joinEpoch model.Epoch
	// possibleHolders are the members that may act on an answer of the previous
	// process.
	possibleHolders []Member
	// unknownHolder is set if a process that is no longer a member may also act on
	// such an answer.
	unknownHolder bool
}

// NewRight returns the Right of a process that started at start and has not joined.
func NewRight(t Times, self Member, start time.Time) *Right {
	return &Right{times: t, self: self, startedAt: start, confirmed: map[model.Incarnation]time.Time{}}
}

// Joined records that this process joined in epoch e, where before is the record
// that the join replaced. Only the first call has an effect.
func (r *Right) Joined(before Record, e model.Epoch) {
	if r.joinEpoch > 0 {
		return
	}
	r.joinEpoch = e
	replaced := before.ReplacedBy(r.self)
	known := map[model.Incarnation]bool{}
	for _, m := range before.Members {
		known[m.Incarnation] = true
		if !slices.Contains(replaced, m) {
			r.possibleHolders = append(r.possibleHolders, m)
		}
	}
	for _, p := range before.Past {
		for _, in := range p.Alive {
			r.unknownHolder = r.unknownHolder || !known[in]
		}
	}
}

// Enter sets the current membership record. If its epoch is new, all confirmations
// are discarded.
func (r *Right) Enter(record Record) {
	if record.Epoch != r.record.Epoch {
		clear(r.confirmed)
	}
	r.record = record
}

// ResetIncarnation starts over as a new incarnation of the host, self, that has no
// lease and is not a member yet. The confirmations that this host gave before still
// delay its entry report.
func (r *Right) ResetIncarnation(self Member) {
	r.self = self
	r.record = Record{}
	r.LeaseLost()
	r.lastRenewedAt = time.Time{}
	clear(r.confirmed)
}

// Renewed records a successful renewal of the lease, whose request was sent at
// sent.
func (r *Right) Renewed(sent time.Time) {
	if sent.After(r.renewedAt) {
		r.renewedAt = sent
	}
	if sent.After(r.lastRenewedAt) {
		r.lastRenewedAt = sent
	}
}

// LeaseLost records that the host has no lease any more.
func (r *Right) LeaseLost() { r.renewedAt = time.Time{} }

// SetStoreAway records whether this host cannot reach the store.
func (r *Right) SetStoreAway(away bool) { r.storeAway = away }

// StoreAway reports whether this host cannot reach the store.
func (r *Right) StoreAway() bool { return r.storeAway }

// AnswerHeartbeat returns the answer to a peer's heartbeat at now: the epoch of this
// host and whether it cannot reach the store. An answer that it cannot is a
// confirmation, which delays the next entry report.
func (r *Right) AnswerHeartbeat(now time.Time) (e model.Epoch, away bool) {
	if r.storeAway {
		r.lastAwayAnswer = now
	}
	return r.record.Epoch, r.storeAway
}

// Confirm records the answer of a member to a heartbeat that was sent at sent.
func (r *Right) Confirm(from model.Incarnation, e model.Epoch, away bool, sent time.Time) {
	if e != r.record.Epoch || !away {
		delete(r.confirmed, from)
		return
	}
	if sent.After(r.confirmed[from]) {
		r.confirmed[from] = sent
	}
}

// EarliestEntryReport returns the earliest time at which an entry report may be
// written: when every confirmation that this host gave in an earlier epoch has
// expired. It is zero if there are none. Confirmations of its previous process need
// not expire if all processes that may act on them were replaced or have entered the
// epoch in which this process joined; entered returns the epoch that a member has
// entered.
func (r *Right) EarliestEntryReport(entered func(Member) model.Epoch) time.Time {
	last := r.lastAwayAnswer
	if r.startedAt.After(last) && r.previousConfirmationMayBeHeld(entered) {
		last = r.startedAt
	}
	if last.IsZero() {
		return last
	}
	return last.Add(r.times.ConfirmationTTL + r.times.Margin)
}

// previousConfirmationMayBeHeld reports whether a process may still act on a
// confirmation that the previous process of this host gave.
func (r *Right) previousConfirmationMayBeHeld(entered func(Member) model.Epoch) bool {
	if r.joinEpoch == 0 || r.unknownHolder || r.record.Epoch < r.joinEpoch {
		return true
	}
	return slices.ContainsFunc(r.possibleHolders, func(h Member) bool {
		i := slices.IndexFunc(r.record.Members, func(m Member) bool { return m.PeerAddress == h.PeerAddress })
		if i < 0 {
			return true // removed without proof that its process is gone
		}
		m := r.record.Members[i]
		return m.Incarnation == h.Incarnation && entered(m) < r.joinEpoch
	})
}

// MayAct reports whether the host has the right to act at now.
func (r *Right) MayAct(now time.Time) bool {
	if !r.record.Has(r.self.Host, r.self.Incarnation) {
		return false
	}
	if !r.renewedAt.IsZero() && now.Sub(r.renewedAt) < r.times.LeaseTTL-r.times.Margin {
		return true
	}
	if limit := r.times.AwayLimit; limit > 0 && r.record.isSmall() && now.Sub(r.lastRenewedAt) >= limit-r.times.Margin {
		return false
	}
	n := 0
	for _, m := range r.record.Members {
		sent, ok := r.confirmed[m.Incarnation]
		self := m.Incarnation == r.self.Incarnation
		if (self && r.storeAway) || (!self && ok && now.Sub(sent) < r.times.ConfirmationTTL) {
			n++
		}
	}
	return n > len(r.record.Members)/2
}
