package operator

import (
	"errors"
	"strconv"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"mimosarelay/core/model"
	"mimosarelay/io/buffer"
	"mimosarelay/io/edge"
)

// requestConfig sets the limits for the body after the header was read.
func requestConfig(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	return edge.Configure(h, maxBodyBytes, bodyTimeout)
}

// handleExpect checks the credential of a client that waits before it sends the body.
func (s *Server) handleExpect(c *fasthttp.RequestCtx) int {
	if err := s.authorize(c, route{}); err != nil {
		p := problemFromError(err)
		p.RequestID = model.RequestID(uuid.NewString())
		writeJSON(c, p.Status, "application/problem+json", p)
		return p.Status
	}
	return fasthttp.StatusContinue
}

// handleParseError answers a request that fasthttp failed to read. The error may
// contain headers with the credential and is neither logged nor returned.
func (s *Server) handleParseError(c *fasthttp.RequestCtx, err error) {
	e := edge.From(c)
	e.Linger()
	p := problemFromError(s.readProblem(c, e.ReadError(err)))
	p.RequestID = model.RequestID(uuid.NewString())
	s.options.Log.Info("failed to read operator request", "request_id", p.RequestID, "status", p.Status, "remote", c.RemoteAddr())
	writeJSON(c, p.Status, "application/problem+json", p)
	c.SetConnectionClose()
}

// readProblem returns the problem of a request that cannot be read.
func (s *Server) readProblem(c *fasthttp.RequestCtx, err error) error {
	switch {
	case errors.Is(err, buffer.ErrTooLarge):
		return problemf(fasthttp.StatusRequestEntityTooLarge, "the body exceeds %d bytes", maxBodyBytes)
	case errors.Is(err, edge.ErrNoMemory):
		s.options.Scope.Counter("requests_refused_for_memory").Inc(1)
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(memoryRetry.Seconds())))
		return problemf(fasthttp.StatusServiceUnavailable, "this host has no memory for the request now")
	}
	return problemf(fasthttp.StatusBadRequest, "the request is not valid HTTP or did not arrive in time")
}
