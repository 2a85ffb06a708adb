// Package orders sends orders, the commands that change the state of engines.
//
// Only one host, the owner of a target in the current epoch, sends orders to it. A
// target that checks fencing tokens rejects the orders of earlier owners. For a
// target that does not check them, the owner waits before its first order until
// the right of each earlier owner has ended and the last order of each has timed
// out. The owner reads the state back after each order. For a target that does not
// check tokens, it reads the state once more after SendTimeout and repeats the
// order if it was overwritten. This assumes that an order of an earlier owner takes
// effect within SendTimeout or not at all.
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

// ErrStaleToken is returned for an order that its target rejected because it has
// accepted a higher fencing token.
var ErrStaleToken = errors.New("fencing token is stale")

// Engines sends orders and reads the state that they change.
type Engines interface {
	// Send sends an order once. It calls beforeSend immediately before the first
	// byte and sends nothing if that fails. It returns the error of beforeSend,
	// ErrStaleToken, model.ErrBadRequest if the engine will never accept the order,
	// or another error after which the order may or may not have taken effect.
	Send(ctx context.Context, t config.Target, o order.Order, beforeSend func() error) (order.State, error)
	// State returns the current state of an engine.
	State(ctx context.Context, t config.Target) (order.State, error)
}

// Right is a host's right to send orders to a target.
type Right struct {
	Epoch model.Epoch
	// Owner is true if this host owns the target and may act now.
	Owner bool
	// AllEnteredAt is the time at which all members were known to have entered
	// Epoch, after which no earlier owner acts. It is zero before.
	AllEnteredAt time.Time
}

// Rights returns the current right of this host to send orders to a target.
type Rights interface {
	Right(t model.TargetID) Right
}

// Defaults of Options.
const (
	defaultSendTimeout   = 10 * time.Second
	defaultRetryInterval = 500 * time.Millisecond
	defaultAttempts      = 5
)

// Options configures a Service. Engines and Rights are required; zero values of the
// other fields mean the defaults.
type Options struct {
	Engines Engines
	Rights  Rights
	// SendTimeout limits one order and one read of the state; 0 means 10 s. All
	// hosts must use the same value, because owners wait for the orders of earlier
	// owners to time out.
	SendTimeout time.Duration
	// RetryInterval is the time between two attempts; 0 means 500 ms.
	RetryInterval time.Duration
	// Attempts is the number of times an order is sent; 0 means 5.
	Attempts int
	Clock    clockwork.Clock
	Log      *slog.Logger
}

// Service sends the orders of one host. It is safe for concurrent use.
//
// Lock order: the lock of a target is never taken while mu is held. It is held
// while an order to the target is executed, so that its tokens arrive in ascending
// order.
type Service struct {
	options Options
	tokens  order.TokenSource

	mu    sync.Mutex
	locks map[model.TargetID]chan struct{}
}

