package ingress

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/relay"
	"mimosarelay/core/model"
	"mimosarelay/io/buffer"
	"mimosarelay/io/edge"
)

const (
	// memoryRetryAfter is the Retry-After of requests that are refused for memory. It is
	// at most a third of the time until the deadline (retryAfterDivisor), so that another
	// attempt can complete in the rest.
	memoryRetryAfter  = 500 * time.Millisecond
	retryAfterDivisor = 3
)

// requestConfig sets the limits for the body after the header was read.
func (s *Server) requestConfig(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	return edge.Configure(h, s.options.Limits().BodyBytes, bodyTimeout)
}

// refuseSkipped returns the refusal of a request whose body was not read.
func (s *Server) refuseSkipped(length int) error {
	if length > s.options.Limits().BodyBytes {
		return s.confirmTooLarge(errBodyTooLarge)
	}
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "the limit for bodies was raised").Retry(limitRaisedRetryAfter)
}

// handleExpect decides on a request whose caller waits before it sends the body.
func (s *Server) handleExpect(ctx *fasthttp.RequestCtx) int {
	if _, _, ok := s.decide(ctx, s.options.Clock.Now()); !ok {
		return ctx.Response.StatusCode()
	}
	return fasthttp.StatusContinue
}

// readBody reads the body of a request that was decided on. If it refuses the
// request, ok is false.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, f *relay.Forward) (b *buffer.Buffer, ok bool) {
	c := edge.From(ctx)
	b, err := c.ReadBody(ctx, s.options.Limits().BodyBytes)
	if err == nil {
		f.Body = b.Bytes()
		return b, true
	}
	if errors.Is(err, buffer.ErrTooLarge) {
		err = s.confirmTooLarge(errBodyTooLarge)
	} else {
		err = s.readRefusal(c, err, f.Deadline.Sub(s.options.Clock.Now()))
	}
	s.refuse(ctx, f.ID, f, err)
	ctx.SetConnectionClose()
	return nil, false
}

var errBodyTooLarge = model.NewRefusal(model.ErrTooLarge, model.RanNo, "the body is larger than the limit")

// readRefusal returns the refusal for a request that could not be read from c. left is
// the time until its deadline, or 0 if that is not known.
func (s *Server) readRefusal(c *edge.Conn, err error, left time.Duration) *model.Refusal {
	kind := model.ErrBadRequest
	switch {
	case errors.Is(err, edge.ErrNoMemory):
		reason := "full"
		if c.Evicted() {
			reason = "evicted"
		}
		s.options.Scope.Tagged(map[string]string{"reason": reason}).Counter("requests_refused_for_memory").Inc(1)
		return model.NewRefusal(model.ErrUnavailable, model.RanNo, "this host has no memory for the request now").Retry(min(memoryRetryAfter, max(0, left)/retryAfterDivisor))
	case errors.Is(err, edge.ErrHeaderTooLarge):
		kind = ErrHeaderTooLarge
	case errors.Is(err, edge.ErrTimeout):
		kind = ErrRequestTimeout
	}
	return model.NewRefusal(kind, model.RanNo, "%v", err)
}

// handleParseError refuses a request that fasthttp failed to read.
func (s *Server) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	c := edge.From(ctx)
	c.Linger()
	s.refuse(ctx, "", nil, s.readRefusal(c, c.ReadError(err), 0))
	ctx.SetConnectionClose()
}

// countRefusedConnection counts a connection that was closed at once.
func (s *Server) countRefusedConnection() {
	s.options.Scope.Counter("connections_refused_for_memory").Inc(1)
}
