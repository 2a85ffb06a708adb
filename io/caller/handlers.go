package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"mimosarelay/io/target"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/relay"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

// Paths of the callers' interface.
const (
	pathChat     = "/v1/chat/completions"
	pathModels   = "/v1/models"
	pathHosts    = "/v1/hosts"
	pathRoutes   = "/v1/routes/"
	pathPrograms = "/v1/programs/"
	pathCalls    = "/v1/calls/"
	pathHealth   = "/healthz"
	pathReady    = "/readyz"
)

// hostsMaxAge is how long callers may keep the list of hosts. A leaving host
// serves for longer than that.
const hostsMaxAge = 5 * time.Second

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if s.options.Draining() {
		defer ctx.SetConnectionClose()
	}
	switch {
	case path == pathHealth:
		s.text(ctx, fasthttp.StatusOK, "ok")
	case path == pathReady:
		s.ready(ctx)
	case path == pathHosts:
		s.only(ctx, fasthttp.MethodGet, s.hosts)
	case path == pathModels:
		s.only(ctx, fasthttp.MethodGet, s.models)
	case path == pathChat:
		s.only(ctx, fasthttp.MethodPost, s.chat)
	case strings.HasPrefix(path, pathRoutes):
		s.service(ctx, strings.TrimPrefix(path, pathRoutes))
	case strings.HasPrefix(path, pathPrograms):
		s.program(ctx, strings.TrimPrefix(path, pathPrograms))
	case strings.HasPrefix(path, pathCalls):
		s.only(ctx, fasthttp.MethodGet, s.call)
	default:
		s.refuse(ctx, newRequestID(), model.NewRefusal(model.ErrNotFound, model.RanNo, "path %q does not exist", path))
	}
}

func (s *Server) only(ctx *fasthttp.RequestCtx, method string, next func(*fasthttp.RequestCtx)) {
	if string(ctx.Method()) == method {
		next(ctx)
		return
	}
	s.refuse(ctx, newRequestID(), model.NewRefusal(errMethod, model.RanNo, "this path takes %s", method))
	ctx.Response.Header.Set("Allow", method)
}

func (s *Server) text(ctx *fasthttp.RequestCtx, status int, body string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(body + "\n")
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if ok, why := s.options.Ready(); !ok {
		s.text(ctx, fasthttp.StatusServiceUnavailable, why)
		return
	}
	s.text(ctx, fasthttp.StatusOK, "ready")
}

// hostList is the answer of /v1/hosts.
type hostList struct {
	Hosts []string
	// MaxAge is how long the list may be kept, in seconds.
	MaxAge int
}

func (s *Server) hosts(ctx *fasthttp.RequestCtx) {
	s.json(ctx, hostList{Hosts: s.options.Hosts.Addresses(), MaxAge: int(hostsMaxAge.Seconds())})
}

