// Package peer implements the RPCs between hosts: drpc over TCP or mutual TLS,
// with the messages of package peerpb.
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

	"mimosarelay/core/memory"
	"mimosarelay/io/peer/peerpb"
)

// Sentinel errors, tested with errors.Is.
var (
	// ErrNotSent reports an RPC of which no byte was sent, because there was no
	// connection to the peer.
	ErrNotSent = errors.New("peer: request not sent")
	// ErrClosed reports an RPC on a closed Client.
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

// freeTimeout limits the wait for a connection whose RPC has ended.
const freeTimeout = 100 * time.Millisecond

// maxMessageSize is the largest message accepted from a peer, in bytes. Batches
// of records exceed the 4 MiB that drpc allows by default.
const maxMessageSize = 16 << 20

// Options configures a Client.
type Options struct {
	// TLS holds the client certificate and the roots of the peers; nil means
	// plain TCP. If ServerName is empty, the IP address of the peer is verified.
	TLS *tls.Config
	// TLSFor returns the configuration for a new connection to the address, so
	// that replaced certificates take effect without a restart. It takes
	// precedence over TLS.
	TLSFor func(address string) (*tls.Config, error)
	// LocalIP is the source address of connections; nil means any.
	LocalIP net.IP
	// DialTimeout limits the time to connect, including the TLS handshake; 0
	// means 500 ms.
	DialTimeout time.Duration
	// CallTimeout limits a unary RPC in addition to its context; 0 means 5 s.
	CallTimeout time.Duration
	// WriteTimeout limits each write to a connection; 0 means 5 s.
	WriteTimeout time.Duration
	// StreamIdleTimeout ends a stream on which no message arrives for this long;
	// 0 means no limit.
	StreamIdleTimeout time.Duration
	// IdleTimeout closes an idle connection after this long; 0 means 30 s.
	IdleTimeout time.Duration
	// Memory reserves responses above 64 KiB while they arrive. A connection without
	// memory is closed. nil means no limit.
	Memory *memory.Account
	// IdlePerPeer is the number of idle connections kept per peer and class; 0
	// means 32.
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

// connClass separates the connections to a peer by use. Heartbeats have their
// own connections, so that large messages do not delay them.
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
// reused only after an RPC that ended without an error. Client is safe for
// concurrent use.
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

// Close closes the idle connections. A connection in use is closed when its RPC
// ends.
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
	if c.options.Memory != nil {
		transport = &heldConn{Conn: transport, account: c.options.Memory, established: true}
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

// acquire returns an idle connection or opens one.
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

// release returns the connection to the pool, or closes it if it cannot be used for
// another RPC.
func (c *Client) release(k poolKey, conn *drpcconn.Conn) {
	if !waitUntilFree(conn) {
		_ = conn.Close()
		return
	}
	c.pool.Put(k, conn)
	if c.closed.Load() {
		// Close may have emptied the pool before the Put above, so the pool is
		// closed again.
		_ = c.pool.Close()
	}
}

// waitUntilFree reports whether both sides ended the last RPC of the connection. drpc
// frees a connection shortly after it has returned the end of an RPC.
func waitUntilFree(conn *drpcconn.Conn) bool {
	timeout := time.NewTimer(freeTimeout)
	defer timeout.Stop()
	select {
	case <-conn.Unblocked():
	case <-conn.Closed():
		return false
	case <-timeout.C:
		return false
	}
	select {
	case <-conn.Closed():
		return false
	default:
		return true
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize}}
}

// deadlineConn sets a deadline for each write, so that a peer that does not read
// cannot block the sender.
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

// unary sends a unary RPC on a connection of the class in k.
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

// explainError replaces an error of drpc by the reason why the RPC ended. If the
// context ended, drpc may return the error of the connection that it closed. If
// the connection failed, drpc returns context.Canceled, although the RPC was not
// cancelled.
func explainError(contextErr, err error) error {
	switch {
	case contextErr != nil && !errors.Is(err, contextErr):
		return fmt.Errorf("%w: %w", contextErr, err)
	case contextErr == nil && isConnectionError(err):
		return fmt.Errorf("connection failed: %w", io.ErrUnexpectedEOF)
	default:
		return err
	}
}

// isConnectionError reports whether drpc returns err for a connection that was
// closed or reset.
func isConnectionError(err error) bool {
	var network *net.OpError
	return errors.Is(err, context.Canceled) || errors.Is(err, io.EOF) ||
		drpc.ClosedError.Has(err) || errors.As(err, &network)
}

// Heartbeat sends a heartbeat on the connections of the heartbeat class.
func (c *Client) Heartbeat(ctx context.Context, address string, request *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return unary(ctx, c, poolKey{address, heartbeatConn}, request, peerpb.DRPCPeerClient.Heartbeat)
}

// GetConfig fetches the newest configuration document of a peer.
func (c *Client) GetConfig(ctx context.Context, address string, request *peerpb.GetConfigRequest) (*peerpb.GetConfigResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.GetConfig)
}

// MoveShare asks a peer to transfer a part of its share of a workspace's rate
// limit to this host.
func (c *Client) MoveShare(ctx context.Context, address string, request *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.MoveShare)
}

