// Package metrics collects the counters and histograms of a process and serves
// them as text in the Prometheus format.
package metrics

import (
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// reportInterval is how often counters reach the scrape endpoint.
const reportInterval = time.Second

// Root is the root of the process's metrics.
type Root struct {
	Scope   tally.Scope
	Handler fasthttp.RequestHandler
	Close   func()
}

// New returns a root. Close it at the end of the process.
func New() *Root {
	// A registry of its own, because a process may run several hosts.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "mimosarelay", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Root{Scope: scope, Handler: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()), Close: func() { _ = closer.Close() }}
}
