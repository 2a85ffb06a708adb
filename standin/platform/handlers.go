package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/standin/fault"
)

// getKey serves GET /v1/kv/{key} with the query parameters recurse, keys,
// separator, raw, index and wait.
func (s *Server) getKey(ctx *fasthttp.RequestCtx, key string) {
	args := ctx.QueryArgs()
	recurse := args.Has("recurse") || args.Has("keys")
	if key == "" && !recurse {
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "missing key name")
		return
	}
	s.countRead(ctx, func(c *Stats) *int64 { return &c.Reads })
	var found []Entry
	w, end := s.tables.watch(key, recurse)
	ok := s.awaitIndex(ctx, w, end, func() uint64 {
		var index uint64
		found, index = s.tables.get(key, recurse)
		return index
	})
	if !ok {
		return
	}
	switch {
	case len(found) == 0:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case args.Has("keys"):
		fault.WriteJSON(ctx, keyNames(found, key, string(args.Peek("separator"))))
	case args.Has("raw"):
		ctx.SetContentType("application/octet-stream")
		ctx.SetBody(found[0].Value)
	default:
		fault.WriteJSON(ctx, found)
	}
	s.tables.count(func(c *Stats) { c.BytesRead += int64(len(ctx.Response.Body())) })
}

// countRead counts a GET as a watch if it has an index other than 0, else in the
// counter that kind selects.
func (s *Server) countRead(ctx *fasthttp.RequestCtx, kind func(*Stats) *int64) {
	index := string(ctx.QueryArgs().Peek("index"))
	s.tables.count(func(c *Stats) {
		if index != "" && index != "0" {
			c.Watches++
			return
		}
		*kind(c)++
	})
}

// keyNames lists the keys, each truncated after the first separator that follows
// the prefix, without duplicates.
func keyNames(found []Entry, prefix, separator string) []string {
	var names []string
	for _, e := range found {
		name := e.Key
		if separator != "" {
			if i := strings.Index(name[len(prefix):], separator); i >= 0 {
				name = name[:len(prefix)+i+len(separator)]
			}
		}
		names = append(names, name)
	}
	return slices.Compact(names)
}

// putKey serves PUT /v1/kv/{key} with the query parameters cas, acquire, release
// and flags.
func (s *Server) putKey(ctx *fasthttp.RequestCtx, key string) {
	args := ctx.QueryArgs()
	r := putRequest{
		key:     key,
		value:   slices.Clone(ctx.PostBody()),
		acquire: string(args.Peek("acquire")),
		release: string(args.Peek("release")),
	}
	cas, casErr := uintArg(ctx, "cas")
	flags, flagsErr := uintArg(ctx, "flags")
	switch {
	case key == "":
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "missing key name")
		return
	case casErr != nil || flagsErr != nil:
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "cas and flags must be unsigned integers")
		return
	case moreThanOne(args.Has("cas"), args.Has("acquire"), args.Has("release")):
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "conflicting flags: cas, acquire and release exclude each other")
		return
	case len(r.value) > maxValueBytes:
		fault.WriteError(ctx, fasthttp.StatusRequestEntityTooLarge,
			"request body (%d bytes) too large, max size: %d bytes", len(r.value), maxValueBytes)
		return
	}
	r.cas = cas
	if flags != nil {
		r.flags = *flags
	}
	s.tables.count(func(c *Stats) {
		c.Writes++
		c.BytesWritten += int64(len(r.value))
	})
	done, err := s.tables.put(r)
	if err != nil {
		fault.WriteError(ctx, fasthttp.StatusInternalServerError, "%v", err)
		return
	}
	fault.WriteJSON(ctx, done)
}

// moreThanOne reports whether more than one of the flags is set.
func moreThanOne(flags ...bool) bool {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n > 1
}

// deleteKey serves DELETE /v1/kv/{key} with the query parameters cas and
// recurse.
func (s *Server) deleteKey(ctx *fasthttp.RequestCtx, key string) {
	recurse := ctx.QueryArgs().Has("recurse")
	cas, err := uintArg(ctx, "cas")
	switch {
	case err != nil:
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	case key == "" && !recurse:
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "missing key name")
		return
	case recurse && cas != nil:
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "conflicting flags: cas and recurse exclude each other")
		return
	}
	s.tables.count(func(c *Stats) { c.Writes++ })
	fault.WriteJSON(ctx, s.tables.remove(key, recurse, cas))
}

// sessionRequest is the body of PUT /v1/session/create.
type sessionRequest struct {
	Name      string
	TTL       string
	Behavior  string
	LockDelay string
}

