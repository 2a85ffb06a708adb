package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/buffer"
	"mimosarelay/io/edge"
)

const (
	headerTimeout = 30 * time.Second
	bodyTimeout   = 30 * time.Second
	// writeTimeout limits each write of an answer.
	writeTimeout = 30 * time.Second
	idleTimeout  = 60 * time.Second
	// connectionBytes is the memory of an open connection: the buffers for reading and
	// writing, the request and response of fasthttp, and two stacks.
	connectionBytes memory.Bytes = 20 << 10
	// memoryRetry is the Retry-After of requests that are refused for memory.
	memoryRetry = time.Second
	// maxBodyBytes is larger than the largest configuration, so that a body which
	// is slightly too large is read and answered. A client that is still sending
	// when the connection is closed may not receive the answer.
	maxBodyBytes = 4 * store.MaxValue
	bearerPrefix = "Bearer "
)

// Options configures a Server. Backend and CredentialFile are required.
type Options struct {
	Backend Backend
	// CredentialFile holds the credential on one line. It is read for each
	// request, so that a replaced credential is used at once.
	CredentialFile string
	// TLS enables TLS if it is not nil.
	TLS *tls.Config
	// Metrics serves /metrics; without it the path returns 404.
	Metrics fasthttp.RequestHandler
	// Wait limits the wait for the effect of a change; 0 means 15 s.
	Wait time.Duration
	Log  *slog.Logger // default: slog.Default
	// Memory is the account for the bytes of clients; nil for no limit.
	Memory *memory.Account
	Scope  tally.Scope // default: none
}

// Server is the HTTP server for operators.
type Server struct {
	options     Options
	http        *fasthttp.Server
	routes      []route
	baseContext context.Context
	stop        context.CancelFunc
}

// New returns a Server. It fails if the credential file cannot be read.
func New(o Options) (*Server, error) {
	if o.Wait == 0 {
		o.Wait = defaultWait
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if _, err := readCredential(o.CredentialFile); err != nil {
		return nil, err
	}
	s := &Server{options: o}
	s.baseContext, s.stop = context.WithCancel(context.Background())
	s.routes = s.routeTable()
	s.http = &fasthttp.Server{
		Name:              "mimosarelay",
		Handler:           s.handle,
		HeaderReceived:    requestConfig,
		ExpectHandler:     s.handleExpect,
		ConnState:         edge.ConnState,
		StreamRequestBody: true, // credentials are checked before the body is read
		// A form could be parsed before the credential is checked.
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		ErrorHandler:                 s.handleParseError,
		// Log messages of fasthttp may contain headers with the credential.
		SecureErrorLogMessage: true,
		Logger:                slog.NewLogLogger(o.Log.Handler(), slog.LevelDebug),
	}
	return s, nil
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	refused := s.options.Scope.Counter("connections_refused_for_memory")
	bounded := &edge.Listener{
		Listener: l, Limits: connectionLimits, WriteTimeout: writeTimeout,
		Memory: s.options.Memory, ConnectionBytes: connectionBytes, Refused: func() { refused.Inc(1) },
	}
	return s.http.Serve(bounded.WithTLS(s.options.TLS))
}

func connectionLimits() edge.Limits {
	return edge.Limits{IdleTimeout: idleTimeout, HeaderTimeout: headerTimeout}
}

// Shutdown stops the server after the running requests have ended. Requests that
// wait for the effect of a change stop waiting.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	return s.http.ShutdownWithContext(ctx)
}

// request is a request with its path parameters. Unlike the context of fasthttp,
// ctx is cancelled at Shutdown.
type request struct {
	*fasthttp.RequestCtx
	ctx        context.Context
	pathParams map[string]string
	body       []byte
}

// route is an operation of the API. Public routes need no credential.
type route struct {
	method  string
	pattern string
	public  bool
	handler func(*request) error
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	id := model.RequestID(uuid.NewString())
	start := time.Now()
	err := s.dispatch(c)
	edge.From(c).BeginAnswer()
	if err != nil {
		p := problemFromError(err)
		p.RequestID = id
		writeJSON(c, p.Status, "application/problem+json", p)
	}
	path := string(c.Path())
	if path == "/healthz" || path == "/readyz" || path == "/metrics" {
		return
	}
	s.options.Log.Info("operator request handled", "request_id", id, "method", string(c.Method()), "path", path,
		"status", c.Response.StatusCode(), "remote", c.RemoteAddr(), "duration", time.Since(start))
}

