// Package disk stores key-value records in append-only segment files in the data
// folder.
//
// A segment is a sequence of frames: length of the payload (4 bytes, big
// endian), xxhash64 of the payload (8 bytes, big endian), payload. A payload is
// the length of the key (uvarint), the key, a kind byte and the data. The newest
// frame of a key holds its current value.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/cespare/xxhash/v2"
)

const (
	frameHeaderSize     = 12
	maxPayload          = 8 << 20  // a larger length means a damaged frame: records are at most 1 MiB
	defaultSegmentLimit = 16 << 20 // bytes after which a new segment is started
	compactRatio        = 2        // compaction starts above this multiple of the live bytes plus one segment
	lockName            = "LOCK"
	segmentGlob         = "*.segment"

	kindPut    = 0
	kindDelete = 1
)

// Sentinel errors, tested with errors.Is.
var (
	// ErrLocked reports a folder that another process uses.
	ErrLocked = errors.New("data folder is in use by another process")
	// ErrDamaged reports an invalid frame in a segment. In the newest segment Open
	// takes the first invalid frame for the rest of an interrupted write and cuts
	// the segment off there instead of failing.
	ErrDamaged = errors.New("damaged segment")
	// ErrNotFound reports a key without a record.
	ErrNotFound = errors.New("no such record")
	// ErrTooLarge reports a record that does not fit into a frame.
	ErrTooLarge = errors.New("record too large")
)

// Record is a key with its value. Nil Data deletes the key.
type Record struct {
	Key  string
	Data []byte
}

// location is the position of a frame.
type location struct {
	segment *segment
	offset  int64 // of the frame in the segment
	size    int64 // of the frame, with its header
}

// segment is one segment file.
type segment struct {
	number    int
	file      *os.File
	size      int64
	liveBytes int64 // bytes of the frames in the index
}

// Folder is an open data folder. All methods are safe for concurrent use.
type Folder struct {
	path         string
	lock         *os.File
	segmentLimit int64
	sync         func(*os.File) error
	truncated    int64

	mu           sync.Mutex // guards all fields below; flush releases it during I/O
	flushed      *sync.Cond
	segments     []*segment // oldest first; records are appended to the last one
	index        map[string]location
	queue        []Record
	queuedCount  uint64 // number of records queued since Open
	durableCount uint64 // number of records synced since Open
	flushing     bool
	writeErr     error // the first failed write; all later appends fail with it
	closed       bool
}

// Open opens or creates a data folder. It fails with ErrLocked if another process
// uses the folder. An interrupted write leaves an invalid frame behind at the end
// of the newest segment: the first invalid frame there is cut off with all that
// follows it.
func Open(path string) (*Folder, error) { return open(path, defaultSegmentLimit, (*os.File).Sync) }

func open(path string, limit int64, flush func(*os.File) error) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open lock file of data folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	}
	f := &Folder{path: path, lock: lock, segmentLimit: limit, sync: flush, index: map[string]location{}}
	f.flushed = sync.NewCond(&f.mu)
	if err := f.recover(); err != nil {
		f.closeFiles()
		return nil, err
	}
	return f, nil
}

// Truncated returns the number of bytes that Open cut off from the newest
// segment.
func (f *Folder) Truncated() int64 { return f.truncated }

// recover builds the index from the segments and starts the first segment of a
// new folder.
func (f *Folder) recover() error {
	names, err := filepath.Glob(filepath.Join(f.path, segmentGlob))
	if err != nil {
		return fmt.Errorf("list segments of data folder: %w", err)
	}
	slices.Sort(names)
	for i, name := range names {
		if err := f.recoverSegment(name, i == len(names)-1); err != nil {
			return err
		}
	}
	if len(f.segments) == 0 {
		return f.addSegment()
	}
	return nil
}

func (f *Folder) recoverSegment(name string, newest bool) error {
	g := &segment{}
	if _, err := fmt.Sscanf(filepath.Base(name), "%d.segment", &g.number); err != nil {
		return fmt.Errorf("data folder: file name %s has no segment number", name)
	}
	var err error
	if g.file, err = os.OpenFile(name, os.O_RDWR, 0o600); err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	f.segments = append(f.segments, g)
	for {
		r, size, err := readFrame(g.file, g.size)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if errors.Is(err, ErrDamaged) && newest {
			return f.truncate(g)
		}
		if err != nil {
			return fmt.Errorf("read segment %s at byte %d: %w", name, g.size, err)
		}
		f.indexFrame(r, location{g, g.size, size})
		g.size += size
	}
}

// truncate removes the first invalid frame of the newest segment, at offset
// g.size, and all that follows it.
func (f *Folder) truncate(g *segment) error {
	info, err := g.file.Stat()
	if err != nil {
		return fmt.Errorf("truncate segment: %w", err)
	}
	f.truncated = info.Size() - g.size
	if err := g.file.Truncate(g.size); err != nil {
		return fmt.Errorf("truncate segment: %w", err)
	}
	return f.sync(g.file)
}

