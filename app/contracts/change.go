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
	// maxApplyAttempts bounds the attempts of Apply. After a conflict it reads
	// the store again, and finds no newer revision while the store returns an
	// older value.
	maxApplyAttempts = 5
	// maxKeyChangeAttempts bounds the attempts of Grant and Withdraw. Each
	// conflict means that another change was accepted.
	maxKeyChangeAttempts = 20
	// changeLinePrefix starts the first line of a stored document. The line
	// holds a unique id, which shows after a lost response of the store
	// whether the write took effect.
	changeLinePrefix = "# change "
)

// storedDocument is the document in the store. Version 0 means that there is
// none.
type storedDocument struct {
	document *config.Document
	raw      []byte
	version  store.Version
}

// readStore returns the document in the store.
func (s *Service) readStore(ctx context.Context) (storedDocument, error) {
	e, err := s.options.Store.Get(ctx, s.options.ConfigKey)
	if errors.Is(err, store.ErrNotFound) {
		return storedDocument{document: &config.Document{}}, nil
	}
	if err != nil {
		return storedDocument{}, fmt.Errorf("read the configuration from the store: %w", err)
	}
	d, err := config.Parse(e.Value, s.options.ConfigKey)
	if err != nil {
		return storedDocument{}, err
	}
	return storedDocument{document: d, raw: e.Value, version: e.Version}, nil
}

// Apply replaces the document that has revision base and returns the new
// revision. The change was accepted if the error is nil, may have been accepted
// if the error is ErrUnknownOutcome, and was not accepted on any other error.
func (s *Service) Apply(ctx context.Context, document []byte, base model.Revision) (model.Revision, error) {
	d, err := config.Parse(document, "document")
	if err != nil {
		return 0, err
	}
	if d.Revision != 0 && d.Revision != base {
		return 0, fmt.Errorf("%w: the document was edited from revision %d, but the change is based on revision %d", model.ErrBadRequest, d.Revision, base)
	}
	for range maxApplyAttempts {
		inStore, err := s.readStore(ctx)
		if err != nil {
			return 0, err
		}
		// This host may know a newer revision than a stale read of the store
		// returns.
		known := max(inStore.document.Revision, s.Revision())
		if known != base {
			return 0, &ConflictError{Base: base, Current: known}
		}
		r, err := s.replace(ctx, inStore, d, known+1)
		if !errors.Is(err, store.ErrConflict) {
			return r, err
		}
	}
	return 0, fmt.Errorf("%w: the store still returned an old configuration after %d attempts", model.ErrUnavailable, maxApplyAttempts)
}

// replace writes the document as the given revision. It returns
// store.ErrConflict if the document in the store has changed since it was read.
func (s *Service) replace(ctx context.Context, inStore storedDocument, d *config.Document, r model.Revision) (model.Revision, error) {
	d = d.Clone()
	d.Revision = r
	text, err := config.Marshal(d)
	if err != nil {
		return 0, err
	}
	raw := append([]byte(changeLinePrefix+uuid.NewString()+" "+s.options.Clock.Now().UTC().Format(time.RFC3339)+"\n"), text...)
	if len(raw) > store.MaxValue {
		return 0, fmt.Errorf("%w: configuration has %d bytes; the store accepts %d", model.ErrTooLarge, len(raw), store.MaxValue)
	}
	// A process that stops between the two writes of an earlier change leaves a
	// gap in the history, which is filled here.
	if inStore.version != 0 {
		if err := s.recordInHistory(ctx, inStore.document.Revision, inStore.raw); err != nil {
			return 0, fmt.Errorf("configuration not accepted: %w", err)
		}
	}
	_, err = s.options.Store.Put(ctx, s.options.ConfigKey, raw, inStore.version)
	if errors.Is(err, store.ErrUnknown) {
		err = s.resolveUnknownOutcome(ctx, raw, r)
	}
	if err != nil {
		return 0, classifyPutError(err)
	}
	s.applyAccepted(ctx, raw, r)
	return r, nil
}

