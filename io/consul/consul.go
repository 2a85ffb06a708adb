// Package consul implements store.Store and the host list over the published
// HTTP API of Consul: KV, sessions, agent services and the catalog.
//
// A value is stored as an envelope: the change id of the write (a UUID, 36
// bytes), a newline, then the value. The change id tells after a lost answer
// whether the write took effect.
//
// Session TTLs below 10 s require session_ttl_min in the settings of the
// Consul servers.
package consul

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/store"
)

const (
	defaultPrefix  = "mimosarelay/"
	defaultTimeout = time.Second
	// idleConn keeps idle connections shorter than the server does, because a
	// write on a connection that the server just closed has an unknown outcome.
	idleConn = 5 * time.Second
	maxConns = 64
	// maxListBody bounds one response; a recursive read returns many values.
	maxListBody = 64 << 20
)

// Options configures a Client.
type Options struct {
	// Address is IP:port of the HTTP API.
	Address string
	// Prefix is put before every key; "" means "mimosarelay/".
	Prefix string
	// Timeout bounds one call; 0 means 1 s.
	Timeout time.Duration
	// LocalIP is the source address of connections; nil means any.
	LocalIP net.IP
	// Token is sent as X-Consul-Token; "" sends none.
	Token string
}

// Client talks to one Consul HTTP API. It is safe for concurrent use.
type Client struct {
	options Options
	http    *fasthttp.HostClient
}

var _ store.Store = (*Client)(nil)

// New returns a client. It connects at the first call.
func New(o Options) (*Client, error) {
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return nil, fmt.Errorf("consul address %q: %w", o.Address, err)
	}
	if o.Prefix == "" {
		o.Prefix = defaultPrefix
	}
	if o.Timeout < 0 {
		return nil, fmt.Errorf("consul timeout %v is negative", o.Timeout)
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	c := &Client{options: o}
	c.http = c.newHTTP(func(net.Conn) {})
	return c, nil
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// newHTTP returns an HTTP client that never sends a request twice. dialed is
// called with each new connection.
func (c *Client) newHTTP(dialed func(net.Conn)) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: c.options.Address,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := c.dialer().Dial("tcp", addr)
			if err != nil {
				return nil, &dialError{err}
			}
			dialed(conn)
			return conn, nil
		},
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       idleConn,
		MaxResponseBodySize:       maxListBody,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisablePathNormalizing:    true, // the server decodes escaped keys
		NoDefaultUserAgentHeader:  true,
	}
}

func (c *Client) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: c.options.Timeout}
	if c.options.LocalIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: c.options.LocalIP}
	}
	return d
}

// dialError marks a call whose request was not sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

type request struct {
	method, path string
	query        url.Values
	body         []byte
	timeout      time.Duration // 0: the timeout of the options
	// mayMiss lets status 404 through, where it stands for a missing key or
	// session and not for a missing endpoint.
	mayMiss bool
	// harmless marks a request that may be repeated or forgotten: a failure to
	// answer is ErrUnavailable instead of ErrUnknown.
	harmless bool
}

type response struct {
	status int
	index  string // X-Consul-Index
	body   []byte
}

// do sends one request. It fails with ErrUnavailable if the request was not
// sent, and with ErrUnknown if it may have been carried out.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	return c.doWith(ctx, c.http, r)
}

func (c *Client) doWith(ctx context.Context, h *fasthttp.HostClient, r request) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, fmt.Errorf("%s %s: %w: %w", r.method, r.path, store.ErrUnavailable, err)
	}
	type result struct {
		response response
		err      error
	}
	// fasthttp knows no contexts; an abandoned call ends at its timeout.
	done := make(chan result, 1)
	go func() {
		res, err := c.exchange(h, r)
		done <- result{res, err}
	}()
	select {
	case res := <-done:
		return res.response, res.err
	case <-ctx.Done():
		return response{}, fmt.Errorf("%s %s: %w: %w", r.method, r.path, r.silence(), ctx.Err())
	}
}

func (c *Client) exchange(h *fasthttp.HostClient, r request) (response, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + c.options.Address + r.path + "?" + r.query.Encode())
	req.Header.SetMethod(r.method)
	if c.options.Token != "" {
		req.Header.Set("X-Consul-Token", c.options.Token)
	}
	req.SetBodyRaw(r.body)
	timeout := r.timeout
	if timeout == 0 {
		timeout = c.options.Timeout
	}
	if err := h.DoTimeout(req, res, timeout); err != nil {
		return response{}, fmt.Errorf("%s %s: %w: %w", r.method, r.path, r.classify(err), err)
	}
	out := response{
		status: res.StatusCode(),
		index:  string(res.Header.Peek("X-Consul-Index")),
		body:   append([]byte(nil), res.Body()...),
	}
	if out.status == fasthttp.StatusOK || (r.mayMiss && out.status == fasthttp.StatusNotFound) {
		return out, nil
	}
	return out, fmt.Errorf("%s %s: %w", r.method, r.path, r.statusError(out))
}

// silence returns the sentinel error of a call that was sent and not answered.
func (r request) silence() error {
	if r.harmless {
		return store.ErrUnavailable
	}
	return store.ErrUnknown
}

// classify tells whether a failed call may have been carried out.
func (r request) classify(err error) error {
	var d *dialError
	if errors.As(err, &d) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return store.ErrUnavailable
	}
	return r.silence()
}

func (r request) statusError(res response) error {
	text := strings.TrimSpace(string(res.body))
	switch {
	case res.status == fasthttp.StatusTooManyRequests:
		return fmt.Errorf("status %d: %q: %w", res.status, text, store.ErrUnavailable)
	case res.status >= 500: // Consul also answers 500 when it lost track of a write
		return fmt.Errorf("status %d: %q: %w", res.status, text, r.silence())
	default:
		return fmt.Errorf("status %d: %q", res.status, text)
	}
}
