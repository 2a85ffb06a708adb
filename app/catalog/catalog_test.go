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
	"mimosarelay/core/evidence"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// source is a catalog.Source with one configuration and one target.
type source struct {
	mu          sync.Mutex
	document    *ingress.Document
	revision    uint64
	unavailable bool
	reads       int // of the configuration
	changed     chan struct{}
	moreTargets []ingress.Target // beside t
}

func (s *source) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *source) set(version model.Revision, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document = &ingress.Document{Revision: version, Workspaces: []config.Workspace{{Name: model.WorkspaceID(workspace)}}}
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) ReadConfiguration(_ context.Context, known uint64) (ingress.StoredDocument, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unavailable {
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
	if s.unavailable {
		return ingress.WatchResult{}, store.ErrUnavailable
	}
	return ingress.WatchResult{StoreRevision: s.revision, Changed: s.revision > after}, nil
}

func (s *source) ReadTargets(context.Context, time.Duration) (ingress.TargetList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return ingress.TargetList{}, store.ErrUnavailable
	}
	return ingress.TargetList{Targets: append([]ingress.Target{{ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: 1}}, s.moreTargets...)}, nil
}

// Guards against targets that are gone and that a keeper tells to other hosts after an
// outage, between the end of the grace period and its next read of the targets.
func TestKeptTargetsAreNotToldToOtherHosts(t *testing.T) {
	run(t, func(t *testing.T, src *source, s *catalog.Service) {
		set := func(unavailable bool, more ...ingress.Target) {
			src.mu.Lock()
			defer src.mu.Unlock()
			src.unavailable, src.moreTargets = unavailable, more
		}
		set(false, ingress.Target{ID: "gone", Service: "s", Address: "10.0.0.2:80", Slots: 1})
		time.Sleep(2 * time.Second)
		set(true)
		time.Sleep(2 * time.Second)
		set(false)
		time.Sleep(500 * time.Millisecond) // a read succeeds
		told := 0
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			res, err := s.HandleTargets(t.Context(), &peerpb.TargetsRequest{})
			if err != nil {
				continue
			}
			told++
			assert.Equal(t, len(res.GetTargets()), 1, "%v", res.GetTargets())
		}
		assert.Assert(t, told > 0)
	})
}

const (
	lifetime        = 4 * time.Second
	finalRefusalAge = 500 * time.Millisecond
)

// run runs a test in a synctest bubble, with a started service.
func run(t *testing.T, test func(t *testing.T, src *source, s *catalog.Service)) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{changed: make(chan struct{})}
		src.set(1, "first")
		s := catalog.New(catalog.Options{
			Source: src, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Lifetime: evidence.MaxAge(lifetime), FinalRefusalAge: evidence.MaxAge(finalRefusalAge),
		})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = s.Run(ctx) }()
		time.Sleep(10 * time.Millisecond)
		test(t, src, s)
		stop()
		<-done
	})
}

// Guards against requests that are served with a configuration that may have
// changed during an outage of the store, and against a host that does not serve
// again after the outage.
func TestViewFailsOnceConfirmationIsTooOld(t *testing.T) {
	run(t, func(t *testing.T, src *source, s *catalog.Service) {
		time.Sleep(time.Minute)
		_, err := s.View()
		assert.NilError(t, err)
		assert.Assert(t, s.Age() <= 2*time.Second+100*time.Millisecond, "the confirmation is %v old while the store answers", s.Age())

		src.setUnavailable(true)
		src.set(2, "second")
		time.Sleep(lifetime + 100*time.Millisecond)
		_, err = s.View()
		assert.ErrorIs(t, err, model.ErrUnavailable)
		assert.ErrorContains(t, err, "last confirmed configuration 1")

		src.setUnavailable(false)
		time.Sleep(time.Second)
		v, err := s.View()
		assert.NilError(t, err)
		assert.Equal(t, v.Revision(), model.Revision(2))
	})
}

// Guards against a change that is applied late, and against a host that returns to
// an older revision.
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

// Guards against requests to targets that have left: a host that saw no outage of
// the store would get targets that another host keeps after an outage.
func TestTargetsKeptAfterOutageAreNotServedToPeers(t *testing.T) {
	run(t, func(t *testing.T, src *source, s *catalog.Service) {
		fetch := func() error {
			_, err := s.HandleTargets(t.Context(), &peerpb.TargetsRequest{})
			return err
		}
		time.Sleep(time.Second)
		assert.NilError(t, fetch())
		src.setUnavailable(true)
		time.Sleep(time.Second)
		assert.ErrorIs(t, fetch(), model.ErrUnavailable)
		src.setUnavailable(false)
		time.Sleep(discovery.GracePeriod - 100*time.Millisecond)
		assert.ErrorIs(t, fetch(), model.ErrUnavailable)
		time.Sleep(time.Second)
		assert.NilError(t, fetch())
	})
}

// Guards against final refusals with an old configuration, and against a read for each of them.
func TestFinalRefusalNeedsRecentConfirmation(t *testing.T) {
	run(t, func(t *testing.T, src *source, s *catalog.Service) {
		time.Sleep(finalRefusalAge + 100*time.Millisecond)
		before := src.readCount()
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { assert.Check(t, s.Confirm(t.Context())) })
		}
		wg.Wait()
		assert.Equal(t, src.readCount(), before+1)
		assert.Assert(t, s.Age() <= finalRefusalAge, "%v", s.Age())

		src.setUnavailable(true)
		time.Sleep(finalRefusalAge + 100*time.Millisecond)
		_, err := s.View()
		assert.NilError(t, err)
		assert.ErrorIs(t, s.Confirm(t.Context()), model.ErrUnavailable)
	})
}

// Guards against a keeper that relays a confirmation older than the host asked for.
func TestKeeperAsksStoreForRecentConfirmation(t *testing.T) {
	run(t, func(t *testing.T, src *source, s *catalog.Service) {
		const maxAge = 300 * time.Millisecond
		request := &peerpb.ConfigurationRequest{MaxAgeUs: maxAge.Microseconds()}
		time.Sleep(maxAge + 100*time.Millisecond)
		before := src.readCount()
		res, err := s.HandleConfiguration(t.Context(), request)
		assert.NilError(t, err)
		assert.Equal(t, src.readCount(), before+1)
		assert.Assert(t, res.GetAgeUs() <= maxAge.Microseconds(), "%d µs", res.GetAgeUs())

		src.setUnavailable(true)
		time.Sleep(maxAge + 100*time.Millisecond)
		_, err = s.HandleConfiguration(t.Context(), request)
		assert.ErrorIs(t, err, model.ErrUnavailable)
	})
}
