// Package orders sends commands to engines.
//
// One host, the owner of a target in the current epoch, sends it orders. For a
// target that checks fencing tokens, an order of an earlier owner is rejected
// by the target. For a target that does not, the owner first waits until the
// right of each earlier owner has ended and its last order has timed out, and
// reads the state back after each order. An order that an earlier owner sent
// takes effect at the target within SendTimeout, or the guarantee is lost: the
// state is read once more after that time and the order repeated if it was
// overwritten.
package orders

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"mimosarelay/app/wait"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/order"
)

// ErrOldFence reports an order that its target rejected because of a newer
// token.
var ErrOldFence = errors.New("fencing token is old")

// Engines sends orders and reads the state that they change. Send calls before
// immediately ahead of the first byte and sends nothing if that fails. It fails
// with the error of before, with ErrOldFence, with model.ErrBadRequest if the
// engine rejects the order for good, or with another error after which the
// order may or may not have taken effect.
type Engines interface {
	Send(ctx context.Context, t config.Target, o order.Order, before func() error) (order.State, error)
	State(ctx context.Context, t config.Target) (order.State, error)
}

// Right is a host's right to send orders to a target.
type Right struct {
	Epoch model.Epoch
	// Owner says that this host sends the orders of the target and may act
	// now.
	Owner bool
	// Settled is the time since which all members are known to have entered
	// Epoch, so that no earlier owner acts; zero if they have not yet.
	Settled time.Time
}

// Rights knows the right of this host to send orders.
type Rights interface {
	Right(t model.TargetID) Right
}

// Defaults of Options.
const (
	defaultSendTimeout = 10 * time.Second
	defaultRetryPause  = 500 * time.Millisecond
	defaultAttempts    = 5
)

// Options configures a Service. Zero values mean the defaults.
type Options struct {
	Engines Engines
	Rights  Rights
	// SendTimeout bounds an order at its target; 0 means 10 s. All hosts must
	// use the same value.
	SendTimeout time.Duration
	// RetryPause is the time between two attempts; 0 means 500 ms.
	RetryPause time.Duration
	// Attempts is the number of times an order is sent; 0 means 5.
	Attempts int
	Clock    clockwork.Clock
	Log      *slog.Logger
}

// Service sends the orders of one host. It is safe for concurrent use.
//
// Lock order: a target's lock is taken before mu, and held while its order is
// carried out, so that its tokens arrive in order.
type Service struct {
	options Options
	fences  order.TokenSource

	mu    sync.Mutex
	locks map[model.TargetID]chan struct{}
}

