// Package memstore is an in-memory store.Store with fault injection for tests.
// A Store takes the place of the platform's store. Faults are set for all
// clients or for each client separately.
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

// Store holds the state that all clients share.
type Store struct {
	clock clockwork.Clock

	mu      sync.Mutex
	version store.Version
	entries map[string]store.Entry
	// lastChanges holds the version of the last change of each key. It includes
	// deleted keys, so that a watch detects deletions.
	lastChanges map[string]store.Version
	leases      map[store.LeaseID]*lease
	changed     chan struct{} // closed and replaced at each change
	down        bool
}

type lease struct {
	key     string
	ttl     time.Duration
	expires time.Time
	timer   clockwork.Timer
}

// New returns an empty store. Leases lapse according to clock.
func New(clock clockwork.Clock) *Store {
	return &Store{
		clock:       clock,
		version:     1, // a watch needs a version above 0 to start from
		entries:     map[string]store.Entry{},
		lastChanges: map[string]store.Version{},
		leases:      map[store.LeaseID]*lease{},
		changed:     make(chan struct{}),
	}
}

// NewClient returns a client without faults. name identifies it in errors.
func (s *Store) NewClient(name string) *Client {
	return &Client{store: s, name: name, faultsChanged: make(chan struct{})}
}

// SetDown sets whether the store is unavailable for every client. Leases keep
// lapsing meanwhile.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyLocked()
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *Store) get(key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{}, fmt.Errorf("get %q: %w", key, store.ErrNotFound)
	}
	return clone(e), nil
}

func (s *Store) list(prefix string) ([]store.Entry, store.Version, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	var entries []store.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			entries = append(entries, clone(e))
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	latest := store.Version(1)
	for k, v := range s.lastChanges {
		if strings.HasPrefix(k, prefix) {
			latest = max(latest, v)
		}
	}
	return entries, latest, s.changed
}

func (s *Store) put(key string, value []byte, prev store.Version) (store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	old := s.entries[key]
	if old.Version != prev {
		return 0, fmt.Errorf("put %q: version %d, expected %d: %w", key, old.Version, prev, store.ErrConflict)
	}
	return s.setLocked(key, value, old.Holder), nil
}

func (s *Store) deleteKey(key string, prev store.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	old, ok := s.entries[key]
	if !ok {
		return nil
	}
	if old.Version != prev {
		return fmt.Errorf("delete %q: version %d, expected %d: %w", key, old.Version, prev, store.ErrConflict)
	}
	s.removeLocked(key)
	return nil
}

func (s *Store) hold(key string, value []byte, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if holder := s.entries[key].Holder; holder != "" {
		return "", fmt.Errorf("hold %q: held by lease %s: %w", key, holder, store.ErrConflict)
	}
	id := store.LeaseID(uuid.NewString())
	l := &lease{key: key, ttl: ttl, expires: s.clock.Now().Add(ttl)}
	l.timer = s.clock.AfterFunc(ttl, s.expireLeases)
	s.leases[id] = l
	s.setLocked(key, value, id)
	return id, nil
}

func (s *Store) renew(id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	l, ok := s.leases[id]
	if !ok {
		return fmt.Errorf("renew lease %s: %w", id, store.ErrLeaseLapsed)
	}
	l.expires = s.clock.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

func (s *Store) release(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	s.endLeaseLocked(id)
}

func (s *Store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
}

// expireLocked ends all leases whose TTL has passed. The caller must hold mu.
func (s *Store) expireLocked() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLeaseLocked(id)
		}
	}
}

// endLeaseLocked removes a lease and deletes its key. The caller must hold mu.
func (s *Store) endLeaseLocked(id store.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	if s.entries[l.key].Holder == id {
		s.removeLocked(l.key)
	}
}

// setLocked writes a key and returns its new version. The caller must hold mu.
func (s *Store) setLocked(key string, value []byte, holder store.LeaseID) store.Version {
	s.version++
	s.entries[key] = clone(store.Entry{Key: key, Value: value, Version: s.version, Holder: holder})
	s.lastChanges[key] = s.version
	s.notifyLocked()
	return s.version
}

// removeLocked deletes a key. The caller must hold mu.
func (s *Store) removeLocked(key string) {
	s.version++
	delete(s.entries, key)
	s.lastChanges[key] = s.version
	s.notifyLocked()
}

// notifyLocked makes all watches check for changes. The caller must hold mu.
func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// clone copies the value of an entry, so that callers do not share bytes with the
// store.
func clone(e store.Entry) store.Entry {
	e.Value = append([]byte(nil), e.Value...)
	return e
}
