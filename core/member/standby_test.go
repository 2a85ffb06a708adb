package member_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
)

// recordOf returns a record of the members in list: NAME@ZONE, with "!" for a leaving
// member and "?" for one that does not act.
func recordOf(list string) (r member.Record, acts func(member.Member) bool) {
	absent := map[model.HostID]bool{}
	for _, f := range strings.Fields(list) {
		name, zone, _ := strings.Cut(strings.TrimRight(f, "!?"), "@")
		r.Members = append(r.Members, member.Member{Host: model.HostID(name), Zone: model.Zone(zone), Leaving: strings.HasSuffix(f, "!")})
		absent[model.HostID(name)] = strings.HasSuffix(f, "?")
	}
	return r, func(m member.Member) bool { return !absent[m.Host] }
}

func standbysOf(list string) (out []member.Standby) {
	for _, f := range strings.Fields(list) {
		name, zone, _ := strings.Cut(f, "@")
		out = append(out, member.Standby{Host: model.HostID(name), Zone: model.Zone(zone)})
	}
	return out
}

// Guards against standbys that do not join when members are drained or lost, and
// against members that cost a machine and are not needed.
func TestNeededStandbys(t *testing.T) {
	for name, c := range map[string]struct {
		members, standbys string
		losses            int
		want              string
	}{
		"first start":                        {"", "a@x b@y c@z", 1, "a b c"},
		"first start with two in each zone":  {"", "a@x b@x c@y d@y e@z f@z", 1, "a c e"},
		"all zones have their half":          {"a@x b@y c@z", "d@x e@y f@z", 1, ""},
		"a member is drained":                {"a@x! b@y c@z", "d@x e@y f@z", 1, "d"},
		"a member is lost":                   {"a@x b@y? c@z", "d@x e@y f@z", 1, "e"},
		"no standby in the zone of the loss": {"a@x b@y c@z?", "d@x e@y", 1, "d"},
		"tolerated losses need more":         {"a@x b@y c@z", "d@x e@y f@z", 2, "d e"},
		"too few machines":                   {"a@x", "d@x", 3, "d"},
		"standby has become a member":        {"a@x! d@x b@y c@z", "d@x", 1, ""},
		"last member lost":                   {"a@x?", "d@y", 1, "d"},
	} {
		t.Run(name, func(t *testing.T) {
			r, acts := recordOf(c.members)
			var want []model.HostID
			for _, f := range strings.Fields(c.want) {
				want = append(want, model.HostID(f))
			}
			assert.DeepEqual(t, r.Needed(standbysOf(c.standbys), c.losses, acts), want)
		})
	}
}

// Guards against standbys that keep joining after those that were needed have joined,
// and against a fleet with fewer members than the tolerated losses need.
func TestNeededStandbysAreEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r member.Record
		var standbys []member.Standby
		losses := rapid.IntRange(0, 3).Draw(t, "losses")
		n := rapid.IntRange(1, 16).Draw(t, "machines")
		for i := range n {
			m := newMember(i)
			m.Leaving = rapid.Bool().Draw(t, "leaving")
			if rapid.Bool().Draw(t, "member") {
				r.Members = append(r.Members, m)
			} else {
				standbys = append(standbys, member.Standby{Host: m.Host, Zone: m.Zone})
			}
		}
		acts := func(member.Member) bool { return true }
		for _, h := range r.Needed(standbys, losses, acts) {
			for _, b := range standbys {
				if b.Host == h {
					r.Members = append(r.Members, member.Member{Host: b.Host, Zone: b.Zone})
				}
			}
		}
		assert.Equal(t, len(r.Needed(standbys, losses, acts)), 0)
		present := 0
		for _, m := range r.Members {
			if !m.Leaving {
				present++
			}
		}
		idle := n - len(r.Members)
		assert.Assert(t, idle == 0 || present >= 2*losses+1)
	})
}
