// Package storehttp is an HTTP client for the API of a key-value store. Its
// errors distinguish requests that were not executed from requests that may have
// been executed. It never retries a request.
package storehttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"mimosarelay/core/memory"
	"mimosarelay/core/store"
	"mimosarelay/io/buffer"
	"mimosarelay/io/http1"
)

const (
	defaultTimeout = time.Second
	// maxIdleConnTime is shorter than the keep-alive timeout of the server,
	// because a write on a connection that the server has just closed has an
	// unknown outcome.
	maxIdleConnTime = 5 * time.Second
	maxConns        = 64
	// maxResponseBody is the size limit of one response, in bytes. A recursive
	// read returns many values.
	maxResponseBody = 64 << 20
	// smallResponse is the size up to which a response is not reserved, in bytes, so that
	// hosts whose callers have filled the account go on with the store.
	smallResponse = 256 << 10
	// memoryWait is how long a larger response waits for memory.
	memoryWait = 250 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	// Address is IP:port of the HTTP API.
	Address string
	// Timeout limits one request; 0 means 1 s.
	Timeout time.Duration
	// LocalIP is the source address of connections; nil means any.
	LocalIP net.IP
	// Headers are added to each request.
	Headers map[string]string
	// ResponseHeader is the name of the header whose value is returned in
	// Response.Header.
	ResponseHeader string
}

// Client is a client of one HTTP API. It is safe for concurrent use.
type Client struct {
	options Options
	http    *fasthttp.HostClient
	memory  atomic.Pointer[memory.Account]
}

// New returns a client. It connects with the first request.
func New(o Options) (*Client, error) {
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return nil, fmt.Errorf("invalid store address %q: %w", o.Address, err)
	}
	if o.Timeout < 0 {
		return nil, fmt.Errorf("store timeout %v is negative", o.Timeout)
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	c := &Client{options: o}
	c.http = c.newHTTPClient(func(net.Conn) {})
	return c, nil
}

// Timeout returns the default timeout of a request.
func (c *Client) Timeout() time.Duration { return c.options.Timeout }

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// newHTTPClient returns an HTTP client that never retries a request. It calls
// dialed with each new connection.
func (c *Client) newHTTPClient(dialed func(net.Conn)) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: c.options.Address,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := c.dialer().Dial("tcp", addr)
			if err != nil {
				return nil, &notSentError{err}
			}
			dialed(conn)
			return &exchangeConn{Conn: http1.NewConn(conn)}, nil
		},
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       maxIdleConnTime,
		StreamResponseBody:        true,
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

// notSentError marks a failure before any byte of the request was sent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// Request is one HTTP request.
type Request struct {
	Method, Path string
	Query        url.Values
	ContentType  string
	Body         []byte
	Timeout      time.Duration // 0 means Options.Timeout
	// Accept lists the statuses besides 200 that are not returned as an error.
	Accept []int
	// SafeToRetry marks a request that does no harm if it is executed twice or
	// unnoticed. If it gets no response, the error is ErrUnavailable instead of
	// ErrUnknown.
	SafeToRetry bool
	// NotExecutedOn503 means that the service returns status 503 only for
	// requests that it did not execute, so that the error is ErrUnavailable.
	NotExecutedOn503 bool
}

// Response is the response to a Request.
type Response struct {
	Status int
	Header string // value of the header Options.ResponseHeader
	Body   []byte
}

// Do sends one request. It fails with store.ErrUnavailable if the request was
// not executed or is SafeToRetry, and with store.ErrUnknown if it may have been
// executed.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	return c.doWith(ctx, c.http, r)
}

// doWith is Do with an HTTP client that newHTTPClient returned.
func (c *Client) doWith(ctx context.Context, h *fasthttp.HostClient, r Request) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, fmt.Errorf("%s %s: %w: %w", r.Method, r.Path, store.ErrUnavailable, err)
	}
	type result struct {
		response Response
		err      error
	}
	// fasthttp does not support contexts. A request whose context has ended
	// continues until its timeout.
	done := make(chan result, 1)
	go func() {
		res, err := c.exchange(h, r)
		done <- result{res, err}
	}()
	select {
	case res := <-done:
		return res.response, res.err
	case <-ctx.Done():
		return Response{}, fmt.Errorf("%s %s: %w: %w", r.Method, r.Path, r.noResponseError(), ctx.Err())
	}
}

// DoCancelable is Do on a separate connection, which is closed when ctx ends. This
// also ends a request that blocks for a long time at the server.
func (c *Client) DoCancelable(ctx context.Context, r Request) (Response, error) {
	conn := &guardedConn{}
	h := c.newHTTPClient(conn.set)
	h.MaxConns = 1
	defer conn.close()
	return c.doWith(ctx, h, r)
}

