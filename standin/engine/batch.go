package engine

import (
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"
)

var (
	errStreamExists = errors.New("a stream with this id is running")
	errStopping     = errors.New("engine is stopping")
)

// start admits a request and runs it in the background. The caller is counted
// as its first reader and must call detach.
func (s *Server) start(id, program string, r Request) (*stream, error) {
	if id == "" {
		id = uuid.NewString()
	}
	st := &stream{
		id: id, program: program, model: r.Model, created: s.options.Clock.Now(),
		prompt: tokens(r.Messages), answer: answerTokens(r.Messages, r.MaxTokens), reason: reasonStop,
		admitted: make(chan struct{}), cancel: make(chan struct{}), changed: make(chan struct{}),
		readers: 1,
	}
	if len(st.answer) < answerLength(r.Messages, digest(r.Messages)) {
		st.reason = reasonLength
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.Stopped():
		return nil, errStopping
	default:
	}
	if old := s.streams[id]; old != nil && !old.ended() {
		return nil, errStreamExists
	}
	s.streams[id] = st
	s.counts.Requests++
	s.queue = append(s.queue, st)
	s.admit()
	s.work.Go(func() { s.run(st) })
	return st, nil
}

// admit starts waiting streams while the batch has room. The caller holds s.mu.
func (s *Server) admit() {
	for s.running < s.options.MaxRunning && len(s.queue) > 0 {
		st := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		close(st.admitted)
	}
}

// run takes a stream through the batch.
func (s *Server) run(st *stream) {
	select {
	case <-st.admitted:
	case <-st.cancel:
		s.leave(st)
		return
	}
	s.prefill(st)
	for s.generate(st) {
	}
	s.leave(st)
}

// prefill computes the part of the prompt that is not cached.
func (s *Server) prefill(st *stream) {
	s.mu.Lock()
	cached := s.cache.match(st.prompt)
	s.counts.PromptTokens += int64(len(st.prompt))
	s.counts.CachedTokens += int64(cached)
	s.mu.Unlock()
	st.update(func() {
		st.cached = cached
		if st.state == waiting {
			st.state = running
		}
	})
	if s.pause(st, time.Duration(len(st.prompt)-cached)*s.options.PromptTokenTime) {
		s.keep(st, st.prompt)
	}
}

// keep caches the tokens for the program of st.
func (s *Server) keep(st *stream, tokens []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[st.id] == st { // not after a crash
		s.cache.insert(st.program, s.cache.blockIDs(tokens), s.options.Clock.Now())
	}
}

// generate adds one token and reports whether more follow.
func (s *Server) generate(st *stream) bool {
	if !s.pause(st, s.options.OutputTokenTime) {
		return false
	}
	more := false
	st.update(func() {
		if st.state != running {
			return
		}
		st.done++
		more = st.done < len(st.answer)
	})
	if !more {
		s.finish(st)
	}
	return more
}

// pause waits for d, slowed by the other running streams. It returns false if
// the stream was cancelled.
func (s *Server) pause(st *stream, d time.Duration) bool {
	s.mu.Lock()
	factor := 1 + s.options.Slowdown*float64(max(s.running-1, 0))
	s.mu.Unlock()
	if d = time.Duration(float64(d) * factor); d <= 0 {
		return !st.ended()
	}
	t := s.options.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-st.cancel:
		return false
	}
}

// finish caches prompt and answer, which is the prefix of the next call, and
// then completes the stream, so that the next call finds it cached.
func (s *Server) finish(st *stream) {
	answer := Message{Role: "assistant"}
	for _, t := range st.answer[:st.done] {
		answer.Content += Content(t)
	}
	s.keep(st, append(slices.Clone(st.prompt), tokens([]Message{answer})...))
	st.update(func() {
		if st.state == running {
			st.state = finished
		}
	})
}

// leave takes a stream out of the batch or the queue.
func (s *Server) leave(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-st.admitted:
		s.running--
	default:
		s.queue = slices.DeleteFunc(s.queue, func(q *stream) bool { return q == st })
	}
	st.mu.Lock()
	s.counts.OutputTokens += int64(st.done)
	if st.state == finished {
		s.counts.Finished++
	} else {
		s.counts.Cancelled++
	}
	st.mu.Unlock()
	s.admit()
	s.options.Clock.AfterFunc(s.options.Retain, func() { s.drop(st) })
}

// drop forgets an ended stream.
func (s *Server) drop(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[st.id] == st {
		delete(s.streams, st.id)
	}
}

// find returns a stream and counts the caller as a reader.
func (s *Server) find(id string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[id]
	if st != nil {
		st.update(func() {
			st.readers++
			st.attached++
		})
	}
	return st
}

// detach ends the reading of a connection. A stream that still runs without a
// reader is cancelled after Retain, or at once with NoResume.
func (s *Server) detach(st *stream) {
	var attached int
	var alone bool
	st.update(func() {
		st.readers--
		attached = st.attached
		alone = st.readers == 0
	})
	switch {
	case !alone || st.ended():
	case s.options.NoResume:
		st.stop()
	default:
		s.options.Clock.AfterFunc(s.options.Retain, func() {
			if !st.attachedSince(attached) {
				st.stop()
			}
		})
	}
}
