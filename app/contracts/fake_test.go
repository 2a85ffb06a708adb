package contracts

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	store.Store // panics on methods that the package does not use

	mu      sync.Mutex
	entries map[string]store.Entry
	last    store.Version
	down    bool
	// onPut runs before a write to the configuration key, without the lock.
	onPut func()
	// putFault makes writes of the configuration fail with an unknown outcome:
	// writtenAnswerLost writes first, requestLost does not write, and
	// writtenStoreDown writes and then makes the store unavailable.
	putFault string
	// stale, if set, is returned by reads of the configuration.
	stale *store.Entry
}

const (
	writtenAnswerLost = "lost answer"
	requestLost       = "lost request"
	writtenStoreDown  = "down after"
)

func newStore() *fakeStore { return &fakeStore{entries: map[string]store.Entry{}} }

func (f *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.Entry{}, store.ErrUnavailable
	}
	if f.stale != nil && key == DefaultConfigKey {
		return *f.stale, nil
	}
	e, ok := f.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]store.Entry, store.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, store.ErrUnavailable
	}
	var list []store.Entry
	for k, e := range f.entries {
		if strings.HasPrefix(k, prefix) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, f.last, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	if key == DefaultConfigKey && f.onPut != nil {
		f.onPut()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := ""
	if key == DefaultConfigKey {
		fault = f.putFault
	}
	switch {
	case f.down:
		return 0, store.ErrUnavailable
	case fault == requestLost:
		return 0, store.ErrUnknown
	case f.entries[key].Version != prev:
		return 0, store.ErrConflict
	}
	f.last++
	f.entries[key] = store.Entry{Key: key, Value: value, Version: f.last}
	if fault != "" {
		f.down = fault == writtenStoreDown
		return 0, store.ErrUnknown
	}
	return f.last, nil
}

func (f *fakeStore) Delete(_ context.Context, key string, prev store.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entries[key].Version != prev {
		return store.ErrConflict
	}
	delete(f.entries, key)
	return nil
}

// config returns the entry of the configuration.
func (f *fakeStore) config() store.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[DefaultConfigKey]
}

// locked calls change with the lock held.
func (f *fakeStore) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// fakePeers routes requests to services by address.
type fakePeers map[string]*Service

func (p fakePeers) GetConfig(ctx context.Context, address string, request *peerpb.GetConfigRequest) (*peerpb.GetConfigResponse, error) {
	s, ok := p[address]
	if !ok {
		return nil, errors.New("connection refused")
	}
	return s.HandleGetConfig(ctx, request)
}

func newService(f *fakeStore, change ...func(*Options)) *Service {
	o := Options{
		Host: "h1", Store: f, Peers: fakePeers{},
		Clock: clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)),
		Log:   slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	for _, c := range change {
		c(&o)
	}
	return New(o)
}

// document returns the YAML of a configuration with the rate.
func document(rate int) []byte {
	return fmt.Appendf(nil, "Workspaces:\n- Name: w\n  Rate: %d\n  Burst: 9\n  Budget: {Tokens: 9, Calls: 9, Lifetime: 1h}\nTargets: []\n", rate)
}

// revision returns the YAML of a configuration with a revision and the rate.
func revision(r model.Revision, rate int) []byte {
	return append(fmt.Appendf(nil, "Revision: %d\n", r), document(rate)...)
}

func rate(s *Service) float64 {
	w, _ := s.Current().Workspace("w")
	return w.Rate
}

func apply(t *testing.T, s *Service, rate int, base model.Revision) {
	t.Helper()
	if _, err := s.Apply(t.Context(), document(rate), base); err != nil {
		t.Fatal(err)
	}
}
