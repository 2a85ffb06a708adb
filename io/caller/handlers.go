package caller

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/relay"
	"mimosarelay/core/config"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/io/edge"
	"mimosarelay/io/rawhead"
	"mimosarelay/io/target"
)

// Paths of the HTTP API for callers.
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

// hostsMaxAge is how long callers may cache the list of hosts. It is shorter than
// the time for which a draining host still accepts calls, so that a cached
// address stays usable.
const hostsMaxAge = 5 * time.Second

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if s.options.Draining() {
		defer ctx.SetConnectionClose()
	}
	if err := s.checkHead(ctx); err != nil {
		s.refuse(ctx, newRequestID(), err)
		ctx.SetConnectionClose()
		return
	}
	// Calls of routes are forwarded, so that their path is taken from the bytes received.
	if rest, ok := strings.CutPrefix(string(rawhead.Target(&ctx.Request)), pathRoutes); ok {
		s.handleRoute(ctx, rest)
		return
	}
	switch {
	case path == pathHealth:
		s.writeText(ctx, fasthttp.StatusOK, "ok")
	case path == pathReady:
		s.handleReady(ctx)
	case path == pathHosts:
		s.requireMethod(ctx, fasthttp.MethodGet, s.handleHosts)
	case path == pathModels:
		s.requireMethod(ctx, fasthttp.MethodGet, s.handleModels)
	case path == pathChat:
		s.requireMethod(ctx, fasthttp.MethodPost, s.handleChat)
	case strings.HasPrefix(path, pathPrograms):
		s.handleProgram(ctx, strings.TrimPrefix(path, pathPrograms))
	case strings.HasPrefix(path, pathCalls):
		s.requireMethod(ctx, fasthttp.MethodGet, s.handleOutcome)
	default:
		s.refuse(ctx, newRequestID(), model.NewRefusal(model.ErrNotFound, model.RanNo, "path %q does not exist", path))
	}
}

// requireMethod runs the handler if the request has the given method, and
// refuses the request otherwise.
func (s *Server) requireMethod(ctx *fasthttp.RequestCtx, method string, handler func(*fasthttp.RequestCtx)) {
	if string(ctx.Method()) == method {
		handler(ctx)
		return
	}
	s.refuse(ctx, newRequestID(), model.NewRefusal(errMethodNotAllowed, model.RanNo, "this path only accepts the method %s", method))
	ctx.Response.Header.Set("Allow", method)
}

func (s *Server) writeText(ctx *fasthttp.RequestCtx, status int, body string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(body + "\n")
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if ok, reason := s.options.Ready(); !ok {
		s.writeText(ctx, fasthttp.StatusServiceUnavailable, reason)
		return
	}
	s.writeText(ctx, fasthttp.StatusOK, "ready")
}

// hostList is the body of the answer to GET /v1/hosts.
type hostList struct {
	Hosts []string
	// MaxAge is how long callers may cache the list, in seconds.
	MaxAge int
}

