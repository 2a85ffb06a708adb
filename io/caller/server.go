// Package caller implements the HTTP/1.1 API for callers: chat completions,
// routes to services, the list of hosts and queries about programs.
package caller

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"mimosarelay/app/relay"
	"mimosarelay/core/config"
	"mimosarelay/core/memory"
	"mimosarelay/io/edge"
)

// Relay executes calls and queries.
type Relay interface {
	Handle(ctx context.Context, r *relay.Request) (*relay.Answer, error)
}

// Hosts lists the hosts that callers may connect to.
type Hosts interface {
	// Addresses returns the caller addresses of the live hosts that are not
	// draining, in the order in which callers should try them.
	Addresses() []string
}

// Options configures a Server. All fields but Serves, TLS, Draining, MaxBody,
// WriteTimeout, Memory and Scope are required.
type Options struct {
	Relay    Relay
	Streams  *relay.CallRegistry
	Hosts    Hosts
	Snapshot func() *config.Snapshot
	// Ready reports whether the host accepts new callers, and the reason if not.
	Ready func() (bool, string)
	// Serves reports whether calls are accepted, and the reason if not; nil means
	// Ready. A draining host is not ready, but still accepts calls from callers
	// that know its address.
	Serves func() (bool, string)
	// Draining reports whether the host is draining. Connections are then closed
	// after the answer, so that callers move to other hosts; nil means never.
	Draining func() bool
	Log      *slog.Logger
	TLS      *tls.Config
	// MaxBody limits the size of a request body, in bytes; 0 means 8 MiB.
	MaxBody int
	// WriteTimeout limits each write, so that a response to a caller that stops
	// reading is aborted; 0 means 20 s.
	WriteTimeout time.Duration
	// Memory is the account for the bytes of callers; nil for no limit.
	Memory *memory.Account
	// Scope may be nil.
	Scope tally.Scope
}

const (
	defaultMaxBody      = 8 << 20
	defaultWriteTimeout = 20 * time.Second
	// headerTimeout and bodyTimeout limit the time to receive the header and the body
	// of a request.
	headerTimeout    = 30 * time.Second
	bodyTimeout      = 30 * time.Second
	keepAliveTimeout = 75 * time.Second
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 16 << 10
	// connectionBytes is the memory of an open connection: the buffers for reading and
	// writing, the request and response of fasthttp, and two stacks.
	connectionBytes memory.Bytes = maxHeaderBytes + 12<<10
)

// Server is the HTTP server for callers.
type Server struct {
	options Options
	http    *fasthttp.Server
}

// New returns a Server.
func New(o Options) *Server {
	if o.MaxBody == 0 {
		o.MaxBody = defaultMaxBody
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	if o.Serves == nil {
		o.Serves = o.Ready
	}
	if o.Draining == nil {
		o.Draining = func() bool { return false }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := &Server{options: o}
	s.http = &fasthttp.Server{
		Handler:           s.handle,
		ErrorHandler:      s.handleParseError,
		Name:              "mimosarelay",
		ReadBufferSize:    maxHeaderBytes,
		HeaderReceived:    s.requestConfig,
		ExpectHandler:     s.handleExpect,
		ConnState:         edge.ConnState,
		StreamRequestBody: true, // keys are checked before the body is read
		CloseOnShutdown:   true,
		// Bodies are forwarded as received.
		DisablePreParseMultipartForm: true,
		NoDefaultDate:                true,
		SecureErrorLogMessage:        true,
		Logger:                       debugLogger{o.Log},
	}
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	refused := s.options.Scope.Counter("connections_refused_for_memory")
	l := &edge.Listener{
		Listener: listener, Limits: connectionLimits, WriteTimeout: s.options.WriteTimeout,
		Memory: s.options.Memory, ConnectionBytes: connectionBytes, Refused: func() { refused.Inc(1) },
	}
	return s.http.Serve(l.WithTLS(s.options.TLS))
}

func connectionLimits() edge.Limits {
	return edge.Limits{IdleTimeout: keepAliveTimeout, HeaderTimeout: headerTimeout}
}

// Shutdown stops accepting connections and waits until all running calls have
// ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// debugLogger logs the messages of fasthttp at debug level, because they are about
// broken connections of callers. They must not contain request content.
type debugLogger struct{ log *slog.Logger }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, args ...any) {
	l.log.Debug("error on a connection of a caller", "detail", fmt.Sprintf(format, args...))
}

// handleParseError refuses a request that fasthttp failed to read.
func (s *Server) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	c := edge.From(ctx)
	c.Linger()
	s.refuse(ctx, newRequestID(), s.readRefusal(c.ReadError(err)))
	ctx.SetConnectionClose()
}
