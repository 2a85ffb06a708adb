package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is the connection of a client that returns only bytes of well-formed
// responses. A head is returned when it is complete. After a malformed byte, Read
// returns what precedes it, and then fails with ErrMalformed. One goroutine may read
// while another one writes.
type Conn struct {
	net.Conn
	checker checker
	held    []byte // received, but not returned
	checked int    // bytes of held that are checked
	ready   int    // bytes of held that may be returned
	err     error  // of the next Read after them

	mu       sync.Mutex
	writeErr error // of the first Write that failed
}

// NewConn returns a Conn for a new connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin prepares for the responses to a request. head says that its method is HEAD.
func (c *Conn) Begin(head bool) { c.checker.toHead = head }

// Clean reports whether all that was received is whole responses that were read.
func (c *Conn) Clean() bool {
	return c.err == nil && len(c.held) == 0 && c.checker.between()
}

// Malformed reports whether a malformed byte was received.
func (c *Conn) Malformed() bool { return errors.Is(c.err, ErrMalformed) }

// Reusable reports whether the connection is clean, and the server has neither closed
// it nor sent anything that was not received yet.
func (c *Conn) Reusable() bool {
	if !c.Clean() {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.writeErr == nil {
			c.writeErr = err
		}
	}
	return n, err
}

// Read implements net.Conn. It fails with ErrCut if the connection ends within a
// response.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		if c.ready == 0 {
			c.checkHeld()
		}
		if c.ready > 0 {
			n := copy(p, c.held[:c.ready])
			c.drop(n)
			return n, nil
		}
		if c.err != nil {
			return 0, c.err
		}
		n, err := c.Conn.Read(p)
		if n == 0 && err != nil {
			return 0, c.endError(err)
		}
		if len(c.held) == 0 && c.checker.state != inHead {
			if n = c.checkBody(p[:n]); n > 0 {
				return n, nil
			}
			continue
		}
		c.held = append(c.held, p[:n]...)
	}
}

// checkHeld checks the bytes that are held. Those of a head are ready when it is
// complete.
func (c *Conn) checkHeld() {
	for c.err == nil && c.ready == 0 && c.checked < len(c.held) {
		inBody := c.checker.state != inHead
		n, end, err := c.checker.next(c.held[c.checked:])
		c.checked, c.err = c.checked+n, err
		if end && err == nil || inBody {
			c.ready = c.checked
		}
	}
}

// checkBody checks bytes of a body that are returned without being held, and holds
// those that follow its end.
func (c *Conn) checkBody(p []byte) (n int) {
	n, _, c.err = c.checker.next(p)
	if c.err == nil {
		c.held = append(c.held, p[n:]...)
	}
	return n
}

// drop removes the first n bytes of held.
func (c *Conn) drop(n int) {
	c.held = append(c.held[:0], c.held[n:]...)
	c.checked, c.ready = c.checked-n, c.ready-n
}

// endError returns the error of Read after the connection has failed with err.
func (c *Conn) endError(err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	switch {
	case c.checker.state == toClose:
		return c.resetError()
	case c.checker.between():
		return err
	}
	return ErrCut
}

// resetError returns the error at the end of a body that ends with its connection:
// io.EOF, or ErrCut if the connection was reset. After a Write has failed, the kernel
// reports the reset to no other call, so that a read returns the end.
func (c *Conn) resetError() error {
	reset := c.closedByReset()
	// Whoever closes the connection after a failed Write does so when writeErr is set.
	c.mu.Lock()
	err := c.writeErr
	c.mu.Unlock()
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrCut, err)
	case reset:
		return fmt.Errorf("%w: connection was reset", ErrCut)
	}
	return io.EOF
}

// tcpClose is the state of a connection in TCP_INFO after a reset. It is CLOSE_WAIT
// after a regular end.
const tcpClose = 7

// closedByReset reports whether the connection was reset, or closed on this side. It is
// false if that is not known.
func (c *Conn) closedByReset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return controlErr != nil || err == nil && info.State == tcpClose
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
