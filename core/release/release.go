// Package release decides which engine memory belongs to programs that no
// longer exist.
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
	Program  string
	Blocks   int
	Tokens   int
	LastUsed time.Time // by the engine's clock
}

// Name is the name of a program at engines: "workspace/program". Names of
// workspaces contain no slash.
func Name(key model.ProgramKey) string {
	return string(key.Workspace) + "/" + string(key.Program)
}

// ParseName reverses Name. Memory under other names was not used by a program.
func ParseName(name string) (model.ProgramKey, bool) {
	w, p, ok := strings.Cut(name, "/")
	if !ok || w == "" || p == "" {
		return model.ProgramKey{}, false
	}
	return model.ProgramKey{Workspace: model.WorkspaceID(w), Program: model.ProgramID(p)}, true
}

// Plan returns the programs of a report that do not live, largest first. live
// must have been gathered from all hosts after the report was fetched: a
// program lives before its first call reaches an engine, so that one that is
// reported but does not live has ended.
func Plan(report []Entry, live map[model.ProgramKey]bool) []model.ProgramKey {
	var dead []Entry
	for _, e := range report {
		if key, ok := ParseName(e.Program); ok && !live[key] {
			dead = append(dead, e)
		}
	}
	slices.SortStableFunc(dead, func(a, b Entry) int { return b.Blocks - a.Blocks })
	var keys []model.ProgramKey
	for _, e := range dead {
		key, _ := ParseName(e.Program)
		keys = append(keys, key)
	}
	return keys
}

// Sweeper returns the host that compares the reports of a target with the live
// programs: the one with the highest rendezvous score. It is empty without
// hosts.
func Sweeper(t model.TargetID, hosts []model.HostID) model.HostID {
	var best model.HostID
	var bestScore uint64
	for _, h := range hosts {
		x := xxhash.Sum64String(string(t) + "\n" + string(h))
		if best == "" || x > bestScore || x == bestScore && h < best {
			best, bestScore = h, x
		}
	}
	return best
}
