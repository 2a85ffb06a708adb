// Package platform is a stand-in of the platform's store and host list. It
// serves the part of the Consul HTTP API that the project uses: keys with
// compare-and-swap, sessions and blocking queries, and the catalog. All data
// is kept in memory.
//
// It differs from Consul in these points: session TTLs start at MinTTL instead
// of 10 s, and a session lapses exactly at its TTL instead of at up to twice
// that; values may have up to 1 MiB instead of 512 KiB; there is one agent,
// no datacenter, no ACL, and a service stays registered until it is
// deregistered; tombstones are never reaped, so indexes of prefixes do not go
// back.
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

// maxValue is the largest value of a key, in bytes.
const maxValue = 1 << 20

// Limits and defaults of the Consul API.
const (
	defaultWait      = 5 * time.Minute
	maxWait          = 10 * time.Minute
	defaultLockDelay = 15 * time.Second
	maxTTL           = 24 * time.Hour
)

// Options of Start.
type Options struct {
	// Listen is the IP:port to serve. Port 0 picks a free one.
	Listen string
	// Control is an IP:port that serves the /standin/ paths through all
	// faults. Empty means none.
	Control string
	// Clock defaults to the real one.
	Clock clockwork.Clock
	// MinTTL is the shortest session TTL accepted; 0 means 1 s.
	MinTTL time.Duration
	// HostLag is the time until a registration shows in the host list.
	HostLag time.Duration
	// LapseWhileDown lets sessions lapse while the fault Down is set. By
	// default they get their full TTL again afterwards, as under a new Consul
	// leader.
	LapseWhileDown bool
}

// Server is a running platform.
type Server struct {
	*fault.Server
	options Options
	tables  *tables
}

// Start serves until Close.
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
		Changed: func(f fault.Fault) {
			if !o.LapseWhileDown {
				s.tables.pause(f.Down)
			}
		},
	})
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	return s, nil
}

// Close ends the server. Sessions no longer lapse.
func (s *Server) Close() error {
	err := s.Server.Close()
	s.tables.pause(true)
	return err
}

// Stats returns the counts since Start.
func (s *Server) Stats() Stats { return s.tables.stats() }

// isWrite tells which requests the fault LoseAnswers applies to.
func isWrite(ctx *fasthttp.RequestCtx) bool {
	return !ctx.IsGet() && strings.HasPrefix(string(ctx.Path()), "/v1/kv/")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path, err := url.PathUnescape(string(ctx.URI().PathOriginal()))
	if err != nil {
		fault.Problem(ctx, fasthttp.StatusBadRequest, "path: %v", err)
		return
	}
	method := string(ctx.Method())
	for _, r := range s.routes() {
		rest, ok := strings.CutPrefix(path, r.prefix)
		if !ok || method != r.method || (rest != "" && !r.argument) {
			continue
		}
		r.serve(ctx, rest)
		return
	}
	fault.Problem(ctx, fasthttp.StatusNotFound, "%s %s is not served", method, path)
}

type route struct {
	method, prefix string
	argument       bool // the rest of the path is an argument
	serve          func(ctx *fasthttp.RequestCtx, argument string)
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

func (s *Server) serveStats(ctx *fasthttp.RequestCtx, _ string) { fault.JSON(ctx, s.Stats()) }

// block answers a GET. read returns the current index, and answer writes the
// answer of the last read.
func (s *Server) block(ctx *fasthttp.RequestCtx, w *waiter, end func(), read func() uint64) bool {
	defer end()
	minIndex, wait, err := blockingArgs(ctx)
	if err != nil {
		fault.Problem(ctx, fasthttp.StatusBadRequest, "%v", err)
		return false
	}
	index := read()
	if minIndex > 0 {
		timer := s.Clock().NewTimer(wait)
		defer timer.Stop()
		for index <= minIndex {
			select {
			case <-w.woken:
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

// blockingArgs returns the index and wait time of a blocking query; index 0
// means that the query does not block.
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

// uintArg returns a query argument, or nil if it is absent.
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
