package relay

import (
	"context"
	"fmt"

	"mimosarelay/app/programs"
	"mimosarelay/core/model"
)

// beginRun asks package programs whether a call may run. It returns the run, or
// the recorded answer if the call is a repetition.
func (s *Service) beginRun(ctx context.Context, spec programs.CallSpec) (*programs.Run, *Answer, error) {
	decision, err := s.Programs.Begin(ctx, spec)
	if err != nil {
		return nil, nil, markRetryableAtOwner(err)
	}
	switch d := decision.(type) {
	case *programs.Run:
		return d, nil, nil
	case *programs.Replay:
		return nil, replayedAnswer(d), nil
	}
	return nil, nil, fmt.Errorf("programs returned a decision of unexpected type %T", decision)
}

func replayedAnswer(d *programs.Replay) *Answer {
	headers := []Header{{Name: "Content-Type", Value: d.Result.ContentType}, {Name: "Mimosarelay-Replayed", Value: "true"}}
	return &Answer{Status: d.Result.Status, Headers: headers, Body: newBytesBody(d.Result.Answer), Length: len(d.Result.Answer)}
}

// finishRun commits the result of a call, even if its caller has disconnected.
// run is nil for calls that are not recorded.
func (s *Service) finishRun(ctx context.Context, run *programs.Run, result programs.Result) error {
	if run == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	return run.Finish(ctx, result)
}

// abortRun records that a call ended without an answer. run is nil for calls that
// are not recorded.
func (s *Service) abortRun(ctx context.Context, r *Request, run *programs.Run, ran model.Ran) {
	if run == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := run.Abort(ctx, ran); err != nil {
		s.Log.Warn("failed to record that a call was aborted", "request", r.ID, "error", err)
	}
}
