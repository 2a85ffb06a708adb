package placement

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet is the configuration and membership that several services share.
type fleet struct {
	clock    *clockwork.FakeClock
	snapshot atomic.Pointer[config.Snapshot]
	hosts    atomic.Pointer[[]model.HostID]
}

func newFleet(document config.Document, hosts ...model.HostID) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock()}
	f.snapshot.Store(config.NewSnapshot(&document))
	f.hosts.Store(&hosts)
	return f
}

func (f *fleet) service(host model.HostID, change func(o *Options)) *Service {
	o := Options{
		Host: host, Clock: f.clock, Snapshot: f.snapshot.Load,
		Hosts: func() []model.HostID { return *f.hosts.Load() },
	}
	if change != nil {
		change(&o)
	}
	return New(o)
}

func document(limit int, names ...model.TargetID) config.Document {
	d := config.Document{Workspaces: []config.Workspace{{Name: "w"}}}
	for _, n := range names {
		d.Targets = append(d.Targets, config.Target{
			Name: n, Kind: config.Engine, Address: "127.0.0.1:" + string(n), Models: []model.ModelID{"m"}, MaxInFlight: limit,
		})
	}
	return d
}

var request = placement.Request{Workspace: "w", Model: "m", Prompt: 100}

// acquireAll acquires places until none is free, and returns them.
func acquireAll(t *testing.T, s *Service) []Place {
	t.Helper()
	var places []Place
	for {
		p := tryAcquire(t, s)
		if p == nil {
			return places
		}
		places = append(places, p)
	}
}

func tryAcquire(t *testing.T, s *Service) Place {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	id, granted, err := s.enqueue(request)
	if err != nil {
		return nil
	}
	select {
	case target := <-granted:
		return &place{service: s, id: id, target: target}
	default:
		_, ok := s.cancelWait(id, granted)
		assert.Assert(t, !ok)
		assert.Assert(t, ctx.Err() != nil)
		return nil
	}
}

// Guards against host limits whose sum is higher than MaxInFlight, and against
// places that no host can use.
func TestHostLimitsAddUpToMaxInFlight(t *testing.T) {
	for hosts := 1; hosts <= 7; hosts++ {
		var names []model.HostID
		for i := range hosts {
			names = append(names, model.HostID(fmt.Sprint("host-", i)))
		}
		f := newFleet(document(10, "a", "b"), names...)
		total := 0
		for _, h := range names {
			total += len(acquireAll(t, f.service(h, nil)))
		}
		assert.Equal(t, total, 20)
	}
}

// Guards against hosts that cannot serve the calls of a service whose targets have
// fewer places than the fleet has hosts.
func TestMinHostLimitGivesEveryHostAPlace(t *testing.T) {
	var names []model.HostID
	for i := range 64 {
		names = append(names, model.HostID(fmt.Sprint("host-", i)))
	}
	f := newFleet(document(18, "a", "b", "c", "d", "e"), names...)
	for _, h := range names {
		s := f.service(h, func(o *Options) { o.MinHostLimit = 1 })
		assert.Assert(t, len(acquireAll(t, s)) >= 5, "%s has no place at some target", h)
	}
}

// Guards against refusals that do not distinguish a host without places from busy
// targets.
func TestRefusalStatesPlacesOfHost(t *testing.T) {
	f := newFleet(document(1, "a"), "h1", "h2")
	for _, h := range []model.HostID{"h1", "h2"} {
		s := f.service(h, nil)
		taken := len(acquireAll(t, s))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := s.Acquire(ctx, request)
		assert.ErrorContains(t, err, fmt.Sprintf("1 targets, %d places of this host, %d taken", taken, taken))
	}
}

// Guards against a host limit that rises while the removed host may still act.
func TestHostLimitRisesOnlyAfterChangeDelay(t *testing.T) {
	f := newFleet(document(10, "a"), "h1", "h2")
	s := f.service("h1", nil)
	assert.Equal(t, len(acquireAll(t, s)), 5)
	f.hosts.Store(&[]model.HostID{"h1"})
	assert.Equal(t, len(acquireAll(t, s)), 0)
	f.clock.Advance(defaultChangeDelay - time.Millisecond)
	assert.Equal(t, len(acquireAll(t, s)), 0)
	f.clock.Advance(time.Millisecond)
	assert.Equal(t, len(acquireAll(t, s)), 5)
	f.hosts.Store(&[]model.HostID{"h1", "h2", "h3"})
	assert.Equal(t, len(acquireAll(t, s)), 0)
}

// Guards against new calls at a leaving target, including calls that were waiting
// for it.
func TestLeavingTargetGetsNoNewCalls(t *testing.T) {
	d := document(1, "a")
	f := newFleet(d, "h")
	s := f.service("h", nil)
	running, err := s.Acquire(t.Context(), request)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := s.Acquire(t.Context(), request)
		done <- err
	}()
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 1)) // the call that waits
	d.Targets[0].Leaving = true
	f.snapshot.Store(config.NewSnapshot(&d))
	running.Release(placement.Usage{Prompt: 1})
	f.clock.Advance(defaultQueueWait)
	assert.ErrorIs(t, <-done, model.ErrUnavailable)
}

