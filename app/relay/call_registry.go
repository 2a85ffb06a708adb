package relay

import (
	"context"
	"sync"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

// CallRegistry knows the running calls of each key, so that they end when the key
// is withdrawn.
type CallRegistry struct {
	mu      sync.Mutex // guards open and next
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

// Add returns a context that ends when the key is withdrawn, and a function
// that removes the call.
func (s *CallRegistry) Add(ctx context.Context, workspace model.WorkspaceID, key model.KeyID) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.next++
	id := callID(s.next)
	s.running[id] = runningCall{workspace: workspace, key: key, cancel: cancel}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.running, id)
		s.mu.Unlock()
		cancel(context.Canceled)
	}
}

// Enforce ends the calls of keys that are not valid in the snapshot.
func (s *CallRegistry) Enforce(current *config.Snapshot) int {
	s.mu.Lock()
	var ended []runningCall
	for _, o := range s.running {
		if o.key != "" && !current.KeyValid(o.workspace, o.key) {
			ended = append(ended, o)
		}
	}
	s.mu.Unlock()
	for _, o := range ended {
		o.cancel(model.ErrUnauthorized)
	}
	return len(ended)
}

// EndAll ends all running calls for the given reason.
func (s *CallRegistry) EndAll(reason error) int {
	s.mu.Lock()
	all := make([]runningCall, 0, len(s.running))
	for _, o := range s.running {
		all = append(all, o)
	}
	s.mu.Unlock()
	for _, o := range all {
		o.cancel(reason)
	}
	return len(all)
}

// Count is the number of running calls.
func (s *CallRegistry) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}
