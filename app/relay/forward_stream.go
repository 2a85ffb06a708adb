package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/dispatch"
	"mimosarelay/core/health"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
	"mimosarelay/io/buffer"
	"mimosarelay/io/target"
)

// forwardStreamBody forwards the events of a stream and resumes the stream with
// another attempt if a response ends early. Read returns io.EOF only after the
// last event of the complete stream.
type forwardStreamBody struct {
	service *Service
	ctx     context.Context // the request's context; the body outlives the call of Forward
	call    *forwardCall
	resp    *target.Response
	events  *target.EventReader
	pendingEvents
	lastEventID uint64          // id of the last forwarded event
	eventCount  int             // number of forwarded events
	batch       []byte          // holds small events that arrived together
	output      buffer.Appender // data of the forwarded events, for a turn that is kept
	finished    bool            // the target ended the stream regularly
	pace        eventPace
}

// eventPace measures the time between the events of one response.
type eventPace struct {
	first, last time.Time
	count       int
}

// minPaceEvents is the number of events below which the time between them is not
// measured, because events that arrive together have no time between them.
const minPaceEvents = 4

func (p *eventPace) add(now time.Time) {
	if p.count == 0 {
		p.first = now
	}
	p.last = now
	p.count++
}

// gap returns the mean time between two events; 0 if it is not measured.
func (p *eventPace) gap() time.Duration {
	if p.count < minPaceEvents {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.count-1)
}

// forwardStream returns an answer whose body forwards the events of resp.
func (s *Service) forwardStream(ctx context.Context, c *forwardCall, resp *target.Response) *Answer {
	b := &forwardStreamBody{service: s, ctx: ctx, call: c, output: buffer.NewAppender(ctx, c.Memory)}
	if id, err := strconv.ParseUint(c.LastEvent, 10, 64); err == nil {
		b.lastEventID = id
	}
	headers := endToEndHeaders(resp.Message())
	recordOutcome(c.place, health.Answered)
	b.setResponse(resp)
	return &Answer{Status: resp.Status(), Headers: headers, Body: b, Length: -1}
}

func (b *forwardStreamBody) setResponse(resp *target.Response) {
	b.resp = resp
	b.pace = eventPace{}
	b.events = target.NewEventReader(resp)
	b.events.Reserve(b.ctx, b.call.Memory)
}

// maxBatchedEvent is the size up to which events that arrive together are copied for one
// read, in bytes. Larger ones are forwarded from the buffer of the reader.
const maxBatchedEvent = 4 << 10

// Read implements io.Reader. It returns the events that have arrived, up to the
// size of p.
func (b *forwardStreamBody) Read(p []byte) (int, error) { return b.read(p, b.readEvents) }

func (b *forwardStreamBody) readEvents() {
	b.pending, b.batch = nil, b.batch[:0]
	if b.finished {
		b.finish()
		return
	}
	for {
		event, err := b.events.Next()
		if err != nil {
			b.handleEnd(err)
			return
		}
		id, ok, err := eventID(event)
		if err != nil {
			b.handleEnd(err)
			return
		}
		if ok && id <= b.lastEventID && b.lastEventID > 0 {
			continue // a resumed stream may repeat events
		}
		if ok {
			b.lastEventID = id
			b.eventCount++
			b.pace.add(b.service.Clock.Now())
			if err := b.keepOutput(event); err != nil {
				b.handleEnd(err)
				return
			}
		}
		last := len(event) > maxBatchedEvent || !b.events.Buffered()
		if last && len(b.batch) == 0 {
			b.pending = event
			return
		}
		b.batch = append(b.batch, event...)
		b.pending = b.batch
		if last {
			return
		}
	}
}

// keepOutput adds the data of an event to the output of a turn that is kept.
func (b *forwardStreamBody) keepOutput(event []byte) error {
	if !b.call.keeps() {
		return nil
	}
	for line := range target.DataLines(event) {
		if err := errors.Join(b.output.Append(line), b.output.Append(lineFeed)); err != nil {
			return err
		}
	}
	if b.output.Len() > maxAnswer {
		return fmt.Errorf("%w: more than %d bytes", errTurnTooLarge, maxAnswer)
	}
	return nil
}

var lineFeed = []byte("\n")

// errTurnTooLarge reports an output that is too large for a turn that is kept.
var errTurnTooLarge = errors.New("output of a turn that is kept is too large")

// handleEnd handles the end of one response: the end of the stream, or an error
// after which the stream is resumed if possible.
func (b *forwardStreamBody) handleEnd(err error) {
	if target.AtEnd(err) {
		b.service.recordSound(b.call)
		b.service.endRun(b.call, b.resp != nil && showsSurvival(b.resp))
		b.release(false)
		b.finished = true
		if len(b.pending) == 0 {
			b.finish()
		}
		return
	}
	s, c := b.service, b.call
	b.closeResponse()
	if lacksMemory(err) {
		b.endWithoutMemory(err)
		return
	}
	next := s.handleFailedAttempt(b.ctx, c, fmt.Errorf("%w: %w", errStreamBroken, err))
	for c.Route.Repeatable() && b.resumable() && c.prepareNext(b.ctx, next) {
		if next, err = b.resume(); err == nil {
			return
		}
	}
	b.end = fmt.Errorf("%w: stream ended early after %d events: %w", io.ErrUnexpectedEOF, b.eventCount, err)
	s.metrics.broken.Inc(1)
}

