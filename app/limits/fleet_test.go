package limits

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

const (
	hostCount   = 7
	oneWayDelay = 1500 * time.Microsecond
	// rightLapsesAfter is when an isolated host loses the right to act: a LeaseTTL
	// of 3 s less the safety margin. removedAfter is when the other members have
	// seen its lease expire.
	rightLapsesAfter = 2500 * time.Millisecond
	removedAfter     = 4 * time.Second
)

var errMessageLost = errors.New("simulated loss of a message between hosts")

// memoryStore holds the entry of SharesKey. Requests take 2 ms. Tests can make it
// unavailable and make it lose the response to a write.
type memoryStore struct {
	store.Store
	mu             sync.Mutex
	entry          store.Entry
	down           bool
	loseNextAnswer bool
}

func (m *memoryStore) Get(context.Context, string) (store.Entry, error) {
	time.Sleep(2 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return store.Entry{}, store.ErrUnavailable
	}
	if m.entry.Version == 0 {
		return store.Entry{}, store.ErrNotFound
	}
	return m.entry, nil
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	time.Sleep(2 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down:
		return 0, store.ErrUnavailable
	case m.entry.Version != prev:
		return 0, store.ErrConflict
	}
	m.entry = store.Entry{Key: key, Value: value, Version: prev + 1}
	if m.loseNextAnswer {
		m.loseNextAnswer = false
		return 0, store.ErrUnknown
	}
	return m.entry.Version, nil
}

// node is one process of a host in a testFleet.
type node struct {
	fleet       *testFleet
	host        model.HostID
	incarnation model.Incarnation
	service     *Service
	isolated    bool // reaches neither peers nor the store
	dead        bool
	removed     bool      // is not a member of new epochs
	rightEnd    time.Time // end of the right to act; zero while the lease is renewed
}

// testFleet runs seven hosts in a synctest bubble and takes the place of the
// membership service.
type testFleet struct {
	t             *testing.T
	random        *rand.Rand
	mu            sync.Mutex
	nodes         map[model.HostID]*node
	epoch         model.Epoch
	reports       map[model.HostID]EntryReport
	store         *memoryStore
	document      *config.Document
	burstSlack    float64 // Options.BurstSlack
	messageFaults bool    // messages are lost, delayed and duplicated
	loseAnswers   bool    // the response to every transfer request is lost
	creditTwice   bool    // hosts credit each transfer twice, a deliberate fault
	processCount  int
	startedAt     time.Time
	requestCounts map[string]int // transfer requests per workspace
	wg            sync.WaitGroup
	done          chan struct{}
}

func newTestFleet(t *testing.T, seed uint64, document *config.Document) *testFleet {
	return newTestFleetWithSlack(t, seed, document, 0)
}

func newTestFleetWithSlack(t *testing.T, seed uint64, document *config.Document, slack float64) *testFleet {
	f := &testFleet{
		burstSlack: slack,
		t:          t, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[model.HostID]*node{},
		reports: map[model.HostID]EntryReport{}, store: &memoryStore{}, document: document, done: make(chan struct{}),
		startedAt: time.Now(), requestCounts: map[string]int{},
	}
	for i := range hostCount {
		f.start(model.HostID(fmt.Sprintf("h%d", i)))
	}
	f.newEpoch()
	f.wg.Go(f.deliverWatches)
	return f
}

func (f *testFleet) close() {
	close(f.done)
	f.wg.Wait()
	for _, n := range f.nodes {
		n.service.Close()
	}
}

func (f *testFleet) start(h model.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processCount++
	n := &node{fleet: f, host: h, incarnation: model.Incarnation(fmt.Sprint("p", f.processCount))}
	n.service = New(Options{
		Host: h, Clock: clockwork.NewRealClock(), Store: f.store, Peers: n, MayAct: n.mayAct, BurstSlack: f.burstSlack,
		Unresponsive: func(h model.HostID) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			other := f.nodes[h]
			return other.dead || other.isolated
		},
	})
	n.service.ContractsChanged(f.document)
	f.nodes[h] = n
}

// logRequestRates logs the transfer requests per second of each workspace.
func (f *testFleet) logRequestRates() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.requestCounts {
		f.t.Logf("workspace %q: %.1f transfer requests per second", id, float64(n)/time.Since(f.startedAt).Seconds())
	}
}

func (f *testFleet) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *testFleet) node(h model.HostID) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[h]
}

func (n *node) mayAct() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return !n.dead && (n.rightEnd.IsZero() || time.Now().Before(n.rightEnd))
}

func (n *node) reachable() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return !n.dead && !n.isolated
}

// MoveShare implements Peers. It delays, loses and duplicates messages as the fleet
// is configured.
func (n *node) MoveShare(ctx context.Context, address string, r *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	f := n.fleet
	f.mu.Lock()
	f.requestCounts[r.GetWorkspace()]++
	f.mu.Unlock()
	time.Sleep(oneWayDelay)
	to := f.node(model.HostID(address))
	fault := f.randomFloat()
	if !f.messageFaults {
		fault = 1
	}
	if !n.reachable() || !to.reachable() || fault < 0.05 {
		<-ctx.Done()
		return nil, errMessageLost
	}
	response, err := to.service.HandleMoveShare(ctx, proto.Clone(r).(*peerpb.MoveShareRequest))
	if err != nil {
		return nil, err
	}
	switch {
	case fault < 0.10, f.losesAnswers():
		<-ctx.Done()
		return nil, errMessageLost
	case fault < 0.15: // the response is delayed
		time.Sleep(time.Duration(f.randomFloat() * float64(400*time.Millisecond)))
	case fault < 0.20: // the request is duplicated
		if response, err = to.service.HandleMoveShare(ctx, r); err != nil {
			return nil, err
		}
	}
	time.Sleep(oneWayDelay)
	if f.creditTwice {
		n.creditDuplicate(r, response)
	}
	return response, nil
}

