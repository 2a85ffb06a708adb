package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// HostLimit returns the number of calls that a host may have in flight at a
// target. The limits of all hosts add up to fleetLimit, which is divided evenly.
// The remainder goes to the hosts with the lowest hashes of host and target, one
// call each. These are different hosts for different targets, so that even with
// a fleetLimit below the number of hosts each host may use some targets.
func HostLimit(hosts []model.HostID, self model.HostID, target model.TargetID, fleetLimit int) int {
	if !slices.Contains(hosts, self) || fleetLimit <= 0 {
		return 0
	}
	own := hostScore(self, target)
	rank := 0
	for _, h := range hosts {
		if x := hostScore(h, target); x < own || x == own && h < self {
			rank++
		}
	}
	hostLimit := fleetLimit / len(hosts)
	if rank < fleetLimit%len(hosts) {
		hostLimit++
	}
	return hostLimit
}

func hostScore(h model.HostID, t model.TargetID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(h))
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(string(t))
	return d.Sum64()
}
