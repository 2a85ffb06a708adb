package fault

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

var headerEnd = []byte("\r\n\r\n")

// conn is an accepted connection that can be made silent, closed in the middle of
// a response, or closed while a handler uses it.
type conn struct {
	net.Conn
	clientAddr netip.Addr
	control    bool // accepted on the control address
	silent     atomic.Bool
	aborted    atomic.Bool

	mu         sync.Mutex
	cutArmed   bool
	headerTail []byte // last bytes written of the response header; nil after its end
	bodyLeft   int    // body bytes to write before the connection is closed
}

// Read discards what arrives on a silent connection and blocks until the peer or
// the server closes it.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards p on a silent connection and reports success, as a socket does
// whose peer is unreachable.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cutArmed {
		return c.Conn.Write(p)
	}
	return c.writeUntilCut(p)
}

// writeUntilCut writes p up to the cut and closes the connection when the cut is
// reached. The caller holds c.mu.
func (c *conn) writeUntilCut(p []byte) (int, error) {
	body := 0 // index in p where the body starts
	if c.headerTail != nil {
		seen := append(c.headerTail, p...)
		i := bytes.Index(seen, headerEnd)
		if i < 0 {
			c.headerTail = bytes.Clone(seen[max(0, len(seen)-len(headerEnd)+1):])
			return c.Conn.Write(p)
		}
		body = i + len(headerEnd) - len(c.headerTail)
		c.headerTail = nil
	}
	if len(p)-body < c.bodyLeft {
		c.bodyLeft -= len(p) - body
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:body+c.bodyLeft])
	c.bodyLeft = 0
	c.abort()
	if err == nil {
		err = io.ErrClosedPipe
	}
	return n, err
}

// cutAfter arms a cut: the connection is closed after n body bytes of the next
// response.
func (c *conn) cutAfter(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutArmed = true
	c.headerTail = []byte{}
	c.bodyLeft = n
}

// cancelCut undoes cutAfter. After a body shorter than the cut, the rest of the
// count would otherwise apply to the next response.
func (c *conn) cancelCut() {
	c.mu.Lock()
	c.cutArmed = false
	c.mu.Unlock()
}

// abort closes the socket, so that the next read or write of the goroutine that
// serves the connection fails.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.Close()
}
