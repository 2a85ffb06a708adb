// Package relay carries out calls: it admits them, brings them to the owner
// of their program, places them on a target and returns whole answers.
package relay

import (
	"io"

	"mimosarelay/core/model"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Query is a question about a program, or its end.
type Query string

// Kinds of queries; empty means a call.
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
	// Route names a route to services; empty means chat completions.
	Route  model.RouteID
	Method string
	// Path is the part after the route's name, with the query string.
	Path string
	// Headers holds only allowlisted fields.
	Headers []Header
	Body    []byte

	// Query is set for questions about Program.
	Query   Query
	Program model.ProgramID
	Parent  model.ProgramID
	Call    model.CallNumber
	// IdempotencyKey identifies a call outside a program.
	IdempotencyKey string
}

// Answer is the response to a call. The reader must Close the body. Read
// returns io.EOF only if the answer is whole.
type Answer struct {
	Status  int
	Headers []Header
	Body    io.ReadCloser
	// Length is the size of the body, or -1 if it is streamed.
	Length int
}
