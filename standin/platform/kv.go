package platform

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// Behaviors of a session that ended, for the keys it holds.
const (
	behaviorRelease = "release"
	behaviorDelete  = "delete"
)

var errInvalidSession = errors.New("invalid session")

// Entry is a key in the form of the Consul API; Value is base64 in JSON.
type Entry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// Session is a session in the form of the Consul API.
type Session struct {
	ID          string
	Name        string
	Node        string
	LockDelay   time.Duration // nanoseconds in JSON
	Behavior    string
	TTL         string
	CreateIndex uint64
	ModifyIndex uint64
}

type heldSession struct {
	Session
	ttl   time.Duration // 0: does not lapse
	timer clockwork.Timer
	round int // counts the timers, so that one that was replaced has no effect
}

// write is one PUT of a key.
type write struct {
	key     string
	value   []byte
	flags   uint64
	cas     *uint64 // compare with ModifyIndex; 0 must not exist
	acquire string  // session id
	release string  // session id
}

// put applies w and reports whether it took effect.
func (t *tables) put(w write) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries[w.key]
	next := Entry{Key: w.key, Value: w.value, Flags: w.flags}
	if old != nil {
		next.LockIndex, next.CreateIndex, next.Session = old.LockIndex, old.CreateIndex, old.Session
	}
	if w.cas != nil && !matches(old, *w.cas) {
		return false, nil
	}
	if w.acquire != "" {
		if t.sessions[w.acquire] == nil {
			return false, errInvalidSession
		}
		if !t.mayAcquire(old, w) {
			return false, nil
		}
		if next.Session == "" {
			next.LockIndex++
		}
		next.Session = w.acquire
	}
	if w.release != "" {
		if old == nil || old.Session != w.release {
			return false, nil
		}
		next.Session = ""
	}
	t.store(old, next)
	return true, nil
}

func matches(old *Entry, index uint64) bool {
	if old == nil {
		return index == 0
	}
	return index != 0 && old.ModifyIndex == index
}

// mayAcquire checks the holder and the lock delay that follows the end of a
// session. The caller holds t.mu.
func (t *tables) mayAcquire(old *Entry, w write) bool {
	if old != nil && old.Session != "" {
		return old.Session == w.acquire
	}
	until, delayed := t.lockDelays[w.key]
	if delayed && t.clock.Now().Before(until) {
		return false
	}
	delete(t.lockDelays, w.key)
	return true
}

// store writes next. Like Consul, it keeps the index of a key whose content
// does not change. The caller holds t.mu.
func (t *tables) store(old *Entry, next Entry) {
	if old != nil && old.Session == next.Session && old.Flags == next.Flags &&
		old.LockIndex == next.LockIndex && string(old.Value) == string(next.Value) {
		return
	}
	t.kvIndex = t.nextIndex()
	next.ModifyIndex = t.kvIndex
	if old == nil {
		next.CreateIndex = t.kvIndex
	}
	t.entries[next.Key] = &next
	delete(t.tombstones, next.Key)
	t.wake(next.Key)
}

// remove deletes a key, or all keys with the prefix. With cas it takes effect
// only at that index. Deleting a missing key succeeds.
func (t *tables) remove(key string, recurse bool, cas *uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cas != nil {
		old := t.entries[key]
		if old == nil {
			return true
		}
		if !matches(old, *cas) {
			return false
		}
	}
	if !recurse {
		t.removeOne(key)
		return true
	}
	for k := range t.entries {
		if strings.HasPrefix(k, key) {
			t.removeOne(k)
		}
	}
	return true
}

// removeOne deletes a key if it exists. The caller holds t.mu.
func (t *tables) removeOne(key string) {
	if t.entries[key] == nil {
		return
	}
	t.kvIndex = t.nextIndex()
	delete(t.entries, key)
	t.tombstones[key] = t.kvIndex
	t.wake(key)
}

// get returns the entries of a key or prefix in key order, and the index that
// a blocking query compares with.
func (t *tables) get(key string, recurse bool) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !recurse {
		e := t.entries[key]
		if e == nil {
			return nil, max(t.kvIndex, 1)
		}
		return []Entry{*e}, e.ModifyIndex
	}
	var found []Entry
	var index uint64
	for k, e := range t.entries {
		if strings.HasPrefix(k, key) {
			found = append(found, *e)
			index = max(index, e.ModifyIndex)
		}
	}
	if len(found) == 0 {
		return nil, max(t.kvIndex, 1)
	}
	for k, i := range t.tombstones {
		if strings.HasPrefix(k, key) {
			index = max(index, i)
		}
	}
	slices.SortFunc(found, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, index
}

// createSession adds a session and starts its TTL.
func (t *tables) createSession(s Session, ttl time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.ID = uuid.NewString()
	s.CreateIndex = t.nextIndex()
	s.ModifyIndex = s.CreateIndex
	h := &heldSession{Session: s, ttl: ttl}
	t.sessions[s.ID] = h
	t.restart(h)
	return s.ID
}

// renewSession restarts the TTL of a session.
func (t *tables) renewSession(id string) (Session, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.sessions[id]
	if h == nil {
		return Session{}, false
	}
	t.restart(h)
	return h.Session, true
}

// restart replaces the timer. The caller holds t.mu.
func (t *tables) restart(h *heldSession) {
	if h.ttl == 0 {
		return
	}
	if h.timer != nil {
		h.timer.Stop()
	}
	h.round++
	if t.paused {
		return
	}
	round := h.round
	h.timer = t.clock.AfterFunc(h.ttl, func() { t.lapse(h, round) })
}

func (t *tables) lapse(h *heldSession, round int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[h.ID] == h && h.round == round {
		t.counters.Lapsed++
		t.endSession(h)
	}
}

// destroySession ends a session. Its keys are freed as when it lapses.
func (t *tables) destroySession(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.sessions[id]; h != nil {
		if h.timer != nil {
			h.timer.Stop()
		}
		t.endSession(h)
	}
}

// endSession releases or deletes the keys of h. The caller holds t.mu.
func (t *tables) endSession(h *heldSession) {
	delete(t.sessions, h.ID)
	t.nextIndex()
	var held []string
	for k, e := range t.entries {
		if e.Session == h.ID {
			held = append(held, k)
		}
	}
	slices.Sort(held)
	for _, k := range held {
		if h.LockDelay > 0 {
			t.lockDelays[k] = t.clock.Now().Add(h.LockDelay)
		}
		if h.Behavior == behaviorDelete {
			t.removeOne(k)
			continue
		}
		next := *t.entries[k]
		next.Session = ""
		t.store(t.entries[k], next)
	}
}

func (t *tables) session(id string) (Session, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.sessions[id]
	if h == nil {
		return Session{}, false
	}
	return h.Session, true
}

// pause stops the lapse of sessions; resume gives each its full TTL again, as
// a new Consul leader does.
func (t *tables) pause(paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paused == paused {
		return
	}
	t.paused = paused
	for _, h := range t.sessions {
		t.restart(h)
	}
}
