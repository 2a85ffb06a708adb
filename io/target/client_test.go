package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawTarget answers each request with the given bytes and then closes the
// connection, or keeps it if keep is set.
type rawTarget struct {
	listener net.Listener
	arrivals atomic.Int64
	dials    atomic.Int64
}

func newRawTarget(t *testing.T, answer string, keep bool) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &rawTarget{listener: l}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.dials.Add(1)
			go r.serve(c, answer, keep)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return r
}

func (r *rawTarget) serve(c net.Conn, answer string, keep bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		r.arrivals.Add(1)
		if _, err := io.WriteString(c, answer); err != nil || !keep {
			return
		}
	}
}

func call(t *testing.T, c *Client, address string, o CallOptions) (string, error) {
	t.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/charge")
	req.Header.SetHost(address)
	req.SetBodyString("{}")
	resp, err := c.Do(context.Background(), address, req, o)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Close() }()
	body, err := resp.ReadAll(1 << 20)
	return string(body), err
}

// Guards against a request that is sent again after its connection broke, at
// whatever place: the request would run twice.
func TestBrokenExchangeIsNeverRepeated(t *testing.T) {
	tests := map[string]string{
		"no answer":          "",
		"half a header":      "HTTP/1.1 200 OK\r\nContent-Le",
		"half a body":        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"half a chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"end not verifiable": "HTTP/1.1 200 OK\r\n\r\nabc",
		"not HTTP":           "hello\r\n\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRawTarget(t, answer, false)
			c := NewClient(Options{})
			defer func() { _ = c.Close() }()
			_, err := call(t, c, r.listener.Addr().String(), CallOptions{IdleTimeout: time.Second})
			assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
			assert.Equal(t, r.arrivals.Load(), int64(1))
			assert.Equal(t, r.dials.Load(), int64(1))
		})
	}
}

// Guards against connections that are reused after an exchange that did not
// end cleanly, whose rest would be taken for the next answer.
func TestConnectionReuse(t *testing.T) {
	tests := map[string]struct {
		answer string
		fresh  bool
		dials  int64
	}{
		"clean end":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, 1},
		"fresh asked for":  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, 2},
		"bytes left over":  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false, 2},
		"close asked for":  {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false, 2},
		"chunked, trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRawTarget(t, test.answer, true)
			c := NewClient(Options{})
			defer func() { _ = c.Close() }()
			for range 2 {
				body, err := call(t, c, r.listener.Addr().String(), CallOptions{Fresh: test.fresh, IdleTimeout: time.Second})
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
			}
			assert.Equal(t, r.dials.Load(), test.dials)
		})
	}
}

// Guards against "not run" for a request of which bytes left, and against
// "unknown" for one of which none did.
func TestErrorsTellWhetherBytesLeft(t *testing.T) {
	c := NewClient(Options{DialTimeout: time.Second})
	defer func() { _ = c.Close() }()
	_, err := call(t, c, "127.0.0.1:1", CallOptions{})
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)

	r := newRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	stop := errors.New("no right to act")
	_, err = call(t, c, r.listener.Addr().String(), CallOptions{BeforeSend: func() error { return stop }})
	assert.Assert(t, errors.Is(err, ErrNotSent) && errors.Is(err, stop), "%v", err)
	assert.Equal(t, r.arrivals.Load(), int64(0))
}

// Guards against a wait without end for a target that takes the request and
// goes silent.
func TestSilentTargetEndsWithErrIdle(t *testing.T) {
	r := newRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true)
	c := NewClient(Options{})
	defer func() { _ = c.Close() }()
	_, err := call(t, c, r.listener.Addr().String(), CallOptions{IdleTimeout: 50 * time.Millisecond})
	assert.Assert(t, errors.Is(err, ErrIdle) && errors.Is(err, ErrBroken), "%v", err)
}

// Guards against a crashed target that counts as alive because something still
// accepts its connections, and against a live one that counts as crashed.
func TestGone(t *testing.T) {
	answering := newRawTarget(t, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false).listener
	closing := newRawTarget(t, "", false).listener
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection; the kernel does
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, k := range map[string]struct {
		ctx  context.Context
		to   net.Listener
		want bool
	}{
		"answers":          {context.Background(), answering, false},
		"closes":           {context.Background(), closing, true},
		"refuses":          {context.Background(), closed, true},
		"hangs":            {context.Background(), silent, false},
		"question is over": {cancelled, closed, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(Options{})
			defer func() { _ = c.Close() }()
			assert.Equal(t, c.Gone(k.ctx, k.to.Addr().String()), k.want)
		})
	}
}

func ExampleEventReader() {
	body := "data: {\"a\":1}\n\ndata: [DONE]\n\n"
	events := NewEventReader(bufio.NewReader(&stringReader{body}))
	defer events.Release()
	for {
		event, err := events.Next()
		if err != nil {
			break
		}
		fmt.Printf("%s done=%t\n", Payload(event), events.Done())
	}
	// Output:
	// {"a":1} done=false
	// [DONE] done=true
}

type stringReader struct{ rest string }

