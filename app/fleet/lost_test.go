package fleet_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/member"
)

const (
	// lostKeeperBound is the time within which a fleet must act again after its last
	// member was lost and replaced: the smallest recovery_s of the deployments.
	lostKeeperBound = 12 * time.Second
	testAwayLimit   = 5 * time.Second
)

// drain takes a host out of the fleet as planned.
func (c *cluster) drain(h *host) {
	c.t.Helper()
	assert.NilError(c.t, h.MarkLeaving(context.Background()))
	c.advance(2 * time.Second)
	assert.NilError(c.t, h.Leave(context.Background()))
	c.stop(h)
}

func runClusterWithAwayLimit(t *testing.T, n int, f func(t *testing.T, ctx context.Context, c *cluster)) {
	t.Helper()
	runClusterOf(t, n, &cluster{minLeaseMissing: 300 * time.Millisecond, awayLimit: testAwayLimit}, f)
}

// Guards against a fleet that never acts again: two of three members are drained as
// planned, the third is lost and an empty host at another address takes its place
// (review/2).
func TestFleetActsAfterLastMemberIsLost(t *testing.T) {
	runClusterWithAwayLimit(t, 3, func(_ *testing.T, ctx context.Context, c *cluster) {
		c.drain(c.hosts[0])
		c.advance(recoveryBound)
		c.drain(c.hosts[1])
		c.advance(recoveryBound)
		c.stop(c.hosts[2])
		c.advance(time.Second)
		c.add(ctx, "h3", "z0")
		c.advance(lostKeeperBound)
		c.assertSettled("h3")
	})
}

// Guards against a fleet that loses its members one at a time, each replaced by an
// empty host at another address, and does not act again after each loss.
func TestFleetActsAfterEachOfSuccessiveLosses(t *testing.T) {
	for name, n := range map[string]int{"one member": 1, "two members": 2, "three members": 3} {
		t.Run(name, func(t *testing.T) {
			runClusterWithAwayLimit(t, n, func(_ *testing.T, ctx context.Context, c *cluster) {
				for i := range 4 {
					c.stop(c.hosts[i])
					c.advance(time.Second)
					c.add(ctx, "n"+string(rune('0'+i)), "z0")
					c.advance(lostKeeperBound)
					c.assertSettled(c.runningHosts()...)
				}
			})
		})
	}
}

// Guards against a last member that acts on its own word after another host has
// replaced it: it is cut off from the store and from its peers, frozen and resumed,
// or both, with the other host taking over meanwhile. Two hosts that act at once fail
// advance.
func TestReplacedLastMemberDoesNotAct(t *testing.T) {
	for name, hurt := range map[string]func(c *cluster, old *host) (heal func()){
		"cut off from the store": func(_ *cluster, old *host) func() {
			old.client.SetPartitioned(true)
			return func() { old.client.SetPartitioned(false) }
		},
		"cut off from everything": func(c *cluster, old *host) func() {
			old.client.SetPartitioned(true)
			c.cutPeers(old, true)
			return func() { old.client.SetPartitioned(false); c.cutPeers(old, false) }
		},
		"frozen": func(_ *cluster, old *host) func() {
			old.freezer.freeze()
			return old.freezer.resume
		},
	} {
		t.Run(name, func(t *testing.T) {
			runClusterWithAwayLimit(t, 1, func(t *testing.T, ctx context.Context, c *cluster) {
				old := c.hosts[0]
				incarnation := old.Self().Incarnation
				heal := hurt(c, old)
				c.advance(time.Second)
				c.add(ctx, "h1", "z1")
				c.advance(lostKeeperBound)
				c.assertActs(c.hosts[1])
				heal()
				c.advance(recoveryBound)
				assert.Assert(t, old.Self().Incarnation != incarnation)
				c.assertSettled("h0", "h1")
			})
		})
	}
}

// Guards against a lone member that stops acting at once in an outage of the store,
// and against a right without an end, by which its loss could never be certain.
func TestLoneMemberActsForAwayLimitInStoreOutage(t *testing.T) {
	runClusterWithAwayLimit(t, 1, func(t *testing.T, _ context.Context, c *cluster) {
		c.store.SetDown(true)
		for range 60 {
			c.advance(50 * time.Millisecond)
			assert.Assert(t, c.hosts[0].MayAct())
		}
		c.advance(testAwayLimit - 3*time.Second)
		assert.Assert(t, !c.hosts[0].MayAct())
		c.store.SetDown(false)
		c.advance(recoveryBound)
		c.assertSettled("h0")
	})
}

