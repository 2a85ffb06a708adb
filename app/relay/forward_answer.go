package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/dispatch"
	"mimosarelay/core/memory"
	"mimosarelay/core/placement"
	"mimosarelay/io/buffer"
	"mimosarelay/io/target"
)

const (
	// answerMemoryWait is how long an answer waits for memory before it is read at the
	// pace of its caller. Targets cut off answers that are not read for seconds.
	answerMemoryWait = 250 * time.Millisecond
	// maxNotRunAnswer limits the answer of a target that did not run the request, in
	// bytes. It is read only so that the connection can be used again.
	maxNotRunAnswer = 64 << 10
)

// forwardAnswer forwards an answer that is not a stream of events. It is read to its
// end first, so that another attempt can replace an incomplete one. Without memory for
// that, it is read at the pace of the caller, who then sees an incomplete answer.
func (s *Service) forwardAnswer(ctx context.Context, c *forwardCall, resp *target.Response) (*Answer, dispatch.Next, error) {
	answer := &Answer{Status: resp.Status(), Headers: endToEndHeaders(resp.Message())}
	length, survived := resp.Length(), showsSurvival(resp)
	body, err := buffer.Read(ctx, c.Memory, resp, buffer.Options{Kind: memory.Answers, Length: length, Limit: maxAnswer, MaxWait: answerMemoryWait})
	switch {
	case errors.Is(err, memory.ErrFull):
		answer.Body, answer.Length = &pacedAnswer{service: s, call: c, resp: resp, read: body, status: answer.Status, survived: survived}, length
		return answer, nil, nil
	case errors.Is(err, buffer.ErrTooLarge):
		err = fmt.Errorf("%w: response body larger than %d bytes", target.ErrBroken, maxAnswer)
	}
	_ = resp.Close()
	if err != nil {
		body.Release()
		return nil, s.handleFailedAttempt(ctx, c, err), err
	}
	s.settleAnswer(c, answer.Status, survived, true)
	answer.Body, answer.Length = &bufferedAnswer{body: body}, len(body.Bytes())
	return answer, nil, nil
}

// settleAnswer records the answer of a target and releases its place. whole reports
// whether the answer is complete.
func (s *Service) settleAnswer(c *forwardCall, status int, survived, whole bool) {
	s.endRun(c, survived && whole)
	usage := placement.Usage{Prompt: c.Prompt.Tokens}
	if whole {
		s.recordSound(c)
		recordOutcome(c.place, answerOutcome(status))
	}
	if whole && status < fasthttp.StatusBadRequest { // an error takes another time than an answer
		usage.Work, usage.Kind = s.Clock.Since(c.sentAt), c.workKind("")
	}
	c.place.Release(usage)
	c.endTurn(0)
	s.logRequestEnded(c, status, whole, 0)
}

// bufferedAnswer is the body of an answer that is complete in memory.
type bufferedAnswer struct {
	body   *buffer.Buffer
	offset int
}

// Read implements io.Reader.
func (a *bufferedAnswer) Read(p []byte) (int, error) {
	n := copy(p, a.body.Bytes()[a.offset:])
	a.offset += n
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Close implements io.Closer.
func (a *bufferedAnswer) Close() error {
	a.body.Release()
	a.body = nil
	return nil
}

// pacedAnswer is the body of an answer that is read at the pace of the caller.
type pacedAnswer struct {
	service *Service
	call    *forwardCall
	resp    *target.Response
	read    *buffer.Buffer // the beginning; nil when it was forwarded
	offset  int
	sent    int
	whole   bool
	status  int
	// survived says that a whole answer shows that the target survived the run.
	survived bool
}

// Read implements io.Reader.
func (a *pacedAnswer) Read(p []byte) (int, error) {
	if a.read != nil {
		if n := copy(p, a.read.Bytes()[a.offset:]); n > 0 {
			a.offset += n
			a.sent += n
			return n, nil
		}
		a.read.Release()
		a.read = nil
	}
	if a.sent >= maxAnswer {
		return 0, fmt.Errorf("%w: response body larger than %d bytes", target.ErrBroken, maxAnswer)
	}
	n, err := a.resp.Read(p[:min(len(p), maxAnswer-a.sent)])
	a.sent += n
	a.whole = a.whole || target.AtEnd(err)
	return n, err
}

// Close implements io.Closer.
func (a *pacedAnswer) Close() error {
	a.read.Release()
	a.read = nil
	_ = a.resp.Close()
	a.service.settleAnswer(a.call, a.status, a.survived, a.whole)
	return nil
}
