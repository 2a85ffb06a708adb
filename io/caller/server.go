// Package caller serves callers over HTTP/1.1: chat completions, routes to
// services, the list of hosts and questions about programs.
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

// Relay carries out calls.
type Relay interface {
	Handle(ctx context.Context, r *relay.Request) (*relay.Answer, error)
}

// Hosts lists the hosts that callers may use.
type Hosts interface {
	// Addresses returns the callers' addresses of live hosts that are not
	// leaving, in the order to try them.
	Addresses() []string
}

// Options configures a Server. All fields but Serves, TLS, Draining, MaxBody
// and WriteTimeout are required.
type Options struct {
	Relay    Relay
	Streams  *relay.CallRegistry
	Hosts    Hosts
	Snapshot func() *config.Snapshot
	// Ready says whether the host takes new callers, and why not.
	Ready func() (bool, string)
	// Serves says whether calls are accepted, and why not; nil means Ready. A
	// leaving host is not ready, but serves callers that have its address.
	Serves func() (bool, string)
	// Draining says that the host is leaving; connections are then closed
	// after their answer, so that callers move to other hosts.
	Draining func() bool
	Log      *slog.Logger
	TLS      *tls.Config
	// MaxBody is the largest request body, in bytes; 0 means 8 MiB.
	MaxBody int
	// WriteTimeout ends a response whose caller stops reading; 0 means 20 s.
	WriteTimeout time.Duration
}

const (
	defaultMaxBody      = 8 << 20
	defaultWriteTimeout = 20 * time.Second
	// headerReadTimeout bounds the time to send a request.
	requestReadTimeout = 30 * time.Second
	keepAliveTimeout   = 75 * time.Second
	// headerBuffer bounds the size of a request's header, in bytes.
	headerBuffer = 16 << 10
)

// Server serves callers.
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
		ErrorHandler:          s.malformed,
		Name:                  "mimosarelay",
		ReadBufferSize:        headerBuffer,
		ReadTimeout:           requestReadTimeout,
		IdleTimeout:           keepAliveTimeout,
		MaxRequestBodySize:    o.MaxBody,
		CloseOnShutdown:       true,
		NoDefaultDate:         true,
		SecureErrorLogMessage: true,
		Logger:                serverLog{o.Log},
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
// ended or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// serverLog passes the library's messages on as debug events: they concern
// broken connections of callers, and must not hold request content.
type serverLog struct{ log *slog.Logger }

// Printf implements fasthttp.Logger.
func (l serverLog) Printf(format string, args ...any) {
	l.log.Debug("caller connection", "detail", fmt.Sprintf(format, args...))
}

// deadlineListener bounds each write instead of a whole response, so that long
// streams go on while their caller reads.
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
	linger  atomic.Bool
}

// Close implements net.Conn.
func (c *deadlineConn) Close() error {
	if c.linger.Swap(false) {
		return tcpclose.Linger(c.Conn)
	}
	return c.Conn.Close()
}

// lingerOnClose lets a connection read on when it is closed.
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

// malformed answers requests that the library could not parse.
func (s *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	lingerOnClose(ctx.Conn())
	detail, kind := classifyMalformed(err)
	s.refuse(ctx, newRequestID(), model.NewRefusal(kind, model.RanNo, "%s", detail))
	ctx.SetConnectionClose()
}
