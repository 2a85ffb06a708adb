package relay

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/health"
	"mimosarelay/core/model"
	"mimosarelay/io/target"
)

// recordOutcome reports how an attempt ended to the judgement of targets, if there is one.
func recordOutcome(p Place, o health.Outcome) {
	if r, ok := p.(OutcomeRecorder); ok {
		r.Record(o)
	}
}

// answerOutcome returns the outcome of a complete answer that does not state that the
// request has not run.
func answerOutcome(status int) health.Outcome {
	if status >= fasthttp.StatusInternalServerError && status < 600 {
		return health.AnsweredError
	}
	return health.Answered
}

// errStreamBroken marks the error of a stream that ended early.
var errStreamBroken = errors.New("stream ended early")

// failureOutcome returns the outcome of an attempt that ended with an error. A request
// that this host did not send says nothing about the target.
func failureOutcome(ctx context.Context, cause error) health.Outcome {
	var refusal *model.Refusal
	switch {
	case errors.As(cause, &refusal):
		return health.Unknown
	case errors.Is(cause, errNotRun):
		return health.Full
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return health.Cancelled
	case ctx.Err() != nil && errors.Is(cause, target.ErrNotSent):
		return health.Unknown // too little time was left to connect
	case ctx.Err() != nil, errors.Is(cause, target.ErrIdle):
		return health.TimedOut
	case errors.Is(cause, errStreamBroken):
		return health.StreamBroken
	}
	return health.Disconnected
}
