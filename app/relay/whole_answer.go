package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mimosarelay/app/programs"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/io/buffer"
	"mimosarelay/io/target"
)

const (
	// wholeAnswerMemoryWait is how long an answer waits for memory that is read to its
	// end before the caller gets any of it. Connections without progress are closed
	// within that time.
	wholeAnswerMemoryWait = 2 * time.Second
	// noMemoryRetryAfter is the Retry-After of calls whose answer finds no memory.
	noMemoryRetryAfter = time.Second
)

// readWhole reads an answer to its end. The result must be released. It fails with a
// *model.Refusal without memory.
func readWhole(ctx context.Context, h *memory.Holder, resp *target.Response) (*buffer.Buffer, error) {
	body, err := buffer.Read(ctx, h, resp, buffer.Options{Kind: memory.Answers, Length: resp.Length(), Limit: maxAnswer, MaxWait: wholeAnswerMemoryWait})
	if err == nil {
		return body, nil
	}
	body.Release()
	switch {
	case errors.Is(err, buffer.ErrTooLarge):
		return nil, fmt.Errorf("%w: response body larger than %d bytes", target.ErrBroken, maxAnswer)
	case errors.Is(err, memory.ErrFull), errors.Is(err, memory.ErrEvicted):
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanUnknown, "this host has no memory for the answer now").Retry(noMemoryRetryAfter)
	}
	return nil, err
}

// recordedBytes returns the bytes of an answer for the record of a run, which keeps
// them.
func recordedBytes(run *programs.Run, body *buffer.Buffer) []byte {
	if run == nil {
		return body.Bytes()
	}
	return body.Keep()
}