// indexFrame records p as the location of the newest frame of its key. The caller
// must hold f.mu, except during recovery.
func (f *Folder) indexFrame(r Record, p location) {
	if old, ok := f.index[r.Key]; ok {
		old.segment.liveBytes -= old.size
	}
	if r.Data == nil {
		delete(f.index, r.Key)
		return
	}
	f.index[r.Key] = p
	p.segment.liveBytes += p.size
}

// addSegment creates the next segment, to which records are appended from then
// on.
func (f *Folder) addSegment() error {
	number := 1
	if n := len(f.segments); n > 0 {
		number = f.segments[n-1].number + 1
	}
	name := filepath.Join(f.path, fmt.Sprintf("%08d.segment", number))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("create segment: %w", err)
	}
	f.segments = append(f.segments, &segment{number: number, file: file})
	return f.syncFolder()
}

// syncFolder makes created and removed files durable.
func (f *Folder) syncFolder() error {
	d, err := os.Open(f.path)
	if err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return errors.Join(f.sync(d), d.Close())
}

func appendFrame(out []byte, r Record) []byte {
	payload := binary.AppendUvarint(nil, uint64(len(r.Key)))
	payload = append(payload, r.Key...)
	kind := byte(kindPut)
	if r.Data == nil {
		kind = kindDelete
	}
	payload = append(payload, kind)
	payload = append(payload, r.Data...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(payload))
	return append(out, payload...)
}

