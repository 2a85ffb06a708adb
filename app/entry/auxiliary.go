package entry

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/memory"
	"mimosarelay/io/buffer"
)

const (
	// auxiliaryTimeout limits a request to the directory, the readiness check or the
	// diagnostics.
	auxiliaryTimeout = 5 * time.Second
	// auxiliaryBuffer limits the header and the body of such a request, in bytes. None
	// of them has a body.
	auxiliaryBuffer = 4 << 10
	// auxiliaryBytes is the memory of a connection for them: a buffer to read, one to
	// write, a body and a stack.
	auxiliaryBytes memory.Bytes = 4 * auxiliaryBuffer
)

// serveAuxiliary returns a function that serves handler on a listener with short
// timeouts and small buffers.
func (h *Host) serveAuxiliary(handler fasthttp.RequestHandler) func(net.Listener) error {
	s := &fasthttp.Server{
		Handler: handler, ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, ReadBufferSize: auxiliaryBuffer,
		MaxRequestBodySize: auxiliaryBuffer, NoDefaultServerHeader: true, NoDefaultDate: true,
	}
	refused := h.metrics.Scope.Counter("auxiliary_connections_refused_for_memory")
	return func(l net.Listener) error {
		if h.memory != nil {
			l = &buffer.Listener{Listener: l, Account: h.memory, ConnectionBytes: auxiliaryBytes, Refused: func() { refused.Inc(1) }}
		}
		return s.Serve(l)
	}
}
