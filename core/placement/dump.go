package placement

import (
	"cmp"
	"slices"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/spill"
)

// Dump is the state of a Scheduler for operators.
type Dump struct {
	Waiting  int
	Running  int
	Programs int
	Prefixes int
	Held     int // programs held at a target during a pause
	Targets  []TargetDump
	Shares   []ShareDump
	Zones    []ZonesDump // services whose calls are kept in the zone of the host
}

// ZonesDump is the decision on zones for one service.
type ZonesDump struct {
	Model    model.ModelID
	Share    float64    // of the calls that leave the zone of the host
	Zone     model.Zone // that gets them
	Anywhere bool
	Views    []spill.Zone // that of the host is the first
}

// TargetDump is a target's state at this host.
type TargetDump struct {
	Target     model.TargetID
	Limit      int
	InFlight   int
	Skip       bool
	Load       float64 // calls of all hosts: the last report and this host's changes since
	ReportedAt time.Time
	Held       int     // programs held here during a pause
	Speed      float64 // learned time of work, relative to the other targets
	Slowness   float64 // as last stated by the target; 0: not stated
}

// ShareDump is the fair-share state of a workspace that has calls.
type ShareDump struct {
	Workspace model.WorkspaceID
	Weight    float64
	Virtual   float64 // virtual time: service in prompt tokens divided by Weight
	Calls     int     // waiting and running
}

// Dump returns the state of the scheduler.
func (s *Scheduler) Dump() Dump {
	d := Dump{
		Waiting: len(s.waiting), Running: len(s.running), Programs: len(s.programs),
		Prefixes: s.prefixes.lru.Len(),
	}
	for _, t := range s.sortedTargets {
		d.Held += t.heldPrograms
		d.Targets = append(d.Targets, TargetDump{
			Target: t.ID, Limit: t.Limit, InFlight: len(t.inFlight), Skip: t.Skip,
			Load: t.estimatedCalls(t.load.At), ReportedAt: t.load.At, Held: t.heldPrograms,
			Speed: t.speedFactor(), Slowness: t.load.Slowness,
		})
	}
	for _, sh := range s.shares {
		if sh.calls > 0 {
			d.Shares = append(d.Shares, ShareDump{Workspace: sh.workspace, Weight: sh.weight, Virtual: sh.virtualTime, Calls: sh.calls})
		}
	}
	for key, p := range s.pools {
		if p.spill != nil {
			d.Zones = append(d.Zones, ZonesDump{
				Model: key.model, Share: p.spill.Share(), Zone: p.spill.Zone(), Anywhere: p.spill.Anywhere(), Views: slices.Clone(p.views),
			})
		}
	}
	slices.SortFunc(d.Zones, func(a, b ZonesDump) int { return cmp.Compare(a.Model, b.Model) })
	return d
}
