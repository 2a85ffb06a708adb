// Package ingress routes HTTP requests to services by host name and path
// prefix. Requests are forwarded unchanged.
package ingress

import (
	"slices"
	"strings"
	"time"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

// ServiceID identifies a group of targets that serve the same requests.
type ServiceID string

// RetryPolicy says whether a failed request may be sent again. It is one of
// Idempotent, AtMostOnce and Stream.
type RetryPolicy interface{ isRetryPolicy() }

// Idempotent allows a request to run more than once.
type Idempotent struct{}

// AtMostOnce forbids sending a request again once it may have run.
type AtMostOnce struct{}

// Stream is the policy of requests that are answered with a stream of events
// with increasing ids.
type Stream struct {
	// Resumable allows the request to be sent again to continue the stream
	// after a given event. Other streams run at most once.
	Resumable bool
}

func (Idempotent) isRetryPolicy() {}
func (AtMostOnce) isRetryPolicy() {}
func (Stream) isRetryPolicy()     {}

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service ServiceID
	Weight  float64
}

// Route describes how to handle requests for a host and path prefix.
type Route struct {
	Name string
	Host string // in lower case
	// Prefix begins and ends with a slash.
	Prefix      string
	Services    []WeightedService
	RetryPolicy RetryPolicy
	// MaxTargets is the number of targets on which one request may run. Targets
	// that did not run it or that are gone do not count.
	MaxTargets int
	// Timeout limits the duration of a request, including its time in the queue.
	Timeout time.Duration
	// Priority is the rank of the route; requests of rank 0 are served first.
	Priority int
	// Retention is how long the turns of conversations are kept for the turns that
	// continue them; 0 if they are not kept.
	Retention time.Duration
	// Sticky says that a target handles requests faster whose object it has handled
	// recently.
	Sticky bool
	// Public routes accept requests without a key.
	Public bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	switch p := r.RetryPolicy.(type) {
	case Idempotent:
		return true
	case Stream:
		return p.Resumable
	}
	return false
}

// Streaming reports whether the response is a stream of events.
func (r *Route) Streaming() bool {
	_, ok := r.RetryPolicy.(Stream)
	return ok
}

// PickService chooses one of the route's services in proportion to their
// weights. draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) ServiceID {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Services {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service holds the settings of a service.
type Service struct {
	ID ServiceID
	// TokensPerEvent is the number of tokens in one event of a stream, or 0
	// for services that do not generate tokens.
	TokensPerEvent model.Tokens
	// MaxConnections limits the connections to one target from all hosts; 0
	// means no limit.
	MaxConnections int
	// ColdPerSecond is the number of requests a second that a cold target tolerates; 0
	// means that targets are never cold. ColdStart is how long they are cold after a
	// start.
	ColdPerSecond float64
	ColdStart     time.Duration
	// HealthPath is the path at which a target says how long it stays cold; empty if
	// there is none.
	HealthPath string
}

// Document is a configuration that routes by host name and path.
type Document struct {
	Revision   model.Revision
	Workspaces []config.Workspace
	// Keyless says that requests need no key. A document without workspaces is not
	// keyless by itself, because its last workspace may have been removed.
	Keyless  bool
	Routes   []Route
	Services []Service
	Limits   Limits
}

// StoredDocument is a configuration that was read from the store.
type StoredDocument struct {
	// Document is the decoded configuration and Value its stored encoding. Both
	// are nil if the reader already knows the revision.
	Document *Document
	Value    []byte
	// Revision is the store revision at which the configuration was last
	// changed. StoreRevision is the store's own revision when it was read.
	Revision, StoreRevision uint64
	// Evacuated lists the zones with an evacuation order at StoreRevision, sorted. It
	// is nil if the reader does not know them, and not nil if there are none.
	Evacuated []model.Zone
	// Age is how long before this request the store was read. It is 0 unless
	// another host answered from its copy.
	Age time.Duration
}

