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
	journalPrefix         = "Journal/"
	flushInterval         = 25 * time.Millisecond   // 40 writes a second and host keep 7 hosts below the store's several hundred
	flushRetryDelay       = 100 * time.Millisecond  // pause after a failed write
	maxSegmentBytes       = store.MaxValue - 64<<10 // leaves room for the envelope of each record
	maxSegments           = 64                      // segments before compaction, about 64 MiB
	segmentsPerCompaction = 16                      // segments that one compaction rewrites
	storeTimeout          = 2 * time.Second
	maxEnvelopeBytes      = 128 // upper estimate of a record's protobuf envelope besides its names
	journalKeyParts       = 3   // Journal/<host>/<incarnation>/<n>
)

// segment is one value in the store.
type segment struct {
	key     string
	version store.Version
	live    map[program.ID]program.Version
	size    int
}

// journal writes records to the store in groups. Only run writes; the segment
// table belongs to it.
type journal struct {
	store store.Store
	clock clockwork.Clock
	log   *slog.Logger
	wake  chan struct{}

	mu         sync.Mutex
	prefix     string // with host and incarnation
	pending    map[program.ID]program.Record
	waiters    []chan struct{}
	index      map[program.ID]*segment
	segments   []*segment
	lastNumber int
}

func newJournal(s store.Store, c clockwork.Clock, l *slog.Logger) *journal {
	j := &journal{store: s, clock: c, log: l, wake: make(chan struct{}, 1)}
	j.reset("")
	return j
}

// reset starts the journal of a new incarnation and forgets the old one, whose
// segments the new owners of its programs remove.
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

// add queues records. The returned channel is closed when they, or newer
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

// forget releases the records of a program that is past its retention.
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

// idle reports whether everything queued is in the store.
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
			j.log.Warn("journal write failed", "Error", err)
			pause = flushRetryDelay
			select {
			case j.wake <- struct{}{}:
			default:
			}
		} else if err := j.compact(ctx); err != nil {
			j.log.Warn("journal compaction failed", "Error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-j.clock.After(pause):
		}
	}
}

// flush writes all queued records. On failure they are queued again.
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
		return nil // another incarnation; its waiters must not be told of success
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

// order puts content before heads, so that no head is in the store without
// its content.
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

// writeSegment writes one value, over a segment without live records if there
// is one. That saves the store a deletion for each write.
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

// put resolves a write whose answer was lost by reading the value back.
func (j *journal) put(ctx context.Context, g *segment, value []byte) (store.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := j.clock.AfterFunc(storeTimeout, cancel)
	defer timer.Stop()
	version, err := j.store.Put(ctx, g.key, value, g.version)
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return version, err
	}
	// Nobody else writes this key while its host is a member: an earlier write
	// of ours took effect.
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

// compact rewrites the live records of the emptiest segments when there are
// too many, and deletes surplus empty ones.
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

// liveBytes estimates the size of a segment after compaction. Needs journal.mu.
func (g *segment) liveBytes() int {
	if len(g.live) == 0 {
		return 0
	}
	return g.size
}

// liveRecords reads the records of a segment that no later segment replaces.
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

// journalOwner returns host and incarnation of a journal key.
func journalOwner(key string) (model.HostID, model.Incarnation, bool) {
	rest, ok := strings.CutPrefix(key, journalPrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) != journalKeyParts {
		return "", "", false
	}
	return model.HostID(parts[0]), model.Incarnation(parts[1]), true
}

// sizes returns the number of segments and of queued records.
func (j *journal) counts() (int, int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.segments), len(j.pending)
}
