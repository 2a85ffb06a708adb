package turns_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/app/turns"
	"mimosarelay/core/model"
)

// loseDisk replaces the process of a host and its disk with empty ones.
func (p *ownerPair) loseDisk(host model.HostID) {
	p.disks[host] = &fakeDisk{pages: map[model.HostID][]byte{}}
	p.start(host)
}

// Guards against a program that gets one turn more than its budget for each owner that
// is lost together with its disk (review/6): each next owner took the program for a new
// one and ran its turn without a record.
func TestLostDisksGiveOneTurnInAll(t *testing.T) {
	p := newOwnerPair(t)
	p.killAll("a")
	granted := 0
	for i := range 4 {
		owner, next := model.HostID("a"), model.HostID("b")
		if i%2 == 1 {
			owner, next = next, owner
		}
		p.cut(true)
		if err := p.reserveFor(owner, "pausing", fmt.Sprint("loss-", i)); err == nil {
			granted++
		} else {
			assert.ErrorIs(t, err, turns.ErrNotOwner)
		}
		p.loseDisk(owner)
		p.cut(false)
		p.moveShards(next)
		assert.NilError(t, p.reserveFor(next, model.ProgramID(fmt.Sprint("other-", i)), "1"), "the records are loaded")
	}
	assert.Equal(t, granted, 1, "turns that no record covers and no owner knows")
}

// Guards against an owner that needs records for first turns after a loss for longer
// than necessary: the host comes back with its disk.
func TestFirstTurnsNeedNoRecordOnceNotesAreBack(t *testing.T) {
	p := newOwnerPair(t)
	p.killAll("a")
	assert.NilError(t, p.reserveFor("a", "known", "1"))
	disk := p.disks["a"]
	p.loseDisk("a")
	p.moveShards("b")
	assert.NilError(t, p.reserveFor("b", "other", "1"))
	assert.Equal(t, p.owners["b"].Dump().(turns.Dump).UncertainShards, model.ShardCount)
	p.disks["a"] = disk
	p.start("a")
	p.moveShards("b")
	for end := time.Now().Add(10 * time.Second); p.owners["b"].Dump().(turns.Dump).UncertainShards > 0; {
		assert.Assert(t, time.Now().Before(end), "the notes are not read")
		time.Sleep(10 * time.Millisecond)
	}
	p.cut(true)
	assert.NilError(t, p.reserveFor("b", "new", "1"), "a program that is certainly new")
	assert.ErrorIs(t, p.reserveFor("b", "known", "2"), turns.ErrNotOwner, "a program that was noted")
}

// Guards against a host that leaves as planned but counts as lost, so that first turns
// wait for records after each planned stop.
func TestRetiredHostLeavesNoMissingNotes(t *testing.T) {
	p := newOwnerPair(t)
	p.killAll("a")
	assert.NilError(t, p.reserveFor("a", "known", "1"))
	p.owners["a"].Retire(t.Context())
	assert.ErrorIs(t, p.reserveFor("a", "late", "1"), turns.ErrNotOwner)
	p.loseDisk("a")
	p.moveShards("b")
	assert.NilError(t, p.reserveFor("b", "other", "1"))
	p.cut(true)
	assert.NilError(t, p.reserveFor("b", "new", "1"), "a program that is certainly new")
	assert.ErrorIs(t, p.reserveFor("b", "known", "2"), model.ErrBudget, "the last page allows the whole budget")
}
