// Package placement decides which waiting call runs next and at which target.
package placement

import "mimosarelay/core/model"

// Request asks for a place at a target.
type Request struct {
	Workspace model.WorkspaceID
	// Program is empty for calls outside programs.
	Program model.ProgramID
	// Model is set for calls to engines.
	Model model.ModelID
	// Candidates are the targets of a route; empty for engines.
	Candidates []model.TargetID
	// Exclude lists targets that failed during this call.
	Exclude []model.TargetID
	// Prompt and MaxTokens bound the work of the call.
	Prompt    model.Tokens
	MaxTokens model.Tokens
	// Prefixes identifies the leading parts of the prompt, shortest first:
	// one hash per message, over all messages up to it.
	Prefixes []uint64
	// PrefixTokens holds the size of each of Prefixes. If it is empty, the
	// parts count as equally long.
	PrefixTokens []model.Tokens
	// Fingerprint identifies the content of the call.
	Fingerprint model.Fingerprint
}

// Usage tells what a call took at its target.
type Usage struct {
	Prompt     model.Tokens
	Cached     model.Tokens // part of Prompt found in the cache
	Completion model.Tokens
	Failed     bool
}
