package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is one key of the platform's store, as PROTOCOL.md describes it.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision"`
	Lease          uint64 `json:"lease"`
}

type event struct {
	item
	Tombstone bool
}

func (e event) MarshalJSON() ([]byte, error) {
	if e.Tombstone {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "tombstone": true})
	}
	return json.Marshal(e.item)
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store. Each machine reaches it through a door of
// its own, so that the store can turn single machines away.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []event
	revision uint64
	leases   map[uint64]*storeLease
	next     uint64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{items: map[string]item{}, revision: 100, leases: map[uint64]*storeLease{}, next: 1000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.write(nil, keys)
	}
}

// write applies one change. mu is held.
func (s *store) write(puts []item, remove []string) {
	s.revision++
	for _, p := range puts {
		p.Revision, p.CreateRevision = s.revision, s.revision
		if old, ok := s.items[p.Key]; ok {
			p.CreateRevision = old.CreateRevision
		}
		s.items[p.Key] = p
		s.history = append(s.history, event{item: p})
	}
	for _, k := range remove {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, event{item: item{Key: k, Revision: s.revision}, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a server does, and returns when the store has
// accepted it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]item{{Key: key, Value: data}}, nil)
	return time.Now()
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

// door is the address of the store for one machine.
type door struct {
	store   *store
	address string
	away    atomic.Bool // the store answers this machine 429
}

func (s *store) open(address string) *door {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen for the store: %v", err)
	}
	d := &door{store: s, address: l.Addr().String()}
	go func() { _ = (&http.Server{Handler: d}).Serve(l) }()
	return d
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.away.Load() {
		reply(w, http.StatusTooManyRequests, map[string]string{"error": "many"})
		return
	}
	time.Sleep(2 * time.Millisecond)
	s, q, path := d.store, r.URL.Query(), r.URL.Path
	body, _ := io.ReadAll(r.Body)
	switch {
	case path == "/v1/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		rev := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"current_rev": rev})
			return
		}
		reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "create_revision": it.CreateRevision, "lease": it.Lease, "current_rev": rev})
	case path == "/v1/kv-range":
		s.mu.Lock()
		list := []item{}
		for k, it := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				list = append(list, it)
			}
		}
		rev := s.revision
		s.mu.Unlock()
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		truncated := len(list) > 500
		if truncated {
			list = list[:500]
		}
		reply(w, http.StatusOK, map[string]any{"items": list, "truncated": truncated, "current_rev": rev})
	case path == "/v1/kv-watch":
		d.watch(w, r, q.Get("prefix"), number(q.Get("after")), time.Duration(number(q.Get("wait_ms")))*time.Millisecond)
	case path == "/v1/kv-txn":
		d.transact(w, body)
	case path == "/v1/kv-lease":
		var m struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.Unmarshal(body, &m)
		s.mu.Lock()
		s.next++
		id, ttl := s.next, time.Duration(max(1000, m.TTL))*time.Millisecond
		s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		s.mu.Lock()
		l, ok := s.leases[number(strings.TrimPrefix(path, "/v1/kv-keep/"))]
		if ok {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		s.mu.Lock()
		s.endLease(number(strings.TrimPrefix(path, "/v1/kv-lease-end/")))
		s.mu.Unlock()
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func (d *door) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	s, end := d.store, time.After(wait)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if d.away.Load() {
			panic(http.ErrAbortHandler) // a watch that waits may be cut
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
	}
}

func (d *door) transact(w http.ResponseWriter, body []byte) {
	var t struct {
		Expect []item   `json:"expect"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.Unmarshal(body, &t); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s := d.store
	s.mu.Lock()
	defer s.mu.Unlock()
	forbidden := func(k string) bool { return strings.HasPrefix(k, "op/") || strings.HasPrefix(k, "servers/") }
	for _, p := range t.Puts {
		if forbidden(p.Key) {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	now := []item{}
	holds := true
	for _, e := range t.Expect {
		now = append(now, s.items[e.Key])
		holds = holds && s.items[e.Key].Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	s.write(t.Puts, t.Remove)
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
