package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// HostLimit returns the calls that one host may have in flight at a target whose
// fleet-wide bound is limit. The parts of all hosts add up to limit. The rest
// of the even division goes to different hosts for different targets, in the
// order of a hash of host and target, so that with a bound smaller than the
// fleet each host still has a part of some targets.
func HostLimit(hosts []model.HostID, self model.HostID, target model.TargetID, limit int) int {
	if !slices.Contains(hosts, self) || limit <= 0 {
		return 0
	}
	own := score(self, target)
	rank := 0
	for _, h := range hosts {
		if x := score(h, target); x < own || x == own && h < self {
			rank++
		}
	}
	part := limit / len(hosts)
	if rank < limit%len(hosts) {
		part++
	}
	return part
}

func score(h model.HostID, t model.TargetID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(h))
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(string(t))
	return d.Sum64()
}
