package engine

import (
	"errors"
	"io"
	"sync"
	"time"
)

// errIncompleteStream ends the response body of a stream that did not finish. The
// HTTP server then closes the connection without terminating the body.
var errIncompleteStream = errors.New("engine: stream ended before its last chunk")

// streamState is the processing state of a stream.
type streamState int

const (
	streamWaiting streamState = iota
	streamRunning
	streamFinished
	streamCancelled
)

// stream is a request and its answer, streamed or not. Chunks are numbered from 0:
// the first has the role, then one for each token, then the finish reason, then
// the usage, so that there are three more than tokens.
type stream struct {
	id           string
	program      string
	model        string
	created      time.Time
	prompt       []uint64 // token hashes
	answer       []string // all tokens, generated or not
	finishReason string

	admitted  chan struct{} // closed when the stream enters the batch
	cancelled chan struct{} // closed when the stream is cancelled

	mu        sync.Mutex
	state     streamState
	cached    int           // prompt tokens found in the cache
	generated int           // number of tokens generated
	readers   int           // connections that receive the stream
	resumes   int           // number of readers added by attach
	changed   chan struct{} // closed and replaced on each change
}

// update calls change with st.mu held and notifies the readers.
func (st *stream) update(change func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	change()
	close(st.changed)
	st.changed = make(chan struct{})
}

// cancel cancels the stream unless it has ended.
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

// hasReaderSince reports whether the stream has a reader, or was resumed since the
// number of resumes was as given.
func (st *stream) hasReaderSince(resumes int) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.readers > 0 || st.resumes != resumes
}

// ended reports whether the stream is finished or cancelled.
func (st *stream) ended() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.state == streamFinished || st.state == streamCancelled
}

// availableChunks returns the number of chunks that can be sent and whether these
// are all. The caller holds st.mu.
func (st *stream) availableChunks() (n int, complete bool) {
	switch {
	case st.state == streamFinished:
		return st.generated + 3, true
	case st.state == streamRunning && st.generated > 0:
		return st.generated + 1, false
	}
	return 0, false
}

// awaitChunk waits until chunk n exists. It returns true if the stream is finished
// and has fewer chunks, and errIncompleteStream if it was cancelled or the server
// is closed.
func (st *stream) awaitChunk(n int, stopped <-chan struct{}) (pastEnd bool, err error) {
	for {
		st.mu.Lock()
		available, complete := st.availableChunks()
		wasCancelled := st.state == streamCancelled
		changed := st.changed
		st.mu.Unlock()
		switch {
		case n < available:
			return false, nil
		case complete:
			return true, nil
		case wasCancelled:
			return false, errIncompleteStream
		}
		select {
		case <-changed:
		case <-stopped:
			return false, errIncompleteStream
		}
	}
}

// streamReader is the response body of a stream, one event for each Read.
type streamReader struct {
	server    *Server
	stream    *stream
	next      int // number of the next chunk
	sent      int // number of chunks sent
	cutAfter  int // fails after that many chunks; 0: never
	unread    []byte
	doneSent  bool
	closeOnce sync.Once
}

// Read returns one event, or the rest of one that did not fit into p.
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

// encodeNext waits for the next chunk and encodes it into unread.
func (r *streamReader) encodeNext() error {
	if r.doneSent {
		return io.EOF
	}
	if r.cutAfter > 0 && r.sent == r.cutAfter {
		return errIncompleteStream
	}
	pastEnd, err := r.stream.awaitChunk(r.next, r.server.Stopped())
	if err != nil {
		return err
	}
	if pastEnd {
		r.doneSent = true
		r.unread = []byte("data: [DONE]\n\n")
		return nil
	}
	r.unread = r.stream.encodeChunk(r.next)
	r.next++
	r.sent++
	return nil
}

// Close detaches the reader. The HTTP server calls it when the response or its
// connection has ended.
func (r *streamReader) Close() error {
	r.closeOnce.Do(func() { r.server.detach(r.stream) })
	return nil
}
