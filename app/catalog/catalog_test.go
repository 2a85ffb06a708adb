package catalog_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/catalog"
	"mimosarelay/core/config"
	"mimosarelay/core/discovery"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// source is a store of one configuration.
type source struct {
	mu       sync.Mutex
	document *ingress.Document
	revision uint64
	away     bool
	changed  chan struct{}
}

func (s *source) set(version model.Revision, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document = &ingress.Document{Revision: version, Workspaces: []config.Workspace{{Name: model.WorkspaceID(workspace)}}}
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) ReadConfiguration(_ context.Context, known uint64) (ingress.StoredDocument, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return ingress.StoredDocument{}, store.ErrUnavailable
	}
	out := ingress.StoredDocument{Revision: s.revision, StoreRevision: s.revision}
	if known != s.revision {
		out.Document = s.document
	}
	return out, nil
}

func (s *source) WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (ingress.WatchResult, error) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return ingress.WatchResult{}, ctx.Err()
	case <-changed:
	case <-time.After(wait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return ingress.WatchResult{}, store.ErrUnavailable
	}
	return ingress.WatchResult{StoreRevision: s.revision, Changed: s.revision > after}, nil
}

func (s *source) ReadTargets(context.Context) ([]ingress.Target, []error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, nil, store.ErrUnavailable
	}
	return []ingress.Target{{ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: 1}}, nil, nil
}

const lifetime = 4 * time.Second

// run plays a test with a fake time.
func run(t *testing.T, play func(t *testing.T, src *source, s *catalog.Service)) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{changed: make(chan struct{})}
		src.set(1, "first")
		s := catalog.New(catalog.Options{Source: src, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Lifetime: lifetime})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = s.Run(ctx) }()
		time.Sleep(10 * time.Millisecond)
		play(t, src, s)
		stop()
		<-done
	})
}

// Guards against requests that are served on a configuration that may have
// changed since, and against a host that does not serve again after an outage.
func TestEvidenceEnds(t *testing.T) {
	run(t, func(t *testing.T, src *source, s *catalog.Service) {
		time.Sleep(time.Minute)
		_, err := s.View()
		assert.NilError(t, err)
		assert.Assert(t, s.Age() <= 2*time.Second+100*time.Millisecond, "evidence is %v old while the store answers", s.Age())

		src.setAway(true)
		src.set(2, "second")
		time.Sleep(lifetime + 100*time.Millisecond)
		_, err = s.View()
		assert.ErrorIs(t, err, model.ErrUnavailable)
		assert.ErrorContains(t, err, "last confirmed configuration 1")

		src.setAway(false)
		time.Sleep(time.Second)
		v, err := s.View()
		assert.NilError(t, err)
		assert.Equal(t, v.Revision(), model.Revision(2))
	})
}

// Guards against a change that is seen late, and against a process that goes
// back to an earlier version.
func TestChangesApplyAtOnceAndNeverRevert(t *testing.T) {
	run(t, func(t *testing.T, src *source, s *catalog.Service) {
		src.set(7, "seventh")
		time.Sleep(50 * time.Millisecond)
		v, err := s.View()
		assert.NilError(t, err)
		assert.Equal(t, v.Revision(), model.Revision(7))
		src.set(5, "fifth")
		time.Sleep(5 * time.Second)
		v, err = s.View()
		assert.NilError(t, err)
		assert.Equal(t, v.Revision(), model.Revision(7))
		_, ok := v.Workspace("seventh")
		assert.Assert(t, ok)
	})
}

// Guards against requests to targets that have left: a host that saw no outage
// takes over what another one keeps because of its own.
func TestTargetsKeptAfterAnOutageAreNotTold(t *testing.T) {
	run(t, func(t *testing.T, src *source, s *catalog.Service) {
		ask := func() error {
			_, err := s.HandleTargets(t.Context(), &peerpb.TargetsRequest{})
			return err
		}
		time.Sleep(time.Second)
		assert.NilError(t, ask())
		src.setAway(true)
		time.Sleep(time.Second)
		assert.ErrorIs(t, ask(), model.ErrUnavailable)
		src.setAway(false)
		time.Sleep(discovery.GracePeriod - 100*time.Millisecond)
		assert.ErrorIs(t, ask(), model.ErrUnavailable)
		time.Sleep(time.Second)
		assert.NilError(t, ask())
	})
}
