package caller_test

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/memory"
	"mimosarelay/standin/engine"
)

// refusal is the part of a problem that the tests look at.
type refusal struct {
	Ran string `json:"Ran"`
}

// rawAnswer is the response to raw bytes.
type rawAnswer struct {
	status     int
	retryAfter string
	refusal
}

// exchangeRaw sends bytes to the harness and reads one response.
func exchangeRaw(t *testing.T, h *harness, data string) rawAnswer {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, data)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	a := rawAnswer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After")}
	_ = json.Unmarshal(body, &a.refusal) // an answer of a target is no problem
	return a
}

func rawHead(key string, fields ...string) string {
	return "POST /v1/routes/pay/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

// Guards against a host that waits for a body that it will not use.
func TestRequestIsRefusedBeforeItsBody(t *testing.T) {
	h := newHarness(t, engine.Options{})
	for name, c := range map[string]struct {
		data string
		want int
	}{
		"wrong key":                {rawHead("k1.wrong", "Content-Length: 1000"), 401},
		"wrong key, chunks":        {rawHead("k1.wrong", "Transfer-Encoding: chunked"), 401},
		"wrong key, expect":        {rawHead("k1.wrong", "Content-Length: 1000", "Expect: 100-continue"), 401},
		"over the limit":           {rawHead(h.key, "Content-Length: 100000"), 413},
		"over the limit, expect":   {rawHead(h.key, "Content-Length: 100000", "Expect: 100-continue"), 413},
		"over the limit in chunks": {rawHead(h.key, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n", 70<<10, strings.Repeat("x", 70<<10)), 413},
		"wrong program header":     {rawHead(h.key, "Mimosarelay-Call: 1", "Content-Length: 1000"), 400},
	} {
		t.Run(name, func(t *testing.T) {
			a := exchangeRaw(t, h, c.data)
			assert.Equal(t, a.status, c.want)
			assert.Equal(t, a.Ran, "no")
		})
	}
	assert.Equal(t, h.service.Arrivals().Total, int64(0))
}

// Guards against a caller that announces a body, sends none of it, and gets the refusal
// that its header asks for only when the time for the body ends.
func TestRequestIsRefusedWithoutAByteOfItsBody(t *testing.T) {
	for name, c := range map[string]struct {
		key, field string
		want       int
	}{
		"wrong key":            {"k1.wrong", "X: y", 401},
		"wrong program header": {"", "Mimosarelay-Call: 1", 400},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine.Options{})
			a := exchangeRaw(t, h, rawHead(cmp.Or(c.key, h.key), c.field, "Content-Length: 1000"))
			assert.Equal(t, a.status, c.want)
			assert.Equal(t, a.Ran, "no")
		})
	}
}

// Guards against a body that waits for ever, or is read without memory, when others
// hold all of it.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	h := newHarness(t, engine.Options{})
	busy, err := h.memory.Open(netip.Addr{}, 1, func(memory.Phase) {})
	assert.NilError(t, err)
	defer busy.Close()
	busy.SetPhase(memory.Running) // is not evicted
	assert.NilError(t, busy.Reserve(memory.Bodies, harnessMemory-80<<10))
	body := strings.Repeat("x", 60<<10)
	request := rawHead(h.key, fmt.Sprint("Content-Length: ", len(body))) + body
	a := exchangeRaw(t, h, request)
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.Ran, "no")
	assert.Equal(t, a.retryAfter, "1")
	assert.Equal(t, h.service.Arrivals().Total, int64(0))
	busy.Release(memory.Bodies, harnessMemory-80<<10)
	a = exchangeRaw(t, h, request)
	assert.Equal(t, a.status, http.StatusOK)
}

// Guards against a form that fasthttp parses, so that the service gets no body of it.
func TestSmallFormIsForwarded(t *testing.T) {
	h := newHarness(t, engine.Options{})
	a := exchangeRaw(t, h, rawHead(h.key, "Content-Type: multipart/form-data; boundary=x", "Content-Length: 1")+"y")
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, h.service.Arrivals().Total, int64(1))
}

// Guards against memory that is not returned after calls of each kind.
func TestMemoryIsReturned(t *testing.T) {
	h := newHarness(t, engine.Options{})
	for range 3 {
		for _, data := range []string{
			rawHead(h.key, "Content-Length: 5") + "hello",
			rawHead(h.key, "Content-Length: 100000"),
			rawHead("k1.wrong", "Content-Length: 5") + "hello",
			strings.Replace(rawHead(h.key, fmt.Sprint("Content-Length: ", len(chatBody("hi", false)))), "/v1/routes/pay/x", "/v1/chat/completions", 1) + chatBody("hi", false),
			strings.Replace(rawHead(h.key, fmt.Sprint("Content-Length: ", len(chatBody("hi", true)))), "/v1/routes/pay/x", "/v1/chat/completions", 1) + chatBody("hi", true),
		} {
			c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
			assert.NilError(t, err)
			_, err = io.WriteString(c, strings.Replace(data, "Host: h\r\n", "Host: h\r\nConnection: close\r\n", 1))
			assert.NilError(t, err)
			_, err = io.ReadAll(c)
			assert.NilError(t, err)
			assert.NilError(t, c.Close())
		}
	}
	end := time.Now().Add(5 * time.Second)
	for h.memory.Stats().Held > 0 && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, h.memory.Stats().Held, memory.Bytes(0))
}
