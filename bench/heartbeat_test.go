package bench

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/fleet"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/core/store/memstore"
	"mimosarelay/io/peer"
	"mimosarelay/io/peer/peerpb"
)

// countingListener counts the bytes read and written on all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// heartbeatHandler answers heartbeats as a member of the fleet does.
type heartbeatHandler struct {
	peerpb.DRPCPeerUnimplementedServer
	service *fleet.Service
}

func (h *heartbeatHandler) Heartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return h.service.HandleHeartbeat(ctx, r)
}

// unreachableFleetPeers fails each heartbeat.
type unreachableFleetPeers struct{}

func (unreachableFleetPeers) Heartbeat(context.Context, string, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return nil, fmt.Errorf("send a heartbeat to a peer: %w", model.ErrUnavailable)
}

// newFleetMember returns a running member of a fleet of n hosts, and a heartbeat
// of the last other member, or of itself if n is 1. The store holds the entries
// in others too.
func newFleetMember(tb testing.TB, n int, others ...store.Entry) (*fleet.Service, *peerpb.HeartbeatRequest) {
	s := memstore.New(clockwork.NewRealClock())
	client := s.NewClient("bench")
	record := newRecord(tb, n, 0)
	self := record.Members[0]
	record.Members = record.Members[1:] // the service joins by itself
	ctx, cancel := context.WithCancel(context.Background())
	for _, m := range record.Members {
		_, err := client.Hold(ctx, "Lease/"+string(m.Host), []byte(m.Incarnation), time.Hour)
		assert.NilError(tb, err)
	}
	data, err := record.Encode()
	assert.NilError(tb, err)
	_, err = client.Put(ctx, "Membership", data, 0)
	assert.NilError(tb, err)
	for _, e := range others {
		_, err := client.Put(ctx, e.Key, e.Value, 0)
		assert.NilError(tb, err)
	}
	service := fleet.New(fleet.Options{
		Store: client, Peers: unreachableFleetPeers{}, Self: self,
		ConfigRevision: func() model.Revision { return 1 },
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = service.Run(ctx) // ends with ctx
	}()
	tb.Cleanup(func() {
		cancel()
		<-done
	})
	for range 500 {
		if len(service.View().Members) == n {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(tb, len(service.View().Members), n)
	if n == 1 {
		return service, newHeartbeat(self, 1000)
	}
	return service, newHeartbeat(record.Members[n-2], 1001)
}

func newHeartbeat(m member.Member, e model.Epoch) *peerpb.HeartbeatRequest {
	return &peerpb.HeartbeatRequest{
		Sender:         &peerpb.Sender{Host: string(m.Host), Incarnation: string(m.Incarnation), Epoch: uint64(e)},
		ConfigRevision: 100_000,
	}
}

// newHeartbeatRound returns a function that sends heartbeats to n peers on
// loopback at the same time, and a counter of the bytes that the peers exchanged.
func newHeartbeatRound(tb testing.TB, n int) (run func(), bytes *atomic.Int64) {
	service, request := newFleetMember(tb, n)
	ctx, cancel := context.WithCancel(context.Background())
	client := peer.NewClient(peer.Options{})
	bytes = &atomic.Int64{}
	var servers sync.WaitGroup
	var addresses []string
	for range n {
		l, err := peer.Listen("127.0.0.1:0", nil)
		assert.NilError(tb, err)
		addresses = append(addresses, l.Addr().String())
		servers.Go(func() { _ = peer.Serve(ctx, countingListener{l, bytes}, &heartbeatHandler{service: service}) }) // ends with ctx
	}
	tb.Cleanup(func() {
		assert.NilError(tb, client.Close())
		cancel()
		servers.Wait()
	})
	return func() {
		var calls sync.WaitGroup
		for _, a := range addresses {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
				defer cancel()
				_, err := client.Heartbeat(ctx, a, request)
				assert.Check(tb, err)
			})
		}
		calls.Wait()
	}, bytes
}

var (
	// One heartbeat to each peer, both sent and answered in this process. This is
	// as much as a host sends and answers in one heartbeat period.
	heartbeats = register("Heartbeats", series{
		size: "hosts", unit: "B", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			run, bytes := newHeartbeatRound(tb, n)
			run() // opens the connections
			before := bytes.Load()
			run()
			return sample{float64(bytes.Load() - before), run}
		},
	})
	heartbeatMemory = register("HeartbeatMemory", series{
		size: "hosts", unit: "heap-B", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			before := heapInUse() + stacksInUse()
			run, _ := newHeartbeatRound(tb, n)
			run()
			return sample{value: heapInUse() + stacksInUse() - before}
		},
	})
	heartbeatAnswer = register("HeartbeatAnswer", series{
		size: "hosts", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			service, request := newFleetMember(tb, n)
			return sample{run: func() {
				_, err := service.HandleHeartbeat(context.Background(), request)
				assert.NilError(tb, err)
			}}
		},
	})
	// The size of one answer to a host's watch of the control prefix: all values,
	// and the keys of the entry reports and leases.
	watchAnswer = register("WatchAnswer", series{
		size: "hosts", unit: "B", points: hostPoints,
		setup: func(tb testing.TB, n int) sample {
			var size int
			record, err := newRecord(tb, n, 1).Encode()
			assert.NilError(tb, err)
			size += len(record)
			for _, e := range append(entryReports(tb, newMembership(n), workspaces, n), leaseEntries(n)...) {
				size += len(e.Key) + len(e.Value)
			}
			return sample{value: float64(size + len(documentYAML(tb, workspaces, targets)))}
		},
	})
)

// leaseEntries returns the lease entries of n hosts in the store.
func leaseEntries(n int) []store.Entry {
	var out []store.Entry
	for i := range n {
		m := newMember(i)
		out = append(out, store.Entry{Key: "mimosarelay/control/Lease/" + string(m.Host), Value: []byte(m.Incarnation)})
	}
	return out
}

func BenchmarkHeartbeats(b *testing.B)      { heartbeats.measure(b) }
func BenchmarkHeartbeatMemory(b *testing.B) { heartbeatMemory.measure(b) }
func BenchmarkHeartbeatAnswer(b *testing.B) { heartbeatAnswer.measure(b) }
func BenchmarkWatchAnswer(b *testing.B)     { watchAnswer.measure(b) }
