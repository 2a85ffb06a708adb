package programs

import (
	"context"
	"slices"

	"mimosarelay/core/model"
	"mimosarelay/io/disk"
	"mimosarelay/io/peer/peerpb"
)

// Member is a host that belongs to the membership of an epoch.
type Member struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Zone        model.Zone
	Address     string // peer address
	HasDisk     bool
	Leaving     bool
}

// Topology is the membership of one epoch as seen by one host. Its zero value
// stands for the time before the host joined.
type Topology struct {
	Epoch   model.Epoch
	Self    model.HostID
	Members []Member
	// OwnerOf returns the owner of a shard; required unless Epoch is 0.
	OwnerOf func(model.Shard) model.HostID
	// ReplicasOf returns the hosts that may keep copies of a shard, in order of
	// preference, including all hosts that can replace a dead one.
	ReplicasOf func(model.Shard) []model.HostID
}

// Owner returns the owner of a shard, or "" before the host joined.
func (t Topology) Owner(s model.Shard) model.HostID {
	if t.OwnerOf == nil {
		return ""
	}
	return t.OwnerOf(s)
}

// Replicas returns the hosts that may keep copies of a shard, in order of
// preference.
func (t Topology) Replicas(s model.Shard) []model.HostID {
	if t.ReplicasOf == nil {
		return nil
	}
	return t.ReplicasOf(s)
}

// Member returns the member with the name h, if there is one.
func (t Topology) Member(h model.HostID) (Member, bool) {
	i := slices.IndexFunc(t.Members, func(m Member) bool { return m.Host == h })
	if i < 0 {
		return Member{}, false
	}
	return t.Members[i], true
}

// otherMembers returns all members except this host.
func (t Topology) otherMembers() []Member {
	return slices.DeleteFunc(slices.Clone(t.Members), func(m Member) bool { return m.Host == t.Self })
}

// replicasByZone groups the replicas of a shard by zone, in order of preference
// and without the owner's zone. A commit needs an acknowledgement from one
// replica in each of two zones.
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

// Peers sends requests to other hosts by their peer address.
type Peers interface {
	Replicate(ctx context.Context, address string, r *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error)
	// FetchRecords returns all messages of the stream merged into one. It fails
	// if the stream was cut off.
	FetchRecords(ctx context.Context, address string, r *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error)
	TakeShards(ctx context.Context, address string, r *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error)
}

// Disk keeps copies of records in the data folder. It is implemented by io/disk.
type Disk interface {
	// Enqueue queues records for writing in order. The returned function waits
	// until all records that were queued so far are durable. A record replaces
	// the previous one with its key; a record with nil data deletes it.
	Enqueue(records []disk.Record) func() error
	// Load calls visit with the newest record of each key.
	Load(visit func(key string, data []byte) error) error
}
