// Package release finds the programs whose cache memory at an engine can be
// released because they have ended.
package release

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// Entry is the cache memory that an engine reports for a program.
type Entry struct {
	Program  string // as formatted by Name
	Blocks   int
	Tokens   int
	LastUsed time.Time // by the engine's clock
}

// Name returns the name by which engines know a program: "workspace/program".
// The name of a workspace contains no slash.
func Name(key model.ProgramKey) string {
	return string(key.Workspace) + "/" + string(key.Program)
}

// ParseName is the inverse of Name. It returns false for a name of another
// form, under which no program has used memory.
func ParseName(name string) (model.ProgramKey, bool) {
	w, p, ok := strings.Cut(name, "/")
	if !ok || w == "" || p == "" {
		return model.ProgramKey{}, false
	}
	return model.ProgramKey{Workspace: model.WorkspaceID(w), Program: model.ProgramID(p)}, true
}

// Plan returns the programs of an engine's report that have ended, those with
// the most blocks first. The set of live programs must have been collected from
// all hosts after the report was fetched: a program is live before its first
// call reaches an engine, so that a reported program that is not live has ended.
func Plan(report []Entry, live map[model.ProgramKey]bool) []model.ProgramKey {
	var ended []Entry
	for _, e := range report {
		if key, ok := ParseName(e.Program); ok && !live[key] {
			ended = append(ended, e)
		}
	}
	slices.SortStableFunc(ended, func(a, b Entry) int { return b.Blocks - a.Blocks })
	var keys []model.ProgramKey
	for _, e := range ended {
		key, _ := ParseName(e.Program)
		keys = append(keys, key)
	}
	return keys
}

// Sweeper returns the host that compares the reports of a target with the live
// programs and releases the memory of the others. It is chosen by rendezvous
// hashing, and is empty if there are no hosts.
func Sweeper(t model.TargetID, hosts []model.HostID) model.HostID {
	var best model.HostID
	var bestScore uint64
	for _, h := range hosts {
		score := xxhash.Sum64String(string(t) + "\n" + string(h))
		if best == "" || score > bestScore || score == bestScore && h < best {
			best, bestScore = h, score
		}
	}
	return best
}
