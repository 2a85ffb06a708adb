package programs

import (
	"context"
	"slices"

	"mimosarelay/core/model"
	"mimosarelay/io/disk"
	"mimosarelay/io/peer/peerpb"
)

// Member is a host of an epoch.
type Member struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Zone        model.Zone
	Address     string // peer address
	HasDisk     bool
	Leaving     bool
}

// Topology is the membership of one epoch as seen by one host. The zero value
// stands for the time before the host joined.
type Topology struct {
	Epoch   model.Epoch
	Self    model.HostID
	Members []Member
	// OwnerOf returns the owner of a shard; required unless Epoch is 0.
	OwnerOf func(model.Shard) model.HostID
	// ReplicasOf returns the hosts that may keep copies of a shard, best
	// first; it names all hosts that can stand in for a dead one.
	ReplicasOf func(model.Shard) []model.HostID
}

// Owner returns the owner of a shard, or "" before the host joined.
func (t Topology) Owner(s model.Shard) model.HostID {
	if t.OwnerOf == nil {
		return ""
	}
	return t.OwnerOf(s)
}

// Replicas returns the hosts that may keep copies of a shard, best first.
func (t Topology) Replicas(s model.Shard) []model.HostID {
	if t.ReplicasOf == nil {
		return nil
	}
	return t.ReplicasOf(s)
}

// Member returns one member.
func (t Topology) Member(h model.HostID) (Member, bool) {
	i := slices.IndexFunc(t.Members, func(m Member) bool { return m.Host == h })
	if i < 0 {
		return Member{}, false
	}
	return t.Members[i], true
}

// others lists the members except the host itself.
func (t Topology) otherMembers() []Member {
	return slices.DeleteFunc(slices.Clone(t.Members), func(m Member) bool { return m.Host == t.Self })
}

// lanes groups the replicas of a shard by zone, without the owner's zone, in
// order of preference. One acknowledgement from each of two lanes commits.
func (t Topology) replicasByZone(s model.Shard) [][]Member {
	self, _ := t.Member(t.Self)
	var out [][]Member
	for _, h := range t.Replicas(s) {
		m, ok := t.Member(h)
		if !ok || m.Host == t.Self || m.Zone == self.Zone {
			continue
		}
		i := slices.IndexFunc(out, func(l []Member) bool { return l[0].Zone == m.Zone })
		if i < 0 {
			out = append(out, []Member{m})
			continue
		}
		out[i] = append(out[i], m)
	}
	return out
}

func (t Topology) sender() *peerpb.Sender {
	self, _ := t.Member(t.Self)
	return &peerpb.Sender{
		Host:        string(t.Self),
		Incarnation: string(self.Incarnation),
		Epoch:       uint64(t.Epoch),
	}
}

// Peers reaches other hosts by their peer address.
type Peers interface {
	Replicate(ctx context.Context, address string, r *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error)
	// FetchRecords returns all messages of the stream merged into one. It
	// fails if the stream did not end cleanly.
	FetchRecords(ctx context.Context, address string, r *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error)
	TakeShards(ctx context.Context, address string, r *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error)
}

// Disk keeps copies in the data folder. Implemented by io/disk.
type Disk interface {
	// Enqueue fixes the order of records; the returned function waits until
	// all queued so far are durable. A record replaces the older one of its
	// key; nil data deletes it.
	Enqueue(records []disk.Record) func() error
	// Load calls visit for the newest record of each key.
	Load(visit func(key string, data []byte) error) error
}
