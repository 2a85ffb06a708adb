package ingress

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/relay"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/io/buffer"
)

const (
	// prefetchBytes is the part of a body that fasthttp reads before the handler
	// runs. It cannot be 0.
	prefetchBytes = 1
	// memoryWait is how long a body waits for memory. Holders without progress are
	// evicted within that time.
	memoryWait = 2 * time.Second
	// memoryRetryAfter is the Retry-After of requests that are refused for memory. It is
	// at most a third of the time until the deadline (retryAfterDivisor), so that another
	// attempt can complete in the rest.
	memoryRetryAfter  = 500 * time.Millisecond
	retryAfterDivisor = 3
)

// requestConfig sets the limits for the body after the header was read. The body of
// a request that announces too much is not read, so that it can be refused at once. Its
// connection is closed, because its body would be taken for the next request.
func (s *Server) requestConfig(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > s.options.Limits().BodyBytes {
		h.SetContentLength(0)
		h.SetConnectionClose()
	}
	return fasthttp.RequestConfig{ReadTimeout: bodyTimeout, MaxRequestBodySize: prefetchBytes}
}

// skippedLength returns the length of the body that requestConfig has not let fasthttp
// read, or 0.
func skippedLength(h *fasthttp.RequestHeader) int {
	if h.ContentLength() != 0 {
		return 0
	}
	return rawContentLength(h.RawHeaders())
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

// connState prepares a connection for its next request.
func connState(c net.Conn, state fasthttp.ConnState) {
	if w, ok := c.(*conn); ok && state == fasthttp.StateIdle {
		w.requestEnded()
	}
}

// readBody reads the body of a request that was decided on. If it refuses the
// request, ok is false.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, f *relay.Forward) (b *buffer.Buffer, ok bool) {
	c := ctx.Conn().(*conn)
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, true
	}
	c.holder.SetPhase(memory.Receiving)
	limit := s.options.Limits().BodyBytes
	b, err := buffer.Read(context.Background(), c.holder, stream, buffer.Options{
		Kind: memory.Bodies, Length: ctx.Request.Header.ContentLength(), Limit: limit, MaxWait: memoryWait,
	})
	if err == nil {
		c.bodyUnread = false
		f.Body = b.Bytes()
		return b, true
	}
	b.Release()
	if errors.Is(err, buffer.ErrTooLarge) {
		err = s.confirmTooLarge(errBodyTooLarge)
	} else {
		err = s.readError(c, err, f.Deadline.Sub(s.options.Clock.Now()))
	}
	s.refuse(ctx, f.ID, f, err)
	ctx.SetConnectionClose()
	return nil, false
}

var errBodyTooLarge = model.NewRefusal(model.ErrTooLarge, model.RanNo, "the body is larger than the limit")

// readError returns the refusal for a request that could not be read. left is the time
// until its deadline, or 0 if that is not known.
func (s *Server) readError(c *conn, err error, left time.Duration) *model.Refusal {
	kind := model.ErrBadRequest
	var netErr net.Error
	var bufferErr *fasthttp.ErrSmallBuffer
	switch {
	case c.evicted.Load(), errors.Is(err, memory.ErrEvicted), errors.Is(err, memory.ErrFull):
		reason := "evicted"
		if errors.Is(err, memory.ErrFull) {
			reason = "full"
		}
		s.options.Scope.Tagged(map[string]string{"reason": reason}).Counter("requests_refused_for_memory").Inc(1)
		return model.NewRefusal(model.ErrUnavailable, model.RanNo, "this host has no memory for the request now").Retry(min(memoryRetryAfter, max(0, left)/retryAfterDivisor))
	case errors.As(err, &bufferErr):
		kind = ErrHeaderTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		kind = ErrRequestTimeout
	}
	return model.NewRefusal(kind, model.RanNo, "failed to read the request: %v", err)
}

// handleParseError refuses a request that fasthttp failed to read.
func (s *Server) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	c := ctx.Conn().(*conn)
	c.lingerOnClose.Store(true)
	s.refuse(ctx, "", nil, s.readError(c, err, 0))
	ctx.SetConnectionClose()
}

// countRefusedConnection counts a connection that was closed at once.
func (s *Server) countRefusedConnection() {
	s.options.Scope.Counter("connections_refused_for_memory").Inc(1)
}

// rawContentLength returns the length in a header as it was received; 0 if it has
// none.
func rawContentLength(raw []byte) int {
	for line := range bytes.Lines(raw) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) {
			n, _ := strconv.Atoi(string(bytes.TrimSpace(value))) // fasthttp has checked it
			return n
		}
	}
	return 0
}
