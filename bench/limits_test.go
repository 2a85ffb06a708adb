package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/limits"
	"mimosarelay/core/config"
	"mimosarelay/core/escrow"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/core/store/memstore"
	"mimosarelay/io/peer/peerpb"
)

// unreachableLimitPeers fails each transfer of shares.
type unreachableLimitPeers struct{}

func (unreachableLimitPeers) MoveShare(context.Context, string, *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	return nil, fmt.Errorf("move shares to a peer: %w", model.ErrUnavailable)
}

// newMembership returns an epoch of n members as the first of them sees it.
func newMembership(n int) limits.Membership {
	out := limits.Membership{Epoch: 1}
	for i := range n {
		m := newMember(i)
		out.Members = append(out.Members, limits.Member{Host: m.Host, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress})
	}
	out.Incarnation = out.Members[0].Incarnation
	return out
}

// entryReports returns the store entries of all members' entry reports. Each of w
// workspaces is divided among holderCount of the members.
func entryReports(tb testing.TB, m limits.Membership, w, holderCount int) []store.Entry {
	var out []store.Entry
	for i, x := range m.Members {
		value, err := json.Marshal(limits.EntryReport{
			Host: x.Host, Incarnation: x.Incarnation, Epoch: m.Epoch, Holdings: holdings(i, len(m.Members), w, holderCount),
		})
		assert.NilError(tb, err)
		out = append(out, store.Entry{Key: limits.EnterPrefix + string(x.Host), Value: value, Version: 1})
	}
	return out
}

// settlementAfterRemoval returns the shares of an epoch in which one of n hosts
// was removed, and a function that computes their settlement round.
func settlementAfterRemoval(tb testing.TB, n, w, holderCount int) (escrow.Shares, func() escrow.Round) {
	reports := escrow.Reports{}
	var receivers []model.HostID
	for i := range n {
		if i != 1 { // host 1 was removed; host 0 holds a part of the first workspace
			reports[hostName(i)] = holdings(i, n, w, holderCount)
			receivers = append(receivers, hostName(i))
		}
	}
	shares := escrow.Shares{Epoch: 1, ChangeID: uuid.NewString()}
	names := workspaceNames(w)
	run := func() escrow.Round {
		r, err := escrow.Settle(reports, shares, receivers, names)
		assert.NilError(tb, err)
		return r
	}
	return shares, run
}

// sharesBytes returns the encoded size of shares.
func sharesBytes(tb testing.TB, s escrow.Shares) float64 {
	data, err := json.Marshal(s)
	assert.NilError(tb, err)
	return float64(len(data))
}

// sharesSeries measures the encoded size of the shares after the removal of one host,
// and the time to encode them.
func sharesSeries(size string, points []int, sizes func(n int) (hosts, workspaces int)) series {
	return series{size: size, unit: "B", points: points, setup: func(tb testing.TB, n int) sample {
		h, w := sizes(n)
		shares, run := settlementAfterRemoval(tb, h, w, h)
		shares.Rounds = []escrow.Round{run()}
		return sample{sharesBytes(tb, shares), func() { sharesBytes(tb, shares) }}
	}}
}

// startLimits starts the limits of the first member of m with w workspaces.
func startLimits(tb testing.TB, m limits.Membership, w int) *limits.Service {
	clock := clockwork.NewRealClock()
	s := limits.New(limits.Options{
		Host: m.Members[0].Host, Clock: clock, Store: memstore.New(clock).NewClient("bench"), Peers: unreachableLimitPeers{},
		MayAct: func() bool { return true },
	})
	tb.Cleanup(s.Close)
	d := &config.Document{}
	for i := range w {
		d.Workspaces = append(d.Workspaces, config.Workspace{Name: workspaceName(i), Rate: 1e6, Burst: 1e6})
	}
	s.ContractsChanged(d)
	s.EpochChanged(m)
	return s
}

