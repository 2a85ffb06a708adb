package programs

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
)

// Guards against an answer that is replayed, or an outcome that is reported as
// done, before the record is committed.
func TestUncommittedAnswer(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3)
	ctx := context.Background()
	s := w.hosts[0].s
	d, err := s.Begin(ctx, spec(1, false))
	assert.NilError(t, err)
	run := d.(*Run)
	assert.NilError(t, run.Start(ctx))
	w.killPeers()
	w.store.set(func(m *memStore) { m.down = true })
	assert.Equal(t, ran(t, run.Finish(ctx, answer(1))), model.RanYes)
	_, err = w.call(w.hosts[0], spec(1, false))
	assert.Equal(t, ran(t, err), model.RanYes)
	_, err = s.Outcome(testKey, 1)
	assert.ErrorIs(t, err, model.ErrUnavailable)

	w.store.set(func(m *memStore) { m.down = false })
	got, err := w.call(w.hosts[0], spec(1, false))
	assert.NilError(t, err)
	assert.Equal(t, string(got.Answer), "answer 1")
	o, err := s.Outcome(testKey, 1)
	assert.NilError(t, err)
	assert.Equal(t, o.State, program.Done)
}

// Guards against a new owner that misses records which only other members
// hold: it kept no copies itself, and the store was down since the call.
func TestTakeoverFromMembers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 5)
	s := w.hosts[0].s
	until(t, "first load", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.ready) == model.ShardCount
	})
	w.store.set(func(m *memStore) { m.down = true })
	_, err := w.call(w.hosts[0], spec(1, false))
	assert.NilError(t, err)
	w.hosts[0].dead.Store(true)
	w.store.set(func(m *memStore) { m.down = false })
	w.hosts[1].Leaving = true
	w.hosts[2].Leaving = true
	w.enter()
	got, err := w.call(w.hosts[3], spec(1, false))
	assert.NilError(t, err)
	assert.Equal(t, string(got.Answer), "answer 1")
	assert.Equal(t, w.count(id(1)), 1)
}

// Guards against deleting the journal of a former member before its programs
// are in a journal of their new owners.
func TestJournalOfFormerMemberStays(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	_, err := w.call(w.hosts[0], spec(1, false))
	assert.NilError(t, err)
	former := w.last["a0"]
	former.Members = nil
	left, err := w.hosts[0].s.sweepJournals(context.Background(), former)
	assert.NilError(t, err)
	assert.Assert(t, left > 0)
	entries, _, err := w.store.List(context.Background(), journalPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), left)
}

// Guards against a record without a version, which no host can read: it was
// written when the membership changed between the admission of a program's
// first call and its start, and made every later takeover fail.
func TestEpochChangeBeforeFirstStart(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 5)
	ctx := context.Background()
	s := w.hosts[0].s
	d, err := s.Begin(ctx, spec(1, false))
	assert.NilError(t, err)
	// A new epoch commits all programs again, see renewReplicas.
	for _, e := range s.entries() {
		assert.NilError(t, s.commit(ctx, e))
	}
	until(t, "journal idle", s.journal.idle)
	checkJournals(t, w)
	assert.NilError(t, d.(*Run).Start(ctx))
	assert.NilError(t, d.(*Run).Finish(ctx, answer(1)))
	until(t, "journal idle", s.journal.idle)
	assert.Assert(t, checkJournals(t, w) > 0)
}

// checkJournals decodes all segments in the store and returns their number.
func checkJournals(t *testing.T, w *world) int {
	t.Helper()
	entries, _, err := w.store.List(context.Background(), journalPrefix)
	assert.NilError(t, err)
	for _, e := range entries {
		_, err := decodeSegment(e.Value)
		assert.NilError(t, err, e.Key)
	}
	return len(entries)
}
