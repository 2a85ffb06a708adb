package bench

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jonboulle/clockwork"

	"mimosarelay/app/contracts"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/core/store/memstore"
	"mimosarelay/io/peer/peerpb"
)

// unreachableConfigPeers fails each request for a document.
type unreachableConfigPeers struct{}

func (unreachableConfigPeers) GetConfig(context.Context, string, *peerpb.GetConfigRequest) (*peerpb.GetConfigResponse, error) {
	return nil, fmt.Errorf("request the configuration from a peer: %w", model.ErrUnavailable)
}

func newContractsService(s store.Store) *contracts.Service {
	return contracts.New(contracts.Options{
		Host: hostName(0), Store: s, Peers: unreachableConfigPeers{},
		PeerAddresses: func() []string { return nil },
		Confirmed:     func() map[model.HostID]model.Revision { return nil },
	})
}

// documentYAML returns a document with w workspaces and t targets.
func documentYAML(tb testing.TB, w, t int) []byte {
	d, _ := newDocument(tb, w, t)
	data, err := config.Marshal(d)
	assert.NilError(tb, err)
	return data
}

// documentParseSeries measures the size of a document and the time to parse it.
func documentParseSeries(size string, points []int, sizes func(int) (workspaces, targets int)) series {
	return series{size: size, unit: "B", points: points, setup: func(tb testing.TB, n int) sample {
		w, t := sizes(n)
		data := documentYAML(tb, w, t)
		return sample{float64(len(data)), func() {
			_, err := config.Parse(data, "document")
			assert.NilError(tb, err)
		}}
	}}
}

var (
	documentByWorkspaces = register("DocumentByWorkspaces", documentParseSeries("workspaces", workspacePoints,
		func(n int) (int, int) { return n, 40 }))
	documentByTargets = register("DocumentByTargets", documentParseSeries("targets", []int{40, 150, 300, 600},
		func(n int) (int, int) { return 46, n }))
	snapshotMemory = register("SnapshotMemory", series{
		size: "workspaces", unit: "heap-B", points: workspacePoints,
		setup: func(tb testing.TB, n int) sample {
			data := documentYAML(tb, n, 40)
			return sample{value: heapOf(func() any {
				d, err := config.Parse(data, "document")
				assert.NilError(tb, err)
				return config.NewSnapshot(d)
			})}
		},
	})
	authentication = register("Authentication", series{
		size: "workspaces", points: workspacePoints,
		setup: func(tb testing.TB, n int) sample {
			d, secret := newDocument(tb, n, 40)
			s := config.NewSnapshot(d)
			return sample{run: func() {
				w, _, ok := s.Authenticate(secret)
				assert.Assert(tb, ok && w == workspaceName(n-1))
			}}
		},
	})
	// The store calls of configuration changes. Each change reads, checks,
	// archives and writes the document.
	configChanges = register("Changes", series{
		size: "changes", unit: "store-calls", points: []int{4, 8, 16, 32},
		setup: func(tb testing.TB, n int) sample {
			counted := newCountingStore(memstore.New(clockwork.NewRealClock()).NewClient("bench"))
			s := newContractsService(counted)
			data := documentYAML(tb, 46, 40)
			var base model.Revision
			change := func() {
				text := fmt.Appendf(nil, "Revision: %d\n", base)
				r, err := s.Apply(context.Background(), append(text, data[len("Revision: 1\n"):]...), base)
				assert.NilError(tb, err)
				base = r
			}
			for range n {
				change()
			}
			return sample{float64(counted.total()), change}
		},
	})
)

func BenchmarkDocumentByWorkspaces(b *testing.B) { documentByWorkspaces.measure(b) }
func BenchmarkDocumentByTargets(b *testing.B)    { documentByTargets.measure(b) }
func BenchmarkSnapshotMemory(b *testing.B)       { snapshotMemory.measure(b) }
func BenchmarkAuthentication(b *testing.B)       { authentication.measure(b) }
func BenchmarkChanges(b *testing.B)              { configChanges.measure(b) }

// BenchmarkDocumentFullScale measures how a host applies a configuration change
// at the planned scale.
func BenchmarkDocumentFullScale(b *testing.B) {
	s := newContractsService(memstore.New(clockwork.NewRealClock()).NewClient("bench"))
	data := documentYAML(b, workspaces, targets)
	r := model.Revision(0)
	for b.Loop() {
		r++
		text := fmt.Appendf(nil, "Revision: %d\n", r)
		assert.NilError(b, s.Offer(r, append(text, data[len("Revision: 1\n"):]...)))
	}
	b.ReportMetric(float64(len(data)), "B")
}

// Guards against a document that exceeds the store's limit for values at the
// planned scale.
func TestDocumentFitsStore(t *testing.T) {
	size := len(documentYAML(t, workspaces, targets))
	assert.Assert(t, size <= store.MaxValue, "the document has %d bytes", size)
}
