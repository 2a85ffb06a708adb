package engine

import (
	"errors"
	"io"
	"sync"
	"time"
)

// errBroken ends the body of a stream that did not complete. The HTTP server
// then closes the connection without the end of the body.
var errIncompleteStream = errors.New("engine: stream broken")

// state of a stream.
type streamState int

const (
	streamWaiting streamState = iota
	streamRunning
	streamFinished
	streamCancelled
)

// stream is one request and its answer. Chunks are numbered from 0: the first
// carries the role, then one for each token, then the finish reason, then the
// usage.
type stream struct {
	id      string
	program string
	model   string
	created time.Time
	prompt  []uint64 // token hashes
	answer  []string // all tokens
	finishReason  string   // finish reason

	admitted chan struct{} // closed when the stream may run
	cancelled   chan struct{} // closed when the stream is cancelled

	mu       sync.Mutex
	state    streamState
	cached   int           // prompt tokens found in the cache
	generated     int           // tokens generated
	readers  int           // connections that follow the stream
	resumes int           // counts the readers that came by a resume
	changed  chan struct{} // closed and replaced on each change
}

// update changes the stream and wakes its readers.
func (st *stream) update(change func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	change()
	close(st.changed)
	st.changed = make(chan struct{})
}

// stop cancels the stream unless it has ended.
func (st *stream) cancel() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.state == streamFinished || st.state == streamCancelled {
		return
	}
	st.state = streamCancelled
	close(st.cancelled)
	close(st.changed)
	st.changed = make(chan struct{})
}

// attachedSince reports whether a reader came after the given count.
func (st *stream) hasReaderSince(attached int) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.readers > 0 || st.resumes != attached
}

func (st *stream) ended() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.state == streamFinished || st.state == streamCancelled
}

// chunks returns how many chunks exist and whether all do. The caller holds
// st.mu.
func (st *stream) availableChunks() (n int, whole bool) {
	switch {
	case st.state == streamFinished:
		return st.generated + 3, true
	case st.state == streamRunning && st.generated > 0:
		return st.generated + 1, false
	}
	return 0, false
}

// await waits until chunk n exists. It returns whole if the stream has fewer
// chunks, and errBroken if it was cancelled before.
func (st *stream) awaitChunk(n int, stopped <-chan struct{}) (whole bool, err error) {
	for {
		st.mu.Lock()
		have, all := st.availableChunks()
		broken := st.state == streamCancelled
		changed := st.changed
		st.mu.Unlock()
		switch {
		case n < have:
			return false, nil
		case all:
			return true, nil
		case broken:
			return false, errIncompleteStream
		}
		select {
		case <-changed:
		case <-stopped:
			return false, errIncompleteStream
		}
	}
}

// reader is the body of a stream's answer, one event for each Read.
type streamReader struct {
	server *Server
	stream *stream
	next   int // chunk
	sent   int // chunks
	cutAfter    int // breaks after that many chunks; 0: never
	unread   []byte
	doneSent    bool
	closeOnce sync.Once
}

// Read returns one event, or the rest of one.
func (r *streamReader) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		if err := r.encodeNext(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

func (r *streamReader) encodeNext() error {
	if r.doneSent {
		return io.EOF
	}
	if r.cutAfter > 0 && r.sent == r.cutAfter {
		return errIncompleteStream
	}
	whole, err := r.stream.awaitChunk(r.next, r.server.Stopped())
	if err != nil {
		return err
	}
	if whole {
		r.doneSent = true
		r.unread = []byte("data: [DONE]\n\n")
		return nil
	}
	r.unread = r.stream.encodeChunk(r.next)
	r.next++
	r.sent++
	return nil
}

// Close is called by the HTTP server when the answer or its connection ended.
func (r *streamReader) Close() error {
	r.closeOnce.Do(func() { r.server.detach(r.stream) })
	return nil
}
