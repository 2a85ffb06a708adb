package orders_test

import (
	"io"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/orders"
	"mimosarelay/core/config"
	"mimosarelay/core/memory"
	"mimosarelay/io/target"
)

// Guards against a load report without an end that is held beyond the memory of the
// machine.
func TestResponseWithoutEndIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		for piece := make([]byte, 64<<10); err == nil; {
			_, err = c.Write(piece)
		}
	}()
	a := memory.New(memory.Options{Capacity: 1 << 20, MaxHolders: 1, Clock: clockwork.NewRealClock()})
	c := orders.Client{Targets: target.NewClient(target.Options{}), Memory: a}
	_, err = c.Load(t.Context(), config.Target{Name: "faulty", Address: l.Addr().String()})
	assert.Assert(t, err != nil)
	assert.Equal(t, a.Stats().Held, memory.Bytes(0))
}
