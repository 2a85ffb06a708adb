// Package operator implements the HTTP API for operators, which has an address
// of its own.
package operator

import (
	"context"
	"time"

	"mimosarelay/app/contracts"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

// Backend executes the operations of the API. All methods are safe for concurrent
// use.
type Backend interface {
	// CurrentDocument returns the configuration in effect on this host, as YAML.
	CurrentDocument() (model.Revision, []byte)
	// Apply replaces the configuration with revision base, see contracts.Service.
	Apply(ctx context.Context, document []byte, base model.Revision) (model.Revision, error)
	// Grant adds a key to a workspace and returns its secret.
	Grant(ctx context.Context, workspace model.WorkspaceID, id model.KeyID) (string, model.Revision, error)
	// Withdraw removes a key from its workspace.
	Withdraw(ctx context.Context, id model.KeyID) (model.Revision, error)
	// History lists the kept revisions, oldest first.
	History(ctx context.Context) ([]contracts.HistoryEntry, error)
	// HistoryDocument returns the configuration of a kept revision, or
	// model.ErrNotFound.
	HistoryDocument(ctx context.Context, r model.Revision) ([]byte, error)
	// AwaitEffect waits until the revision is in effect or ctx ends, and returns
	// the hosts that have not confirmed it.
	AwaitEffect(ctx context.Context, r model.Revision) []model.HostID
	// Status returns a short summary that is encoded as JSON.
	Status(ctx context.Context) (any, error)
	// Dump returns the state of the process, without secrets.
	Dump(ctx context.Context) (any, error)
	// Drain starts a graceful shutdown of this host and returns at once.
	Drain(ctx context.Context) error
	// DeclareGone removes another host that will not come back.
	DeclareGone(ctx context.Context, host model.HostID) error
	// LiftSuspect clears the mark of a request that crashed its targets, see
	// suspects.Service.
	LiftSuspect(ctx context.Context, f model.Fingerprint) error
	// Ready returns nil if the host accepts callers, or an error with the reason.
	Ready() error
}

// RevisionHeader is the header field with the revision of a returned
// configuration.
const RevisionHeader = "Mimosarelay-Revision"

// Effect is the body of the answer to an accepted change.
type Effect struct {
	Revision model.Revision
	// Waited reports whether the request asked to wait for the effect. InEffect
	// and Missing are only meaningful if it did.
	Waited   bool
	InEffect bool
	// Missing lists the hosts that have not confirmed the revision.
	Missing []model.HostID
}

// GrantRequest is the body of a request for a new key.
type GrantRequest struct {
	Workspace model.WorkspaceID
	ID        model.KeyID
}

// GrantResponse holds a new key. Only a hash of the secret is stored, so that it
// cannot be returned again.
type GrantResponse struct {
	Secret string
	Effect
}

// Validation is the body of the answer to a valid configuration.
type Validation struct {
	// Revision is the current revision, which Changes is relative to.
	Revision model.Revision
	Changes  []config.Change
}

// HistoryResponse lists the kept revisions, oldest first.
type HistoryResponse struct {
	Revisions []contracts.HistoryEntry
}

// Accepted says whether a change was accepted although its request failed.
type Accepted string

// Values of Accepted.
const (
	AcceptedNo      Accepted = "no"
	AcceptedUnknown Accepted = "unknown"
)

// Problem is the body of an error: problem details as of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// The following members are extensions of RFC 9457.
	RequestID model.RequestID `json:"RequestID"`
	Accepted  Accepted        `json:"Accepted,omitempty"`
	Faults    config.Faults   `json:"Faults,omitempty"`
	// Base and Current are the expected and the actual revision of a conflict.
	Base    *model.Revision `json:"Base,omitempty"`
	Current *model.Revision `json:"Current,omitempty"`
}

// Error implements error, for clients of the API.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

const (
	// defaultWait limits the wait for the effect of a change. It is longer than
	// the 10 s after which a dead host is removed from the membership.
	defaultWait = 15 * time.Second
	// storeTimeout limits the store calls of one request.
	storeTimeout = 10 * time.Second
)
