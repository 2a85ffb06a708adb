package relay

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/health"
	"mimosarelay/core/model"
	"mimosarelay/io/target"
)

// Guards against failures of the caller, of this host or of a full target that count
// against the target, and against failures of the target that do not.
func TestFailureOutcome(t *testing.T) {
	live := t.Context()
	cancelled, cancel := context.WithCancel(live)
	cancel()
	expired, cancel := context.WithDeadlineCause(live, time.Now().Add(-time.Second), context.DeadlineExceeded)
	defer cancel()
	for name, c := range map[string]struct {
		ctx   context.Context
		cause error
		want  health.Outcome
	}{
		"refused by this host":      {live, model.NewRefusal(model.ErrNoRight, model.RanNo, "x"), health.Unknown},
		"full":                      {live, fmt.Errorf("%w: x", errNotRun), health.Full},
		"connection refused":        {live, fmt.Errorf("%w: x", target.ErrNotSent), health.Disconnected},
		"reset before the answer":   {live, fmt.Errorf("%w: x", target.ErrBroken), health.Disconnected},
		"stream broken":             {live, fmt.Errorf("%w: %w", errStreamBroken, target.ErrBroken), health.StreamBroken},
		"stream without progress":   {live, fmt.Errorf("%w: %w", errStreamBroken, target.ErrIdle), health.TimedOut},
		"no answer":                 {live, target.ErrIdle, health.TimedOut},
		"deadline":                  {expired, errors.New("x"), health.TimedOut},
		"no time left to connect":   {expired, target.ErrNotSent, health.Unknown},
		"caller left":               {cancelled, target.ErrBroken, health.Cancelled},
		"caller left before a send": {cancelled, target.ErrNotSent, health.Cancelled},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, failureOutcome(c.ctx, c.cause), c.want) })
	}
}

// Guards against answers of the target to faulty requests that count against it.
func TestAnswerOutcome(t *testing.T) {
	for status, want := range map[int]health.Outcome{
		200: health.Answered, 404: health.Answered, 429: health.Answered,
		500: health.AnsweredError, 503: health.AnsweredError, 599: health.AnsweredError, 600: health.Answered,
	} {
		assert.Equal(t, answerOutcome(status), want, "%d", status)
	}
}
