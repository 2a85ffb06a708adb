package storehttp_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/store"
	"mimosarelay/io/storehttp"
)

// newRawServer answers the first bytes of each connection with fixed bytes and then
// calls end.
func newRawServer(t *testing.T, response string, end func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 1<<10)); err != nil {
					return
				}
				_, _ = io.WriteString(c, response)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against the beginning of an answer that counts as complete. The server answers
// while the request is still being written, without a length, and resets the
// connection. The failed write takes the error of the socket, and the next read
// returns the end.
func TestAnswerBeforeEndOfRequestThenReset(t *testing.T) {
	address := newRawServer(t, "HTTP/1.1 200 OK\r\n\r\npart of the value", func(c *net.TCPConn) {
		time.Sleep(20 * time.Millisecond) // until the buffers of the kernel are full
		_ = c.SetLinger(0)
	})
	client, err := storehttp.New(storehttp.Options{Address: address, Timeout: 5 * time.Second})
	assert.NilError(t, err)
	defer client.CloseIdle()
	res, err := client.Do(t.Context(), storehttp.Request{Method: "PUT", Path: "/v1/kv/x", Body: make([]byte, 32<<20)})
	assert.ErrorIs(t, err, store.ErrUnknown, "%d %q", res.Status, res.Body)
}

// Guards against a malformed response that counts as one of the store.
func TestMalformedResponse(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\ntrue",
		"blank in a name": "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 4\r\n\r\ntrue",
		"other version":   "HTTP/3.0 200 OK\r\nContent-Length: 4\r\n\r\ntrue",
	} {
		t.Run(name, func(t *testing.T) {
			address := newRawServer(t, response, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
			client, err := storehttp.New(storehttp.Options{Address: address, Timeout: 5 * time.Second})
			assert.NilError(t, err)
			defer client.CloseIdle()
			res, err := client.Do(t.Context(), storehttp.Request{Method: "PUT", Path: "/v1/kv/x", Body: []byte("v")})
			assert.ErrorIs(t, err, store.ErrUnknown, "%d %q", res.Status, res.Body)
		})
	}
}

// Guards against a value that is refused because its response has no length.
func TestResponseUntilClose(t *testing.T) {
	value := strings.Repeat("v", 100_000)
	address := newRawServer(t, "HTTP/1.1 200 OK\r\n\r\n"+value, func(*net.TCPConn) {})
	client, err := storehttp.New(storehttp.Options{Address: address, Timeout: 5 * time.Second})
	assert.NilError(t, err)
	res, err := client.Do(t.Context(), storehttp.Request{Method: "GET", Path: "/v1/kv/x"})
	assert.NilError(t, err)
	assert.Equal(t, string(res.Body), value)
}

// Guards against bytes after a response that are taken for the response to the next
// request.
func TestBytesAfterResponse(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
	for name, extra := range map[string]string{"response": strings.Replace(first, "\n1", "\n2", 1), "other bytes": "x"} {
		t.Run(name, func(t *testing.T) {
			address := newRawServer(t, first+extra, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
			client, err := storehttp.New(storehttp.Options{Address: address, Timeout: 5 * time.Second})
			assert.NilError(t, err)
			defer client.CloseIdle()
			for range 3 {
				res, err := client.Do(t.Context(), storehttp.Request{Method: "PUT", Path: "/v1/kv/x", Body: []byte("v")})
				assert.NilError(t, err)
				assert.Equal(t, string(res.Body), "1")
			}
		})
	}
}

// Guards against a request that fails because the store has closed an idle connection,
// and against one that is sent twice.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	var requests atomic.Int64
	closed := make(chan struct{}, 1)
	address := newRawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", func(c *net.TCPConn) {
		requests.Add(1)
		time.Sleep(10 * time.Millisecond) // until the client keeps the connection
		_ = c.Close()
		closed <- struct{}{}
	})
	client, err := storehttp.New(storehttp.Options{Address: address, Timeout: 5 * time.Second})
	assert.NilError(t, err)
	defer client.CloseIdle()
	for range 3 {
		_, err := client.Do(t.Context(), storehttp.Request{Method: "PUT", Path: "/v1/kv/x", Body: []byte("v")})
		assert.NilError(t, err)
		<-closed
	}
	assert.Equal(t, requests.Load(), int64(3))
}