// dispatch runs the handler of the request's route. A panic in a handler is
// logged and answered as an internal error, so that it does not end the process.
func (s *Server) dispatch(c *fasthttp.RequestCtx) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.options.Log.Error("operator request handler panicked", "panic", p, "stack", string(debug.Stack()))
			err = problemf(fasthttp.StatusInternalServerError, "internal error")
		}
	}()
	if skipped := edge.From(c).Begin(c); skipped > 0 {
		return s.readProblem(c, buffer.ErrTooLarge)
	}
	var allowed []string
	for _, t := range s.routes {
		params, ok := matchPath(t.pattern, string(c.Path()))
		if !ok {
			continue
		}
		allowed = append(allowed, t.method)
		if t.method != string(c.Method()) {
			continue
		}
		if err := s.authorize(c, t); err != nil {
			return err
		}
		body, err := edge.From(c).ReadBody(c, maxBodyBytes)
		if err != nil {
			c.SetConnectionClose()
			return s.readProblem(c, err)
		}
		defer body.Release()
		edge.From(c).Holder().SetPhase(memory.Running) // a change may wait for its effect
		return t.handler(&request{RequestCtx: c, ctx: s.baseContext, pathParams: params, body: body.Bytes()})
	}
	if allowed == nil {
		return problemf(fasthttp.StatusNotFound, "no such path")
	}
	c.Response.Header.Set(fasthttp.HeaderAllow, strings.Join(allowed, ", "))
	return problemf(fasthttp.StatusMethodNotAllowed, "allowed are %s", strings.Join(allowed, ", "))
}

// matchPath matches a path against a pattern such as "/keys/{id}" and returns the
// path parameters.
func matchPath(pattern, path string) (map[string]string, bool) {
	want, have := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(want) != len(have) {
		return nil, false
	}
	params := map[string]string{}
	for i, w := range want {
		name, isParam := strings.CutPrefix(w, "{")
		switch {
		case isParam && have[i] != "":
			params[strings.TrimSuffix(name, "}")] = have[i]
		case w != have[i]:
			return nil, false
		}
	}
	return params, true
}

// authorize checks the credential of a request, in constant time.
func (s *Server) authorize(c *fasthttp.RequestCtx, t route) error {
	if t.public {
		return nil
	}
	want, err := readCredential(s.options.CredentialFile)
	if err != nil {
		s.options.Log.Error("operator request refused, its authorization cannot be checked", "error", err)
		return problemf(fasthttp.StatusServiceUnavailable, "this host failed to read its operator credential")
	}
	header := c.Request.Header.Peek(fasthttp.HeaderAuthorization)
	have, ok := bytes.CutPrefix(header, []byte(bearerPrefix))
	// ConstantTimeCompare returns at once if the lengths differ, so comparing
	// digests hides the length of the credential.
	a, b := sha256.Sum256(have), sha256.Sum256(want)
	if !ok || subtle.ConstantTimeCompare(a[:], b[:]) != 1 {
		c.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		return problemf(fasthttp.StatusUnauthorized, "missing or wrong operator credential")
	}
	return nil
}

// readCredential reads the credential from a file with exactly one line.
func readCredential(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("failed to read operator credential: %w", err)
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 || bytes.ContainsAny(data, "\r\n") {
		return nil, fmt.Errorf("operator credential file %s must hold exactly one line", file)
	}
	return data, nil
}

// writeJSON writes a value as JSON.
func writeJSON(c *fasthttp.RequestCtx, status int, contentType string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		c.Error("failed to encode the answer as JSON", fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType(contentType)
	c.SetBody(append(data, '\n'))
}

func (r *request) writeJSON(status int, v any) error {
	writeJSON(r.RequestCtx, status, "application/json", v)
	return nil
}

// decode decodes a JSON body. Unknown members and data after the value are errors.
func (r *request) decode(v any) error {
	d := json.NewDecoder(bytes.NewReader(r.body))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		err = errors.New("text after the JSON value")
	}
	if err != nil {
		return problemf(fasthttp.StatusBadRequest, "body is not valid: %v", err)
	}
	return nil
}
