package orders

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/order"
	"mimosarelay/io/target"
	"mimosarelay/standin/engine"
	"mimosarelay/standin/fault"
)

func TestMain(m *testing.M) {
	// fasthttp never stops the goroutine that updates the date of responses.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// fakeRights holds a right that tests change.
type fakeRights struct {
	mu    sync.Mutex
	right Right
}

// Right implements Rights.
func (r *fakeRights) Right(model.TargetID) Right {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.right
}

func (r *fakeRights) set(x Right) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.right = x
}

func startEngine(t *testing.T, o engine.Options) (*engine.Server, config.Target, Client) {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	s, err := engine.Start(o)
	assert.NilError(t, err)
	c := Client{Targets: target.NewClient(target.Options{})}
	t.Cleanup(func() {
		assert.NilError(t, c.Targets.Close())
		assert.NilError(t, s.Close())
	})
	return s, config.Target{Name: "e", Kind: config.Engine, Address: s.Address(), ChecksFencing: !o.NoFencing}, c
}

var role = order.Order{Kind: order.SetRole, Role: "decode"}

// Guards against an earlier owner that changes an engine after a later owner did.
func TestOrderOfEarlierOwnerIsRejected(t *testing.T) {
	s, e, c := startEngine(t, engine.Options{})
	older := New(Options{Engines: c, Rights: &fakeRights{right: Right{Epoch: 3, Owner: true}}, Log: slog.New(slog.DiscardHandler)})
	newer := New(Options{Engines: c, Rights: &fakeRights{right: Right{Epoch: 4, Owner: true}}, Log: slog.New(slog.DiscardHandler)})
	_, err := older.Execute(t.Context(), e, order.Order{Kind: order.LoadModel, Model: "m", Version: "1"})
	assert.NilError(t, err)
	state, err := newer.Execute(t.Context(), e, role)
	assert.NilError(t, err)
	assert.Equal(t, state.Fence.Epoch(), model.Epoch(4))
	_, err = older.Execute(t.Context(), e, order.Order{Kind: order.SetRole, Role: "prefill"})
	assert.ErrorIs(t, err, model.ErrNoRight)
	assert.Equal(t, s.OrderState().Role, "decode")
	_, err = newer.Execute(t.Context(), e, order.Order{Kind: order.LoadAdapter, Model: "unknown", Adapter: "a"})
	assert.ErrorIs(t, err, model.ErrBadRequest)
}

// Guards against orders that are reported as failed although they took effect, or
// as executed although no response or state confirms it.
func TestLostResponsesAreResolvedByReadingState(t *testing.T) {
	s, e, c := startEngine(t, engine.Options{})
	o := New(Options{
		Engines: c, Rights: &fakeRights{right: Right{Epoch: 1, Owner: true}},
		RetryInterval: time.Millisecond, Log: slog.New(slog.DiscardHandler),
	})
	assert.NilError(t, s.SetFault(fault.Fault{LoseAnswers: 1}))
	_, err := o.Execute(t.Context(), e, role)
	assert.NilError(t, err)
	assert.Equal(t, s.OrderState().Role, "decode")
	assert.NilError(t, s.Close())
	_, err = o.Execute(t.Context(), e, role)
	assert.ErrorIs(t, err, model.ErrOutcomeUnknown)
}

// fakeEngine checks no tokens, loses all responses, and its state can be
// overwritten.
type fakeEngine struct {
	clock clockwork.Clock
	mu    sync.Mutex
	state order.State
	sent  []time.Time
	pause func() // called before beforeSend
}

// Send implements Engines.
func (e *fakeEngine) Send(_ context.Context, _ config.Target, o order.Order, beforeSend func() error) (order.State, error) {
	if e.pause != nil {
		e.pause()
	}
	if err := beforeSend(); err != nil {
		return order.State{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, e.clock.Now())
	e.state.Role = o.Role
	return order.State{}, errors.New("simulated loss of the answer to an order")
}

// State implements Engines.
func (e *fakeEngine) State(context.Context, config.Target) (order.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *fakeEngine) sendTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.sent...)
}

// Guards against an order to a target without fencing while an earlier owner may
// still act or its last order may still arrive, and against an order that is
// reported as executed although an earlier owner overwrote it.
func TestOwnerWaitsAndRereadsAtTargetWithoutFencing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	begin := clock.Now()
	e := &fakeEngine{clock: clock}
	r := &fakeRights{right: Right{Epoch: 2, Owner: true}}
	s := New(Options{Engines: e, Rights: r, Clock: clock, Log: slog.New(slog.DiscardHandler)})
	done := make(chan error, 1)
	go func() {
		_, err := s.Execute(t.Context(), config.Target{Name: "e"}, role)
		done <- err
	}()
	step := func() {
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(defaultRetryInterval)
	}
	for range 6 {
		step()
	}
	allEntered := clock.Now()
	r.set(Right{Epoch: 2, Owner: true, AllEnteredAt: allEntered})
	for len(e.sendTimes()) == 0 {
		assert.Assert(t, clock.Since(begin) < time.Minute)
		step()
	}
	assert.Assert(t, e.sendTimes()[0].Sub(allEntered) >= defaultSendTimeout, "sent %v after all members entered the epoch", e.sendTimes()[0].Sub(allEntered))
	e.mu.Lock()
	e.state.Role = "overwritten by an earlier owner"
	e.mu.Unlock()
	for {
		select {
		case err := <-done:
			assert.NilError(t, err)
			assert.Equal(t, len(e.sendTimes()), 2)
			assert.Equal(t, e.state.Role, "decode")
			return
		default:
			assert.Assert(t, clock.Since(begin) < 5*time.Minute)
			clock.Advance(defaultRetryInterval)
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// Guards against an order that is sent although the process lost its right while it
// was paused before the first byte.
func TestOrderIsNotSentAfterRightIsLost(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := &fakeRights{right: Right{Epoch: 2, Owner: true, AllEnteredAt: clock.Now().Add(-time.Hour)}}
	e := &fakeEngine{clock: clock, pause: func() { r.set(Right{Epoch: 3}) }}
	s := New(Options{Engines: e, Rights: r, Clock: clock, Log: slog.New(slog.DiscardHandler)})
	_, err := s.Execute(t.Context(), config.Target{Name: "e"}, role)
	assert.ErrorIs(t, err, model.ErrNoRight)
	assert.Equal(t, len(e.sendTimes()), 0)
	_, err = s.Execute(t.Context(), config.Target{Name: "e"}, order.Order{Kind: "Unknown"})
	assert.ErrorIs(t, err, model.ErrBadRequest)
}