// Replicate sends copies of program records to a peer, which keeps them as a
// replica.
func (c *Client) Replicate(ctx context.Context, address string, request *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.Replicate)
}

// TakeShards asks the previous owner of shards to hand them over.
func (c *Client) TakeShards(ctx context.Context, address string, request *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.TakeShards)
}

// MarkSuspect informs a peer of a request that crashed a target, or lifts such a
// mark.
func (c *Client) MarkSuspect(ctx context.Context, address string, request *peerpb.MarkSuspectRequest) (*peerpb.MarkSuspectResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.MarkSuspect)
}

// BorrowPlace asks a peer to lend one of its places at a target, the right to
// send one request to it.
func (c *Client) BorrowPlace(ctx context.Context, address string, request *peerpb.BorrowPlaceRequest) (*peerpb.BorrowPlaceResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.BorrowPlace)
}

// ReturnPlace returns a borrowed place to the peer that lent it.
func (c *Client) ReturnPlace(ctx context.Context, address string, request *peerpb.ReturnPlaceRequest) (*peerpb.ReturnPlaceResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.ReturnPlace)
}

// LivePrograms lists the programs of a peer that have not ended.
func (c *Client) LivePrograms(ctx context.Context, address string, request *peerpb.LiveProgramsRequest) (*peerpb.LiveProgramsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.LivePrograms)
}

// Follow reports this entry host as alive to a keeper and fetches the membership
// and the entry hosts. It uses the connections of the heartbeat class.
func (c *Client) Follow(ctx context.Context, address string, request *peerpb.FollowRequest) (*peerpb.FollowResponse, error) {
	return unary(ctx, c, poolKey{address, heartbeatConn}, request, peerpb.DRPCPeerClient.Follow)
}

// Admit takes one token of a workspace's rate limit from a keeper.
func (c *Client) Admit(ctx context.Context, address string, request *peerpb.AdmitRequest) (*peerpb.AdmitResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.Admit)
}

// Configuration fetches the stored configuration from a keeper.
func (c *Client) Configuration(ctx context.Context, address string, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.Configuration)
}

// Targets fetches the list of targets from a keeper.
func (c *Client) Targets(ctx context.Context, address string, request *peerpb.TargetsRequest) (*peerpb.TargetsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.Targets)
}

// Pace asks the owner of a target when a request may be sent to the target.
func (c *Client) Pace(ctx context.Context, address string, request *peerpb.PaceRequest) (*peerpb.PaceResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.Pace)
}

// ReserveTurn reserves the tokens of one turn in the budget of its program, at
// the owner of the program.
func (c *Client) ReserveTurn(ctx context.Context, address string, request *peerpb.ReserveTurnRequest) (*peerpb.ReserveTurnResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.ReserveTurn)
}

// EndTurn ends a reserved turn and reports the tokens that it used.
func (c *Client) EndTurn(ctx context.Context, address string, request *peerpb.EndTurnRequest) (*peerpb.EndTurnResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.EndTurn)
}

// KeepBudgets sends a copy of this host's budget records to a peer.
func (c *Client) KeepBudgets(ctx context.Context, address string, page *peerpb.BudgetPage) (*peerpb.KeepBudgetsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, page, peerpb.DRPCPeerClient.KeepBudgets)
}

// FetchBudgets fetches a peer's own budget records and its copies of those of
// other hosts.
func (c *Client) FetchBudgets(ctx context.Context, address string, request *peerpb.FetchBudgetsRequest) (*peerpb.FetchBudgetsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.FetchBudgets)
}

// SaveTurn stores a copy of a turn on the disk of a keeper.
func (c *Client) SaveTurn(ctx context.Context, address string, request *peerpb.SaveTurnRequest) (*peerpb.SaveTurnResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.SaveTurn)
}

// FetchChain fetches the text of a turn and of all turns before it from a keeper.
func (c *Client) FetchChain(ctx context.Context, address string, request *peerpb.FetchChainRequest) (*peerpb.FetchChainResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.FetchChain)
}

// ListTurns lists the turns of a keeper of which this host should have a copy.
func (c *Client) ListTurns(ctx context.Context, address string, request *peerpb.ListTurnsRequest) (*peerpb.ListTurnsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.ListTurns)
}

// FetchTurns fetches the records of turns from a keeper.
func (c *Client) FetchTurns(ctx context.Context, address string, request *peerpb.FetchTurnsRequest) (*peerpb.FetchTurnsResponse, error) {
	return unary(ctx, c, poolKey{address, generalConn}, request, peerpb.DRPCPeerClient.FetchTurns)
}
