package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/standin/engine"
)

// Guards against a call of a route that reaches the target with another path, query
// or header than the caller sent, and against an ambiguous head that is accepted.
func TestRouteCallIsForwardedUnchanged(t *testing.T) {
	h := newHarness(t, engine.Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	heads := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveHead(c, heads)
		}
	}()
	h.updateConfig(func(d *config.Document) { d.Targets[2].Address = l.Addr().String() })
	address := strings.TrimPrefix(h.url, "http://")
	exchange := func(head string) int {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, head+"\r\nHost: h\r\nAuthorization: Bearer "+h.key+"\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	for sent, want := range map[string]string{
		"/v1/routes/pay/a%2Fb//c/../d?": "/a%2Fb//c/../d?", "/v1/routes/pay//x": "//x", "/v1/routes/pay?q=%7e": "/?q=%7e", "/v1/routes/pay": "/", "/v1/routes/pay/caf%c3%a9": "/caf%c3%a9",
	} {
		assert.Equal(t, exchange("POST "+sent+" HTTP/1.1\r\naccept: a\r\nContent-Length: 0\r\nAccept: b"), 200, sent)
		head := <-heads
		assert.Assert(t, strings.HasPrefix(head, "POST "+want+" HTTP/1.1\r\n"), "%s: %q", sent, head)
		assert.Assert(t, strings.Contains(head, "\r\naccept: a\r\nAccept: b\r\n"), "%q", head)
		assert.Equal(t, strings.Count(strings.ToLower(head), "host:"), 1)
	}
	assert.Equal(t, exchange("POST /v1//routes/pay/x HTTP/1.1\r\nContent-Length: 0"), 404)
	assert.Equal(t, exchange("POST /v1/routes/pay/x HTTP/1.1\r\nTransfer-Encoding: identity"), 400)
	assert.Equal(t, len(heads), 0)
}

// serveHead answers one request and passes its head on.
func serveHead(c net.Conn, heads chan<- string) {
	defer c.Close()
	r := bufio.NewReader(c)
	var head strings.Builder
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		head.WriteString(line)
	}
	heads <- head.String()
	_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}
