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
	"github.com/valyala/fasthttp"

	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

const (
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 60 * time.Second
	// maxBody exceeds the largest document, because a client that is still
	// sending when the connection is closed may lose the answer.
	maxBody = 4 * store.MaxValue // bytes
	bearer  = "Bearer "
)

// Options configures a Server. Backend and CredentialFile are required.
type Options struct {
	Backend Backend
	// CredentialFile holds the credential on one line. It is read again for
	// each request, so that a replaced credential works at once.
	CredentialFile string
	// TLS is used if it is not nil.
	TLS *tls.Config
	// Metrics serves /metrics; nil means 404.
	Metrics fasthttp.RequestHandler
	// Wait bounds the wait for the effect of a change; 0 means 15 s.
	Wait time.Duration
	Log  *slog.Logger // default: slog.Default
}

// Server is the HTTP server for operators.
type Server struct {
	o      Options
	http   *fasthttp.Server
	routes []route
	base   context.Context
	stop   context.CancelFunc
}

// New returns a Server. It fails if the credential is not usable.
func New(o Options) (*Server, error) {
	if o.Wait == 0 {
		o.Wait = defaultWait
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if _, err := readCredential(o.CredentialFile); err != nil {
		return nil, err
	}
	s := &Server{o: o}
	s.base, s.stop = context.WithCancel(context.Background())
	s.routes = s.table()
	s.http = &fasthttp.Server{
		Name:                  "mimosarelay",
		Handler:               s.handle,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout + o.Wait,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          s.unreadable,
		// Messages of the library may quote headers with the credential.
		SecureErrorLogMessage: true,
		Logger:                slog.NewLogLogger(o.Log.Handler(), slog.LevelDebug),
	}
	return s, nil
}

// Serve answers requests until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if s.o.TLS != nil {
		l = tls.NewListener(l, s.o.TLS)
	}
	return s.http.Serve(l)
}

// Shutdown ends waits for the effect of changes, lets running requests finish
// and stops the server.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	return s.http.ShutdownWithContext(ctx)
}

// request is one request with the parts of its path in braces.
type request struct {
	*fasthttp.RequestCtx
	ctx  context.Context
	vars map[string]string
}

// route is one operation. Only open ones need no credential.
type route struct {
	method  string
	pattern string
	open    bool
	handler func(*request) error
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	id := model.RequestID(uuid.NewString())
	start := time.Now()
	err := s.serve(c)
	if err != nil {
		p := newProblem(err)
		p.RequestID = id
		write(c, p.Status, "application/problem+json", p)
	}
	path := string(c.Path())
	if path == "/healthz" || path == "/readyz" || path == "/metrics" {
		return
	}
	s.o.Log.Info("operator request", "request_id", id, "method", string(c.Method()), "path", path,
		"status", c.Response.StatusCode(), "remote", c.RemoteAddr(), "duration", time.Since(start))
}

// unreadable answers a request that could not be read. The error may quote
// headers and is therefore not shown.
func (s *Server) unreadable(c *fasthttp.RequestCtx, err error) {
	p := problem(fasthttp.StatusBadRequest, "the request is not valid HTTP or did not arrive in time")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		p = problem(fasthttp.StatusRequestEntityTooLarge, "the body exceeds %d bytes", maxBody)
	}
	p.RequestID = model.RequestID(uuid.NewString())
	s.o.Log.Info("operator request not readable", "request_id", p.RequestID, "status", p.Status, "remote", c.RemoteAddr())
	write(c, p.Status, "application/problem+json", p)
}

// serve finds the route and runs its handler. A panic in a handler must not
// end the process.
func (s *Server) serve(c *fasthttp.RequestCtx) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.o.Log.Error("operator request panicked", "panic", p, "stack", string(debug.Stack()))
			err = problem(fasthttp.StatusInternalServerError, "internal error")
		}
	}()
	var allowed []string
	for _, t := range s.routes {
		vars, ok := match(t.pattern, string(c.Path()))
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
		return t.handler(&request{RequestCtx: c, ctx: s.base, vars: vars})
	}
	if allowed == nil {
		return problem(fasthttp.StatusNotFound, "no such path")
	}
	c.Response.Header.Set(fasthttp.HeaderAllow, strings.Join(allowed, ", "))
	return problem(fasthttp.StatusMethodNotAllowed, "allowed are %s", strings.Join(allowed, ", "))
}

// match compares a path with a pattern such as "/keys/{id}".
func match(pattern, path string) (map[string]string, bool) {
	want, have := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(want) != len(have) {
		return nil, false
	}
	vars := map[string]string{}
	for i, w := range want {
		name, isVar := strings.CutPrefix(w, "{")
		switch {
		case isVar && have[i] != "":
			vars[strings.TrimSuffix(name, "}")] = have[i]
		case w != have[i]:
			return nil, false
		}
	}
	return vars, true
}

// authorize compares the credential in constant time.
func (s *Server) authorize(c *fasthttp.RequestCtx, t route) error {
	if t.open {
		return nil
	}
	want, err := readCredential(s.o.CredentialFile)
	if err != nil {
		s.o.Log.Error("operator credential not usable", "error", err)
		return problem(fasthttp.StatusServiceUnavailable, "the credential of this host is not usable")
	}
	header := c.Request.Header.Peek(fasthttp.HeaderAuthorization)
	have, ok := bytes.CutPrefix(header, []byte(bearer))
	// Digests of equal length hide the length of the credential.
	a, b := sha256.Sum256(have), sha256.Sum256(want)
	if !ok || subtle.ConstantTimeCompare(a[:], b[:]) != 1 {
		c.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		return problem(fasthttp.StatusUnauthorized, "missing or wrong operator credential")
	}
	return nil
}

func readCredential(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading operator credential: %w", err)
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 || bytes.ContainsAny(data, "\r\n") {
		return nil, fmt.Errorf("operator credential file %s must hold exactly one line", file)
	}
	return data, nil
}

// write sends a value as JSON.
func write(c *fasthttp.RequestCtx, status int, contentType string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		c.Error("answer cannot be written as JSON", fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType(contentType)
	c.SetBody(append(data, '\n'))
}

func (r *request) json(status int, v any) error {
	write(r.RequestCtx, status, "application/json", v)
	return nil
}

// decode reads a JSON body strictly.
func (r *request) decode(v any) error {
	d := json.NewDecoder(bytes.NewReader(r.PostBody()))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		err = errors.New("text after the JSON value")
	}
	if err != nil {
		return problem(fasthttp.StatusBadRequest, "body is not valid: %v", err)
	}
	return nil
}
