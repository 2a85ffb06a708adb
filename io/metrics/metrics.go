// Package metrics collects the counters and histograms of a host and serves them
// in the Prometheus text format.
package metrics

import (
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// reportInterval is the interval at which metrics are updated in the scrape
// endpoint.
const reportInterval = time.Second

// Root holds the root scope of a host's metrics, the handler of the scrape
// endpoint, and a function that stops the updates.
type Root struct {
	Scope   tally.Scope
	Handler fasthttp.RequestHandler
	Close   func()
}

// New returns a root without metrics. Close must be called when it is no longer
// used.
func New() *Root {
	// The registry is not the global one, because a process may run several
	// hosts.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "mimosarelay", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Root{Scope: scope, Handler: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()), Close: func() { _ = closer.Close() }}
}
