// Package ingress serves callers whose requests are passed on unchanged to the
// targets of a route. The fields around a request belong to the deployment's
// dialect, see Dialect.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"mimosarelay/app/relay"
	coreingress "mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/io/target"
)

// Relay carries out forwarded requests.
type Relay interface {
	Forward(ctx context.Context, f *relay.Forward) (*relay.Answer, error)
}

// Fields are what a caller says around its request.
type Fields struct {
	ID model.RequestID
	// Key is the credential; empty if there is none.
	Key string
	// Wait is how long the caller waits; 0 if it does not say.
	Wait      time.Duration
	LastEvent string
	Program   model.ProgramID
	Prompt    relay.Prompt
	// Budget bounds the tokens of the program; 0 if there is none.
	Budget model.Tokens
	// Headers holds the fields that targets get to see.
	Headers []relay.Header
}

// Dialect reads requests and writes refusals of a deployment.
type Dialect interface {
	Fields(r *fasthttp.Request) (Fields, error)
	Refuse(r *fasthttp.Response, id model.RequestID, refusal *model.Refusal)
}

// Options configures a Server. All fields are required.
type Options struct {
	Relay   Relay
	Dialect Dialect
	// View returns the present configuration. It fails with a *model.Refusal
	// while this host has no evidence that it is in force.
	View func() (*coreingress.View, error)
	// Limits returns the bounds of callers, also before there is a View.
	Limits func() coreingress.Limits
	// Draining says that the host is leaving; connections are then closed after
	// their answer, so that callers move to other hosts.
	Draining func() bool
	Clock    clockwork.Clock
	Log      *slog.Logger
	Scope    tally.Scope
}

const (
	// headerBuffer bounds the size of a request's header, in bytes. It exceeds
	// what configurations allow, so that an overlong header gets an answer.
	headerBuffer = 20 << 10
	// writeTimeout ends an answer whose caller stops reading.
	writeTimeout = 5 * time.Second
	// bodyTimeout bounds the time to send a body.
	bodyTimeout = 10 * time.Second
)

// Server serves callers.
type Server struct {
	options Options
	http    *fasthttp.Server
	running atomic.Int64
	// total is the time from reading a request to the end of its answer.
	total tally.Histogram
}

// New returns a Server.
func New(o Options) *Server {
	scope := o.Scope.SubScope("requests")
	s := &Server{
		options: o,
		total:   scope.Histogram("seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
	}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.malformed,
		HeaderReceived:               s.headerReceived,
		ReadBufferSize:               headerBuffer,
		CloseOnShutdown:              true,
		NoDefaultDate:                true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       discard{},
	}
	return s
}

// discard drops the library's messages on broken connections of callers.
type discard struct{}

// Printf implements fasthttp.Logger.
func (discard) Printf(string, ...any) {}

func (s *Server) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: bodyTimeout, MaxRequestBodySize: s.options.Limits().BodyBytes}
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(&listener{Listener: l, limits: s.options.Limits, writeTimeout: writeTimeout})
}

// Running is the number of requests that are carried out now.
func (s *Server) Running() int { return int(s.running.Load()) }

// Shutdown stops accepting connections and waits until all running requests
// have ended or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.options.Draining() {
		defer ctx.SetConnectionClose()
	}
	received := s.options.Clock.Now()
	if err := checkFraming(&ctx.Request); err != nil {
		s.refuse(ctx, "", nil, err)
		ctx.SetConnectionClose()
		return
	}
	fields, err := s.options.Dialect.Fields(&ctx.Request)
	if err != nil {
		s.refuse(ctx, fields.ID, nil, err)
		return
	}
	f, err := s.forward(ctx, fields, received)
	if err != nil {
		s.refuse(ctx, fields.ID, nil, err)
		return
	}
	s.run(ctx, f)
}

