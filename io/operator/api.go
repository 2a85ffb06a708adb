// Package operator serves the API for operators on its own address.
package operator

import (
	"context"
	"time"

	"mimosarelay/app/contracts"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

// Backend carries out the requests of operators. All methods are safe for
// concurrent use.
type Backend interface {
	// CurrentDocument returns the configuration in effect at this host.
	CurrentDocument() (model.Revision, []byte)
	// Apply replaces the document of revision base, see contracts.Service.
	Apply(ctx context.Context, document []byte, base model.Revision) (model.Revision, error)
	// Grant adds a key to a workspace and returns its text.
	Grant(ctx context.Context, workspace model.WorkspaceID, id model.KeyID) (string, model.Revision, error)
	// Withdraw removes a key.
	Withdraw(ctx context.Context, id model.KeyID) (model.Revision, error)
	// History lists the kept revisions, oldest first.
	History(ctx context.Context) ([]contracts.HistoryEntry, error)
	// HistoryDocument returns a kept revision or model.ErrNotFound.
	HistoryDocument(ctx context.Context, r model.Revision) ([]byte, error)
	// AwaitEffect waits until the revision is in effect or ctx ends, and returns
	// the hosts that have not confirmed it.
	AwaitEffect(ctx context.Context, r model.Revision) []model.HostID
	// Status returns a short summary that can be written as JSON.
	Status(ctx context.Context) (any, error)
	// Dump returns the state of the process, without secrets.
	Dump(ctx context.Context) (any, error)
	// Drain starts a graceful shutdown of this host and returns at once.
	Drain(ctx context.Context) error
	// DeclareGone removes another host that will not come back.
	DeclareGone(ctx context.Context, host model.HostID) error
	// LiftSuspect clears the mark of a request that crashed its targets.
	LiftSuspect(ctx context.Context, f model.Fingerprint) error
	// Ready returns nil if the host can serve callers, else the reason.
	Ready() error
}

// RevisionHeader carries the revision of a returned document.
const RevisionHeader = "Mimosarelay-Revision"

// Effect is the answer to an accepted change.
type Effect struct {
	Revision model.Revision
	// Waited says whether the request asked to wait for the effect. InEffect
	// and Missing are meaningful only then.
	Waited   bool
	InEffect bool
	// Missing lists the hosts that have not confirmed the revision.
	Missing []model.HostID
}

// GrantRequest asks for a key.
type GrantRequest struct {
	Workspace model.WorkspaceID
	ID        model.KeyID
}

// GrantResponse holds a new key. Secret is shown only once.
type GrantResponse struct {
	Secret string
	Effect
}

// Validation is the answer to a correct document.
type Validation struct {
	// Revision is the current revision that Changes refers to.
	Revision model.Revision
	Changes  []config.Change
}

// HistoryResponse lists the kept revisions, oldest first.
type HistoryResponse struct {
	Revisions []contracts.HistoryEntry
}

// Accepted tells whether a change took effect although its request failed.
type Accepted string

// Values of Accepted.
const (
	AcceptedNo      Accepted = "no"
	AcceptedUnknown Accepted = "unknown"
)

// Problem is an error answer by RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Extension members.
	RequestID model.RequestID `json:"RequestID"`
	Accepted  Accepted        `json:"Accepted,omitempty"`
	Faults    config.Faults   `json:"Faults,omitempty"`
	// Base and Current are set on a conflict.
	Base    *model.Revision `json:"Base,omitempty"`
	Current *model.Revision `json:"Current,omitempty"`
}

// Error implements error for clients.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

const (
	// defaultWait bounds the wait for the effect of a change. It exceeds the
	// 10 s after which a dead host is no longer a member.
	defaultWait = 15 * time.Second
	// storeTimeout bounds the store calls of one request.
	storeTimeout = 10 * time.Second
)
