package bench

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/programs"
	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/core/store/memstore"
	"mimosarelay/io/peer/peerpb"
)

// Sizes of a call. A history of 130,000 tokens in 580 turns has 224 tokens a turn,
// which are about 900 bytes at 4 bytes a token. The first turn of long programs
// is larger.
const (
	bytesPerToken = 4
	turnBytes     = 450 // of the messages, and again of the answer
)

// randomText returns words with the frequencies of natural language, so that
// repetition does not make it compress better than real messages.
func randomText(random *rand.Rand, size int) []byte {
	zipf := rand.NewZipf(random, 1.1, 3, 20_000)
	var out strings.Builder
	for out.Len() < size {
		n := zipf.Uint64()
		for w := n*2654435761 + 97; w > 0; w /= 2411 {
			out.WriteByte(byte('a' + w%26))
		}
		out.WriteByte(' ')
	}
	return []byte(out.String()[:size])
}

func programKey(i int) model.ProgramKey {
	return model.ProgramKey{Workspace: workspaceName(i % workspaces), Program: model.ProgramID(fmt.Sprintf("program-%06d", i))}
}

// callFingerprint returns the fingerprint of a call: a hash, because compression
// cannot shorten real fingerprints either.
func callFingerprint(program, call int) model.Fingerprint {
	return model.Fingerprint(fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "%d %d", program, call))))
}

// finishCall runs call n of the root program of a tree from admission to the
// sealed result.
func finishCall(tb testing.TB, t *program.Tree, n int, random *rand.Rand, messages, answer []byte) {
	now := time.Unix(int64(10*n), random.Int64N(1e9))
	number, id := model.CallNumber(n), t.Root.Program
	d := t.Admit(program.Request{
		Program: id, Call: number, Fingerprint: callFingerprint(random.Int(), n), Reserve: 4096, Messages: messages,
	}, now)
	assert.Equal(tb, d, program.Decision(program.Run{}))
	assert.NilError(tb, t.Start(id, number))
	assert.NilError(tb, t.Finish(id, number, program.Result{Answer: answer, ContentType: "application/json", Status: 200, Used: 200 + model.Tokens(random.IntN(1000))}, now))
	t.Version = t.Version.Next(1)
	assert.NilError(tb, t.Seal(program.ContentID{Program: id, Call: number}))
}

// newTree returns the tree of a program with one finished call for each turn. Half
// of a call's bytes are messages, the other half is the answer.
func newTree(tb testing.TB, i, turns, bytes int) *program.Tree {
	random := rand.New(rand.NewPCG(uint64(i), 1))
	t := program.New(programKey(i), program.Budget{}, time.Unix(0, 0))
	for n := 1; n <= turns; n++ {
		finishCall(tb, t, n, random, randomText(random, bytes/2), randomText(random, bytes/2))
	}
	return t
}

// replicaRecords returns the records that a replica holds of a tree.
func replicaRecords(tb testing.TB, t *program.Tree) []program.Record {
	head, err := t.Head()
	assert.NilError(tb, err)
	out := []program.Record{head}
	for _, id := range t.ContentIDs() {
		rs, err := t.Contents(id)
		assert.NilError(tb, err)
		out = append(out, rs...)
	}
	return out
}

// historyMemorySeries measures the memory of one program at its owner or at a
// replica, by its tokens of history.
func historyMemorySeries(replica bool) series {
	return series{size: "tokens", unit: "heap-B", points: []int{8_000, 32_000, 65_000, 130_000}, setup: func(tb testing.TB, n int) sample {
		turns := max(1, n*bytesPerToken/(2*turnBytes))
		return sample{value: heapOf(func() any {
			t := newTree(tb, 1, turns, 2*turnBytes)
			if !replica {
				return t
			}
			return replicaRecords(tb, t)
		})}
	}}
}

