package platform

import (
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Stats counts the calls that the platform answered or is answering.
type Stats struct {
	Reads          int64 // GET of keys and sessions without index
	Writes         int64 // PUT and DELETE of keys, session create and destroy
	Renewals       int64 // session renewals, which are no writes in Consul
	Watches        int64 // GET with index, of keys and of the host list
	PendingWatches int64 // watches that wait now
	CatalogReads   int64 // GET of the host list without index
	Registrations  int64 // register and deregister
	Lapsed         int64 // sessions whose TTL ran out
	BytesWritten   int64 // in values of keys
	BytesRead      int64 // in answers to GET of keys
}

// tables is the state of the platform. It is lost when the process ends.
type tables struct {
	clock clockwork.Clock

	mu         sync.Mutex
	index      uint64 // last index used, shared by all tables
	kvIndex    uint64 // index of the last change of entries
	entries    map[string]*Entry
	tombstones map[string]uint64 // index of the deletion, by key; never reaped
	lockDelays map[string]time.Time
	sessions   map[string]*heldSession
	paused     bool // sessions do not lapse
	catalog    catalog
	waiters    map[*waiter]struct{}
	counters   Stats
}

// waiter is a blocking query.
type waiter struct {
	key    string
	prefix bool
	woken  chan struct{} // has room for one signal
}

func newTables(clock clockwork.Clock) *tables {
	return &tables{
		clock:      clock,
		index:      1,
		entries:    map[string]*Entry{},
		tombstones: map[string]uint64{},
		lockDelays: map[string]time.Time{},
		sessions:   map[string]*heldSession{},
		catalog:    newCatalog(),
		waiters:    map[*waiter]struct{}{},
	}
}

// nextIndex returns a new index. The caller holds t.mu.
func (t *tables) nextIndex() uint64 {
	t.index++
	return t.index
}

// watch registers a blocking query; the function returned ends it.
func (t *tables) watch(key string, prefix bool) (*waiter, func()) {
	w := &waiter{key: key, prefix: prefix, woken: make(chan struct{}, 1)}
	t.mu.Lock()
	t.waiters[w] = struct{}{}
	t.mu.Unlock()
	return w, func() {
		t.mu.Lock()
		delete(t.waiters, w)
		t.mu.Unlock()
	}
}

// wake signals the blocking queries that cover key. The caller holds t.mu.
func (t *tables) wake(key string) {
	for w := range t.waiters {
		if w.key != key && (!w.prefix || !strings.HasPrefix(key, w.key)) {
			continue
		}
		select {
		case w.woken <- struct{}{}:
		default:
		}
	}
}

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
