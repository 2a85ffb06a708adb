package buffer

import (
	"net"
	"net/netip"
	"time"

	"mimosarelay/core/memory"
)

// admitWait is how long a new connection waits until evicted connections are closed.
// It is short because it delays the next connection.
const admitWait = 20 * time.Millisecond

// Source returns the address of the other side of a connection; the zero address if it
// is not a TCP connection.
func Source(c net.Conn) netip.Addr {
	if t, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return t.AddrPort().Addr()
	}
	return netip.Addr{}
}

// Admit reserves n bytes for a new connection. It fails with memory.ErrFull.
func Admit(a *memory.Account, c net.Conn, n memory.Bytes, evict func(memory.Phase)) (*memory.Holder, error) {
	source := Source(c)
	limit := time.Now().Add(admitWait)
	for {
		freed := a.Freed()
		h, err := a.Open(source, n, evict)
		if err == nil {
			return h, nil
		}
		if !a.Leaving() {
			return nil, err // nothing is about to be released
		}
		select {
		case <-freed:
		case <-time.After(time.Until(limit)):
			return nil, err
		}
	}
}

// Listener reserves the memory of each connection that it accepts and closes those
// for which there is none. A connection that is evicted is closed.
type Listener struct {
	net.Listener
	Account *memory.Account
	// ConnectionBytes is the memory of one connection.
	ConnectionBytes memory.Bytes
	// Refused is called for each connection that is closed at once.
	Refused func()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		h, err := Admit(l.Account, nc, l.ConnectionBytes, func(memory.Phase) { _ = nc.Close() })
		if err == nil {
			return &heldConn{nc, h}, nil
		}
		_ = nc.Close()
		l.Refused()
	}
}

// heldConn is a connection whose buffers are reserved.
type heldConn struct {
	net.Conn
	holder *memory.Holder
}

// Read implements net.Conn.
func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.holder.Progress(n)
	return n, err
}

// Write implements net.Conn.
func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.holder.Progress(n)
	return n, err
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	defer c.holder.Close()
	return c.Conn.Close()
}