// newLimits returns the limits of a host that holds all shares, so that no
// admission has to wait for a transfer from a peer.
func newLimits(tb testing.TB, w int) *limits.Service {
	m := newMembership(1)
	s := startLimits(tb, m, w)
	round := escrow.Round{Grants: map[model.WorkspaceID]map[model.HostID]int64{}}
	for i := range w {
		whole := map[model.HostID]int64{m.Members[0].Host: escrow.FullShare}
		round.Grants[workspaceName(i)] = whole
		round.Grants[escrow.BurstAccount(workspaceName(i))] = whole
	}
	value, err := json.Marshal(escrow.Shares{Epoch: m.Epoch, Rounds: []escrow.Round{round}})
	assert.NilError(tb, err)
	s.SharesChanged([]store.Entry{{Key: limits.SharesKey, Value: value, Version: 1}})
	return s
}

// reportMemory returns the memory that a host keeps for the entry reports of all
// members.
func reportMemory(tb testing.TB, n, w int) float64 {
	m := newMembership(n)
	entries := entryReports(tb, m, w, n)
	return heapOf(func() any {
		s := startLimits(tb, m, 1)
		s.EntriesChanged(entries)
		return s
	})
}

var (
	entryReport = register("EntryReport", series{
		size: "workspaces", unit: "B", points: workspacePoints,
		setup: func(tb testing.TB, n int) sample {
			m := newMembership(hosts)
			m.Members = m.Members[:1]
			value := entryReports(tb, m, n, hosts)[0].Value
			return sample{float64(len(value)), func() {
				var r limits.EntryReport
				assert.NilError(tb, json.Unmarshal(value, &r))
			}}
		},
	})
	sharesByHosts = register("SharesByHosts", sharesSeries("hosts", hostPoints,
		func(n int) (int, int) { return n, 46 }))
	sharesByWorkspaces = register("SharesByWorkspaces", sharesSeries("workspaces", workspacePoints,
		func(n int) (int, int) { return 20, n }))
	settleByHosts = register("SettleByHosts", series{
		size: "hosts", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			_, run := settlementAfterRemoval(tb, n, 185, n)
			return sample{run: func() { run() }}
		},
	})
	settleByWorkspaces = register("SettleByWorkspaces", series{
		size: "workspaces", points: workspacePoints,
		setup: func(tb testing.TB, n int) sample {
			_, run := settlementAfterRemoval(tb, 85, n, 85)
			return sample{run: func() { run() }}
		},
	})
	// Each host checks twice a second that its epoch is settled.
	settledCheck = register("SettledCheck", series{
		size: "hosts", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			shares, run := settlementAfterRemoval(tb, n, 185, n)
			shares.Rounds = []escrow.Round{run()}
			reports := escrow.Reports{}
			var receivers []model.HostID
			for i := range n {
				if i != 1 {
					reports[hostName(i)] = holdings(i, n, 185, n)
					receivers = append(receivers, hostName(i))
				}
			}
			names := workspaceNames(185)
			return sample{run: func() {
				r, err := escrow.Settle(reports, shares, receivers, names)
				assert.NilError(tb, err)
				assert.Equal(tb, len(r.Grants), 0)
			}}
		},
	})
	reportsByHosts = register("ReportsByHosts", series{
		size: "hosts", unit: "heap-B", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			m := newMembership(n)
			entries := entryReports(tb, m, 185, n)
			s := startLimits(tb, m, 1)
			return sample{reportMemory(tb, n, 185), func() { s.EntriesChanged(entries) }}
		},
	})
	workspaceMemory = register("WorkspaceMemory", series{
		size: "workspaces", unit: "heap-B", points: workspacePoints,
		setup: func(tb testing.TB, n int) sample {
			return sample{value: heapOf(func() any { return newLimits(tb, n) })}
		},
	})
	admission = register("Admission", series{
		size: "workspaces", points: workspacePoints,
		setup: func(tb testing.TB, n int) sample {
			s, i := newLimits(tb, n), 0
			return sample{run: func() {
				assert.NilError(tb, s.Admit(context.Background(), workspaceName(i)))
				i = (i + 1) % n
			}}
		},
	})
)