func (s *stringReader) Read(p []byte) (int, error) {
	if s.rest == "" {
		return 0, io.EOF
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// Guards against events that are changed, merged or lost, and against a cut
// event that passes for a whole one.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{"data: x\n\n", "data: [DONE]\n\n", "data: x", "\n\n", "data: a\r\n\r\ndata: b\n\n", ": ping\n\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		events := NewEventReader(&stringReader{body})
		defer events.Release()
		var read string
		for {
			event, err := events.Next()
			if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				break
			}
			if err != nil {
				assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
				return
			}
			read += string(event)
		}
		assert.Assert(t, len(read) <= len(body) && body[:len(read)] == read)
	})
}

// Guards against input that crashes the parser, and against a request that is
// passed on without a token limit.
func FuzzParseChatRequest(f *testing.F) {
	for _, seed := range []string{`{}`, `{"model":"m","messages":[{"role":"user","content":"x"}]}`, `{"model":"m","messages":[{"role":"user"}],"max_tokens":5,"stream":true}`, `[]`, `{"model":null}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := ParseChatRequest(body)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrChatRequest), "%v", err)
			return
		}
		sent, err := r.Body()
		assert.NilError(t, err)
		again, err := ParseChatRequest(sent)
		assert.NilError(t, err)
		assert.Equal(t, again.MaxTokens, r.MaxTokens)
		assert.Assert(t, again.MaxTokens > 0)
	})
}

// Guards against an event without end that takes all memory.
func TestEventTooLarge(t *testing.T) {
	events := NewEventReader(&endless{event: []byte("data: x")})
	defer events.Release()
	_, err := events.Next()
	assert.Assert(t, errors.Is(err, ErrEventTooLarge), "%v", err)
}

// Guards against allocations per streamed event, which would cost time and
// memory at 1.3 million tokens a second.
func TestEventReaderDoesNotAllocatePerEvent(t *testing.T) {
	body := &endless{event: []byte("data: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n")}
	events := NewEventReader(body)
	defer events.Release()
	next := func() {
		_, err := events.Next()
		assert.NilError(t, err)
	}
	next()
	assert.Equal(t, testing.AllocsPerRun(1000, next), 0.0)
}

type endless struct {
	event []byte
	at    int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.event[e.at:])
	e.at = (e.at + n) % len(e.event)
	return n, nil
}

// Guards against a target that counts as crashed, and its request as one that
// crashes targets, because the caller left or its time passed meanwhile.
func TestUnreachableNeedsAnAnswer(t *testing.T) {
	c := NewClient(Options{})
	alive, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := dead.Addr().String()
	assert.NilError(t, dead.Close())
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for name, x := range map[string]struct {
		ctx     context.Context
		address string
		want    bool
	}{
		"alive":            {t.Context(), alive.Addr().String(), false},
		"alive, too late":  {ended, alive.Addr().String(), false},
		"closed":           {t.Context(), address, true},
		"closed, too late": {ended, address, false},
	} {
		assert.Equal(t, c.Unreachable(x.ctx, x.address), x.want, name)
	}
	assert.NilError(t, alive.Close())
}

// endlessTarget answers each request with a prefix and then repeats a text until the
// caller closes the connection. It counts the bytes written.
func endlessTarget(t *testing.T, prefix, text string) (address string, written *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	written = &atomic.Int64{}
	var done sync.WaitGroup
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		chunk := prefix
		for {
			n, err := io.WriteString(c, chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
			chunk = strings.Repeat(text, 4096/len(text)+1)
		}
	}
	done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			done.Go(func() { serve(c) })
		}
	})
	t.Cleanup(func() { _ = l.Close(); done.Wait() })
	return l.Addr().String(), written
}

// Guards against a target whose bytes never end, in a head or a body: they must
// cost neither memory nor the time until the caller's deadline, and be no answer.
func TestEndlessBytesAreNoAnswer(t *testing.T) {
	const limit = 1 << 20 // of a body, in bytes
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ prefix, text string }{
		"status line":   {"HTTP/1.1 200 ", "x"},
		"no line":       {"", "x"},
		"fields":        {ok, "A: b\r\n"},
		"one field":     {ok + "A: ", "b"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"empty lines":   {"", "\r\n"},
		"body":          {ok + "\r\n", "x"},
		"chunks":        {ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"chunk size":    {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"trailers":      {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"other answers": {"", ok + "X-Other: 1\r\nContent-Length: 0\r\n\r\n"},
		"events":        {ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, written := endlessTarget(t, c.prefix, c.text)
			client := NewClient(Options{})
			defer func() { assert.Check(t, client.Close()) }()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			req := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(req)
			req.SetRequestURI("/")
			req.Header.SetHost(address)
			resp, err := client.Do(ctx, address, req, CallOptions{
				IdleTimeout: time.Second, Unframed: true, Match: func(m *fasthttp.Response) bool { return len(m.Header.Peek("X-Other")) == 0 },
			})
			if err == nil {
				if name == "events" {
					_, err = NewEventReader(resp).Next()
				} else {
					_, err = resp.ReadAll(limit)
				}
				assert.NilError(t, resp.Close())
			}
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
			assert.Assert(t, written.Load() < 16<<20, "%d bytes were read", written.Load()) // limit, and the buffers of the kernel
		})
	}
}
