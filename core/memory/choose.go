package memory

import "time"

// choose returns the holder that is evicted next for a reservation of another
// holder, or nil if there is none. The load that this addresses is many callers that
// hold much and send or take nothing.
//
// Complete requests are never evicted. Of the others, those come first that have
// made no progress for stallTime, and of these the ones from sources above their
// share. A complete request may also take the memory of a caller that still sends.
func (a *Account) choose(h *Holder, now time.Time) *Holder {
	var best *Holder
	var bestRank rank
	share := a.share()
	for c := range a.holders {
		if c.lost || c.phase == Running || c.total == 0 {
			continue
		}
		stalled := c.stalled(now)
		r := rank{stalled: stalled >= stallTime, overShare: a.sources[c.source] > share, weight: float64(c.total) * (stalled + time.Millisecond).Seconds()}
		if !r.stalled && (h.phase != Running || c.phase != Receiving || c == h) {
			continue
		}
		if best == nil || bestRank.less(r) {
			best, bestRank = c, r
		}
	}
	return best
}

// share returns the part of the account that one source may hold without being
// preferred for eviction. A single source, such as a network behind one address, may
// hold all.
func (a *Account) share() Bytes {
	return a.capacity / Bytes(max(1, len(a.sources)))
}

// rank orders candidates for eviction.
type rank struct {
	stalled   bool
	overShare bool
	// weight is the product of the bytes held and the time without progress.
	weight float64
}

func (r rank) less(o rank) bool {
	if r.stalled != o.stalled {
		return o.stalled
	}
	if r.overShare != o.overShare {
		return o.overShare
	}
	return r.weight < o.weight
}
