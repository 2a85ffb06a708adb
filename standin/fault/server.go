package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// maxRequestBody bounds request bodies; the longest programs have about
// 130,000 tokens of history, which is well below it.
const maxRequestBody = 16 << 20

// readBufferSize bounds the size of a request header.
const readBufferSize = 32 << 10

// acceptPause is the pause after a failed accept, to avoid a busy loop.
const acceptPause = 10 * time.Millisecond

// controlPrefix is the prefix of the paths that control the stand-in. They are not
// part of the protocol of the system that it replaces.
const controlPrefix = "/standin/"

// Options configures Start.
type Options struct {
	// Listen is the IP:port to listen on. Port 0 picks a free port.
	Listen string
	// Control is an IP:port that serves only the /standin/ paths and that no
	// fault affects. Empty means none.
	Control string
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Handler serves all requests except /standin/fault.
	Handler fasthttp.RequestHandler
	// IsWrite reports whether LoseAnswers applies to a request. Nil means all.
	IsWrite func(*fasthttp.RequestCtx) bool
	// OnArrival is called for each request, except for /standin/ paths, before any
	// fault is applied to it.
	OnArrival func(*fasthttp.RequestCtx)
	// OnCrash is called when a request body contains CrashMarker, to drop volatile
	// state.
	OnCrash func()
	// OnFaultChange is called after each change of the faults.
	OnFaultChange func(Fault)
}

// Server is an HTTP server with fault injection.
type Server struct {
	options         Options
	listener        net.Listener
	controlListener net.Listener
	stopped         chan struct{}
	closeOnce       sync.Once
	goroutines      sync.WaitGroup // goroutines of accept loops and connections

	mu            sync.Mutex
	fault         Fault
	faultChanged  chan struct{} // closed and replaced on each change of fault
	conns         map[*conn]struct{}
	closed        bool
	droppingState bool      // OnCrash is running
	downUntil     time.Time // end of the time that a crash lasts
	counters      Counters
}

// Start listens and serves in the background until Close.
func Start(o Options) (*Server, error) {
	if o.Handler == nil {
		return nil, errors.New("fault: option Handler is nil")
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{
		options:      o,
		stopped:      make(chan struct{}),
		faultChanged: make(chan struct{}),
		conns:        map[*conn]struct{}{},
	}
	var err error
	if s.listener, err = net.Listen("tcp", o.Listen); err != nil {
		return nil, fmt.Errorf("listen on %q: %w", o.Listen, err)
	}
	if o.Control != "" {
		if s.controlListener, err = net.Listen("tcp", o.Control); err != nil {
			_ = s.listener.Close()
			return nil, fmt.Errorf("listen on control address %q: %w", o.Control, err)
		}
		s.serve(s.controlListener, s.serveControl)
	}
	s.serve(s.listener, s.serveMain)
	return s, nil
}

func (s *Server) serve(l net.Listener, h fasthttp.RequestHandler) {
	srv := &fasthttp.Server{
		Handler:               h,
		NoDefaultServerHeader: true,
		// Forms are read as any other body.
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           maxRequestBody,
		ReadBufferSize:               readBufferSize,
		Logger:                       log.New(io.Discard, "", 0), // broken connections are expected
	}
	s.goroutines.Go(func() { s.acceptLoop(srv, l) })
}

// acceptLoop serves each connection on a goroutine that Close can wait for.
// fasthttp.Server.Serve would keep a goroutine for up to 10 s after its listener
// was closed.
func (s *Server) acceptLoop(srv *fasthttp.Server, l net.Listener) {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example no free file descriptor
			time.Sleep(acceptPause)
			continue
		}
		c, ok := s.register(raw, l == s.controlListener)
		if !ok {
			_ = raw.Close()
			continue
		}
		s.goroutines.Go(func() {
			defer s.unregister(c)
			_ = srv.ServeConn(c) // broken connections are expected
		})
	}
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ControlAddress returns the IP:port of the control address, or "" if there is
// none.
func (s *Server) ControlAddress() string {
	if s.controlListener == nil {
		return ""
	}
	return s.controlListener.Addr().String()
}

// Stopped returns a channel that is closed when Close begins. Handlers that wait
// must then return.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Clock returns the server's clock.
func (s *Server) Clock() clockwork.Clock { return s.options.Clock }

