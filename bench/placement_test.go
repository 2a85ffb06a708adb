package bench

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"mimosarelay/app/placement"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	core "mimosarelay/core/placement"
)

// newPlacement returns the placement of one of n hosts with t targets.
func newPlacement(tb testing.TB, n, t int) *placement.Service {
	d, _ := newDocument(tb, 46, t)
	snapshot := config.NewSnapshot(d)
	names := hostNames(n)
	return placement.New(placement.Options{
		Host:     names[0],
		Hosts:    func() []model.HostID { return names },
		Snapshot: func() *config.Snapshot { return snapshot },
	})
}

// acquireAndRelease returns a function that places one call at a target and
// releases it.
func acquireAndRelease(tb testing.TB, s *placement.Service) func() {
	i := 0
	return func() {
		i++
		key := programKey(i % 144) // 144 programs, as many as one host owns
		p, err := s.Acquire(context.Background(), core.Request{
			Workspace: key.Workspace, Program: key.Program, Model: modelName(i), Prompt: 20_000, MaxTokens: 1000,
			Prefixes: []uint64{uint64(i % models), uint64(i%144) + 100, uint64(i)<<8 | 1, uint64(i)<<8 | 2},
		})
		assert.NilError(tb, err)
		p.Release(core.Usage{Prompt: 20_000, Cached: 19_000, Completion: 300})
	}
}

var (
	placementByTargets = register("PlacementByTargets", series{
		size: "targets", points: []int{150, 300, 450, 600},
		setup: func(tb testing.TB, n int) sample { return sample{run: acquireAndRelease(tb, newPlacement(tb, 7, n))} },
	})
	placementByHosts = register("PlacementByHosts", series{
		size: "hosts", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			return sample{run: acquireAndRelease(tb, newPlacement(tb, n, targets))}
		},
	})
	// The number of targets whose load one host polls: those at which it may place
	// calls. Each target takes at most 64 calls.
	partsByHosts = register("PartsByHosts", series{
		size: "hosts", unit: "targets", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			d, _ := newDocument(tb, 1, targets)
			names := hostNames(n)
			used := 0
			for _, t := range d.Targets {
				if core.HostLimit(names, names[0], t.Name, t.MaxInFlight) > 0 {
					used++
				}
			}
			return sample{value: float64(used)}
		},
	})
)

func BenchmarkPlacementByTargets(b *testing.B) { placementByTargets.measure(b) }
func BenchmarkPlacementByHosts(b *testing.B)   { placementByHosts.measure(b) }
func BenchmarkPartsByHosts(b *testing.B)       { partsByHosts.measure(b) }