// WatchResult is the result of watching the configuration and the evacuation orders
// for a change.
type WatchResult struct {
	// StoreRevision is the store's revision up to which changes were checked.
	StoreRevision uint64
	Changed       bool
	// Age is how long before this request the store was asked. It is 0 for a change
	// that the store returned, negative for a watch that the store answered at its
	// end, and may be positive if another host answered from its copy.
	Age time.Duration
}

// TargetList is the result of reading the targets.
type TargetList struct {
	Targets []Target
	// Faults describe entries that are not valid targets.
	Faults []error
	// Age is as in WatchResult.
	Age time.Duration
}

// Target is one back end of a service.
type Target struct {
	ID      model.TargetID
	Service ServiceID
	Address string
	Zone    model.Zone
	// Slots is the number of requests that the target serves at a time.
	Slots   int
	Leaving bool
	// ColdFor is how long the target stays cold; 0 for a warm target.
	ColdFor time.Duration
	// StartedAt is when the target started, or 0 if that is not known. A target that
	// starts again may have the same ID.
	StartedAt UnixMilliseconds
}

// UnixMilliseconds is a time of a target's clock, in milliseconds since 1970.
type UnixMilliseconds int64

// View is an immutable snapshot of the configuration and the targets. It is
// safe for concurrent use.
type View struct {
	*config.Snapshot
	document *Document
	// evacuated lists the zones whose targets get no new request.
	evacuated []model.Zone
	routes    map[string]map[string]*Route // by host name, then path prefix
	services  map[ServiceID]Service
}

// overcommit is the number of requests that all hosts together may send to a
// target for each of its slots. It is above 1 because callers are not spread
// evenly over the hosts: if the slots were divided equally, some would be idle
// while requests wait at another host. Targets can queue a few requests more
// than they serve.
const overcommit = 3

// NewView indexes a document, the targets and the zones with an evacuation order. None
// may be modified afterwards.
func NewView(d *Document, targets []Target, evacuated ...model.Zone) *View {
	c := &config.Document{Revision: d.Revision, Workspaces: d.Workspaces}
	for _, t := range targets {
		c.Targets = append(c.Targets, config.Target{
			Name: t.ID, Kind: config.Engine, Address: t.Address, Zone: t.Zone,
			// Placement looks up targets by model, so that the service ID is
			// used as the name of the model.
			Models:      []model.ModelID{model.ModelID(t.Service)},
			MaxInFlight: max(1, t.Slots*overcommit), Slots: t.Slots, Leaving: t.Leaving,
			Evacuated: slices.Contains(evacuated, t.Zone),
		})
	}
	v := &View{
		Snapshot: config.NewSnapshot(c), document: d, evacuated: evacuated,
		routes: map[string]map[string]*Route{}, services: map[ServiceID]Service{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if v.routes[r.Host] == nil {
			v.routes[r.Host] = map[string]*Route{}
		}
		v.routes[r.Host][r.Prefix] = r
	}
	for _, s := range d.Services {
		v.services[s.ID] = s
	}
	return v
}

// Limits returns the limits for callers.
func (v *View) Limits() Limits { return v.document.Limits }

// Evacuated returns the zones whose targets get no new request. The list must not be
// changed.
func (v *View) Evacuated() []model.Zone { return v.evacuated }

// NeedsKeys reports whether requests to routes that are not public need a key.
func (v *View) NeedsKeys() bool { return !v.document.Keyless }

// Service returns the settings of a service, or the zero value if the document
// does not define it.
func (v *View) Service(id ServiceID) Service { return v.services[id] }

// RouteFor returns the route for a request: of the routes of the host, the one
// whose prefix is the longest that matches the path.
func (v *View) RouteFor(host, path string) (*Route, bool) {
	routes := v.routes[strings.ToLower(host)]
	if routes == nil {
		return nil, false
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if r, ok := routes[path[:slash+1]]; ok {
			return r, true
		}
		end = slash
	}
	return nil, false
}
