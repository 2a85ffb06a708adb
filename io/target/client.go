// Package target talks HTTP/1.1 to targets. It owns its connections instead of
// using a library client, because a call that may not be repeated needs to
// know whether any byte of it left, and no layer may send it again.
package target

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// Sentinel errors, tested with errors.Is.
var (
	// ErrNotSent reports a failure before any byte of the request left.
	ErrNotSent = errors.New("target: request not sent")
	// ErrBroken reports a failure after bytes of the request may have left.
	ErrBroken = errors.New("target: exchange broken")
	// ErrIdle reports a target that made no progress within the idle limit.
	ErrIdle = errors.New("target: no progress")
)

const (
	// readBufferSize bounds a response header, in bytes.
	readBufferSize  = 16 << 10
	writeBufferSize = 4 << 10
	// maxIdlePerTarget bounds the idle connections kept per address.
	maxIdlePerTarget = 64
	// maxIdleTime is shorter than the keep-alive time of common servers, so
	// that reused connections are seldom already closed on the other side.
	maxIdleTime = 4 * time.Second
)

// Options configures a Client.
type Options struct {
	// DialTimeout bounds a connection attempt; 0 means 1 s.
	DialTimeout time.Duration
}

// Client sends requests to targets. It never repeats a request.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex // guards idle and closed
	idle   map[string][]*conn
	closed bool
}

// NewClient returns a Client.
func NewClient(o Options) *Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	c := &Client{dialer: net.Dialer{Timeout: o.DialTimeout}, idle: map[string][]*conn{}}
	return c
}

// CallOptions configures one exchange.
type CallOptions struct {
	// Fresh asks for a new connection. A reused connection may already be
	// closed by the target, and a write to it does not tell.
	Fresh bool
	// Idle ends the exchange when the target makes no progress for so long;
	// 0 means 20 s.
	IdleTimeout time.Duration
	// BeforeSend runs immediately before the first byte is written. An error
	// stops the exchange with nothing sent.
	BeforeSend func() error
	// MaxIdle reuses only a connection that has been idle for less; 0 means
	// any that is kept.
	MaxConnIdleTime time.Duration
	// Match tells whether a response belongs to the request. Others, which a
	// target sent late on a reused connection, are dropped. nil accepts all.
	Match func(*fasthttp.Response) bool
	// Unframed accepts a response without length, which ends with its
	// connection.
	Unframed bool
}

const defaultIdleTimeout = 20 * time.Second

// Do sends a request and returns after the response header was read. The
// caller must Close the response. Errors wrap ErrNotSent, ErrBroken or
// ErrIdle. The end of ctx closes the connection.
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

// DropIdle closes the idle connections to one address, for example after one
// connection to it went silent.
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
		if cn := c.takeIdle(address, cmp.Or(o.MaxConnIdleTime, maxIdleTime)); cn != nil {
			return cn, nil
		}
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: nc}
	cn.reader = bufio.NewReaderSize(cn, readBufferSize)
	cn.writer = bufio.NewWriterSize(cn, writeBufferSize)
	return cn, nil
}

// takeIdle returns a kept connection that has been idle for less than maxIdle
// and on which nothing arrived meanwhile, or nil.
func (c *Client) takeIdle(address string, maxIdle time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cns := c.idle[address]
	for len(cns) > 0 {
		cn := cns[len(cns)-1]
		cns = cns[:len(cns)-1]
		c.idle[address] = cns
		age := time.Since(cn.idleSince)
		if age < maxIdle && cn.reusable() {
			return cn
		}
		if age < maxIdleTime && age >= maxIdle { // others may still use it
			c.idle[address] = append(c.idle[address], cn)
			return nil
		}
		_ = cn.Close()
	}
	return nil
}

func (c *Client) release(address string, cn *conn) {
	cn.idleSince = time.Now()
	cn.bytesWritten = 0
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[address]) >= maxIdlePerTarget {
		_ = cn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], cn)
}

// conn counts the bytes written, so that a failure can prove that nothing
// left.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	writer       *bufio.Writer
	bytesWritten int64
	idleTimeout  time.Duration
	idleSince    time.Time
	timedOut     bool // a read or write made no progress within idle
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
	if err := cn.SetReadDeadline(time.Now().Add(cn.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := cn.Conn.Read(p)
	cn.recordTimeout(err)
	return n, err
}

// noteTimeout keeps what the library does not tell: its error for a response
// without a first byte hides the cause from errors.As.
func (cn *conn) recordTimeout(err error) {
	var ne net.Error
	cn.timedOut = cn.timedOut || errors.As(err, &ne) && ne.Timeout()
}

// quiet says that the target has neither closed the connection nor sent
// anything on it since the last exchange.
func (cn *conn) reusable() bool {
	raw, err := cn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// maxStray bounds the responses of earlier requests that are dropped in one
// exchange.
const maxStaleResponses = 2

func (cn *conn) exchange(req *fasthttp.Request, o CallOptions) (*Response, error) {
	cn.idleTimeout = o.IdleTimeout
	cn.bytesWritten = 0
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
			return nil, errors.Join(errStaleResponse, err)
		}
	}
}

// errStray reports responses that belong to other requests.
var errStaleResponse = errors.New("response belongs to another request")

func (cn *conn) receive(head bool) (*Response, error) {
	resp := &Response{conn: cn, message: fasthttp.AcquireResponse()}
	resp.message.SkipBody = head
	resp.message.StreamBody = true
	if err := resp.message.ReadLimitBody(cn.reader, 0); err != nil {
		fasthttp.ReleaseResponse(resp.message)
		return nil, err
	}
	resp.body = resp.message.BodyStream()
	return resp, nil
}

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
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// Reachable says whether the target accepts a new connection.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = nc.Close()
	return true
}

// Unreachable says that the target does not accept a new connection. It is false
// if ctx ended first, because then nothing is known of the target.
func (c *Client) Unreachable(ctx context.Context, address string) bool {
	return !c.Reachable(ctx, address) && ctx.Err() == nil
}

// loadPath is served by every target.
const loadPath = "/v1/load"

// goneTimeout bounds the question whether a target is gone.
const goneTimeout = time.Second

// Gone says whether the target refuses a new connection, or closes it without
// an answer. A machine or supervisor in front of a crashed process may accept
// connections, so that a connection alone does not prove that the target runs.
// A target that hangs is not gone, and nothing is known once ctx has ended.
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
