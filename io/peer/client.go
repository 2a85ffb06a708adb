// Package peer is the transport between entry hosts: drpc over TCP or mutual
// TLS, with the messages of package peerpb.
package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"mimosarelay/io/peer/peerpb"
)

// Sentinel errors, tested with errors.Is.
var (
	// ErrNotSent reports an RPC of which no byte left this host, because no
	// connection could be opened.
	ErrNotSent = errors.New("peer: request not sent")
	// ErrClosed reports the use of a closed Client.
	ErrClosed = errors.New("peer: client is closed")
)

// Defaults of Options.
const (
	defaultDialTimeout  = 500 * time.Millisecond
	defaultCallTimeout  = 5 * time.Second
	defaultWriteTimeout = 5 * time.Second
	defaultIdleTimeout  = 30 * time.Second
	defaultIdlePerPeer  = 32 // connections
)

// maxMessage is the largest message accepted from a peer, in bytes. Batches of
// records exceed the 4 MiB that drpc allows by default.
const maxMessageSize = 16 << 20

// Options configures a Client. Zero values mean the defaults.
type Options struct {
	// TLS holds the client certificate and the roots of the peers; nil means
	// plain TCP. An empty ServerName means the IP address dialled.
	TLS *tls.Config
	// TLSFor returns the configuration for one connection, so that replaced
	// certificates are used at once. It goes before TLS.
	TLSFor func(address string) (*tls.Config, error)
	// LocalIP is the source address of connections; nil means any.
	LocalIP net.IP
	// DialTimeout bounds opening a connection with its TLS handshake; 0 means
	// 500 ms.
	DialTimeout time.Duration
	// CallTimeout bounds a unary RPC in addition to its context; 0 means 5 s.
	CallTimeout time.Duration
	// WriteTimeout bounds each write to a connection; 0 means 5 s.
	WriteTimeout time.Duration
	// StreamIdle ends a stream on which no message arrives for this long; 0
	// means no bound.
	StreamIdleTimeout time.Duration
	// Idle closes an unused connection after this long; 0 means 30 s.
	IdleTimeout time.Duration
	// IdlePerPeer is the number of unused connections kept per peer; 0 means
	// 32.
	IdlePerPeer int
}

func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, defaultWriteTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.IdlePerPeer = cmp.Or(o.IdlePerPeer, defaultIdlePerPeer)
	return o
}

// class separates connections by use. Heartbeats have connections of their
// own, so that a large message never delays one.
type connClass uint8

const (
	generalConn connClass = iota
	heartbeatConn
)

type poolKey struct {
	address string
	class   connClass
}

// Client sends RPCs to peers. A connection carries one RPC at a time and is
// reused only after an RPC that ended without error. It is safe for concurrent
// use.
type Client struct {
	options Options
	dialer  net.Dialer
	pool    *drpcpool.Pool[poolKey, *drpcconn.Conn]
	closed  atomic.Bool
}

// NewClient returns a Client without open connections.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	var dialer net.Dialer
	if options.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: options.LocalIP}
	}
	return &Client{
		options: options,
		dialer:  dialer,
		pool: drpcpool.New[poolKey, *drpcconn.Conn](drpcpool.Options{
			Expiration:  options.IdleTimeout,
			KeyCapacity: options.IdlePerPeer,
		}),
	}
}

// Close closes the unused connections. Connections in use are closed when
// their RPC ends.
func (c *Client) Close() error {
	c.closed.Store(true)
	return c.pool.Close()
}

func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	transport, err := c.dialTransport(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	conn := &deadlineConn{Conn: transport, timeout: c.options.WriteTimeout}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func (c *Client) dialTransport(ctx context.Context, address string) (net.Conn, error) {
	config := c.options.TLS
	if c.options.TLSFor != nil {
		var err error
		if config, err = c.options.TLSFor(address); err != nil {
			return nil, err
		}
	}
	if config == nil {
		return c.dialer.DialContext(ctx, "tcp", address)
	}
	d := tls.Dialer{NetDialer: &c.dialer, Config: config}
	return d.DialContext(ctx, "tcp", address)
}

// take returns an unused connection or opens one.
func (c *Client) acquire(ctx context.Context, k poolKey) (*drpcconn.Conn, error) {
	if c.closed.Load() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if conn, ok := c.pool.Take(k); ok {
		return conn, nil
	}
	return c.dial(ctx, k.address)
}

// giveBack keeps the connection for reuse.
func (c *Client) release(k poolKey, conn *drpcconn.Conn) {
	c.pool.Put(k, conn)
	if c.closed.Load() {
		// Close may have emptied the pool before the Put above.
		_ = c.pool.Close()
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize}}
}

