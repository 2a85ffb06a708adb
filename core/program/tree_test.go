package program

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/model"
	_ "mimosarelay/test/fixedseed"
)

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTree(b Budget) *Tree {
	return New(model.ProgramKey{Workspace: "w", Program: "root"}, b, startTime)
}

// reload encodes and decodes a tree, as the new owner does at a takeover.
func reload(t *Tree) (*Tree, error) {
	head, err := t.Head()
	if err != nil {
		return nil, err
	}
	records := map[ID]Record{}
	for id := range t.contents {
		rs, err := t.Contents(id)
		if err != nil {
			return nil, err
		}
		for _, r := range rs {
			records[r.ID] = r
		}
	}
	return Assemble(head, func(i ID) (Record, bool) { r, ok := records[i]; return r, ok })
}

// Guards against calls that run out of order, an exceeded budget, a second run
// of a non-idempotent call and an answer returned to the wrong program, in random
// sequences of calls, outcomes and takeovers.
func TestTreeKeepsOrderBudgetAndAnswersAcrossTakeovers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		budget := model.Tokens(rapid.IntRange(1, 300).Draw(r, "budget"))
		tr := newTree(Budget{Tokens: budget, Calls: 25})
		sent := map[ContentID]int{}
		final := map[ContentID]bool{}
		spent := model.Tokens(0)
		var version Version
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			id := ContentID{
				Program: model.ProgramID(rapid.SampledFrom([]string{"root", "a", "b"}).Draw(r, "program")),
				Call:    model.CallNumber(rapid.IntRange(1, 6).Draw(r, "call")),
			}
			idempotent := id.Call%2 == 0
			answer := fmt.Sprintf("%s/%d", id.Program, id.Call)
			reserve := model.Tokens(rapid.IntRange(0, 40).Draw(r, "reserve"))
			d := tr.Admit(Request{id.Program, id.Call, model.Fingerprint(answer), reserve, idempotent, []byte(answer)}, startTime)
			switch d := d.(type) {
			case Replay:
				assert.Equal(r, string(d.Result.Answer), answer)
			case Run:
				assert.Assert(r, id.Call == 1 || final[ContentID{id.Program, id.Call - 1}], "predecessor has not ended")
				assert.NilError(r, tr.Start(id.Program, id.Call))
				sent[id]++
				used := model.Tokens(rapid.IntRange(0, int(reserve)).Draw(r, "used"))
				spent += used
				switch rapid.IntRange(0, 3).Draw(r, "end") {
				case 0:
					assert.NilError(r, tr.Finish(id.Program, id.Call, Result{[]byte(answer), "t", 200, used}, startTime))
					final[id] = true
				case 1:
					assert.NilError(r, tr.Abort(id.Program, id.Call, model.RanUnknown, startTime))
					final[id] = !idempotent
				case 2:
					assert.NilError(r, tr.Abort(id.Program, id.Call, model.RanYes, startTime))
					final[id] = !idempotent
				case 3: // takeover while the call is open
					var err error
					tr.Version = tr.Version.Next(1)
					tr, err = reload(tr)
					assert.NilError(r, err)
					assert.NilError(r, tr.Recover(startTime))
					final[id] = !idempotent
				}
				if !idempotent {
					assert.Equal(r, sent[id], 1, "non-idempotent call sent again")
				}
			}
			tr.Version = tr.Version.Next(1)
			assert.Assert(r, tr.Version > version)
			version = tr.Version
			if c, err := tr.Get(id.Program, id.Call); err == nil && c.State == Done && c.Written == 0 {
				assert.NilError(r, tr.Seal(id))
			}
			assert.Assert(r, tr.Used+tr.Reserved <= budget && spent <= budget)
			assert.NilError(r, tr.validate())
		}
		for _, p := range []model.ProgramID{"root", "a", "b"} {
			for _, turn := range tr.History(p) {
				assert.Equal(r, string(turn.Answer), fmt.Sprintf("%s/%d", p, turn.Call))
			}
		}
	})
}

// Guards against the wrong refusal for a call that is repeated, malformed, over
// the budget or made after the end of the program.
func TestAdmitRefusesInvalidCalls(t *testing.T) {
	base := Request{Program: "root", Call: 1, Fingerprint: "f", Reserve: 10}
	done := func(tr *Tree) {
		_ = tr.Start("root", 1)
		_ = tr.Finish("root", 1, Result{Used: 4, Status: 200}, startTime)
	}
	cases := map[string]struct {
		prepare func(*Tree)
		change  func(*Request)
		elapsed time.Duration
		want    error
		ran     model.Ran
	}{
		"different content":    {prepare: done, change: func(r *Request) { r.Fingerprint = "g" }, want: model.ErrConflict, ran: model.RanNo},
		"outcome unknown":      {prepare: func(tr *Tree) { _ = tr.Start("root", 1); _ = tr.Recover(startTime) }, want: model.ErrOutcomeUnknown, ran: model.RanUnknown},
		"negative reservation": {change: func(r *Request) { r.Call = 2; r.Reserve = -1 }, want: model.ErrBadRequest, ran: model.RanNo},
		"over budget":          {prepare: done, change: func(r *Request) { r.Call = 2; r.Reserve = 97 }, want: model.ErrBudget, ran: model.RanNo},
		"lifetime expired":     {prepare: done, change: func(r *Request) { r.Call = 2 }, elapsed: time.Hour, want: model.ErrProgramEnded, ran: model.RanNo},
		"ended by caller":      {prepare: func(tr *Tree) { done(tr); tr.End("caller", startTime) }, change: func(r *Request) { r.Call = 2 }, want: model.ErrProgramEnded, ran: model.RanNo},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tr := newTree(Budget{Tokens: 100, Lifetime: time.Hour})
			assert.Equal(t, tr.Admit(base, startTime), Decision(Run{}))
			if c.prepare != nil {
				c.prepare(tr)
			}
			r := base
			if c.change != nil {
				c.change(&r)
			}
			d, ok := tr.Admit(r, startTime.Add(c.elapsed)).(Reject)
			assert.Assert(t, ok)
			assert.ErrorIs(t, d.Refusal, c.want)
			assert.Equal(t, d.Refusal.Ran, c.ran)
		})
	}
}

// Guards against the acceptance of a damaged record or of a head without its
// content, and against the loss of content that is larger than one part.
func TestDamagedAndIncompleteRecordsAreRejected(t *testing.T) {
	tr := newTree(Budget{})
	tr.Admit(Request{Program: "root", Call: 1}, startTime)
	assert.NilError(t, tr.Start("root", 1))
	answer := make([]byte, 3*maxPartSize)
	for i := range answer {
		answer[i] = byte(i * i >> 3)
	}
	assert.NilError(t, tr.Finish("root", 1, Result{Answer: answer}, startTime))
	tr.Version = tr.Version.Next(2)
	assert.NilError(t, tr.Seal(ContentID{"root", 1}))
	decoded, err := reload(tr)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.History("root")[0].Answer, answer)

	head, err := tr.Head()
	assert.NilError(t, err)
	for i := range head.Data {
		damaged := append([]byte(nil), head.Data...)
		damaged[i] ^= 0x41
		_, err := Identify(damaged)
		assert.Assert(t, errors.Is(err, ErrBadRecord), "byte %d", i)
	}
	_, err = Assemble(head, func(ID) (Record, bool) { return Record{}, false })
	assert.ErrorIs(t, err, ErrIncomplete)
}
