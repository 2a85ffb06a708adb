// Package order defines orders, the commands that hosts send to engines, the
// fencing tokens that reject orders of earlier epochs, and the check whether an
// order took effect.
package order

import (
	"fmt"
	"sync"

	"mimosarelay/core/model"
)

// Kind tells which part of an engine's state an order sets.
type Kind string

// Kinds of orders.
const (
	LoadModel   Kind = "LoadModel"
	LoadAdapter Kind = "LoadAdapter"
	SetRole     Kind = "SetRole"
)

// Order is a command that sets a part of an engine's state. It is idempotent.
// Its JSON form is the body of POST /v1/orders.
type Order struct {
	Fence   FencingToken
	Kind    Kind
	Model   string `json:",omitempty"` // LoadModel; LoadAdapter: the base model
	Adapter string `json:",omitempty"` // LoadAdapter
	Version string `json:",omitempty"` // LoadModel, LoadAdapter
	Role    string `json:",omitempty"` // SetRole
	// ID identifies the order in the engine's history.
	ID string
}

// Validate returns an error if a field that the kind of the order needs is
// missing or if the kind is unknown.
func (o Order) Validate() error {
	switch {
	case o.ID == "":
		return fmt.Errorf("order of kind %q has no ID", o.Kind)
	case o.Kind == LoadModel && o.Model == "":
		return fmt.Errorf("order %q of kind %s has no Model", o.ID, o.Kind)
	case o.Kind == LoadAdapter && (o.Adapter == "" || o.Model == ""):
		return fmt.Errorf("order %q of kind %s needs Adapter and Model", o.ID, o.Kind)
	case o.Kind == SetRole && o.Role == "":
		return fmt.Errorf("order %q of kind %s has no Role", o.ID, o.Kind)
	case o.Kind != LoadModel && o.Kind != LoadAdapter && o.Kind != SetRole:
		return fmt.Errorf("order %q has the unknown kind %q", o.ID, o.Kind)
	}
	return nil
}

// Adapter describes an adapter that an engine has loaded.
type Adapter struct {
	Model   string // base model
	Version string
}

// State is the part of an engine's state that orders set. Its JSON form is the
// response to GET /v1/orders/state.
type State struct {
	// Fence is the highest token that the engine accepted.
	Fence FencingToken
	// ChecksFencing says that the engine rejects orders with a lower token.
	ChecksFencing bool
	Models        map[string]string // version by model
	Adapters      map[string]Adapter
	Role          string
	// History holds the recently accepted orders, oldest first.
	History []Order
}

// Satisfies reports whether the part of the state that the order sets has the
// values of the order.
func (s State) Satisfies(o Order) bool {
	switch o.Kind {
	case LoadModel:
		v, ok := s.Models[o.Model]
		return ok && v == o.Version
	case LoadAdapter:
		return s.Adapters[o.Adapter] == Adapter{Model: o.Model, Version: o.Version}
	case SetRole:
		return s.Role == o.Role
	}
	return false
}

// FencingToken lets an engine reject orders of hosts that owned it in an earlier
// epoch. The upper bits hold the epoch, the lower ones a counter, so that tokens
// of a later epoch exceed all earlier ones.
type FencingToken uint64

const (
	counterBits = 24
	maxCounter  = 1<<counterBits - 1
	maxEpoch    = 1<<(64-counterBits) - 1
)

// NewFencingToken returns the token of an epoch and a counter. It fails if one of
// them does not fit into its bits.
func NewFencingToken(e model.Epoch, counter uint64) (FencingToken, error) {
	if e > maxEpoch || counter > maxCounter {
		return 0, fmt.Errorf("epoch %d or counter %d does not fit into a fencing token", e, counter)
	}
	return FencingToken(uint64(e)<<counterBits | counter), nil
}

// Epoch returns the epoch of a token.
func (t FencingToken) Epoch() model.Epoch { return model.Epoch(t >> counterBits) }

// TokenSource issues the fencing tokens of one process. Only the owner of a
// target in an epoch sends it orders, and a restarted process joins in a new
// epoch, so that no token is issued twice for a target. It is safe for
// concurrent use.
type TokenSource struct {
	mu      sync.Mutex
	epoch   model.Epoch
	counter uint64
}

// Next returns a token of epoch e that exceeds all tokens issued before. It fails
// with model.ErrNoRight if a token of a later epoch was issued.
func (s *TokenSource) Next(e model.Epoch) (FencingToken, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e < s.epoch {
		return 0, fmt.Errorf("%w: fencing tokens of epoch %d were already issued, epoch %d is older",
			model.ErrNoRight, s.epoch, e)
	}
	if e > s.epoch {
		s.epoch, s.counter = e, 0
	}
	token, err := NewFencingToken(e, s.counter+1)
	if err != nil {
		return 0, err
	}
	s.counter++
	return token, nil
}
