package programs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

const (
	journalPrefix = "Journal/"
	// At 40 writes a second per host, 7 hosts stay below the several hundred that
	// the store sustains.
	flushInterval         = 25 * time.Millisecond
	flushRetryDelay       = 100 * time.Millisecond  // after a failed write
	maxSegmentBytes       = store.MaxValue - 64<<10 // spare room for the envelopes of the records
	maxSegments           = 64                      // more start a compaction; about 64 MiB
	segmentsPerCompaction = 16
	storeTimeout          = 2 * time.Second
	maxEnvelopeBytes      = 128 // upper estimate of a record's protobuf message without its names and data
	journalKeyParts       = 3   // Journal/<host>/<incarnation>/<n>
)

// segment is one value of the journal in the store.
type segment struct {
	key     string
	version store.Version
	live    map[program.ID]program.Version // records that no later segment replaces
	size    int
}

// journal writes records to the store in batches. Only run writes to the store
// and to the versions and sizes of segments.
type journal struct {
	store store.Store
	clock clockwork.Clock
	log   *slog.Logger
	wake  chan struct{}

	mu         sync.Mutex
	prefix     string // of the store keys, with host and incarnation; empty if the host is no member
	pending    map[program.ID]program.Record
	waiters    []chan struct{}         // closed when the pending records are stored
	index      map[program.ID]*segment // segment that holds the newest stored version
	segments   []*segment
	lastNumber int // of the newest segment
}

func newJournal(s store.Store, c clockwork.Clock, l *slog.Logger) *journal {
	j := &journal{store: s, clock: c, log: l, wake: make(chan struct{}, 1)}
	j.reset("")
	return j
}

// reset starts the journal of a new incarnation. The segments of the old one are
// removed by the new owners of its programs.
func (j *journal) reset(prefix string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.prefix = prefix
	j.pending = map[program.ID]program.Record{}
	j.waiters = nil
	j.index = map[program.ID]*segment{}
	j.segments = nil
	j.lastNumber = 0
}

// enqueue queues records. The returned channel is closed when they, or newer
// versions of them, are in the store.
func (j *journal) enqueue(records []program.Record) <-chan struct{} {
	done := make(chan struct{})
	j.mu.Lock()
	for _, r := range records {
		if old, ok := j.pending[r.ID]; !ok || r.Newer(old) {
			j.pending[r.ID] = r
		}
	}
	j.waiters = append(j.waiters, done)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return done
}

// removeProgram drops the records of a program whose retention has passed.
func (j *journal) removeProgram(root model.ProgramKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, g := range j.index {
		if id.Root == root {
			delete(g.live, id)
			delete(j.index, id)
		}
	}
	for id := range j.pending {
		if id.Root == root {
			delete(j.pending, id)
		}
	}
}

// idle reports whether all queued records are in the store.
func (j *journal) idle() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.waiters) == 0 && len(j.pending) == 0
}

func (j *journal) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		pause := flushInterval
		if err := j.flush(ctx); err != nil {
			j.log.Warn("failed to write the journal to the store", "error", err)
			pause = flushRetryDelay
			select {
			case j.wake <- struct{}{}:
			default:
			}
		} else if err := j.compact(ctx); err != nil {
			j.log.Warn("failed to compact the journal", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-j.clock.After(pause):
		}
	}
}

// flush writes all queued records. If that fails, it queues them again.
func (j *journal) flush(ctx context.Context) error {
	j.mu.Lock()
	records, waiters, prefix := j.pending, j.waiters, j.prefix
	if prefix == "" || len(waiters) == 0 && len(records) == 0 {
		j.mu.Unlock()
		return nil
	}
	j.pending = map[program.ID]program.Record{}
	j.waiters = nil
	j.mu.Unlock()

	err := j.write(ctx, prefix, contentBeforeHeads(records))
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.prefix != prefix {
		// The journal was reset meanwhile. The waiters belong to the old
		// incarnation and must not be told that the write succeeded.
		return nil
	}
	if err != nil {
		for id, r := range records {
			if newer, ok := j.pending[id]; !ok || !newer.Newer(r) {
				j.pending[id] = r
			}
		}
		j.waiters = append(j.waiters, waiters...)
		return err
	}
	for _, w := range waiters {
		close(w)
	}
	return nil
}

// contentBeforeHeads returns the records with all heads at the end, so that the
// store never holds a head without its content.
func contentBeforeHeads(records map[program.ID]program.Record) []program.Record {
	var out, heads []program.Record
	for id, r := range records {
		if id.IsHead() {
			heads = append(heads, r)
			continue
		}
		out = append(out, r)
	}
	return append(out, heads...)
}

func (j *journal) write(ctx context.Context, prefix string, records []program.Record) error {
	for _, batch := range segmentBatches(records) {
		if err := j.writeSegment(ctx, prefix, batch); err != nil {
			return err
		}
	}
	return nil
}

// segmentBatches splits records into batches that each fit into a segment.
func segmentBatches(records []program.Record) [][]program.Record {
	var out [][]program.Record
	size := 0
	for _, r := range records {
		n := len(r.Data) + len(r.ID.Root.Workspace) + len(r.ID.Root.Program) + maxEnvelopeBytes
		if len(out) == 0 || size+n > maxSegmentBytes {
			out = append(out, nil)
			size = 0
		}
		out[len(out)-1] = append(out[len(out)-1], r)
		size += n
	}
	return out
}