// forward authenticates a request and finds its route.
func (s *Server) forward(ctx *fasthttp.RequestCtx, fields Fields, received time.Time) (*relay.Forward, error) {
	view, err := s.options.View()
	if err != nil {
		return nil, err
	}
	path := pathOf(ctx.RequestURI())
	route, ok := view.RouteFor(string(ctx.Host()), path)
	if !ok {
		return nil, model.NewRefusal(model.ErrNotFound, model.RanNo, "no route for host %q and path %q", ctx.Host(), path)
	}
	f := &relay.Forward{
		ID: fields.ID, Route: route, Method: string(ctx.Method()), URI: string(ctx.RequestURI()),
		Headers: fields.Headers, Body: ctx.PostBody(), LastEvent: fields.LastEvent,
		Prompt: fields.Prompt, Program: fields.Program, Deadline: received.Add(route.Timeout),
	}
	if fields.Wait > 0 && fields.Wait < route.Timeout {
		f.Deadline = received.Add(fields.Wait)
	}
	var known bool
	if f.Workspace, f.Key, known = view.Authenticate(fields.Key); !known && view.NeedsKeys() && !route.Public {
		return nil, model.NewRefusal(model.ErrUnauthorized, model.RanNo, "the key is missing, unknown or was withdrawn")
	}
	f.Service = view.Service(route.PickService(rand.Float64()))
	if fields.Budget > 0 && fields.Program != "" && route.Streaming() {
		f.Turn = &relay.Turn{Request: fields.ID, Budget: fields.Budget, MaxTokens: fields.Prompt.MaxTokens, Deadline: f.Deadline}
	}
	return f, nil
}

// run hands a request to the relay and answers it.
func (s *Server) run(ctx *fasthttp.RequestCtx, f *relay.Forward) {
	call, cancel := context.WithDeadlineCause(context.Background(), time.Now().Add(f.Deadline.Sub(s.options.Clock.Now())), context.DeadlineExceeded)
	c := ctx.Conn().(*conn)
	stop := c.onClose(cancel)
	s.running.Add(1)
	start := s.options.Clock.Now()
	done := func() {
		s.total.RecordDuration(s.options.Clock.Since(start))
		stop()
		cancel()
		s.running.Add(-1)
	}
	answer, err := s.options.Relay.Forward(call, f)
	if err != nil {
		done()
		s.refuse(ctx, f.ID, f, err)
		return
	}
	ctx.SetStatusCode(answer.Status)
	for _, h := range answer.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	ctx.SetBodyStream(&body{ReadCloser: answer.Body, done: done}, answer.Length)
}

// body ends a request when the library is done with its answer.
type body struct {
	io.ReadCloser
	done func()
}

// Read implements io.Reader. An answer that broke off ends with an error other
// than io.EOF, so that the library closes the connection without a final chunk.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !target.AtEnd(err) {
		err = fmt.Errorf("%w: %v", errBroken, err) //nolint:errorlint // io.EOF inside must not count as the end
	}
	return n, err
}

var errBroken = errors.New("answer broke off")

// Close implements io.Closer.
func (b *body) Close() error {
	if b.done == nil {
		return nil
	}
	err := b.ReadCloser.Close()
	b.done()
	b.done = nil
	return err
}

// refuse answers a request with a refusal. f is nil if its route is not known.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, id model.RequestID, f *relay.Forward, err error) {
	var route string
	var workspace model.WorkspaceID
	if f != nil {
		route, workspace = f.Route.Name, f.Workspace
	}
	if c, ok := ctx.Conn().(*conn); ok {
		c.phase = phaseIdle
	}
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		refusal = model.NewRefusal(model.ErrUnavailable, model.RanUnknown, "%v", err)
	}
	s.options.Dialect.Refuse(&ctx.Response, id, refusal)
	s.options.Scope.Tagged(map[string]string{"status": strconv.Itoa(ctx.Response.StatusCode())}).Counter("requests_refused").Inc(1)
	s.options.Log.Info("request refused", "request", id, "route", route, "workspace", workspace, "status", ctx.Response.StatusCode(), "ran", refusal.Ran,
		"retry_after", refusal.RetryAfter, "error", refusal)
}

// malformed answers requests that the library could not parse.
func (s *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	kind := model.ErrBadRequest
	var timeout net.Error
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		kind = ErrHeaderTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		kind = model.ErrTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		kind = ErrRequestTimeout
	}
	s.refuse(ctx, "", nil, model.NewRefusal(kind, model.RanNo, "the request cannot be read: %v", err))
	ctx.SetConnectionClose()
	linger(ctx.Conn())
}

// linger reads on for a moment after a request was refused unread.
func linger(c net.Conn) {
	if w, ok := c.(*conn); ok {
		w.lingers = true
	}
}

// Sentinel errors of requests that cannot be read.
var (
	ErrHeaderTooLarge = errors.New("request header too large")
	ErrRequestTimeout           = errors.New("request was not sent in time")
)
