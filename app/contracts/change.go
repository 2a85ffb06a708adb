package contracts

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

const (
	// applyAttempts bounds the reads after a conflict that names no newer
	// revision, which happens while the store answers with an older value.
	applyAttempts = 5
	// keyAttempts bounds the retries of Grant and Withdraw. Each lost race
	// means that another change succeeded.
	keyAttempts = 20
	// changeMark starts the first line of a stored document. The line holds
	// a unique id, by which a lost answer of the store is resolved.
	changeMark = "# change "
)

// stored is the document in the store. Version 0 means that there is none.
type stored struct {
	document *config.Document
	raw      []byte
	version  store.Version
}

// read returns the document in the store.
func (s *Service) read(ctx context.Context) (stored, error) {
	e, err := s.o.Store.Get(ctx, s.o.ConfigKey)
	if errors.Is(err, store.ErrNotFound) {
		return stored{document: &config.Document{}}, nil
	}
	if err != nil {
		return stored{}, fmt.Errorf("reading configuration from the store: %w", err)
	}
	d, err := config.Parse(e.Value, s.o.ConfigKey)
	if err != nil {
		return stored{}, err
	}
	return stored{document: d, raw: e.Value, version: e.Version}, nil
}

// Apply replaces the document that has revision base and returns the new
// revision. The change is accepted if the error is nil, certainly not
// accepted on other errors, and in doubt on ErrUnknownOutcome.
func (s *Service) Apply(ctx context.Context, document []byte, base model.Revision) (model.Revision, error) {
	d, err := config.Parse(document, "document")
	if err != nil {
		return 0, err
	}
	if d.Revision != 0 && d.Revision != base {
		return 0, fmt.Errorf("%w: the document was edited from revision %d, but the change names base %d", model.ErrBadRequest, d.Revision, base)
	}
	for range applyAttempts {
		now, err := s.read(ctx)
		if err != nil {
			return 0, err
		}
		// This host may know a newer revision than a store that lags.
		known := max(now.document.Revision, s.Revision())
		if known != base {
			return 0, &ConflictError{Base: base, Current: known}
		}
		r, err := s.replace(ctx, now, d, known+1)
		if !errors.Is(err, store.ErrConflict) {
			return r, err
		}
	}
	return 0, fmt.Errorf("%w: the store keeps answering with an old configuration", model.ErrUnavailable)
}

// replace writes the document as the given revision. store.ErrConflict means
// that the store has changed since it was read.
func (s *Service) replace(ctx context.Context, now stored, d *config.Document, r model.Revision) (model.Revision, error) {
	d = d.Clone()
	d.Revision = r
	text, err := config.Marshal(d)
	if err != nil {
		return 0, err
	}
	raw := append([]byte(changeMark+uuid.NewString()+" "+s.o.Clock.Now().UTC().Format(time.RFC3339)+"\n"), text...)
	if len(raw) > store.MaxValue {
		return 0, fmt.Errorf("%w: configuration has %d bytes; the store accepts %d", model.ErrTooLarge, len(raw), store.MaxValue)
	}
	// A process that dies between the two writes of an earlier change leaves
	// a gap in the history, which is filled here.
	if now.version != 0 {
		if err := s.archive(ctx, now.document.Revision, now.raw); err != nil {
			return 0, fmt.Errorf("configuration not accepted: %w", err)
		}
	}
	_, err = s.o.Store.Put(ctx, s.o.ConfigKey, raw, now.version)
	if errors.Is(err, store.ErrUnknown) {
		err = s.resolve(ctx, raw, r)
	}
	if err != nil {
		return 0, wrapPut(err)
	}
	s.accepted(ctx, raw, r)
	return r, nil
}

