// Package model holds the ids, units and errors that all packages share.
package model

// Named ids. All are opaque strings chosen by operators or callers, except
// Incarnation and RequestID, which the system generates.
type (
	// WorkspaceID names a customer with one contract.
	WorkspaceID string
	// KeyID names a workspace key. It is not secret.
	KeyID string
	// ProgramID names a program within its workspace.
	ProgramID string
	// HostID names an entry host.
	HostID string
	// Incarnation is the random id of one process start of a host.
	Incarnation string
	// Zone names an availability zone.
	Zone string
	// TargetID names a back end.
	TargetID string
	// ModelID names a model that engines serve.
	ModelID string
	// RouteID names a route to plain services.
	RouteID string
	// RequestID identifies one request in logs and answers.
	RequestID string
	// Fingerprint is a hash of the content of a request.
	Fingerprint string
)

// Epoch is the version of the membership. It only grows.
type Epoch uint64

// Revision is the version of the configuration document. It only grows.
type Revision uint64

// CallNumber is the position of a call in its program, starting at 1.
type CallNumber uint32

// Tokens counts model tokens.
type Tokens int64

// Shard is a hash bucket of programs, in [0, ShardCount).
type Shard uint16

// ShardCount is the number of hash buckets that programs are divided into.
const ShardCount = 1024

// ProgramKey identifies a program across workspaces. Two workspaces that
// choose the same program id get different programs.
type ProgramKey struct {
	Workspace WorkspaceID
	Program   ProgramID
}
