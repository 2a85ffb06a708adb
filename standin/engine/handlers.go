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

// Request headers.
const (
	headerRequestID = "X-Request-Id"
	headerProgram   = "X-Program"
)

// handle routes a request to its handler.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path, err := url.PathUnescape(string(ctx.URI().PathOriginal()))
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if id, ok := strings.CutPrefix(path, "/v1/streams/"); ok {
		s.serveStream(ctx, id)
		return
	}
	switch string(ctx.Method()) + " " + path {
	case "POST /v1/chat/completions":
		s.serveCompletion(ctx)
	case "GET /v1/models":
		s.listModels(ctx)
	case "GET /v1/load":
		fault.WriteJSON(ctx, s.Load())
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
		fault.WriteJSON(ctx, s.OrderState())
	case "GET /standin/stats":
		fault.WriteJSON(ctx, s.Stats())
	default:
		writeError(ctx, fasthttp.StatusNotFound, "invalid_request_error", string(ctx.Method())+" "+path+" is not served")
	}
}

// writeError responds with an error as in the OpenAI API.
func writeError(ctx *fasthttp.RequestCtx, status int, kind, message string) {
	type apiError struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	}
	fault.WriteJSON(ctx, map[string]apiError{"error": {Message: message, Type: kind}})
	ctx.SetStatusCode(status)
}

// serveCompletion serves POST /v1/chat/completions.
func (s *Server) serveCompletion(ctx *fasthttp.RequestCtx) {
	r, err := decodeRequest(ctx.PostBody())
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if !s.isLoaded(r.Model) {
		writeError(ctx, fasthttp.StatusNotFound, "invalid_request_error", "model "+strconv.Quote(r.Model)+" is not loaded")
		return
	}
	id := string(ctx.Request.Header.Peek(headerRequestID))
	st, err := s.startStream(id, string(ctx.Request.Header.Peek(headerProgram)), r)
	switch {
	case errors.Is(err, errStreamExists):
		writeError(ctx, fasthttp.StatusConflict, "invalid_request_error", err.Error())
		return
	case err != nil:
		writeError(ctx, fasthttp.StatusServiceUnavailable, "server_error", err.Error())
		return
	}
	ctx.Response.Header.Set(headerRequestID, st.id)
	if r.Stream {
		s.sendStream(ctx, st, 0)
		return
	}
	defer s.detach(st)
	if _, err := st.awaitChunk(len(st.answer)+3, s.Stopped()); err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "server_error", "request "+strconv.Quote(st.id)+" was cancelled")
		return
	}
	fault.WriteJSON(ctx, st.completion())
}

// sendStream responds with the chunks starting at number from. The reader is
// detached when the response ends.
func (s *Server) sendStream(ctx *fasthttp.RequestCtx, st *stream, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&streamReader{server: s, stream: st, next: from, cutAfter: s.TakeChunkCut()}, -1)
}

// serveStream serves GET and DELETE of /v1/streams/{id}.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, id string) {
	if !ctx.IsGet() && !ctx.IsDelete() {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "invalid_request_error",
			"method "+string(ctx.Method())+" is not supported for streams, use GET or DELETE")
		return
	}
	from, err := intArg(ctx, "from")
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	st := s.attach(id)
	if st == nil || (ctx.IsGet() && s.options.NoResume) {
		if st != nil {
			s.detach(st)
		}
		writeError(ctx, fasthttp.StatusNotFound, "invalid_request_error", "no stream "+strconv.Quote(id))
		return
	}
	if ctx.IsDelete() {
		defer s.detach(st)
		st.cancel()
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	if last := len(st.answer) + 3; from > last {
		s.detach(st)
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error",
			"argument from is larger than the number of chunks of stream "+strconv.Quote(id))
		return
	}
	s.mu.Lock()
	s.stats.Resumed++
	s.mu.Unlock()
	ctx.Response.Header.Set(headerRequestID, st.id)
	s.sendStream(ctx, st, from)
}

// intArg returns a query parameter, or 0 if it is absent.
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

// isLoaded reports whether a model or adapter of that name is loaded.
func (s *Server) isLoaded(model string) bool {
	return slices.Contains(s.modelNames(), model)
}

// modelNames lists the loaded models and adapters in order of their names.
func (s *Server) modelNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.Collect(maps.Keys(s.control.models))
	names = slices.AppendSeq(names, maps.Keys(s.control.adapters))
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
	for _, m := range s.modelNames() {
		all = append(all, model{ID: m, Object: "model", OwnedBy: "standin"})
	}
	fault.WriteJSON(ctx, map[string]any{"object": "list", "data": all})
}
