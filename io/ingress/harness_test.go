package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"mimosarelay/app/relay"
	"mimosarelay/core/config"
	coreingress "mimosarelay/core/ingress"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/io/ingress"
)

const (
	goodKey   = "key-good"
	bodyLimit = 1 << 20
)

// fakeDialect takes the key of a request from the header field Key.
type fakeDialect struct{}

// Fields implements ingress.Dialect.
func (fakeDialect) Fields(r *fasthttp.Request) (ingress.Fields, error) {
	return ingress.Fields{ID: "x", Key: string(r.Header.Peek("Key"))}, nil
}

// Refuse implements ingress.Dialect.
func (fakeDialect) Refuse(r *fasthttp.Response, _ model.RequestID, refusal *model.Refusal) {
	status := fasthttp.StatusServiceUnavailable
	for kind, s := range map[error]int{
		model.ErrUnauthorized: 401, model.ErrTooLarge: 413, model.ErrBadRequest: 400, model.ErrNotFound: 404, ingress.ErrRequestTimeout: 408,
	} {
		if errors.Is(refusal, kind) {
			status = s
		}
	}
	r.SetStatusCode(status)
	if refusal.RetryAfter > 0 {
		r.Header.Set("Retry-After", fmt.Sprint(refusal.RetryAfter.Seconds()))
	}
}

// echo answers each request with its body and counts those that ran.
type echo struct{ ran atomic.Int64 }

// Forward implements ingress.Relay.
func (e *echo) Forward(_ context.Context, f *relay.Forward) (*relay.Answer, error) {
	e.ran.Add(1)
	body := bytes.Clone(f.Body)
	return &relay.Answer{Status: 200, Body: io.NopCloser(bytes.NewReader(body)), Length: len(body)}, nil
}

// harness is a server with one workspace, whose key can be withdrawn.
type harness struct {
	echo
	address string
	account *memory.Account // nil without a limit
	mu      sync.Mutex
	view    *coreingress.View
}

func newHarness(t testing.TB, account *memory.Account) *harness {
	t.Helper()
	h := &harness{account: account}
	h.setKey(t, goodKey)
	limits := coreingress.Limits{HeaderBytes: 16 << 10, BodyBytes: bodyLimit, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	s := ingress.New(ingress.Options{
		Relay: h, Dialect: fakeDialect{}, Limits: func() coreingress.Limits { return limits },
		View: func() (*coreingress.View, error) {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.view, nil
		},
		Confirm:      func(context.Context) error { return nil },
		Confirmation: func() (model.Revision, time.Duration) { return 1, 0 },
		Drain:        func() *ingress.Drain { return nil },
		Memory:       account, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h.address = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx) // connections of the test may be open
		assert.Check(t, <-served)
	})
	return h
}

func (h *harness) setKey(t testing.TB, key string) {
	t.Helper()
	k, err := config.NewOpaqueKey(key)
	assert.NilError(t, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view = coreingress.NewView(&coreingress.Document{
		Workspaces: []config.Workspace{{Name: "w", Keys: []config.Key{k}}},
		Routes: []coreingress.Route{{
			Name: "r", Host: "h", Prefix: "/", Timeout: 10 * time.Second, RetryPolicy: coreingress.Idempotent{},
			Services: []coreingress.WeightedService{{Service: "s", Weight: 1}},
		}},
	}, nil)
}

func newAccount(capacity memory.Bytes) *memory.Account {
	return memory.New(memory.Options{Capacity: capacity, MaxHolders: 1000, Clock: clockwork.NewRealClock()})
}

func (h *harness) dial(t testing.TB) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", h.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(15*time.Second)))
	return c, bufio.NewReader(c)
}

func head(key string, fields ...string) []byte {
	b := fmt.Appendf(nil, "POST /x HTTP/1.1\r\nHost: h\r\nKey: %s\r\n", key)
	for _, f := range fields {
		b = append(b, f+"\r\n"...)
	}
	return append(b, "\r\n"...)
}

// post sends a request with a body.
func post(t testing.TB, c net.Conn, key string, body []byte) {
	t.Helper()
	_, err := c.Write(append(head(key, fmt.Sprint("Content-Length: ", len(body))), body...))
	assert.NilError(t, err)
}

// answer reads an answer and returns its status, body and Retry-After.
func answer(t testing.TB, r *bufio.Reader) (status int, body []byte, retryAfter string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, body, resp.Header.Get("Retry-After")
}
