package turn_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/model"
	"mimosarelay/core/turn"
	_ "mimosarelay/test/fixedseed"
)

var (
	key   = model.ProgramKey{Workspace: "office", Program: "letter-17"}
	start = time.Unix(1000, 0)
)

// maxTurnTokens is the number of tokens that each turn reserves.
const maxTurnTokens model.Tokens = 100

func reservation(id string, budget model.Tokens) turn.Reservation {
	return turn.Reservation{Program: key, Turn: model.RequestID(id), Budget: budget, Max: maxTurnTokens, Deadline: start.Add(4 * time.Second)}
}

// saveRecords simulates a successful write of the records.
func saveRecords(l *turn.Ledger) {
	l.MarkSaved(l.PrepareRecords(start))
}

// Guards against a turn that runs beyond the budget, and against one that is
// refused although it fits.
func TestTurnIsGrantedExactlyWhenItFitsTheBudget(t *testing.T) {
	cases := map[string]struct {
		budget model.Tokens
		used   []model.Tokens // by earlier turns, each of which reserved 100 tokens
		want   turn.Decision  // on one more turn
	}{
		"new program":                      {budget: 300, want: turn.Granted{}},
		"budget smaller than a turn":       {budget: 99, want: turn.Exhausted{}},
		"one turn left":                    {budget: 300, used: []model.Tokens{100, 100}, want: turn.Granted{}},
		"less than a turn left":            {budget: 300, used: []model.Tokens{100, 100, 1}, want: turn.Exhausted{}},
		"unused reservations are returned": {budget: 300, used: []model.Tokens{10, 10, 10, 10}, want: turn.Granted{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := turn.NewLedger()
			for i, used := range c.used {
				id := fmt.Sprint("turn-", i)
				assert.Equal(t, l.Reserve(start, reservation(id, c.budget)), turn.Granted{})
				saveRecords(l)
				l.End(start, key, model.RequestID(id), used)
			}
			assert.Equal(t, l.Reserve(start, reservation("last", c.budget)), c.want)
		})
	}
}

// Guards against a second turn that starts before a record allows it, and
// against a repeated reservation that reserves twice.
func TestSecondTurnWaitsForRecord(t *testing.T) {
	l := turn.NewLedger()
	assert.Equal(t, l.Reserve(start, reservation("a", 1000)), turn.Granted{})
	assert.Equal(t, l.Reserve(start, reservation("a", 1000)), turn.Granted{})
	assert.Equal(t, l.Reserve(start, reservation("b", 1000)), turn.Unrecorded{})
	assert.Assert(t, l.Unsaved())
	saveRecords(l)
	assert.Equal(t, l.Reserve(start, reservation("b", 1000)), turn.Granted{})
}

// Guards against a turn that is never settled, or with less than it reserved,
// because its host was lost before it reported the end.
func TestUnreportedTurnCountsInFull(t *testing.T) {
	l := turn.NewLedger()
	assert.Equal(t, l.Reserve(start, reservation("a", 200)), turn.Granted{})
	saveRecords(l)
	later := start.Add(6 * time.Second)
	assert.Equal(t, l.Reserve(later, reservation("b", 200)), turn.Granted{})
	assert.Equal(t, l.Reserve(later, reservation("c", 200)), turn.Exhausted{})
	l.End(later, key, "a", 0) // the turn has already been settled
	assert.Equal(t, l.Reserve(later, reservation("c", 200)), turn.Exhausted{})
}

// Guards against a process that drops the record of a released program before the
// next owner has read it. When the store refused one host, a program generated
// 2812 tokens with a budget of 1767 in this way.
func TestReleasedProgramKeepsItsRecord(t *testing.T) {
	l := turn.NewLedger()
	assert.Equal(t, l.Reserve(start, reservation("a", 300)), turn.Granted{})
	saveRecords(l)
	l.Release(key)
	next := turn.NewLedger()
	for _, r := range l.PrepareRecords(start) {
		next.Load(r)
	}
	assert.Equal(t, next.Reserve(start, reservation("b", 300)), turn.Exhausted{})
}

// Guards against a program that generates more than its budget plus one turn: over two
// losses, each just after a turn without a record, it generated 400 tokens of 300, in
// turns of 50. The counting process is lost at random points, and its successor loads
// the records that were written by then and the notes of uncovered turns.
func TestTokensStayBoundedAcrossProcessLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := model.Tokens(rapid.IntRange(int(maxTurnTokens), 1200).Draw(t, "budget"))
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		l := turn.NewLedger()
		stored, noted := map[model.ProgramKey]turn.Record{}, map[model.ProgramKey]turn.Record{}
		generated := model.Tokens(0)
		var running []model.RequestID
		for i := range 60 {
			switch random.IntN(5) {
			case 0, 1:
				id := model.RequestID(fmt.Sprint("t", i))
				if l.Reserve(start, reservation(string(id), budget)) == (turn.Granted{}) {
					running = append(running, id)
					if r, ok := l.Uncovered(key); ok {
						noted[key] = r
					}
				}
			case 2:
				// The write may or may not take effect, and its answer may be lost.
				list := l.PrepareRecords(start)
				written := random.IntN(4) > 0
				if written {
					for _, r := range list {
						stored[r.Program] = r
					}
				}
				if written && random.IntN(3) > 0 {
					l.MarkSaved(list)
				}
			case 3:
				if len(running) > 0 {
					used := model.Tokens(random.IntN(int(maxTurnTokens) + 1))
					l.End(start, key, running[0], used)
					generated += used
					running = running[1:]
				}
			case 4:
				generated += maxTurnTokens * model.Tokens(len(running))
				running = nil
				l = turn.NewLedger()
				for _, records := range []map[model.ProgramKey]turn.Record{stored, noted} {
					for _, r := range records {
						l.Load(r)
					}
				}
			}
		}
		generated += maxTurnTokens * model.Tokens(len(running))
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

// Guards against a program that starts again with a whole budget at its next owner,
// because the record of its last use was minutes old: it had only been refused since.
func TestRefusedProgramStaysRecorded(t *testing.T) {
	l := turn.NewLedger()
	assert.Equal(t, l.Reserve(start, reservation("a", 100)), turn.Granted{})
	saveRecords(l)
	l.End(start, key, "a", 100)
	now := start
	var last []turn.Record
	for range 10 {
		now = now.Add(turn.IdleRetention / 4)
		assert.Equal(t, l.Reserve(now, reservation("b", 100)), turn.Exhausted{})
		if l.Unsaved() {
			last = l.PrepareRecords(now)
			l.MarkSaved(last)
		}
	}
	next := turn.NewLedger()
	for _, r := range last {
		next.Load(r)
	}
	next.PrepareRecords(now.Add(time.Second)) // deletes idle accounts
	assert.Equal(t, next.Reserve(now.Add(time.Second), reservation("c", 100)), turn.Exhausted{})
}

// Guards against a program that is deleted as idle because the oldest of its records
// was loaded first.
func TestLoadKeepsLatestUse(t *testing.T) {
	l := turn.NewLedger()
	now := start.Add(turn.IdleRetention)
	for _, used := range []time.Time{start.Add(-time.Second), now} {
		l.Load(turn.Record{Program: key, Allowed: 100, Used: used})
	}
	l.PrepareRecords(now.Add(time.Second))
	assert.Equal(t, l.Reserve(now.Add(time.Second), reservation("a", 100)), turn.Exhausted{})
}
