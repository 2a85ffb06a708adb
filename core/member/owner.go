package member

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// Owner returns the owner of a shard: among the members that are not leaving, and
// that are keepers if there are any, the one with the highest rendezvous score. It
// reports false if there is none. A restarted host keeps its shards, because the
// score depends on the host name only.
func (r Record) Owner(s model.Shard) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	keepersOnly := r.hasKeeper()
	for _, m := range r.Members {
		if m.Leaving || keepersOnly && !m.Keeper {
			continue
		}
		score := score(s, m.Host)
		if !found || score > bestScore || (score == bestScore && m.Host < best.Host) {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

// Spread returns up to n members that are not leaving, in distinct zones as far as
// possible, and otherwise in the order of their hosts.
func (r Record) Spread(n int) []Member {
	inZone := map[model.Zone]int{}
	rank := map[model.HostID]int{}
	var list []Member
	for _, m := range r.Members {
		if m.Leaving {
			continue
		}
		rank[m.Host] = inZone[m.Zone]
		inZone[m.Zone]++
		list = append(list, m)
	}
	slices.SortStableFunc(list, func(a, b Member) int { return rank[a.Host] - rank[b.Host] })
	return list[:min(n, len(list))]
}

// hasKeeper reports whether any keeper is not leaving.
func (r Record) hasKeeper() bool {
	for _, m := range r.Members {
		if m.Keeper && !m.Leaving {
			return true
		}
	}
	return false
}

// ReplicaPeers returns up to n members that hold replicas of a shard's records for
// owner. Members in distinct zones other than the owner's come first, then further
// members outside the owner's zone, then members in the owner's zone. Rendezvous
// order breaks ties.
func (r Record) ReplicaPeers(s model.Shard, owner model.HostID, n int) []Member {
	self, _ := r.Member(owner)
	var candidates []Member
	for _, m := range r.Members {
		if m.Host != owner && !m.Leaving {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		x, y := score(s, a.Host), score(s, b.Host)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(string(a.Host), string(b.Host))
	})
	seenZones := map[model.Zone]bool{}
	rank := map[model.HostID]int{}
	for _, m := range candidates {
		switch {
		case m.Zone == self.Zone:
			rank[m.Host] = 2
		case seenZones[m.Zone]:
			rank[m.Host] = 1
		}
		seenZones[m.Zone] = true
	}
	slices.SortStableFunc(candidates, func(a, b Member) int { return rank[a.Host] - rank[b.Host] })
	return candidates[:min(n, len(candidates))]
}

// score returns the rendezvous score of a host for a shard.
func score(s model.Shard, h model.HostID) uint64 {
	key := binary.BigEndian.AppendUint16(nil, uint16(s))
	return xxhash.Sum64(append(key, h...))
}

// ShardOwnership tracks the shards that one host owns and those that it may act
// for. A shard that moved to this host becomes active only when every member has
// entered the epoch, because until then its previous owner may still act.
type ShardOwnership struct {
	self   model.HostID
	epoch  model.Epoch
	owned  [model.ShardCount]bool
	active [model.ShardCount]bool
}

// NewShardOwnership returns a ShardOwnership without active shards.
func NewShardOwnership(self model.HostID) *ShardOwnership { return &ShardOwnership{self: self} }

// Enter moves to the epoch of r. Shards whose owner is now another host are no
// longer active.
func (t *ShardOwnership) Enter(r Record) {
	t.epoch = r.Epoch
	for s := range t.owned {
		m, ok := r.Owner(model.Shard(s))
		t.owned[s] = ok && m.Host == t.self
		t.active[s] = t.active[s] && t.owned[s]
	}
}

// Activate makes all owned shards active if e is the current epoch. It must be
// called only after each member has reported that it entered exactly e.
func (t *ShardOwnership) Activate(e model.Epoch) {
	if e == t.epoch {
		t.active = t.owned
	}
}

// Active reports whether the host may act for a shard, provided that it has the
// right to act.
func (t *ShardOwnership) Active(s model.Shard) bool { return int(s) < len(t.active) && t.active[s] }

// Drop makes all shards inactive.
func (t *ShardOwnership) Drop() { t.active = [model.ShardCount]bool{} }

// Entered returns the lowest epoch that the members of r have reported as entered,
// and whether all reported exactly the epoch of r.
func (r Record) Entered(reported func(Member) model.Epoch) (model.Epoch, bool) {
	lowest, exact := r.Epoch, true
	for _, m := range r.Members {
		e := reported(m)
		lowest = min(lowest, e)
		exact = exact && e == r.Epoch
	}
	return lowest, exact
}