// Guards against the removal of a lone member that has had a lease again since the
// remover first saw that it was missing. The watches of both are late, so that the
// member still acts on its own word, and the remover has not seen the lease.
func TestLeaseAcquiredAgainRestartsTimeOfSilence(t *testing.T) {
	runClusterWithAwayLimit(t, 1, func(t *testing.T, ctx context.Context, c *cluster) {
		old := c.hosts[0]
		old.watchFreezer.freeze()
		old.client.SetPartitioned(true)
		c.advance(2 * time.Second)
		other := c.add(ctx, "h1", "z1")
		c.advance(3 * time.Second)
		other.watchFreezer.freeze()
		old.client.SetPartitioned(false)
		c.advance(1500 * time.Millisecond)
		assert.Assert(t, old.MayAct(), "the lease was not acquired again")
		old.client.SetPartitioned(true)
		c.advance(3200 * time.Millisecond)
		other.watchFreezer.resume()
		c.advance(lostKeeperBound)
		c.assertActs(other)
		old.watchFreezer.resume()
		old.client.SetPartitioned(false)
		c.advance(recoveryBound)
		c.assertSettled("h0", "h1")
	})
}

// Guards against a limit that is missing in the record after a process of an earlier
// version has written it, so that the loss of that member would never be certain.
func TestMemberStatesItsAwayLimitAgain(t *testing.T) {
	runClusterWithAwayLimit(t, 2, func(t *testing.T, ctx context.Context, c *cluster) {
		client := c.hosts[0].client
		e, err := client.Get(ctx, "Membership")
		assert.NilError(t, err)
		record, err := member.Decode(e.Value)
		assert.NilError(t, err)
		for i := range record.Members {
			record.Members[i].AwayLimit = 0
		}
		value, err := record.Encode()
		assert.NilError(t, err)
		_, err = client.Put(ctx, "Membership", value, e.Version)
		assert.NilError(t, err)
		c.advance(3 * time.Second)
		e, err = client.Get(ctx, "Membership")
		assert.NilError(t, err)
		record, err = member.Decode(e.Value)
		assert.NilError(t, err)
		for _, m := range record.Members {
			assert.Equal(t, m.AwayLimit, testAwayLimit, "%+v", m)
		}
	})
}

// Guards against a machine that never becomes a member because it has the name of a
// lost one and another address, and against a lost member that stays because the
// lease of its successor counts as its own.
func TestMachineIsReplacedUnderItsName(t *testing.T) {
	for name, n := range map[string]int{"one member": 1, "two members": 2, "three members": 3} {
		t.Run(name, func(t *testing.T) {
			runClusterWithAwayLimit(t, n, func(_ *testing.T, ctx context.Context, c *cluster) {
				for i := range 3 {
					lost := c.hosts[len(c.hosts)-1]
					c.stop(lost)
					c.advance(time.Second)
					c.addAt(ctx, string(lost.id), "z0", "address-"+string(rune('0'+i)))
					c.advance(lostKeeperBound)
					c.assertSettled(c.runningHosts()...)
				}
			})
		})
	}
}

// Guards against two machines of one name that act at once, when the first was only
// cut off or frozen.
func TestReplacedMachineOfSameNameDoesNotAct(t *testing.T) {
	for name, n := range map[string]int{"one member": 1, "three members": 3} {
		t.Run(name, func(t *testing.T) {
			runClusterWithAwayLimit(t, n, func(_ *testing.T, ctx context.Context, c *cluster) {
				old := c.hosts[0]
				old.client.SetPartitioned(true)
				c.advance(time.Second)
				second := c.addAt(ctx, "h0", "z0", "elsewhere")
				c.advance(lostKeeperBound)
				c.assertActs(second)
				old.freezer.freeze()
				old.client.SetPartitioned(false)
				c.advance(time.Second)
				old.freezer.resume()
				c.advance(recoveryBound)
				c.assertActs(second)
			})
		})
	}
}
