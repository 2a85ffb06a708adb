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
// Options.StreamIdleTimeout.
var ErrStreamIdle = errors.New("peer: no message on the stream within the idle timeout")

// Call forwards a caller's request to the owner of its program. The stream uses a
// connection until Recv returns an error (io.EOF at the end of the stream), Close
// is called or ctx ends.
func (c *Client) Call(ctx context.Context, address string, request *peerpb.CallRequest) (peerpb.DRPCPeer_CallClient, error) {
	return openStream(ctx, c, address, request, peerpb.DRPCPeerClient.Call)
}

// FetchRecords streams the program records that a peer has for the requested
// shards. The stream uses a connection as described for Call.
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

// streamConn is a connection whose streams return it to the pool when they end.
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

// pooledStream returns its connection to the pool if both sides ended the stream
// without an error, and closes the connection otherwise.
type pooledStream struct {
	drpc.Stream
	conn *streamConn
	// contextErr returns the error of the context with which the stream was
	// opened.
	contextErr func() error
	once       sync.Once
}

// releaseConn returns the connection to the pool if the stream ended cleanly, and
// closes it otherwise. Only the first call has an effect.
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
		s.releaseConn(true)
		return err
	}
	s.releaseConn(false)
	return explainError(s.contextErr(), err)
}

// Close implements drpc.Stream. If the stream has not ended, it closes the
// connection.
func (s *pooledStream) Close() error {
	err := s.Stream.Close()
	s.releaseConn(false)
	return err
}
