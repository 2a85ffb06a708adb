package placement

import (
	"slices"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// membership holds the current members and the memberships that were replaced
// less than delay ago.
type membership struct {
	delay   time.Duration
	current []model.HostID // sorted; nil before the first update
	past    []pastMembership
	// limits caches the result of hostLimit, which computes a hash per host for
	// each of these memberships.
	limits map[model.TargetID]cachedLimit
}

type cachedLimit struct {
	fleetLimit int
	hostLimit  int
}

type pastMembership struct {
	hosts []model.HostID
	until time.Time
}

// update sets the current members and reports whether any limit of this host may
// have changed.
func (m *membership) update(now time.Time, hosts []model.HostID) bool {
	kept := slices.DeleteFunc(m.past, func(p pastMembership) bool { return !now.Before(p.until) })
	changed := len(kept) < len(m.past)
	m.past = kept
	if changed {
		m.limits = nil
	}
	if m.current != nil && slices.Equal(m.current, hosts) {
		return changed
	}
	hosts = slices.Clone(hosts)
	slices.Sort(hosts)
	if m.current != nil && slices.Equal(m.current, hosts) {
		return changed
	}
	if m.current != nil {
		m.past = append(m.past, pastMembership{hosts: m.current, until: now.Add(m.delay)})
	}
	m.current = append([]model.HostID{}, hosts...)
	m.limits = nil
	return true
}

// hostLimit returns the lowest limit of a host over the current and the past
// memberships, so that a lower limit takes effect immediately and a higher one
// after the delay.
func (m *membership) hostLimit(self model.HostID, target model.TargetID, fleetLimit int) int {
	if p, ok := m.limits[target]; ok && p.fleetLimit == fleetLimit {
		return p.hostLimit
	}
	hostLimit := placement.HostLimit(m.current, self, target, fleetLimit)
	for _, p := range m.past {
		hostLimit = min(hostLimit, placement.HostLimit(p.hosts, self, target, fleetLimit))
	}
	if m.limits == nil {
		m.limits = map[model.TargetID]cachedLimit{}
	}
	m.limits[target] = cachedLimit{fleetLimit: fleetLimit, hostLimit: hostLimit}
	return hostLimit
}

// recentMember reports whether a host is a member or was one less than delay ago.
func (m *membership) recentMember(h model.HostID) bool {
	if slices.Contains(m.current, h) {
		return true
	}
	return slices.ContainsFunc(m.past, func(p pastMembership) bool { return slices.Contains(p.hosts, h) })
}
