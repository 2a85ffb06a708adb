package presence_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/core/evidence"
	"mimosarelay/core/presence"
)

var start = time.Unix(1000, 0)

// Guards against a list that keeps a host that has ended, so that callers are sent
// to it, and against the removal of a live host between two messages.
func TestHostIsListedUntilItsLifetimePasses(t *testing.T) {
	var r presence.Registry
	r.Update(start, presence.Host{Host: "b"})
	r.Update(start.Add(presence.Interval), presence.Host{Host: "a"})
	assert.Equal(t, len(r.Live(start.Add(presence.Lifetime-1))), 2)
	live := r.Live(start.Add(presence.Lifetime))
	assert.DeepEqual(t, live, []presence.Host{{Host: "a"}})
}

// Guards against a change of the list that leaves the version as it was, so that
// followers do not fetch the new list.
func TestVersionChangesWithTheList(t *testing.T) {
	one := []presence.Host{{Host: "a"}}
	assert.Equal(t, presence.Version(one), presence.Version([]presence.Host{{Host: "a"}}))
	for name, other := range map[string][]presence.Host{
		"no host":         nil,
		"leaving host":    {{Host: "a", Leaving: true}},
		"additional host": {{Host: "a"}, {Host: "b"}},
	} {
		assert.Assert(t, presence.Version(one) != presence.Version(other), name)
		assert.Assert(t, presence.Version(other) != 0, name)
	}
}

// Guards against callers that are still sent to a leaving host because one of the
// keepers does not know yet that it leaves.
func TestMergeKeepsHostLeaving(t *testing.T) {
	leaving := presence.Host{Host: "a", Leaving: true}
	staying := presence.Host{Host: "a"}
	for name, lists := range map[string][][]presence.Host{
		"leaving in the first list": {{leaving}, {staying}},
		"leaving in the last list":  {{staying, {Host: "b"}}, {leaving}},
	} {
		var told []presence.List
		for _, l := range lists {
			told = append(told, presence.List{Hosts: l, Told: evidence.Now(clockwork.NewFakeClock())})
		}
		hosts, ok := presence.Merge(0, told...)
		assert.Assert(t, ok && hosts[0].Leaving, name)
	}
}

// Guards against hosts that are named for as long as the keeper that lists them is cut
// off, and against an empty list that replaces the last one when all keepers are.
func TestMergeIgnoresOldLists(t *testing.T) {
	clock := clockwork.NewFakeClock()
	old := presence.List{Hosts: []presence.Host{{Host: "lost"}}, Told: evidence.Now(clock)}
	clock.Advance(presence.Lifetime + 1)
	recent := presence.List{Hosts: []presence.Host{{Host: "a"}}, Told: evidence.Now(clock)}
	hosts, ok := presence.Merge(evidence.MaxAge(presence.Lifetime), old, recent, presence.List{Hosts: []presence.Host{{Host: "never told"}}})
	assert.Assert(t, ok)
	assert.DeepEqual(t, hosts, recent.Hosts)
	_, ok = presence.Merge(evidence.MaxAge(presence.Lifetime), old)
	assert.Assert(t, !ok)
}
