package ingress

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	coreingress "mimosarelay/core/ingress"
	"mimosarelay/core/memory"
	"mimosarelay/io/buffer"
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
	memory       *memory.Account // nil for no limit
	refused      func()          // called for each connection that is closed at once
}

// connectionBytes is the memory of an open connection: the buffers for reading and
// writing, the request and response of fasthttp, and two stacks.
const connectionBytes = headerBufferSize + 12<<10

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, limits: l.limits, writeTimeout: l.writeTimeout}
		if l.memory == nil {
			return c, nil
		}
		if c.holder, err = buffer.Admit(l.memory, nc, connectionBytes, c.evict); err == nil {
			return c, nil
		}
		_ = nc.Close()
		l.refused()
	}
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
	lingerOnClose atomic.Bool // Close keeps reading for a moment
	bodyUnread    bool        // the body of the current request was not read to its end

	holder *memory.Holder // nil without a limit
	// evicted is set when the connection has lost its memory while it received a
	// request. It then gets a refusal.
	evicted atomic.Bool
}

// errEvicted ends a read of a connection that has lost its memory.
var errEvicted = errors.New("connection was evicted under memory pressure")

// evict ends a connection that has lost its memory. One that receives a request
// still gets a refusal.
func (c *conn) evict(p memory.Phase) {
	if p == memory.Receiving {
		c.evicted.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
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
func (c *conn) startHeader() {
	if c.phase == phaseIdle {
		c.phase = phaseHeader
		c.holder.SetPhase(memory.Receiving)
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
	n, err := c.Conn.Write(p)
	c.holder.Progress(n)
	return n, err
}

// requestEnded prepares the connection for its next request.
func (c *conn) requestEnded() {
	c.phase, c.bodyUnread = phaseIdle, false
	c.lingerOnClose.Store(false)
	c.holder.SetPhase(memory.Idle)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.holder.Close()
	if c.lingerOnClose.Load() {
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