func (c *Client) exchange(h *fasthttp.HostClient, r Request) (Response, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	uri := "http://" + c.options.Address + r.Path
	if len(r.Query) > 0 {
		uri += "?" + r.Query.Encode()
	}
	req.SetRequestURI(uri)
	req.Header.SetMethod(r.Method)
	for name, value := range c.options.Headers {
		req.Header.Set(name, value)
	}
	if r.ContentType != "" {
		req.Header.SetContentType(r.ContentType)
	}
	req.SetBodyRaw(r.Body)
	timeout := r.Timeout
	if timeout == 0 {
		timeout = c.options.Timeout
	}
	err := h.DoTimeout(req, res, timeout)
	for range maxConns {
		if !errors.Is(err, errNotReusable) {
			break
		}
		err = h.DoTimeout(req, res, timeout) // nothing was sent
	}
	if err != nil {
		return Response{}, fmt.Errorf("%s %s: %w: %w", r.Method, r.Path, r.classify(err), err)
	}
	out := Response{Status: res.StatusCode()}
	if out.Body, err = c.readBody(res); err != nil {
		return Response{}, fmt.Errorf("%s %s: %w: read response: %w", r.Method, r.Path, r.noResponseError(), err)
	}
	if c.options.ResponseHeader != "" {
		out.Header = string(res.Header.Peek(c.options.ResponseHeader))
	}
	if r.accepts(out.Status) {
		return out, nil
	}
	return out, fmt.Errorf("%s %s: %w", r.Method, r.Path, r.statusError(out))
}

// readBody reads the body of a response. What is above smallResponse is reserved while
// it arrives. A connection on which a body was not read to its end is not used again.
func (c *Client) readBody(res *fasthttp.Response) ([]byte, error) {
	stream := res.BodyStream()
	if stream == nil {
		return bytes.Clone(res.Body()), nil
	}
	body, err := c.readStream(stream)
	if closeErr := res.CloseBodyStream(); err == nil {
		err = closeErr
	}
	return body, err
}

func (c *Client) readStream(stream io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(stream, smallResponse+1))
	if err != nil || len(body) <= smallResponse {
		return body, err
	}
	h, err := c.memory.Load().Open(netip.Addr{}, 0, func(memory.Phase) {})
	if err != nil {
		return nil, err
	}
	defer h.Close()
	h.SetPhase(memory.Running) // a request of this host is not evicted
	whole, err := buffer.Read(context.Background(), h, io.MultiReader(bytes.NewReader(body), stream), buffer.Options{
		Kind: memory.Messages, Length: -1, Limit: maxResponseBody, MaxWait: memoryWait,
	})
	defer whole.Release()
	if err != nil {
		return nil, err
	}
	return whole.Keep(), nil
}

// SetMemory sets the account from which responses above 256 KiB are reserved while they
// arrive; nil means no limit.
func (c *Client) SetMemory(a *memory.Account) { c.memory.Store(a) }

func (r Request) accepts(status int) bool {
	if status == fasthttp.StatusOK {
		return true
	}
	for _, s := range r.Accept {
		if s == status {
			return true
		}
	}
	return false
}

// noResponseError returns the sentinel error for a request that was sent and got
// no response.
func (r Request) noResponseError() error {
	if r.SafeToRetry {
		return store.ErrUnavailable
	}
	return store.ErrUnknown
}

// classify returns the sentinel error for a failed request, depending on whether
// it may have been executed.
func (r Request) classify(err error) error {
	var notSent *notSentError
	if errors.As(err, &notSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return store.ErrUnavailable
	}
	return r.noResponseError()
}

// statusError returns the error for a response whose status is not accepted.
func (r Request) statusError(res Response) error {
	text := bytes.TrimSpace(res.Body)
	switch {
	case res.Status == fasthttp.StatusTooManyRequests,
		res.Status == fasthttp.StatusServiceUnavailable && r.NotExecutedOn503:
		return fmt.Errorf("status %d: %q: %w", res.Status, text, store.ErrUnavailable)
	case res.Status >= fasthttp.StatusInternalServerError:
		return fmt.Errorf("status %d: %q: %w", res.Status, text, r.noResponseError())
	default:
		return fmt.Errorf("status %d: %q", res.Status, text)
	}
}

// envelopePrefixLength is the length of a change id and its newline, in bytes.
const envelopePrefixLength = 37

// Envelope prepends a new change id (a UUID) and a newline to value. If the
// response to a write is lost, the change id shows whether the write took effect.
func Envelope(key string, value []byte) (id string, enveloped []byte, err error) {
	if len(value)+envelopePrefixLength > store.MaxValue {
		return "", nil, fmt.Errorf("put %q: value has %d bytes, which exceed the limit of %d", key, len(value), store.MaxValue-envelopePrefixLength)
	}
	id = uuid.NewString()
	return id, append([]byte(id+"\n"), value...), nil
}

// ParseEnvelope splits a stored value into its change id and content. It returns
// false if the value has no change id.
func ParseEnvelope(value []byte) (id string, content []byte, ok bool) {
	if len(value) < envelopePrefixLength || value[envelopePrefixLength-1] != '\n' {
		return "", nil, false
	}
	id = string(value[:envelopePrefixLength-1])
	if uuid.Validate(id) != nil {
		return "", nil, false
	}
	return id, value[envelopePrefixLength:], true
}
