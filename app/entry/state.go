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
	// Fleet, Limits and Budgets are set on keepers, the others on entry hosts.
	Fleet     any `json:",omitempty"`
	Limits    any `json:",omitempty"`
	Budgets   any `json:",omitempty"`
	Follow    any `json:",omitempty"`
	Placement any `json:",omitempty"`
	Suspects  any `json:",omitempty"`
}

// State returns the dump.
func (h *Host) State() State {
	ready, reason := h.Ready()
	s := State{
		Host: h.options.Host, Ready: ready, Reason: reason, Draining: h.draining.Load(),
		Revision: h.revision(), EvidenceAge: h.catalog.Age(),
	}
	if k := h.keeper; k != nil {
		s.Fleet, s.Limits, s.Budgets = k.fleet.Dump(), k.limits.Dump(), k.turnOwner.Dump()
		return s
	}
	f := h.entry
	s.Requests = f.callers.Running()
	s.Follow, s.Placement, s.Suspects = f.follow.Dump(), f.placement.Dump(), f.suspects.Dump()
	return s
}

// diagnose serves metrics and the dump on the address for traffic between
// hosts.
func (h *Host) serveDiagnostics(ctx *fasthttp.RequestCtx) {
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
