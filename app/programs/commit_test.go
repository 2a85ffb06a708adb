package programs

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
)

// Guards against replaying an answer, or reporting a call as done, before its
// record is committed.
func TestUncommittedAnswerIsNotReplayed(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	ctx := context.Background()
	s := fl.hosts[0].service
	d, err := s.Begin(ctx, callSpec(1, false))
	assert.NilError(t, err)
	run := d.(*Run)
	assert.NilError(t, run.Start(ctx))
	fl.killPeers()
	fl.store.update(func(m *memStore) { m.down = true })
	assert.Equal(t, ranOf(t, run.Finish(ctx, answer(1))), model.RanYes)
	_, err = fl.call(fl.hosts[0], callSpec(1, false))
	assert.Equal(t, ranOf(t, err), model.RanYes)
	_, err = s.Outcome(testKey, 1)
	assert.ErrorIs(t, err, model.ErrUnavailable)

	fl.store.update(func(m *memStore) { m.down = false })
	got, err := fl.call(fl.hosts[0], callSpec(1, false))
	assert.NilError(t, err)
	assert.Equal(t, string(got.Answer), "answer 1")
	o, err := s.Outcome(testKey, 1)
	assert.NilError(t, err)
	assert.Equal(t, o.State, program.Done)
}

// Guards against a takeover that misses records which only other members hold:
// the new owner has no copies, and the store was down during the call.
func TestTakeoverReadsReplicasOfOtherMembers(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 5)
	s := fl.hosts[0].service
	waitFor(t, "first load", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.ready) == model.ShardCount
	})
	fl.store.update(func(m *memStore) { m.down = true })
	_, err := fl.call(fl.hosts[0], callSpec(1, false))
	assert.NilError(t, err)
	fl.hosts[0].dead.Store(true)
	fl.store.update(func(m *memStore) { m.down = false })
	fl.hosts[1].Leaving = true
	fl.hosts[2].Leaving = true
	fl.startEpoch()
	got, err := fl.call(fl.hosts[3], callSpec(1, false))
	assert.NilError(t, err)
	assert.Equal(t, string(got.Answer), "answer 1")
	assert.Equal(t, fl.arrivalsOf(callName(1)), 1)
}

// Guards against deleting the journal of a former member before the new owners
// have written its programs to their own journals.
func TestFormerMemberJournalStaysUntilNewOwnerWrites(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 1)
	_, err := fl.call(fl.hosts[0], callSpec(1, false))
	assert.NilError(t, err)
	former := fl.topologies["a0"]
	former.Members = nil
	remaining, err := fl.hosts[0].service.removeFormerSegments(context.Background(), former)
	assert.NilError(t, err)
	assert.Assert(t, remaining > 0)
	entries, _, err := fl.store.List(context.Background(), journalPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), remaining)
}

// Guards against writing a record without a version, which no host can read and
// which makes every later takeover fail. It was written if the membership changed
// between the admission of a program's first call and its start.
func TestEpochChangeBeforeFirstStartWritesNoUnversionedRecord(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 5)
	ctx := context.Background()
	s := fl.hosts[0].service
	d, err := s.Begin(ctx, callSpec(1, false))
	assert.NilError(t, err)
	// A new epoch commits all programs again, see replicateAgain.
	for _, e := range s.listEntries() {
		assert.NilError(t, s.commit(ctx, e))
	}
	waitFor(t, "journal idle", s.journal.idle)
	checkJournals(t, fl)
	assert.NilError(t, d.(*Run).Start(ctx))
	assert.NilError(t, d.(*Run).Finish(ctx, answer(1)))
	waitFor(t, "journal idle", s.journal.idle)
	assert.Assert(t, checkJournals(t, fl) > 0)
}

// checkJournals checks that all segments in the store can be decoded, and returns
// their number.
func checkJournals(t *testing.T, fl *fleet) int {
	t.Helper()
	entries, _, err := fl.store.List(context.Background(), journalPrefix)
	assert.NilError(t, err)
	for _, e := range entries {
		_, err := decodeSegment(e.Value)
		assert.NilError(t, err, e.Key)
	}
	return len(entries)
}
