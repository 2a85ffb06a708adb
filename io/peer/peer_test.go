package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mimosarelay/core/memory"
	"mimosarelay/io/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler implements a few RPCs. While hang is set, MoveShare and Call block until
// their context ends.
type handler struct {
	peerpb.DRPCPeerUnimplementedServer
	hang atomic.Bool
}

func (h *handler) Heartbeat(_ context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return &peerpb.HeartbeatResponse{ConfigRevision: r.GetConfigRevision() + 1}, nil
}

func (h *handler) MoveShare(ctx context.Context, r *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	if h.hang.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if r.GetWorkspace() == "" {
		return nil, errors.New("workspace is empty")
	}
	return &peerpb.MoveShareResponse{TransferId: r.GetTransferId()}, nil
}

// FetchBudgets returns a page of responseSize bytes.
func (h *handler) FetchBudgets(context.Context, *peerpb.FetchBudgetsRequest) (*peerpb.FetchBudgetsResponse, error) {
	return &peerpb.FetchBudgetsResponse{Pages: []*peerpb.BudgetPage{{Value: make([]byte, responseSize)}}}, nil
}

func (h *handler) Call(r *peerpb.CallRequest, s peerpb.DRPCPeer_CallStream) error {
	for range r.GetCall() {
		if err := s.Send(&peerpb.CallResponse{Body: r.GetBody()}); err != nil {
			return err
		}
	}
	if h.hang.Load() {
		<-s.Context().Done()
		return s.Context().Err()
	}
	return s.Send(&peerpb.CallResponse{End: true})
}

// countingListener counts the accepted connections and can close all of them.
type countingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *countingListener) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *countingListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func start(t *testing.T, options Options) (*Client, *handler, *countingListener, string) {
	t.Helper()
	l, err := Listen("127.0.0.2:0", nil)
	assert.NilError(t, err)
	return startOn(t, options, l)
}

func startOn(t *testing.T, options Options, inner net.Listener) (*Client, *handler, *countingListener, string) {
	t.Helper()
	l := &countingListener{Listener: inner}
	h := &handler{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, h) }()
	c := NewClient(options)
	t.Cleanup(func() {
		assert.Check(t, c.Close())
		cancel()
		assert.Check(t, <-done)
	})
	return c, h, l, l.Addr().String()
}

// Guards against a new connection for each RPC, and against heartbeats that share
// a connection with other RPCs.
func TestConnectionsAreReusedPerClass(t *testing.T) {
	c, _, l, address := start(t, Options{})
	ctx := context.Background()
	for i := range 5 {
		r, err := c.Heartbeat(ctx, address, &peerpb.HeartbeatRequest{ConfigRevision: uint64(i)})
		assert.NilError(t, err)
		assert.Equal(t, r.GetConfigRevision(), uint64(i+1))
		_, err = c.MoveShare(ctx, address, &peerpb.MoveShareRequest{Workspace: "w"})
		assert.NilError(t, err)
		readAll(t, c, address, 3)
	}
	assert.Equal(t, l.accepted(), 2)
}

// Guards against a new connection after a stream that ended cleanly, because drpc had
// not freed the old one yet when the end was read.
func TestConnectionOfEndedStreamIsReused(t *testing.T) {
	c, _, l, address := start(t, Options{})
	for range 1000 {
		readAll(t, c, address, 1)
	}
	assert.Equal(t, l.accepted(), 1)
}

// readAll reads a stream with the number of messages to its end.
func readAll(t *testing.T, c *Client, address string, messages uint32) {
	t.Helper()
	s, err := c.Call(context.Background(), address, &peerpb.CallRequest{Call: messages, Body: []byte("b")})
	assert.NilError(t, err)
	for range messages {
		m, err := s.Recv()
		assert.NilError(t, err)
		assert.Equal(t, string(m.GetBody()), "b")
	}
	m, err := s.Recv()
	assert.NilError(t, err)
	assert.Assert(t, m.GetEnd())
	_, err = s.Recv()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against reuse of a connection whose last RPC did not end cleanly.
func TestFailedConnectionsAreNotReused(t *testing.T) {
	cases := map[string]func(t *testing.T, c *Client, h *handler, address string){
		"handler error": func(t *testing.T, c *Client, _ *handler, address string) {
			_, err := c.MoveShare(context.Background(), address, &peerpb.MoveShareRequest{})
			assert.ErrorContains(t, err, "workspace is empty")
			assert.Assert(t, !errors.Is(err, ErrNotSent))
		},
		"timeout": func(t *testing.T, c *Client, h *handler, address string) {
			h.hang.Store(true)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := c.MoveShare(ctx, address, &peerpb.MoveShareRequest{Workspace: "w"})
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			assert.Assert(t, !errors.Is(err, ErrNotSent))
			h.hang.Store(false)
		},
		"stream closed early": func(t *testing.T, c *Client, _ *handler, address string) {
			s, err := c.Call(context.Background(), address, &peerpb.CallRequest{Call: 100})
			assert.NilError(t, err)
			_, err = s.Recv()
			assert.NilError(t, err)
			_ = s.Close()
		},
		"stream context ended": func(t *testing.T, c *Client, h *handler, address string) {
			h.hang.Store(true)
			ctx, cancel := context.WithCancel(context.Background())
			s, err := c.Call(ctx, address, &peerpb.CallRequest{Call: 1})
			assert.NilError(t, err)
			_, err = s.Recv()
			assert.NilError(t, err)
			cancel()
			_, err = s.Recv()
			assert.ErrorIs(t, err, context.Canceled)
			h.hang.Store(false)
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			c, h, l, address := start(t, Options{})
			fail(t, c, h, address)
			_, err := c.MoveShare(context.Background(), address, &peerpb.MoveShareRequest{Workspace: "w"})
			assert.NilError(t, err)
			assert.Equal(t, l.accepted(), 2)
		})
	}
}

