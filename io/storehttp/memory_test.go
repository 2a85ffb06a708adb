package storehttp_test

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/core/memory"
	"mimosarelay/core/store"
	"mimosarelay/io/storehttp"
)

const testTimeout = 2 * time.Second

// Guards against a response without an end that is held beyond the memory of the
// machine, and against a request that does not end because its response does not.
func TestResponseWithoutEnd(t *testing.T) {
	sendEndlessly := func(c *net.TCPConn) {
		for piece := make([]byte, 64<<10); ; {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	}
	stall := func(c *net.TCPConn) { _, _ = c.Read(make([]byte, 1)) }
	for name, c := range map[string]struct {
		head string
		end  func(c *net.TCPConn)
	}{
		"endless":               {"HTTP/1.1 200 OK\r\n\r\n", sendEndlessly},
		"endless with a length": {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", sendEndlessly},
		"stalled":               {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbegin", stall},
	} {
		t.Run(name, func(t *testing.T) {
			client, err := storehttp.New(storehttp.Options{Address: newRawServer(t, c.head, c.end), Timeout: testTimeout})
			assert.NilError(t, err)
			defer client.CloseIdle()
			a := memory.New(memory.Options{Capacity: 4 << 20, MaxHolders: 4, Clock: clockwork.NewRealClock()})
			client.SetMemory(a)
			start := time.Now()
			_, err = client.Do(t.Context(), storehttp.Request{Method: "GET", Path: "/v1/kv/x", SafeToRetry: true})
			assert.ErrorIs(t, err, store.ErrUnavailable)
			assert.Assert(t, time.Since(start) < 2*testTimeout)
			assert.Equal(t, a.Stats().Held, memory.Bytes(0))
		})
	}
}
