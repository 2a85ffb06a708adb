package storehttp

import (
	"errors"
	"net"
	"sync"

	"mimosarelay/io/http1"
)

// errNotReusable reports a connection that cannot be used for another request.
var errNotReusable = errors.New("store closed the connection or sent bytes that belong to no request")

// exchangeConn is a connection on which requests and responses alternate. Bytes that
// follow a response are not taken for the response to the next request.
type exchangeConn struct {
	*http1.Conn
	received bool // since the last request was sent
}

// Read implements net.Conn.
func (c *exchangeConn) Read(p []byte) (int, error) {
	c.received = true
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *exchangeConn) Write(p []byte) (int, error) {
	if c.received && !c.Reusable() {
		return 0, &notSentError{errNotReusable}
	}
	c.received = false
	return c.Conn.Write(p)
}

// guardedConn holds the connection of one request. It can be closed before the
// connection is established, which is then closed as soon as it is set.
type guardedConn struct {
	mu    sync.Mutex // guards conn and ended
	conn  net.Conn
	ended bool
}

func (g *guardedConn) set(n net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conn = n
	if g.ended {
		g.conn.Close()
	}
}

func (g *guardedConn) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.conn != nil {
		g.conn.Close()
	}
}
