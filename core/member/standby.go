package member

import (
	"cmp"
	"slices"

	"mimosarelay/core/model"
)

// Standby is a host that is ready to become a member and holds no state yet.
type Standby struct {
	Host model.HostID
	Zone model.Zone
}

// Needed returns the standbys that should join now, in order. In each zone, half of
// the machines, rounded up, are to be members, so that the fleet survives the loss
// of a zone without all machines in use. In total there are to be at least as many
// that a majority stays when losses machines are lost, if there are so many. acts
// reports whether a member counts as present. Leaving members do not count.
func (r Record) Needed(standbys []Standby, losses int, acts func(Member) bool) []model.HostID {
	members := map[model.Zone]int{}
	total := 0
	known := map[model.HostID]bool{}
	for _, m := range r.Members {
		known[m.Host] = true
		if !m.Leaving && acts(m) {
			members[m.Zone]++
			total++
		}
	}
	available := slices.DeleteFunc(slices.Clone(standbys), func(b Standby) bool { return known[b.Host] })
	slices.SortFunc(available, func(a, b Standby) int { return cmp.Compare(a.Host, b.Host) })
	machines := map[model.Zone]int{}
	for z, n := range members {
		machines[z] = n
	}
	for _, b := range available {
		machines[b.Zone]++
	}
	var needed []model.HostID
	take := func(i int) {
		needed = append(needed, available[i].Host)
		members[available[i].Zone]++
		total++
		available = slices.Delete(available, i, i+1)
	}
	for i := 0; i < len(available); {
		if z := available[i].Zone; members[z] < (machines[z]+1)/2 {
			take(i)
		} else {
			i++
		}
	}
	for total < 2*losses+1 && len(available) > 0 {
		fewest := 0
		for i, b := range available {
			if members[b.Zone] < members[available[fewest].Zone] {
				fewest = i
			}
		}
		take(fewest)
	}
	return needed
}