// Close closes the listeners and all connections and waits for their goroutines.
func (s *Server) Close() error {
	s.closeOnce.Do(func() {
		s.mu.Lock()
		s.closed = true
		close(s.stopped)
		s.abortWhere(func(*conn) bool { return true })
		s.mu.Unlock()
		_ = s.listener.Close()
		if s.controlListener != nil {
			_ = s.controlListener.Close()
		}
	})
	s.goroutines.Wait()
	return nil
}

// Fault returns the faults in effect, with the remaining counts.
func (s *Server) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SetFault replaces the faults in effect.
func (s *Server) SetFault(f Fault) error { return s.setFault(f, nil) }

// setFault replaces the faults in effect. The connection except, which may be
// nil, is neither closed nor made silent.
func (s *Server) setFault(f Fault, except *conn) error {
	if err := f.Validate(); err != nil {
		return err
	}
	f.RefuseClients = slices.Clone(f.RefuseClients)
	f.SilenceClients = slices.Clone(f.SilenceClients)
	s.mu.Lock()
	s.fault = f
	close(s.faultChanged)
	s.faultChanged = make(chan struct{})
	s.abortWhere(func(c *conn) bool {
		return c != except && !c.control && (f.Down || slices.Contains(f.RefuseClients, c.clientAddr))
	})
	for c := range s.conns {
		if c != except && !c.control && (f.Silent || slices.Contains(f.SilenceClients, c.clientAddr)) {
			c.silent.Store(true)
		}
	}
	s.mu.Unlock()
	if s.options.OnFaultChange != nil {
		s.options.OnFaultChange(f)
	}
	return nil
}

// Counters returns the counters since Start.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// abortWhere closes the connections for which match returns true. The caller
// holds s.mu.
func (s *Server) abortWhere(match func(*conn) bool) {
	for c := range s.conns {
		if match(c) {
			c.abort()
		}
	}
}

// register adds an accepted connection. It returns false if the server is closed
// or a fault refuses the connection.
func (s *Server) register(raw net.Conn, onControl bool) (*conn, bool) {
	c := &conn{Conn: raw, control: onControl}
	if a, err := netip.ParseAddrPort(raw.RemoteAddr().String()); err == nil {
		c.clientAddr = a.Addr().Unmap()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, false
	}
	if !onControl && s.refusesClient(c.clientAddr) {
		s.counters.Refused++
		return nil, false
	}
	if !onControl {
		c.silent.Store(slices.Contains(s.fault.SilenceClients, c.clientAddr))
		s.counters.Connections++
	}
	s.conns[c] = struct{}{}
	return c, true
}

// refusesClient reports whether a new connection of a client must be closed. The
// caller holds s.mu.
func (s *Server) refusesClient(client netip.Addr) bool {
	return s.fault.Down || s.droppingState || s.options.Clock.Now().Before(s.downUntil) ||
		slices.Contains(s.fault.RefuseClients, client)
}

// unregister removes a connection that has ended.
func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// DropConnection closes the connection of ctx without a response.
func DropConnection(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.abort()
	}
	ctx.SetConnectionClose()
}

// serveControl handles the requests on the control address.
func (s *Server) serveControl(ctx *fasthttp.RequestCtx) {
	if !strings.HasPrefix(string(ctx.Path()), controlPrefix) {
		WriteError(ctx, fasthttp.StatusNotFound, "the control address serves only %s paths", controlPrefix)
		return
	}
	s.serveControlPath(ctx)
}

// serveControlPath handles a request for a /standin/ path.
func (s *Server) serveControlPath(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/standin/fault" {
		s.serveFault(ctx)
		return
	}
	s.options.Handler(ctx)
}

// serveMain handles the requests on the main address and applies the faults.
func (s *Server) serveMain(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), controlPrefix) {
		s.serveControlPath(ctx)
		return
	}
	if c, ok := ctx.Conn().(*conn); ok {
		c.cancelCut()
	}
	s.mu.Lock()
	s.counters.Requests++
	s.mu.Unlock()
	if s.options.OnArrival != nil {
		s.options.OnArrival(ctx)
	}
	if s.crashOnMarker(ctx) || !s.applyRequestFaults(ctx) {
		DropConnection(ctx)
		return
	}
	s.options.Handler(ctx)
	s.applyResponseFaults(ctx)
}

