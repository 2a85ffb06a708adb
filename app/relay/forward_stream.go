package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/dispatch"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
	"mimosarelay/io/target"
)

// forwardedStream passes on the events of a stream and goes on at another run
// when one breaks off. Read returns io.EOF only at the end of the whole stream.
type forwardedStream struct {
	service *Service
	ctx     context.Context // of the request; the stream outlives Forward
	call    *forwarding
	resp    *target.Response
	events  *target.EventReader
	pendingEvents
	last  uint64 // id of the last event passed on
	count int    // events passed on
}

// forwardStream returns the answer to a request for a stream.
func (s *Service) forwardStream(ctx context.Context, w *forwarding, resp *target.Response) *Answer {
	b := &forwardedStream{service: s, ctx: ctx, call: w}
	if id, err := strconv.ParseUint(w.LastEvent, 10, 64); err == nil {
		b.last = id
	}
	headers := endToEnd(resp.Message())
	b.open(resp)
	return &Answer{Status: resp.Status(), Headers: headers, Body: b, Length: -1}
}

func (b *forwardedStream) open(resp *target.Response) {
	b.resp = resp
	b.events = target.NewEventReader(resp)
}

// Read implements io.Reader. It returns as many whole events as have arrived.
func (b *forwardedStream) Read(p []byte) (int, error) { return b.read(p, b.next) }

func (b *forwardedStream) next() {
	b.pending = b.pending[:0]
	for {
		event, err := b.events.Next()
		if err != nil {
			b.ended(err)
			return
		}
		id, ok := eventID(event)
		if ok && id <= b.last && b.last > 0 {
			continue // a repeated event of a resumed stream
		}
		if ok {
			b.last = id
		}
		b.count++
		b.pending = append(b.pending, event...)
		if !b.events.Buffered() {
			return
		}
	}
}

// ended handles the end of one run's events.
func (b *forwardedStream) ended(err error) {
	if target.AtEnd(err) {
		b.end = io.EOF
		b.release(false)
		return
	}
	s, w := b.service, b.call
	b.closeRun()
	next := s.attemptFailed(b.ctx, w, err)
	for w.Route.Repeatable() && b.resumable() && w.goOn(b.ctx, next) {
		if next, err = b.resume(); err == nil {
			return
		}
	}
	b.end = fmt.Errorf("%w: stream broke off after %d events: %w", io.ErrUnexpectedEOF, b.count, err)
	s.metrics.broken.Inc(1)
}

// resumable says whether another run can go on after what was passed on.
func (b *forwardedStream) resumable() bool { return b.last > 0 || b.count == 0 }

// resume goes on at another run.
func (b *forwardedStream) resume() (dispatch.Next, error) {
	s, w := b.service, b.call
	place, err := s.Placer.Acquire(b.ctx, w.placeRequest())
	if err != nil {
		return nil, err
	}
	w.place = place
	last := w.LastEvent
	if b.last > 0 {
		last = strconv.FormatUint(b.last, 10)
	}
	resp, err := s.dispatch(b.ctx, w, last)
	if err == nil && (resp.Status() != fasthttp.StatusOK || !isEventStream(resp.ContentType())) {
		status := resp.Status()
		_ = resp.Close()
		err = fmt.Errorf("%w: resumed stream answered %d", errNotResumed, status)
		place.Release(placement.Usage{})
		return dispatch.GiveUp{}, err
	}
	if err != nil {
		return s.attemptFailed(b.ctx, w, err), err
	}
	s.metrics.resumes.Inc(1)
	s.Log.Info("stream resumed", "request", w.ID, "target", place.Target().Name, "after", last, "events", b.count)
	b.open(resp)
	return nil, nil
}

var errNotResumed = errors.New("stream cannot be resumed")

func (b *forwardedStream) closeRun() {
	if b.events != nil {
		b.events.Release()
		b.events = nil
	}
	if b.resp != nil {
		_ = b.resp.Close()
		b.resp = nil
	}
}

func (b *forwardedStream) release(failed bool) {
	b.closeRun()
	tokens := b.tokens()
	b.call.place.Release(placement.Usage{Prompt: b.call.Prompt.Tokens, Completion: tokens, Failed: failed})
}

func (b *forwardedStream) tokens() model.Tokens {
	return model.Tokens(b.count) * b.call.Service.TokensPerEvent
}

// whole says that the stream has ended as its target ended it. An error may wrap
// io.EOF.
func (b *forwardedStream) whole() bool { return b.end == io.EOF } //nolint:errorlint // see above

// Close implements io.Closer. Closing before the end cancels the request at its
// target.
func (b *forwardedStream) Close() error {
	if b.resp != nil {
		b.release(false)
	}
	b.call.endTurn(b.tokens())
	b.service.logForward(b.call, fasthttp.StatusOK, b.whole(), b.count)
	return nil
}

var idField = []byte("id:")

// eventID returns the id of a server-sent event.
func eventID(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
