package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"mimosarelay/core/memory"
	"mimosarelay/io/buffer"
)

const (
	// smallMessage is the size up to which messages are not reserved, in bytes. Most
	// are smaller.
	smallMessage = 64 << 10
	// copiesPerMessage is the number of buffers of drpc that hold the bytes of a
	// message: the one for frames, which doubles, and the one for the message.
	copiesPerMessage = 2
	// messageMemoryWait is how long a message waits for memory before its connection is
	// closed. Calls between hosts are repeated.
	messageMemoryWait = 250 * time.Millisecond
	// newcomerPart is the part of the account, as 1/n of it, for connections that have
	// not sent a whole message yet. Anyone who reaches the port can open them.
	newcomerPart = 8
	// newcomerBytes is what such a connection holds before it has sent anything, and the
	// step in which it reserves more.
	newcomerBytes = 8 << 10
)

// LimitMessages returns a listener whose connections reserve the memory of messages
// above 64 KiB while they arrive, and of all bytes before the end of their first message.
// A connection without memory is closed; refused is called for each that is closed at
// once. a is nil for no limit.
func LimitMessages(l net.Listener, a *memory.Account, refused func()) net.Listener {
	if a == nil {
		return l
	}
	return &heldListener{l, a, a.Part(newcomerPart), refused}
}

type heldListener struct {
	net.Listener
	account   *memory.Account
	newcomers *memory.Account
	refused   func()
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		newcomer, err := l.newcomers.Open(buffer.Source(c), newcomerBytes, func(memory.Phase) { _ = c.Close() })
		if err == nil {
			newcomer.SetPhase(memory.Receiving)
			return &heldConn{Conn: c, account: l.account, newcomer: newcomer, newcomerReserved: newcomerBytes}, nil
		}
		// Not waiting keeps the connections of other hosts from queueing behind a crowd;
		// they are opened again.
		_ = c.Close()
		l.refused()
	}
}

// heldConn reserves memory for the largest message that it has received so far,
// because drpc keeps the buffers of a connection.
type heldConn struct {
	net.Conn
	account  *memory.Account
	meter    messageMeter
	reserved memory.Bytes
	// newcomer is closed at the end of the first message. newcomerReserved is what it
	// holds.
	newcomer         *memory.Holder
	newcomerReserved memory.Bytes
	established      bool // the first message has ended; used by Read only

	mu     sync.Mutex     // guards holder and closed; Close may run while Read does
	holder *memory.Holder // nil before the first message above smallMessage
	closed bool
}

// Read implements net.Conn.
func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	size := c.meter.add(p[:n])
	if newcomerErr := c.holdNewcomer(size, n); newcomerErr != nil {
		_ = c.Conn.Close()
		return 0, errors.Join(newcomerErr, err)
	}
	if size > smallMessage {
		if holdErr := c.hold(size, n); holdErr != nil {
			_ = c.Conn.Close()
			return 0, errors.Join(holdErr, err)
		}
	} else if h, _ := c.current(); h != nil {
		h.SetPhase(memory.Running) // the connection is not evicted between messages
	}
	return n, err
}

// holdNewcomer reserves the memory of the first message, of which size bytes have
// arrived, the last n just now.
func (c *heldConn) holdNewcomer(size uint64, n int) error {
	if c.established {
		return nil
	}
	if c.meter.whole {
		c.established = true
		c.newcomer.Close()
		return nil
	}
	c.newcomer.Progress(n)
	missing := memory.Bytes(copiesPerMessage*min(size, smallMessage)) - c.newcomerReserved
	if missing <= 0 {
		return nil
	}
	missing = (missing/newcomerBytes + 1) * newcomerBytes
	if err := c.newcomer.Reserve(memory.Messages, missing); err != nil {
		return err
	}
	c.newcomerReserved += missing
	return nil
}

// current returns the holder and whether the connection is closed.
func (c *heldConn) current() (h *memory.Holder, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder, c.closed
}

// open returns the holder, which it opens for the first large message.
func (c *heldConn) open() (*memory.Holder, error) {
	if h, closed := c.current(); closed {
		return nil, net.ErrClosed
	} else if h != nil {
		return h, nil
	}
	h, err := buffer.Admit(c.account, c.Conn, smallMessage, func(memory.Phase) { _ = c.Conn.Close() })
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		h.Close()
		return nil, net.ErrClosed
	}
	c.holder = h
	return h, nil
}

// hold reserves the memory of a message of which size bytes have arrived, the last n
// just now.
func (c *heldConn) hold(size uint64, n int) error {
	h, err := c.open()
	if err != nil {
		return err
	}
	if c.meter.started {
		c.meter.started = false
		h.SetPhase(memory.Receiving)
	}
	h.Progress(n)
	missing := memory.Bytes(copiesPerMessage*size) - c.reserved
	if missing <= 0 {
		return nil
	}
	missing = (missing/smallMessage + 1) * smallMessage // in steps, so that the account is seldom locked
	if err := buffer.Reserve(context.Background(), h, memory.Messages, missing, messageMemoryWait); err != nil {
		return err
	}
	c.reserved += missing
	return nil
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.holder.Close()
	c.newcomer.Close()
	return err
}

// messageMeter follows the frames of drpc and measures the message that is incomplete.
// A frame has a control byte, three variable-length integers (stream, message, length)
// and its data. Bit 0 of the control byte marks the last frame of a message.
type messageMeter struct {
	field   int // 0: the control byte, 1 to 3: the integers, 4: data
	last    bool
	shift   uint
	length  uint64 // of the data that is missing
	size    uint64 // of the incomplete message
	started bool   // a message began, see heldConn.hold
	whole   bool   // a message has ended
}

const (
	fieldControl = 0
	fieldLength  = 3
	fieldData    = 4
	lastFrameBit = 1
	// varintBits is the number of bits in each byte of an integer; the highest bit is
	// set in all but the last.
	varintBits = 7
)

// add follows the next bytes of a connection and returns the size of the message that
// is incomplete, or 0.
func (m *messageMeter) add(p []byte) uint64 {
	for len(p) > 0 {
		if m.field == fieldData {
			n := min(m.length, uint64(len(p)))
			p = p[n:]
			m.size += n
			m.length -= n
			m.endFrame()
			continue
		}
		b := p[0]
		p = p[1:]
		m.addHeader(b)
	}
	return m.size
}

// addHeader follows a byte before the data of a frame.
func (m *messageMeter) addHeader(b byte) {
	if m.field == fieldControl {
		m.last = b&lastFrameBit != 0
		m.started = m.started || m.size == 0
		m.field, m.shift, m.length = 1, 0, 0
		return
	}
	if m.field == fieldLength {
		m.length |= uint64(b&(1<<varintBits-1)) << m.shift
	}
	m.shift += varintBits
	if b>>varintBits != 0 {
		return
	}
	m.field++
	m.shift = 0
	if m.field == fieldData {
		m.endFrame()
	}
}

// endFrame begins the next frame if the current one has no data left.
func (m *messageMeter) endFrame() {
	if m.length > 0 {
		return
	}
	m.field = fieldControl
	if m.last {
		m.size, m.whole = 0, true
	}
}
