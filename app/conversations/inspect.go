package conversations

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"mimosarelay/core/conversation"
	"mimosarelay/core/model"
	"mimosarelay/io/disk"
)

// Damage is a place in a data folder that cannot be read.
type Damage struct {
	Segment string
	Offset  int64 // in bytes
	Error   string
}

// Report describes the turns in a data folder.
type Report struct {
	Disk       string // id of the disk
	Whole      bool   // the disk has all turns that belong on it
	Segments   int
	Bytes      int64 // of all segments
	LiveBytes  int64 // of the frames of turns that are not deleted
	Turns      int
	Workspaces int
	// OldestLapse and NewestLapse are when the turns lapse that are not continued; zero
	// without turns.
	OldestLapse, NewestLapse time.Time
	Damages                  []Damage
}

// liveTurn is what Inspect remembers of a turn.
type liveTurn struct {
	size     int64
	lapsesAt time.Time
}

// Inspect reads a data folder that no process uses. progress is called with the number
// of bytes that were read, after each frame; it may be nil.
func Inspect(path string, progress func(bytes int64)) (Report, error) {
	var r Report
	var segment string
	live := map[string]liveTurn{}
	workspaces := map[model.WorkspaceID]bool{}
	err := disk.Scan(path, func(f disk.Frame) error {
		if f.Segment != segment {
			segment = f.Segment
			r.Segments++
		}
		r.Bytes += f.Size
		if progress != nil {
			progress(r.Bytes)
		}
		if f.Err == nil {
			f.Err = r.add(f, live, workspaces)
		}
		if f.Err != nil {
			r.Damages = append(r.Damages, Damage{Segment: f.Segment, Offset: f.Offset, Error: f.Err.Error()})
		}
		return nil
	})
	for _, t := range live {
		r.LiveBytes += t.size
		if r.OldestLapse.IsZero() || t.lapsesAt.Before(r.OldestLapse) {
			r.OldestLapse = t.lapsesAt
		}
		if t.lapsesAt.After(r.NewestLapse) {
			r.NewestLapse = t.lapsesAt
		}
	}
	r.Turns, r.Workspaces = len(live), len(workspaces)
	return r, err
}

// add records a valid frame.
func (r *Report) add(f disk.Frame, live map[string]liveTurn, workspaces map[model.WorkspaceID]bool) error {
	switch {
	case f.Record.Key == identityKey:
		var id identity
		if err := json.Unmarshal(f.Record.Data, &id); err != nil {
			return fmt.Errorf("identity of the disk: %w", err)
		}
		r.Disk, r.Whole = id.ID, id.Whole
	case f.Record.Data == nil:
		delete(live, f.Record.Key)
	default:
		t, err := unmarshalTurn(f.Record.Data)
		if err != nil {
			return err
		}
		live[f.Record.Key] = liveTurn{f.Size, t.LapsesAt()}
		workspaces[t.Workspace] = true
	}
	return nil
}

// Sentinel errors of Export, tested with errors.Is.
var (
	// ErrAmbiguous reports a turn id that several workspaces use.
	ErrAmbiguous = errors.New("several workspaces have a turn with this id")
	// ErrIncompleteChain reports a turn whose earlier turns are not all in the folder.
	ErrIncompleteChain = errors.New("an earlier turn of the conversation is not in this folder")
)

// Export returns the turns of the conversation up to a turn, oldest first, from a data
// folder that no process uses. workspace may be empty if only one has a turn with this
// id. It fails with conversation.ErrNoTurn, ErrAmbiguous, or, with the turns that it
// found, ErrIncompleteChain.
func Export(path string, workspace model.WorkspaceID, id model.RequestID) ([]*conversation.Turn, error) {
	live, err := liveKeys(path)
	if err != nil {
		return nil, err
	}
	index := conversation.NewIndex()
	matching := map[conversation.TurnKey]bool{}
	if err := scanTurns(path, live, func(t *conversation.Turn) {
		index.Add(t)
		if t.ID == id && (workspace == "" || t.Workspace == workspace) {
			matching[t.TurnKey] = true
		}
	}); err != nil {
		return nil, err
	}
	switch {
	case len(matching) == 0:
		return nil, fmt.Errorf("%w: %q", conversation.ErrNoTurn, id)
	case len(matching) > 1:
		return nil, fmt.Errorf("%w: %q", ErrAmbiguous, id)
	}
	var keys []conversation.TurnKey
	var missing conversation.TurnKey
	for key := range matching {
		keys, _, missing = index.Chain(key)
	}
	turns := make([]*conversation.Turn, len(keys))
	err = scanTurns(path, live, func(t *conversation.Turn) {
		if i := slices.Index(keys, t.TurnKey); i >= 0 {
			turns[len(keys)-1-i] = t
		}
	})
	if err == nil && missing.ID != "" {
		err = fmt.Errorf("%w: %q", ErrIncompleteChain, missing.ID)
	}
	return turns, err
}

// liveKeys returns the keys in a data folder that are not deleted.
func liveKeys(path string) (map[string]bool, error) {
	live := map[string]bool{}
	err := disk.Scan(path, func(f disk.Frame) error {
		if f.Err == nil {
			live[f.Record.Key] = f.Record.Data != nil
		}
		return nil
	})
	return live, err
}

// scanTurns calls visit with each live turn in a data folder. Damaged frames are left
// out.
func scanTurns(path string, live map[string]bool, visit func(*conversation.Turn)) error {
	return disk.Scan(path, func(f disk.Frame) error {
		if f.Err != nil || f.Record.Data == nil || !live[f.Record.Key] || f.Record.Key == identityKey {
			return nil
		}
		if t, err := unmarshalTurn(f.Record.Data); err == nil {
			visit(t)
		}
		return nil
	})
}

// WriteText writes the text of a conversation: the input of each turn followed by its
// output.
func WriteText(w io.Writer, turns []*conversation.Turn) error {
	for _, t := range turns {
		for _, part := range [][]byte{t.Input, t.Output} {
			if _, err := w.Write(part); err != nil {
				return err
			}
		}
	}
	return nil
}
