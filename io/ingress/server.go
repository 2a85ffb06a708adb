// Package ingress implements the HTTP server for callers whose requests are
// forwarded unchanged to the targets of a route. How a request carries its key,
// deadline and other metadata depends on the deployment, see Dialect.
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
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/io/buffer"
	"mimosarelay/io/edge"
	"mimosarelay/io/rawhead"
	"mimosarelay/io/target"
)

// Relay forwards requests to targets.
type Relay interface {
	Forward(ctx context.Context, f *relay.Forward) (*relay.Answer, error)
}

// Fields is the metadata of a request.
type Fields struct {
	ID model.RequestID
	// Key is the caller's credential; empty if there is none.
	Key string
	// Wait is how long the caller waits for the answer; 0 if that is not known.
	Wait time.Duration
	// LastEvent is the id of the last event that the caller has received of a
	// stream that it resumes.
	LastEvent string
	Program   model.ProgramID
	// Previous is the turn of a conversation that the request continues.
	Previous model.RequestID
	// Object names the object that the request concerns; empty if it is not known.
	Object string
	Prompt relay.Prompt
	// Budget limits the tokens of the program; 0 means no limit.
	Budget model.Tokens
	// Headers holds the header fields that are forwarded to the target.
	Headers []relay.Header
}

// Dialect is the part of the HTTP API that depends on the deployment.
type Dialect interface {
	// Fields reads the metadata of a request. If it fails, the result still holds
	// the request id, if there is one.
	Fields(r *fasthttp.Request) (Fields, error)
	// Refuse writes a refusal as the answer to a request.
	Refuse(r *fasthttp.Response, id model.RequestID, refusal *model.Refusal)
}

// Options configures a Server. All fields but Memory are required.
type Options struct {
	Relay   Relay
	Dialect Dialect
	// View returns the current configuration. It fails with a *model.Refusal while
	// this host cannot confirm that the configuration is in effect.
	View func() (*coreingress.View, error)
	// Limits returns the limits for requests, also while View fails.
	Limits func() coreingress.Limits
	// Confirm fails with a *model.Refusal unless the configuration is known to be in
	// effect now, so that a request may be refused for good.
	Confirm func(context.Context) error
	// Confirmation returns the revision of the configuration and how long ago the
	// store confirmed it.
	Confirmation func() (model.Revision, time.Duration)
	// Drain returns the state of the host's drain; nil if the host is not draining.
	Drain func() *Drain
	// Memory is the account for the bytes of callers; nil for no limit.
	Memory *memory.Account
	Clock  clockwork.Clock
	Log    *slog.Logger
	Scope  tally.Scope
}

// Drain describes the planned stop of a host. Connections are closed after the answer,
// so that callers move to other hosts.
type Drain struct {
	// AcceptAll is the time until which all requests are accepted. Later ones are
	// accepted only if their deadline is not after End.
	AcceptAll time.Time
	// End is when the last answer ends.
	End time.Time
}

// limit shortens the deadline of a request that arrived at a time, or refuses the
// request if the host would end before it.
func (d *Drain) limit(f *relay.Forward, received time.Time) error {
	switch {
	case d == nil || !f.Deadline.After(d.End):
		return nil
	case received.After(d.AcceptAll):
		return model.NewRefusal(model.ErrDraining, model.RanNo, "this host stops before the deadline of the request").Retry(drainRetryAfter)
	}
	f.Deadline = d.End
	return nil
}

// drainRetryAfter is the Retry-After of requests that a stopping host refuses. Other
// hosts can serve them at once.
const drainRetryAfter = 20 * time.Millisecond

const (
	// headerBufferSize limits the size of a request's header, in bytes. It is more
	// than a configuration can allow, so that a header above the configured limit
	// is read and answered.
	headerBufferSize = 20 << 10
	// writeTimeout limits each write, so that an answer to a caller that stops
	// reading is aborted.
	writeTimeout = 5 * time.Second
	// bodyTimeout limits the time to receive a body.
	bodyTimeout = 10 * time.Second
	// connectionBytes is the memory of an open connection: the buffers for reading and
	// writing, the request and response of fasthttp, and two stacks.
	connectionBytes = headerBufferSize + 12<<10
)

// Server is the HTTP server for callers.
type Server struct {
	options Options
	http    *fasthttp.Server
	running atomic.Int64
	// duration is the time from reading a request to the end of its answer.
	duration tally.Histogram
}

