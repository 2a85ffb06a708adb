// Package fault is the HTTP server on which the stand-ins are built. It injects
// faults that external systems show. The faults are set over HTTP.
package fault

import (
	"fmt"
	"net/netip"
	"time"
)

// Duration is a time.Duration that is a string such as "250ms" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: %w", text, err)
	}
	if v < 0 {
		return fmt.Errorf("duration %q is negative", text)
	}
	*d = Duration(v)
	return nil
}

// Fault is a set of faults. The zero value means none. A PUT of /standin/fault
// replaces the whole set. Requests for /standin/ paths are exempt from Slow,
// Hang, LoseAnswers, CrashMarker and the cuts, but not from Down, RefuseClients,
// SilenceClients and Silent. The control address is exempt from all faults.
type Fault struct {
	// Down closes open connections at once and new ones when they are accepted.
	Down bool `json:",omitempty"`
	// Slow delays each request before it is handled.
	Slow Duration `json:",omitempty"`
	// Hang accepts requests and never responds. When it is lifted, the
	// connections of these requests are closed and the requests are not handled.
	Hang bool `json:",omitempty"`
	// LoseAnswers is the number of writes that take effect, but whose connection
	// is closed before the response. It counts down.
	LoseAnswers int `json:",omitempty"`
	// LoseMatch limits LoseAnswers to request paths that contain this text.
	LoseMatch string `json:",omitempty"`
	// CutBytes closes the connection after that many bytes of a response body,
	// including the framing of a chunked body. 0 means no cut.
	CutBytes int `json:",omitempty"`
	// CutChunks closes the connection of a streamed response after that many
	// chunks. 0 means no cut.
	CutChunks int `json:",omitempty"`
	// Cuts is the number of responses that CutBytes and CutChunks apply to; 0
	// means no limit. It counts down; at the last one CutBytes and CutChunks are
	// reset to 0.
	Cuts int `json:",omitempty"`
	// Silent affects the connections that are open when it is set: all data in
	// both directions is discarded and they are not closed. New connections work.
	Silent bool `json:",omitempty"`
	// CrashMarker simulates a crash when a request body contains it: volatile
	// state is lost, all connections are closed, and for CrashTime new ones are
	// closed when they are accepted.
	CrashMarker string   `json:",omitempty"`
	CrashTime   Duration `json:",omitempty"`
	// RefuseClients lists client IP addresses whose open and new connections are
	// closed, which models a partition in one direction.
	RefuseClients []netip.Addr `json:",omitempty"`
	// SilenceClients lists client IP addresses whose open and new connections
	// become silent, which models a partition that neither side is notified of.
	// These connections stay silent when the fault is lifted.
	SilenceClients []netip.Addr `json:",omitempty"`
}

// Validate returns an error for the first field that is invalid, or that has no
// effect without another one.
func (f Fault) Validate() error {
	switch {
	case f.LoseAnswers < 0:
		return fmt.Errorf("field LoseAnswers is %d, want 0 or more", f.LoseAnswers)
	case f.CutBytes < 0:
		return fmt.Errorf("field CutBytes is %d, want 0 or more", f.CutBytes)
	case f.CutChunks < 0:
		return fmt.Errorf("field CutChunks is %d, want 0 or more", f.CutChunks)
	case f.Cuts < 0:
		return fmt.Errorf("field Cuts is %d, want 0 or more", f.Cuts)
	case f.Cuts > 0 && f.CutBytes == 0 && f.CutChunks == 0:
		return fmt.Errorf("field Cuts is %d, but neither CutBytes nor CutChunks is set", f.Cuts)
	case f.LoseMatch != "" && f.LoseAnswers == 0:
		return fmt.Errorf("field LoseMatch is %q, but LoseAnswers is 0", f.LoseMatch)
	case f.CrashTime > 0 && f.CrashMarker == "":
		return fmt.Errorf("field CrashTime is set, but CrashMarker is empty")
	}
	return nil
}

// Counters counts connections, requests and the faults that took effect.
type Counters struct {
	Connections  int64 // accepted and served
	Refused      int64 // closed on accept because of Down, a crash or RefuseClients
	Requests     int64 // except /standin/ paths
	AnswersLost  int64 // responses withheld by LoseAnswers
	AnswersCut   int64 // responses selected for a cut
	Hung         int64 // requests held by Hang
	CrashArrival int64 // requests whose body contained CrashMarker
}
