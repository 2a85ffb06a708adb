package entry

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/model"
)

// Paths on the metrics address.
const (
	pathMetrics = "/metrics"
	pathState   = "/state"
)

// State is the dump of the process for diagnosis. It holds no keys.
type State struct {
	Host     model.HostID
	Ready    bool
	Reason   string `json:",omitempty"` // why the host is not ready
	Draining bool
	Requests int
	// Revision is that of the configuration, and EvidenceAge the time since
	// the store was asked for what it last confirmed; -1ns before.
	Revision    model.Revision
	EvidenceAge time.Duration
	Fleet       any
	Limits      any
	Placement   any
	Budgets     any
	Suspects    any
}

// State returns the dump.
func (h *Host) State() State {
	ready, reason := h.Ready()
	return State{
		Host: h.options.Host, Ready: ready, Reason: reason, Draining: h.draining.Load(), Requests: h.callers.Running(),
		Revision: h.revision(), EvidenceAge: h.catalog.Age(), Fleet: h.fleet.Dump(), Limits: h.limits.Dump(),
		Placement: h.placement.Dump(), Budgets: h.turnOwner.Dump(), Suspects: h.suspects.Dump(),
	}
}

// diagnose serves metrics and the dump on the address for traffic between
// hosts.
func (h *Host) diagnose(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathMetrics:
		h.metrics.Handler(ctx)
	case pathState:
		body, err := json.Marshal(h.State())
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
