package storehttp

import (
	"net"
	"sync"
)

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
