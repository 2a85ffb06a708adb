package member_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
)

const testAwayLimit = 5 * time.Second

// limitedRecord returns a record of n members that have an AwayLimit.
func limitedRecord(t *testing.T, n int) member.Record {
	t.Helper()
	r := newRecord(t, n)
	for i := range r.Members {
		r.Members[i].AwayLimit = testAwayLimit
	}
	return r
}

// Guards against an epoch of one or two members that can never be left, and against
// the removal of members that may still act on their own word.
func TestSilentMembersOfSmallEpochAreRemoved(t *testing.T) {
	long, short := testAwayLimit, testAwayLimit-time.Millisecond
	without := limitedRecord(t, 2)
	without.Members[1].AwayLimit = 0
	lapsedBefore, err := limitedRecord(t, 2).RemoveLapsed("h0")
	assert.NilError(t, err)
	both := []model.HostID{"h0", "h1"}
	for name, c := range map[string]struct {
		record  member.Record
		silent  map[model.Incarnation]time.Duration
		removed []model.HostID
		want    error
	}{
		"only member":                           {limitedRecord(t, 1), map[model.Incarnation]time.Duration{"h0-1": long}, []model.HostID{"h0"}, nil},
		"only member, too early":                {limitedRecord(t, 1), map[model.Incarnation]time.Duration{"h0-1": short}, []model.HostID{"h0"}, member.ErrNoMajority},
		"only member, no evidence":              {limitedRecord(t, 1), nil, []model.HostID{"h0"}, member.ErrNoMajority},
		"only member without limit":             {newRecord(t, 1), map[model.Incarnation]time.Duration{"h0-1": long}, []model.HostID{"h0"}, member.ErrNoMajority},
		"both of two":                           {limitedRecord(t, 2), map[model.Incarnation]time.Duration{"h0-1": long, "h1-1": long}, both, nil},
		"both of two, one too early":            {limitedRecord(t, 2), map[model.Incarnation]time.Duration{"h0-1": long, "h1-1": short}, both, member.ErrNoMajority},
		"both of two, one without limit":        {without, map[model.Incarnation]time.Duration{"h0-1": long, "h1-1": long}, both, member.ErrNoMajority},
		"second of two after the first":         {lapsedBefore, map[model.Incarnation]time.Duration{"h0-1": long, "h1-1": long}, both[1:], nil},
		"second of two, first not known silent": {lapsedBefore, map[model.Incarnation]time.Duration{"h1-1": long}, both[1:], member.ErrNoMajority},
		"two of three":                          {limitedRecord(t, 3), map[model.Incarnation]time.Duration{"h0-1": long, "h1-1": long}, both, member.ErrNoMajority},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := c.record.RemoveSilent(c.silent, c.removed...)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
		})
	}
}

// Guards against a right by confirmations that outlives AwayLimit in a small epoch,
// and against one that ends with it in a larger one.
func TestRightByConfirmationsEndsInSmallEpochsOnly(t *testing.T) {
	limited := times
	limited.AwayLimit = testAwayLimit
	start := time.Unix(100, 0)
	for n, ends := range map[int]bool{1: true, 2: true, 3: false} {
		right := member.NewRight(limited, newMember(0), start)
		r := newRecord(t, n)
		right.Enter(r)
		right.Renewed(start)
		right.LeaseLost()
		right.SetStoreAway(true)
		mayAct := func(after time.Duration) bool {
			now := start.Add(after)
			for _, m := range r.Members[1:] {
				right.Confirm(m.Incarnation, r.Epoch, true, now)
			}
			return right.MayAct(now)
		}
		assert.Assert(t, mayAct(4499*time.Millisecond), "%d members", n)
		assert.Equal(t, mayAct(4500*time.Millisecond), !ends, "%d members", n)
		right.Renewed(start.Add(10 * time.Second))
		right.LeaseLost()
		assert.Assert(t, mayAct(14*time.Second), "%d members, lease renewed", n)
	}
}