// New returns a Service.
func New(o Options) *Service {
	if o.SendTimeout == 0 {
		o.SendTimeout = defaultSendTimeout
	}
	if o.RetryInterval == 0 {
		o.RetryInterval = defaultRetryInterval
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

// Execute sends an order until it is in effect, at most Attempts times, and returns
// the state of the engine. It sets Fence, and ID if it is empty; a caller that
// repeats an earlier order sets the ID of that order. Errors unwrap to
// model.ErrNoRight if this host may not send the order, model.ErrBadRequest if the
// order is invalid or the engine rejects it, or model.ErrOutcomeUnknown.
func (s *Service) Execute(ctx context.Context, t config.Target, o order.Order) (order.State, error) {
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
		if i > 0 && !wait.For(ctx, s.options.Clock, s.options.RetryInterval) {
			break
		}
		state, err := s.sendAndConfirm(ctx, t, o)
		if err == nil {
			return state, nil
		}
		if errors.Is(err, model.ErrNoRight) || errors.Is(err, model.ErrBadRequest) {
			return order.State{}, err
		}
		last = err
		s.options.Log.Warn("failed to confirm the order", "target", t.Name, "order", o.ID, "kind", o.Kind, "error", err)
	}
	return order.State{}, fmt.Errorf("%w: order %s to %q: %w", model.ErrOutcomeUnknown, o.ID, t.Name, errors.Join(last, ctx.Err()))
}

// sendAndConfirm sends the order once and confirms that it is in effect, a second
// time after SendTimeout if the target checks no tokens.
func (s *Service) sendAndConfirm(ctx context.Context, t config.Target, o order.Order) (order.State, error) {
	epoch, err := s.awaitRight(ctx, t)
	if err != nil {
		return order.State{}, err
	}
	if o.Fence, err = s.tokens.Next(epoch); err != nil {
		return order.State{}, err
	}
	if err := s.send(ctx, t, o); err != nil {
		return order.State{}, err
	}
	state, err := s.confirm(ctx, t, o)
	if err != nil || t.ChecksFencing {
		return state, err
	}
	if !wait.For(ctx, s.options.Clock, s.options.SendTimeout) {
		return order.State{}, ctx.Err()
	}
	return s.confirm(ctx, t, o)
}

// awaitRight waits until this host may send orders to the target and returns the
// epoch of its right.
func (s *Service) awaitRight(ctx context.Context, t config.Target) (model.Epoch, error) {
	for {
		r := s.options.Rights.Right(t.Name)
		if !r.Owner {
			return 0, fmt.Errorf("%w: another host sends the orders of target %q", model.ErrNoRight, t.Name)
		}
		if t.ChecksFencing {
			return r.Epoch, nil
		}
		remaining := r.AllEnteredAt.Add(s.options.SendTimeout).Sub(s.options.Clock.Now())
		if !r.AllEnteredAt.IsZero() && remaining <= 0 {
			return r.Epoch, nil
		}
		if r.AllEnteredAt.IsZero() || remaining > s.options.RetryInterval {
			remaining = s.options.RetryInterval // the right may change in the meantime
		}
		if !wait.For(ctx, s.options.Clock, remaining) {
			return 0, ctx.Err()
		}
	}
}

// send sends an order. It returns no error if the response is lost, because the
// state shows whether the order took effect.
func (s *Service) send(ctx context.Context, t config.Target, o order.Order) error {
	sendCtx, cancel := context.WithTimeout(ctx, s.options.SendTimeout)
	defer cancel()
	_, err := s.options.Engines.Send(sendCtx, t, o, func() error { return s.verifyRight(t, o.Fence.Epoch()) })
	switch {
	case errors.Is(err, model.ErrNoRight):
		return err
	case errors.Is(err, ErrStaleToken):
		return fmt.Errorf("%w: target %q: %w", model.ErrNoRight, t.Name, err)
	case errors.Is(err, model.ErrBadRequest):
		return err
	case err != nil:
		s.options.Log.Warn("lost the response to the order", "target", t.Name, "order", o.ID, "error", err)
	}
	return nil
}

// verifyRight checks immediately before sending that this host still has its right
// in the epoch, because the process may have been paused.
func (s *Service) verifyRight(t config.Target, e model.Epoch) error {
	if r := s.options.Rights.Right(t.Name); !r.Owner || r.Epoch != e {
		return fmt.Errorf("%w: the right to send orders to target %q changed", model.ErrNoRight, t.Name)
	}
	return nil
}

// confirm reads the state of the engine and checks that an order is in effect.
func (s *Service) confirm(ctx context.Context, t config.Target, o order.Order) (order.State, error) {
	readCtx, cancel := context.WithTimeout(ctx, s.options.SendTimeout)
	defer cancel()
	state, err := s.options.Engines.State(readCtx, t)
	if err != nil {
		return order.State{}, fmt.Errorf("read back order %s: %w", o.ID, err)
	}
	if !state.Satisfies(o) {
		return order.State{}, fmt.Errorf("order %s is not in effect", o.ID)
	}
	return state, nil
}