// classifyPutError tells the operator whether a failed write was certainly not
// accepted or has an unknown outcome.
func classifyPutError(err error) error {
	var conflict *ConflictError
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, ErrUnknownOutcome), errors.As(err, &conflict):
		return err
	case errors.Is(err, store.ErrUnavailable):
		return fmt.Errorf("configuration not accepted: %w", err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

// applyAccepted puts an accepted document into effect on this host and records it
// in the history. Errors are only logged, because the store has accepted the
// change.
func (s *Service) applyAccepted(ctx context.Context, raw []byte, r model.Revision) {
	if err := s.Offer(r, raw); err != nil && !errors.Is(err, ErrOldRevision) {
		s.options.Log.Error("failed to apply the accepted configuration", "revision", r, "error", err)
	}
	if err := s.recordInHistory(ctx, r, raw); err != nil {
		s.options.Log.Warn("failed to record the configuration in the history", "revision", r, "error", err)
	}
	if r > s.options.HistoryLimit {
		s.removeFromHistory(ctx, r-s.options.HistoryLimit)
	}
}

// resolveUnknownOutcome determines whether a write whose response was lost took
// effect. The unique first line distinguishes it from an equal document of
// another operator.
func (s *Service) resolveUnknownOutcome(ctx context.Context, raw []byte, r model.Revision) error {
	inStore, err := s.readStore(ctx)
	if err != nil {
		return fmt.Errorf("%w: revision %d: %w", ErrUnknownOutcome, r, err)
	}
	switch {
	case bytes.Equal(inStore.raw, raw):
		return nil
	case inStore.document.Revision < r:
		// The write may still be in flight.
		return fmt.Errorf("%w: revision %d is not in the store yet", ErrUnknownOutcome, r)
	case inStore.document.Revision == r:
		return &ConflictError{Base: r - 1, Current: r}
	}
	e, err := s.options.Store.Get(ctx, s.historyKey(r))
	if err != nil {
		return fmt.Errorf("%w: revision %d was replaced since: %w", ErrUnknownOutcome, r, err)
	}
	if bytes.Equal(e.Value, raw) {
		return nil
	}
	return &ConflictError{Base: r - 1, Current: inStore.document.Revision}
}

// Grant adds a key to a workspace and returns the secret. Only its hash is
// stored.
func (s *Service) Grant(ctx context.Context, workspace model.WorkspaceID, id model.KeyID) (secret string, r model.Revision, err error) {
	if err := config.CheckName(string(id)); err != nil {
		return "", 0, fmt.Errorf("%w: key id %w", model.ErrBadRequest, err)
	}
	secret = config.NewKey(id)
	hash, err := config.HashKey(secret)
	if err != nil {
		return "", 0, err
	}
	r, err = s.editNewest(ctx, func(d *config.Document) error {
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
	return s.editNewest(ctx, func(d *config.Document) error {
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

// editNewest changes the newest document and tries again after each conflict.
func (s *Service) editNewest(ctx context.Context, change func(*config.Document) error) (model.Revision, error) {
	var conflict error
	for range maxKeyChangeAttempts {
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
	return 0, fmt.Errorf("the configuration was not changed after %d attempts: %w", maxKeyChangeAttempts, conflict)
}

// newest returns a copy of the newer one of the document in the store and the
// one in effect here.
func (s *Service) newest(ctx context.Context) (*config.Document, error) {
	inStore, err := s.readStore(ctx)
	if err != nil {
		return nil, err
	}
	if c := s.Current().Document(); c.Revision > inStore.document.Revision {
		return c.Clone(), nil
	}
	return inStore.document, nil
}

// HistoryEntry is one revision in the history.
type HistoryEntry struct {
	Revision model.Revision
	// At is the time of the change by the clock of the host that made it.
	At time.Time
}

// History lists the revisions in the history, oldest first.
func (s *Service) History(ctx context.Context) ([]HistoryEntry, error) {
	entries, _, err := s.options.Store.List(ctx, s.options.HistoryPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the configuration history: %w", err)
	}
	var list []HistoryEntry
	for _, e := range entries {
		r, err := strconv.ParseUint(strings.TrimPrefix(e.Key, s.options.HistoryPrefix), 10, 64)
		if err != nil {
			s.options.Log.Warn("ignored an unexpected key in the configuration history", "key", e.Key)
			continue
		}
		list = append(list, HistoryEntry{Revision: model.Revision(r), At: changeTime(e.Value)})
	}
	slices.SortFunc(list, func(a, b HistoryEntry) int { return int(int64(a.Revision) - int64(b.Revision)) })
	return list, nil
}

// HistoryDocument returns the YAML of a revision in the history. It returns
// model.ErrNotFound if the history does not have it.
func (s *Service) HistoryDocument(ctx context.Context, r model.Revision) ([]byte, error) {
	e, err := s.options.Store.Get(ctx, s.historyKey(r))
	if errors.Is(err, store.ErrNotFound) {
		return nil, fmt.Errorf("%w: revision %d is not in the history of %d revisions", model.ErrNotFound, r, s.options.HistoryLimit)
	}
	if err != nil {
		return nil, fmt.Errorf("read revision %d from the configuration history: %w", r, err)
	}
	return e.Value, nil
}

// CurrentDocument returns the YAML of the configuration in effect at this host.
func (s *Service) CurrentDocument() (model.Revision, []byte) {
	c := s.current.Load()
	return c.snapshot.Revision(), bytes.Clone(c.raw)
}

// changeTime returns the time in the first line of a stored document, or the zero
// time if it has none.
func changeTime(raw []byte) time.Time {
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
	return s.options.HistoryPrefix + strconv.FormatUint(uint64(r), 10)
}

// recordInHistory records a revision unless the history already has it.
func (s *Service) recordInHistory(ctx context.Context, r model.Revision, raw []byte) error {
	_, err := s.options.Store.Put(ctx, s.historyKey(r), raw, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// removeFromHistory removes one revision from the history.
func (s *Service) removeFromHistory(ctx context.Context, r model.Revision) {
	e, err := s.options.Store.Get(ctx, s.historyKey(r))
	if err == nil {
		err = s.options.Store.Delete(ctx, e.Key, e.Version)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		s.options.Log.Warn("failed to remove an old configuration from the history", "revision", r, "error", err)
	}
}
