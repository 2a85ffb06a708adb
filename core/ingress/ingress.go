// Package ingress maps requests to services by host name and path, for routes
// that pass requests on unchanged.
package ingress

import (
	"strings"
	"time"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

// ServiceID names a group of targets that serve the same requests.
type ServiceID string

// Repetition says what may be repeated of a request: Idempotent, AtMostOnce or
// Stream.
type RetryPolicy interface{ isRetryPolicy() }

// Idempotent requests may run more than once.
type Idempotent struct{}

// AtMostOnce requests run at most once.
type AtMostOnce struct{}

// Stream requests are answered by events with increasing ids.
type Stream struct {
	// Resumable streams may go on at another run after a given event. Others
	// run at most once.
	Resumable bool
}

func (Idempotent) isRetryPolicy() {}
func (AtMostOnce) isRetryPolicy() {}
func (Stream) isRetryPolicy()     {}

// WeightedService is one of the services of a route.
type WeightedService struct {
	Service ServiceID
	Weight  float64
}

// Route describes how requests below a path prefix of a host are handled.
type Route struct {
	Name string
	Host string // in lower case
	// Prefix begins and ends with a slash.
	Prefix      string
	Services    []WeightedService
	RetryPolicy RetryPolicy
	// MaxTargets is the number of targets on which one request may run.
	MaxTargets int
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Priority is the rank of the route; 0 is served first.
	Priority int
	// Public routes need no key.
	Public bool
}

// Repeatable says whether a request may run more than once.
func (r *Route) Repeatable() bool {
	switch p := r.RetryPolicy.(type) {
	case Idempotent:
		return true
	case Stream:
		return p.Resumable
	}
	return false
}

// Streaming says whether the answer is a stream of events.
func (r *Route) Streaming() bool {
	_, ok := r.RetryPolicy.(Stream)
	return ok
}

// Service chooses one of the route's services. draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) ServiceID {
	sum := 0.0
	for _, s := range r.Services {
		sum += s.Weight
	}
	at := draw * sum
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service describes the targets of one name.
type Service struct {
	ID ServiceID
	// TokensPerEvent is the number of tokens in one event of a stream; 0 for
	// services that generate none.
	TokensPerEvent model.Tokens
	// MaxConnections bounds the connections to one target from all hosts; 0
	// means no bound.
	MaxConnections int
}

// Document is a configuration that routes by host name and path.
type Document struct {
	Revision   model.Revision
	Workspaces []config.Workspace
	Routes     []Route
	Services   []Service
	Limits     Limits
}

// Stored is a configuration as the store returned it.
type StoredDocument struct {
	Document *Document
	// Value is the configuration as it is stored; nil if Document is.
	Value []byte
	// Revision is the store's revision of the configuration, and Seen the one
	// up to which it has looked.
	Revision, StoreRevision uint64
	// Age is how long before the question the store was asked.
	Age time.Duration
}

// Watched is what a watch on the configuration saw.
type WatchResult struct {
	// Seen is the revision up to which the store has looked.
	StoreRevision uint64
	Changed       bool
	// Age is how long before the question the store was asked.
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
}

// View is an immutable configuration with the targets of one moment. It is
// safe for concurrent use.
type View struct {
	*config.Snapshot
	document *Document
	hosts    map[string]map[string]*Route // by host name, then prefix
	services map[ServiceID]Service
}

// overcommit is the number of requests that all hosts may send to a target for
// each of its slots. Targets queue a few more than they serve, and callers are
// not spread evenly over the hosts, so that equal parts of the slots would leave
// some idle while requests wait at another host.
const overcommit = 3

// NewView indexes a document and the targets. Both must not be modified
// afterwards.
func NewView(d *Document, targets []Target) *View {
	c := &config.Document{Revision: d.Revision, Workspaces: d.Workspaces}
	for _, t := range targets {
		c.Targets = append(c.Targets, config.Target{
			Name: t.ID, Kind: config.Engine, Address: t.Address, Zone: t.Zone,
			// Placement finds the targets of a service as those of a model.
			Models:      []model.ModelID{model.ModelID(t.Service)},
			MaxInFlight: max(1, t.Slots*overcommit), Leaving: t.Leaving,
		})
	}
	v := &View{
		Snapshot: config.NewSnapshot(c), document: d,
		hosts: map[string]map[string]*Route{}, services: map[ServiceID]Service{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if v.hosts[r.Host] == nil {
			v.hosts[r.Host] = map[string]*Route{}
		}
		v.hosts[r.Host][r.Prefix] = r
	}
	for _, s := range d.Services {
		v.services[s.ID] = s
	}
	return v
}

// Limits returns the bounds of callers.
func (v *View) Limits() Limits { return v.document.Limits }

// NeedsKeys says whether requests to routes that are not public need a key.
func (v *View) NeedsKeys() bool { return len(v.document.Workspaces) > 0 }

// Service returns what is known of a service.
func (v *View) Service(id ServiceID) Service { return v.services[id] }

// RouteFor returns the route of a request: the one of the host with the longest
// prefix of the path.
func (v *View) RouteFor(host, path string) (*Route, bool) {
	routes := v.hosts[strings.ToLower(host)]
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
