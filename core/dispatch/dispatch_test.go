package dispatch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mimosarelay/core/dispatch"
	"mimosarelay/core/model"
)

type attempt struct {
	target  model.TargetID
	outcome dispatch.Outcome
	want    dispatch.Next
}

// Guards against a request that runs twice although it must not, that runs on
// more targets than its route allows, or that is given up although it has not
// run anywhere.
func TestNextAttempt(t *testing.T) {
	lost, gone := dispatch.Lost{}, dispatch.Lost{Gone: true}
	again, elsewhere, giveUp := dispatch.Again{}, dispatch.Elsewhere{}, dispatch.GiveUp{}
	cases := map[string]struct {
		repeatable bool
		targets    int
		attempts   []attempt
		ran        model.Ran
	}{
		"once, answer lost":           {targets: 3, attempts: []attempt{{"a", lost, giveUp}}, ran: model.RanUnknown},
		"once, target gone":           {targets: 3, attempts: []attempt{{"a", gone, giveUp}}, ran: model.RanUnknown},
		"once, never sent":            {targets: 1, attempts: []attempt{{"a", dispatch.Unsent{}, elsewhere}, {"b", dispatch.Unsent{}, elsewhere}}, ran: model.RanNo},
		"once, refused, then lost":    {targets: 1, attempts: []attempt{{"a", dispatch.NotRun{}, elsewhere}, {"b", lost, giveUp}}, ran: model.RanUnknown},
		"repeatable, two targets":     {repeatable: true, targets: 2, attempts: []attempt{{"a", lost, elsewhere}, {"b", lost, again}}, ran: model.RanUnknown},
		"repeatable, one target":      {repeatable: true, targets: 1, attempts: []attempt{{"a", lost, again}, {"a", lost, again}}, ran: model.RanUnknown},
		"a target that is gone":       {repeatable: true, targets: 1, attempts: []attempt{{"a", gone, elsewhere}, {"b", lost, again}}, ran: model.RanUnknown},
		"lost, then gone":             {repeatable: true, targets: 1, attempts: []attempt{{"a", lost, again}, {"a", gone, elsewhere}}, ran: model.RanUnknown},
		"refused after it ran once":   {repeatable: true, targets: 1, attempts: []attempt{{"a", lost, again}, {"a", dispatch.NotRun{}, giveUp}}, ran: model.RanUnknown},
		"attempts are bounded (lost)": {repeatable: true, targets: 1, attempts: []attempt{{"a", lost, again}, {"a", lost, again}, {"a", lost, again}, {"a", lost, giveUp}}, ran: model.RanUnknown},
		"attempts are bounded (full)": {targets: 1, attempts: []attempt{
			{"a", dispatch.NotRun{}, elsewhere}, {"b", dispatch.NotRun{}, elsewhere}, {"c", dispatch.NotRun{}, elsewhere}, {"d", dispatch.NotRun{}, giveUp},
		}, ran: model.RanNo},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := dispatch.Attempts{Repeatable: c.repeatable, MaxTargets: c.targets}
			for i, x := range c.attempts {
				assert.Equal(t, a.RecordOutcome(x.target, x.outcome), x.want, "attempt %d", i+1)
			}
			assert.Equal(t, a.Ran(), c.ran)
			assert.Equal(t, a.Count(), len(c.attempts))
		})
	}
}
