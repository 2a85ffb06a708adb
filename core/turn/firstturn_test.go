package turn_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/model"
	"mimosarelay/core/turn"
)

// Guards against a program that runs a turn without a record at each of several
// processes that are lost one after the other: with 300 tokens it generated 400 over
// two losses, with turns of 50. The notes of first turns survive a loss, as on a disk.
func TestNotedFirstTurnsStayBoundedAcrossProcessLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := model.Tokens(rapid.IntRange(int(maxTurnTokens), 600).Draw(t, "budget"))
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		l := turn.NewLedger()
		stored, noted := map[model.ProgramKey]turn.Record{}, map[model.ProgramKey]turn.Record{}
		generated := model.Tokens(0)
		for i := range 60 {
			switch random.IntN(4) {
			case 0, 1:
				id := model.RequestID(fmt.Sprint("t", i))
				if l.Reserve(start, reservation(string(id), budget)) != (turn.Granted{}) {
					continue
				}
				if r, ok := l.Uncovered(key); ok {
					noted[key] = r
				}
				generated += maxTurnTokens
				l.End(start, key, id, maxTurnTokens)
			case 2:
				list := l.PrepareRecords(start)
				if random.IntN(4) > 0 {
					for _, r := range list {
						stored[r.Program] = r
					}
					l.MarkSaved(list)
				}
			case 3:
				l = turn.NewLedger()
				for _, records := range []map[model.ProgramKey]turn.Record{stored, noted} {
					for _, r := range records {
						l.Load(r)
					}
				}
			}
		}
		assert.Assert(t, generated <= budget+maxTurnTokens, "%d tokens with a budget of %d", generated, budget)
	})
}

// Guards against first turns that are noted again after a record covers them, and
// against notes of turns that need none.
func TestFirstTurnIsUncoveredUntilRecorded(t *testing.T) {
	l := turn.NewLedger()
	_, ok := l.Uncovered(key)
	assert.Assert(t, !ok)
	assert.Equal(t, l.Reserve(start, reservation("a", 1000)), turn.Granted{})
	r, ok := l.Uncovered(key)
	assert.Assert(t, ok)
	assert.DeepEqual(t, r, turn.Record{Program: key, Allowed: maxTurnTokens, Used: start})
	saveRecords(l)
	_, ok = l.Uncovered(key)
	assert.Assert(t, !ok)
}
