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
	times     member.Times
	// silentRemovals counts the removals that only the time without a lease allows.
	silentRemovals int
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
	// rate is how fast the clock of the host runs.
	rate float64
	// silent is when the host first saw that a process had no lease, and the
	// attachments of that process then.
	silent map[model.Incarnation]modelSilence
}

type modelSilence struct {
	since       time.Time
	attachments int
}

// localTime returns the time by the clock of a host.
func (f *modelFleet) localTime(h *modelHost) time.Time {
	start := time.Unix(0, 0)
	return start.Add(time.Duration(float64(f.now.Sub(start)) * h.rate))
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
	if !h.attached {
		clear(h.silent)
		return
	}
	if slowWatch {
		f.removeLapsed(h)
		return
	}
	f.observeSilence(h)
	if f.record.Epoch != h.entered.Epoch {
		h.entered = f.record
		h.right.Enter(h.entered)
		h.ownership.Enter(h.entered)
	}
	if !f.localTime(h).Before(h.right.EarliestEntryReport(f.reported)) {
		f.reports[h.self.Host] = report{h.self.Incarnation, h.entered.Epoch}
	}
	lowest, exact := h.entered.Entered(f.reported)
	if exact {
		h.ownership.Activate(h.entered.Epoch)
	}
	f.record = f.record.PrunePast(lowest)
	f.removeLapsed(h)
}

// removeLapsed removes one member without a lease, as h may do.
func (f *modelFleet) removeLapsed(h *modelHost) {
	for _, m := range f.record.Members {
		if f.now.Before(f.leases[m.Host]) {
			continue
		}
		if next, err := f.record.RemoveSilent(f.silentFor(h, f.record), m.Host); err == nil {
			if _, err := f.record.RemoveLapsed(m.Host); err != nil {
				f.silentRemovals++
			}
			f.record = next
			return
		}
	}
}

// observeSilence records which processes have no lease, see app/fleet.
func (f *modelFleet) observeSilence(h *modelHost) {
	known := h.silent
	h.silent = map[model.Incarnation]modelSilence{}
	observe := func(in model.Incarnation, attachments int) {
		o, ok := known[in]
		if !ok || o.attachments != attachments {
			o = modelSilence{f.localTime(h), attachments}
		}
		h.silent[in] = o
	}
	members := map[model.Incarnation]bool{}
	for _, m := range f.record.Members {
		members[m.Incarnation] = true
		if !f.now.Before(f.leases[m.Host]) {
			observe(m.Incarnation, m.Attachments)
		}
	}
	for _, p := range f.record.Past {
		for _, in := range p.Alive {
			if !members[in] {
				observe(in, -1)
			}
		}
	}
}

func (f *modelFleet) silentFor(h *modelHost, r member.Record) map[model.Incarnation]time.Duration {
	out := map[model.Incarnation]time.Duration{}
	for in, o := range h.silent {
		attachments := -1
		for _, m := range r.Members {
			if m.Incarnation == in {
				attachments = m.Attachments
			}
		}
		if attachments == o.attachments {
			out[in] = f.localTime(h).Sub(o.since)
		}
	}
	return out
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
	f.leases[h.self.Host] = f.now.Add(f.times.LeaseTTL)
	if !h.attached && f.record.Has(h.self.Host, h.self.Incarnation) {
		f.record, _ = f.record.Attached(h.self)
	} else if !h.attached {
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
	h.right.Renewed(f.localTime(h))
}

// restart replaces the process of a host with a new one.
func (f *modelFleet) restart(h *modelHost) {
	h.right = member.NewRight(f.times, h.self, f.localTime(h))
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
	e, away := to.right.AnswerHeartbeat(f.localTime(to))
	from.right.Confirm(to.self.Incarnation, e, away, sent)
}

func newModelFleet(n int, t member.Times) *modelFleet {
	f := &modelFleet{now: time.Unix(0, 0), leases: map[model.HostID]time.Time{}, reports: map[model.HostID]report{}, times: t}
	for range n {
		f.addHost(1)
	}
	return f
}

// addHost adds a host that has not joined yet.
func (f *modelFleet) addHost(rate float64) {
	h := &modelHost{self: newMember(len(f.hosts)), rate: rate}
	h.self.AwayLimit = f.times.AwayLimit
	h.right = member.NewRight(f.times, h.self, f.localTime(h))
	h.ownership = member.NewShardOwnership(h.self.Host)
	f.hosts = append(f.hosts, h)
}

// countActing returns for how many shards a host may act. It fails the test if two
// hosts may act for one shard. Paused hosts count, because they may resume at any
// time.
func (f *modelFleet) countActing(t rapid.TB) int {
	total := 0
	for s := range model.Shard(32) {
		var acting []model.HostID
		for _, h := range f.hosts {
			if h.right.MayAct(f.localTime(h)) && h.ownership.Active(s) {
				acting = append(acting, h.self.Host)
			}
		}
		assert.Assert(t, len(acting) <= 1, "at %v shard %d: %v", f.now.Sub(time.Unix(0, 0)), s, acting)
		total += len(acting)
	}
	return total
}

// newChance returns a function that is true once in n calls on average. It is a
// xorshift generator, so that rapid draws only the seed.
func newChance(t *rapid.T) func(n uint64) bool {
	seed := rapid.Uint64Min(1).Draw(t, "seed")
	return func(n uint64) bool {
		seed ^= seed << 13
		seed ^= seed >> 7
		seed ^= seed << 17
		return seed%n == 0
	}
}

// Guards against two hosts that may act for one shard in different epochs, under
// paused processes, restarts, lost heartbeats, slow watches, network partitions and
// store outages.
func TestNoTwoOwnersMayAct(t *testing.T) {
	totalActing := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(modelHosts, times)
		chance := newChance(t)
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
						f.exchangeHeartbeat(h, peer, f.localTime(h))
					}
				}
			}
			totalActing += f.countActing(t)
		}
	})
	assert.Assert(t, totalActing > 0, "no host ever acted")
}

// Guards against two hosts that may act for one shard after the members of an epoch
// of one or two were removed because they had no lease for AwayLimit. Clocks run up
// to 5 % too fast or too slow, and new hosts replace lost ones at other addresses.
// Also guards against a fleet in which such members are never removed.
func TestNoTwoOwnersMayActInSmallEpochs(t *testing.T) {
	limited := times
	limited.AwayLimit = testAwayLimit
	totalActing, silentRemovals := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(0, limited)
		chance := newChance(t)
		const maxHosts = 6
		for tick := range modelTicks {
			f.now = f.now.Add(modelTick)
			if len(f.hosts) < maxHosts && (tick == 0 || chance(100)) {
				f.addHost(0.95 + 0.05*float64(len(f.hosts)%3))
			}
			for _, h := range f.hosts {
				// Hosts are most often lost for longer than AwayLimit.
				for _, flag := range []*bool{&h.paused, &h.cutFromStore, &h.cutFromPeers} {
					if chance(120) {
						*flag = !*flag
					}
				}
				if chance(300) {
					f.restart(h)
				}
				if !h.paused {
					f.runTick(h, chance(2))
				}
				for _, peer := range f.hosts {
					if peer != h && !h.paused && !chance(3) {
						f.exchangeHeartbeat(h, peer, f.localTime(h))
					}
				}
			}
			totalActing += f.countActing(t)
		}
		silentRemovals += f.silentRemovals
	})
	assert.Assert(t, totalActing > 0 && silentRemovals > 0, "acting %d, removals %d", totalActing, silentRemovals)
}
