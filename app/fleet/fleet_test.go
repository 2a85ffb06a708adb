package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/app/fleet"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// Guards against a dead host that stays a member for longer than recoveryBound.
func TestKilledHostIsRemovedWithinBound(t *testing.T) {
	runCluster(t, 5, func(_ *testing.T, c *cluster) {
		c.stop(c.hosts[1])
		c.advance(recoveryBound)
		c.assertSettled("h0", "h2", "h3", "h4")
	})
}

// Guards against a host that is killed in an outage of the store and whose shards
// have no active owner after the outage for longer than the other hosts need to
// acquire their leases again.
func TestHostKilledInStoreOutageIsRemovedSoonAfterIt(t *testing.T) {
	runClusterWith(t, 5, 300*time.Millisecond, func(_ *testing.T, c *cluster) {
		c.store.SetDown(true)
		c.advance(500 * time.Millisecond)
		c.stop(c.hosts[1])
		c.advance(time.Second)
		c.store.SetDown(false)
		// The time covers MinStoreReachable and a delay after which the next host in
		// order would write the change too.
		c.advance(2*time.Second + 500*time.Millisecond)
		c.assertSettled("h0", "h2", "h3", "h4")
	})
}

// Guards against two simultaneous faults that stop the rest of the fleet, and
// against a removal that leaves no majority.
func TestRemovalNeedsMajorityAfterSeveralFaults(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		c.stop(c.hosts[0])
		c.cutPeers(c.hosts[2], true)
		c.hosts[2].client.SetPartitioned(true)
		c.advance(recoveryBound)
		assert.Assert(t, !c.hosts[2].MayAct())
		c.assertSettled("h1", "h3", "h4")
		c.stop(c.hosts[3])
		c.stop(c.hosts[4])
		c.advance(recoveryBound)
		// Two of three are a majority, one of two is not.
		assert.Equal(t, len(c.hosts[1].View().Members), 2)
		last := c.hosts[1].View().Members[1].Host
		assert.NilError(t, c.hosts[1].DeclareGone(t.Context(), last))
		c.advance(recoveryBound)
		c.assertSettled("h1")
	})
}

// Guards against a process that acts after it was frozen for longer than its lease,
// and against one that continues as its old incarnation after its removal.
func TestResumedProcessDoesNotActAsOldIncarnation(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		h := c.hosts[1]
		old := h.Self().Incarnation
		h.freezer.freeze()
		c.advance(2500 * time.Millisecond)
		assert.Assert(t, !h.MayAct())
		c.advance(recoveryBound - 2500*time.Millisecond)
		c.assertSettled("h0", "h2", "h3", "h4")
		h.freezer.resume()
		synctest.Wait()
		// It may already have joined again, but not as the old incarnation.
		assert.Assert(t, !h.MayAct() || h.Self().Incarnation != old)
		c.advance(recoveryBound)
		assert.Assert(t, h.Self().Incarnation != old)
		c.assertSettled("h0", "h1", "h2", "h3", "h4")
	})
}

// Guards against a host that is cut off but does not report it, so that its callers
// wait instead of using another host, and against hosts that report to be isolated
// in an outage of the store or after the loss of another host.
func TestIsolatedReportsOnlyHostThatIsCutOff(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		isolated := func() (list []model.HostID) {
			for _, h := range c.hosts {
				if !h.stopped && h.Isolated() {
					list = append(list, h.id)
				}
			}
			return list
		}
		assert.Equal(t, len(isolated()), 0)
		c.store.SetDown(true)
		c.advance(recoveryBound)
		assert.Equal(t, len(isolated()), 0)
		c.store.SetDown(false)
		c.advance(recoveryBound)
		c.stop(c.hosts[4])
		c.advance(recoveryBound)
		assert.Equal(t, len(isolated()), 0)
		c.cutPeers(c.hosts[1], true)
		c.hosts[1].client.SetPartitioned(true)
		c.advance(2 * time.Second)
		assert.DeepEqual(t, isolated(), []model.HostID{"h1"})
		c.cutPeers(c.hosts[1], false)
		c.hosts[1].client.SetPartitioned(false)
		c.advance(time.Second)
		assert.Equal(t, len(isolated()), 0)
	})
}