// New returns a Server.
func New(o Options) *Server {
	scope := o.Scope.SubScope("requests")
	s := &Server{
		options:  o,
		duration: scope.Histogram("seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
	}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleParseError,
		HeaderReceived:               s.requestConfig,
		ExpectHandler:                s.handleExpect,
		ConnState:                    edge.ConnState,
		StreamRequestBody:            true, // keys are checked before the body is read
		ReadBufferSize:               headerBufferSize,
		CloseOnShutdown:              true,
		NoDefaultDate:                true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       discardLogger{},
	}
	return s
}

// discardLogger drops the messages of fasthttp, which are about broken connections
// of callers.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(&edge.Listener{
		Listener: l, Limits: s.connectionLimits, WriteTimeout: writeTimeout,
		Memory: s.options.Memory, ConnectionBytes: connectionBytes, Refused: s.countRefusedConnection,
	})
}

func (s *Server) connectionLimits() edge.Limits {
	l := s.options.Limits()
	return edge.Limits{IdleTimeout: l.IdleTimeout, HeaderTimeout: l.HeaderTimeout}
}

// Running returns the number of running requests.
func (s *Server) Running() int { return int(s.running.Load()) }

// Shutdown stops accepting connections and waits until all running requests
// have ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.options.Drain() != nil {
		defer ctx.SetConnectionClose()
	}
	received := s.options.Clock.Now()
	f, fields, ok := s.decide(ctx, received)
	if !ok {
		return
	}
	body, ok := s.readBody(ctx, f)
	if !ok {
		return
	}
	if now := s.options.Clock.Now(); now.Sub(received) > maxDecisionAge {
		var err error
		if f, err = s.authorize(ctx, fields, now); err != nil {
			body.Release()
			s.refuse(ctx, fields.ID, nil, err)
			return
		}
		f.Body = body.Bytes()
	}
	s.relayRequest(ctx, f, body)
}

// maxDecisionAge is the time to receive a body after which the request is decided on
// again, because its key may have been withdrawn in the meantime.
const maxDecisionAge = 100 * time.Millisecond

// decide decides on a request by its header, before its body is read. If it refuses
// the request, ok is false.
func (s *Server) decide(ctx *fasthttp.RequestCtx, received time.Time) (f *relay.Forward, fields Fields, ok bool) {
	skipped := edge.From(ctx).Begin(ctx)
	if err := checkFraming(&ctx.Request); err != nil {
		s.refuse(ctx, "", nil, err)
		ctx.SetConnectionClose()
		return nil, fields, false
	}
	fields, err := s.options.Dialect.Fields(&ctx.Request)
	if err == nil {
		f, err = s.authorize(ctx, fields, received)
	}
	if err == nil && skipped > 0 {
		err = s.refuseSkipped(skipped)
	}
	if err != nil {
		s.refuse(ctx, fields.ID, nil, err)
		return nil, fields, false
	}
	return f, fields, true
}

// authorize is resolve with a confirmation of the configuration for refusals that
// callers take as final.
func (s *Server) authorize(ctx *fasthttp.RequestCtx, fields Fields, received time.Time) (*relay.Forward, error) {
	f, err := s.resolve(ctx, fields, received)
	if errors.Is(err, model.ErrNotFound) || errors.Is(err, model.ErrUnauthorized) { // callers do not retry these
		if err = s.options.Confirm(context.Background()); err == nil {
			f, err = s.resolve(ctx, fields, received)
		}
	}
	return f, err
}

// resolve authenticates a request and finds its route and service.
func (s *Server) resolve(ctx *fasthttp.RequestCtx, fields Fields, received time.Time) (*relay.Forward, error) {
	view, err := s.options.View()
	if err != nil {
		return nil, err
	}
	requestTarget, host := rawhead.Target(&ctx.Request), string(ctx.Request.Header.Host())
	path := requestPath(requestTarget)
	route, ok := view.RouteFor(host, path)
	if !ok {
		return nil, model.NewRefusal(model.ErrNotFound, model.RanNo, "no route for host %q and path %q", host, path)
	}
	f := &relay.Forward{
		ID: fields.ID, Route: route, Method: string(ctx.Method()), URI: string(requestTarget),
		Headers: fields.Headers, LastEvent: fields.LastEvent,
		Prompt: fields.Prompt, Program: fields.Program, Previous: fields.Previous, Deadline: received.Add(route.Timeout),
	}
	if route.Sticky {
		f.Object = fields.Object
	}
	if fields.Wait > 0 && fields.Wait < route.Timeout {
		f.Deadline = received.Add(fields.Wait)
	}
	var known bool
	if f.Workspace, f.Key, known = view.Authenticate(fields.Key); !known && view.NeedsKeys() && !route.Public {
		return nil, model.NewRefusal(model.ErrUnauthorized, model.RanNo, "the key is missing, unknown or was withdrawn")
	}
	if err := s.options.Drain().limit(f, received); err != nil {
		return nil, err
	}
	f.Service = view.Service(route.PickService(rand.Float64()))
	if fields.Budget > 0 && fields.Program != "" && route.Streaming() {
		f.Turn = &relay.Turn{Request: fields.ID, Budget: fields.Budget, MaxTokens: fields.Prompt.MaxTokens, Deadline: f.Deadline}
	}
	return f, nil
}

