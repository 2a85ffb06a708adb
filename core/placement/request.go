// Package placement decides which waiting call runs next and at which target.
package placement

import (
	"time"

	"mimosarelay/core/model"
)

// Request describes a call that needs a place at a target.
type Request struct {
	Workspace model.WorkspaceID
	// Program is empty for calls outside programs.
	Program model.ProgramID
	// Model is set for calls to engines only.
	Model model.ModelID
	// Candidates lists the targets of a route. It is empty for calls to engines,
	// which run at any target that serves Model.
	Candidates []model.TargetID
	// Exclude lists targets that failed during this call.
	Exclude []model.TargetID
	// Prompt and MaxTokens are upper bounds of the prompt tokens and of the
	// completion tokens.
	Prompt    model.Tokens
	MaxTokens model.Tokens
	// Prefixes identifies the prefixes of the prompt, shortest first: one hash
	// per message, over that message and all messages before it.
	Prefixes []uint64
	// PrefixTokens holds the size of each prefix in Prefixes. If it is empty, all
	// messages are assumed to have the same size.
	PrefixTokens []model.Tokens
	// Object is a hash of the object that the call concerns, or 0. Calls for the same
	// object go to the same target, which handles them faster.
	Object uint64
	// Repeatable calls may probe targets whose requests failed. The others avoid such
	// targets.
	Repeatable bool
	// Fingerprint identifies the content of the call.
	Fingerprint model.Fingerprint
}

// Usage holds the tokens that a call used at its target.
type Usage struct {
	Prompt     model.Tokens
	Cached     model.Tokens // part of Prompt that the target found in its cache
	Completion model.Tokens
	// Failed calls count for at least the service that was charged at the grant.
	Failed bool
	// Work is the time that the target took for a unit of work: between two events of a
	// stream, or for a whole answer; 0 if it was not measured. It is compared only with
	// that of other calls of the same Kind.
	Work time.Duration
	Kind WorkKind
}
