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

// network connects services in memory.
type network struct {
	clock *clockwork.FakeClock
	store *memstore.Store
	mu    sync.Mutex
	hosts map[string]*Service
	down  map[string]bool
	names []string
}

// link is the network as one host sees it.
type link struct {
	net  *network
	self string
}

// Peers implements Peers.
func (l link) Peers() []string {
	var list []string
	for _, a := range l.net.names {
		if a != l.self {
			list = append(list, a)
		}
	}
	return list
}

// MarkSuspect implements Peers.
func (l link) MarkSuspect(ctx context.Context, address string, m *peerpb.MarkSuspectRequest) (*peerpb.MarkSuspectResponse, error) {
	l.net.mu.Lock()
	s := l.net.hosts[address]
	cut := l.net.down[address] || l.net.down[l.self]
	l.net.mu.Unlock()
	if cut {
		return nil, errors.New("unreachable")
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
	go n.pump(done, stopped)
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
		Host: model.HostID(address), Incarnation: func() model.Incarnation { return model.Incarnation(address) }, Self: address, Peers: link{net: n, self: address},
		Store: n.store.NewClient(address), Clock: n.clock, Log: slog.New(slog.DiscardHandler),
	})
}

// pump moves the fake clock while anyone waits for it.
func (n *network) pump(done, stopped chan struct{}) {
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

// targets crash on each request and count the runs, each at another target.
type targets struct {
	mu   sync.Mutex
	runs int
}

func (x *targets) run() model.TargetID {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs++
	return model.TargetID(fmt.Sprint("target-", x.runs))
}

// attempt sends a copy of a poison request the way the relay does.
type attempt func(s *Service, x *targets) error

func withClaim(s *Service, x *targets) error {
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

// withoutClaim is wrong: it trusts the crashes that are known before the run.
func withoutClaim(s *Service, x *targets) error {
	if _, err := s.Check("poison"); err != nil {
		return err
	}
	target := x.run()
	time.Sleep(time.Millisecond)
	s.RecordCrash(context.Background(), "poison", target)
	return nil
}

// storm sends copies through every host at the same time, three rounds of them,
// and returns the number of runs.
func storm(t *testing.T, try attempt) int {
	t.Helper()
	n := newNetwork(t, 7)
	x := &targets{}
	for range 3 {
		var group sync.WaitGroup
		for _, s := range n.hosts {
			for range 3 {
				group.Go(func() {
					for range 3 { // the caller resends
						_ = try(s, x)
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
	return x.runs
}

// Guards against a poison request that reaches a third target because copies
// of it arrive at all hosts at the same time.
func TestPoisonReachesTwoTargets(t *testing.T) {
	assert.Equal(t, storm(t, withClaim), suspect.MaxCrashes)
}

// Shows that the check of the test above rejects a service without claims.
func TestPoisonCheckerRejectsMissingClaims(t *testing.T) {
	assert.Assert(t, storm(t, withoutClaim) > suspect.MaxCrashes)
}

// Guards against refusals of identical requests that harm no target.
func TestHarmlessCopiesAllRun(t *testing.T) {
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

// owner returns the host that counts the runs of f, and another one.
func (n *network) owner(f model.Fingerprint) (owner string, other *Service) {
	owner = suspect.Owner(f, n.names)
	for _, a := range n.names {
		if a != owner {
			return owner, n.hosts[a]
		}
	}
	return owner, nil
}

// Guards against first runs that stop with one host, and against a rerun
// without a claim.
func TestOwnerUnreachable(t *testing.T) {
	n := newNetwork(t, 3)
	owner, s := n.owner("f")
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
	alone, err := n.hosts[owner].Check("f") // told before its first claim
	assert.NilError(t, err)
	assert.Assert(t, alone)
}

// Guards against marks that are lost with the hosts that know them, and
// against a host that starts without them.
func TestMarksSurviveInTheStore(t *testing.T) {
	n := newNetwork(t, 3)
	s := n.hosts[n.names[0]]
	for _, target := range []model.TargetID{"a", "b"} {
		s.RecordCrash(t.Context(), "f", target)
	}
	client := n.store.NewClient("reader")
	fresh := n.start(n.names[1])
	defer fresh.Close()
	deadline := time.Now().Add(5 * time.Second)
	for {
		entries, _, err := client.List(t.Context(), DefaultKeyPrefix)
		assert.NilError(t, err)
		fresh.EntriesChanged(entries)
		if _, err := fresh.Check("f"); errors.Is(err, model.ErrSuspect) {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "marks are not in the store")
		time.Sleep(time.Millisecond)
	}
}

// Guards against a lift that some hosts do not hear of, and against entries
// that never expire.
func TestLiftAndExpiry(t *testing.T) {
	n := newNetwork(t, 3)
	s := n.hosts[n.names[0]]
	mark := func() {
		s.RecordCrash(t.Context(), "f", "a")
		s.RecordCrash(t.Context(), "f", "b")
		for _, h := range n.hosts {
			_, err := h.Check("f")
			assert.ErrorIs(t, err, model.ErrSuspect)
		}
	}
	clear := func() {
		for _, h := range n.hosts {
			alone, err := h.Check("f")
			assert.NilError(t, err)
			assert.Assert(t, !alone)
		}
	}
	mark()
	n.clock.Advance(time.Millisecond)
	s.Lift("f")
	clear()
	n.clock.Advance(time.Millisecond)
	mark()
	n.clock.Advance(suspect.Lifetime)
	clear()
}

// Guards against an owner that stops counting a run before it knows that the
// run crashed its target.
func TestOwnerLearnsCrashBeforeEnd(t *testing.T) {
	n := newNetwork(t, 3)
	owner, s := n.owner("f")
	r, err := s.Begin(t.Context(), "f")
	assert.NilError(t, err)
	n.setDown(owner, true)
	s.RecordCrash(t.Context(), "f", "a")
	n.setDown(owner, false)
	r.End(false)
	counts := n.hosts[owner]
	for running := 1; running > 0; {
		counts.mu.Lock()
		running = counts.claims.Running()
		counts.mu.Unlock()
		time.Sleep(100 * time.Microsecond)
	}
	alone, err := counts.Check("f")
	assert.NilError(t, err)
	assert.Assert(t, alone)
}

// Guards against calls that wait for copies whose host was killed: nobody
// reports the end of these.
func TestClaimsOfRemovedHostsEnd(t *testing.T) {
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
		t.Fatalf("a third copy ran beside two others: %v", err)
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
		t.Fatal("the copy still waits for those of the removed host")
	}
}
