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

// conn is an accepted connection that can be made silent, cut in the middle
// of an answer, or closed while a handler uses it.
type conn struct {
	net.Conn
	client  netip.Addr
	control bool // accepted on the control address
	silent  atomic.Bool
	aborted atomic.Bool

	mu      sync.Mutex
	cutting bool
	header  []byte // last bytes of the answer's header; nil once it has ended
	left    int    // body bytes before the cut
}

// Read blocks on a silent connection until the peer or the server closes it.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write drops p on a silent connection and reports success, as a socket does
// whose peer is unreachable.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cutting {
		return c.Conn.Write(p)
	}
	return c.writeCutting(p)
}

func (c *conn) writeCutting(p []byte) (int, error) {
	body := 0 // index in p where the body starts
	if c.header != nil {
		seen := append(c.header, p...)
		i := bytes.Index(seen, headerEnd)
		if i < 0 {
			c.header = bytes.Clone(seen[max(0, len(seen)-len(headerEnd)+1):])
			return c.Conn.Write(p)
		}
		body = i + len(headerEnd) - len(c.header)
		c.header = nil
	}
	if len(p)-body < c.left {
		c.left -= len(p) - body
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:body+c.left])
	c.left = 0
	c.abort()
	if err == nil {
		err = io.ErrClosedPipe
	}
	return n, err
}

// cutAfter closes the connection after n body bytes of the next answer.
func (c *conn) cutAfter(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutting = true
	c.header = []byte{}
	c.left = n
}

// disarm undoes cutAfter. A body shorter than the cut would otherwise leave
// the rest of the count to the next answer.
func (c *conn) disarm() {
	c.mu.Lock()
	c.cutting = false
	c.mu.Unlock()
}

// abort closes the socket. The goroutine that serves the connection then
// fails its next read or write.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.Close()
}
