package engine

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"mimosarelay/standin/fault"
)

// Kinds of orders.
const (
	LoadModel   = "LoadModel"
	LoadAdapter = "LoadAdapter"
	SetRole     = "SetRole"
)

// maxOrderHistory bounds the accepted orders that are listed.
const maxOrderHistory = 1000

var errOldFence = errors.New("fencing token is old")

// Order is a command to the engine with the fencing token of its sender.
type Order struct {
	Fence   uint64
	Kind    string // LoadModel, LoadAdapter or SetRole
	Model   string `json:",omitempty"` // LoadModel, LoadAdapter: the base model
	Adapter string `json:",omitempty"` // LoadAdapter
	Version string `json:",omitempty"` // LoadModel, LoadAdapter
	Role    string `json:",omitempty"` // SetRole
	ID      string `json:",omitempty"` // set by the sender, which finds its order in the history by it
}

// Adapter is a loaded adapter.
type Adapter struct {
	Model   string
	Version string
}

// OrderState is the response to GET /v1/orders/state.
type OrderState struct {
	Fence         uint64            // highest fencing token accepted
	ChecksFencing bool              // orders with a lower token are rejected
	Models        map[string]string // version by model
	Adapters      map[string]Adapter
	Role          string
	History       []Order // accepted orders, oldest first
}

// controlState is the state that orders change.
type controlState struct {
	fence    uint64
	models   map[string]string
	adapters map[string]Adapter
	role     string
	history  []Order
}

// newControlState returns the state with these models loaded, without a version.
func newControlState(models []string) controlState {
	c := controlState{models: map[string]string{}, adapters: map[string]Adapter{}}
	for _, m := range models {
		c.models[m] = ""
	}
	return c
}

// validate checks that an order is complete and that the base model of an adapter
// is loaded.
func (c *controlState) validate(o Order) error {
	switch {
	case o.Kind != LoadModel && o.Kind != LoadAdapter && o.Kind != SetRole:
		return fmt.Errorf("kind %q is not one of %s, %s and %s", o.Kind, LoadModel, LoadAdapter, SetRole)
	case o.Kind == LoadModel && o.Model == "":
		return errors.New("field Model is missing")
	case o.Kind == LoadAdapter && o.Adapter == "":
		return errors.New("field Adapter is missing")
	case o.Kind == SetRole && o.Role == "":
		return errors.New("field Role is missing")
	}
	if _, ok := c.models[o.Model]; o.Kind == LoadAdapter && !ok {
		return fmt.Errorf("model %q of adapter %q is not loaded", o.Model, o.Adapter)
	}
	return nil
}

// apply executes a valid order.
func (c *controlState) apply(o Order) {
	c.fence = max(c.fence, o.Fence)
	switch o.Kind {
	case LoadModel:
		c.models[o.Model] = o.Version
	case LoadAdapter:
		c.adapters[o.Adapter] = Adapter{Model: o.Model, Version: o.Version}
	case SetRole:
		c.role = o.Role
	}
	c.history = append(c.history, o)
	if len(c.history) > maxOrderHistory {
		c.history = c.history[1:]
	}
}

// OrderState returns the response to GET /v1/orders/state.
func (s *Server) OrderState() OrderState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return OrderState{
		Fence:         s.control.fence,
		ChecksFencing: !s.options.NoFencing,
		Models:        maps.Clone(s.control.models),
		Adapters:      maps.Clone(s.control.adapters),
		Role:          s.control.role,
		History:       slices.Clone(s.control.history),
	}
}

// postOrder serves POST /v1/orders. The fencing token is checked when the order
// arrives and again when it takes effect after OrderTime.
func (s *Server) postOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if !decode(ctx, &o) {
		return
	}
	err := s.processOrder(o, false)
	if err == nil {
		if !s.Sleep(s.options.OrderTime) {
			fault.DropConnection(ctx)
			return
		}
		err = s.processOrder(o, true)
	}
	switch {
	case errors.Is(err, errOldFence):
		writeError(ctx, fasthttp.StatusConflict, "invalid_request_error", err.Error())
	case err != nil:
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
	default:
		fault.WriteJSON(ctx, s.OrderState())
	}
}

// processOrder validates o and its fencing token, and applies it if apply is set.
func (s *Server) processOrder(o Order, apply bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.control.validate(o); err != nil {
		return err
	}
	if !s.options.NoFencing && o.Fence < s.control.fence {
		s.stats.OrdersRejected++
		return fmt.Errorf("%w: %d is lower than the accepted token %d", errOldFence, o.Fence, s.control.fence)
	}
	if apply {
		s.stats.Orders++
		s.control.apply(o)
	}
	return nil
}
