// Package target is an HTTP/1.1 client for targets. It manages its connections
// itself instead of using a library client: for a request that is not idempotent
// the caller has to know whether any byte of it was written, and no layer below
// may retry it.
package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"mimosarelay/core/memory"
	"mimosarelay/io/http1"
)

// Sentinel errors, tested with errors.Is.
var (
	// ErrNotSent reports a failure before any byte of the request was written.
	ErrNotSent = errors.New("target: request not sent")
	// ErrBroken reports a failure after bytes of the request may have been
	// written.
	ErrBroken = errors.New("target: exchange failed, the request may have been sent")
	// ErrIdle reports that the target made no progress within the idle timeout.
	ErrIdle = errors.New("target: no progress within the idle timeout")
	// ErrStale reports that the target sent only responses to other requests. It comes
	// with ErrBroken.
	ErrStale = errors.New("target: responses to other requests")
	// ErrMalformed reports bytes that are no response. It comes with ErrBroken.
	ErrMalformed = errors.New("target: malformed response")
)

const (
	// readBufferSize bounds a response header, in bytes.
	readBufferSize  = 16 << 10
	writeBufferSize = 4 << 10
	// maxIdlePerTarget is the number of idle connections kept per address.
	maxIdlePerTarget = 64
	// maxIdleTime is shorter than the keep-alive timeout of common servers, so
	// that the target has seldom closed a connection that is reused. It applies to
	// targets that do not state their timeout.
	maxIdleTime = 4 * time.Second
)

// Options configures a Client.
type Options struct {
	// DialTimeout limits a connection attempt; 0 means 1 s.
	DialTimeout time.Duration
}

// Client sends requests to targets. It never retries a request. It is safe for
// concurrent use.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex // guards the fields below
	idle   map[string][]*conn
	closed bool
	// sweptAt is when expired connections were last closed.
	sweptAt time.Time
}

// NewClient returns a Client without open connections.
func NewClient(o Options) *Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	c := &Client{dialer: net.Dialer{Timeout: o.DialTimeout, Control: boundReceiveBuffer}, idle: map[string][]*conn{}}
	return c
}

// boundReceiveBuffer bounds what the kernel holds of an answer that waits for memory or
// for its caller.
func boundReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(memory.ReceiveBuffer))
	})
}

// CallOptions configures one exchange.
type CallOptions struct {
	// Fresh opens a new connection. The target may already have closed a reused
	// one, and a write to it does not report that.
	Fresh bool
	// IdleTimeout ends the exchange if the target makes no progress for this
	// long; 0 means 20 s.
	IdleTimeout time.Duration
	// StallTimeout ends the exchange this long after it began or after the last call
	// of Response.MarkProgress, also if bytes arrive; 0 means no limit. A target that
	// sends a byte now and then makes no progress.
	StallTimeout time.Duration
	// BeforeSend runs immediately before the first byte is written. If it returns
	// an error, nothing is sent.
	BeforeSend func() error
	// MaxConnIdleTime limits reuse to connections that have been idle for less
	// than this; 0 means any idle connection.
	MaxConnIdleTime time.Duration
	// Match reports whether a response belongs to the request. Other responses,
	// which a target sent late on a reused connection, are discarded. nil accepts
	// every response.
	Match func(*fasthttp.Response) bool
	// Unframed accepts a response with neither a content length nor chunks, which
	// ends when the connection is closed.
	Unframed bool
}

const defaultIdleTimeout = 20 * time.Second

// Do sends a request and returns when the response header has been read. The
// caller must Close the response. Errors wrap ErrNotSent or ErrBroken. After the
// idle timeout those with ErrBroken also wrap ErrIdle. The connection is closed
// when ctx ends.
func (c *Client) Do(ctx context.Context, address string, req *fasthttp.Request, o CallOptions) (*Response, error) {
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	cn, err := c.connect(ctx, address, o)
	if err != nil {
		return nil, fmt.Errorf("%w: connect to %s: %w", ErrNotSent, address, err)
	}
	if o.BeforeSend != nil {
		if err := o.BeforeSend(); err != nil {
			c.release(address, cn)
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	resp, err := cn.exchange(req, o)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, cn.classify(ctx, err)
	}
	resp.client, resp.address, resp.stopAfterFunc, resp.ctx = c, address, stop, ctx
	return resp, nil
}

// Close closes all idle connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cns := range c.idle {
		for _, cn := range cns {
			_ = cn.Close()
		}
	}
	clear(c.idle)
	return nil
}

