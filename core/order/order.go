// Package order decides when a host may send an engine a command, with which
// fencing token, and whether the command took effect.
package order

import (
	"fmt"
	"sync"

	"mimosarelay/core/model"
)

// Kind is the kind of an order.
type Kind string

// Kinds of orders.
const (
	LoadModel   Kind = "LoadModel"
	LoadAdapter Kind = "LoadAdapter"
	SetRole     Kind = "SetRole"
)

// Order sets a part of an engine's state. Repeating it changes nothing. The
// JSON form is the body of POST /v1/orders.
type Order struct {
	Fence   FencingToken
	Kind    Kind
	Model   string `json:",omitempty"` // LoadModel; LoadAdapter: the base model
	Adapter string `json:",omitempty"` // LoadAdapter
	Version string `json:",omitempty"` // LoadModel, LoadAdapter
	Role    string `json:",omitempty"` // SetRole
	// ID finds the order in the engine's history.
	ID string
}

// Validate reports an incomplete order.
func (o Order) Validate() error {
	switch {
	case o.ID == "":
		return fmt.Errorf("order has no ID")
	case o.Kind == LoadModel && o.Model == "":
		return fmt.Errorf("order %s has no Model", o.Kind)
	case o.Kind == LoadAdapter && (o.Adapter == "" || o.Model == ""):
		return fmt.Errorf("order %s needs Adapter and Model", o.Kind)
	case o.Kind == SetRole && o.Role == "":
		return fmt.Errorf("order %s has no Role", o.Kind)
	case o.Kind != LoadModel && o.Kind != LoadAdapter && o.Kind != SetRole:
		return fmt.Errorf("unknown kind of order %q", o.Kind)
	}
	return nil
}

// Adapter is a loaded adapter.
type Adapter struct {
	Model   string
	Version string
}

// State is the part of an engine's state that orders change, as answered by
// GET /v1/orders/state.
type State struct {
	// Fence is the highest token accepted.
	Fence         FencingToken
	ChecksFencing bool
	Models        map[string]string // version by model
	Adapters      map[string]Adapter
	Role          string
	// History holds the recently accepted orders, oldest first.
	History []Order
}

// Satisfies reports whether the state is the one that the order asks for.
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

// FencingToken is a fencing token: the epoch in the upper bits, a counter in the
// lower ones. Tokens of a later epoch exceed all earlier ones.
type FencingToken uint64

const (
	counterBits = 24
	maxCounter  = 1<<counterBits - 1
	maxEpoch    = 1<<(64-counterBits) - 1
)

// NewFencingToken returns a token. It fails if a part does not fit.
func NewFencingToken(e model.Epoch, counter uint64) (FencingToken, error) {
	if e > maxEpoch || counter > maxCounter {
		return 0, fmt.Errorf("fencing token of epoch %d and counter %d does not fit", e, counter)
	}
	return FencingToken(uint64(e)<<counterBits | counter), nil
}

// Epoch returns the epoch of a token.
func (f FencingToken) Epoch() model.Epoch { return model.Epoch(f >> counterBits) }

// TokenSource issues the tokens of one process. Only the owner of a target in an
// epoch sends it orders, and a restarted process joins in a new epoch, so that
// no token is issued twice for a target. It is safe for concurrent use.
type TokenSource struct {
	mu      sync.Mutex
	epoch   model.Epoch
	counter uint64
}

// Next returns a token of the epoch that exceeds all earlier ones. It fails if
// a token of a later epoch was issued.
func (f *TokenSource) Next(e model.Epoch) (FencingToken, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e < f.epoch {
		return 0, fmt.Errorf("%w: tokens of epoch %d were issued, %d is older", model.ErrNoRight, f.epoch, e)
	}
	if e > f.epoch {
		f.epoch, f.counter = e, 0
	}
	token, err := NewFencingToken(e, f.counter+1)
	if err != nil {
		return 0, err
	}
	f.counter++
	return token, nil
}
