package bench

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// recordSeries measures the encoded size of a membership record after a number of
// past changes, and the time of an operation on it.
func recordSeries(past int, run func(testing.TB, member.Record, []byte) func()) series {
	return series{size: "hosts", unit: "B", points: hostPoints, setup: func(tb testing.TB, n int) sample {
		r := newRecord(tb, n, past)
		data, err := r.Encode()
		assert.NilError(tb, err)
		return sample{float64(len(data)), run(tb, r, data)}
	}}
}

func encodeRecord(tb testing.TB, r member.Record, _ []byte) func() {
	return func() {
		_, err := r.Encode()
		assert.NilError(tb, err)
	}
}

func decodeRecord(tb testing.TB, _ member.Record, data []byte) func() {
	return func() {
		_, err := member.Decode(data)
		assert.NilError(tb, err)
	}
}

var (
	recordEncode  = register("RecordEncode", recordSeries(0, encodeRecord))
	recordDecode  = register("RecordDecode", recordSeries(0, decodeRecord))
	recordPast    = register("RecordPast", recordSeries(member.MaxPast, decodeRecord))
	recordChanges = register("RecordChanges", series{
		size: "changes", unit: "B", points: []int{2, 4, 6, 8},
		setup: func(tb testing.TB, n int) sample {
			data, err := newRecord(tb, hosts, n).Encode()
			assert.NilError(tb, err)
			return sample{value: float64(len(data))}
		},
	})
	memberMemory = register("MemberMemory", series{
		size: "hosts", unit: "heap-B", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			data, err := newRecord(tb, n, 0).Encode()
			assert.NilError(tb, err)
			return sample{value: heapOf(func() any {
				r, err := member.Decode(data)
				assert.NilError(tb, err)
				return r
			})}
		},
	})
	ownerLookup = register("OwnerLookup", series{
		size: "hosts", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			r, s := newRecord(tb, n, 0), model.Shard(0)
			return sample{run: func() {
				_, ok := r.Owner(s)
				assert.Assert(tb, ok)
				s = (s + 1) % model.ShardCount
			}}
		},
	})
	replicaLookup = register("ReplicaLookup", series{
		size: "hosts", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			r, s := newRecord(tb, n, 0), model.Shard(0)
			return sample{run: func() {
				assert.Assert(tb, len(r.ReplicaPeers(s, hostName(0), n)) > 0)
				s = (s + 1) % model.ShardCount
			}}
		},
	})
	epochEntry = register("EpochEntry", series{
		size: "hosts", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			r, ownership := newRecord(tb, n, 0), member.NewShardOwnership(hostName(0))
			return sample{run: func() { ownership.Enter(r) }}
		},
	})
)

func BenchmarkRecordEncode(b *testing.B)  { recordEncode.measure(b) }
func BenchmarkRecordDecode(b *testing.B)  { recordDecode.measure(b) }
func BenchmarkRecordPast(b *testing.B)    { recordPast.measure(b) }
func BenchmarkRecordChanges(b *testing.B) { recordChanges.measure(b) }
func BenchmarkMemberMemory(b *testing.B)  { memberMemory.measure(b) }
func BenchmarkOwnerLookup(b *testing.B)   { ownerLookup.measure(b) }
func BenchmarkReplicaLookup(b *testing.B) { replicaLookup.measure(b) }
func BenchmarkEpochEntry(b *testing.B)    { epochEntry.measure(b) }

// BenchmarkShardSpread measures how evenly the shards are divided: the most
// that one host owns and the hosts that own none.
func BenchmarkShardSpread(b *testing.B) {
	for _, n := range hostPoints {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			r := newRecord(b, n, 0)
			owned := map[model.HostID]int{}
			for b.Loop() {
				clear(owned)
				for s := range model.Shard(model.ShardCount) {
					m, ok := r.Owner(s)
					assert.Assert(b, ok)
					owned[m.Host]++
				}
			}
			b.ReportMetric(float64(slices.Max(slices.Collect(maps.Values(owned)))), "most-shards")
			b.ReportMetric(float64(n-len(owned)), "idle-hosts")
		})
	}
}

// BenchmarkHeartbeatMessage measures the encoding and decoding of a heartbeat
// request without the transport.
func BenchmarkHeartbeatMessage(b *testing.B) {
	m := newMember(hosts - 1)
	r := &peerpb.HeartbeatRequest{
		Sender:         &peerpb.Sender{Host: string(m.Host), Incarnation: string(m.Incarnation), Epoch: 100_000},
		ConfigRevision: 100_000,
	}
	var data []byte
	for b.Loop() {
		var err error
		data, err = proto.Marshal(r)
		assert.NilError(b, err)
		assert.NilError(b, proto.Unmarshal(data, &peerpb.HeartbeatRequest{}))
	}
	b.ReportMetric(float64(len(data)), "B")
}

// Guards against a membership record that exceeds the store's limit for values
// at the planned scale, with the largest allowed number of past epochs.
func TestRecordFitsStore(t *testing.T) {
	data, err := newRecord(t, hosts, member.MaxPast).Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= store.MaxValue, "the membership record has %d bytes", len(data))
}
