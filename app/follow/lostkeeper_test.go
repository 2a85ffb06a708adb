package follow_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
	"mimosarelay/core/presence"
	"mimosarelay/io/peer/peerpb"
)

// Guards against a directory that names a lost host for as long as a keeper is cut off,
// because the last list of that keeper still has it.
func TestListOfCutOffKeeperIsNotUsed(t *testing.T) {
	t.Parallel()
	tf := newTestFleet(t, 3)
	a := tf.startSettledClient("a", nil)
	lost := presence.Host{Host: "lost", CallerAddress: "lost:1", PeerAddress: "lost:2"}
	follow := func(keepers ...string) {
		for _, k := range keepers {
			_, err := tf.keepers[k].HandleFollow(t.Context(), &peerpb.FollowRequest{Self: &peerpb.EntryHost{
				Host: string(lost.Host), CallerAddress: lost.CallerAddress, PeerAddress: lost.PeerAddress,
			}})
			assert.NilError(t, err)
		}
	}
	lists := func(h model.HostID) func() bool {
		return func() bool { return slices.Contains(activeHosts(a.Hosts()), h) }
	}
	follow("keeper-0", "keeper-1", "keeper-2")
	tf.waitFor("the host is listed", lists("lost"))
	follow("keeper-0", "keeper-1", "keeper-2")
	time.Sleep(presence.Interval + 100*time.Millisecond) // until each keeper has told it again
	tf.keepers["keeper-0"].update(func() { tf.keepers["keeper-0"].silent = true })
	tf.waitFor("the lost host is not listed", func() bool { return !lists("lost")() })
	assert.Assert(t, lists("a")())
	tf.keepers["keeper-0"].update(func() { tf.keepers["keeper-0"].silent = false })
	time.Sleep(presence.Lifetime)
	assert.Assert(t, !lists("lost")(), "the returned keeper names the lost host")
}
