package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
)

const (
	modelHosts = 5
	modelTick  = 100 * time.Millisecond
	modelTicks = 400
)

// modelFleet is a small model of a fleet: the keys in the store, and hosts that run
// once per tick unless they are paused. The rules under test are those of package
// member.
type modelFleet struct {
	now       time.Time
	storeDown bool
	record    member.Record
	leases    map[model.HostID]time.Time // when the lease lapses
	reports   map[model.HostID]report
	hosts     []*modelHost
}

type report struct {
	in    model.Incarnation
	epoch model.Epoch
}

type modelHost struct {
	self         member.Member
	right        *member.Right
	ownership    *member.ShardOwnership
	entered      member.Record
	attached     bool
	paused       bool
	cutFromStore bool
	cutFromPeers bool
	processes    int
}

func (f *modelFleet) reachesStore(h *modelHost) bool { return !f.storeDown && !h.cutFromStore }

// runTick runs the loops of one host for one tick. If slowWatch is set, the host
// only renews its lease in this tick.
func (f *modelFleet) runTick(h *modelHost, slowWatch bool) {
	h.right.SetStoreAway(!f.reachesStore(h))
	if !f.reachesStore(h) {
		return
	}
	f.renew(h)
	if slowWatch || !h.attached {
		return
	}
	if f.record.Epoch != h.entered.Epoch {
		h.entered = f.record
		h.right.Enter(h.entered)
		h.ownership.Enter(h.entered)
	}
	if !f.now.Before(h.right.EarliestEntryReport(f.reported)) {
		f.reports[h.self.Host] = report{h.self.Incarnation, h.entered.Epoch}
	}
	lowest, exact := h.entered.Entered(f.reported)
	if exact {
		h.ownership.Activate(h.entered.Epoch)
	}
	f.record = f.record.PrunePast(lowest)
	for _, m := range f.record.Members {
		if !f.now.Before(f.leases[m.Host]) {
			if next, err := f.record.RemoveLapsed(m.Host); err == nil {
				f.record = next
				return
			}
		}
	}
}

func (f *modelFleet) reported(m member.Member) model.Epoch {
	if r := f.reports[m.Host]; r.in == m.Incarnation {
		return r.epoch
	}
	return 0
}

func (f *modelFleet) renew(h *modelHost) {
	if !f.now.Before(f.leases[h.self.Host]) {
		h.right.LeaseLost()
		h.attached = false
	}
	f.leases[h.self.Host] = f.now.Add(times.LeaseTTL)
	if !h.attached && !f.record.Has(h.self.Host, h.self.Incarnation) {
		h.processes++
		h.self.Incarnation = model.Incarnation(fmt.Sprintf("%s-%d", h.self.Host, h.processes))
		h.right.ResetIncarnation(h.self)
		h.ownership.Drop()
		next, err := f.record.Join(h.self)
		if err != nil {
			return
		}
		h.right.Joined(f.record, next.Epoch)
		f.record = next
	}
	h.attached = true
	h.right.Renewed(f.now)
}

// restart replaces the process of a host with a new one.
func (f *modelFleet) restart(h *modelHost) {
	h.right = member.NewRight(times, h.self, f.now)
	h.ownership = member.NewShardOwnership(h.self.Host)
	h.entered, h.attached, h.paused = member.Record{}, false, false
	h.processes++
	h.self.Incarnation = model.Incarnation(fmt.Sprintf("%s-%d", h.self.Host, h.processes))
	h.right.ResetIncarnation(h.self)
}

// exchangeHeartbeat sends a heartbeat and records its answer, which counts from
// when the heartbeat was sent.
func (f *modelFleet) exchangeHeartbeat(from, to *modelHost, sent time.Time) {
	if from.cutFromPeers || to.cutFromPeers || to.paused {
		return
	}
	e, away := to.right.AnswerHeartbeat(f.now)
	from.right.Confirm(to.self.Incarnation, e, away, sent)
}

func newModelFleet() *modelFleet {
	f := &modelFleet{now: time.Unix(0, 0), leases: map[model.HostID]time.Time{}, reports: map[model.HostID]report{}}
	for i := range modelHosts {
		h := &modelHost{self: newMember(i)}
		h.right = member.NewRight(times, h.self, f.now)
		h.ownership = member.NewShardOwnership(h.self.Host)
		f.hosts = append(f.hosts, h)
	}
	return f
}

// countActing returns for how many shards a host may act. It fails the test if two
// hosts may act for one shard. Paused hosts count, because they may resume at any
// time.
func (f *modelFleet) countActing(t rapid.TB) int {
	total := 0
	for s := range model.Shard(32) {
		var acting []model.HostID
		for _, h := range f.hosts {
			if h.right.MayAct(f.now) && h.ownership.Active(s) {
				acting = append(acting, h.self.Host)
			}
		}
		assert.Assert(t, len(acting) <= 1, "at %v shard %d: %v", f.now.Sub(time.Unix(0, 0)), s, acting)
		total += len(acting)
	}
	return total
}

// Guards against two hosts that may act for one shard in different epochs, under
// paused processes, restarts, lost heartbeats, slow watches, network partitions and
// store outages.
func TestNoTwoOwnersMayAct(t *testing.T) {
	totalActing := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet()
		seed := rapid.Uint64().Draw(t, "seed")
		chance := func(n uint64) bool { // xorshift, so that rapid draws only the seed
			seed ^= seed << 13
			seed ^= seed >> 7
			seed ^= seed << 17
			return seed != 0 && seed%n == 0
		}
		for range modelTicks {
			f.now = f.now.Add(modelTick)
			if chance(40) {
				f.storeDown = !f.storeDown
			}
			for _, h := range f.hosts {
				for _, flag := range []*bool{&h.paused, &h.cutFromStore, &h.cutFromPeers} {
					if chance(60) {
						*flag = !*flag
					}
				}
				if chance(60) {
					f.restart(h)
				}
				if !h.paused {
					f.runTick(h, chance(2))
				}
				for _, peer := range f.hosts {
					if peer != h && !h.paused && !chance(3) {
						f.exchangeHeartbeat(h, peer, f.now)
					}
				}
			}
			totalActing += f.countActing(t)
		}
	})
	assert.Assert(t, totalActing > 0, "no host ever acted")
}