// Guards against a failed connection that is reported as the end of a stream or as
// an RPC that the caller cancelled.
func TestFailedConnectionIsUnexpectedEOF(t *testing.T) {
	c, h, l, address := start(t, Options{})
	h.hang.Store(true)
	s, err := c.Call(context.Background(), address, &peerpb.CallRequest{Call: 1})
	assert.NilError(t, err)
	_, err = s.Recv()
	assert.NilError(t, err)
	go l.closeAll()
	_, err = s.Recv()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled), "%v", err)
}

// Guards against a failed dial that is not reported as ErrNotSent: the outcome of
// the request would count as unknown.
func TestFailedDialIsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.3:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	c := NewClient(Options{})
	_, err = c.MoveShare(context.Background(), address, &peerpb.MoveShareRequest{Workspace: "w"})
	assert.ErrorIs(t, err, ErrNotSent)
	_, err = c.Call(context.Background(), address, &peerpb.CallRequest{})
	assert.ErrorIs(t, err, ErrNotSent)
	assert.NilError(t, c.Close())
	_, err = c.Heartbeat(context.Background(), address, &peerpb.HeartbeatRequest{})
	assert.ErrorIs(t, err, ErrNotSent)
	assert.ErrorIs(t, err, ErrClosed)
}

// silentListener accepts connections and never sends anything on them.
func silentListener(t *testing.T) (string, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.4:0")
	assert.NilError(t, err)
	var accepted atomic.Int32
	done := make(chan struct{})
	var conns []net.Conn
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			conns = append(conns, conn)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
		for _, c := range conns {
			_ = c.Close()
		}
	})
	return l.Addr().String(), &accepted
}

// Guards against RPCs that block on a connection without a response, and against
// reuse of such a connection.
func TestConnectionWithoutResponseTimesOut(t *testing.T) {
	address, accepted := silentListener(t)
	c := NewClient(Options{CallTimeout: 50 * time.Millisecond, StreamIdleTimeout: 50 * time.Millisecond})
	defer func() { assert.NilError(t, c.Close()) }()
	for range 2 {
		_, err := c.Heartbeat(context.Background(), address, &peerpb.HeartbeatRequest{})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, !errors.Is(err, ErrNotSent))
	}
	s, err := c.Call(context.Background(), address, &peerpb.CallRequest{})
	assert.NilError(t, err)
	_, err = s.Recv()
	assert.ErrorIs(t, err, ErrStreamIdle)
	assert.Assert(t, !errors.Is(err, io.EOF))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if accepted.Load() == 3 {
			return poll.Success()
		}
		return poll.Continue("%d connections", accepted.Load())
	})
}

// Guards against idle connections that stay open.
func TestIdleConnectionsAreClosed(t *testing.T) {
	c, _, l, address := start(t, Options{IdleTimeout: 20 * time.Millisecond})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := c.Heartbeat(context.Background(), address, &peerpb.HeartbeatRequest{})
		assert.NilError(t, err)
		time.Sleep(40 * time.Millisecond)
		if l.accepted() > 1 {
			return poll.Success()
		}
		return poll.Continue("connection still open")
	})
}

// Guards against concurrent RPCs on one connection, which would mix up their
// responses.
func TestConcurrentRPCsGetTheirOwnResponses(t *testing.T) {
	c, _, _, address := start(t, Options{})
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for j := range 20 {
				id := fmt.Sprintf("%d-%d", i, j)
				r, err := c.MoveShare(context.Background(), address, &peerpb.MoveShareRequest{Workspace: "w", TransferId: id})
				assert.Check(t, err)
				assert.Check(t, r.GetTransferId() == id)
			}
		})
	}
	wg.Wait()
}

// responseSize is the size of a large response, in bytes.
const responseSize = 1 << 20

// Guards against a large response that is held without a reservation, and against a
// reservation that is kept after the connection was closed.
func TestLargeResponseNeedsMemory(t *testing.T) {
	for name, c := range map[string]struct {
		capacity memory.Bytes
		fits     bool
	}{
		"fits":          {4 * responseSize, true},
		"does not fit":  {responseSize, false},
		"without limit": {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			var a *memory.Account
			if c.capacity > 0 {
				a = memory.New(memory.Options{Capacity: c.capacity, MaxHolders: 4, Clock: clockwork.NewRealClock()})
			}
			client, _, _, address := start(t, Options{Memory: a})
			res, err := client.FetchBudgets(t.Context(), address, &peerpb.FetchBudgetsRequest{})
			if c.fits {
				assert.NilError(t, err)
				assert.Equal(t, len(res.GetPages()[0].GetValue()), responseSize)
			} else {
				assert.Assert(t, err != nil)
			}
			if a == nil {
				return
			}
			assert.Assert(t, !c.fits || a.Stats().Held > responseSize, "%d bytes", a.Stats().Held)
			assert.NilError(t, client.Close())
			assert.Equal(t, a.Stats().Held, memory.Bytes(0))
		})
	}
}
