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

// readBuffer bounds the size of a request header.
const readBuffer = 32 << 10

// acceptPause avoids a busy loop while connections cannot be accepted.
const acceptPause = 10 * time.Millisecond

// controlPrefix starts the paths that belong to the stand-in, not to the
// protocol of the system it stands for.
const controlPrefix = "/standin/"

// Options of Start.
type Options struct {
	// Listen is the IP:port to serve. Port 0 picks a free one.
	Listen string
	// Control is an IP:port that serves the /standin/ paths only and that no
	// fault affects. Empty means none.
	Control string
	// Clock defaults to the real one.
	Clock clockwork.Clock
	// Handler serves all requests except /standin/fault.
	Handler fasthttp.RequestHandler
	// IsWrite tells which requests LoseAnswers applies to. Nil means all.
	IsWrite func(*fasthttp.RequestCtx) bool
	// Arrived is called for each request before any fault delays it.
	Arrived func(*fasthttp.RequestCtx)
	// Crashed is called when CrashMarker was found, to drop volatile state.
	Crashed func()
	// Changed is called after each change of the faults.
	Changed func(Fault)
}

// Server is an HTTP server with fault switches.
type Server struct {
	options Options
	listen  net.Listener
	control net.Listener
	stopped chan struct{}
	stop    sync.Once
	serving sync.WaitGroup // accept loops and connections

	mu        sync.Mutex
	fault     Fault
	changed   chan struct{} // closed and replaced when fault changes
	conns     map[*conn]struct{}
	closing   bool
	crashing  bool      // state is being dropped
	downUntil time.Time // after a crash
	counters  Counters
}

// Start listens and serves until Close.
func Start(o Options) (*Server, error) {
	if o.Handler == nil {
		return nil, errors.New("fault: no handler")
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{
		options: o,
		stopped: make(chan struct{}),
		changed: make(chan struct{}),
		conns:   map[*conn]struct{}{},
	}
	var err error
	if s.listen, err = net.Listen("tcp", o.Listen); err != nil {
		return nil, fmt.Errorf("listen on %q: %w", o.Listen, err)
	}
	if o.Control != "" {
		if s.control, err = net.Listen("tcp", o.Control); err != nil {
			_ = s.listen.Close()
			return nil, fmt.Errorf("listen on control address %q: %w", o.Control, err)
		}
		s.serve(s.control, s.serveControl)
	}
	s.serve(s.listen, s.serveMain)
	return s, nil
}

func (s *Server) serve(l net.Listener, h fasthttp.RequestHandler) {
	srv := &fasthttp.Server{
		Handler:               h,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxRequestBody,
		ReadBufferSize:        readBuffer,
		Logger:                log.New(io.Discard, "", 0), // broken connections are intended here
	}
	s.serving.Go(func() { s.acceptLoop(srv, l) })
}

// acceptLoop serves each connection on a goroutine of its own, which Close
// can wait for. fasthttp.Server.Serve would keep a goroutine for up to 10 s
// after its listener was closed.
func (s *Server) acceptLoop(srv *fasthttp.Server, l net.Listener) {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as no free file descriptor
			time.Sleep(acceptPause)
			continue
		}
		c, ok := s.admit(raw, l == s.control)
		if !ok {
			_ = raw.Close()
			continue
		}
		s.serving.Go(func() {
			defer s.forget(c)
			_ = srv.ServeConn(c) // connections that break are intended here
		})
	}
}

// Address returns the IP:port that is served.
func (s *Server) Address() string { return s.listen.Addr().String() }

// ControlAddress returns the IP:port of the control paths, or "".
func (s *Server) ControlAddress() string {
	if s.control == nil {
		return ""
	}
	return s.control.Addr().String()
}

// Stopped is closed when Close begins. Handlers that wait must return then.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Clock returns the server's clock.
func (s *Server) Clock() clockwork.Clock { return s.options.Clock }

// Close closes all connections and waits until their goroutines have ended.
func (s *Server) Close() error {
	s.stop.Do(func() {
		s.mu.Lock()
		s.closing = true
		close(s.stopped)
		s.abortWhere(func(*conn) bool { return true })
		s.mu.Unlock()
		_ = s.listen.Close()
		if s.control != nil {
			_ = s.control.Close()
		}
	})
	s.serving.Wait()
	return nil
}

// Fault returns the faults in effect, with counts as they are now.
func (s *Server) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SetFault replaces the faults in effect.
func (s *Server) SetFault(f Fault) error { return s.setFault(f, nil) }

// setFault replaces the faults; except is not closed or made silent.
func (s *Server) setFault(f Fault, except *conn) error {
	if err := f.Validate(); err != nil {
		return err
	}
	f.RefuseClients = slices.Clone(f.RefuseClients)
	f.SilenceClients = slices.Clone(f.SilenceClients)
	s.mu.Lock()
	s.fault = f
	close(s.changed)
	s.changed = make(chan struct{})
	s.abortWhere(func(c *conn) bool {
		return c != except && !c.control && (f.Down || slices.Contains(f.RefuseClients, c.client))
	})
	for c := range s.conns {
		if c != except && !c.control && (f.Silent || slices.Contains(f.SilenceClients, c.client)) {
			c.silent.Store(true)
		}
	}
	s.mu.Unlock()
	if s.options.Changed != nil {
		s.options.Changed(f)
	}
	return nil
}

