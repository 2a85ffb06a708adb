// Package health judges targets by the outcomes of requests. A Tracker belongs to one
// host. It combines the outcomes of the host's own requests with those that other hosts
// of its availability zone counted, which an Aggregator at a keeper adds up, and decides
// how much of its load each target gets.
package health

// Outcome is how an attempt to run a request at a target ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Unknown says nothing about the target.
	Unknown Outcome = iota
	// Answered is a complete answer, or the start of a stream, with a status below 500.
	Answered
	// AnsweredError is an answer with status 500 to 599 that does not state that the
	// request has not run.
	AnsweredError
	// Disconnected is a connection that was refused, reset or closed before the end of
	// the answer.
	Disconnected
	// TimedOut is an attempt without an answer by the deadline of its request.
	TimedOut
	// StreamBroken is a stream that ended early.
	StreamBroken
	// Full is a rejection that states that the request has not run.
	Full
	// Cancelled is an attempt that the caller ended.
	Cancelled

	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	"unknown", "answered", "error_status", "disconnected", "timed_out", "stream_broken", "full", "cancelled",
}

// String returns the name of the outcome in metrics.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return outcomeNames[Unknown]
	}
	return outcomeNames[o]
}

// Outcomes returns all outcomes.
func Outcomes() []Outcome {
	return []Outcome{Unknown, Answered, AnsweredError, Disconnected, TimedOut, StreamBroken, Full, Cancelled}
}

// failed reports whether the outcome counts against the target.
func (o Outcome) failed() bool {
	switch o {
	case AnsweredError, Disconnected, TimedOut, StreamBroken:
		return true
	case Unknown, Answered, Full, Cancelled:
	}
	return false
}

// Step is how much of its load a target gets.
type Step uint8

// Steps, from full load to none.
const (
	// InUse is full load.
	InUse Step = iota
	// Reduced is a quarter of the load.
	Reduced
	// Ejected is no load but single probes.
	Ejected
)

// String returns the name of the step in log lines and dumps.
func (s Step) String() string {
	switch s {
	case InUse:
		return "in use"
	case Reduced:
		return "reduced"
	case Ejected:
		return "ejected"
	}
	return "unknown"
}