// relayRequest passes a request to the relay and writes the answer.
func (s *Server) relayRequest(ctx *fasthttp.RequestCtx, f *relay.Forward, body *buffer.Buffer) {
	callCtx, cancel := context.WithDeadlineCause(context.Background(), time.Now().Add(f.Deadline.Sub(s.options.Clock.Now())), context.DeadlineExceeded)
	c := edge.From(ctx)
	f.Memory = c.Holder()
	f.Memory.SetPhase(memory.Running)
	if c.Evicted() {
		ctx.SetConnectionClose()
	}
	stop := c.OnDisconnect(cancel)
	s.running.Add(1)
	start := s.options.Clock.Now()
	done := func() {
		s.duration.RecordDuration(s.options.Clock.Since(start))
		stop()
		cancel()
		body.Release()
		s.running.Add(-1)
	}
	answer, err := s.options.Relay.Forward(callCtx, f)
	if err != nil {
		done()
		s.refuse(ctx, f.ID, f, err)
		return
	}
	f.Memory.SetPhase(memory.Answering)
	ctx.SetStatusCode(answer.Status)
	for _, h := range answer.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	ctx.SetBodyStream(&answerBody{ReadCloser: answer.Body, done: done}, answer.Length)
}

// answerBody ends a request when fasthttp closes the body of its answer.
type answerBody struct {
	io.ReadCloser
	done func()
}

// Read implements io.Reader. An incomplete answer ends with an error that does not
// wrap io.EOF, so that fasthttp closes the connection without a final chunk.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !target.AtEnd(err) {
		err = fmt.Errorf("%w: %v", errIncompleteAnswer, err) //nolint:errorlint // a wrapped io.EOF would count as a complete answer
	}
	return n, err
}

var errIncompleteAnswer = errors.New("answer is incomplete")

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.done == nil {
		return nil
	}
	err := b.ReadCloser.Close()
	b.done()
	b.done = nil
	return err
}

// refuse answers a request with a refusal. f is nil if the request has no route
// yet.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, id model.RequestID, f *relay.Forward, err error) {
	var route string
	var workspace model.WorkspaceID
	if f != nil {
		route, workspace = f.Route.Name, f.Workspace
	}
	if c := edge.From(ctx); c != nil {
		c.BeginAnswer()
	}
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		refusal = model.NewRefusal(model.ErrUnavailable, model.RanUnknown, "%v", err)
	}
	s.options.Dialect.Refuse(&ctx.Response, id, refusal)
	s.options.Scope.Tagged(map[string]string{"status": strconv.Itoa(ctx.Response.StatusCode())}).Counter("requests_refused").Inc(1)
	revision, age := s.options.Confirmation()
	s.options.Log.Info("request refused", "request", id, "route", route, "workspace", workspace, "status", ctx.Response.StatusCode(), "ran", refusal.Ran,
		"retry_after", refusal.RetryAfter, "revision", revision, "age", age, "error", refusal)
}

// limitRaisedRetryAfter is the Retry-After of a request whose body was above a limit
// that has just been raised.
const limitRaisedRetryAfter = 20 * time.Millisecond

// confirmTooLarge returns the refusal of a request whose body is too large. If the
// limit may have been raised, callers may send the request again.
func (s *Server) confirmTooLarge(refusal error) error {
	limit := s.options.Limits().BodyBytes
	if err := s.options.Confirm(context.Background()); err != nil {
		return err
	}
	if raised := s.options.Limits().BodyBytes; raised > limit {
		return model.NewRefusal(model.ErrUnavailable, model.RanNo, "the limit for bodies was raised from %d to %d bytes", limit, raised).Retry(limitRaisedRetryAfter)
	}
	return refusal
}

// Errors of requests that could not be read.
var (
	ErrHeaderTooLarge = errors.New("request header too large")
	ErrRequestTimeout = errors.New("request was not received in time")
)
