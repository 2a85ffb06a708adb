package member

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// Owner returns the owner of a shard: the member that is not leaving with the
// highest rendezvous score. It reports false if there is none. A restarted
// host keeps its shards, because the score depends on the host name only.
func (r Record) Owner(s model.Shard) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	keepers := r.hasKeeper()
	for _, m := range r.Members {
		if m.Leaving || keepers && !m.Keeper {
			continue
		}
		score := score(s, m.Host)
		if !found || score > bestScore || (score == bestScore && m.Host < best.Host) {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

func (r Record) hasKeeper() bool {
	for _, m := range r.Members {
		if m.Keeper && !m.Leaving {
			return true
		}
	}
	return false
}

// ReplicaPeers returns up to n members that keep copies of the records of a
// shard for owner. Members in zones of their own come first, then other members
// outside the owner's zone, then the rest; rendezvous order breaks ties.
func (r Record) ReplicaPeers(s model.Shard, owner model.HostID, n int) []Member {
	self, _ := r.Member(owner)
	var rest []Member
	for _, m := range r.Members {
		if m.Host != owner && !m.Leaving {
			rest = append(rest, m)
		}
	}
	slices.SortFunc(rest, func(a, b Member) int {
		x, y := score(s, a.Host), score(s, b.Host)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(string(a.Host), string(b.Host))
	})
	seen := map[model.Zone]bool{}
	rank := map[model.HostID]int{}
	for _, m := range rest {
		switch {
		case m.Zone == self.Zone:
			rank[m.Host] = 2
		case seen[m.Zone]:
			rank[m.Host] = 1
		}
		seen[m.Zone] = true
	}
	slices.SortStableFunc(rest, func(a, b Member) int { return rank[a.Host] - rank[b.Host] })
	return rest[:min(n, len(rest))]
}

func score(s model.Shard, h model.HostID) uint64 {
	key := binary.BigEndian.AppendUint16(nil, uint16(s))
	return xxhash.Sum64(append(key, h...))
}

// ShardOwnership tracks the shards that one host may act for. A shard that moved to
// this host is granted only when every member of the epoch has entered it,
// because until then its previous owner may still act.
type ShardOwnership struct {
	self  model.HostID
	epoch model.Epoch
	owned [model.ShardCount]bool
	acts  [model.ShardCount]bool
}

// NewShardOwnership returns the shard ownership of a host that acts for no shard.
func NewShardOwnership(self model.HostID) *ShardOwnership { return &ShardOwnership{self: self} }

// Enter moves to the epoch of r and gives up the shards that moved away.
func (t *ShardOwnership) Enter(r Record) {
	t.epoch = r.Epoch
	for s := range t.owned {
		m, ok := r.Owner(model.Shard(s))
		t.owned[s] = ok && m.Host == t.self
		t.acts[s] = t.acts[s] && t.owned[s]
	}
}

// Activate grants all owned shards, once each member has reported that it entered
// exactly this epoch.
func (t *ShardOwnership) Activate(e model.Epoch) {
	if e == t.epoch {
		t.acts = t.owned
	}
}

// Active tells whether the host may act for a shard.
func (t *ShardOwnership) Active(s model.Shard) bool { return int(s) < len(t.acts) && t.acts[s] }

// Drop gives up all shards.
func (t *ShardOwnership) Drop() { t.acts = [model.ShardCount]bool{} }

// Entered returns the lowest epoch that the members of r have reported, and
// whether all reported exactly the epoch of r.
func (r Record) Entered(reported func(Member) model.Epoch) (model.Epoch, bool) {
	lowest, exact := r.Epoch, true
	for _, m := range r.Members {
		e := reported(m)
		lowest = min(lowest, e)
		exact = exact && e == r.Epoch
	}
	return lowest, exact
}