// Guards against a host that acts without reaching the store while the others reach
// it.
func TestHostWithoutStoreDoesNotActWhileOthersReachIt(t *testing.T) {
	for name, silent := range map[string]bool{"calls get no answer": true, "calls are refused": false} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 5, func(t *testing.T, c *cluster) {
				h := c.hosts[3]
				if silent {
					h.client.SetPartitioned(true)
				} else {
					h.client.SetUnavailable(true)
				}
				c.advance(3 * time.Second)
				assert.Assert(t, !h.MayAct())
				assert.Assert(t, h.StoreAway())
				c.advance(recoveryBound - 3*time.Second)
				c.assertSettled("h0", "h1", "h2", "h4")
				h.client.SetPartitioned(false)
				h.client.SetUnavailable(false)
				c.advance(recoveryBound)
				c.assertSettled("h0", "h1", "h2", "h3", "h4")
			})
		})
	}
}

// Guards against the removal of a host that acquires its lease again after the
// removing host has read the leases and before it writes the record. The removed
// host would continue to act.
func TestRemovalFailsIfLeaseIsAcquiredDuringIt(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		remover, h, other := c.hosts[0], c.hosts[1], c.hosts[2]
		before, reacquired := h.Self().Incarnation, false
		h.client.SetUnavailable(true)
		remover.beforePut = func(key string) {
			if key != "Membership" || reacquired {
				return
			}
			reacquired = true
			other.freezer.freeze() // so that only one host tries the removal
			h.client.SetUnavailable(false)
			time.Sleep(1500 * time.Millisecond)
			assert.Check(t, h.MayAct())
			other.freezer.resume()
		}
		c.advance(recoveryBound)
		assert.Assert(t, reacquired)
		c.assertSettled("h0", "h1", "h2")
		assert.Equal(t, h.Self().Incarnation, before)
	})
}

// Guards against the removal of a host that still holds its lease.
func TestHostWithLeaseIsNotRemovedWhenCutOffFromPeers(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		before := c.hosts[0].View().Epoch
		c.cutPeers(c.hosts[3], true)
		c.advance(recoveryBound)
		c.assertSettled("h0", "h1", "h2", "h3", "h4")
		assert.Equal(t, c.hosts[0].View().Epoch, before)
		assert.ErrorIs(t, c.hosts[0].DeclareGone(t.Context(), "h3"), fleet.ErrLeaseHeld)
	})
}

// Guards against hosts that lose the right to act during an outage of the store of
// ten minutes, or their membership after it, both if the store refuses calls and if
// it does not answer.
func TestAllHostsMayActInLongStoreOutage(t *testing.T) {
	for name, silent := range map[string]bool{"calls get no answer": true, "calls are refused": false} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 5, func(t *testing.T, c *cluster) {
				setStoreDown := func(down bool) {
					for _, h := range c.hosts {
						if silent {
							h.client.SetPartitioned(down)
						}
					}
					c.store.SetDown(down && !silent)
				}
				before := c.hosts[0].View().Epoch
				setStoreDown(true)
				for i := range 1290 {
					// Leases expire within the first seconds, so check more often then.
					step := 500 * time.Millisecond
					if i < 100 {
						step = 50 * time.Millisecond
					}
					c.advanceInSteps(step, step)
					for _, h := range c.hosts {
						assert.Assert(t, h.MayAct(), "host %s may not act: %+v", h.id, h.Dump())
					}
				}
				setStoreDown(false)
				c.advance(recoveryBound)
				c.assertSettled("h0", "h1", "h2", "h3", "h4")
				assert.Equal(t, c.hosts[0].View().Epoch, before, "a host was removed after the outage")
			})
		})
	}
}

// Guards against a gap between the expiry of the leases and the first quorum
// confirmation. The outage starts at different times relative to the renewals.
func TestRightToActHasNoGapWhenStoreOutageStarts(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		for phase := range 10 {
			for _, h := range c.hosts {
				h.client.SetPartitioned(true)
			}
			for range 80 {
				c.advance(50 * time.Millisecond)
				for _, h := range c.hosts {
					assert.Assert(t, h.MayAct(), "phase %d: host %s may not act: %+v", phase, h.id, h.Dump())
				}
			}
			for _, h := range c.hosts {
				h.client.SetPartitioned(false)
			}
			c.advance(5*time.Second + 100*time.Millisecond)
			c.assertSettled("h0", "h1", "h2", "h3", "h4")
		}
	})
}

