package relay

import (
	"context"
	"sync"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

// CallRegistry holds the running calls with their keys, so that calls can be ended
// when their key is withdrawn or this host loses the right to act.
type CallRegistry struct {
	mu      sync.Mutex // guards next and running
	next    uint64
	running map[callID]runningCall
}

type callID uint64

type runningCall struct {
	workspace model.WorkspaceID
	key       model.KeyID
	cancel    context.CancelCauseFunc
}

// NewCallRegistry returns an empty registry.
func NewCallRegistry() *CallRegistry {
	return &CallRegistry{running: map[callID]runningCall{}}
}

// Add registers a call. It returns a context that Enforce and EndAll cancel, and a
// function that removes the call.
func (r *CallRegistry) Add(ctx context.Context, workspace model.WorkspaceID, key model.KeyID) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	r.next++
	id := callID(r.next)
	r.running[id] = runningCall{workspace: workspace, key: key, cancel: cancel}
	r.mu.Unlock()
	return ctx, func() {
		r.mu.Lock()
		delete(r.running, id)
		r.mu.Unlock()
		cancel(context.Canceled)
	}
}

// Enforce ends the calls whose keys are not valid in the snapshot and returns
// their number.
func (r *CallRegistry) Enforce(current *config.Snapshot) int {
	r.mu.Lock()
	var ended []runningCall
	for _, c := range r.running {
		if c.key != "" && !current.KeyValid(c.workspace, c.key) {
			ended = append(ended, c)
		}
	}
	r.mu.Unlock()
	for _, c := range ended {
		c.cancel(model.ErrUnauthorized)
	}
	return len(ended)
}

// EndAll ends all running calls with the given reason and returns their number.
func (r *CallRegistry) EndAll(reason error) int {
	r.mu.Lock()
	all := make([]runningCall, 0, len(r.running))
	for _, c := range r.running {
		all = append(all, c)
	}
	r.mu.Unlock()
	for _, c := range all {
		c.cancel(reason)
	}
	return len(all)
}

// Count returns the number of running calls.
func (r *CallRegistry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}
