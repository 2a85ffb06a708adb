// Package edge is the part of HTTP servers that faces clients without control over
// their number or pace: it limits the time and the memory of their connections, and
// reads bodies after the header was decided on.
package edge

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/memory"
	"mimosarelay/io/buffer"
	"mimosarelay/io/tcpclose"
)

// Limits are the time limits of connections.
type Limits struct {
	// IdleTimeout limits the time until the first byte of a request.
	IdleTimeout time.Duration
	// HeaderTimeout limits the time from the first byte of a request, or of a TLS
	// handshake, to the end of the request's header.
	HeaderTimeout time.Duration
}

// Listen opens a TCP listener on an IP:port address. What the kernel holds for each
// connection is bounded, see memory.ReceiveBuffer.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// Accepted connections inherit the sizes, with which their windows are negotiated.
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, int(memory.ReceiveBuffer))
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, int(memory.SendBuffer))
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// phase is what a connection reads next. It determines the read deadline.
type phase int

const (
	phaseIdle   phase = iota // the first byte of the next request
	phaseHeader              // the rest of a request's header
	phaseBody                // the body, with a deadline set by the server
)

// Listener wraps each connection that it accepts in a Conn.
type Listener struct {
	net.Listener
	Limits func() Limits
	// WriteTimeout limits each write, so that an answer to a client that stops reading
	// is aborted.
	WriteTimeout time.Duration
	Memory       *memory.Account // nil for no limit
	// ConnectionBytes is the memory of an open connection without TLS.
	ConnectionBytes memory.Bytes
	// Refused is called for each connection that is closed at once.
	Refused func()
}

// tlsBytes is what a TLS connection holds besides: the largest record in each direction.
const tlsBytes memory.Bytes = 2 * 17 << 10

// WithTLS returns the listener with TLS; the listener itself if config is nil.
func (l *Listener) WithTLS(config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	l.ConnectionBytes += tlsBytes
	return &tlsListener{Listener: l, config: config}
}

// tlsListener adds TLS to the connections of a Listener.
type tlsListener struct {
	*Listener
	config *tls.Config
}

// Accept implements net.Listener.
func (l *tlsListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &tlsConn{Conn: tls.Server(nc, l.config), plain: unwrap(nc)}, nil
}

// tlsConn is a TLS connection over a Conn.
type tlsConn struct {
	*tls.Conn
	plain *Conn
}

// Read implements net.Conn.
func (c *tlsConn) Read(p []byte) (int, error) {
	if c.plain.postponeBody() {
		return 0, errBodyPostponed
	}
	return c.Conn.Read(p)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, limits: l.Limits, writeTimeout: l.WriteTimeout}
		if l.Memory == nil {
			return c, nil
		}
		if c.holder, err = buffer.Admit(l.Memory, nc, l.ConnectionBytes, c.evict); err == nil {
			return c, nil
		}
		_ = nc.Close()
		l.Refused()
	}
}

// Conn limits how long a client may take to send a request and to read the
// answer, and detects that the client disconnects while its request runs. Only
// one goroutine at a time uses it, apart from the watcher.
type Conn struct {
	net.Conn
	limits       func() Limits
	writeTimeout time.Duration

	phase          phase
	headerDeadline time.Time // for the rest of the header
	unread         []byte    // read by the watcher, but not yet by the server

	watcher       sync.WaitGroup
	peeked        [1]byte
	lingerOnClose atomic.Bool // Close keeps reading for a moment
	bodyUnread    bool        // the body of the current request was not read to its end
	begun         bool        // the server has begun to decide on the current request
	bodyPostponed bool        // no byte of the body had been received by then

	holder *memory.Holder // nil without a limit
	// evicted is set when the connection has lost its memory while it received a
	// request. It then gets a refusal.
	evicted atomic.Bool
}

// errEvicted ends a read of a connection that has lost its memory.
var errEvicted = errors.New("connection was evicted under memory pressure")