// Guards against a host that has no right to act until the next regular renewal of
// its lease because it enters an epoch right after an outage, which discards the
// confirmations of its peers. Open streams survive the loss of the right for only
// 250 ms.
func TestRightToActReturnsAfterEpochAtEndOfOutage(t *testing.T) {
	const streamGrace = 250 * time.Millisecond
	for name, silent := range map[string]bool{"calls get no answer": true, "calls are refused": false} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 5, func(t *testing.T, c *cluster) {
				leaver := c.hosts[4]
				withoutRight := map[model.HostID]time.Duration{}
				for phase := range 10 {
					outage := func(on bool, hosts ...*host) {
						for _, h := range hosts {
							if silent {
								h.client.SetPartitioned(on)
							} else {
								h.client.SetUnavailable(on)
							}
						}
					}
					outage(true, c.hosts...)
					c.advance(8*time.Second + time.Duration(phase)*100*time.Millisecond)
					// Two hosts reach the store again before the others.
					outage(false, c.hosts[1:3]...)
					// Write the record with a new epoch, as any change of the
					// membership does.
					record := leaver.View()
					record.Epoch++
					value, err := record.Encode()
					assert.NilError(t, err)
					writer := c.store.NewClient("writer")
					entry, err := writer.Get(t.Context(), "Membership")
					assert.NilError(t, err)
					_, err = writer.Put(t.Context(), "Membership", value, entry.Version)
					assert.NilError(t, err)
					for step := range 300 {
						if step == 70 {
							outage(false, c.hosts...)
						}
						c.advanceInSteps(10*time.Millisecond, 10*time.Millisecond)
						for _, h := range c.hosts {
							withoutRight[h.id] += 10 * time.Millisecond
							if h.MayAct() {
								withoutRight[h.id] = 0
							}
							assert.Assert(t, withoutRight[h.id] <= streamGrace, "phase %d: host %s has had no right to act for %v: %+v", phase, h.id, withoutRight[h.id], h.Dump())
						}
					}
					c.advance(recoveryBound)
					c.assertSettled("h0", "h1", "h2", "h3", "h4")
				}
			})
		})
	}
}

// Guards against the removal of a host after an outage before it has had time to
// acquire its lease again. The host is cut off from its peers, so that their
// heartbeats cannot tell it that the store is reachable.
func TestHostCutOffFromPeersIsNotRemovedAfterStoreOutage(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		h := c.hosts[4]
		before := h.Self().Incarnation
		c.cutPeers(h, true)
		for _, o := range c.hosts {
			o.client.SetPartitioned(true)
		}
		c.advance(recoveryBound)
		assert.Assert(t, !h.MayAct())
		for _, o := range c.hosts {
			o.client.SetPartitioned(false)
		}
		c.advance(recoveryBound)
		c.assertSettled("h0", "h1", "h2", "h3", "h4")
		assert.Equal(t, h.Self().Incarnation, before)
	})
}

// Guards against a new host that acts for a shard before the previous owner has
// entered the epoch.
func TestJoiningHostDoesNotActBeforeSlowOwnerEntersEpoch(t *testing.T) {
	runCluster(t, 3, func(_ *testing.T, c *cluster) {
		c.shards = 128
		c.hosts[0].client.SetDelay(300 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.add(ctx, "h3", "z0")
		c.advance(recoveryBound)
		c.assertSettled("h0", "h1", "h2", "h3")
	})
}

// Guards against two hosts that act for one shard, and against hosts that do not
// join again, after random pairs of faults of hosts, links and the store.
func TestAtMostOneHostActsForShardUnderRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runCluster(t, 7, func(_ *testing.T, c *cluster) {
				random := rand.New(rand.NewPCG(seed, 1))
				for range 8 {
					order := random.Perm(len(c.hosts))
					first, second := c.hosts[order[0]], c.hosts[order[1]]
					healFirst := c.fault(random.IntN(6), first)
					c.advance(time.Duration(random.IntN(5000)) * time.Millisecond)
					healSecond := c.fault(random.IntN(6), second)
					c.advance(time.Duration(random.IntN(8000)) * time.Millisecond)
					healFirst()
					c.advance(time.Duration(random.IntN(3000)) * time.Millisecond)
					healSecond()
					c.advance(recoveryBound)
					c.assertSettled("h0", "h1", "h2", "h3", "h4", "h5", "h6")
				}
			})
		})
	}
}

