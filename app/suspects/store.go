package suspects

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"

	"mimosarelay/app/wait"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/core/suspect"
)

const (
	saveTimeout    = 5 * time.Second
	minSaveBackoff = 200 * time.Millisecond
	maxSaveBackoff = 30 * time.Second
)

// storedEntry is the JSON value of a key KeyPrefix + fingerprint in the store.
type storedEntry struct {
	// ChangeID is unique for each write, so that a writer recognizes its own
	// write.
	ChangeID string
	suspect.Entry
}

// save writes an entry to the store and retries until it succeeds or the service
// is closed.
func (s *Service) save(f model.Fingerprint) {
	backoff := minSaveBackoff
	for {
		err := s.saveOnce(f)
		if err == nil {
			return
		}
		s.options.Log.Warn("failed to write the suspect entry to the store", "fingerprint", f, "error", err)
		if !wait.For(s.ctx, s.options.Clock, backoff) {
			return
		}
		backoff = min(2*backoff, maxSaveBackoff)
	}
}

// saveOnce merges the stored entry into the ledger and writes the result.
func (s *Service) saveOnce(f model.Fingerprint) error {
	ctx, cancel := context.WithTimeout(s.ctx, saveTimeout)
	defer cancel()
	key := s.options.KeyPrefix + string(f)
	old, err := s.options.Store.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		old = store.Entry{}
	case err != nil:
		return err
	default:
		s.EntriesChanged([]store.Entry{old})
	}
	s.mu.Lock()
	entry := s.ledger.Get(f)
	s.mu.Unlock()
	value, err := json.Marshal(storedEntry{ChangeID: uuid.NewString(), Entry: entry})
	if err != nil {
		return err
	}
	_, err = s.options.Store.Put(ctx, key, value, old.Version)
	return err
}

// EntriesChanged merges entries of the store into the ledger. It ignores keys
// without KeyPrefix. An expired entry is deleted by the owner of the request.
func (s *Service) EntriesChanged(entries []store.Entry) {
	for _, e := range entries {
		f, ok := strings.CutPrefix(e.Key, s.options.KeyPrefix)
		if !ok {
			continue
		}
		var v storedEntry
		if err := json.Unmarshal(e.Value, &v); err != nil || string(v.Fingerprint) != f {
			s.options.Log.Warn("ignored a malformed suspect entry in the store", "key", e.Key, "error", err)
			continue
		}
		now := s.options.Clock.Now()
		if v.Expired(now) {
			s.deleteExpired(e, v.Fingerprint)
			continue
		}
		s.mu.Lock()
		s.ledger.Merge(now, v.Entry)
		s.mu.Unlock()
	}
}

// deleteExpired deletes an entry from the store in the background if this host
// owns the request.
func (s *Service) deleteExpired(e store.Entry, f model.Fingerprint) {
	if suspect.Owner(f, append([]string{s.options.Self}, s.options.Peers.Peers()...)) != s.options.Self {
		return
	}
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, saveTimeout)
		defer cancel()
		if err := s.options.Store.Delete(ctx, e.Key, e.Version); err != nil {
			s.options.Log.Warn("failed to delete an expired suspect entry from the store", "key", e.Key, "error", err)
		}
	})
}
