package presence_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/presence"
)

var start = time.Unix(1000, 0)

// Guards against callers that are sent to a host that ended, and against a host
// that is dropped between two messages.
func TestHostIsListedUntilItsLifetimePasses(t *testing.T) {
	var r presence.Registry
	r.Update(start, presence.Host{Host: "b"})
	r.Update(start.Add(presence.Interval), presence.Host{Host: "a"})
	assert.Equal(t, len(r.Live(start.Add(presence.Lifetime-1))), 2)
	live := r.Live(start.Add(presence.Lifetime))
	assert.DeepEqual(t, live, []presence.Host{{Host: "a"}})
}

// Guards against a change of the list that followers do not notice.
func TestVersionChangesWithTheList(t *testing.T) {
	one := []presence.Host{{Host: "a"}}
	assert.Equal(t, presence.Version(one), presence.Version([]presence.Host{{Host: "a"}}))
	for name, other := range map[string][]presence.Host{
		"empty":   nil,
		"leaving": {{Host: "a", Leaving: true}},
		"more":    {{Host: "a"}, {Host: "b"}},
	} {
		assert.Assert(t, presence.Version(one) != presence.Version(other), name)
		assert.Assert(t, presence.Version(other) != 0, name)
	}
}

// Guards against a leaving host that one keeper has not heard of yet and that
// callers are still sent to.
func TestMergeKeepsHostLeaving(t *testing.T) {
	leaving := presence.Host{Host: "a", Leaving: true}
	staying := presence.Host{Host: "a"}
	for name, lists := range map[string][][]presence.Host{
		"leaving first": {{leaving}, {staying}},
		"leaving last":  {{staying, {Host: "b"}}, {leaving}},
	} {
		assert.Assert(t, presence.Merge(lists...)[0].Leaving, name)
	}
}
