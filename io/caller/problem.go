package caller

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"mimosarelay/core/model"
	"mimosarelay/io/edge"
)

// problem is the body of a refused call: problem details as of RFC 9457.
type problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail"`
	Ran       model.Ran       `json:"Ran"`
	RequestID model.RequestID `json:"RequestID"`
}

// problemTypes maps the kind of a refusal to its problem type and status code.
// The slug follows urn:mimosarelay: in the type.
var problemTypes = []struct {
	kind   error
	slug   string
	status int
}{
	{model.ErrUnauthorized, "unauthorized", fasthttp.StatusUnauthorized},
	{model.ErrForbidden, "forbidden", fasthttp.StatusForbidden},
	{model.ErrNotFound, "not-found", fasthttp.StatusNotFound},
	{model.ErrBadRequest, "bad-request", fasthttp.StatusBadRequest},
	{model.ErrTooLarge, "too-large", fasthttp.StatusRequestEntityTooLarge},
	{model.ErrRateLimited, "rate-limited", fasthttp.StatusTooManyRequests},
	{model.ErrBudget, "budget-exhausted", fasthttp.StatusForbidden},
	{model.ErrOrder, "out-of-order", fasthttp.StatusConflict},
	{model.ErrConflict, "conflict", fasthttp.StatusConflict},
	{model.ErrProgramEnded, "program-ended", fasthttp.StatusGone},
	{model.ErrNoRight, "unavailable", fasthttp.StatusServiceUnavailable},
	{model.ErrTargetFailed, "target-failed", fasthttp.StatusBadGateway},
	{model.ErrOutcomeUnknown, "outcome-unknown", fasthttp.StatusBadGateway},
	{model.ErrSuspect, "suspect-request", fasthttp.StatusUnprocessableEntity},
	{model.ErrDraining, "draining", fasthttp.StatusServiceUnavailable},
	{errMethodNotAllowed, "method-not-allowed", fasthttp.StatusMethodNotAllowed},
	{model.ErrUnavailable, "unavailable", fasthttp.StatusServiceUnavailable},
}

var errMethodNotAllowed = errors.New("method not allowed")

// refuse answers a call with a problem. An error that is not a *model.Refusal is
// logged, and its text is not shown to the caller.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, id model.RequestID, err error) {
	edge.From(ctx).BeginAnswer()
	refusal := &model.Refusal{Kind: model.ErrUnavailable, Ran: model.RanUnknown, Detail: "internal error"}
	if !errors.As(err, &refusal) {
		s.options.Log.Error("call failed with an internal error", "request", id, "error", err)
	}
	p := problem{Type: "about:blank", Title: "unavailable", Status: fasthttp.StatusServiceUnavailable, Detail: refusal.Detail, Ran: refusal.Ran, RequestID: id}
	for _, t := range problemTypes {
		if errors.Is(refusal.Kind, t.kind) {
			p.Type, p.Title, p.Status = "urn:mimosarelay:"+t.slug, t.kind.Error(), t.status
			break
		}
	}
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte(`{"status":500}`)
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType("application/problem+json")
	ctx.Response.Header.Set("X-Request-Id", string(id))
	if refusal.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	if p.Status == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
		ctx.SetConnectionClose()
	}
	ctx.SetBody(body)
	s.options.Log.Info("call refused", "request", id, "status", p.Status, "type", p.Type, "ran", p.Ran, "detail", p.Detail)
}

func newRequestID() model.RequestID { return model.RequestID(uuid.NewString()) }
