package engine

import (
	"errors"
	"io"
	"sync"
	"time"
)

// errBroken ends the body of a stream that did not complete. The HTTP server
// then closes the connection without the end of the body.
var errBroken = errors.New("engine: stream broken")

// state of a stream.
type state int

const (
	waiting state = iota
	running
	finished
	cancelled
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
	reason  string   // finish reason

	admitted chan struct{} // closed when the stream may run
	cancel   chan struct{} // closed when the stream is cancelled

	mu       sync.Mutex
	state    state
	cached   int           // prompt tokens found in the cache
	done     int           // tokens generated
	readers  int           // connections that follow the stream
	attached int           // counts the readers that came by a resume
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
func (st *stream) stop() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.state == finished || st.state == cancelled {
		return
	}
	st.state = cancelled
	close(st.cancel)
	close(st.changed)
	st.changed = make(chan struct{})
}

// attachedSince reports whether a reader came after the given count.
func (st *stream) attachedSince(attached int) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.readers > 0 || st.attached != attached
}

func (st *stream) ended() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.state == finished || st.state == cancelled
}

// chunks returns how many chunks exist and whether all do. The caller holds
// st.mu.
func (st *stream) chunks() (n int, whole bool) {
	switch {
	case st.state == finished:
		return st.done + 3, true
	case st.state == running && st.done > 0:
		return st.done + 1, false
	}
	return 0, false
}

// await waits until chunk n exists. It returns whole if the stream has fewer
// chunks, and errBroken if it was cancelled before.
func (st *stream) await(n int, stopped <-chan struct{}) (whole bool, err error) {
	for {
		st.mu.Lock()
		have, all := st.chunks()
		broken := st.state == cancelled
		changed := st.changed
		st.mu.Unlock()
		switch {
		case n < have:
			return false, nil
		case all:
			return true, nil
		case broken:
			return false, errBroken
		}
		select {
		case <-changed:
		case <-stopped:
			return false, errBroken
		}
	}
}

// reader is the body of a stream's answer, one event for each Read.
type reader struct {
	server *Server
	stream *stream
	next   int // chunk
	sent   int // chunks
	cut    int // breaks after that many chunks; 0: never
	left   []byte
	end    bool
	closed sync.Once
}

// Read returns one event, or the rest of one.
func (r *reader) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.left)
	r.left = r.left[n:]
	return n, nil
}

func (r *reader) fill() error {
	if r.end {
		return io.EOF
	}
	if r.cut > 0 && r.sent == r.cut {
		return errBroken
	}
	whole, err := r.stream.await(r.next, r.server.Stopped())
	if err != nil {
		return err
	}
	if whole {
		r.end = true
		r.left = []byte("data: [DONE]\n\n")
		return nil
	}
	r.left = r.stream.event(r.next)
	r.next++
	r.sent++
	return nil
}

// Close is called by the HTTP server when the answer or its connection ended.
func (r *reader) Close() error {
	r.closed.Do(func() { r.server.detach(r.stream) })
	return nil
}
