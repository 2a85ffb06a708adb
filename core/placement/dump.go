package placement

import (
	"time"

	"mimosarelay/core/model"
)

// Dump is the state of a Scheduler for operators.
type Dump struct {
	Waiting  int
	Running  int
	Programs int
	Prefixes int
	Held     int
	Targets  []TargetDump
	Shares   []ShareDump
}

// TargetDump is the state of a target at this host.
type TargetDump struct {
	Target     model.TargetID
	Limit      int
	InFlight   int
	Skip       bool
	Load       float64 // corrected, in calls
	ReportedAt time.Time
	Held       int
}

// ShareDump is the state of a workspace with calls.
type ShareDump struct {
	Workspace model.WorkspaceID
	Weight    float64
	Virtual   float64
	Calls     int
}

// Dump returns the state.
func (s *Scheduler) Dump() Dump {
	d := Dump{
		Waiting: len(s.waiting), Running: len(s.running), Programs: len(s.programs),
		Prefixes: s.index.recent.Len(),
	}
	for _, t := range s.sorted {
		d.Held += t.held
		d.Targets = append(d.Targets, TargetDump{
			Target: t.ID, Limit: t.Limit, InFlight: len(t.inFlight), Skip: t.Skip,
			Load: t.calls(t.load.At), ReportedAt: t.load.At, Held: t.held,
		})
	}
	for _, sh := range s.shares {
		if sh.calls > 0 {
			d.Shares = append(d.Shares, ShareDump{Workspace: sh.workspace, Weight: sh.weight, Virtual: sh.virtual, Calls: sh.calls})
		}
	}
	return d
}