func (f *testFleet) setLoseAnswers(lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = lose
}

func (f *testFleet) losesAnswers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loseAnswers
}

// creditDuplicate credits a response under a second transfer id, like a host that
// does not detect duplicate transfers.
func (n *node) creditDuplicate(request *peerpb.MoveShareRequest, response *peerpb.MoveShareResponse) {
	again := proto.Clone(response).(*peerpb.MoveShareResponse)
	again.TransferId += " again"
	s := n.service
	s.mu.Lock()
	defer s.mu.Unlock()
	id := model.WorkspaceID(request.GetWorkspace())
	if ws, ok := s.workspaces[id]; ok && s.ledger.OpenTransfer(s.ledger.Epoch(), again.TransferId, id) == nil {
		s.credit(id, ws, &peerState{}, 0, again)
	}
}

// newEpoch starts an epoch whose members are the hosts that are not removed. Each
// reachable host enters it after a random delay.
func (f *testFleet) newEpoch() {
	f.mu.Lock()
	f.epoch++
	m := Membership{Epoch: f.epoch}
	var nodes []*node
	for i := range hostCount {
		n := f.nodes[model.HostID(fmt.Sprintf("h%d", i))]
		if n.removed {
			continue
		}
		if !n.dead && !n.isolated {
			nodes = append(nodes, n)
		}
		m.Members = append(m.Members, Member{Host: n.host, Incarnation: n.incarnation, PeerAddress: string(n.host)})
	}
	f.mu.Unlock()
	for _, n := range nodes {
		delay := time.Duration(f.randomFloat() * float64(500*time.Millisecond))
		f.wg.Go(func() {
			time.Sleep(delay)
			own := m
			own.Incarnation = n.incarnation
			n.service.EpochChanged(own)
			f.recordEntryReport(n, m.Epoch)
		})
	}
}

func (f *testFleet) recordEntryReport(n *node, epoch model.Epoch) {
	holdings := n.service.Holdings(epoch)
	f.mu.Lock()
	defer f.mu.Unlock()
	if holdings != nil && !n.dead && !n.isolated {
		f.reports[n.host] = EntryReport{Host: n.host, Incarnation: n.incarnation, Epoch: epoch, Holdings: holdings}
	}
}

// deliverWatches delivers the entry reports and the settlement rounds to the hosts
// that reach the store.
func (f *testFleet) deliverWatches() {
	for {
		select {
		case <-f.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		f.store.mu.Lock()
		down, shares := f.store.down, f.store.entry
		f.store.mu.Unlock()
		if down {
			continue
		}
		f.mu.Lock()
		var entries []store.Entry
		for h, r := range f.reports {
			value, err := json.Marshal(r)
			if err != nil {
				f.t.Error(err)
			}
			entries = append(entries, store.Entry{Key: EnterPrefix + string(h), Value: value})
		}
		var nodes []*node
		for _, n := range f.nodes {
			if !n.dead && !n.isolated {
				nodes = append(nodes, n)
			}
		}
		f.mu.Unlock()
		for _, n := range nodes {
			n.service.EntriesChanged(entries)
			if shares.Version > 0 {
				n.service.SharesChanged([]store.Entry{shares})
			}
		}
	}
}

// kill ends the process of a host and removes the host after removedAfter.
func (f *testFleet) kill(h model.HostID) {
	n := f.node(h)
	f.mu.Lock()
	n.dead = true
	f.mu.Unlock()
	n.service.Close()
	time.Sleep(removedAfter)
	f.remove(n)
}

func (f *testFleet) remove(n *node) {
	f.mu.Lock()
	n.removed = true
	f.mu.Unlock()
	f.newEpoch()
}

// isolate disconnects a host from its peers and the store, and lets it rejoin with a
// new incarnation. Its old process continues to handle requests meanwhile.
func (f *testFleet) isolate(h model.HostID, d time.Duration) {
	n := f.node(h)
	f.mu.Lock()
	n.isolated = true
	n.rightEnd = time.Now().Add(rightLapsesAfter)
	f.mu.Unlock()
	time.Sleep(max(d, removedAfter))
	f.remove(n)
	time.Sleep(time.Second)
	n.service.Close()
	f.start(h)
	f.newEpoch()
}

// totalShares returns the sum of the shares of an account that the hosts in the
// newest epoch hold.
func (f *testFleet) totalShares(account model.WorkspaceID) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum int64
	for _, n := range f.nodes {
		n.service.mu.Lock()
		if n.service.ledger.Epoch() == f.epoch && n.service.isMember && !n.dead {
			sum += n.service.ledger.Held(account)
		}
		n.service.mu.Unlock()
	}
	return sum
}