// New returns a Service.
func New(o Options) *Service {
	if o.SendTimeout == 0 {
		o.SendTimeout = defaultSendTimeout
	}
	if o.RetryPause == 0 {
		o.RetryPause = defaultRetryPause
	}
	if o.Attempts == 0 {
		o.Attempts = defaultAttempts
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	return &Service{options: o, locks: map[model.TargetID]chan struct{}{}}
}

func (s *Service) lock(ctx context.Context, t model.TargetID) (unlock func(), err error) {
	s.mu.Lock()
	l := s.locks[t]
	if l == nil {
		l = make(chan struct{}, 1)
		s.locks[t] = l
	}
	s.mu.Unlock()
	select {
	case l <- struct{}{}:
		return func() { <-l }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Carry carries out an order and returns the engine's state with it in effect.
// Fence is set by the service, and ID unless the caller chose one to repeat an
// earlier order. Errors unwrap to model.ErrNoRight if this host may not send
// the order, model.ErrBadRequest if the engine rejects it, or
// model.ErrOutcomeUnknown.
func (s *Service) Carry(ctx context.Context, t config.Target, o order.Order) (order.State, error) {
	if o.ID == "" {
		o.ID = uuid.NewString()
	}
	if err := o.Validate(); err != nil {
		return order.State{}, fmt.Errorf("%w: %w", model.ErrBadRequest, err)
	}
	unlock, err := s.lock(ctx, t.Name)
	if err != nil {
		return order.State{}, err
	}
	defer unlock()
	var last error
	for i := range s.options.Attempts {
		if i > 0 && !wait.For(ctx, s.options.Clock, s.options.RetryPause) {
			break
		}
		state, err := s.attempt(ctx, t, o)
		if err == nil {
			return state, nil
		}
		if errors.Is(err, model.ErrNoRight) || errors.Is(err, model.ErrBadRequest) {
			return order.State{}, err
		}
		last = err
		s.options.Log.Warn("order not confirmed", "target", t.Name, "order", o.ID, "kind", o.Kind, "error", err)
	}
	return order.State{}, fmt.Errorf("%w: order %s to %q: %w", model.ErrOutcomeUnknown, o.ID, t.Name, errors.Join(last, ctx.Err()))
}

// attempt sends the order once and confirms that it is in effect.
func (s *Service) attempt(ctx context.Context, t config.Target, o order.Order) (order.State, error) {
	epoch, err := s.await(ctx, t)
	if err != nil {
		return order.State{}, err
	}
	if o.Fence, err = s.fences.Next(epoch); err != nil {
		return order.State{}, err
	}
	if err := s.send(ctx, t, o); err != nil {
		return order.State{}, err
	}
	state, err := s.read(ctx, t, o)
	if err != nil || t.ChecksFencing {
		return state, err
	}
	if !wait.For(ctx, s.options.Clock, s.options.SendTimeout) {
		return order.State{}, ctx.Err()
	}
	return s.read(ctx, t, o)
}

// await returns the epoch in which this host may send the order.
func (s *Service) await(ctx context.Context, t config.Target) (model.Epoch, error) {
	for {
		r := s.options.Rights.Right(t.Name)
		if !r.Owner {
			return 0, fmt.Errorf("%w: another host sends the orders of target %q", model.ErrNoRight, t.Name)
		}
		if t.ChecksFencing {
			return r.Epoch, nil
		}
		rest := r.Settled.Add(s.options.SendTimeout).Sub(s.options.Clock.Now())
		if !r.Settled.IsZero() && rest <= 0 {
			return r.Epoch, nil
		}
		if r.Settled.IsZero() || rest > s.options.RetryPause {
			rest = s.options.RetryPause // the right may change meanwhile
		}
		if !wait.For(ctx, s.options.Clock, rest) {
			return 0, ctx.Err()
		}
	}
}

// send sends an order. A lost answer is no error: the state tells.
func (s *Service) send(ctx context.Context, t config.Target, o order.Order) error {
	sending, cancel := context.WithTimeout(ctx, s.options.SendTimeout)
	defer cancel()
	_, err := s.options.Engines.Send(sending, t, o, func() error { return s.check(t, o.Fence.Epoch()) })
	switch {
	case errors.Is(err, model.ErrNoRight):
		return err
	case errors.Is(err, ErrOldFence):
		return fmt.Errorf("%w: target %q: %w", model.ErrNoRight, t.Name, err)
	case errors.Is(err, model.ErrBadRequest):
		return err
	case err != nil:
		s.options.Log.Warn("answer to an order lost", "target", t.Name, "order", o.ID, "error", err)
	}
	return nil
}

// check tests the right again after a possible pause of the process.
func (s *Service) check(t config.Target, e model.Epoch) error {
	if r := s.options.Rights.Right(t.Name); !r.Owner || r.Epoch != e {
		return fmt.Errorf("%w: the right to send orders to target %q changed", model.ErrNoRight, t.Name)
	}
	return nil
}

// read checks that an order is in effect.
func (s *Service) read(ctx context.Context, t config.Target, o order.Order) (order.State, error) {
	reading, cancel := context.WithTimeout(ctx, s.options.SendTimeout)
	defer cancel()
	state, err := s.options.Engines.State(reading, t)
	if err != nil {
		return order.State{}, fmt.Errorf("read back order %s: %w", o.ID, err)
	}
	if !state.Satisfies(o) {
		return order.State{}, fmt.Errorf("order %s is not in effect", o.ID)
	}
	return state, nil
}