// crashOnMarker simulates a crash if the request body contains CrashMarker. It
// returns true if the request must not be handled, which also holds during a
// crash and for a request whose connection was closed before, for example by a
// crash. The state is dropped before any connection is closed, so that a client
// that notices the crash cannot find the old state.
func (s *Server) crashOnMarker(ctx *fasthttp.RequestCtx) bool {
	c, ok := ctx.Conn().(*conn)
	s.mu.Lock()
	if s.droppingState || ok && c.aborted.Load() {
		s.mu.Unlock()
		return true
	}
	marker := s.fault.CrashMarker
	if marker == "" || !bytes.Contains(ctx.PostBody(), []byte(marker)) {
		s.mu.Unlock()
		return false
	}
	s.counters.CrashArrival++
	s.droppingState = true
	s.mu.Unlock()
	if s.options.OnCrash != nil {
		s.options.OnCrash()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppingState = false
	s.downUntil = s.options.Clock.Now().Add(time.Duration(s.fault.CrashTime))
	s.abortWhere(func(c *conn) bool { return !c.control })
	return true
}

// applyRequestFaults applies Slow, Hang and silent connections. It returns false
// if the request must not be handled.
func (s *Server) applyRequestFaults(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	f, changed := s.fault, s.faultChanged
	if f.Hang {
		s.counters.Hung++
	}
	s.mu.Unlock()
	hung := f.Hang
	for f.Hang {
		select {
		case <-changed:
		case <-s.stopped:
			return false
		}
		s.mu.Lock()
		f, changed = s.fault, s.faultChanged
		s.mu.Unlock()
	}
	if hung {
		return false
	}
	if f.Slow > 0 {
		return s.Sleep(time.Duration(f.Slow))
	}
	c, ok := ctx.Conn().(*conn)
	return !ok || !c.silent.Load()
}

// Sleep waits for d. It returns false if the server is closed meanwhile.
func (s *Server) Sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := s.options.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-s.stopped:
		return false
	}
}

// applyResponseFaults applies LoseAnswers and CutBytes after the handler ran.
func (s *Server) applyResponseFaults(ctx *fasthttp.RequestCtx) {
	isWrite := s.options.IsWrite == nil || s.options.IsWrite(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.fault
	if f.LoseAnswers > 0 && isWrite && strings.Contains(string(ctx.Path()), f.LoseMatch) {
		f.LoseAnswers--
		if f.LoseAnswers == 0 {
			f.LoseMatch = ""
		}
		s.counters.AnswersLost++
		DropConnection(ctx)
		return
	}
	c, ok := ctx.Conn().(*conn)
	if f.CutBytes > 0 && ok {
		c.cutAfter(f.CutBytes)
		s.recordCut()
	}
}

// TakeChunkCut returns the number of chunks after which the next streamed
// response must be cut, or 0 for no cut. Each cut counts down Cuts.
func (s *Server) TakeChunkCut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.fault.CutChunks
	if n > 0 {
		s.recordCut()
	}
	return n
}

// recordCut counts a cut and counts down Cuts. The caller holds s.mu.
func (s *Server) recordCut() {
	s.counters.AnswersCut++
	if s.fault.Cuts == 0 {
		return
	}
	s.fault.Cuts--
	if s.fault.Cuts == 0 {
		s.fault.CutBytes = 0
		s.fault.CutChunks = 0
	}
}

// serveFault serves GET and PUT of /standin/fault.
func (s *Server) serveFault(ctx *fasthttp.RequestCtx) {
	switch {
	case ctx.IsGet():
		WriteJSON(ctx, struct {
			Fault    Fault
			Counters Counters
		}{s.Fault(), s.Counters()})
	case ctx.IsPut():
		f, err := decodeFault(ctx.PostBody())
		if err != nil {
			WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
			return
		}
		c, _ := ctx.Conn().(*conn)
		if err := s.setFault(f, c); err != nil {
			WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
			return
		}
		ctx.SetConnectionClose()
		WriteJSON(ctx, f)
	default:
		WriteError(ctx, fasthttp.StatusMethodNotAllowed, "method %s is not supported for %s", ctx.Method(), ctx.Path())
	}
}

func decodeFault(body []byte) (Fault, error) {
	var f Fault
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Fault{}, fmt.Errorf("decode fault: %w", err)
	}
	return f, nil
}

// WriteJSON responds with v as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		WriteError(ctx, fasthttp.StatusInternalServerError, "encode response: %v", err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// WriteError responds with an error text.
func WriteError(ctx *fasthttp.RequestCtx, status int, format string, args ...any) {
	ctx.Error(fmt.Sprintf(format, args...), status)
}