// deadlineConn bounds each write, so that a peer that stopped reading cannot
// block its sender.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// unary runs one RPC on a connection of its class.
func unary[Request, Response any](
	ctx context.Context, c *Client, k poolKey, request Request,
	rpc func(peerpb.DRPCPeerClient, context.Context, Request) (Response, error),
) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	var zero Response
	conn, err := c.acquire(ctx, k)
	if err != nil {
		return zero, fmt.Errorf("peer %s: %w", k.address, err)
	}
	response, err := rpc(peerpb.NewDRPCPeerClient(conn), ctx, request)
	if err != nil {
		_ = conn.Close()
		return zero, fmt.Errorf("peer %s: %w", k.address, explainError(ctx.Err(), err))
	}
	c.release(k, conn)
	return response, nil
}

// describe makes an error of drpc tell why an RPC ended. If the context ended,
// drpc may return the error of the connection it closed. If the connection
// broke, drpc returns context.Canceled, although nobody cancelled the RPC.
func explainError(contextErr, err error) error {
	switch {
	case contextErr != nil && !errors.Is(err, contextErr):
		return fmt.Errorf("%w: %w", contextErr, err)
	case contextErr == nil && isConnectionError(err):
		return fmt.Errorf("connection broken: %w", io.ErrUnexpectedEOF)
	default:
		return err
	}
}

func isConnectionError(err error) bool {
	var network *net.OpError
	return errors.Is(err, context.Canceled) || errors.Is(err, io.EOF) ||
		drpc.ClosedError.Has(err) || errors.As(err, &network)
}

// Heartbeat sends a heartbeat on a connection used for heartbeats only.
func (c *Client) Heartbeat(ctx context.Context, address string, request *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return unary(ctx, c, poolKey{address, heartbeatConn}, request, peerpb.DRPCPeerClient.Heartbeat)
}

// GetConfig fetches the newest configuration document the peer knows.
func (c *Client) GetConfig(ctx context.Context, address string, request *peerpb.GetConfigRequest) (*peerpb.GetConfigResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.GetConfig)
}

// MoveShare asks the peer for a part of a workspace's share.
func (c *Client) MoveShare(ctx context.Context, address string, request *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.MoveShare)
}

// Replicate stores copies of program records at the peer.
func (c *Client) Replicate(ctx context.Context, address string, request *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.Replicate)
}

// TakeShards asks the peer to hand shards over.
func (c *Client) TakeShards(ctx context.Context, address string, request *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.TakeShards)
}

// MarkSuspect tells the peer about a request that crashed a target.
func (c *Client) MarkSuspect(ctx context.Context, address string, request *peerpb.MarkSuspectRequest) (*peerpb.MarkSuspectResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.MarkSuspect)
}

// BorrowPlace asks a peer for one place at a target.
func (c *Client) BorrowPlace(ctx context.Context, address string, request *peerpb.BorrowPlaceRequest) (*peerpb.BorrowPlaceResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.BorrowPlace)
}

// ReturnPlace gives a borrowed place back.
func (c *Client) ReturnPlace(ctx context.Context, address string, request *peerpb.ReturnPlaceRequest) (*peerpb.ReturnPlaceResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.ReturnPlace)
}

// LivePrograms lists the programs that live at a peer.
func (c *Client) LivePrograms(ctx context.Context, address string, request *peerpb.LiveProgramsRequest) (*peerpb.LiveProgramsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.LivePrograms)
}

// Follow tells a keeper that this host lives. It shares the connections of
// heartbeats.
func (c *Client) Follow(ctx context.Context, address string, request *peerpb.FollowRequest) (*peerpb.FollowResponse, error) {
	return unary(ctx, c, poolKey{address, heartbeatConn}, request, peerpb.DRPCPeerClient.Follow)
}

// Admit takes a token of a workspace's rate at a keeper.
func (c *Client) Admit(ctx context.Context, address string, request *peerpb.AdmitRequest) (*peerpb.AdmitResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.Admit)
}

// Configuration asks a keeper for the configuration.
func (c *Client) Configuration(ctx context.Context, address string, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.Configuration)
}

// Targets asks a keeper for the targets.
func (c *Client) Targets(ctx context.Context, address string, request *peerpb.TargetsRequest) (*peerpb.TargetsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.Targets)
}

// ReserveTurn reserves the tokens of a turn.
func (c *Client) ReserveTurn(ctx context.Context, address string, request *peerpb.ReserveTurnRequest) (*peerpb.ReserveTurnResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.ReserveTurn)
}

// EndTurn settles a reserved turn.
func (c *Client) EndTurn(ctx context.Context, address string, request *peerpb.EndTurnRequest) (*peerpb.EndTurnResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.EndTurn)
}

// KeepBudgets sends a copy of budget records.
func (c *Client) KeepBudgets(ctx context.Context, address string, page *peerpb.BudgetPage) (*peerpb.KeepBudgetsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, page, peerpb.DRPCPeerClient.KeepBudgets)
}

// FetchBudgets asks for copies of budget records.
func (c *Client) FetchBudgets(ctx context.Context, address string, request *peerpb.FetchBudgetsRequest) (*peerpb.FetchBudgetsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.FetchBudgets)
}
