package ingress

import (
	"net"
	"sync"
	"time"

	coreingress "mimosarelay/core/ingress"
	"mimosarelay/io/tcpclose"
)

// phase is what a connection waits for.
type phase int

const (
	phaseIdle   phase = iota // the first byte of the next request
	phaseHeader              // the rest of a request's header
	phaseBody                // the body, until a deadline that the server sets
)

// listener wraps the connections that it accepts.
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

// conn bounds how long a caller may take, and notices while a request runs that
// its caller has left. One goroutine uses it at a time, apart from the watch.
type conn struct {
	net.Conn
	limits       func() coreingress.Limits
	writeTimeout time.Duration

	phase    phase
	deadline time.Time // of the header
	stash    []byte    // read by the watch, not by the server yet

	watch   sync.WaitGroup
	one     [1]byte
	lingers bool // read on for a moment before closing
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.stash) > 0 {
		n := copy(p, c.stash)
		c.stash = c.stash[n:]
		c.began()
		return n, nil
	}
	switch c.phase {
	case phaseIdle:
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	case phaseHeader:
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.began()
	}
	return n, err
}

func (c *conn) began() {
	if c.phase == phaseIdle {
		c.phase = phaseHeader
		c.deadline = time.Now().Add(c.limits().HeaderTimeout)
	}
}

// SetReadDeadline implements net.Conn. The server calls it when the header is
// complete.
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
	if c.lingers {
		return tcpclose.Linger(c.Conn)
	}
	return c.Conn.Close()
}

// onClose calls left if the caller closes the connection before stop is called.
// The server must not read meanwhile.
func (c *conn) onClose(left func()) (stop func()) {
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.watch.Go(func() {
		n, err := c.Conn.Read(c.one[:])
		if n > 0 {
			c.stash = append(c.stash, c.one[0]) // of the next request
			return
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() { //nolint:errorlint // the connection returns it unwrapped
			return
		}
		left()
	})
	var once sync.Once
	return func() {
		once.Do(func() {
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
			c.watch.Wait()
			c.phase = phaseIdle
		})
	}
}
