package operator

import (
	"context"
	"strconv"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

func (s *Server) table() []route {
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
		{post, "/operator/v1/gone/{host}", false, s.gone},
		{del, "/operator/v1/suspects/{fingerprint}", false, s.liftSuspect},
	}
}

func (s *Server) health(r *request) error {
	return r.json(fasthttp.StatusOK, struct{ Healthy bool }{true})
}

func (s *Server) readiness(r *request) error {
	if err := s.o.Backend.Ready(); err != nil {
		return problem(fasthttp.StatusServiceUnavailable, "not ready: %v", err)
	}
	return r.json(fasthttp.StatusOK, struct{ Ready bool }{true})
}

func (s *Server) metrics(r *request) error {
	if s.o.Metrics == nil {
		return problem(fasthttp.StatusNotFound, "no metrics are configured")
	}
	s.o.Metrics(r.RequestCtx)
	return nil
}

func (s *Server) getConfig(r *request) error {
	revision, document := s.o.Backend.CurrentDocument()
	if revision == 0 {
		return problem(fasthttp.StatusNotFound, "there is no configuration yet")
	}
	return r.yaml(revision, document)
}

func (s *Server) putConfig(r *request) error {
	base, err := parseRevision("base", string(r.QueryArgs().Peek("base")))
	if err != nil {
		return err
	}
	wait, err := r.flag("wait")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	revision, err := s.o.Backend.Apply(ctx, copied(r.PostBody()), base)
	if err != nil {
		return notAccepted(err)
	}
	return r.json(fasthttp.StatusOK, s.effect(r, revision, wait))
}

// effect waits for the effect of an accepted change if that was asked for.
func (s *Server) effect(r *request, revision model.Revision, wait bool) Effect {
	e := Effect{Revision: revision, Waited: wait}
	if !wait {
		return e
	}
	ctx, cancel := context.WithTimeout(r.ctx, s.o.Wait)
	defer cancel()
	e.Missing = s.o.Backend.AwaitEffect(ctx, revision)
	e.InEffect = len(e.Missing) == 0
	return e
}

func (s *Server) history(r *request) error {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	list, err := s.o.Backend.History(ctx)
	if err != nil {
		return err
	}
	return r.json(fasthttp.StatusOK, HistoryResponse{Revisions: list})
}

func (s *Server) historyDocument(r *request) error {
	revision, err := parseRevision("revision", r.vars["revision"])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	document, err := s.o.Backend.HistoryDocument(ctx, revision)
	if err != nil {
		return err
	}
	return r.yaml(revision, document)
}

func (s *Server) validate(r *request) error {
	next, err := config.Parse(r.PostBody(), "document")
	if err != nil {
		return err
	}
	revision, document := s.o.Backend.CurrentDocument()
	current := &config.Document{}
	if revision > 0 {
		if current, err = config.Parse(document, "current"); err != nil {
			return err
		}
	}
	return r.json(fasthttp.StatusOK, Validation{Revision: revision, Changes: config.Diff(current, next)})
}

func (s *Server) grant(r *request) error {
	var g GrantRequest
	if err := r.decode(&g); err != nil {
		return err
	}
	wait, err := r.flag("wait")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	secret, revision, err := s.o.Backend.Grant(ctx, g.Workspace, g.ID)
	if err != nil {
		return notAccepted(err)
	}
	r.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	return r.json(fasthttp.StatusCreated, GrantResponse{Secret: secret, Effect: s.effect(r, revision, wait)})
}

func (s *Server) withdraw(r *request) error {
	wait, err := r.flag("wait")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	revision, err := s.o.Backend.Withdraw(ctx, model.KeyID(r.vars["id"]))
	if err != nil {
		return notAccepted(err)
	}
	return r.json(fasthttp.StatusOK, s.effect(r, revision, wait))
}

func (s *Server) status(r *request) error { return s.show(r, s.o.Backend.Status) }

func (s *Server) dump(r *request) error { return s.show(r, s.o.Backend.Dump) }

func (s *Server) show(r *request, read func(context.Context) (any, error)) error {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	v, err := read(ctx)
	if err != nil {
		return err
	}
	return r.json(fasthttp.StatusOK, v)
}

func (s *Server) drain(r *request) error {
	return s.act(r, fasthttp.StatusAccepted, s.o.Backend.Drain)
}

func (s *Server) gone(r *request) error {
	return s.act(r, fasthttp.StatusOK, func(ctx context.Context) error {
		return s.o.Backend.DeclareGone(ctx, model.HostID(r.vars["host"]))
	})
}

func (s *Server) liftSuspect(r *request) error {
	return s.act(r, fasthttp.StatusOK, func(ctx context.Context) error {
		return s.o.Backend.LiftSuspect(ctx, model.Fingerprint(r.vars["fingerprint"]))
	})
}

// act runs an operation without a result.
func (s *Server) act(r *request, status int, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	if err := do(ctx); err != nil {
		return err
	}
	return r.json(status, struct{ Done bool }{true})
}

func (r *request) yaml(revision model.Revision, document []byte) error {
	r.Response.Header.Set(RevisionHeader, strconv.FormatUint(uint64(revision), 10))
	r.SetContentType("application/yaml")
	r.SetBody(document)
	return nil
}

// flag reads an optional boolean query parameter.
func (r *request) flag(name string) (bool, error) {
	text := string(r.QueryArgs().Peek(name))
	if text == "" {
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, problem(fasthttp.StatusBadRequest, "%s: %q is not allowed; it must be true or false", name, text)
	}
	return v, nil
}

func parseRevision(name, text string) (model.Revision, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, problem(fasthttp.StatusBadRequest, "%s: %q is not allowed; it must be a revision such as 12, or 0 for none", name, text)
	}
	return model.Revision(n), nil
}

// copied keeps a body beyond the request, whose buffers are reused.
func copied(body []byte) []byte { return append([]byte(nil), body...) }