func BenchmarkEntryReport(b *testing.B)        { entryReport.measure(b) }
func BenchmarkSharesByHosts(b *testing.B)      { sharesByHosts.measure(b) }
func BenchmarkSharesByWorkspaces(b *testing.B) { sharesByWorkspaces.measure(b) }
func BenchmarkSettleByHosts(b *testing.B)      { settleByHosts.measure(b) }
func BenchmarkSettleByWorkspaces(b *testing.B) { settleByWorkspaces.measure(b) }
func BenchmarkSettledCheck(b *testing.B)       { settledCheck.measure(b) }
func BenchmarkReportsByHosts(b *testing.B)     { reportsByHosts.measure(b) }
func BenchmarkWorkspaceMemory(b *testing.B)    { workspaceMemory.measure(b) }
func BenchmarkAdmission(b *testing.B)          { admission.measure(b) }

// BenchmarkFullScale measures the size of the values that the limits keep in the
// store at the planned scale: all entry reports, the first settlement, and the
// settlement after the removal of one host. It also measures how long a host takes
// to read the reports. It runs with all hosts as holders and with plannedHolders.
func BenchmarkFullScale(b *testing.B) {
	for _, holderCount := range []int{hosts, plannedHolders} {
		b.Run(fmt.Sprintf("holders=%d", holderCount), func(b *testing.B) {
			m := newMembership(hosts)
			entries := entryReports(b, m, workspaces, holderCount)
			total := 0
			for _, e := range entries {
				total += len(e.Value)
			}
			// Divide the holdings of the removed host among holderCount hosts.
			round := escrow.Round{Grants: map[model.WorkspaceID]map[model.HostID]int64{}}
			removed := holdings(1, hosts, workspaces, holderCount)
			for w, units := range removed {
				round.Grants[w] = map[model.HostID]int64{}
				for i := range min(holderCount, hosts-1) {
					round.Grants[w][hostName(i+2)] = units / int64(holderCount)
				}
			}
			first := escrow.Round{Grants: map[model.WorkspaceID]map[model.HostID]int64{}}
			for w := range workspaces {
				grants := map[model.HostID]int64{}
				for i := range holderCount {
					grants[hostName(i)] = escrow.FullShare / int64(holderCount)
				}
				first.Grants[workspaceName(w)] = grants
			}
			s := startLimits(b, m, workspaces)
			for b.Loop() {
				s.EntriesChanged(entries)
			}
			b.ReportMetric(float64(total), "reports-B")
			b.ReportMetric(sharesBytes(b, escrow.Shares{Epoch: 1, Rounds: []escrow.Round{round}}), "shares-B")
			b.ReportMetric(sharesBytes(b, escrow.Shares{Epoch: 1, Rounds: []escrow.Round{first}}), "first-shares-B")
		})
	}
}

// BenchmarkSettledCheckFullScale measures at the planned scale how a host checks
// that its epoch is settled, which it repeats every 500 ms.
func BenchmarkSettledCheckFullScale(b *testing.B) {
	for _, holderCount := range []int{hosts, plannedHolders} {
		b.Run(fmt.Sprintf("holders=%d", holderCount), func(b *testing.B) {
			reports := escrow.Reports{}
			for i := range hosts {
				reports[hostName(i)] = holdings(i, hosts, workspaces, holderCount)
			}
			shares := escrow.Shares{Epoch: 1}
			names, receivers := workspaceNames(workspaces), hostNames(hosts)
			round, err := escrow.Settle(reports, shares, receivers, names)
			assert.NilError(b, err)
			shares.Rounds = []escrow.Round{round} // grants the remainder of the division
			for b.Loop() {
				r, err := escrow.Settle(reports, shares, receivers, names)
				assert.NilError(b, err)
				assert.Equal(b, len(r.Grants), 0)
			}
		})
	}
}
