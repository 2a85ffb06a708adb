package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/programs"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
	"mimosarelay/io/buffer"
	"mimosarelay/io/target"
)

// maxResumes limits how often a stream is resumed after a lost connection.
const maxResumes = 2

// streamAnswer returns an answer whose body forwards the events of resp as they
// arrive.
func (s *Service) streamAnswer(ctx context.Context, c *chatCall, resp *target.Response) *Answer {
	c.ran = model.RanUnknown
	b := &chatStreamBody{service: s, ctx: ctx, call: c, resp: resp, events: target.NewEventReader(resp)}
	b.events.Reserve(ctx, c.request.Memory)
	b.answer = buffer.NewAppender(ctx, c.request.Memory)
	headers := []Header{{Name: "Content-Type", Value: resp.ContentType()}, {Name: "Cache-Control", Value: "no-store"}}
	return &Answer{Status: resp.Status(), Headers: headers, Body: b, Length: -1}
}

// pendingEvents buffers events between the reader of a response and the caller.
type pendingEvents struct {
	pending []byte
	end     error // returned by Read after pending
}

// read returns pending events. While there are none, it calls advance, which adds
// to pending or sets end.
func (e *pendingEvents) read(p []byte, advance func()) (int, error) {
	for len(e.pending) == 0 {
		if e.end != nil {
			return 0, e.end
		}
		advance()
	}
	n := copy(p, e.pending)
	e.pending = e.pending[n:]
	return n, nil
}

// chatStreamBody forwards server-sent events. It withholds the final [DONE] event
// until the record of the call is committed, so that no caller sees a complete
// answer that is not recorded.
type chatStreamBody struct {
	service *Service
	ctx     context.Context // the call's context; the body outlives the call of streamAnswer
	call    *chatCall
	resp    *target.Response
	events  *target.EventReader
	pendingEvents
	answer     buffer.Appender // complete answer, for the record of a call in a program
	eventCount int             // number of forwarded events over all responses
	resumes    int
	released   bool
}

// Read implements io.Reader. It returns io.EOF only after [DONE].
func (b *chatStreamBody) Read(p []byte) (int, error) { return b.read(p, b.advance) }

// advance sets pending to the next event, or end.
func (b *chatStreamBody) advance() {
	event, err := b.events.Next()
	switch {
	case lacksMemory(err):
		b.failWithoutMemory(err)
	case err != nil:
		b.handleBreak(err)
	case b.events.Done():
		b.finish(event)
	default:
		b.passEvent(event)
	}
}

func (b *chatStreamBody) passEvent(event []byte) {
	if b.resp != nil && target.HasData(event) {
		b.resp.MarkProgress()
	}
	b.eventCount++
	if err := b.recordEvent(event); err != nil {
		b.failWithoutMemory(err)
		return
	}
	b.pending = event
}

// errAnswerTooLarge reports a streamed answer that is too large for the record of its
// call.
var errAnswerTooLarge = errors.New("answer is too large to be recorded")

// recordEvent adds an event to the answer of a call that is recorded.
func (b *chatStreamBody) recordEvent(event []byte) error {
	if b.call.run == nil {
		return nil
	}
	if b.answer.Len()+len(event) > maxAnswer {
		return fmt.Errorf("%w: more than %d bytes", errAnswerTooLarge, maxAnswer)
	}
	return b.answer.Append(event)
}

// failWithoutMemory ends the answer because this host cannot hold more of it. The target
// is not at fault.
func (b *chatStreamBody) failWithoutMemory(err error) {
	s := b.service
	s.metrics.broken.Inc(1)
	s.metrics.withoutMemory.Inc(1)
	s.Log.Warn("stream was broken off for want of memory", "request", b.call.request.ID, "target", b.call.place.Target().Name, "events", b.eventCount, "error", err)
	s.cancelStream(b.ctx, b.call)
	if !b.released {
		b.released = true
		b.call.endSuspectRun(false)
		b.call.place.Release(placement.Usage{})
	}
	b.fail(model.NewRefusal(model.ErrUnavailable, model.RanUnknown, "this host cannot hold the answer: %v", err).Retry(noMemoryRetryAfter))
}

func (b *chatStreamBody) finish(event []byte) {
	b.call.ran = model.RanYes
	event = bytes.Clone(event) // the next read overwrites it
	usage, _ := target.ParseUsage(b.events.Usage())
	b.drainResponse()
	b.released = true
	b.service.releaseSucceeded(b.call, usage)
	if err := b.recordEvent(event); err != nil {
		b.failWithoutMemory(err)
		return
	}
	err := b.service.finishChat(b.ctx, b.call, programs.Result{
		Answer:      b.answer.Bytes(),
		ContentType: "text/event-stream",
		Status:      fasthttp.StatusOK,
		Used:        usedTokens(usage),
	})
	if err != nil {
		b.fail(asRefusal(err, model.RanYes))
		return
	}
	b.pending, b.end = event, io.EOF
}

// drainResponse reads the response after [DONE] to its end, so that the connection
// can be reused.
func (b *chatStreamBody) drainResponse() {
	if _, err := b.events.Next(); errors.Is(err, io.EOF) {
		_ = b.resp.Close()
	}
}

