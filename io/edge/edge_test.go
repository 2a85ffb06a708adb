package edge

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"mimosarelay/core/memory"
)

// Guards against receive buffers that grow with what a client sends and the server does
// not read: they count as memory of the machine.
func TestListenBoundsUnreadBytes(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	accepted, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	assert.NilError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
	_, err = c.Write(make([]byte, 16<<20))
	assert.Assert(t, err != nil, "the server has not read anything")
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	unread := 0
	assert.NilError(t, raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }))
	assert.NilError(t, err)
	assert.Assert(t, unread > 0 && memory.Bytes(unread) <= 2*memory.ReceiveBuffer, "%d bytes are unread", unread)
}