// Counters returns the counts since Start.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// abortWhere closes the matching connections. The caller holds s.mu.
func (s *Server) abortWhere(match func(*conn) bool) {
	for c := range s.conns {
		if match(c) {
			c.abort()
		}
	}
}

// admit registers an accepted connection unless a fault refuses it.
func (s *Server) admit(raw net.Conn, onControl bool) (*conn, bool) {
	c := &conn{Conn: raw, control: onControl}
	if a, err := netip.ParseAddrPort(raw.RemoteAddr().String()); err == nil {
		c.client = a.Addr().Unmap()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil, false
	}
	if !onControl && s.refuses(c.client) {
		s.counters.Refused++
		return nil, false
	}
	if !onControl {
		c.silent.Store(slices.Contains(s.fault.SilenceClients, c.client))
		s.counters.Connections++
	}
	s.conns[c] = struct{}{}
	return c, true
}

// refuses reports whether a new connection is closed. The caller holds s.mu.
func (s *Server) refuses(client netip.Addr) bool {
	return s.fault.Down || s.crashing || s.options.Clock.Now().Before(s.downUntil) ||
		slices.Contains(s.fault.RefuseClients, client)
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Drop closes the connection of ctx without an answer.
func Drop(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.abort()
	}
	ctx.SetConnectionClose()
}

func (s *Server) serveControl(ctx *fasthttp.RequestCtx) {
	if !strings.HasPrefix(string(ctx.Path()), controlPrefix) {
		Problem(ctx, fasthttp.StatusNotFound, "the control address serves only %s paths", controlPrefix)
		return
	}
	s.serveOwn(ctx)
}

func (s *Server) serveOwn(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/standin/fault" {
		s.serveFault(ctx)
		return
	}
	s.options.Handler(ctx)
}

func (s *Server) serveMain(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), controlPrefix) {
		s.serveOwn(ctx)
		return
	}
	if c, ok := ctx.Conn().(*conn); ok {
		c.disarm()
	}
	s.mu.Lock()
	s.counters.Requests++
	s.mu.Unlock()
	if s.options.Arrived != nil {
		s.options.Arrived(ctx)
	}
	if s.crash(ctx) || !s.delay(ctx) {
		Drop(ctx)
		return
	}
	s.options.Handler(ctx)
	s.spoilAnswer(ctx)
}

// crash closes everything if the body contains the marker, and tells whether the
// request must not run. The state is dropped before any connection closes, so
// that a client that notices the crash cannot find the old state. A request whose
// connection a crash closed does not run either.
func (s *Server) crash(ctx *fasthttp.RequestCtx) bool {
	c, ok := ctx.Conn().(*conn)
	s.mu.Lock()
	if s.crashing || ok && c.aborted.Load() {
		s.mu.Unlock()
		return true
	}
	marker := s.fault.CrashMarker
	if marker == "" || !bytes.Contains(ctx.PostBody(), []byte(marker)) {
		s.mu.Unlock()
		return false
	}
	s.counters.CrashArrival++
	s.crashing = true
	s.mu.Unlock()
	if s.options.Crashed != nil {
		s.options.Crashed()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashing = false
	s.downUntil = s.options.Clock.Now().Add(time.Duration(s.fault.CrashTime))
	s.abortWhere(func(c *conn) bool { return !c.control })
	return true
}

// delay applies Slow and Hang. It returns false if the request must not run.
func (s *Server) delay(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	f, changed := s.fault, s.changed
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
		f, changed = s.fault, s.changed
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

// Sleep waits for d and returns false if the server was closed meanwhile.
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

// spoilAnswer applies LoseAnswers and CutBytes after the handler ran.
func (s *Server) spoilAnswer(ctx *fasthttp.RequestCtx) {
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
		Drop(ctx)
		return
	}
	c, ok := ctx.Conn().(*conn)
	if f.CutBytes > 0 && ok {
		c.cutAfter(f.CutBytes)
		s.countCut()
	}
}

// TakeChunkCut returns the number of chunks after which the stream that is
// about to start must break, or 0. It counts as one cut.
func (s *Server) TakeChunkCut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.fault.CutChunks
	if n > 0 {
		s.countCut()
	}
	return n
}

// countCut counts down Cuts. The caller holds s.mu.
func (s *Server) countCut() {
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

func (s *Server) serveFault(ctx *fasthttp.RequestCtx) {
	switch {
	case ctx.IsGet():
		JSON(ctx, struct {
			Fault    Fault
			Counters Counters
		}{s.Fault(), s.Counters()})
	case ctx.IsPut():
		f, err := decodeFault(ctx.PostBody())
		if err != nil {
			Problem(ctx, fasthttp.StatusBadRequest, "%v", err)
			return
		}
		c, _ := ctx.Conn().(*conn)
		if err := s.setFault(f, c); err != nil {
			Problem(ctx, fasthttp.StatusBadRequest, "%v", err)
			return
		}
		ctx.SetConnectionClose()
		JSON(ctx, f)
	default:
		Problem(ctx, fasthttp.StatusMethodNotAllowed, "method %s is not supported for %s", ctx.Method(), ctx.Path())
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

// JSON answers with v.
func JSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		Problem(ctx, fasthttp.StatusInternalServerError, "encode answer: %v", err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Problem answers with an error text.
func Problem(ctx *fasthttp.RequestCtx, status int, format string, args ...any) {
	ctx.Error(fmt.Sprintf(format, args...), status)
}
