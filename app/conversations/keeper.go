package conversations

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"mimosarelay/core/conversation"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/disk"
	"mimosarelay/io/peer/peerpb"
)

// Folder is a data folder. It is implemented by io/disk.
type Folder interface {
	// Append stores records and returns when they are synced.
	Append(records []disk.Record) error
	// Get returns a record, or disk.ErrNotFound.
	Get(key string) ([]byte, error)
	Load(visit func(key string, data []byte) error) error
	// Compact frees the space of deleted records.
	Compact() error
	Size() int64
	// Truncated returns the number of bytes at the end of the newest segment that
	// could not be read when the folder was opened.
	Truncated() int64
}

// KeeperPeers sends requests to other keepers. It is implemented by io/peer.
type KeeperPeers interface {
	ListTurns(ctx context.Context, address string, r *peerpb.ListTurnsRequest) (*peerpb.ListTurnsResponse, error)
	FetchTurns(ctx context.Context, address string, r *peerpb.FetchTurnsRequest) (*peerpb.FetchTurnsResponse, error)
}

// KeeperOptions configures a Keeper. All fields but Capacity are required.
type KeeperOptions struct {
	// Self describes this keeper; its ID is ignored.
	Self   conversation.Disk
	Folder Folder
	// Capacity is the size of the disk in bytes; 0 means that it is not limited.
	Capacity int64
	// Copies is the number of disks that hold each turn.
	Copies int
	// Store holds the list of disks under RegistryPrefix.
	Store store.Store
	// Keepers returns the members of the fleet that are not leaving, without the
	// IDs of their disks.
	Keepers func() []conversation.Disk
	Peers   KeeperPeers
	Clock   clockwork.Clock
	Log     *slog.Logger
	Scope   tally.Scope
}

const (
	// identityKey is the key in the data folder of the identity of the disk. Keys of
	// turns contain a zero byte.
	identityKey = "Identity"
	// maxChainBytes limits the text of a conversation. It fits into one message
	// between hosts.
	maxChainBytes = 8 << 20
	// maxFirstFraction is the fraction of the capacity above which no conversations
	// are begun, so that those that have begun can go on, and maxFraction the one
	// above which no turns are stored. The rest is for turns that run, copies from
	// other keepers and the compaction of a segment.
	maxFirstFraction = 0.7
	maxFraction      = 0.85
)

// identity says which disk this is. It is stored on the disk.
type identity struct {
	ID string
	// Whole says that the disk holds all turns that it has ever stored and that have
	// not lapsed, or has got them back from other disks.
	Whole bool
}

// Keeper stores turns on the disk of one keeper. It is safe for concurrent use.
type Keeper struct {
	options KeeperOptions
	logID   string // identifies the log of index, which begins anew at each start
	metrics keeperMetrics

	// saving is held for reading while a turn is checked and stored, so that no turn
	// is stored after the keeper has begun to leave.
	saving sync.RWMutex

	mu         sync.Mutex // guards the fields below; not held during I/O
	identity   identity
	index      *conversation.Index
	registry   map[model.HostID]registeredDisk
	registered bool // registry has this disk
	leaving    bool
	peers      map[string]*peerSync    // by disk ID
	settled    placementID             // for which this disk has all turns that it should hold; 0 if it has not
	listedTo   map[model.HostID]uint64 // position up to which each keeper has copied the turns of a leaving one
	lostSince  map[string]time.Time    // when a disk was first seen without a member, by disk ID
}

type keeperMetrics struct {
	saved, refused, copied, lapsed, notFound tally.Counter
	save                                     tally.Histogram
	turns, bytes, whole                      tally.Gauge
}