// fault starts a fault of a host or the store and returns the function that ends it.
func (c *cluster) fault(kind int, h *host) func() {
	switch kind {
	case 0:
		h.freezer.freeze()
		return h.freezer.resume
	case 1:
		h.client.SetPartitioned(true)
		return func() { h.client.SetPartitioned(false) }
	case 2:
		c.cutPeers(h, true)
		return func() { c.cutPeers(h, false) }
	case 3:
		h.client.LoseAnswers(4, false)
		return func() { h.client.LoseAnswers(0, false) }
	case 4: // the host enters epochs later than others but keeps its lease
		h.client.SetDelay(300 * time.Millisecond)
		return func() { h.client.SetDelay(0) }
	default:
		c.store.SetDown(true)
		return func() { c.store.SetDown(false) }
	}
}

// Guards against a minority that continues to act during an outage of the store, and
// against a dead host that is not removed after it.
func TestMinorityDoesNotActInStoreOutage(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		c.store.SetDown(true)
		c.advance(recoveryBound)
		c.stop(c.hosts[0])
		c.cutPeers(c.hosts[1], true)
		c.advance(recoveryBound)
		assert.Assert(t, !c.hosts[1].MayAct())
		assert.Assert(t, c.hosts[2].MayAct() && c.hosts[3].MayAct() && c.hosts[4].MayAct())
		c.store.SetDown(false)
		c.cutPeers(c.hosts[1], false)
		c.advance(recoveryBound)
		c.assertSettled("h1", "h2", "h3", "h4")
	})
}

// Guards against lost answers of the store that prevent a join, a removal or an
// entry report.
func TestFleetSettlesDespiteLostStoreAnswers(t *testing.T) {
	runCluster(t, 5, func(_ *testing.T, c *cluster) {
		for _, h := range c.hosts {
			h.client.LoseAnswers(3, false)
		}
		c.stop(c.hosts[4])
		c.advance(recoveryBound)
		c.assertSettled("h0", "h1", "h2", "h3")
	})
}

// Guards against a planned leave that waits until a lease lapses, and against a
// leaving host that keeps its shards or its keys in the store.
func TestLeaveHandsOverShardsWithoutWaitingForLease(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		h := c.hosts[1]
		assert.NilError(t, h.MarkLeaving(t.Context()))
		c.advance(time.Second)
		for s := range model.Shard(model.ShardCount) {
			assert.Assert(t, !h.ActsFor(s))
		}
		ready, reason := h.Ready()
		assert.Assert(t, !ready && reason != "")
		assert.NilError(t, h.Leave(t.Context()))
		c.stop(h)
		c.advance(time.Second)
		c.assertSettled("h0", "h2")
		for _, key := range []string{"Lease/h1", "Enter/h1"} {
			_, err := c.hosts[0].client.Get(t.Context(), key)
			assert.ErrorIs(t, err, store.ErrNotFound, key)
		}
	})
}

// Guards against shards that move to a new owner while the removed owner may still
// act on a confirmation that another host gave just before its process was
// restarted.
func TestConfirmationOfRestartedHostExpiresBeforeShardsMove(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		// Three of five hosts cannot reach the store and confirm each other. The
		// other two remove as many of them as the majority rule allows.
		owner, confirming := c.hosts[0], c.hosts[4]
		for _, h := range []*host{owner, c.hosts[3], confirming} {
			h.client.SetPartitioned(true)
		}
		c.advance(recoveryBound)
		assert.Assert(t, owner.MayAct() && !c.hosts[1].View().Has("h0", owner.Self().Incarnation))
		c.stop(confirming)
		synctest.Wait()
		assert.Assert(t, owner.MayAct())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.add(ctx, "h4", "z1")
		c.advanceInSteps(4*time.Second, 10*time.Millisecond)
		assert.Assert(t, !owner.MayAct())
		for _, h := range []*host{owner, c.hosts[3]} {
			h.client.SetPartitioned(false)
		}
		c.advance(recoveryBound)
		c.assertSettled("h0", "h1", "h2", "h3", "h4")
	})
}

