package edge

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
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

// newEchoServer starts a server that reports each header that it decides on, and then
// answers with the body. It refuses a request with the header field Refuse.
func newEchoServer(t *testing.T, config *tls.Config, account *memory.Account) (address string, decided <-chan struct{}) {
	t.Helper()
	decisions := make(chan struct{}, 1)
	const limit = 1 << 20
	s := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			c := From(ctx)
			c.Begin(ctx)
			decisions <- struct{}{}
			if len(ctx.Request.Header.Peek("Refuse")) > 0 {
				ctx.SetStatusCode(fasthttp.StatusUnauthorized)
				c.BeginAnswer()
				return
			}
			b, err := c.ReadBody(ctx, limit)
			c.BeginAnswer()
			if err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			ctx.SetBody(b.Bytes())
			b.Release()
		},
		HeaderReceived: func(h *fasthttp.RequestHeader) fasthttp.RequestConfig { return Configure(h, limit, 10*time.Second) },
		ConnState:      ConnState, StreamRequestBody: true, DisablePreParseMultipartForm: true,
	}
	l, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	limits := func() Limits { return Limits{IdleTimeout: 10 * time.Second, HeaderTimeout: 10 * time.Second} }
	go func() {
		_ = s.Serve((&Listener{Listener: l, Limits: limits, WriteTimeout: 10 * time.Second, Memory: account}).WithTLS(config))
	}()
	t.Cleanup(func() { assert.Check(t, s.Shutdown()) })
	return l.Addr().String(), decisions
}

// Guards against a decision that waits for the first byte of a body, and against a body
// that is changed, or holds memory before it begins, because it came after the decision.
func TestDecisionDoesNotWaitForBody(t *testing.T) {
	for name, secure := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			account := memory.New(memory.Options{Capacity: 16 << 20, MaxHolders: 10, Clock: clockwork.NewRealClock()})
			var config *tls.Config
			if secure {
				certificates := httptest.NewTLSServer(nil)
				config = certificates.TLS
				certificates.Close()
			}
			address, decided := newEchoServer(t, config, account)
			c, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			if secure {
				c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
			}
			assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			r := bufio.NewReader(c)
			body := strings.Repeat("0123456789", 10_000)
			for _, part := range []string{"", "0", body[:5_000]} { // is sent with the header
				for _, field := range []string{"Refuse: 1", "Accept: *"} {
					_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\nContent-Length: %d\r\n\r\n%s", field, len(body), part)
					assert.NilError(t, err)
					select {
					case <-decided:
					case <-time.After(5 * time.Second):
						t.Fatalf("%q with %d bytes of the body is not decided on", field, len(part))
					}
					if part == "" {
						assert.Equal(t, account.Stats().ByKind[memory.Bodies], memory.Bytes(0))
					}
					want, status := body, http.StatusOK
					if field == "Refuse: 1" {
						want, status = "", http.StatusUnauthorized
					} else {
						_, err = io.WriteString(c, body[len(part):])
						assert.NilError(t, err)
					}
					resp, err := http.ReadResponse(r, nil)
					assert.NilError(t, err)
					got, err := io.ReadAll(resp.Body)
					assert.NilError(t, err)
					assert.NilError(t, resp.Body.Close())
					assert.Equal(t, resp.StatusCode, status)
					assert.Equal(t, string(got), want)
					if field == "Refuse: 1" { // the server reads the rest for the next request
						_, err = io.WriteString(c, body[len(part):])
						assert.NilError(t, err)
					}
				}
			}
		})
	}
}
