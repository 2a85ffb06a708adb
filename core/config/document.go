// Package config defines, parses and validates the configuration document that
// operators edit: the workspaces with their limits and permissions, the targets
// and the routes.
package config

import (
	"time"

	"mimosarelay/core/model"
)

// Document is the complete configuration. Its YAML form uses the field names
// below.
type Document struct {
	// Revision is assigned when a change is accepted.
	Revision   model.Revision `yaml:"Revision,omitempty"`
	Workspaces []Workspace    `yaml:"Workspaces"`
	Targets    []Target       `yaml:"Targets"`
	Routes     []Route        `yaml:"Routes,omitempty"`
}

// Workspace holds the keys, limits and permissions of one customer, also called
// the contract of the customer.
type Workspace struct {
	Name model.WorkspaceID `yaml:"Name"`
	Keys []Key             `yaml:"Keys,omitempty"`
	// Rate is the allowed number of requests per second, fleet-wide.
	Rate float64 `yaml:"Rate"`
	// Burst is the number of requests that may be admitted at once,
	// fleet-wide.
	Burst float64 `yaml:"Burst"`
	// Weight is the share of busy targets that the workspace gets, relative to
	// the weights of other workspaces; 0 means 1.
	Weight float64 `yaml:"Weight,omitempty"`
	Budget Budget  `yaml:"Budget"`
	// Models lists the models that the workspace may use; empty means all.
	Models []model.ModelID `yaml:"Models,omitempty"`
	// Routes lists the routes that the workspace may use; empty means all.
	Routes []model.RouteID `yaml:"Routes,omitempty"`
}

// Budget limits each program of a workspace. Sub-agents share the budget of
// their root program.
type Budget struct {
	// Tokens is the number of prompt and completion tokens that a program may
	// use.
	Tokens model.Tokens `yaml:"Tokens"`
	// Calls is the number of calls that a program may make.
	Calls uint32 `yaml:"Calls"`
	// Lifetime is the time after its first call at which a program ends.
	Lifetime time.Duration `yaml:"Lifetime"`
}

// Key is a credential of a workspace. The secret itself is not stored, only its
// salted hash.
type Key struct {
	ID model.KeyID `yaml:"ID"`
	// Hash is "sha256:<salt hex>:<digest hex>".
	Hash Hash `yaml:"Hash"`
}

// Hash is the salted hash of a key. It is written in the YAML of a document, but
// hidden in logs and JSON.
type Hash string

const hiddenHash = "(hidden)"

// String implements fmt.Stringer and hides the value.
func (Hash) String() string { return hiddenHash }

// GoString implements fmt.GoStringer and hides the value.
func (Hash) GoString() string { return hiddenHash }

// MarshalJSON implements json.Marshaler and hides the value.
func (Hash) MarshalJSON() ([]byte, error) { return []byte(`"` + hiddenHash + `"`), nil }

// TargetKind determines the protocol of a target.
type TargetKind string

// Kinds of targets.
const (
	Engine  TargetKind = "Engine"
	Service TargetKind = "Service"
)

// Target is a back-end server that calls are sent to.
type Target struct {
	Name model.TargetID `yaml:"Name"`
	Kind TargetKind     `yaml:"Kind"`
	// Address is IP:port.
	Address string     `yaml:"Address"`
	Zone    model.Zone `yaml:"Zone"`
	// Models lists the models that an engine serves.
	Models []model.ModelID `yaml:"Models,omitempty"`
	// MaxInFlight limits the calls in flight at this target, fleet-wide.
	MaxInFlight int `yaml:"MaxInFlight"`
	// Slots is the number of calls that the target says it runs at a time; 0 if it
	// does not say so. It is not part of the document.
	Slots int `yaml:"-"`
	// ChecksFencing is set if the target rejects orders with an outdated
	// fencing token.
	ChecksFencing bool `yaml:"ChecksFencing,omitempty"`
	// Leaving takes the target out of service: it gets no new calls.
	Leaving bool `yaml:"Leaving,omitempty"`
	// Evacuated is set while an operator keeps new calls away from the zone of the
	// target. It is not part of the document.
	Evacuated bool `yaml:"-"`
}

// Route exposes targets of kind Service to callers under /v1/routes/{Name}/.
type Route struct {
	Name    model.RouteID    `yaml:"Name"`
	Targets []model.TargetID `yaml:"Targets"`
	// Repeatable is set if a call may be sent again after a failure.
	Repeatable bool `yaml:"Repeatable"`
	// Open allows callers without a key to use the route.
	Open bool `yaml:"Open,omitempty"`
	// Methods lists the allowed HTTP methods; empty means POST.
	Methods []string `yaml:"Methods,omitempty"`
	// Timeout limits the duration of one call; 0 means 30 s
	// (DefaultRouteTimeout).
	Timeout time.Duration `yaml:"Timeout,omitempty"`
}
