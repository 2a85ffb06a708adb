package caller

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/relay"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/io/buffer"
	"mimosarelay/io/edge"
	"mimosarelay/io/rawhead"
)

const (
	// memoryRetryAfter is the Retry-After of requests that are refused for memory.
	memoryRetryAfter = time.Second
	// chatCopies is the number of copies of a chat request that are held while it runs:
	// its parsed fields and messages, and the request for the engine.
	chatCopies = 3
)

// requestConfig sets the limits for the body after the header was read.
func (s *Server) requestConfig(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	return edge.Configure(h, s.options.MaxBody, bodyTimeout)
}

// checkHead checks the parts of a header that concern all requests.
func (s *Server) checkHead(ctx *fasthttp.RequestCtx) error {
	skipped := edge.From(ctx).Begin(ctx)
	if err := rawhead.Check(&ctx.Request); err != nil {
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "%v", err)
	}
	if skipped > 0 {
		return s.tooLarge()
	}
	return nil
}

func (s *Server) tooLarge() error {
	return model.NewRefusal(model.ErrTooLarge, model.RanNo, "request body is larger than %d bytes", s.options.MaxBody)
}

// handleExpect decides on a request whose caller waits before it sends the body.
func (s *Server) handleExpect(ctx *fasthttp.RequestCtx) int {
	err := s.checkHead(ctx)
	if err == nil {
		_, err = s.authenticate(ctx, "", s.keyOptional(ctx))
	}
	if err == nil {
		return fasthttp.StatusContinue
	}
	s.refuse(ctx, newRequestID(), s.confirmRefusal(err))
	return ctx.Response.StatusCode()
}

// keyOptional reports whether a request is for an open route.
func (s *Server) keyOptional(ctx *fasthttp.RequestCtx) bool {
	rest, ok := strings.CutPrefix(string(rawhead.Target(&ctx.Request)), pathRoutes)
	if !ok {
		return false
	}
	name, _ := splitRoute(rest)
	route, ok := s.options.Snapshot().Route(model.RouteID(name))
	return ok && route.Open
}

// readBody reads the body of a call that was authenticated. The caller must release the
// result. The key is checked again, because it may have been withdrawn meanwhile.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, r *relay.Request, keyOptional bool) (*callBody, error) {
	c := edge.From(ctx)
	body, err := c.ReadBody(ctx, s.options.MaxBody)
	if errors.Is(err, buffer.ErrTooLarge) {
		err = s.tooLarge()
	}
	if err != nil {
		ctx.SetConnectionClose()
		return nil, s.readRefusal(err)
	}
	if _, err = s.authenticate(ctx, r.ID, keyOptional); err == nil {
		err = checkBody(ctx, body.Bytes())
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	r.Body = body.Bytes()
	return &callBody{buffer: body, holder: c.Holder()}, nil
}

// checkBody refuses a body that contains the caller's key, because it is forwarded to a
// target, and trailers, which may contain it too.
func checkBody(ctx *fasthttp.RequestCtx, body []byte) error {
	key, present, _ := bearerKey(ctx) // was valid in the header
	if !present {
		return nil
	}
	if bytes.Contains(body, key) {
		return errKeyForwarded
	}
	if len(ctx.Request.Header.PeekTrailerKeys()) > 0 {
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "trailers are not accepted")
	}
	return nil
}

// readRefusal returns the refusal for a request that could not be read.
func (s *Server) readRefusal(err error) error {
	var refusal *model.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, edge.ErrNoMemory):
		return s.noMemory()
	case errors.Is(err, edge.ErrHeaderTooLarge):
		return model.NewRefusal(model.ErrTooLarge, model.RanNo, "request header is larger than %s bytes", strconv.Itoa(maxHeaderBytes))
	case errors.Is(err, edge.ErrTimeout):
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "request was not received in time")
	}
	return model.NewRefusal(model.ErrBadRequest, model.RanNo, "request is not valid HTTP")
}

func (s *Server) noMemory() error {
	s.options.Scope.Counter("requests_refused_for_memory").Inc(1)
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "this host has no memory for the request now").Retry(memoryRetryAfter)
}

// callBody is the body of a call, and the copies that are held while the call runs. A nil
// callBody is empty.
type callBody struct {
	buffer *buffer.Buffer
	holder *memory.Holder
	copies memory.Bytes
}

// reserveCopies reserves the memory of n copies of the body.
func (b *callBody) reserveCopies(ctx context.Context, n int) error {
	size := memory.Bytes(n * len(b.buffer.Bytes()))
	if err := buffer.Reserve(ctx, b.holder, memory.Bodies, size, memoryRetryAfter); err != nil {
		return err
	}
	b.copies += size
	return nil
}

// release returns the memory. The bytes must not be used afterwards.
func (b *callBody) release() {
	if b == nil {
		return
	}
	b.buffer.Release()
	b.holder.Release(memory.Bodies, b.copies)
	b.buffer, b.copies = nil, 0
}