// Guards against refusals that come early or do not state that the call did not
// run.
func TestCallIsRefusedAsNotRunAfterQueueWait(t *testing.T) {
	f := newFleet(document(1, "a"), "h")
	s := f.service("h", nil)
	_, err := s.Acquire(t.Context(), request)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := s.Acquire(t.Context(), request)
		done <- err
	}()
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 1))
	f.clock.Advance(defaultQueueWait - time.Millisecond)
	select {
	case err := <-done:
		t.Fatalf("refused early: %v", err)
	default:
	}
	f.clock.Advance(time.Millisecond)
	err = <-done
	var refusal *model.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.ErrorIs(t, err, model.ErrUnavailable)
	assert.Equal(t, refusal.Ran, model.RanNo)
	assert.Assert(t, refusal.RetryAfter > 0)
	_, err = s.Acquire(t.Context(), placement.Request{Workspace: "w", Model: "unknown"})
	assert.ErrorIs(t, err, model.ErrUnavailable)
}

// Guards against places that are never freed when a caller cancels its call while
// the call is granted a place.
func TestCancelledCallsLeakNoPlace(t *testing.T) {
	f := newFleet(document(2, "a", "b"), "h")
	s := f.service("h", nil)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			if i%3 == 0 {
				go cancel()
			}
			defer cancel()
			if p, err := s.Acquire(ctx, request); err == nil {
				p.Release(placement.Usage{Prompt: 10})
				p.Release(placement.Usage{Prompt: 10}) // a second release frees no other place
			}
		})
	}
	group.Wait()
	assert.Equal(t, len(acquireAll(t, s)), 4)
	assert.Equal(t, len(s.waiters), 0)
}

// fakeProber reports targets as unreachable while down, and counts its probes.
type fakeProber struct {
	down   atomic.Bool
	probes atomic.Int32
	done   chan struct{}
}

// Reachable implements Prober.
func (p *fakeProber) Reachable(context.Context, string) bool {
	p.probes.Add(1)
	defer func() { p.done <- struct{}{} }()
	return !p.down.Load()
}

// Guards against calls to a target that refuses connections, against probes
// without backoff, and against a target that is not used again once it is
// reachable.
func TestUnreachableTargetIsProbedWithBackoff(t *testing.T) {
	f := newFleet(document(1, "a"), "h")
	p := &fakeProber{done: make(chan struct{}, 100)}
	s := f.service("h", func(o *Options) { o.Prober = p })
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error)
	go func() { stopped <- s.Run(ctx) }()
	assert.NilError(t, f.clock.BlockUntilContext(ctx, 2))
	p.down.Store(true)
	first, err := s.Acquire(ctx, request)
	assert.NilError(t, err)
	first.Release(placement.Usage{Failed: true})
	<-p.done
	assert.Assert(t, tryAcquire(t, s) == nil)
	lastProbeStep := 0
	for step := range 300 { // 30 s in steps of a tick
		before := p.probes.Load()
		f.clock.Advance(tickInterval)
		awaitTickAndProbe(s, p)
		if p.probes.Load() > before {
			lastProbeStep = step
		}
	}
	n := p.probes.Load()
	assert.Assert(t, n >= 5 && n <= 12, "%d probes in 30 s", n) // 100 ms doubling to 10 s
	assert.Assert(t, lastProbeStep > 100)
	p.down.Store(false)
	for range 101 {
		f.clock.Advance(tickInterval)
		awaitTickAndProbe(s, p)
	}
	assert.Assert(t, tryAcquire(t, s) != nil)
	cancel()
	assert.ErrorIs(t, <-stopped, context.Canceled)
}

// awaitTickAndProbe waits until no probe is due or running.
func awaitTickAndProbe(s *Service, p *fakeProber) {
	for i := 0; i < 10_000; i++ {
		s.mu.Lock()
		due, h := false, s.health["a"]
		if h != nil && h.skip {
			due = h.probing || !s.options.Clock.Now().Before(h.probeAt)
		}
		s.mu.Unlock()
		if !due {
			break
		}
		time.Sleep(50 * time.Microsecond)
	}
	for len(p.done) > 0 {
		<-p.done
	}
}

type staticLoads map[model.TargetID]placement.Load

// Load implements LoadSource.
func (l staticLoads) Load(_ context.Context, t config.Target) (placement.Load, error) {
	return l[t.Name], nil
}

// Guards against load reports that are read but not used to choose targets.
func TestLoadReportsAffectTargetChoice(t *testing.T) {
	f := newFleet(document(100, "a", "b"), "h")
	at := f.clock.Now()
	s := f.service("h", func(o *Options) {
		o.Loads = staticLoads{"a": {At: at, Running: 60}, "b": {At: at}}
	})
	s.tick()
	for _, engine := range s.usedEngines() {
		s.pollLoad(t.Context(), engine)
	}
	for range 20 {
		p := tryAcquire(t, s)
		assert.Equal(t, p.Target().Name, model.TargetID("b"))
	}
}

// Guards against calls to a paused target, and against a pause that ends too early or never.
func TestPausedTargetGetsNoCalls(t *testing.T) {
	f := newFleet(document(2, "a"), "h1")
	s := f.service("h1", nil)
	s.Pause("a", time.Second)
	s.Pause("a", 100*time.Millisecond)
	assert.Assert(t, tryAcquire(t, s) == nil)
	f.clock.Advance(500 * time.Millisecond)
	assert.Assert(t, tryAcquire(t, s) == nil)
	granted := make(chan Place, 1)
	go func() {
		p, err := s.Acquire(t.Context(), request)
		assert.Check(t, err)
		granted <- p
	}()
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 2)) // the timers of the pause and of Acquire
	f.clock.Advance(500 * time.Millisecond)
	(<-granted).Release(placement.Usage{Prompt: 1})
}
