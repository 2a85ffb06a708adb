// Package platform is a stand-in for the platform's key-value store and service
// catalog. It serves the part of the Consul HTTP API that the project uses: keys
// with compare-and-swap, sessions, blocking queries and the catalog. All data is
// kept in memory.
//
// It differs from Consul as follows:
//   - The shortest session TTL is MinTTL instead of 10 s, and a session expires
//     exactly at its TTL; in Consul it may take up to twice the TTL.
//   - Values may have up to 1 MiB instead of 512 KiB.
//   - There is a single agent, no other datacenter, no ACL and no health check: a
//     service stays registered until it is deregistered.
//   - Tombstones are never reaped, so the index of a prefix never decreases.
package platform

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"mimosarelay/standin/fault"
)

// maxValueBytes is the largest size of a value.
const maxValueBytes = 1 << 20

// Limits and defaults of the Consul API.
const (
	defaultWait      = 5 * time.Minute
	maxWait          = 10 * time.Minute
	defaultLockDelay = 15 * time.Second
	maxTTL           = 24 * time.Hour
)

// Options configures Start.
type Options struct {
	// Listen is the IP:port to listen on. Port 0 picks a free port.
	Listen string
	// Control is an IP:port that serves only the /standin/ paths and that no
	// fault affects. Empty means none.
	Control string
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// MinTTL is the shortest session TTL that is accepted; 0 means 1 s.
	MinTTL time.Duration
	// HostLag is the delay until a registration or deregistration is visible in
	// the catalog.
	HostLag time.Duration
	// LapseWhileDown lets sessions expire while the fault Down is set. By
	// default they get their full TTL again when it is lifted, as after a
	// leader change in Consul.
	LapseWhileDown bool
}

// Server is a running stand-in.
type Server struct {
	*fault.Server
	options Options
	tables  *tables
}

// Start starts a server that runs until Close.
func Start(o Options) (*Server, error) {
	if o.MinTTL < 0 || o.HostLag < 0 {
		return nil, fmt.Errorf("platform: MinTTL %v and HostLag %v must not be negative", o.MinTTL, o.HostLag)
	}
	if o.MinTTL == 0 {
		o.MinTTL = time.Second
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{options: o, tables: newTables(o.Clock)}
	var err error
	s.Server, err = fault.Start(fault.Options{
		Listen:  o.Listen,
		Control: o.Control,
		Clock:   o.Clock,
		Handler: s.handle,
		IsWrite: isWrite,
		OnFaultChange: func(f fault.Fault) {
			if !o.LapseWhileDown {
				s.tables.setExpiryPaused(f.Down)
			}
		},
	})
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	return s, nil
}

// Close stops the server and the expiry of sessions.
func (s *Server) Close() error {
	err := s.Server.Close()
	s.tables.setExpiryPaused(true)
	return err
}

// Stats returns the counters since Start.
func (s *Server) Stats() Stats { return s.tables.stats() }

// isWrite reports whether the fault LoseAnswers applies to a request: only to
// writes of keys, not to session and catalog requests.
func isWrite(ctx *fasthttp.RequestCtx) bool {
	return !ctx.IsGet() && strings.HasPrefix(string(ctx.Path()), "/v1/kv/")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path, err := url.PathUnescape(string(ctx.URI().PathOriginal()))
	if err != nil {
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "invalid request path: %v", err)
		return
	}
	method := string(ctx.Method())
	for _, r := range s.routes() {
		rest, ok := strings.CutPrefix(path, r.prefix)
		if !ok || method != r.method || (rest != "" && !r.hasArgument) {
			continue
		}
		r.handler(ctx, rest)
		return
	}
	fault.WriteError(ctx, fasthttp.StatusNotFound, "%s %s is not served", method, path)
}

// route is a path of the API and its handler.
type route struct {
	method, prefix string
	hasArgument    bool // the rest of the path is passed to handler
	handler        func(ctx *fasthttp.RequestCtx, argument string)
}

func (s *Server) routes() []route {
	return []route{
		{"GET", "/v1/kv/", true, s.getKey},
		{"PUT", "/v1/kv/", true, s.putKey},
		{"DELETE", "/v1/kv/", true, s.deleteKey},
		{"PUT", "/v1/session/create", false, s.createSession},
		{"PUT", "/v1/session/renew/", true, s.renewSession},
		{"PUT", "/v1/session/destroy/", true, s.destroySession},
		{"GET", "/v1/session/info/", true, s.sessionInfo},
		{"PUT", "/v1/agent/service/register", false, s.register},
		{"PUT", "/v1/agent/service/deregister/", true, s.deregister},
		{"GET", "/v1/catalog/service/", true, s.catalogService},
		{"GET", "/standin/stats", false, s.serveStats},
	}
}

func (s *Server) serveStats(ctx *fasthttp.RequestCtx, _ string) { fault.WriteJSON(ctx, s.Stats()) }

// awaitIndex calls read, and again after each notification of w, until read
// returns an index above the one in the request, the wait time ends or the server
// closes. Then it sets the index headers of the response. Without an index in the
// request it calls read once. It calls end before it returns. If the query
// parameters are invalid it responds with an error and returns false.
func (s *Server) awaitIndex(ctx *fasthttp.RequestCtx, w *waiter, end func(), read func() uint64) bool {
	defer end()
	minIndex, wait, err := blockingArgs(ctx)
	if err != nil {
		fault.WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return false
	}
	index := read()
	if minIndex > 0 {
		timer := s.Clock().NewTimer(wait)
		defer timer.Stop()
		for index <= minIndex {
			select {
			case <-w.changed:
				index = read()
				continue
			case <-timer.Chan():
			case <-s.Stopped():
			}
			break
		}
	}
	ctx.Response.Header.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	ctx.Response.Header.Set("X-Consul-Knownleader", "true")
	ctx.Response.Header.Set("X-Consul-Lastcontact", "0")
	return true
}

// blockingArgs returns the index and the wait time of a query. Index 0 means that
// the query does not block.
func blockingArgs(ctx *fasthttp.RequestCtx) (uint64, time.Duration, error) {
	index, err := uintArg(ctx, "index")
	if err != nil {
		return 0, 0, err
	}
	wait := defaultWait
	if a := ctx.QueryArgs().Peek("wait"); len(a) > 0 {
		wait, err = time.ParseDuration(string(a))
		if err != nil || wait < 0 {
			return 0, 0, fmt.Errorf("invalid wait time %q", a)
		}
	}
	if index == nil {
		return 0, wait, nil
	}
	return *index, min(wait, maxWait), nil
}

// uintArg returns a query parameter, or nil if it is absent.
func uintArg(ctx *fasthttp.RequestCtx, name string) (*uint64, error) {
	a := ctx.QueryArgs().Peek(name)
	if len(a) == 0 {
		return nil, nil
	}
	v, err := strconv.ParseUint(string(a), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("invalid %s %q", name, a)
	}
	return &v, nil
}