// wrapPut adds what an operator needs to know to an error of a write.
func wrapPut(err error) error {
	var conflict *ConflictError
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, ErrUnknownOutcome), errors.As(err, &conflict):
		return err
	case errors.Is(err, store.ErrUnavailable):
		return fmt.Errorf("configuration not accepted: %w", err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

// accepted takes the new document over and records it in the history. Errors
// are logged, because the change itself is certain.
func (s *Service) accepted(ctx context.Context, raw []byte, r model.Revision) {
	if err := s.Offer(r, raw); err != nil && !errors.Is(err, ErrOldRevision) {
		s.o.Log.Error("accepted configuration not applied", "revision", r, "error", err)
	}
	if err := s.archive(ctx, r, raw); err != nil {
		s.o.Log.Warn("configuration not recorded in the history", "revision", r, "error", err)
	}
	if r > s.o.HistoryLimit {
		s.trim(ctx, r-s.o.HistoryLimit)
	}
}

// resolve finds out whether a write whose answer was lost took effect. The
// unique first line tells equal documents of two operators apart.
func (s *Service) resolve(ctx context.Context, raw []byte, r model.Revision) error {
	now, err := s.read(ctx)
	if err != nil {
		return fmt.Errorf("%w: revision %d: %w", ErrUnknownOutcome, r, err)
	}
	switch {
	case bytes.Equal(now.raw, raw):
		return nil
	case now.document.Revision < r:
		// The write may still be on its way.
		return fmt.Errorf("%w: revision %d is not in the store yet", ErrUnknownOutcome, r)
	case now.document.Revision == r:
		return &ConflictError{Base: r - 1, Current: r}
	}
	e, err := s.o.Store.Get(ctx, s.historyKey(r))
	if err != nil {
		return fmt.Errorf("%w: revision %d was replaced since: %w", ErrUnknownOutcome, r, err)
	}
	if bytes.Equal(e.Value, raw) {
		return nil
	}
	return &ConflictError{Base: r - 1, Current: now.document.Revision}
}

// Grant adds a key to a workspace and returns its text, which is not kept
// anywhere.
func (s *Service) Grant(ctx context.Context, workspace model.WorkspaceID, id model.KeyID) (secret string, r model.Revision, err error) {
	if err := config.CheckName(string(id)); err != nil {
		return "", 0, fmt.Errorf("%w: key id %w", model.ErrBadRequest, err)
	}
	secret = config.NewKey(id)
	hash, err := config.HashKey(secret)
	if err != nil {
		return "", 0, err
	}
	r, err = s.edit(ctx, func(d *config.Document) error {
		return addKey(d, workspace, config.Key{ID: id, Hash: hash})
	})
	if err != nil {
		return "", 0, err
	}
	return secret, r, nil
}

func addKey(d *config.Document, workspace model.WorkspaceID, k config.Key) error {
	for _, w := range d.Workspaces {
		if slices.ContainsFunc(w.Keys, func(o config.Key) bool { return o.ID == k.ID }) {
			return fmt.Errorf("%w: %q belongs to workspace %q; withdraw it first", ErrKeyExists, k.ID, w.Name)
		}
	}
	i := slices.IndexFunc(d.Workspaces, func(w config.Workspace) bool { return w.Name == workspace })
	if i < 0 {
		return fmt.Errorf("%w: workspace %q", model.ErrNotFound, workspace)
	}
	d.Workspaces[i].Keys = append(d.Workspaces[i].Keys, k)
	return nil
}

// Withdraw removes a key.
func (s *Service) Withdraw(ctx context.Context, id model.KeyID) (model.Revision, error) {
	return s.edit(ctx, func(d *config.Document) error {
		for i := range d.Workspaces {
			w := &d.Workspaces[i]
			n := len(w.Keys)
			w.Keys = slices.DeleteFunc(w.Keys, func(k config.Key) bool { return k.ID == id })
			if len(w.Keys) < n {
				return nil
			}
		}
		return fmt.Errorf("%w: key %q", model.ErrNotFound, id)
	})
}

// edit changes the newest document, again after each lost race.
func (s *Service) edit(ctx context.Context, change func(*config.Document) error) (model.Revision, error) {
	var conflict error
	for range keyAttempts {
		d, err := s.newest(ctx)
		if err != nil {
			return 0, err
		}
		if err := change(d); err != nil {
			return 0, err
		}
		text, err := config.Marshal(d)
		if err != nil {
			return 0, err
		}
		r, err := s.Apply(ctx, text, d.Revision)
		if !errors.Is(err, ErrConflict) {
			return r, err
		}
		conflict = err
	}
	return 0, fmt.Errorf("not changed after %d attempts: %w", keyAttempts, conflict)
}

// newest returns a copy of the newer one of the document in the store and the
// one in effect here.
func (s *Service) newest(ctx context.Context) (*config.Document, error) {
	now, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	if c := s.Current().Document(); c.Revision > now.document.Revision {
		return c.Clone(), nil
	}
	return now.document, nil
}

// HistoryEntry is one kept revision.
type HistoryEntry struct {
	Revision model.Revision
	// At is the time of the change by the clock of the host that made it.
	At time.Time
}

// History lists the kept revisions, oldest first.
func (s *Service) History(ctx context.Context) ([]HistoryEntry, error) {
	entries, _, err := s.o.Store.List(ctx, s.o.HistoryPrefix)
	if err != nil {
		return nil, fmt.Errorf("reading configuration history: %w", err)
	}
	var list []HistoryEntry
	for _, e := range entries {
		r, err := strconv.ParseUint(strings.TrimPrefix(e.Key, s.o.HistoryPrefix), 10, 64)
		if err != nil {
			s.o.Log.Warn("unexpected key in the configuration history", "key", e.Key)
			continue
		}
		list = append(list, HistoryEntry{Revision: model.Revision(r), At: changedAt(e.Value)})
	}
	slices.SortFunc(list, func(a, b HistoryEntry) int { return int(int64(a.Revision) - int64(b.Revision)) })
	return list, nil
}

// HistoryDocument returns the YAML of a kept revision. It fails with
// model.ErrNotFound.
func (s *Service) HistoryDocument(ctx context.Context, r model.Revision) ([]byte, error) {
	e, err := s.o.Store.Get(ctx, s.historyKey(r))
	if errors.Is(err, store.ErrNotFound) {
		return nil, fmt.Errorf("%w: revision %d is not in the history of %d revisions", model.ErrNotFound, r, s.o.HistoryLimit)
	}
	if err != nil {
		return nil, fmt.Errorf("reading configuration history: %w", err)
	}
	return e.Value, nil
}

// CurrentDocument returns the YAML of the configuration in effect at this host.
func (s *Service) CurrentDocument() (model.Revision, []byte) {
	c := s.current.Load()
	return c.snapshot.Revision(), bytes.Clone(c.raw)
}

// changedAt returns the time in the first line of a stored document.
func changedAt(raw []byte) time.Time {
	line, _, _ := bytes.Cut(raw, []byte("\n"))
	fields := strings.Fields(string(line))
	if len(fields) == 0 {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, fields[len(fields)-1])
	if err != nil {
		return time.Time{}
	}
	return t
}

func (s *Service) historyKey(r model.Revision) string {
	return s.o.HistoryPrefix + strconv.FormatUint(uint64(r), 10)
}

// archive records a revision unless it is recorded already.
func (s *Service) archive(ctx context.Context, r model.Revision, raw []byte) error {
	_, err := s.o.Store.Put(ctx, s.historyKey(r), raw, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// trim removes one revision from the history.
func (s *Service) trim(ctx context.Context, r model.Revision) {
	e, err := s.o.Store.Get(ctx, s.historyKey(r))
	if err == nil {
		err = s.o.Store.Delete(ctx, e.Key, e.Version)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		s.o.Log.Warn("old configuration not removed from the history", "revision", r, "error", err)
	}
}
