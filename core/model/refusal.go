package model

import (
	"errors"
	"fmt"
	"time"
)

// Ran tells the caller whether a call ran at a target.
type Ran string

// Values of Ran. RanNo is set only if no byte of the request was sent to a target
// or the target answered that it did not run the request.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Sentinel errors, tested with errors.Is. Their texts are the titles of the
// problem documents that callers receive.
var (
	ErrUnauthorized   = errors.New("missing, unknown or withdrawn key")
	ErrForbidden      = errors.New("not granted by the contract")
	ErrNotFound       = errors.New("not found")
	ErrBadRequest     = errors.New("malformed request")
	ErrTooLarge       = errors.New("request too large")
	ErrRateLimited    = errors.New("rate limit exceeded")
	ErrBudget         = errors.New("program budget exhausted")
	ErrOrder          = errors.New("call out of order")
	ErrConflict       = errors.New("conflicting content")
	ErrProgramEnded   = errors.New("program has ended")
	ErrNoRight        = errors.New("host may not act now")
	ErrUnavailable    = errors.New("temporarily unavailable")
	ErrTargetFailed   = errors.New("target failed")
	ErrOutcomeUnknown = errors.New("outcome unknown")
	ErrSuspect        = errors.New("request crashed its targets")
	ErrDraining       = errors.New("host is shutting down")
)

// Refusal is the error of a call that was rejected or that failed. It unwraps to
// its Kind.
type Refusal struct {
	Kind       error         // sentinel error
	Detail     string        // explanation for the caller
	Ran        Ran           // whether the call ran
	RetryAfter time.Duration // time after which a retry may succeed; 0 if unknown
}

// NewRefusal returns a Refusal of the given kind with a formatted detail.
func NewRefusal(kind error, ran Ran, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Ran: ran, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%v: %s", r.Kind, r.Detail)
}

// Unwrap returns the sentinel error.
func (r *Refusal) Unwrap() error { return r.Kind }

// Retry sets RetryAfter and returns r.
func (r *Refusal) Retry(after time.Duration) *Refusal {
	r.RetryAfter = after
	return r
}
