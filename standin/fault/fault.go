// Package fault is the HTTP server base of the stand-ins, with switches for
// the faults that outside systems show.
package fault

import (
	"fmt"
	"net/netip"
	"time"
)

// Duration is a time.Duration that is written as in "250ms" in JSON.
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

// Fault is the set of faults in effect. The zero value means none. A PUT of
// /standin/fault replaces the whole set. Requests for /standin/ paths are
// exempt from Slow, Hang, LoseAnswers and the cuts, but not from Down,
// RefuseClients, SilenceClients and silent connections; the control address is exempt from
// all of them.
type Fault struct {
	// Down closes open connections, and new ones as soon as they are accepted.
	Down bool `json:",omitempty"`
	// Slow delays each request before it takes effect.
	Slow Duration `json:",omitempty"`
	// Hang accepts requests and never answers them. When it is lifted, the
	// connections of the hanging requests are closed without effect.
	Hang bool `json:",omitempty"`
	// LoseAnswers is the number of writes that take effect while their
	// connection is closed instead of answered. It counts down.
	LoseAnswers int `json:",omitempty"`
	// LoseMatch limits LoseAnswers to request paths that contain it.
	LoseMatch string `json:",omitempty"`
	// CutBytes closes the connection after that many bytes of an answer's
	// body, including the framing of chunked bodies. 0 means no cut.
	CutBytes int `json:",omitempty"`
	// CutChunks closes the connection of a stream after that many chunks.
	// 0 means no cut.
	CutChunks int `json:",omitempty"`
	// Cuts limits CutBytes and CutChunks to the next answers. 0 means no
	// limit. It counts down, and the cuts are switched off at 0.
	Cuts int `json:",omitempty"`
	// Silent makes the connections that are open when it is set drop all that
	// arrives and all that is sent, without closing. New connections work.
	Silent bool `json:",omitempty"`
	// CrashMarker crashes the server when a request body contains it: all
	// connections are closed, volatile state is lost, and the server is down
	// for CrashTime.
	CrashMarker string   `json:",omitempty"`
	CrashTime   Duration `json:",omitempty"`
	// RefuseClients lists client IP addresses whose connections are closed,
	// which models a partition in one direction.
	RefuseClients []netip.Addr `json:",omitempty"`
	// SilenceClients lists client IP addresses whose open and new connections
	// become silent, which models a partition that no side is told of. These
	// connections stay silent when the fault is lifted.
	SilenceClients []netip.Addr `json:",omitempty"`
}

// Validate reports the first field that has no meaning.
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

// Counters counts what a server saw and which faults took effect.
type Counters struct {
	Connections  int64 // accepted and served
	Refused      int64 // closed on accept: Down, crashed or RefuseClients
	Requests     int64 // except /standin/ paths
	AnswersLost  int64
	AnswersCut   int64
	Hung         int64
	CrashArrival int64 // requests whose body contained CrashMarker
}
