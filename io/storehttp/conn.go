package storehttp

import (
	"net"
	"sync"
)

// guardedConn closes a connection that may still be in the making.
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