// writeSegment writes one segment. It overwrites a segment without live records
// if there is one, which saves the store one deletion per write.
func (j *journal) writeSegment(ctx context.Context, prefix string, records []program.Record) error {
	value, err := encodeSegment(records)
	if err != nil {
		return err
	}
	g := j.nextSegment(prefix)
	version, err := j.put(ctx, g, value)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.prefix != prefix {
		return nil
	}
	g.version = version
	g.size = len(value)
	g.live = map[program.ID]program.Version{}
	for _, r := range records {
		if old := j.index[r.ID]; old != nil {
			if old.live[r.ID] > r.Version {
				continue
			}
			delete(old.live, r.ID)
		}
		g.live[r.ID] = r.Version
		j.index[r.ID] = g
	}
	return nil
}

func encodeSegment(records []program.Record) ([]byte, error) {
	m := &peerpb.ReplicateRequest{}
	for _, r := range records {
		m.Records = append(m.Records, toPeer(program.ShardOf(r.ID.Root), []program.Record{r})...)
	}
	value, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode journal segment: %w", err)
	}
	if len(value) > store.MaxValue {
		return nil, fmt.Errorf("journal segment of %d bytes exceeds %d", len(value), store.MaxValue)
	}
	return value, nil
}

func (j *journal) nextSegment(prefix string) *segment {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, g := range j.segments {
		if len(g.live) == 0 {
			return g
		}
	}
	j.lastNumber++
	g := &segment{key: fmt.Sprintf("%s%08d", prefix, j.lastNumber)}
	j.segments = append(j.segments, g)
	return g
}

// put writes a segment. After a conflict or an unknown outcome, it reads the value
// back to find out whether the write took effect.
func (j *journal) put(ctx context.Context, g *segment, value []byte) (store.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := j.clock.AfterFunc(storeTimeout, cancel)
	defer timer.Stop()
	version, err := j.store.Put(ctx, g.key, value, g.version)
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return version, err
	}
	// No other host writes this key while this host is a member, so a conflict
	// means that an earlier write of this host took effect.
	e, readErr := j.store.Get(ctx, g.key)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	if bytes.Equal(e.Value, value) {
		return e.Version, nil
	}
	j.mu.Lock()
	g.version = e.Version
	j.mu.Unlock()
	return 0, err
}

// compact rewrites the live records of the segments with the least live data and
// deletes these segments, if the journal has more than maxSegments. It does
// nothing if the live data would fill more than half as many segments.
func (j *journal) compact(ctx context.Context) error {
	j.mu.Lock()
	prefix := j.prefix
	var sources []*segment
	total := 0
	if len(j.segments) > maxSegments {
		sources = slices.Clone(j.segments)
		slices.SortStableFunc(sources, func(a, b *segment) int { return a.liveBytes() - b.liveBytes() })
		sources = sources[:segmentsPerCompaction]
		for _, g := range sources {
			total += g.liveBytes()
		}
	}
	j.mu.Unlock()
	if len(sources) == 0 || total > segmentsPerCompaction/2*maxSegmentBytes {
		return nil
	}
	var records []program.Record
	for _, g := range sources {
		rs, err := j.liveRecords(ctx, g)
		if err != nil {
			return err
		}
		records = append(records, rs...)
	}
	j.mu.Lock()
	j.segments = slices.DeleteFunc(j.segments, func(g *segment) bool { return slices.Contains(sources, g) })
	j.mu.Unlock()
	if err := j.write(ctx, prefix, records); err != nil {
		j.mu.Lock()
		if j.prefix == prefix {
			j.segments = append(j.segments, sources...)
		}
		j.mu.Unlock()
		return err
	}
	for _, g := range sources {
		if err := j.store.Delete(ctx, g.key, g.version); err != nil && !errors.Is(err, store.ErrNotFound) {
			j.mu.Lock()
			if j.prefix == prefix {
				j.segments = append(j.segments, g)
			}
			j.mu.Unlock()
		}
	}
	return nil
}

// liveBytes returns an upper bound of the bytes that a compaction of the segment
// writes again. The caller must hold journal.mu.
func (g *segment) liveBytes() int {
	if len(g.live) == 0 {
		return 0
	}
	return g.size
}

// liveRecords reads a segment from the store and returns its live records.
func (j *journal) liveRecords(ctx context.Context, g *segment) ([]program.Record, error) {
	e, err := j.store.Get(ctx, g.key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	records, err := decodeSegment(e.Value)
	if err != nil {
		return nil, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.DeleteFunc(records, func(r program.Record) bool {
		return g.live[r.ID] != r.Version
	}), nil
}

func decodeSegment(value []byte) ([]program.Record, error) {
	var m peerpb.ReplicateRequest
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, fmt.Errorf("decode journal segment: %w", err)
	}
	var out []program.Record
	for _, p := range m.GetRecords() {
		r, err := fromPeer(p)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// journalOwner returns the host and the incarnation in the key of a segment.
func journalOwner(key string) (model.HostID, model.Incarnation, bool) {
	rest, ok := strings.CutPrefix(key, journalPrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) != journalKeyParts {
		return "", "", false
	}
	return model.HostID(parts[0]), model.Incarnation(parts[1]), true
}

// counts returns the number of segments and of queued records.
func (j *journal) counts() (int, int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.segments), len(j.pending)
}
