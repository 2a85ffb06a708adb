package engine

import (
	"errors"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"mimosarelay/standin/fault"
)

// Headers of requests.
const (
	headerRequestID = "X-Request-Id"
	headerProgram   = "X-Program"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path, err := url.PathUnescape(string(ctx.URI().PathOriginal()))
	if err != nil {
		problem(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if id, ok := strings.CutPrefix(path, "/v1/streams/"); ok {
		s.handleStream(ctx, id)
		return
	}
	switch string(ctx.Method()) + " " + path {
	case "POST /v1/chat/completions":
		s.complete(ctx)
	case "GET /v1/models":
		s.listModels(ctx)
	case "GET /v1/load":
		fault.JSON(ctx, s.Load())
	case "GET /v1/cache/events":
		s.cacheEvents(ctx)
	case "POST /v1/cache/export":
		s.exportCache(ctx)
	case "POST /v1/cache/import":
		s.importCache(ctx)
	case "POST /v1/cache/release":
		s.releaseCache(ctx)
	case "POST /v1/orders":
		s.postOrder(ctx)
	case "GET /v1/orders/state":
		fault.JSON(ctx, s.OrderState())
	case "GET /standin/stats":
		fault.JSON(ctx, s.Stats())
	default:
		problem(ctx, fasthttp.StatusNotFound, "invalid_request_error", string(ctx.Method())+" "+path+" is not served")
	}
}

// problem answers with an error in the form of the OpenAI API.
func problem(ctx *fasthttp.RequestCtx, status int, kind, message string) {
	type apiError struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	}
	fault.JSON(ctx, map[string]apiError{"error": {Message: message, Type: kind}})
	ctx.SetStatusCode(status)
}

// complete serves POST /v1/chat/completions.
func (s *Server) complete(ctx *fasthttp.RequestCtx) {
	r, err := decodeRequest(ctx.PostBody())
	if err != nil {
		problem(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if !s.serves(r.Model) {
		problem(ctx, fasthttp.StatusNotFound, "invalid_request_error", "model "+strconv.Quote(r.Model)+" is not loaded")
		return
	}
	id := string(ctx.Request.Header.Peek(headerRequestID))
	st, err := s.start(id, string(ctx.Request.Header.Peek(headerProgram)), r)
	switch {
	case errors.Is(err, errStreamExists):
		problem(ctx, fasthttp.StatusConflict, "invalid_request_error", err.Error())
		return
	case err != nil:
		problem(ctx, fasthttp.StatusServiceUnavailable, "server_error", err.Error())
		return
	}
	ctx.Response.Header.Set(headerRequestID, st.id)
	if r.Stream {
		s.sendStream(ctx, st, 0)
		return
	}
	defer s.detach(st)
	if _, err := st.await(len(st.answer)+3, s.Stopped()); err != nil {
		problem(ctx, fasthttp.StatusServiceUnavailable, "server_error", "the request was cancelled")
		return
	}
	fault.JSON(ctx, st.completion())
}

// sendStream answers with the chunks from a given one on. The stream is
// detached when the answer ends.
func (s *Server) sendStream(ctx *fasthttp.RequestCtx, st *stream, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&reader{server: s, stream: st, next: from, cut: s.TakeChunkCut()}, -1)
}

// handleStream serves GET and DELETE of /v1/streams/{id}.
func (s *Server) handleStream(ctx *fasthttp.RequestCtx, id string) {
	if !ctx.IsGet() && !ctx.IsDelete() {
		problem(ctx, fasthttp.StatusMethodNotAllowed, "invalid_request_error", "use GET or DELETE")
		return
	}
	from, err := intArg(ctx, "from")
	if err != nil {
		problem(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	st := s.find(id)
	if st == nil || (ctx.IsGet() && s.options.NoResume) {
		if st != nil {
			s.detach(st)
		}
		problem(ctx, fasthttp.StatusNotFound, "invalid_request_error", "no stream "+strconv.Quote(id))
		return
	}
	if ctx.IsDelete() {
		defer s.detach(st)
		st.stop()
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	if last := len(st.answer) + 3; from > last {
		s.detach(st)
		problem(ctx, fasthttp.StatusBadRequest, "invalid_request_error", "from is larger than the number of chunks")
		return
	}
	s.mu.Lock()
	s.counts.Resumed++
	s.mu.Unlock()
	ctx.Response.Header.Set(headerRequestID, st.id)
	s.sendStream(ctx, st, from)
}

// intArg returns a query argument, or 0 if it is absent.
func intArg(ctx *fasthttp.RequestCtx, name string) (int, error) {
	a := string(ctx.QueryArgs().Peek(name))
	if a == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(a)
	if err != nil || n < 0 {
		return 0, errors.New("argument " + name + " must be a number of 0 or more")
	}
	return n, nil
}

// serves reports whether a model or adapter of that name is loaded.
func (s *Server) serves(model string) bool {
	return slices.Contains(s.names(), model)
}

// names lists the loaded models and adapters.
func (s *Server) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.Collect(maps.Keys(s.orders.models))
	names = slices.AppendSeq(names, maps.Keys(s.orders.adapters))
	slices.Sort(names)
	return names
}

// listModels serves GET /v1/models.
func (s *Server) listModels(ctx *fasthttp.RequestCtx) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	all := []model{}
	for _, m := range s.names() {
		all = append(all, model{ID: m, Object: "model", OwnedBy: "standin"})
	}
	fault.JSON(ctx, map[string]any{"object": "list", "data": all})
}
