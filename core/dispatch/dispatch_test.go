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

// Guards against a request that is retried although it may have run and must not
// run twice, that runs on more targets than its route allows, or that is given
// up although it has not run anywhere.
func TestRetryOnlyWhereAllowed(t *testing.T) {
	lost, gone := dispatch.Lost{}, dispatch.Lost{Gone: true}
	again, elsewhere, giveUp := dispatch.Again{}, dispatch.Elsewhere{}, dispatch.GiveUp{}
	cases := map[string]struct {
		repeatable bool
		targets    int
		attempts   []attempt
		ran        model.Ran
	}{
		"not repeatable, answer lost, is given up":          {targets: 3, attempts: []attempt{{"a", lost, giveUp}}, ran: model.RanUnknown},
		"not repeatable, target gone, is given up":          {targets: 3, attempts: []attempt{{"a", gone, giveUp}}, ran: model.RanUnknown},
		"not repeatable, never sent, is retried":            {targets: 1, attempts: []attempt{{"a", dispatch.Unsent{}, elsewhere}, {"b", dispatch.Unsent{}, elsewhere}}, ran: model.RanNo},
		"not repeatable, not run, then lost, is given up":   {targets: 1, attempts: []attempt{{"a", dispatch.NotRun{}, elsewhere}, {"b", lost, giveUp}}, ran: model.RanUnknown},
		"repeatable, stays at the second of two targets":    {repeatable: true, targets: 2, attempts: []attempt{{"a", lost, elsewhere}, {"b", lost, again}}, ran: model.RanUnknown},
		"repeatable, stays at its only target":              {repeatable: true, targets: 1, attempts: []attempt{{"a", lost, again}, {"a", lost, again}}, ran: model.RanUnknown},
		"gone target does not count":                        {repeatable: true, targets: 1, attempts: []attempt{{"a", gone, elsewhere}, {"b", lost, again}}, ran: model.RanUnknown},
		"target gone after a loss no longer counts":         {repeatable: true, targets: 1, attempts: []attempt{{"a", lost, again}, {"a", gone, elsewhere}}, ran: model.RanUnknown},
		"not run after a loss at the only target, gives up": {repeatable: true, targets: 1, attempts: []attempt{{"a", lost, again}, {"a", dispatch.NotRun{}, giveUp}}, ran: model.RanUnknown},
		"fourth lost answer is given up":                    {repeatable: true, targets: 1, attempts: []attempt{{"a", lost, again}, {"a", lost, again}, {"a", lost, again}, {"a", lost, giveUp}}, ran: model.RanUnknown},
		"fourth rejection is given up": {targets: 1, attempts: []attempt{
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
