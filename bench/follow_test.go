package bench

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"mimosarelay/app/follow"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/presence"
	"mimosarelay/io/peer/peerpb"
)

// idleFleet is a keeper's view of a membership that does not change.
type idleFleet struct{ record member.Record }

func (idleFleet) MayAct() bool          { return true }
func (idleFleet) StoreAway() bool       { return false }
func (f idleFleet) View() member.Record { return f.record }

// Admit implements follow.Limiter.
func (idleFleet) Admit(context.Context, model.WorkspaceID) error { return nil }

func followRequest(i int) *peerpb.FollowRequest {
	return &peerpb.FollowRequest{
		KnownEpoch: 1,
		Self: &peerpb.EntryHost{
			Host: fmt.Sprint("entry-hobart-a-", i), CallerAddress: fmt.Sprintf("10.1.%d.%d:8368", i/250, i%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:7780", i/250, i%250),
		},
	}
}

// BenchmarkFollow measures how a keeper answers one Follow request of an entry
// host, by the number of entry hosts and without the transport. The requests are
// spread evenly over the interval, as hosts that start at different times send
// them.
func BenchmarkFollow(b *testing.B) {
	for _, hosts := range []int{20, 64, 170, 340} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			clock := clockwork.NewFakeClock()
			k := &follow.Keeper{Fleet: idleFleet{member.Record{Epoch: 1}}, Clock: clock}
			requests := make([]*peerpb.FollowRequest, hosts)
			for i := range requests {
				requests[i] = followRequest(i)
			}
			// Before the measurement, the keeper learns all hosts and they learn its
			// list.
			for range 2 {
				for _, r := range requests {
					res, err := k.HandleFollow(b.Context(), r)
					assert.NilError(b, err)
					r.KnownHosts = res.GetHostsVersion()
				}
			}
			// A request without a known version is answered with the whole list.
			list, err := k.HandleFollow(b.Context(), followRequest(0))
			assert.NilError(b, err)
			messageBytes := 0
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				r := requests[i%hosts]
				i++
				clock.Advance(presence.Interval / time.Duration(hosts))
				res, err := k.HandleFollow(b.Context(), r)
				if err != nil {
					b.Fatal(err)
				}
				messageBytes = proto.Size(r) + proto.Size(res)
			}
			b.ReportMetric(float64(messageBytes), "B/message")
			b.ReportMetric(float64(proto.Size(list)), "B/list")
		})
	}
}
