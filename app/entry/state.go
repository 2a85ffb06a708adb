package entry

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/model"
)

// Paths of the HTTP server on the metrics address.
const (
	pathMetrics = "/metrics"
	pathState   = "/state"
)

// State is a dump of the process state for diagnosis. It contains no API keys.
type State struct {
	Host     model.HostID
	Ready    bool
	Reason   string `json:",omitempty"` // why the host is not ready
	Draining bool
	Requests int
	// Revision is the revision of the configuration. EvidenceAge is the time since
	// the request to the store that last confirmed it; -1ns before the first one.
	Revision    model.Revision
	EvidenceAge time.Duration
	// Evacuated lists the zones with an evacuation order.
	Evacuated []model.Zone `json:",omitempty"`
	// Fleet, Limits, Budgets and Turns are set on keepers; Follow, Placement and Suspects
	// on entry hosts.
	Fleet     any `json:",omitempty"`
	Limits    any `json:",omitempty"`
	Budgets   any `json:",omitempty"`
	Turns     any `json:",omitempty"`
	Follow    any `json:",omitempty"`
	Placement any `json:",omitempty"`
	Suspects  any `json:",omitempty"`
	// Cold lists the targets that are cold, or may be, on entry hosts.
	Cold any `json:",omitempty"`
}

// State returns the state of this process.
func (h *Host) State() State {
	ready, reason := h.Ready()
	s := State{
		Host: h.options.Host, Ready: ready, Reason: reason, Draining: h.draining.Load(),
		Revision: h.revision(), EvidenceAge: h.catalog.Age(), Evacuated: h.catalog.Evacuated(),
	}
	if k := h.keeper; k != nil {
		s.Fleet, s.Limits, s.Budgets = k.fleet.Dump(), k.limits.Dump(), k.turnOwner.Dump()
		if k.turns != nil {
			s.Turns = k.turns.Dump()
		}
		return s
	}
	e := h.entry
	s.Requests = e.callers.Running()
	s.Follow, s.Placement, s.Suspects = e.follow.Dump(), e.placement.Dump(), e.suspects.Dump()
	s.Cold = e.cold.Dump()
	return s
}

// serveDiagnostics serves the metrics and the state dump on MetricsAddress, which
// is meant for traffic between hosts.
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