func (s *Server) handleHosts(ctx *fasthttp.RequestCtx) {
	s.writeJSON(ctx, hostList{Hosts: s.options.Hosts.Addresses(), MaxAge: int(hostsMaxAge.Seconds())})
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, value any) {
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

func (s *Server) handleModels(ctx *fasthttp.RequestCtx) {
	id := newRequestID()
	r, err := s.authenticate(ctx, id, false)
	if err != nil {
		s.refuse(ctx, id, s.confirmRefusal(err))
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range grantedModels(s.options.Snapshot(), r.Workspace) {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model"})
	}
	s.writeJSON(ctx, list)
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

func (s *Server) handleChat(ctx *fasthttp.RequestCtx) {
	id := newRequestID()
	r, err := s.authenticate(ctx, id, false)
	var body *callBody
	if err == nil {
		r.Method = fasthttp.MethodPost
		body, err = s.readCall(ctx, r, false)
	}
	if err == nil && body.reserveCopies(context.Background(), chatCopies) != nil {
		err = s.noMemory()
	}
	s.relayCall(ctx, r, id, body, err)
}

// handleRoute relays a call of a route. rest is the request target after pathRoutes.
func (s *Server) handleRoute(ctx *fasthttp.RequestCtx, rest string) {
	id := newRequestID()
	name, path := splitRoute(rest)
	route, ok := s.options.Snapshot().Route(model.RouteID(name))
	if !ok {
		s.refuse(ctx, id, s.confirmRefusal(model.NewRefusal(model.ErrNotFound, model.RanNo, "route %q does not exist", name)))
		return
	}
	r, err := s.authenticate(ctx, id, route.Open)
	var body *callBody
	if err == nil {
		r.Route, r.Method, r.Path = route.Name, string(ctx.Method()), path
		body, err = s.readCall(ctx, r, route.Open)
	}
	if err == nil {
		s.ensureIdempotencyKey(ctx, r, route)
	}
	s.relayCall(ctx, r, id, body, err)
}

// splitRoute splits a request target after pathRoutes into the name of the route and
// the rest without its first slash. A query may follow the name.
func splitRoute(target string) (name, path string) {
	end := strings.IndexAny(target, "/?")
	if end < 0 {
		return target, ""
	}
	return target[:end], strings.TrimPrefix(target[end:], "/")
}

// ensureIdempotencyKey generates a key for a non-repeatable call outside a program
// that has none, so that the caller can query the outcome of the call later. The
// answer returns the key.
func (s *Server) ensureIdempotencyKey(ctx *fasthttp.RequestCtx, r *relay.Request, route config.Route) {
	if r.Program == "" && r.IdempotencyKey == "" && !route.Repeatable {
		r.IdempotencyKey = string(newRequestID())
	}
	if r.IdempotencyKey != "" {
		ctx.SetUserValue(headerIdempotency, r.IdempotencyKey)
	}
}

func (s *Server) handleProgram(ctx *fasthttp.RequestCtx, rest string) {
	id := newRequestID()
	r, err := s.authenticate(ctx, id, false)
	if err == nil {
		err = parseProgramPath(ctx, r, rest)
	}
	s.relayCall(ctx, r, id, nil, err)
}

// handleOutcome returns the outcome of a call outside a program, which is
// identified by its idempotency key.
func (s *Server) handleOutcome(ctx *fasthttp.RequestCtx) {
	id := newRequestID()
	r, err := s.authenticate(ctx, id, false)
	if err == nil {
		err = parseIdempotencyPath(r, strings.TrimPrefix(string(ctx.Path()), pathCalls))
	}
	s.relayCall(ctx, r, id, nil, err)
}

// relayCall passes a request to the relay and writes the answer, after which it
// releases the body of the request. It refuses the request if err, the result of reading
// the request, is not nil.
func (s *Server) relayCall(ctx *fasthttp.RequestCtx, r *relay.Request, id model.RequestID, body *callBody, err error) {
	if err != nil {
		err = s.confirmRefusal(err)
	} else {
		err = s.checkServes()
	}
	if err != nil {
		body.release()
		s.refuse(ctx, id, err)
		return
	}
	c := edge.From(ctx)
	r.Memory = c.Holder()
	r.Memory.SetPhase(memory.Running)
	if c.Evicted() {
		ctx.SetConnectionClose()
	}
	// The context of fasthttp is cancelled at the start of a shutdown, which must
	// not interrupt running calls.
	callCtx, removeCall := s.options.Streams.Add(context.Background(), r.Workspace, r.Key)
	done := func() {
		removeCall()
		body.release()
	}
	answer, err := s.options.Relay.Handle(callCtx, r)
	if err != nil {
		done()
		s.refuse(ctx, id, err)
		setIdempotencyHeader(ctx)
		return
	}
	r.Memory.SetPhase(memory.Answering)
	s.writeAnswer(ctx, r, answer, s.callEnder(r, answer.Status, done))
}

// checkServes returns a refusal if the host does not accept calls.
func (s *Server) checkServes() error {
	if ok, reason := s.options.Serves(); !ok {
		return model.NewRefusal(model.ErrUnavailable, model.RanNo, "this host does not accept calls: %s", reason).Retry(time.Second)
	}
	return nil
}

// confirmRefusal returns the refusal err, or a temporary one if err follows from a
// configuration that the host cannot know to be in effect.
func (s *Server) confirmRefusal(err error) error {
	for _, kind := range []error{model.ErrUnauthorized, model.ErrForbidden, model.ErrNotFound} {
		if errors.Is(err, kind) {
			return cmp.Or(s.checkServes(), err)
		}
	}
	return err
}

// callEnder returns a function that ends a call and logs it. Its argument says
// whether the answer was read to its end.
func (s *Server) callEnder(r *relay.Request, status int, done func()) func(complete bool) {
	start := time.Now()
	return func(complete bool) {
		done()
		s.options.Log.Info("call ended", "request", r.ID, "workspace", r.Workspace, "key", r.Key, "route", r.Route,
			"program", r.Program, "call", r.Call, "status", status, "whole", complete, "duration", time.Since(start))
	}
}

// setIdempotencyHeader returns the idempotency key of the call to the caller.
func setIdempotencyHeader(ctx *fasthttp.RequestCtx) {
	if key, ok := ctx.UserValue(headerIdempotency).(string); ok {
		ctx.Response.Header.Set(headerIdempotency, key)
	}
}

func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, r *relay.Request, a *relay.Answer, done func(complete bool)) {
	ctx.SetStatusCode(a.Status)
	for _, h := range a.Headers {
		ctx.Response.Header.Set(h.Name, h.Value)
	}
	ctx.Response.Header.Set("X-Request-Id", string(r.ID))
	setIdempotencyHeader(ctx)
	ctx.SetBodyStream(&answerBody{body: a.Body, done: done}, a.Length)
}

// answerBody ends a call when fasthttp closes the body of its answer.
type answerBody struct {
	body     io.ReadCloser
	done     func(complete bool)
	complete bool
	closed   bool
}

// Read implements io.Reader.
func (a *answerBody) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	a.complete = a.complete || target.AtEnd(err)
	return n, err
}

// Close implements io.Closer.
func (a *answerBody) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	err := a.body.Close()
	a.done(a.complete)
	return err
}

// containsKey reports whether any of the parts contains the key.
func containsKey(key []byte, parts ...[]byte) bool {
	for _, p := range parts {
		if bytes.Contains(p, key) {
			return true
		}
	}
	return false
}
