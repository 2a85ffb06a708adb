// Package config holds the configuration document that operators edit: the
// contracts of workspaces, the targets and the routes.
package config

import (
	"time"

	"mimosarelay/core/model"
)

// Document is the whole configuration. It is written in YAML with the field
// names below.
type Document struct {
	// Revision is set by the system on each accepted change.
	Revision   model.Revision `yaml:"Revision,omitempty"`
	Workspaces []Workspace    `yaml:"Workspaces"`
	Targets    []Target       `yaml:"Targets"`
	Routes     []Route        `yaml:"Routes,omitempty"`
}

// Workspace is the contract of one customer.
type Workspace struct {
	Name model.WorkspaceID `yaml:"Name"`
	Keys []Key             `yaml:"Keys,omitempty"`
	// Rate is the number of requests per second, fleet-wide.
	Rate float64 `yaml:"Rate"`
	// Burst is the number of requests admitted at once, fleet-wide.
	Burst float64 `yaml:"Burst"`
	// Weight is the share of busy targets relative to other workspaces; 0
	// means 1.
	Weight float64 `yaml:"Weight,omitempty"`
	Budget Budget  `yaml:"Budget"`
	// Models lists the models the workspace may use; empty means all.
	Models []model.ModelID `yaml:"Models,omitempty"`
	// Routes lists the routes the workspace may use; empty means all.
	Routes []model.RouteID `yaml:"Routes,omitempty"`
}

// Budget bounds each program of a workspace. Sub-agents draw on the budget of
// their root program.
type Budget struct {
	// Tokens is the number of prompt and completion tokens of a program.
	Tokens model.Tokens `yaml:"Tokens"`
	// Calls is the number of calls of a program.
	Calls uint32 `yaml:"Calls"`
	// Lifetime is the time from a program's first call to its end.
	Lifetime time.Duration `yaml:"Lifetime"`
}

// Key is one credential of a workspace. Only its salted hash is kept.
type Key struct {
	ID model.KeyID `yaml:"ID"`
	// Hash is "sha256:<salt hex>:<digest hex>".
	Hash Hash `yaml:"Hash"`
}

// Hash is the salted hash of a key. It appears in the YAML of a document, but
// neither in logs nor in JSON.
type Hash string

const hiddenHash = "(hidden)"

// String implements fmt.Stringer without the value.
func (Hash) String() string { return hiddenHash }

// GoString implements fmt.GoStringer without the value.
func (Hash) GoString() string { return hiddenHash }

// MarshalJSON implements json.Marshaler without the value.
func (Hash) MarshalJSON() ([]byte, error) { return []byte(`"` + hiddenHash + `"`), nil }

// TargetKind tells what protocol a target speaks.
type TargetKind string

// Kinds of targets.
const (
	Engine  TargetKind = "Engine"
	Service TargetKind = "Service"
)

// Target is one back end.
type Target struct {
	Name model.TargetID `yaml:"Name"`
	Kind TargetKind     `yaml:"Kind"`
	// Address is IP:port.
	Address string     `yaml:"Address"`
	Zone    model.Zone `yaml:"Zone"`
	// Models lists the models an engine serves.
	Models []model.ModelID `yaml:"Models,omitempty"`
	// MaxInFlight bounds the calls in flight at this target, fleet-wide.
	MaxInFlight int `yaml:"MaxInFlight"`
	// ChecksFencing says that the target refuses orders with an old fencing
	// number.
	ChecksFencing bool `yaml:"ChecksFencing,omitempty"`
	// Leaving takes the target out of use: it gets no new call.
	Leaving bool `yaml:"Leaving,omitempty"`
}

// Route leads callers to plain services under /v1/routes/{Name}/.
type Route struct {
	Name    model.RouteID    `yaml:"Name"`
	Targets []model.TargetID `yaml:"Targets"`
	// Repeatable says that a call may be sent again after a failure.
	Repeatable bool `yaml:"Repeatable"`
	// Open lets callers without a key use the route.
	Open bool `yaml:"Open,omitempty"`
	// Methods lists the allowed HTTP methods; empty means POST.
	Methods []string `yaml:"Methods,omitempty"`
	// Timeout bounds one call; 0 means 30 s.
	Timeout time.Duration `yaml:"Timeout,omitempty"`
}
