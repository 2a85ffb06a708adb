// Package relay executes calls. It admits a call, forwards it to the host that
// owns its program, runs it at a target and returns the answer, which ends with an
// error if it is incomplete.
package relay

import (
	"io"

	"mimosarelay/core/memory"
	"mimosarelay/core/model"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Query is an operation on a program other than a call.
type Query string

// The queries. QueryEnd ends the program; the others read its state, its history
// or the outcome of one call. An empty Query means a call.
const (
	QueryState   Query = "State"
	QueryHistory Query = "History"
	QueryOutcome Query = "Outcome"
	QueryEnd     Query = "End"
)

// Request is one authenticated call.
type Request struct {
	ID        model.RequestID
	Workspace model.WorkspaceID // empty on open routes without a key
	Key       model.KeyID
	// Route names a route to services; empty for chat completions.
	Route  model.RouteID
	Method string
	// Path is the part after the route's name, with the query string.
	Path string
	// Headers holds only header fields that PassRequestHeader allows.
	Headers []Header
	Body    []byte

	// Query is empty for calls.
	Query   Query
	Program model.ProgramID
	Parent  model.ProgramID
	Call    model.CallNumber
	// IdempotencyKey identifies a call outside a program.
	IdempotencyKey string
	// Memory reserves the memory of the answer; nil for no limit.
	Memory *memory.Holder
}

// Answer is the response to a call. The receiver must Close the body. Its Read
// returns io.EOF only if the answer is complete.
type Answer struct {
	Status  int
	Headers []Header
	Body    io.ReadCloser
	// Length is the size of the body, or -1 if it is streamed.
	Length int
}