// readFrame reads one frame and returns its record and size. It fails with io.EOF
// at the end of the file and with ErrDamaged for an incomplete or altered frame. The
// size of a damaged frame is 0 if it is not known.
func readFrame(file io.ReaderAt, offset int64) (Record, int64, error) {
	var header [frameHeaderSize]byte
	n, err := file.ReadAt(header[:], offset)
	if n == 0 && errors.Is(err, io.EOF) {
		return Record{}, 0, io.EOF
	}
	if n < frameHeaderSize {
		return Record{}, 0, readError(err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxPayload {
		return Record{}, 0, fmt.Errorf("%w: payload of %d bytes exceeds the limit", ErrDamaged, size)
	}
	payload := make([]byte, size)
	if n, err := file.ReadAt(payload, offset+frameHeaderSize); n < len(payload) {
		return Record{}, 0, readError(err)
	}
	if xxhash.Sum64(payload) != binary.BigEndian.Uint64(header[4:]) {
		return Record{}, frameHeaderSize + int64(size), fmt.Errorf("%w: checksum does not match", ErrDamaged)
	}
	length, k := binary.Uvarint(payload)
	if k <= 0 || length >= uint64(len(payload)-k) {
		return Record{}, frameHeaderSize + int64(size), fmt.Errorf("%w: length of the key exceeds the payload", ErrDamaged)
	}
	r := Record{Key: string(payload[k : k+int(length)])}
	rest := payload[k+int(length):]
	if rest[0] == kindPut {
		r.Data = rest[1:]
	}
	return r, frameHeaderSize + int64(size), nil
}

// readError returns ErrDamaged for a frame that exceeds the file.
func readError(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: frame is incomplete", ErrDamaged)
	}
	return err
}

// Append stores records and returns when they are synced to disk. Concurrent
// calls share one fsync. After a failed write all later calls fail.
func (f *Folder) Append(records []Record) error { return f.Enqueue(records)() }

// Enqueue queues records to be written after all records that were queued
// before. The returned function waits until all of them are synced to disk. It
// must be called, because the callers of these functions do the writing.
func (f *Folder) Enqueue(records []Record) func() error {
	for _, r := range records {
		if len(r.Key)+len(r.Data) > maxPayload-binary.MaxVarintLen64-1 {
			err := fmt.Errorf("%w: key %q has %d bytes of data", ErrTooLarge, r.Key, len(r.Data))
			return func() error { return err }
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return func() error { return os.ErrClosed }
	}
	f.queue = append(f.queue, records...)
	f.queuedCount += uint64(len(records))
	last := f.queuedCount
	return func() error { return f.wait(last) }
}

// wait returns when the first n queued records are synced to disk. One of the
// waiting goroutines writes the queue for all of them.
func (f *Folder) wait(n uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.durableCount < n && f.writeErr == nil {
		if f.flushing {
			f.flushed.Wait()
			continue
		}
		f.flush()
	}
	if f.durableCount >= n {
		return nil
	}
	return f.writeErr
}

// flush writes and syncs the queue. The caller must hold f.mu, which flush
// releases during I/O.
func (f *Folder) flush() {
	records := f.queue
	f.queue = nil
	f.flushing = true
	g := f.segments[len(f.segments)-1]
	f.mu.Unlock()
	var out []byte
	locations := make([]location, len(records))
	for i, r := range records {
		start := len(out)
		out = appendFrame(out, r)
		locations[i] = location{g, g.size + int64(start), int64(len(out) - start)}
	}
	_, err := g.file.WriteAt(out, g.size)
	if err == nil {
		err = f.sync(g.file)
	}
	f.mu.Lock()
	f.flushing = false
	f.flushed.Broadcast()
	if err != nil {
		f.writeErr = fmt.Errorf("write segment %d: %w", g.number, err)
		return
	}
	g.size += int64(len(out))
	f.durableCount += uint64(len(records))
	for i, r := range records {
		f.indexFrame(r, locations[i])
	}
	if err := f.rotateAndCompact(g); err != nil {
		f.writeErr = err
	}
}

// rotateAndCompact starts a new segment if g is full, and then compacts the
// oldest segment if too many bytes are not live. The caller must hold f.mu, and
// no flush may be running.
func (f *Folder) rotateAndCompact(g *segment) error {
	if g.size < f.segmentLimit {
		return nil
	}
	if err := f.addSegment(); err != nil {
		return err
	}
	if !f.wantsCompaction() {
		return nil
	}
	return f.compactOldest()
}

// wantsCompaction reports whether too many bytes are not live. The caller must hold
// f.mu.
func (f *Folder) wantsCompaction() bool {
	var size, live int64
	for _, g := range f.segments {
		size += g.size
		live += g.liveBytes
	}
	return size > compactRatio*live+f.segmentLimit
}

// Compact frees the space of deleted records. Append does so only when it starts a new
// segment, which may never happen in a folder that is full. Compact does nothing while
// few bytes can be freed.
func (f *Folder) Compact() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.flushing {
		f.flushed.Wait()
	}
	for len(f.segments) > 1 && f.wantsCompaction() && !f.closed && f.writeErr == nil {
		if err := f.compactOldest(); err != nil {
			f.writeErr = err
		}
	}
	return f.writeErr
}

// compactOldest copies the live records of the oldest segment to the newest one
// and removes the oldest one. Its delete frames are not copied: no older segment
// is left that could hold records of their keys.
func (f *Folder) compactOldest() error {
	old := f.segments[0]
	newest := f.segments[len(f.segments)-1]
	var out []byte
	newLocations := map[string]location{}
	for key, p := range f.index {
		if p.segment != old {
			continue
		}
		r, _, err := readFrame(old.file, p.offset)
		if err != nil {
			return fmt.Errorf("compact segment %d: %w", old.number, err)
		}
		start := len(out)
		out = appendFrame(out, r)
		newLocations[key] = location{newest, newest.size + int64(start), int64(len(out) - start)}
	}
	if _, err := newest.file.WriteAt(out, newest.size); err != nil {
		return fmt.Errorf("compact segment %d: %w", old.number, err)
	}
	if err := f.sync(newest.file); err != nil {
		return fmt.Errorf("compact segment %d: %w", old.number, err)
	}
	newest.size += int64(len(out))
	newest.liveBytes += int64(len(out))
	for key, p := range newLocations {
		f.index[key] = p
	}
	f.segments = f.segments[1:]
	_ = old.file.Close() // its live records are synced in the newest segment
	if err := os.Remove(old.file.Name()); err != nil {
		return fmt.Errorf("compact segment %d: %w", old.number, err)
	}
	return f.syncFolder()
}

// Get returns the current record of a key, or ErrNotFound.
func (f *Folder) Get(key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.index[key]
	if !ok {
		return nil, fmt.Errorf("%w: key %q", ErrNotFound, key)
	}
	r, _, err := readFrame(p.segment.file, p.offset)
	if err != nil {
		return nil, fmt.Errorf("read segment %d at byte %d: %w", p.segment.number, p.offset, err)
	}
	return r.Data, nil
}

// Size returns the size of all segments, in bytes.
func (f *Folder) Size() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var size int64
	for _, g := range f.segments {
		size += g.size
	}
	return size
}

// Load calls visit with the current record of each key, in no particular order,
// and stops at the first error. visit must not call methods of f, which would
// deadlock.
func (f *Folder) Load(visit func(key string, data []byte) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, p := range f.index {
		r, _, err := readFrame(p.segment.file, p.offset)
		if err != nil {
			return fmt.Errorf("read segment %d at byte %d: %w", p.segment.number, p.offset, err)
		}
		if err := visit(key, r.Data); err != nil {
			return err
		}
	}
	return nil
}

// Close waits until all queued records are written and releases the folder.
func (f *Folder) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	f.closed = true
	for f.flushing || f.writeErr == nil && f.durableCount < f.queuedCount {
		f.flushed.Wait()
	}
	f.closeFiles()
	return f.writeErr
}

func (f *Folder) closeFiles() {
	for _, g := range f.segments {
		_ = g.file.Close() // every acknowledged record is already synced
	}
	_ = f.lock.Close()
}
