package platform

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// Session behaviors: what happens to the keys a session holds when it ends.
const (
	behaviorRelease = "release"
	behaviorDelete  = "delete"
)

var errInvalidSession = errors.New("invalid session")

// Entry is a key-value pair as in the Consul API. Value is base64 in JSON.
type Entry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// Session is a session as in the Consul API.
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

// sessionState is an open session and its expiry timer.
type sessionState struct {
	Session
	ttl             time.Duration // 0: does not expire
	timer           clockwork.Timer
	timerGeneration int // incremented with each timer, so that a replaced timer has no effect
}

// putRequest is one PUT of a key.
type putRequest struct {
	key     string
	value   []byte
	flags   uint64
	cas     *uint64 // expected ModifyIndex; 0: the key must not exist
	acquire string  // session id
	release string  // session id
}

// put applies r and reports whether the key was written.
func (t *tables) put(r putRequest) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries[r.key]
	next := Entry{Key: r.key, Value: r.value, Flags: r.flags}
	if old != nil {
		next.LockIndex, next.CreateIndex, next.Session = old.LockIndex, old.CreateIndex, old.Session
	}
	if r.cas != nil && !matchesIndex(old, *r.cas) {
		return false, nil
	}
	if r.acquire != "" {
		if t.sessions[r.acquire] == nil {
			return false, errInvalidSession
		}
		if !t.canAcquire(old, r) {
			return false, nil
		}
		if next.Session == "" {
			next.LockIndex++
		}
		next.Session = r.acquire
	}
	if r.release != "" {
		if old == nil || old.Session != r.release {
			return false, nil
		}
		next.Session = ""
	}
	t.storeEntry(old, next)
	return true, nil
}

// matchesIndex reports whether index is the ModifyIndex of old, or 0 if there is
// no entry.
func matchesIndex(old *Entry, index uint64) bool {
	if old == nil {
		return index == 0
	}
	return index != 0 && old.ModifyIndex == index
}

// canAcquire reports whether a session may lock a key: no other session holds it,
// and the lock delay after the end of the last holder has passed. The caller
// holds t.mu.
func (t *tables) canAcquire(old *Entry, r putRequest) bool {
	if old != nil && old.Session != "" {
		return old.Session == r.acquire
	}
	until, delayed := t.lockDelays[r.key]
	if delayed && t.clock.Now().Before(until) {
		return false
	}
	delete(t.lockDelays, r.key)
	return true
}

// storeEntry writes next. Like Consul, it does not raise the ModifyIndex if the
// content is unchanged. The caller holds t.mu.
func (t *tables) storeEntry(old *Entry, next Entry) {
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
	t.notifyWaiters(next.Key)
}

// remove deletes a key, or with recurse all keys with that prefix. With cas it
// deletes only a key with that ModifyIndex. Deleting a missing key succeeds.
func (t *tables) remove(key string, recurse bool, cas *uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cas != nil {
		old := t.entries[key]
		if old == nil {
			return true
		}
		if !matchesIndex(old, *cas) {
			return false
		}
	}
	if !recurse {
		t.removeKey(key)
		return true
	}
	for k := range t.entries {
		if strings.HasPrefix(k, key) {
			t.removeKey(k)
		}
	}
	return true
}

// removeKey deletes a key if it exists and leaves a tombstone. The caller holds
// t.mu.
func (t *tables) removeKey(key string) {
	if t.entries[key] == nil {
		return
	}
	t.kvIndex = t.nextIndex()
	delete(t.entries, key)
	t.tombstones[key] = t.kvIndex
	t.notifyWaiters(key)
}

// get returns the entry of a key, or with recurse the entries with that prefix in
// key order, and the index that a blocking query compares with.
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
	st := &sessionState{Session: s, ttl: ttl}
	t.sessions[s.ID] = st
	t.resetTimer(st)
	return s.ID
}

// renewSession restarts the TTL of a session.
func (t *tables) renewSession(id string) (Session, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.sessions[id]
	if st == nil {
		return Session{}, false
	}
	t.resetTimer(st)
	return st.Session, true
}

// resetTimer restarts the expiry timer of a session, or only stops it while
// expiry is paused. The caller holds t.mu.
func (t *tables) resetTimer(st *sessionState) {
	if st.ttl == 0 {
		return
	}
	if st.timer != nil {
		st.timer.Stop()
	}
	st.timerGeneration++
	if t.expiryPaused {
		return
	}
	generation := st.timerGeneration
	st.timer = t.clock.AfterFunc(st.ttl, func() { t.expireSession(st, generation) })
}

// expireSession ends a session whose TTL has run out, unless its timer was
// replaced meanwhile.
func (t *tables) expireSession(st *sessionState, generation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[st.ID] == st && st.timerGeneration == generation {
		t.counters.Lapsed++
		t.endSession(st)
	}
}

// destroySession ends a session. Its keys are released or deleted as when it
// expires.
func (t *tables) destroySession(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := t.sessions[id]; st != nil {
		if st.timer != nil {
			st.timer.Stop()
		}
		t.endSession(st)
	}
}

// endSession removes st, releases or deletes its keys as its behavior says, and
// starts their lock delay. The caller holds t.mu.
func (t *tables) endSession(st *sessionState) {
	delete(t.sessions, st.ID)
	t.nextIndex()
	var held []string
	for k, e := range t.entries {
		if e.Session == st.ID {
			held = append(held, k)
		}
	}
	slices.Sort(held)
	for _, k := range held {
		if st.LockDelay > 0 {
			t.lockDelays[k] = t.clock.Now().Add(st.LockDelay)
		}
		if st.Behavior == behaviorDelete {
			t.removeKey(k)
			continue
		}
		next := *t.entries[k]
		next.Session = ""
		t.storeEntry(t.entries[k], next)
	}
}

func (t *tables) session(id string) (Session, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.sessions[id]
	if st == nil {
		return Session{}, false
	}
	return st.Session, true
}

// setExpiryPaused suspends or resumes the expiry of sessions. On resume each
// session gets its full TTL again, as after a leader change in Consul.
func (t *tables) setExpiryPaused(paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expiryPaused == paused {
		return
	}
	t.expiryPaused = paused
	for _, st := range t.sessions {
		t.resetTimer(st)
	}
}
