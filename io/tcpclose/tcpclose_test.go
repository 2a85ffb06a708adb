package tcpclose_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/io/tcpclose"
)

// Guards against a response that is lost because the connection is reset while the
// client still sends, and against a client that keeps the connection open.
func TestLingerDeliversResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	closed := make(chan time.Duration, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "answer")
		start := time.Now()
		_ = tcpclose.Linger(conn)
		closed <- time.Since(start)
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write(make([]byte, 1<<20)) // the server has already responded
	assert.NilError(t, err)
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "answer")
	assert.Assert(t, <-closed < 3*time.Second)
}