// endWithoutMemory breaks the stream off because this host cannot hold more of it. Another
// attempt would need the same memory, and the target is not at fault.
func (b *forwardStreamBody) endWithoutMemory(err error) {
	s := b.service
	s.endRun(b.call, false)
	b.call.place.Release(placement.Usage{Prompt: b.call.Prompt.Tokens, Completion: b.tokens()})
	b.end = fmt.Errorf("%w: no memory for the rest of the stream: %w", io.ErrUnexpectedEOF, err)
	s.metrics.broken.Inc(1)
	s.metrics.withoutMemory.Inc(1)
	s.Log.Warn("stream was broken off for want of memory", "request", b.call.ID, "target", b.call.place.Target().Name, "events", b.eventCount, "error", err)
}

// lacksMemory reports whether an answer failed because this host had no memory for it.
func lacksMemory(err error) bool {
	return errors.Is(err, memory.ErrFull) || errors.Is(err, memory.ErrEvicted)
}

// finish ends the stream for the caller. A turn that is kept is stored before, so that
// no caller sees a complete answer that is lost.
func (b *forwardStreamBody) finish() {
	if b.call.keeps() {
		if err := b.service.saveTurn(b.ctx, b.call, b.output.Bytes()); err != nil {
			b.end = fmt.Errorf("%w: turn cannot be kept: %w", io.ErrUnexpectedEOF, err)
			b.service.metrics.broken.Inc(1)
			return
		}
	}
	b.end = io.EOF
}

// resumable reports whether another attempt can continue after the events that
// were forwarded. That needs the id of an event, unless there were none.
func (b *forwardStreamBody) resumable() bool { return b.lastEventID > 0 || b.eventCount == 0 }

// resume continues the stream with another attempt.
func (b *forwardStreamBody) resume() (dispatch.Next, error) {
	s, c := b.service, b.call
	if err := s.startAttempt(b.ctx, c); err != nil {
		return nil, err
	}
	place := c.place
	lastEvent := c.LastEvent
	if b.lastEventID > 0 {
		lastEvent = strconv.FormatUint(b.lastEventID, 10)
	}
	resp, err := s.dispatch(b.ctx, c, lastEvent)
	if err == nil && (resp.Status() != fasthttp.StatusOK || !isEventStream(resp.ContentType())) {
		status := resp.Status()
		_ = resp.Close()
		recordOutcome(place, answerOutcome(status))
		err = fmt.Errorf("%w: target %q answered %d", errNotResumed, place.Target().Name, status)
		s.endRun(c, false)
		place.Release(placement.Usage{})
		return dispatch.GiveUp{}, err
	}
	if err != nil {
		return s.handleFailedAttempt(b.ctx, c, err), err
	}
	recordOutcome(place, health.Answered)
	s.metrics.resumes.Inc(1)
	s.Log.Info("stream resumed", "request", c.ID, "target", place.Target().Name, "after", lastEvent, "events", b.eventCount)
	b.setResponse(resp)
	return nil, nil
}

var errNotResumed = errors.New("stream cannot be resumed")

func (b *forwardStreamBody) closeResponse() {
	if b.events != nil {
		b.events.Release()
		b.events = nil
	}
	if b.resp != nil {
		_ = b.resp.Close()
		b.resp = nil
	}
}

func (b *forwardStreamBody) release(failed bool) {
	b.closeResponse()
	tokens := b.tokens()
	b.call.place.Release(placement.Usage{
		Prompt: b.call.Prompt.Tokens, Completion: tokens, Failed: failed, Work: b.pace.gap(), Kind: b.call.workKind("\nstream"),
	})
}

func (b *forwardStreamBody) tokens() model.Tokens {
	return model.Tokens(b.eventCount) * b.call.Service.TokensPerEvent
}

// complete reports whether the target ended the stream regularly. It compares
// without errors.Is because the error of an incomplete stream may wrap io.EOF.
func (b *forwardStreamBody) complete() bool { return b.end == io.EOF } //nolint:errorlint // see above

// Close implements io.Closer. If the stream has not ended, it cancels the request
// at the target.
func (b *forwardStreamBody) Close() error {
	if b.resp != nil {
		b.release(false)
	}
	b.output.Release()
	b.service.endRun(b.call, false)
	b.call.endTurn(b.tokens())
	b.service.logRequestEnded(b.call, fasthttp.StatusOK, b.complete(), b.eventCount)
	return nil
}

var idField = []byte("id")

// errNotEvent reports bytes in a stream that are not an event, for example the
// response to another request or the text of an error.
var errNotEvent = errors.New("stream contains bytes that are not an event")

// eventID returns the numeric id of a server-sent event, or false for a comment. It
// fails if an event has no id or a line that is not a field.
func eventID(event []byte) (id uint64, ok bool, err error) {
	comment := true
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		comment = false
		name, value, isField := bytes.Cut(line, []byte(":"))
		if !isField || !isFieldName(name) {
			return 0, false, fmt.Errorf("%w: line %.40q", errNotEvent, line)
		}
		if !bytes.Equal(name, idField) {
			continue
		}
		if id, err = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err != nil {
			return 0, false, fmt.Errorf("%w: %w", errNotEvent, err)
		}
		ok = true
	}
	if !ok && !comment {
		return 0, false, fmt.Errorf("%w: %.40q has no id", errNotEvent, event)
	}
	return id, ok, nil
}

// isFieldName reports whether name consists of lower-case letters and hyphens, as
// the names of all fields of events do.
func isFieldName(name []byte) bool {
	return len(name) > 0 && bytes.IndexFunc(name, func(r rune) bool { return r != '-' && (r < 'a' || r > 'z') }) < 0
}