func (s *Server) json(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.refuse(ctx, newRequestID(), err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     model.ModelID `json:"id"`
	Object string        `json:"object"`
}

func (s *Server) models(ctx *fasthttp.RequestCtx) {
	id := newRequestID()
	r, err := s.identify(ctx, id, false)
	if err != nil {
		s.refuse(ctx, id, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range grantedModels(s.options.Snapshot(), r.Workspace) {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model"})
	}
	s.json(ctx, list)
}

// grantedModels lists the models that a workspace may use, sorted.
func grantedModels(snapshot *config.Snapshot, id model.WorkspaceID) []model.ModelID {
	workspace, ok := snapshot.Workspace(id)
	if !ok {
		return nil
	}
	var list []model.ModelID
	for _, t := range snapshot.Document().Targets {
		for _, m := range t.Models {
			if workspace.MayUseModel(m) {
				list = append(list, m)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (s *Server) chat(ctx *fasthttp.RequestCtx) {
	id := newRequestID()
	r, err := s.identify(ctx, id, false)
	if err == nil {
		r.Method = fasthttp.MethodPost
		err = s.complete(ctx, r)
	}
	s.run(ctx, r, id, err)
}

func (s *Server) service(ctx *fasthttp.RequestCtx, rest string) {
	id := newRequestID()
	name, path, _ := strings.Cut(rest, "/")
	route, ok := s.options.Snapshot().Route(model.RouteID(name))
	if !ok {
		s.refuse(ctx, id, model.NewRefusal(model.ErrNotFound, model.RanNo, "route %q does not exist", name))
		return
	}
	r, err := s.identify(ctx, id, route.Open)
	if err == nil {
		r.Route, r.Method, r.Path = route.Name, string(ctx.Method()), servicePath(ctx, path)
		err = s.complete(ctx, r)
	}
	if err == nil {
		s.nameCall(ctx, r, route)
	}
	s.run(ctx, r, id, err)
}

func servicePath(ctx *fasthttp.RequestCtx, path string) string {
	if query := ctx.URI().QueryString(); len(query) > 0 {
		return path + "?" + string(query)
	}
	return path
}

// nameCall gives a non-idempotent call outside a program a key, by which its
// outcome can be asked for later.
func (s *Server) nameCall(ctx *fasthttp.RequestCtx, r *relay.Request, route config.Route) {
	if r.Program == "" && r.IdempotencyKey == "" && !route.Repeatable {
		r.IdempotencyKey = string(newRequestID())
	}
	if r.IdempotencyKey != "" {
		ctx.SetUserValue(headerIdempotency, r.IdempotencyKey)
	}
}

func (s *Server) program(ctx *fasthttp.RequestCtx, rest string) {
	id := newRequestID()
	r, err := s.identify(ctx, id, false)
	if err == nil {
		err = parseProgramPath(ctx, r, rest)
	}
	s.run(ctx, r, id, err)
}

// call tells the outcome of a call outside a program by its idempotency key.
func (s *Server) call(ctx *fasthttp.RequestCtx) {
	id := newRequestID()
	r, err := s.identify(ctx, id, false)
	if err == nil {
		err = parseCallPath(r, strings.TrimPrefix(string(ctx.Path()), pathCalls))
	}
	s.run(ctx, r, id, err)
}

// run hands a request to the relay and answers it.
func (s *Server) run(ctx *fasthttp.RequestCtx, r *relay.Request, id model.RequestID, err error) {
	if err != nil {
		s.refuse(ctx, id, err)
		return
	}
	if ok, why := s.options.Serves(); !ok {
		s.refuse(ctx, id, model.NewRefusal(model.ErrUnavailable, model.RanNo, "this host does not serve: %s", why).Retry(time.Second))
		return
	}
	// The library's context ends at the start of a shutdown, which must not
	// cut running calls.
	call, done := s.options.Streams.Add(context.Background(), r.Workspace, r.Key)
	answer, err := s.options.Relay.Handle(call, r)
	if err != nil {
		done()
		s.refuse(ctx, id, err)
		setIdempotency(ctx)
		return
	}
	s.answer(ctx, r, answer, s.logEnd(r, answer.Status, done))
}

// logEnd returns a function that ends a call and logs it.
func (s *Server) logEnd(r *relay.Request, status int, done func()) func(whole bool) {
	started := time.Now()
	return func(whole bool) {
		done()
		s.options.Log.Info("call ended", "request", r.ID, "workspace", r.Workspace, "key", r.Key, "route", r.Route,
			"program", r.Program, "call", r.Call, "status", status, "whole", whole, "duration", time.Since(started))
	}
}

func setIdempotency(ctx *fasthttp.RequestCtx) {
	if key, ok := ctx.UserValue(headerIdempotency).(string); ok {
		ctx.Response.Header.Set(headerIdempotency, key)
	}
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, r *relay.Request, a *relay.Answer, done func(whole bool)) {
	ctx.SetStatusCode(a.Status)
	for _, h := range a.Headers {
		ctx.Response.Header.Set(h.Name, h.Value)
	}
	ctx.Response.Header.Set("X-Request-Id", string(r.ID))
	setIdempotency(ctx)
	ctx.SetBodyStream(&answerStream{body: a.Body, done: done}, a.Length)
}

// answerStream ends a call when the library is done with its body.
type answerStream struct {
	body   io.ReadCloser
	done   func(whole bool)
	whole  bool
	closed bool
}

// Read implements io.Reader.
func (a *answerStream) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	a.whole = a.whole || target.AtEnd(err)
	return n, err
}

// Close implements io.Closer.
func (a *answerStream) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	err := a.body.Close()
	a.done(a.whole)
	return err
}

func containsKey(key []byte, parts ...[]byte) bool {
	for _, p := range parts {
		if bytes.Contains(p, key) {
			return true
		}
	}
	return false
}
