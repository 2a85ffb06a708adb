package service

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mimosarelay/standin/fault"
)

// fasthttp starts a goroutine for the Date header that never ends, so the check
// for leaked goroutines ignores it.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// eventTimeout bounds the wait for an expected event.
const eventTimeout = 5 * time.Second

// blockUntil waits until the fake clock has n pending timers.
func blockUntil(t *testing.T, clock *clockwork.FakeClock, n int) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), eventTimeout)
	defer stop()
	assert.NilError(t, clock.BlockUntilContext(ctx, n))
}

func start(t *testing.T, o Options) *Server {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	s, err := Start(o)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s
}

// send sends a raw request and returns the body of the response.
func send(s *Server, request string) (string, error) {
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	if _, err := io.WriteString(c, request); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func paymentRequest(key, body string) string {
	return fmt.Sprintf("POST /pay?x=1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
}

// Guards against requests that are missing in the list or listed with other
// content: tests of other packages count them to prove that a call ran at most
// once.
func TestArrivalsListEachRequestAsSent(t *testing.T) {
	s := start(t, Options{AnswerBytes: 50})
	for _, key := range []string{"k1", "k2", "k1"} {
		body, err := send(s, paymentRequest(key, "amount"))
		assert.NilError(t, err)
		assert.Equal(t, len(body), 50)
		assert.Assert(t, strings.HasPrefix(body, Answer("POST", "/pay?x=1", "amount")), body)
	}
	text, err := send(s, "GET /standin/arrivals HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	var got Arrivals
	assert.NilError(t, json.Unmarshal([]byte(text), &got))
	assert.Equal(t, got.Total, int64(3))
	last := got.Arrivals[2]
	assert.Equal(t, last.Number, int64(3))
	assert.Equal(t, last.Method+" "+last.Path+" "+last.Body, "POST /pay?x=1 amount")
	assert.Equal(t, last.Idempotency, "k1")
	assert.DeepEqual(t, last.Headers["Idempotency-Key"], []string{"k1"})
}

// Guards against a part of a request in which a caller's key is not found.
func TestArrivalsContainingSearchesAllParts(t *testing.T) {
	for name, request := range map[string]string{
		"header":  "GET /a HTTP/1.1\r\nHost: h\r\nX-Any: has secret1 in it\r\n\r\n",
		"name":    "GET /a HTTP/1.1\r\nHost: h\r\nsecret1: v\r\n\r\n",
		"query":   "GET /a?key=secret1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"body":    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\nsecret1",
		"cookie":  "GET /a HTTP/1.1\r\nHost: h\r\nCookie: k=Secret1\r\n\r\n",
		"late":    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nX-End: secret1\r\n\r\n",
		"trailer": "POST /a HTTP/1.1\r\nHost: h\r\nTrailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nX-End: secret1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, Options{})
			_, err := send(s, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			assert.Equal(t, len(s.ArrivalsContaining("secret1")), 0)
			_, err = send(s, request)
			assert.NilError(t, err)
			assert.Equal(t, len(s.ArrivalsContaining("secret1")), 1)
		})
	}
}

// Guards against requests that get no response and are not recorded, although
// they ran or reached a service that hangs.
func TestUnansweredRequestsAreRecorded(t *testing.T) {
	for name, f := range map[string]fault.Fault{
		"lost response": {LoseAnswers: 1},
		"cut response":  {CutBytes: 1},
		"hang":          {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, Options{})
			assert.NilError(t, s.SetFault(f))
			failed := make(chan error, 1)
			go func() {
				_, err := send(s, paymentRequest("k", "amount"))
				failed <- err
			}()
			for end := time.Now().Add(eventTimeout); s.Arrivals().Total == 0; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "the request was not recorded")
			}
			if f.Hang {
				assert.NilError(t, s.SetFault(fault.Fault{}))
			}
			assert.Assert(t, <-failed != nil)
			assert.Equal(t, s.Arrivals().Total, int64(1))
		})
	}
}

// Guards against a response that is sent before Delay has passed, and against a
// load report that shows a change before LoadLag has passed.
func TestResponseIsDelayedAndLoadReportLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := start(t, Options{Clock: clock, Delay: time.Minute, LoadLag: time.Second})
	answered := make(chan error, 1)
	go func() {
		_, err := send(s, paymentRequest("k", ""))
		answered <- err
	}()
	blockUntil(t, clock, 1)
	assert.Equal(t, s.Load().Running, 0)
	clock.Advance(time.Second)
	assert.Equal(t, s.Load().Running, 1)
	clock.Advance(time.Minute - time.Second - 1)
	assert.Equal(t, len(answered), 0)
	clock.Advance(1)
	assert.NilError(t, <-answered)
}
