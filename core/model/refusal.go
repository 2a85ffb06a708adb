package model

import (
	"errors"
	"fmt"
	"time"
)

// Ran says whether a call ran at a target.
type Ran string

// Values of Ran. RanNo is set only where no byte of the request left for a
// target.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Sentinel errors, tested with errors.Is.
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

// Refusal is the answer to a call that the system did not carry out as asked.
// It unwraps to one of the sentinel errors of this package.
type Refusal struct {
	Kind       error         // sentinel error
	Detail     string        // one sentence for the caller
	Ran        Ran           // whether the call ran
	RetryAfter time.Duration // 0: no advice
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

// Retry sets the advice after which a repeated call may succeed.
func (r *Refusal) Retry(after time.Duration) *Refusal {
	r.RetryAfter = after
	return r
}
