package follow_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mimosarelay/app/follow"
	"mimosarelay/core/health"
	"mimosarelay/io/peer/peerpb"
)

// fakeOutcomes is an entry host's judgement of targets with fixed counts.
type fakeOutcomes struct {
	reports []health.Report

	mu    sync.Mutex
	hints health.Hints
}

func (f *fakeOutcomes) HealthReports() []health.Report { return f.reports }

func (f *fakeOutcomes) SetHealthHints(h health.Hints) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hints = h
}

func (f *fakeOutcomes) current() health.Hints {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hints
}

// Guards against hosts that do not learn what other hosts of their zone counted, or that
// get the counts of another zone.
func TestOutcomesAreSharedInTheZone(t *testing.T) {
	tf := newTestFleet(t, 1)
	counted := func(failed, answered int) []health.Report {
		return []health.Report{{Target: "t", Failed: failed, Answered: answered, Doubted: true}}
	}
	a, b, other := &fakeOutcomes{reports: counted(5, 2)}, &fakeOutcomes{reports: counted(3, 1)}, &fakeOutcomes{reports: counted(9, 0)}
	for name, o := range map[string]*fakeOutcomes{"a": a, "b": b, "other": other} {
		tf.startClientWith(name, nil, func(opts *follow.Options) {
			opts.Outcomes, opts.Zone = o, "z"
			if o == other {
				opts.Zone = "y"
			}
		})
	}
	want := health.Hints{Hosts: 2, Targets: []health.Hint{{
		Report:    health.Report{Target: "t", Failed: 6, Answered: 3, Doubted: true}, // a counts as much as b
		AllFailed: 8, Reporters: 2,
	}}}
	tf.waitFor("the hosts of the zone share their counts", func() bool { return a.current().Hosts == 2 && b.current().Hosts == 2 })
	assert.DeepEqual(t, a.current(), want)
	assert.DeepEqual(t, b.current(), want)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if other.current().Hosts == 1 {
			return poll.Success()
		}
		return poll.Continue("no hints")
	})
}

// Guards against messages to keepers and hosts of an earlier version that change, and
// against hints of a keeper that sends none.
func TestOutcomesAreOptional(t *testing.T) {
	tf := newTestFleet(t, 1)
	res, err := tf.keepers["keeper-0"].HandleFollow(t.Context(), &peerpb.FollowRequest{Self: &peerpb.EntryHost{Host: "a", PeerAddress: "a"}})
	assert.NilError(t, err)
	assert.Equal(t, res.GetReportingHosts(), uint32(0))
	assert.Equal(t, len(res.GetOutcomes()), 0)
}
