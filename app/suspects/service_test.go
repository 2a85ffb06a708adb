package suspects

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
	"mimosarelay/core/store/memstore"
	"mimosarelay/core/suspect"
	"mimosarelay/io/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network connects the services of several hosts in memory.
type network struct {
	clock *clockwork.FakeClock
	store *memstore.Store
	mu    sync.Mutex
	hosts map[string]*Service
	down  map[string]bool
	names []string
}

// hostPeers is the Peers of one host of a network.
type hostPeers struct {
	net  *network
	self string
}

// Peers implements Peers.
func (p hostPeers) Peers() []string {
	var addresses []string
	for _, a := range p.net.names {
		if a != p.self {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// MarkSuspect implements Peers.
func (p hostPeers) MarkSuspect(ctx context.Context, address string, m *peerpb.MarkSuspectRequest) (*peerpb.MarkSuspectResponse, error) {
	p.net.mu.Lock()
	s := p.net.hosts[address]
	unreachable := p.net.down[address] || p.net.down[p.self]
	p.net.mu.Unlock()
	if unreachable {
		return nil, errors.New("simulated failure to reach the peer")
	}
	return s.HandleMarkSuspect(ctx, m)
}

func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

func newNetwork(t *testing.T, hosts int) *network {
	t.Helper()
	clock := clockwork.NewFakeClock()
	n := &network{clock: clock, store: memstore.New(clock), hosts: map[string]*Service{}, down: map[string]bool{}}
	for i := range hosts {
		n.names = append(n.names, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for _, a := range n.names {
		n.hosts[a] = n.start(a)
	}
	done := make(chan struct{})
	stopped := make(chan struct{})
	go n.advanceClock(done, stopped)
	t.Cleanup(func() {
		for _, s := range n.hosts {
			s.Close()
		}
		close(done)
		<-stopped
	})
	return n
}

func (n *network) start(address string) *Service {
	return New(Options{
		Host: model.HostID(address), Incarnation: func() model.Incarnation { return model.Incarnation(address) }, Self: address, Peers: hostPeers{net: n, self: address},
		Store: n.store.NewClient(address), Clock: n.clock, Log: slog.New(slog.DiscardHandler),
	})
}

// advanceClock advances the fake clock until done is closed.
func (n *network) advanceClock(done, stopped chan struct{}) {
	defer close(stopped)
	for {
		select {
		case <-done:
			return
		default:
			n.clock.Advance(10 * time.Millisecond)
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// crashingTargets counts runs. Each run is at another target.
type crashingTargets struct {
	mu   sync.Mutex
	runs int
}

func (x *crashingTargets) run() model.TargetID {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs++
	return model.TargetID(fmt.Sprint("target-", x.runs))
}

// sendFunc sends a copy of a request that crashes each target.
type sendFunc func(s *Service, x *crashingTargets) error

// sendWithClaim claims the run as the relay does.
func sendWithClaim(s *Service, x *crashingTargets) error {
	r, err := s.Begin(context.Background(), "poison")
	if err != nil {
		return err
	}
	target := x.run()
	time.Sleep(time.Millisecond) // the target works before it crashes
	s.RecordCrash(context.Background(), "poison", target)
	r.End(false)
	return nil
}

// sendWithoutClaim is wrong on purpose: it only checks the crashes that are known
// before the run.
func sendWithoutClaim(s *Service, x *crashingTargets) error {
	if _, err := s.Check("poison"); err != nil {
		return err
	}
	target := x.run()
	time.Sleep(time.Millisecond)
	s.RecordCrash(context.Background(), "poison", target)
	return nil
}

// sendCopies sends copies through all hosts at the same time, in three rounds, and
// returns the number of runs.
func sendCopies(t *testing.T, send sendFunc) int {
	t.Helper()
	n := newNetwork(t, 7)
	targets := &crashingTargets{}
	for range 3 {
		var group sync.WaitGroup
		for _, s := range n.hosts {
			for range 3 {
				group.Go(func() {
					for range 3 { // the caller retries
						_ = send(s, targets)
					}
				})
			}
		}
		group.Wait()
	}
	for _, s := range n.hosts {
		_, err := s.Check("poison")
		assert.ErrorIs(t, err, model.ErrSuspect)
	}
	return targets.runs
}

// Guards against a crashing request that reaches a third target because copies of
// it arrive at all hosts at the same time.
func TestPoisonRequestReachesAtMostTwoTargets(t *testing.T) {
	assert.Equal(t, sendCopies(t, sendWithClaim), suspect.MaxCrashes)
}

// Verifies that the check of the test above fails without claims.
func TestPoisonCheckDetectsMissingClaims(t *testing.T) {
	assert.Assert(t, sendCopies(t, sendWithoutClaim) > suspect.MaxCrashes)
}

// Guards against refusals of identical requests that crash no target.
func TestIdenticalHarmlessRequestsAllRun(t *testing.T) {
	n := newNetwork(t, 7)
	var group sync.WaitGroup
	errs := make(chan error, 100)
	for _, s := range n.hosts {
		for range 5 {
			group.Go(func() {
				r, err := s.Begin(t.Context(), "good")
				errs <- err
				if err == nil {
					time.Sleep(time.Millisecond)
					r.End(true)
				}
			})
		}
	}
	group.Wait()
	close(errs)
	for err := range errs {
		assert.NilError(t, err)
	}
}

// ownerOf returns the address of the owner of f and the service of another host.
func (n *network) ownerOf(f model.Fingerprint) (owner string, other *Service) {
	owner = suspect.Owner(f, n.names)
	for _, a := range n.names {
		if a != owner {
			return owner, n.hosts[a]
		}
	}
	return owner, nil
}

// Guards against first runs that fail because their owner is unreachable, and
// against reruns without a claim.
func TestUnreachableOwnerBlocksRerunsOnly(t *testing.T) {
	n := newNetwork(t, 3)
	owner, s := n.ownerOf("f")
	n.setDown(owner, true)
	r, err := s.Begin(t.Context(), "f")
	assert.NilError(t, err)
	s.RecordCrash(t.Context(), "f", "a")
	r.End(false)
	_, err = s.Begin(t.Context(), "f")
	var refusal *model.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.ErrorIs(t, err, model.ErrUnavailable)
	assert.Equal(t, refusal.Ran, model.RanNo)
	n.setDown(owner, false)
	r, err = s.Begin(t.Context(), "f")
	assert.NilError(t, err)
	assert.Assert(t, r.Exclusive())
	exclusive, err := n.hosts[owner].Check("f") // it received the crash before the claim
	assert.NilError(t, err)
	assert.Assert(t, exclusive)
}

// Guards against crashes that are lost with the hosts that know them, and against
// a host that starts without the stored crashes.
func TestCrashesAreRestoredFromStore(t *testing.T) {
	n := newNetwork(t, 3)
	s := n.hosts[n.names[0]]
	for _, target := range []model.TargetID{"a", "b"} {
		s.RecordCrash(t.Context(), "f", target)
	}
	client := n.store.NewClient("reader")
	restarted := n.start(n.names[1])
	defer restarted.Close()
	deadline := time.Now().Add(5 * time.Second)
	for {
		entries, _, err := client.List(t.Context(), DefaultKeyPrefix)
		assert.NilError(t, err)
		restarted.EntriesChanged(entries)
		if _, err := restarted.Check("f"); errors.Is(err, model.ErrSuspect) {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "the crashes were not written to the store")
		time.Sleep(time.Millisecond)
	}
}

// Guards against a lift that does not reach all hosts, and against entries that
// never expire.
func TestLiftAndExpiryClearCrashesOnAllHosts(t *testing.T) {
	n := newNetwork(t, 3)
	s := n.hosts[n.names[0]]
	crash := func() {
		s.RecordCrash(t.Context(), "f", "a")
		s.RecordCrash(t.Context(), "f", "b")
		for _, h := range n.hosts {
			_, err := h.Check("f")
			assert.ErrorIs(t, err, model.ErrSuspect)
		}
	}
	assertClear := func() {
		for _, h := range n.hosts {
			exclusive, err := h.Check("f")
			assert.NilError(t, err)
			assert.Assert(t, !exclusive)
		}
	}
	crash()
	n.clock.Advance(time.Millisecond)
	s.Lift("f")
	assertClear()
	n.clock.Advance(time.Millisecond)
	crash()
	n.clock.Advance(suspect.Lifetime)
	assertClear()
}

// Guards against an owner that receives the end of a run before the crash that the
// run caused.
func TestOwnerReceivesCrashBeforeEndOfRun(t *testing.T) {
	n := newNetwork(t, 3)
	owner, s := n.ownerOf("f")
	r, err := s.Begin(t.Context(), "f")
	assert.NilError(t, err)
	n.setDown(owner, true)
	s.RecordCrash(t.Context(), "f", "a")
	n.setDown(owner, false)
	r.End(false)
	ownerService := n.hosts[owner]
	for running := 1; running > 0; {
		ownerService.mu.Lock()
		running = ownerService.claims.Running()
		ownerService.mu.Unlock()
		time.Sleep(100 * time.Microsecond)
	}
	exclusive, err := ownerService.Check("f")
	assert.NilError(t, err)
	assert.Assert(t, exclusive)
}

// Guards against calls that wait for copies of a killed host, whose end nobody
// reports.
func TestClaimsOfRemovedHostsAreDropped(t *testing.T) {
	n := newNetwork(t, 3)
	const content = model.Fingerprint("same")
	for range 2 {
		_, err := n.hosts[n.names[0]].Begin(context.Background(), content)
		assert.NilError(t, err)
	}
	began := make(chan error, 1)
	go func() {
		_, err := n.hosts[n.names[1]].Begin(context.Background(), content)
		began <- err
	}()
	select {
	case err := <-began:
		t.Fatalf("a third copy was not held back by two running ones: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	live := []model.Incarnation{model.Incarnation(n.names[1]), model.Incarnation(n.names[2])}
	for _, a := range n.names {
		n.hosts[a].MembersChanged(live)
	}
	select {
	case err := <-began:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the copy still waits for the copies of the removed host")
	}
}
