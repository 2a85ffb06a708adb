package placement

import (
	"slices"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// views holds the current membership and the ones it replaced less than delay
// ago.
type views struct {
	delay   time.Duration
	current []model.HostID // sorted; nil before the first update
	old     []view
	// parts saves the parts of these views, because each takes a hash per
	// host.
	parts map[model.TargetID]savedPart
}

type savedPart struct {
	limit int
	part  int
}

type view struct {
	hosts []model.HostID
	until time.Time
}

// update takes over the membership and reports whether any part may have
// changed.
func (v *views) update(now time.Time, hosts []model.HostID) bool {
	kept := slices.DeleteFunc(v.old, func(x view) bool { return !now.Before(x.until) })
	changed := len(kept) < len(v.old)
	v.old = kept
	if changed {
		v.parts = nil
	}
	if v.current != nil && slices.Equal(v.current, hosts) {
		return changed
	}
	hosts = slices.Clone(hosts)
	slices.Sort(hosts)
	if v.current != nil && slices.Equal(v.current, hosts) {
		return changed
	}
	if v.current != nil {
		v.old = append(v.old, view{hosts: v.current, until: now.Add(v.delay)})
	}
	v.current = append([]model.HostID{}, hosts...)
	v.parts = nil
	return true
}

// part is the smallest part of the views: a lower one counts at once, a higher
// one after the delay.
func (v *views) part(self model.HostID, target model.TargetID, limit int) int {
	if p, ok := v.parts[target]; ok && p.limit == limit {
		return p.part
	}
	part := placement.HostLimit(v.current, self, target, limit)
	for _, x := range v.old {
		part = min(part, placement.HostLimit(x.hosts, self, target, limit))
	}
	if v.parts == nil {
		v.parts = map[model.TargetID]savedPart{}
	}
	v.parts[target] = savedPart{limit: limit, part: part}
	return part
}

// known reports whether a host is or was recently a member.
func (v *views) known(h model.HostID) bool {
	if slices.Contains(v.current, h) {
		return true
	}
	return slices.ContainsFunc(v.old, func(x view) bool { return slices.Contains(x.hosts, h) })
}
