// Package caller implements the HTTP/1.1 API for callers: chat completions,
// routes to services, the list of hosts and queries about programs.
package caller

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/relay"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/io/tcpclose"
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

// Options configures a Server. All fields but Serves, TLS, Draining, MaxBody
// and WriteTimeout are required.
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
}

const (
	defaultMaxBody      = 8 << 20
	defaultWriteTimeout = 20 * time.Second
	// requestReadTimeout limits the time to receive a request.
	requestReadTimeout = 30 * time.Second
	keepAliveTimeout   = 75 * time.Second
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 16 << 10
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
	s := &Server{options: o}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleParseError,
		Name:                  "mimosarelay",
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           requestReadTimeout,
		IdleTimeout:           keepAliveTimeout,
		MaxRequestBodySize:    o.MaxBody,
		CloseOnShutdown:       true,
		NoDefaultDate:         true,
		SecureErrorLogMessage: true,
		Logger:                debugLogger{o.Log},
	}
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	listener = &deadlineListener{Listener: listener, timeout: s.options.WriteTimeout}
	if s.options.TLS != nil {
		listener = tls.NewListener(listener, s.options.TLS)
	}
	return s.http.Serve(listener)
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

// deadlineListener sets a deadline for each write instead of one for the whole
// response, so that a long stream continues as long as its caller reads.
type deadlineListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l *deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: conn, timeout: l.timeout}, nil
}

type deadlineConn struct {
	net.Conn
	timeout time.Duration
	linger  atomic.Bool // Close keeps reading for a moment
}

// Close implements net.Conn.
func (c *deadlineConn) Close() error {
	if c.linger.Swap(false) {
		return tcpclose.Linger(c.Conn)
	}
	return c.Conn.Close()
}

// lingerOnClose makes Close of a connection keep reading for a moment. Closing a
// connection with unread data resets it, which could lose the answer.
func lingerOnClose(conn net.Conn) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	if c, ok := conn.(*deadlineConn); ok {
		c.linger.Store(true)
	}
}

// Write implements net.Conn.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// handleParseError refuses a request that fasthttp failed to read.
func (s *Server) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	lingerOnClose(ctx.Conn())
	detail, kind := classifyParseError(err)
	s.refuse(ctx, newRequestID(), model.NewRefusal(kind, model.RanNo, "%s", detail))
	ctx.SetConnectionClose()
}
