package target

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Guards against a malformed response that reaches the caller in a repaired form, for
// example one with status 000 as 200.
func TestMalformedResponseFails(t *testing.T) {
	const end = "\r\nContent-Length: 2\r\n\r\nok"
	for name, response := range map[string]string{
		"status 000":              "HTTP/1.1 000 OK" + end,
		"version 2.0":             "HTTP/2.0 200 OK" + end,
		"blank in a name":         "HTTP/1.1 200 OK\r\nX Y: z" + end,
		"control byte in a name":  "HTTP/1.1 200 OK\r\nX\x01: z" + end,
		"blank after a name":      "HTTP/1.1 200 OK\r\nContent-Length : 1" + end,
		"folded line":             "HTTP/1.1 200 OK\r\nX: y\r\n z" + end,
		"control byte in a value": "HTTP/1.1 200 OK\r\nX: \x01" + end,
		"chunk size with a blank": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\nok\r\n0\r\n\r\n",
		"trailer with a blank":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: z\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, keepAlive := range []bool{false, true} {
				r := newRawTarget(t, response, keepAlive)
				c := NewClient(Options{})
				defer func() { assert.Check(t, c.Close()) }()
				body, err := call(t, c, r.listener.Addr().String(), CallOptions{Unframed: true, IdleTimeout: 5 * time.Second})
				assert.ErrorIs(t, err, ErrBroken, "%q", body)
				assert.Equal(t, r.arrivals.Load(), int64(1))
			}
		})
	}
}

// Guards against the beginning of an answer that counts as complete: the target
// answers without a length while the request is still being written, and resets the
// connection.
func TestAnswerBeforeEndOfRequestThenReset(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "while writing": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(delay)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
			c := NewClient(Options{})
			defer func() { assert.Check(t, c.Close()) }()
			req := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(req)
			req.Header.SetMethod(fasthttp.MethodPost)
			req.SetRequestURI("/")
			req.Header.SetHost("x")
			req.SetBodyRaw(make([]byte, 32<<20))
			resp, err := c.Do(t.Context(), l.Addr().String(), req, CallOptions{Unframed: true})
			if err == nil {
				_, err = resp.ReadAll(1 << 20)
				assert.NilError(t, resp.Close())
			}
			assert.ErrorIs(t, err, ErrBroken)
		})
	}
}
