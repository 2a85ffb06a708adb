package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"mimosarelay/io/peer/peerpb"
)

// ErrStreamIdle reports a stream on which no message arrived within
// Options.StreamIdle.
var ErrStreamIdle = errors.New("peer: no message within the idle bound of the stream")

// Call forwards a caller's request to the owner of its program. The stream
// occupies a connection until Recv returns an error (io.EOF at its end), Close
// is called or ctx ends.
func (c *Client) Call(ctx context.Context, address string, request *peerpb.CallRequest) (peerpb.DRPCPeer_CallClient, error) {
	return openStream(ctx, c, address, request, peerpb.DRPCPeerClient.Call)
}

// FetchRecords streams the records the peer holds for shards. The same rules as
// for Call apply to the stream.
func (c *Client) FetchRecords(ctx context.Context, address string, request *peerpb.FetchRecordsRequest) (peerpb.DRPCPeer_FetchRecordsClient, error) {
	return openStream(ctx, c, address, request, peerpb.DRPCPeerClient.FetchRecords)
}

func openStream[Request, Stream any](
	ctx context.Context, c *Client, address string, request Request,
	rpc func(peerpb.DRPCPeerClient, context.Context, Request) (Stream, error),
) (Stream, error) {
	var zero Stream
	k := poolKey{address, generalConn}
	conn, err := c.acquire(ctx, k)
	if err != nil {
		return zero, fmt.Errorf("peer %s: %w", address, err)
	}
	stream, err := rpc(peerpb.NewDRPCPeerClient(&streamConn{Conn: conn, client: c, key: k}), ctx, request)
	if err != nil {
		_ = conn.Close()
		return zero, fmt.Errorf("peer %s: %w", address, explainError(ctx.Err(), err))
	}
	return stream, nil
}

// streamConn opens streams that return their connection to the pool.
type streamConn struct {
	*drpcconn.Conn
	client *Client
	key    poolKey
}

// NewStream implements drpc.Conn.
func (c *streamConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	s, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return &pooledStream{Stream: s, conn: c, contextErr: ctx.Err}, nil
}

// pooledStream gives its connection back after a clean end and closes it after
// any other one.
type pooledStream struct {
	drpc.Stream
	conn *streamConn
	// callerErr returns the error of the context the stream was opened with.
	contextErr func() error
	once       sync.Once
}

func (s *pooledStream) releaseConn(clean bool) {
	s.once.Do(func() {
		if clean {
			s.conn.client.release(s.conn.key, s.conn.Conn)
			return
		}
		_ = s.conn.Close()
	})
}

// MsgSend implements drpc.Stream.
func (s *pooledStream) MsgSend(message drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgSend(message, enc)
	if err != nil {
		s.releaseConn(false)
	}
	return err
}

// MsgRecv implements drpc.Stream. io.EOF reports that the peer ended the
// stream.
func (s *pooledStream) MsgRecv(message drpc.Message, enc drpc.Encoding) error {
	idle := s.conn.client.options.StreamIdleTimeout
	if idle == 0 {
		return s.receive(message, enc)
	}
	t := time.AfterFunc(idle, func() { s.releaseConn(false) })
	err := s.receive(message, enc)
	if !t.Stop() && err != nil {
		return fmt.Errorf("%w: %w", ErrStreamIdle, err)
	}
	return err
}

func (s *pooledStream) receive(message drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(message, enc)
	if err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) {
		s.releaseConn(s.finished())
		return err
	}
	s.releaseConn(false)
	return explainError(s.contextErr(), err)
}

// finished reports whether both sides ended the stream, after which the
// connection accepts the next RPC.
func (s *pooledStream) finished() bool {
	select {
	case <-s.conn.Unblocked():
	default:
		return false
	}
	select {
	case <-s.conn.Closed():
		return false
	default:
		return true
	}
}

// Close implements drpc.Stream. Before the end of the stream it closes the
// connection.
func (s *pooledStream) Close() error {
	err := s.Stream.Close()
	s.releaseConn(false)
	return err
}