// DropIdle closes the idle connections to one address, for example after a
// request on another connection to it failed.
func (c *Client) DropIdle(address string) {
	c.mu.Lock()
	cns := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range cns {
		_ = cn.Close()
	}
}

func (c *Client) connect(ctx context.Context, address string, o CallOptions) (*conn, error) {
	if !o.Fresh {
		if cn := c.takeIdle(address, o.MaxConnIdleTime); cn != nil {
			return cn, nil
		}
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: nc, maxIdle: maxIdleTime}
	cn.checked = http1.NewConn(cn)
	cn.reader = bufio.NewReaderSize(cn.checked, readBufferSize)
	cn.writer = bufio.NewWriterSize(cn.checked, writeBufferSize)
	return cn, nil
}

// takeIdle removes and returns a reusable connection that has been idle for less than
// both maxIdle, if that is not 0, and the time that its target allows, or returns nil.
func (c *Client) takeIdle(address string, maxIdle time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cns := c.idle[address]
	for len(cns) > 0 {
		cn := cns[len(cns)-1]
		age := time.Since(cn.idleSince)
		if maxIdle > 0 && age >= maxIdle && age < cn.maxIdle { // another request may allow this age
			return nil
		}
		cns[len(cns)-1] = nil
		cns = cns[:len(cns)-1]
		c.setIdle(address, cns)
		if age < cn.maxIdle && cn.checked.Reusable() {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

// setIdle replaces the idle connections of an address. The caller holds mu.
func (c *Client) setIdle(address string, cns []*conn) {
	if len(cns) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = cns
}

// release keeps a connection for reuse. It closes the connection if the client
// is closed or already keeps maxIdlePerTarget connections to the address.
func (c *Client) release(address string, cn *conn) {
	cn.idleSince = time.Now()
	cn.bytesWritten = 0
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || cn.maxIdle <= 0 || len(c.idle[address]) >= maxIdlePerTarget {
		_ = cn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], cn)
	c.closeExpired(cn.idleSince)
}

// closeExpired closes the connections that are idle for too long, at most once in
// sweepInterval. The caller holds mu.
func (c *Client) closeExpired(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for address, cns := range c.idle {
		c.setIdle(address, slices.DeleteFunc(cns, func(cn *conn) bool {
			if now.Sub(cn.idleSince) < cn.maxIdle {
				return false
			}
			_ = cn.Close()
			return true
		}))
	}
}

// conn is a connection with an idle timeout for each read and write. It counts
// the bytes written, to distinguish ErrNotSent from ErrBroken.
type conn struct {
	net.Conn
	checked      *http1.Conn // reads and writes through this conn
	reader       *bufio.Reader
	writer       *bufio.Writer
	bytesWritten int64
	idleTimeout  time.Duration
	stallTimeout time.Duration // 0 means no limit
	progressAt   time.Time     // when the exchange last made progress
	idleSince    time.Time
	maxIdle      time.Duration // idle time after which the connection is not reused
	timedOut     bool          // a read or write exceeded idleTimeout
}

func (cn *conn) Write(p []byte) (int, error) {
	if err := cn.SetWriteDeadline(time.Now().Add(cn.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := cn.Conn.Write(p)
	cn.bytesWritten += int64(n)
	cn.recordTimeout(err)
	return n, err
}

func (cn *conn) Read(p []byte) (int, error) {
	deadline := time.Now().Add(cn.idleTimeout)
	if stalled := cn.progressAt.Add(cn.stallTimeout); cn.stallTimeout > 0 && stalled.Before(deadline) {
		deadline = stalled
	}
	if err := cn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := cn.Conn.Read(p)
	cn.recordTimeout(err)
	return n, err
}

// recordTimeout records a timeout, because fasthttp returns an error without the
// cause if it occurred before the first byte of a response.
func (cn *conn) recordTimeout(err error) {
	var ne net.Error
	cn.timedOut = cn.timedOut || errors.As(err, &ne) && ne.Timeout()
}

// SyscallConn implements syscall.Conn.
func (cn *conn) SyscallConn() (syscall.RawConn, error) {
	return cn.Conn.(syscall.Conn).SyscallConn()
}

// maxStaleResponses is the number of responses to earlier requests that are
// discarded in one exchange.
const maxStaleResponses = 2

// exchange writes the request and reads the header of its response.
func (cn *conn) exchange(req *fasthttp.Request, o CallOptions) (*Response, error) {
	cn.idleTimeout = o.IdleTimeout
	cn.stallTimeout, cn.progressAt = o.StallTimeout, time.Now()
	cn.bytesWritten = 0
	cn.checked.Begin(req.Header.IsHead())
	if err := req.Write(cn.writer); err != nil {
		return nil, err
	}
	if err := cn.writer.Flush(); err != nil {
		return nil, err
	}
	for stale := 0; ; stale++ {
		resp, err := cn.receive(req.Header.IsHead())
		if err != nil {
			return nil, err
		}
		resp.allowUnframed = o.Unframed
		if o.Match == nil || o.Match(resp.message) {
			return resp, nil
		}
		if err := resp.discard(); err != nil || stale == maxStaleResponses {
			return nil, errors.Join(ErrStale, err)
		}
	}
}

// receive reads a response header. The body is read by Response.
func (cn *conn) receive(head bool) (*Response, error) {
	resp := &Response{conn: cn, message: fasthttp.AcquireResponse()}
	resp.message.SkipBody = head
	resp.message.StreamBody = true
	if err := resp.message.ReadLimitBody(cn.reader, 0); err != nil {
		fasthttp.ReleaseResponse(resp.message)
		return nil, err
	}
	resp.body = resp.message.BodyStream()
	if stated, ok := statedIdleTime(string(resp.message.Header.Peek(headerKeepAlive))); ok {
		cn.maxIdle = stated
	}
	return resp, nil
}

// classify wraps an error of the exchange in ErrNotSent if no byte was written and
// in ErrBroken otherwise. After the idle timeout ErrBroken comes with ErrIdle.
func (cn *conn) classify(ctx context.Context, err error) error {
	if cn.bytesWritten == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrBroken, ctx.Err())
	}
	if cn.timedOut {
		return fmt.Errorf("%w: %w: %w", ErrBroken, ErrIdle, err)
	}
	if cn.checked.Malformed() {
		return fmt.Errorf("%w: %w: %w", ErrBroken, ErrMalformed, err)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// Reachable reports whether the target accepts a new connection.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = nc.Close()
	return true
}

// Unreachable reports whether the target does not accept a new connection. It is
// false if ctx ended first, because the state of the target is then unknown.
func (c *Client) Unreachable(ctx context.Context, address string) bool {
	return !c.Reachable(ctx, address) && ctx.Err() == nil
}

// loadPath is an endpoint that every target serves.
const loadPath = "/v1/load"

// goneTimeout limits the request that Gone sends.
const goneTimeout = time.Second

// Gone reports whether the target refuses a new connection or closes it without
// a response. It sends a request because a proxy or supervisor in front of a
// crashed process may still accept connections. A target that does not respond
// is not gone. If ctx has ended, the state is unknown and Gone returns false.
func (c *Client) Gone(ctx context.Context, address string) bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(loadPath)
	req.Header.SetHost(address)
	resp, err := c.Do(ctx, address, req, CallOptions{Fresh: true, IdleTimeout: goneTimeout})
	if err != nil {
		return ctx.Err() == nil && !errors.Is(err, ErrIdle)
	}
	_ = resp.Close()
	return false
}
