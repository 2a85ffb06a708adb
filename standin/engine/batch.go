package engine

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
)

var (
	errStreamExists = errors.New("stream with this id has not ended")
	errStopping     = errors.New("engine is stopping")
)

// startStream adds a request to the queue and processes it in the background. The
// caller counts as its first reader and must call detach.
func (s *Server) startStream(id, program string, r Request) (*stream, error) {
	if id == "" {
		id = uuid.NewString()
	}
	st := &stream{
		id: id, program: program, model: r.Model, created: s.options.Clock.Now(),
		prompt: tokenHashes(r.Messages), answer: answerTokens(r.Messages, r.MaxTokens), finishReason: finishReasonStop,
		admitted: make(chan struct{}), cancelled: make(chan struct{}), changed: make(chan struct{}),
		readers: 1,
	}
	if len(st.answer) < answerLength(r.Messages, hashMessages(r.Messages)) {
		st.finishReason = finishReasonLength
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.Stopped():
		return nil, errStopping
	default:
	}
	if old := s.streams[id]; old != nil && !old.ended() {
		return nil, fmt.Errorf("%w: %q", errStreamExists, id)
	}
	s.streams[id] = st
	s.stats.Requests++
	s.queue = append(s.queue, st)
	s.admitWaiting()
	s.goroutines.Go(func() { s.runStream(st) })
	return st, nil
}

// admitWaiting moves streams from the queue into the batch while fewer than
// MaxRunning run. The caller holds s.mu.
func (s *Server) admitWaiting() {
	for s.running < s.options.MaxRunning && len(s.queue) > 0 {
		st := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		close(st.admitted)
	}
}

// runStream processes a stream from the queue to its end.
func (s *Server) runStream(st *stream) {
	select {
	case <-st.admitted:
	case <-st.cancelled:
		s.releaseStream(st)
		return
	}
	s.prefill(st)
	for s.generateToken(st) {
	}
	s.releaseStream(st)
}

// prefill simulates the computation of the prompt tokens that are not cached, and
// then caches the prompt.
func (s *Server) prefill(st *stream) {
	s.mu.Lock()
	cached := s.cache.matchPrefix(st.prompt)
	s.stats.PromptTokens += int64(len(st.prompt))
	s.stats.CachedTokens += int64(cached)
	s.mu.Unlock()
	st.update(func() {
		st.cached = cached
		if st.state == streamWaiting {
			st.state = streamRunning
		}
	})
	if s.simulateWork(st, time.Duration(len(st.prompt)-cached)*s.options.PromptTokenTime) {
		s.cacheTokens(st, st.prompt)
	}
}

// cacheTokens adds tokens to the cache for the program of st.
func (s *Server) cacheTokens(st *stream, tokens []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[st.id] == st { // a crash removes the stream
		s.cache.insert(st.program, s.cache.blockIDs(tokens), s.options.Clock.Now())
	}
}

// generateToken adds a token to the answer and reports whether more follow.
func (s *Server) generateToken(st *stream) bool {
	if !s.simulateWork(st, s.options.OutputTokenTime) {
		return false
	}
	more := false
	st.update(func() {
		if st.state != streamRunning {
			return
		}
		st.generated++
		more = st.generated < len(st.answer)
	})
	if !more {
		s.finishStream(st)
	}
	return more
}

// simulateWork waits for d, extended by Slowdown for the other running streams. It
// returns false if the stream is cancelled.
func (s *Server) simulateWork(st *stream, d time.Duration) bool {
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
	case <-st.cancelled:
		return false
	}
}

// finishStream caches the prompt and the answer, which are the prefix of the next
// call, and only then marks the stream as finished, so that the next call finds
// them in the cache. A cancelled stream stays cancelled.
func (s *Server) finishStream(st *stream) {
	var content strings.Builder
	for _, t := range st.answer[:st.generated] {
		content.WriteString(t)
	}
	answer := Message{Role: "assistant", Content: Content(content.String())}
	s.cacheTokens(st, append(slices.Clone(st.prompt), tokenHashes([]Message{answer})...))
	st.update(func() {
		if st.state == streamRunning {
			st.state = streamFinished
		}
	})
}

// releaseStream removes an ended stream from the batch or the queue and counts it.
// The stream is deleted after Retain.
func (s *Server) releaseStream(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-st.admitted:
		s.running--
	default:
		s.queue = slices.DeleteFunc(s.queue, func(q *stream) bool { return q == st })
	}
	st.mu.Lock()
	s.stats.OutputTokens += int64(st.generated)
	if st.state == streamFinished {
		s.stats.Finished++
	} else {
		s.stats.Cancelled++
	}
	st.mu.Unlock()
	s.admitWaiting()
	s.options.Clock.AfterFunc(s.options.Retain, func() { s.deleteStream(st) })
}

// deleteStream deletes an ended stream, which can then no longer be resumed.
func (s *Server) deleteStream(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[st.id] == st {
		delete(s.streams, st.id)
	}
}

// attach returns a stream, or nil if there is none with that id. The caller counts
// as a reader and must call detach.
func (s *Server) attach(id string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[id]
	if st != nil {
		st.update(func() {
			st.readers++
			st.resumes++
		})
	}
	return st
}

// detach removes a reader. A stream without readers that has not ended is
// cancelled after Retain unless it is resumed, or at once with NoResume.
func (s *Server) detach(st *stream) {
	var resumes int
	var alone bool
	st.update(func() {
		st.readers--
		resumes = st.resumes
		alone = st.readers == 0
	})
	switch {
	case !alone || st.ended():
	case s.options.NoResume:
		st.cancel()
	default:
		s.options.Clock.AfterFunc(s.options.Retain, func() {
			if !st.hasReaderSince(resumes) {
				st.cancel()
			}
		})
	}
}
