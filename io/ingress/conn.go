package ingress

import (
	"net"
	"sync"
	"time"

	coreingress "mimosarelay/core/ingress"
	"mimosarelay/io/tcpclose"
)

// phase is what a connection reads next. It determines the read deadline.
type phase int

const (
	phaseIdle   phase = iota // the first byte of the next request
	phaseHeader              // the rest of a request's header
	phaseBody                // the body, with a deadline set by the server
)

// listener wraps each connection that it accepts in a conn.
type listener struct {
	net.Listener
	limits       func() coreingress.Limits
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits, writeTimeout: l.writeTimeout}, nil
}

// conn limits how long a caller may take to send a request and to read the
// answer, and detects that the caller disconnects while its request runs. Only
// one goroutine at a time uses it, apart from the watcher.
type conn struct {
	net.Conn
	limits       func() coreingress.Limits
	writeTimeout time.Duration

	phase          phase
	headerDeadline time.Time // for the rest of the header
	unread         []byte    // read by the watcher, but not yet by the server

	watcher       sync.WaitGroup
	peeked        [1]byte
	lingerOnClose bool // Close keeps reading for a moment
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
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
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.startHeader()
	}
	return n, err
}

// startHeader starts the time limit for the header when the first byte of a
// request was read.
func (c *conn) startHeader() {
	if c.phase == phaseIdle {
		c.phase = phaseHeader
		c.headerDeadline = time.Now().Add(c.limits().HeaderTimeout)
	}
}

// SetReadDeadline implements net.Conn. The server calls it with the deadline for
// the body when the header is complete.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return nil
	}
	c.phase = phaseBody
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.lingerOnClose {
		return tcpclose.Linger(c.Conn)
	}
	return c.Conn.Close()
}

// onDisconnect calls disconnected if the caller closes the connection before stop
// is called. The server must not read from the connection until then.
func (c *conn) onDisconnect(disconnected func()) (stop func()) {
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
