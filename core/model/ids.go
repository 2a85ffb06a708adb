// Package model defines the identifiers, units and errors that all packages
// share.
package model

// Identifiers. All are opaque strings that operators or callers choose, except
// Incarnation and RequestID, which are generated, and Fingerprint.
type (
	// WorkspaceID identifies a workspace: a customer with one contract.
	WorkspaceID string
	// KeyID identifies an API key of a workspace. It is not the secret.
	KeyID string
	// ProgramID identifies an agent program within its workspace.
	ProgramID string
	// HostID identifies an entry host.
	HostID string
	// Incarnation identifies one run of a host's process. It is random and
	// changes with each start.
	Incarnation string
	// Zone names an availability zone.
	Zone string
	// TargetID identifies a back end, an engine or a service.
	TargetID string
	// ModelID names a model that engines serve.
	ModelID string
	// RouteID names a route to services that are not engines.
	RouteID string
	// RequestID identifies one request in logs and responses.
	RequestID string
	// Fingerprint is a hash of the content of a request.
	Fingerprint string
)

// Epoch is the version of the fleet's membership. It never decreases.
type Epoch uint64

// Revision is the version of the configuration document. It never decreases.
type Revision uint64

// CallNumber is the position of a call within its program, starting at 1.
type CallNumber uint32

// Tokens is a number of tokens of a language model.
type Tokens int64

// Shard is a hash bucket of programs. It lies in [0, ShardCount).
type Shard uint16

// ShardCount is the number of hash buckets that programs are divided into.
const ShardCount = 1024

// ProgramKey identifies a program across workspaces. Different workspaces may
// choose the same ProgramID for different programs.
type ProgramKey struct {
	Workspace WorkspaceID
	Program   ProgramID
}
