package turns_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/app/turns"
	"mimosarelay/core/model"
	"mimosarelay/core/turn"
)

// reserveFor reserves a turn of up to 100 tokens of a program with a budget of 300.
func (p *ownerPair) reserveFor(host model.HostID, program model.ProgramID, id string) error {
	ctx, cancel := context.WithTimeout(p.t.Context(), 700*time.Millisecond)
	defer cancel()
	return p.owners[host].Reserve(ctx, turn.Reservation{
		Program: model.ProgramKey{Workspace: "office", Program: program}, Turn: model.RequestID(id), Budget: 300, Max: 100, Deadline: time.Now().Add(time.Minute),
	})
}

// cut sets whether the owners reach neither the store nor each other, so that no
// record can be written.
func (p *ownerPair) cut(cut bool) {
	p.storeDown.Store(cut)
	p.peersDown.Store(cut)
}

// killAll replaces both processes and makes host the owner of all shards, with loaded
// records.
func (p *ownerPair) killAll(host model.HostID) {
	p.start("a")
	p.start("b")
	p.cut(false)
	p.moveShards(host)
	p.kills++
	other := model.ProgramID(fmt.Sprint("other-", p.kills)) // a record may cover its whole budget
	assert.NilError(p.t, p.reserveFor(host, other, "load"))
	p.owners[host].End(model.ProgramKey{Workspace: "office", Program: other}, "load", 0)
}

// Guards against a program that runs a first turn without a record at each of two
// owners when all keepers are killed twice, each time just after its turn: the new
// owner has been up for longer than InheritPeriod.
func TestSecondKillDoesNotGiveAnotherUnrecordedTurn(t *testing.T) {
	for name, next := range map[string]model.HostID{"same owner": "a", "other owner": "b"} {
		t.Run(name, func(t *testing.T) {
			p := newOwnerPair(t)
			p.killAll("a")
			p.cut(true)
			assert.NilError(t, p.reserveFor("a", "loop", "1"))
			p.killAll(next)
			p.cut(true)
			assert.ErrorIs(t, p.reserveFor(next, "loop", "2"), turns.ErrNotOwner, "the second turn needs a record")
			p.killAll(next)
			granted := 1
			for p.reserveFor(next, "loop", string(rune('a'+granted))) == nil {
				granted++
			}
			assert.Assert(t, granted <= 4, "%d turns of 100 tokens with a budget of 300", granted)
		})
	}
}

// Guards against an owner without a disk that lets a first turn run without any trace
// of it outside the process.
func TestFirstTurnWithoutDiskNeedsRecord(t *testing.T) {
	p := newOwnerPair(t)
	p.disks["a"] = nil
	p.killAll("a")
	p.cut(true)
	assert.ErrorIs(t, p.reserveFor("a", "loop", "1"), turns.ErrNotOwner)
	p.cut(false)
	time.Sleep(1500 * time.Millisecond) // until the next write begins
	assert.NilError(t, p.reserveFor("a", "loop", "1"))
}

// Guards against a first turn that waits for a disk that does not answer although its
// record has been written, and against one that runs with neither.
func TestFirstTurnDoesNotNeedDiskOnceRecorded(t *testing.T) {
	p := newOwnerPair(t)
	p.killAll("a")
	p.disks["a"].mu.Lock() // no write ends
	assert.NilError(t, p.reserveFor("a", "recorded", "1"))
	p.cut(true)
	assert.ErrorIs(t, p.reserveFor("a", "unrecorded", "1"), turns.ErrNotOwner)
	p.disks["a"].mu.Unlock()
	assert.NilError(t, p.reserveFor("a", "unrecorded", "2"), "the turn that did not run is not counted")
}
