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
	saveTimeout  = 5 * time.Second
	minSavePause = 200 * time.Millisecond
	maxSavePause = 30 * time.Second
)

// saved is the value of a key Suspect/<fingerprint>.
type saved struct {
	// ChangeID is unique for each write, so that a writer recognizes its own.
	ChangeID string
	suspect.Entry
}

// save writes an entry to the store until it succeeds or the service closes.
func (s *Service) save(f model.Fingerprint) {
	pause := minSavePause
	for {
		err := s.saveOnce(f)
		if err == nil {
			return
		}
		s.options.Log.Warn("suspect not saved", "fingerprint", f, "error", err)
		if !wait.For(s.ctx, s.options.Clock, pause) {
			return
		}
		pause = min(2*pause, maxSavePause)
	}
}

// saveOnce merges the entry with the one in the store and writes it.
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
	value, err := json.Marshal(saved{ChangeID: uuid.NewString(), Entry: entry})
	if err != nil {
		return err
	}
	_, err = s.options.Store.Put(ctx, key, value, old.Version)
	return err
}

// EntriesChanged takes over entries of the store. Other keys are ignored. The
// owner of an expired entry deletes it.
func (s *Service) EntriesChanged(entries []store.Entry) {
	for _, e := range entries {
		f, ok := strings.CutPrefix(e.Key, s.options.KeyPrefix)
		if !ok {
			continue
		}
		var v saved
		if err := json.Unmarshal(e.Value, &v); err != nil || string(v.Fingerprint) != f {
			s.options.Log.Warn("malformed suspect in the store", "key", e.Key, "error", err)
			continue
		}
		now := s.options.Clock.Now()
		if v.Expired(now) {
			s.remove(e, v.Fingerprint)
			continue
		}
		s.mu.Lock()
		s.ledger.Merge(now, v.Entry)
		s.mu.Unlock()
	}
}

func (s *Service) remove(e store.Entry, f model.Fingerprint) {
	if suspect.Owner(f, append([]string{s.options.Self}, s.options.Peers.Peers()...)) != s.options.Self {
		return
	}
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, saveTimeout)
		defer cancel()
		if err := s.options.Store.Delete(ctx, e.Key, e.Version); err != nil {
			s.options.Log.Warn("expired suspect not deleted", "key", e.Key, "error", err)
		}
	})
}
