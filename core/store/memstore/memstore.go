// Package memstore is an in-memory store.Store with fault switches for tests.
// One Store stands for the platform's service; each client has its own faults.
package memstore

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"mimosarelay/core/store"
)

// Store is the shared state behind all clients.
type Store struct {
	clock clockwork.Clock

	mu      sync.Mutex
	index   store.Version
	entries map[string]store.Entry
	// touched holds the version of the last change of each key, including
	// removed keys, so that a watch sees removals.
	touched map[string]store.Version
	leases  map[store.LeaseID]*lease
	changed chan struct{} // closed and replaced at each change
	down    bool
}

type lease struct {
	key     string
	ttl     time.Duration
	expires time.Time
	timer   clockwork.Timer
}

// New returns an empty store whose leases lapse by clock.
func New(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		index:   1, // a blocking query needs an index above 0
		entries: map[string]store.Entry{},
		touched: map[string]store.Version{},
		leases:  map[store.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

// NewClient returns a client without faults. name appears in its errors.
func (s *Store) NewClient(name string) *Client {
	return &Client{store: s, name: name, faultsChanged: make(chan struct{})}
}

// SetDown makes the store unavailable for every client. Leases go on lapsing
// meanwhile.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *Store) get(key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{}, fmt.Errorf("get %q: %w", key, store.ErrNotFound)
	}
	return clone(e), nil
}

func (s *Store) list(prefix string) ([]store.Entry, store.Version, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var entries []store.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			entries = append(entries, clone(e))
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	last := store.Version(1)
	for k, v := range s.touched {
		if strings.HasPrefix(k, prefix) {
			last = max(last, v)
		}
	}
	return entries, last, s.changed
}

func (s *Store) put(key string, value []byte, prev store.Version) (store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	old := s.entries[key]
	if old.Version != prev {
		return 0, fmt.Errorf("put %q: version %d, expected %d: %w", key, old.Version, prev, store.ErrConflict)
	}
	return s.set(key, value, old.Holder), nil
}

func (s *Store) delete(key string, prev store.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	old, ok := s.entries[key]
	if !ok {
		return nil
	}
	if old.Version != prev {
		return fmt.Errorf("delete %q: version %d, expected %d: %w", key, old.Version, prev, store.ErrConflict)
	}
	s.remove(key)
	return nil
}

func (s *Store) hold(key string, value []byte, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if holder := s.entries[key].Holder; holder != "" {
		return "", fmt.Errorf("hold %q: held by lease %s: %w", key, holder, store.ErrConflict)
	}
	id := store.LeaseID(uuid.NewString())
	l := &lease{key: key, ttl: ttl, expires: s.clock.Now().Add(ttl)}
	l.timer = s.clock.AfterFunc(ttl, s.expireNow)
	s.leases[id] = l
	s.set(key, value, id)
	return id, nil
}

func (s *Store) renew(id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return fmt.Errorf("renew %s: %w", id, store.ErrLeaseLapsed)
	}
	l.expires = s.clock.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

func (s *Store) release(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.end(id)
}

func (s *Store) expireNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

// expire ends all leases whose time has passed. mu is held.
func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.end(id)
		}
	}
}

// end drops a lease and its key. mu is held.
func (s *Store) end(id store.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	if s.entries[l.key].Holder == id {
		s.remove(l.key)
	}
}

// set writes a key. mu is held.
func (s *Store) set(key string, value []byte, holder store.LeaseID) store.Version {
	s.index++
	s.entries[key] = clone(store.Entry{Key: key, Value: value, Version: s.index, Holder: holder})
	s.touched[key] = s.index
	s.wake()
	return s.index
}

// remove deletes a key. mu is held.
func (s *Store) remove(key string) {
	s.index++
	delete(s.entries, key)
	s.touched[key] = s.index
	s.wake()
}

// wake lets all watches look again. mu is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// clone keeps callers from changing stored bytes.
func clone(e store.Entry) store.Entry {
	e.Value = append([]byte(nil), e.Value...)
	return e
}
