package platform

import (
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Stats counts requests by kind, including those in progress.
type Stats struct {
	Reads          int64 // GET of keys without index, and of sessions
	Writes         int64 // PUT and DELETE of keys, creation and destruction of sessions
	Renewals       int64 // session renewals, which are not writes in Consul
	Watches        int64 // GET of keys or of the catalog with index
	PendingWatches int64 // queries in progress, blocking or not
	CatalogReads   int64 // GET of the catalog without index
	Registrations  int64 // registrations and deregistrations of services
	Lapsed         int64 // sessions that expired
	BytesWritten   int64 // size of the values in PUT of keys, also of those that had no effect
	BytesRead      int64 // size of the responses to GET of keys
}

// tables holds the state of the stand-in: keys, sessions and catalog. It is lost
// when the process ends.
type tables struct {
	clock clockwork.Clock

	mu           sync.Mutex
	index        uint64 // last index that was assigned, shared by all tables
	kvIndex      uint64 // index of the last change of a key
	entries      map[string]*Entry
	tombstones   map[string]uint64    // index of the deletion, by key; never reaped
	lockDelays   map[string]time.Time // end of the lock delay, by key
	sessions     map[string]*sessionState
	expiryPaused bool // sessions do not expire
	catalog      catalog
	waiters      map[*waiter]struct{}
	counters     Stats
}

// waiter is a query that is notified of changes of a key or prefix.
type waiter struct {
	key     string
	prefix  bool
	changed chan struct{} // buffered; holds at most one notification
}

func newTables(clock clockwork.Clock) *tables {
	return &tables{
		clock:      clock,
		index:      1,
		entries:    map[string]*Entry{},
		tombstones: map[string]uint64{},
		lockDelays: map[string]time.Time{},
		sessions:   map[string]*sessionState{},
		catalog:    newCatalog(),
		waiters:    map[*waiter]struct{}{},
	}
}

// nextIndex assigns a new index. The caller holds t.mu.
func (t *tables) nextIndex() uint64 {
	t.index++
	return t.index
}

// watch registers a waiter. The returned function removes it.
func (t *tables) watch(key string, prefix bool) (*waiter, func()) {
	w := &waiter{key: key, prefix: prefix, changed: make(chan struct{}, 1)}
	t.mu.Lock()
	t.waiters[w] = struct{}{}
	t.mu.Unlock()
	return w, func() {
		t.mu.Lock()
		delete(t.waiters, w)
		t.mu.Unlock()
	}
}

// notifyWaiters notifies the waiters whose key or prefix covers key. The caller
// holds t.mu.
func (t *tables) notifyWaiters(key string) {
	for w := range t.waiters {
		if w.key != key && (!w.prefix || !strings.HasPrefix(key, w.key)) {
			continue
		}
		select {
		case w.changed <- struct{}{}:
		default:
		}
	}
}

// count updates the counters.
func (t *tables) count(f func(*Stats)) {
	t.mu.Lock()
	f(&t.counters)
	t.mu.Unlock()
}

func (t *tables) stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.counters
	s.PendingWatches = int64(len(t.waiters))
	return s
}