// Guards against a fleet that waits for confirmations to expire although all
// processes that could act on them are gone. After a power failure no request is
// served until the epoch is settled.
func TestFleetSettlesSoonAfterRestartOfAllHosts(t *testing.T) {
	for name, before := range map[string]func(c *cluster){
		"no earlier removal": func(*cluster) {},
		"a host was removed and joined again before": func(c *cluster) {
			c.hosts[1].client.SetPartitioned(true)
			c.advance(recoveryBound)
			c.hosts[1].client.SetPartitioned(false)
			c.advance(recoveryBound)
			c.assertSettled("h0", "h1", "h2", "h3", "h4")
		},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 5, func(_ *testing.T, c *cluster) {
				before(c)
				for _, h := range c.hosts {
					c.stop(h)
				}
				c.advance(4 * time.Second) // the leases of the stopped hosts lapse
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				// A call of the store takes 20 ms. After the last join, each host reads
				// the record, writes its entry report and reads those of the others.
				for i := range 5 {
					c.add(ctx, fmt.Sprintf("h%d", i), fmt.Sprintf("z%d", i%3)).client.SetDelay(20 * time.Millisecond)
					time.Sleep(30 * time.Millisecond)
				}
				c.advanceInSteps(250*time.Millisecond, 10*time.Millisecond)
				c.assertSettled("h0", "h1", "h2", "h3", "h4")
			})
		})
	}
}

// Guards against a restarted host that cannot join, or whose old incarnation stays a
// member.
func TestRestartedHostReplacesOldIncarnation(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		c.stop(c.hosts[1])
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		h := c.add(ctx, "h1", "z1")
		c.advance(recoveryBound)
		c.assertSettled("h0", "h1", "h2")
		assert.Assert(t, c.hosts[0].View().Has("h1", h.Self().Incarnation))
	})
}

// Guards against a configuration that counts as in effect before a member has
// reported its revision.
func TestMemberWithoutHeartbeatHasRevisionZero(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		late := c.add(ctx, "h3", "zone-0")
		c.cutPeers(late, true)
		c.advance(recoveryBound)
		c.assertSettled("h0", "h1", "h2", "h3")
		assert.DeepEqual(t, c.hosts[0].Confirmed(), map[model.HostID]model.Revision{"h0": 7, "h1": 7, "h2": 7, "h3": 0})
		assert.DeepEqual(t, c.hosts[0].Dump().(fleet.State).RevisionUnknown, []model.HostID{"h3"})
		c.cutPeers(late, false)
		c.advance(time.Second)
		assert.Equal(t, c.hosts[0].Confirmed()["h3"], model.Revision(7))
	})
}

// Guards against subscribers that miss a change or receive entries with another
// prefix, against revisions of peers that are not recorded, and against entry reports
// that are written before the OnEpoch callbacks run.
func TestSubscribersAndEpochCallbacksSeeEachChange(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		h := c.hosts[0]
		var calls [][]store.Entry
		h.Subscribe("Config", func(e []store.Entry) { calls = append(calls, e) })
		synctest.Wait()
		_, err := c.hosts[1].client.Put(t.Context(), "Config", []byte("x"), 0)
		assert.NilError(t, err)
		_, err = c.hosts[1].client.Put(t.Context(), "Shares", []byte("x"), 0)
		assert.NilError(t, err)
		c.advance(time.Second)
		assert.Equal(t, len(calls), 2)
		assert.Equal(t, len(calls[0]), 0)
		assert.Equal(t, calls[1][0].Key, "Config")
		assert.DeepEqual(t, h.Confirmed(), map[model.HostID]model.Revision{"h0": 7, "h1": 7, "h2": 7})
		var entered []model.Epoch
		h.OnEpoch(func(_, current member.Record) {
			for _, r := range h.Dump().(fleet.State).Reports {
				assert.Check(t, r.Epoch <= current.Epoch)
			}
			assert.Check(t, h.Dump().(fleet.State).Reported < current.Epoch)
			entered = append(entered, current.Epoch)
		})
		c.stop(c.hosts[2])
		c.advance(recoveryBound)
		assert.Equal(t, len(entered), 1)
		c.assertSettled("h0", "h1")
	})
}