var (
	headSize = register("HeadSize", series{
		size: "turns", unit: "B", points: []int{36, 145, 290, 580},
		setup: func(tb testing.TB, n int) sample {
			t := newTree(tb, 1, n, 2*turnBytes)
			head, err := t.Head()
			assert.NilError(tb, err)
			return sample{float64(len(head.Data)), func() {
				_, err := t.Head()
				assert.NilError(tb, err)
			}}
		},
	})
	headCheck = register("HeadCheck", series{
		size: "turns", points: []int{36, 145, 290, 580},
		setup: func(tb testing.TB, n int) sample {
			head, err := newTree(tb, 1, n, 2*turnBytes).Head()
			assert.NilError(tb, err)
			return sample{run: func() {
				_, err := program.Identify(head.Data)
				assert.NilError(tb, err)
			}}
		},
	})
	contentSize = register("ContentSize", series{
		size: "bytes", unit: "B", points: []int{400, 1600, 6400, 25_600},
		setup: func(tb testing.TB, n int) sample {
			t := newTree(tb, 1, 1, n)
			id := t.ContentIDs()[0]
			rs, err := t.Contents(id)
			assert.NilError(tb, err)
			return sample{float64(len(rs[0].Data)), func() {
				_, err := t.Contents(id)
				assert.NilError(tb, err)
			}}
		},
	})
	ownerHistory   = register("OwnerHistory", historyMemorySeries(false))
	replicaHistory = register("ReplicaHistory", historyMemorySeries(true))
	programMemory  = register("ProgramMemory", series{
		size: "programs", unit: "heap-B", points: []int{144, 576, 1152, 2304},
		setup: func(tb testing.TB, n int) sample {
			return sample{value: heapOf(func() any {
				out := make([]*program.Tree, n)
				for i := range out {
					out[i] = newTree(tb, i, 4, 2*turnBytes)
				}
				return out
			})}
		},
	})
	programCall = register("ProgramCall", series{
		size: "turns", points: []int{36, 145, 290, 580},
		setup: func(tb testing.TB, n int) sample {
			return sample{run: newProgramFleet(tb).callAfterTurns(tb, n)}
		},
	})
	programCallByPrograms = register("ProgramCallByPrograms", series{
		size: "programs", points: []int{36, 144, 288, 576},
		setup: func(tb testing.TB, n int) sample {
			f := newProgramFleet(tb)
			numbers := make([]int, n)
			i := 0
			call := func() {
				numbers[i]++
				f.call(tb, i, numbers[i])
				i = (i + 1) % n
			}
			for range n {
				call()
			}
			return sample{run: call}
		},
	})
)

// emptyProgramPeers answers as peers without records and counts the requests of
// a takeover.
type emptyProgramPeers struct{ requests atomic.Int64 }

func (e *emptyProgramPeers) Replicate(context.Context, string, *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	return &peerpb.ReplicateResponse{}, nil
}

func (e *emptyProgramPeers) TakeShards(context.Context, string, *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	e.requests.Add(1)
	return &peerpb.TakeShardsResponse{}, nil
}

func (e *emptyProgramPeers) FetchRecords(context.Context, string, *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	e.requests.Add(1)
	return &peerpb.FetchRecordsResponse{}, nil
}