// handleBreak handles a response that ended without [DONE]: it resumes or restarts
// the stream, or ends the answer with an error.
func (b *chatStreamBody) handleBreak(err error) {
	if target.AtEnd(err) {
		err = fmt.Errorf("%w: stream ended without [DONE]", target.ErrBroken)
	}
	b.service.metrics.broken.Inc(1)
	if reason := context.Cause(b.ctx); reason != nil {
		b.fail(b.cancelledRefusal(reason))
		return
	}
	if b.resume() || b.restart() {
		return
	}
	b.service.reportIfCrashed(b.ctx, b.call, err)
	b.fail(model.NewRefusal(model.ErrTargetFailed, model.RanUnknown, "response of target %q ended early: %v", b.call.place.Target().Name, err))
}

func (b *chatStreamBody) cancelledRefusal(reason error) *model.Refusal {
	if errors.Is(reason, model.ErrUnauthorized) {
		return model.NewRefusal(model.ErrUnauthorized, model.RanUnknown, "the key was withdrawn")
	}
	return model.NewRefusal(model.ErrUnavailable, model.RanUnknown, "call cancelled: %v", reason)
}

// resume continues the stream on a new connection to the same engine.
func (b *chatStreamBody) resume() bool {
	if b.resumes >= maxResumes {
		return false
	}
	b.resumes++
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	t := b.call.place.Target()
	req.SetRequestURI("/v1/streams/" + b.call.streamID() + "?from=" + strconv.Itoa(b.eventCount))
	req.Header.SetHost(t.Address)
	resp, err := b.service.Targets.Do(b.ctx, t.Address, req, target.CallOptions{
		Fresh: true, IdleTimeout: b.service.StreamIdle, StallTimeout: stallFactor * b.service.StreamIdle,
	})
	if err != nil {
		return false
	}
	if resp.Status() != fasthttp.StatusOK {
		_ = resp.Close()
		return false
	}
	b.service.metrics.resumes.Inc(1)
	b.replaceResponse(resp)
	return true
}

// restart sends the call to another target if no event was forwarded yet.
func (b *chatStreamBody) restart() bool {
	c := b.call
	if b.eventCount > 0 || len(c.exclude) >= maxAttempts-1 {
		return false
	}
	b.service.reportIfCrashed(b.ctx, c, target.ErrBroken)
	if c.exclusive {
		return false
	}
	b.service.releaseFailed(c, true)
	place, err := b.service.Placer.Acquire(b.ctx, c.placeRequest())
	if err != nil {
		b.released = true
		return false
	}
	c.place = place
	resp, err := b.service.sendChat(b.ctx, c, true)
	if err != nil || resp.Status() != fasthttp.StatusOK {
		if err == nil {
			_ = resp.Close()
		}
		return false
	}
	b.service.metrics.retries.Inc(1)
	b.replaceResponse(resp)
	return true
}

func (b *chatStreamBody) replaceResponse(resp *target.Response) {
	_ = b.resp.Close()
	b.events.Release()
	b.resp = resp
	b.events = target.NewEventReader(resp)
	b.events.Reserve(b.ctx, b.call.request.Memory)
}

// fail ends the answer with an error event instead of [DONE].
func (b *chatStreamBody) fail(refusal *model.Refusal) {
	b.abort(refusal.Ran)
	b.pending = errorEvent(b.call.request.ID, refusal)
	b.end = refusal
}

func errorEvent(id model.RequestID, refusal *model.Refusal) []byte {
	data, err := json.Marshal(map[string]any{"error": map[string]any{
		"message": refusal.Error(), "type": kindName(refusal.Kind), "Ran": refusal.Ran, "RequestID": id,
	}})
	if err != nil {
		data = []byte(`{"error":{}}`)
	}
	var event bytes.Buffer
	fmt.Fprintf(&event, "event: error\ndata: %s\n\n", data)
	return event.Bytes()
}

func (b *chatStreamBody) abort(ran model.Ran) {
	_ = b.resp.Close()
	if !b.released {
		b.released = true
		b.service.releaseFailed(b.call, false)
	}
	b.service.abortRun(b.ctx, b.call.request, b.call.run, ran)
	b.call.run = nil
}

// Close implements io.Closer. If the stream has not ended, it cancels the stream
// at the engine.
func (b *chatStreamBody) Close() error {
	if b.end == nil {
		b.end = io.ErrClosedPipe
		b.service.cancelStream(b.ctx, b.call)
		b.abort(model.RanUnknown)
	}
	b.events.Release()
	b.answer.Release()
	return b.resp.Close()
}

// reportIfCrashed calls reportCrash unless err is an idle timeout or ctx has
// ended, which do not indicate a crash.
func (s *Service) reportIfCrashed(ctx context.Context, c *chatCall, err error) {
	if !errors.Is(err, target.ErrIdle) && ctx.Err() == nil {
		s.reportCrash(ctx, c)
	}
}

// cancelStream asks the engine to stop a stream whose caller has disconnected.
// Engines that support resuming do not stop when the connection closes.
func (s *Service) cancelStream(ctx context.Context, c *chatCall) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	address, id := c.place.Target().Address, c.streamID()
	go func() {
		defer cancel()
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		req.Header.SetMethod(fasthttp.MethodDelete)
		req.SetRequestURI("/v1/streams/" + id)
		req.Header.SetHost(address)
		resp, err := s.Targets.Do(ctx, address, req, target.CallOptions{Fresh: true, IdleTimeout: finishTimeout})
		if err != nil {
			s.Log.Warn("failed to cancel a stream at its target", "request", c.request.ID, "error", err)
			return
		}
		_ = resp.Close()
	}()
}
