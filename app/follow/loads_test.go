package follow_test

import (
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"mimosarelay/app/follow"
	"mimosarelay/core/loadboard"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// fakeLoads is an entry host that heard something once.
type fakeLoads struct {
	mu     sync.Mutex
	heard  []loadboard.Report
	shared map[loadboard.Key]loadboard.Report
}

func (f *fakeLoads) HeardLoads() []loadboard.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.heard
	f.heard = nil
	return list
}

func (f *fakeLoads) SetSharedLoads(list []loadboard.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range list {
		f.shared[r.Key] = r
	}
}

func (f *fakeLoads) get(id model.TargetID) loadboard.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shared[loadboard.KeyOf(id)]
}

// Guards against hosts that don't learn what others heard, against ages that restart at a
// keeper, and against measurements that are added up twice because all keepers get them.
func TestLoadsAreShared(t *testing.T) {
	tf := newTestFleet(t, 3)
	at := time.Now().Add(-2 * time.Second)
	a := &fakeLoads{shared: map[loadboard.Key]loadboard.Report{}, heard: []loadboard.Report{{
		Key:  loadboard.KeyOf("t"),
		Load: loadboard.Load{At: at, Running: 5, Waiting: 2, Slots: 12, Slowness: 2.5}, Speed: loadboard.Speed{Samples: 3, LogSum: -1.25},
	}}}
	b := &fakeLoads{shared: map[loadboard.Key]loadboard.Report{}}
	for name, f := range map[string]*fakeLoads{"a": a, "b": b} {
		tf.startClientWith(name, nil, func(o *follow.Options) { o.Loads = f })
	}
	for _, f := range []*fakeLoads{a, b} {
		tf.waitFor("the host learns the load", func() bool { return f.get("t").Load.Running == 5 })
		r := f.get("t")
		assert.Assert(t, !r.Load.At.After(at.Add(time.Second)), "the age restarted")
		r.Load.At = time.Time{}
		assert.DeepEqual(t, r, loadboard.Report{
			Key: loadboard.KeyOf("t"), Load: loadboard.Load{Running: 5, Waiting: 2, Slots: 12, Slowness: 2.5}, Speed: loadboard.Speed{Samples: 3, LogSum: -1.25},
		})
	}
}

// Guards against a keeper that fails, or believes a part, when lists differ in length, and
// against responses to hosts of an earlier version that change.
func TestLoadsAreOptionalAndChecked(t *testing.T) {
	tf := newTestFleet(t, 1)
	self := &peerpb.EntryHost{Host: "a", PeerAddress: "a"}
	res, err := tf.keepers["keeper-0"].HandleFollow(t.Context(), &peerpb.FollowRequest{Self: self})
	assert.NilError(t, err)
	assert.Assert(t, res.GetLoads() == nil && res.GetLoadsVersion() == 0)
	res, err = tf.keepers["keeper-0"].HandleFollow(t.Context(), &peerpb.FollowRequest{
		Self: self, WantsLoads: true, Loads: &peerpb.TargetReports{Keys: []uint32{1, 2}, Ages: []uint32{1}},
	})
	assert.NilError(t, err)
	assert.Equal(t, len(res.GetLoads().GetKeys()), 0)
}

// fullReports returns what the second deployment has: 48 engines and 26 services.
func fullReports(now time.Time) []loadboard.Report {
	var list []loadboard.Report
	for i := range 74 {
		list = append(list, loadboard.Report{
			Key: loadboard.Key(0x9e3779b9 * uint32(i+1)), Load: loadboard.Load{At: now.Add(-700 * time.Millisecond), Running: 12, Waiting: 3, Slots: 16, Slowness: 2.5},
			Speed: loadboard.Speed{Samples: 200, LogSum: 80},
		})
	}
	return list
}

// Guards against responses that grow beyond what small hosts can decode.
func TestLoadsAreCompact(t *testing.T) {
	now := time.Now()
	size := proto.Size(&peerpb.FollowResponse{Loads: follow.EncodeReports(now, fullReports(now)), LoadsVersion: 1 << 50})
	t.Logf("%d bytes a response; %d bytes/s for 64 hosts, %d for 300", size, 2*64*size, 2*300*size)
	assert.Assert(t, size <= 1500)
}

func BenchmarkSharedLoads(b *testing.B) {
	now := time.Now()
	list := fullReports(now)
	b.Run("encode", func(b *testing.B) {
		board := loadboard.New(now)
		board.Update(now, list)
		for b.Loop() {
			changed, _ := board.Since(now, 0)
			_, _ = proto.Marshal(follow.EncodeReports(now, changed))
		}
	})
	data, _ := proto.Marshal(follow.EncodeReports(now, list))
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			m := &peerpb.TargetReports{}
			_ = proto.Unmarshal(data, m)
			follow.DecodeReports(now, m)
		}
	})
}