// createSession serves PUT /v1/session/create.
func (s *Server) createSession(ctx *fasthttp.RequestCtx, _ string) {
	var r sessionRequest
	if body := ctx.PostBody(); len(body) > 0 {
		if err := json.Unmarshal(body, &r); err != nil {
			fault.WriteError(ctx, fasthttp.StatusBadRequest, "request decode failed: %v", err)
			return
		}
	}
	session, ttl, err := s.newSession(r)
	if err != nil {
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	s.tables.count(func(c *Stats) { c.Writes++ })
	fault.WriteJSON(ctx, map[string]string{"ID": s.tables.createSession(session, ttl)})
}

// newSession applies the defaults to a session request and validates it. It
// returns TTL 0 for a session that does not expire.
func (s *Server) newSession(r sessionRequest) (Session, time.Duration, error) {
	session := Session{Name: r.Name, Node: nodeName, Behavior: r.Behavior, TTL: r.TTL, LockDelay: defaultLockDelay}
	if session.Behavior == "" {
		session.Behavior = behaviorRelease
	}
	if session.Behavior != behaviorRelease && session.Behavior != behaviorDelete {
		return Session{}, 0, fmt.Errorf("invalid behavior %q: want %s or %s", r.Behavior, behaviorRelease, behaviorDelete)
	}
	if r.LockDelay != "" {
		d, err := time.ParseDuration(r.LockDelay)
		if err != nil || d < 0 {
			return Session{}, 0, fmt.Errorf("invalid LockDelay %q", r.LockDelay)
		}
		session.LockDelay = d
	}
	if r.TTL == "" {
		return session, 0, nil
	}
	ttl, err := time.ParseDuration(r.TTL)
	if err != nil || ttl < s.options.MinTTL || ttl > maxTTL {
		return Session{}, 0, fmt.Errorf("invalid session TTL %q, must be between %v and %v", r.TTL, s.options.MinTTL, maxTTL)
	}
	return session, ttl, nil
}

// renewSession serves PUT /v1/session/renew/{id}.
func (s *Server) renewSession(ctx *fasthttp.RequestCtx, id string) {
	s.tables.count(func(c *Stats) { c.Renewals++ })
	session, ok := s.tables.renewSession(id)
	if !ok {
		fault.WriteError(ctx, fasthttp.StatusNotFound, "session id %q not found", id)
		return
	}
	fault.WriteJSON(ctx, []Session{session})
}

// destroySession serves PUT /v1/session/destroy/{id}.
func (s *Server) destroySession(ctx *fasthttp.RequestCtx, id string) {
	s.tables.count(func(c *Stats) { c.Writes++ })
	s.tables.destroySession(id)
	fault.WriteJSON(ctx, true)
}

// sessionInfo serves GET /v1/session/info/{id}.
func (s *Server) sessionInfo(ctx *fasthttp.RequestCtx, id string) {
	s.tables.count(func(c *Stats) { c.Reads++ })
	found := []Session{}
	if session, ok := s.tables.session(id); ok {
		found = append(found, session)
	}
	fault.WriteJSON(ctx, found)
}

// register serves PUT /v1/agent/service/register.
func (s *Server) register(ctx *fasthttp.RequestCtx, _ string) {
	var r Registration
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "request decode failed: %v", err)
		return
	}
	if r.Name == "" {
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "missing service name")
		return
	}
	if r.ID == "" {
		r.ID = r.Name
	}
	s.tables.count(func(c *Stats) { c.Registrations++ })
	s.tables.register(r, s.options.HostLag)
}

// deregister serves PUT /v1/agent/service/deregister/{id}.
func (s *Server) deregister(ctx *fasthttp.RequestCtx, id string) {
	if id == "" {
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "missing service id")
		return
	}
	s.tables.count(func(c *Stats) { c.Registrations++ })
	s.tables.deregister(id, s.options.HostLag)
}

// catalogService serves GET /v1/catalog/service/{name} with the query parameters
// index and wait.
func (s *Server) catalogService(ctx *fasthttp.RequestCtx, name string) {
	s.countRead(ctx, func(c *Stats) *int64 { return &c.CatalogReads })
	var found []CatalogService
	w, end := s.tables.watch(watchKey(name), false)
	ok := s.awaitIndex(ctx, w, end, func() uint64 {
		var index uint64
		found, index = s.tables.services(name)
		return index
	})
	if ok {
		fault.WriteJSON(ctx, found)
	}
}