// takeoverRequests returns the number of requests to peers that one of n hosts
// sends to take over its shards in a new epoch.
func takeoverRequests(tb testing.TB, n int) float64 {
	record := newRecord(tb, n, 0)
	t := programs.Topology{Epoch: 1, Self: hostName(0)}
	for _, m := range record.Members {
		t.Members = append(t.Members, programs.Member{Host: m.Host, Incarnation: m.Incarnation, Zone: m.Zone, Address: m.PeerAddress})
	}
	t.OwnerOf = func(s model.Shard) model.HostID {
		m, _ := record.Owner(s)
		return m.Host
	}
	t.ReplicasOf = func(model.Shard) []model.HostID { return hostNames(n) }
	peers := &emptyProgramPeers{}
	clock := clockwork.NewRealClock()
	counted := newCountingStore(memstore.New(clock).NewClient("bench"))
	s := programs.New(programs.Options{Store: counted, Peers: peers, Clock: clock, MayAct: func() bool { return true }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx) // ends with ctx
	}()
	defer func() {
		cancel()
		<-done
		s.Close()
	}()
	s.EpochChanged(programs.Topology{}, t)
	for range 500 {
		// The host reads the journals from the store after it has asked all peers.
		if counted.counts().Reads > 0 {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	assert.Assert(tb, counted.counts().Reads > 0)
	return float64(peers.requests.Load())
}

var takeoverSeries = register("Takeover", series{
	size: "hosts", unit: "requests", points: hostPoints,
	setup: func(tb testing.TB, n int) sample { return sample{value: takeoverRequests(tb, n)} },
})

func BenchmarkTakeover(b *testing.B) { takeoverSeries.measure(b) }

func BenchmarkHeadSize(b *testing.B)              { headSize.measure(b) }
func BenchmarkHeadCheck(b *testing.B)             { headCheck.measure(b) }
func BenchmarkContentSize(b *testing.B)           { contentSize.measure(b) }
func BenchmarkOwnerHistory(b *testing.B)          { ownerHistory.measure(b) }
func BenchmarkReplicaHistory(b *testing.B)        { replicaHistory.measure(b) }
func BenchmarkProgramMemory(b *testing.B)         { programMemory.measure(b) }
func BenchmarkProgramCall(b *testing.B)           { programCall.measure(b) }
func BenchmarkProgramCallByPrograms(b *testing.B) { programCallByPrograms.measure(b) }

// programFleet runs the programs service of three hosts in three zones. The first
// owns all programs, the others hold the replicas.
type programFleet struct {
	services map[string]*programs.Service
	store    *countingStore
}

func newProgramFleet(tb testing.TB) *programFleet {
	clock := clockwork.NewRealClock()
	f := &programFleet{services: map[string]*programs.Service{}, store: newCountingStore(memstore.New(clock).NewClient("bench"))}
	ctx, cancel := context.WithCancel(context.Background())
	t := programs.Topology{Epoch: 1}
	for i := range 3 {
		m := newMember(i)
		t.Members = append(t.Members, programs.Member{
			Host: m.Host, Incarnation: m.Incarnation, Zone: m.Zone, Address: m.PeerAddress,
		})
	}
	t.OwnerOf = func(model.Shard) model.HostID { return hostName(0) }
	t.ReplicasOf = func(model.Shard) []model.HostID { return hostNames(3) }
	done := make(chan struct{}, len(t.Members))
	for _, m := range t.Members {
		s := programs.New(programs.Options{Store: f.store, Peers: f, Clock: clock, MayAct: func() bool { return true }})
		f.services[m.Address] = s
	}
	for _, m := range t.Members {
		s := f.services[m.Address]
		go func() {
			_ = s.Run(ctx) // ends with ctx
			done <- struct{}{}
		}()
		own := t
		own.Self = m.Host
		s.EpochChanged(programs.Topology{}, own)
	}
	tb.Cleanup(func() {
		cancel()
		for range t.Members {
			<-done
		}
		for _, s := range f.services {
			s.Close()
		}
	})
	return f
}

func (f *programFleet) owner() *programs.Service { return f.services[newMember(0).PeerAddress] }

// call runs one call of a program from start to end.
func (f *programFleet) call(tb testing.TB, i, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	body := turnContent
	d, err := f.owner().Begin(ctx, programs.CallSpec{
		Key: programKey(i), Call: model.CallNumber(n), Fingerprint: callFingerprint(i, n),
		Reserve: 4096, Messages: body,
	})
	assert.NilError(tb, err)
	run, ok := d.(*programs.Run)
	assert.Assert(tb, ok)
	assert.NilError(tb, run.Start(ctx))
	assert.NilError(tb, run.Finish(ctx, programs.Result{Answer: body, ContentType: "application/json", Status: 200, Used: 800}))
}

var turnContent = randomText(rand.New(rand.NewPCG(1, 1)), turnBytes)

// callAfterTurns returns a function that runs the next call of a program with n
// turns. Each run adds a turn, so benchmarks of it need a small fixed -benchtime.
func (f *programFleet) callAfterTurns(tb testing.TB, n int) func() {
	for c := range n {
		f.call(tb, 0, c+1)
	}
	return func() {
		n++
		f.call(tb, 0, n)
	}
}

func (f *programFleet) Replicate(ctx context.Context, a string, r *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	return f.services[a].HandleReplicate(ctx, r)
}

func (f *programFleet) TakeShards(ctx context.Context, a string, r *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	return f.services[a].HandleTakeShards(ctx, r)
}

func (f *programFleet) FetchRecords(ctx context.Context, a string, r *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	out := &peerpb.FetchRecordsResponse{}
	err := f.services[a].HandleFetchRecords(ctx, r, func(m *peerpb.FetchRecordsResponse) error {
		out.Records = append(out.Records, m.GetRecords()...)
		return nil
	})
	return out, err
}