// NewKeeper reads the turns in the data folder. Run keeps them complete.
func NewKeeper(o KeeperOptions) (*Keeper, error) {
	scope := o.Scope.SubScope("turns")
	k := &Keeper{
		options: o, logID: uuid.NewString(), index: conversation.NewIndex(), registry: map[model.HostID]registeredDisk{},
		peers: map[string]*peerSync{}, listedTo: map[model.HostID]uint64{}, lostSince: map[string]time.Time{},
		metrics: keeperMetrics{
			saved: scope.Counter("saved"), refused: scope.Counter("refused"), copied: scope.Counter("copied"), lapsed: scope.Counter("lapsed"),
			notFound: scope.Counter("not_found"), turns: scope.Gauge("stored"), bytes: scope.Gauge("bytes"), whole: scope.Gauge("whole_disk"),
			save: scope.Histogram("save_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
		},
	}
	err := o.Folder.Load(func(key string, data []byte) error {
		if key == identityKey {
			return json.Unmarshal(data, &k.identity)
		}
		t, err := unmarshalTurn(data)
		if err != nil {
			return fmt.Errorf("record %q: %w", key, err)
		}
		k.index.Add(t)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("load the turns of conversations: %w", err)
	}
	changed := k.identity.ID == ""
	if changed {
		k.identity = identity{ID: uuid.NewString()}
	}
	if n := o.Folder.Truncated(); n > 0 && k.identity.Whole {
		// The bytes may belong to an interrupted write or to a turn whose bytes on
		// the disk were altered.
		k.identity.Whole, changed = false, true
		o.Log.Warn("end of the newest segment of turns was not readable and was removed", "bytes", n)
	}
	if changed {
		if err := k.saveIdentity(k.identity); err != nil {
			return nil, err
		}
	}
	o.Log.Info("turns of conversations loaded", "disk", k.identity.ID, "turns", k.index.Len(), "bytes", o.Folder.Size(), "whole", k.identity.Whole)
	return k, nil
}

func (k *Keeper) saveIdentity(id identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	if err := k.options.Folder.Append([]disk.Record{{Key: identityKey, Data: data}}); err != nil {
		return fmt.Errorf("store the identity of the disk: %w", err)
	}
	return nil
}

// Accepts reports whether this keeper stores new turns; if begins is set, the first
// turns of conversations.
func (k *Keeper) Accepts(begins bool) bool {
	if begins {
		return k.acceptError(maxFirstFraction) == nil
	}
	return k.acceptError(maxFraction) == nil
}

// acceptError returns the reason why this keeper stores no new turns, or nil. fraction
// is the part of the capacity that may be used.
func (k *Keeper) acceptError(fraction float64) error {
	k.mu.Lock()
	leaving, registered := k.leaving, k.registered
	k.mu.Unlock()
	switch size := k.options.Folder.Size(); {
	case leaving:
		return fmt.Errorf("keeper is leaving: %w", model.ErrUnavailable)
	case !registered:
		return fmt.Errorf("disk is not registered yet: %w", model.ErrUnavailable)
	case k.options.Capacity > 0 && float64(size) > fraction*float64(k.options.Capacity):
		return fmt.Errorf("disk is full, %d of %d bytes are used: %w", size, k.options.Capacity, model.ErrUnavailable)
	}
	return nil
}

// HandleSaveTurn serves the RPC SaveTurn. It returns when the turn is synced.
func (k *Keeper) HandleSaveTurn(_ context.Context, r *peerpb.SaveTurnRequest) (*peerpb.SaveTurnResponse, error) {
	start := k.options.Clock.Now()
	t, err := decodeTurn(r.GetRecord())
	if err == nil {
		err = k.acceptTurn(t)
	}
	if err != nil {
		k.metrics.refused.Inc(1)
		k.options.Log.Warn("turn was not stored", "request", r.GetRecord().GetId(), "error", err)
		return nil, err
	}
	k.metrics.saved.Inc(1)
	k.metrics.save.RecordDuration(k.options.Clock.Since(start))
	return &peerpb.SaveTurnResponse{}, nil
}

// acceptTurn stores a turn if this keeper stores new turns.
func (k *Keeper) acceptTurn(t *conversation.Turn) error {
	k.saving.RLock()
	defer k.saving.RUnlock()
	// A first turn that was begun below maxFirstFraction is stored above it.
	if err := k.acceptError(maxFraction); err != nil {
		return err
	}
	return k.storeTurn(t)
}

// storeTurn writes a turn to the disk unless it is there. It fails with
// model.ErrConflict if a turn with the same key and other content is there.
func (k *Keeper) storeTurn(t *conversation.Turn) error {
	data, err := marshalTurn(t)
	if err != nil {
		return err
	}
	k.mu.Lock()
	known := k.index.Has(t.TurnKey)
	k.mu.Unlock()
	if known {
		old, err := k.options.Folder.Get(diskKey(t.TurnKey))
		if err != nil {
			return err
		}
		if !bytes.Equal(old, data) {
			return fmt.Errorf("turn %q exists with other content: %w", t.ID, model.ErrConflict)
		}
		return nil
	}
	if err := k.options.Folder.Append([]disk.Record{{Key: diskKey(t.TurnKey), Data: data}}); err != nil {
		return err
	}
	k.mu.Lock()
	k.index.Add(t)
	k.mu.Unlock()
	return nil
}

// readTurn returns a turn, or disk.ErrNotFound if it lapsed meanwhile.
func (k *Keeper) readTurn(key conversation.TurnKey) (*conversation.Turn, error) {
	data, err := k.options.Folder.Get(diskKey(key))
	if err != nil {
		return nil, err
	}
	return unmarshalTurn(data)
}

// HandleFetchChain serves the RPC FetchChain.
func (k *Keeper) HandleFetchChain(_ context.Context, r *peerpb.FetchChainRequest) (*peerpb.FetchChainResponse, error) {
	key := conversation.TurnKey{Workspace: model.WorkspaceID(r.GetWorkspace()), ID: model.RequestID(r.GetId())}
	k.mu.Lock()
	whole := k.identity.Whole && k.registered
	keys, chain, missing := k.index.Chain(key)
	k.mu.Unlock()
	if len(keys) == 0 {
		k.metrics.notFound.Inc(1)
		return &peerpb.FetchChainResponse{WholeDisk: whole}, nil
	}
	turns := make([]*conversation.Turn, 0, len(keys))
	size := 0
	for _, key := range keys {
		t, err := k.readTurn(key)
		if errors.Is(err, disk.ErrNotFound) {
			missing = key
			break
		}
		if err != nil {
			k.options.Log.Error("failed to read a turn", "request", key.ID, "error", err)
			return nil, err
		}
		turns = append(turns, t)
		if size += len(t.Input) + len(t.Output); size > maxChainBytes {
			return nil, fmt.Errorf("conversation up to turn %q exceeds %d bytes: %w", r.GetId(), maxChainBytes, model.ErrTooLarge)
		}
	}
	if len(turns) == 0 {
		return &peerpb.FetchChainResponse{WholeDisk: whole}, nil
	}
	text := make([]byte, 0, size)
	for i := len(turns) - 1; i >= 0; i-- {
		text = append(text, turns[i].Input...)
		text = append(text, turns[i].Output...)
	}
	return &peerpb.FetchChainResponse{Found: true, WholeDisk: whole, Text: text, Missing: string(missing.ID), Chain: uint64(chain)}, nil
}

// State is the state dump of a Keeper.
type State struct {
	Disk       string
	Whole      bool
	Registered bool
	Leaving    bool
	Turns      int
	Bytes      int64
	Disks      []conversation.Disk
}

// Dump returns a State.
func (k *Keeper) Dump() any {
	disks, _ := k.Disks()
	k.mu.Lock()
	defer k.mu.Unlock()
	return State{
		Disk: k.identity.ID, Whole: k.identity.Whole, Registered: k.registered, Leaving: k.leaving,
		Turns: k.index.Len(), Bytes: k.options.Folder.Size(), Disks: disks,
	}
}