// evict ends a connection that has lost its memory. One that receives a request
// still gets a refusal.
func (c *Conn) evict(p memory.Phase) {
	if p == memory.Receiving {
		c.evicted.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
}

// errBodyPostponed makes fasthttp run the handler although it has not read the first byte
// of the body: it takes a body that is too large for it as a stream.
var errBodyPostponed = fasthttp.ErrBodyTooLarge

// postponeBody reports whether a read is for the first byte of a body, before the request
// was decided on. A client may wait for the decision, or never send the body.
func (c *Conn) postponeBody() bool {
	if c.phase != phaseBody || c.begun {
		return false
	}
	c.bodyPostponed = true
	return true
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.postponeBody() {
		return 0, errBodyPostponed
	}
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		c.startHeader()
		return n, nil
	}
	switch c.phase {
	case phaseIdle:
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	case phaseHeader:
		_ = c.Conn.SetReadDeadline(c.headerDeadline)
	}
	if c.evicted.Load() { // the deadline above may have replaced the one of evict
		return 0, errEvicted
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.startHeader()
	}
	return n, err
}

// startHeader starts the time limit for the header when the first byte of a
// request was read.
func (c *Conn) startHeader() {
	if c.phase == phaseIdle {
		c.phase = phaseHeader
		c.holder.SetPhase(memory.Receiving)
		c.headerDeadline = time.Now().Add(c.limits().HeaderTimeout)
	}
}

// SetReadDeadline implements net.Conn. The server calls it with the deadline for
// the body when the header is complete.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return nil
	}
	c.phase = phaseBody
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	c.holder.BeginWrite()
	n, err := c.Conn.Write(p)
	c.holder.EndWrite(n)
	return n, err
}

// From returns the Conn of a request, also below TLS.
func From(ctx *fasthttp.RequestCtx) *Conn { return unwrap(ctx.Conn()) }

// unwrap returns the Conn of a connection; nil if it has none.
func unwrap(nc net.Conn) *Conn {
	switch c := nc.(type) {
	case *tlsConn:
		return c.plain
	case *Conn:
		return c
	}
	return nil
}

// ConnState prepares a connection for its next request. It is set as the ConnState of
// a fasthttp.Server.
func ConnState(nc net.Conn, state fasthttp.ConnState) {
	if c := unwrap(nc); c != nil && state == fasthttp.StateIdle {
		c.requestEnded()
	}
}

// Holder returns the memory of the connection; nil without a limit.
func (c *Conn) Holder() *memory.Holder { return c.holder }

// Evicted reports whether the connection lost its memory while it received a request.
func (c *Conn) Evicted() bool { return c.evicted.Load() }

// Linger makes Close read on for a moment. Closing a connection with unread data
// resets it, which could lose the answer.
func (c *Conn) Linger() { c.lingerOnClose.Store(true) }

// BeginAnswer records that the request gets an answer now, before its body was read if
// that did not happen.
func (c *Conn) BeginAnswer() {
	c.holder.SetPhase(memory.Answering)
	if c.bodyUnread {
		c.Linger()
		return
	}
	c.phase = phaseIdle
}

// requestEnded prepares the connection for its next request.
func (c *Conn) requestEnded() {
	c.phase, c.begun, c.bodyUnread, c.bodyPostponed = phaseIdle, false, false, false
	c.lingerOnClose.Store(false)
	c.holder.SetPhase(memory.Idle)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	defer c.holder.Close()
	if c.lingerOnClose.Load() {
		return tcpclose.Linger(c.Conn)
	}
	return c.Conn.Close()
}

// OnDisconnect calls disconnected if the client closes the connection before stop is
// called. The server must not read from the connection until then, and it must not be
// used below TLS.
func (c *Conn) OnDisconnect(disconnected func()) (stop func()) {
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.watcher.Go(func() {
		n, err := c.Conn.Read(c.peeked[:])
		if n > 0 {
			c.unread = append(c.unread, c.peeked[0]) // first byte of the next request
			return
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() { //nolint:errorlint // the connection returns it unwrapped
			return
		}
		disconnected()
	})
	var once sync.Once
	return func() {
		once.Do(func() {
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
			c.watcher.Wait()
			c.phase = phaseIdle
		})
	}
}
