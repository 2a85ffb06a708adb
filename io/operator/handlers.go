package operator

import (
	"context"
	"strconv"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

func (s *Server) routeTable() []route {
	const get, put, post, del = fasthttp.MethodGet, fasthttp.MethodPut, fasthttp.MethodPost, fasthttp.MethodDelete
	return []route{
		{get, "/healthz", true, s.health},
		{get, "/readyz", true, s.readiness},
		{get, "/metrics", false, s.metrics},
		{get, "/operator/v1/config", false, s.getConfig},
		{put, "/operator/v1/config", false, s.putConfig},
		{get, "/operator/v1/config/history", false, s.history},
		{get, "/operator/v1/config/history/{revision}", false, s.historyDocument},
		{post, "/operator/v1/config/validate", false, s.validate},
		{post, "/operator/v1/keys", false, s.grant},
		{del, "/operator/v1/keys/{id}", false, s.withdraw},
		{get, "/operator/v1/status", false, s.status},
		{get, "/operator/v1/dump", false, s.dump},
		{post, "/operator/v1/drain", false, s.drain},
		{post, "/operator/v1/gone/{host}", false, s.declareGone},
		{del, "/operator/v1/suspects/{fingerprint}", false, s.liftSuspect},
	}
}

func (s *Server) health(r *request) error {
	return r.writeJSON(fasthttp.StatusOK, struct{ Healthy bool }{true})
}

func (s *Server) readiness(r *request) error {
	if err := s.options.Backend.Ready(); err != nil {
		return problemf(fasthttp.StatusServiceUnavailable, "not ready: %v", err)
	}
	return r.writeJSON(fasthttp.StatusOK, struct{ Ready bool }{true})
}

func (s *Server) metrics(r *request) error {
	if s.options.Metrics == nil {
		return problemf(fasthttp.StatusNotFound, "this host serves no metrics")
	}
	s.options.Metrics(r.RequestCtx)
	return nil
}

func (s *Server) getConfig(r *request) error {
	revision, document := s.options.Backend.CurrentDocument()
	if revision == 0 {
		return problemf(fasthttp.StatusNotFound, "there is no configuration yet")
	}
	return r.writeYAML(revision, document)
}

func (s *Server) putConfig(r *request) error {
	base, err := parseRevision("base", string(r.QueryArgs().Peek("base")))
	if err != nil {
		return err
	}
	wait, err := r.boolQuery("wait")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	revision, err := s.options.Backend.Apply(ctx, cloneBody(r.body), base)
	if err != nil {
		return changeProblem(err)
	}
	return r.writeJSON(fasthttp.StatusOK, s.effect(r, revision, wait))
}

// effect describes an accepted change. With wait it first waits until the change
// is in effect on all hosts.
func (s *Server) effect(r *request, revision model.Revision, wait bool) Effect {
	e := Effect{Revision: revision, Waited: wait}
	if !wait {
		return e
	}
	ctx, cancel := context.WithTimeout(r.ctx, s.options.Wait)
	defer cancel()
	e.Missing = s.options.Backend.AwaitEffect(ctx, revision)
	e.InEffect = len(e.Missing) == 0
	return e
}

func (s *Server) history(r *request) error {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	list, err := s.options.Backend.History(ctx)
	if err != nil {
		return err
	}
	return r.writeJSON(fasthttp.StatusOK, HistoryResponse{Revisions: list})
}

func (s *Server) historyDocument(r *request) error {
	revision, err := parseRevision("revision", r.pathParams["revision"])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	document, err := s.options.Backend.HistoryDocument(ctx, revision)
	if err != nil {
		return err
	}
	return r.writeYAML(revision, document)
}

func (s *Server) validate(r *request) error {
	next, err := config.Parse(r.body, "document")
	if err != nil {
		return err
	}
	revision, document := s.options.Backend.CurrentDocument()
	current := &config.Document{}
	if revision > 0 {
		if current, err = config.Parse(document, "current"); err != nil {
			return err
		}
	}
	return r.writeJSON(fasthttp.StatusOK, Validation{Revision: revision, Changes: config.Diff(current, next)})
}

func (s *Server) grant(r *request) error {
	var g GrantRequest
	if err := r.decode(&g); err != nil {
		return err
	}
	wait, err := r.boolQuery("wait")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	secret, revision, err := s.options.Backend.Grant(ctx, g.Workspace, g.ID)
	if err != nil {
		return changeProblem(err)
	}
	r.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	return r.writeJSON(fasthttp.StatusCreated, GrantResponse{Secret: secret, Effect: s.effect(r, revision, wait)})
}

func (s *Server) withdraw(r *request) error {
	wait, err := r.boolQuery("wait")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	revision, err := s.options.Backend.Withdraw(ctx, model.KeyID(r.pathParams["id"]))
	if err != nil {
		return changeProblem(err)
	}
	return r.writeJSON(fasthttp.StatusOK, s.effect(r, revision, wait))
}

func (s *Server) status(r *request) error { return s.writeResult(r, s.options.Backend.Status) }

func (s *Server) dump(r *request) error { return s.writeResult(r, s.options.Backend.Dump) }

// writeResult calls read and writes its result as JSON.
func (s *Server) writeResult(r *request, read func(context.Context) (any, error)) error {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	v, err := read(ctx)
	if err != nil {
		return err
	}
	return r.writeJSON(fasthttp.StatusOK, v)
}

func (s *Server) drain(r *request) error {
	return s.runAction(r, fasthttp.StatusAccepted, s.options.Backend.Drain)
}

func (s *Server) declareGone(r *request) error {
	return s.runAction(r, fasthttp.StatusOK, func(ctx context.Context) error {
		return s.options.Backend.DeclareGone(ctx, model.HostID(r.pathParams["host"]))
	})
}

func (s *Server) liftSuspect(r *request) error {
	return s.runAction(r, fasthttp.StatusOK, func(ctx context.Context) error {
		return s.options.Backend.LiftSuspect(ctx, model.Fingerprint(r.pathParams["fingerprint"]))
	})
}

// runAction runs an operation that has no result.
func (s *Server) runAction(r *request, status int, action func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	if err := action(ctx); err != nil {
		return err
	}
	return r.writeJSON(status, struct{ Done bool }{true})
}

// writeYAML writes a configuration and its revision.
func (r *request) writeYAML(revision model.Revision, document []byte) error {
	r.Response.Header.Set(RevisionHeader, strconv.FormatUint(uint64(revision), 10))
	r.SetContentType("application/yaml")
	r.SetBody(document)
	return nil
}

// boolQuery reads an optional boolean query parameter; the default is false.
func (r *request) boolQuery(name string) (bool, error) {
	text := string(r.QueryArgs().Peek(name))
	if text == "" {
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, problemf(fasthttp.StatusBadRequest, "%s: %q is not allowed; it must be true or false", name, text)
	}
	return v, nil
}

// parseRevision parses the revision in the parameter with the given name.
func parseRevision(name, text string) (model.Revision, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, problemf(fasthttp.StatusBadRequest, "%s: %q is not allowed; it must be a revision such as 12, or 0 for none", name, text)
	}
	return model.Revision(n), nil
}

// cloneBody copies a body that is used after the request, whose buffers fasthttp
// reuses.
func cloneBody(body []byte) []byte { return append([]byte(nil), body...) }
