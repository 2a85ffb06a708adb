package turn_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/core/turn"
)

// keeperDisk is what a host has on its disk.
type keeperDisk struct {
	id    turn.NotesID // empty without notes
	notes map[model.ProgramKey]turn.Record
}

// keeperProcess is the process of a host. It is a member unless it is away.
type keeperProcess struct {
	ledger    *turn.Ledger
	rule      *turn.FirstTurnRule
	absences  turn.Absences
	ownLoaded bool
	loaded    bool
	away      bool // not a member; its disk cannot be read
}

type storedPage struct {
	turn.Announcement
	records []turn.Record
	version store.Version
}

// lossyFleet plays the owners of one program after another. One owner acts at a time.
type lossyFleet struct {
	random    *rand.Rand
	now       time.Time
	budget    model.Tokens
	disks     map[model.HostID]*keeperDisk
	processes map[model.HostID]*keeperProcess
	pages     map[model.HostID]storedPage
	version   store.Version
	owner     model.HostID
	names     int // of hosts so far

	program   model.ProgramKey
	lost      time.Time // when an owner was last lost
	turns     int
	attempted time.Time         // when the program last asked for a turn
	running   []model.RequestID // at the owner
	generated model.Tokens
}

const fleetSize = 3

func newLossyFleet(seed uint64, budget model.Tokens) *lossyFleet {
	f := &lossyFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, budget: budget, pages: map[model.HostID]storedPage{},
		disks: map[model.HostID]*keeperDisk{}, processes: map[model.HostID]*keeperProcess{},
	}
	for range fleetSize {
		f.addHost()
	}
	f.takeOver()
	return f
}

func (f *lossyFleet) addHost() {
	f.names++
	host := model.HostID(fmt.Sprint("h", f.names))
	f.disks[host] = &keeperDisk{notes: map[model.ProgramKey]turn.Record{}}
	f.startProcess(host)
}

func (f *lossyFleet) startProcess(host model.HostID) {
	disk := f.disks[host]
	p := &keeperProcess{ledger: turn.NewLedger(), rule: turn.NewFirstTurnRule(disk.id)}
	if disk.id == "" && f.random.IntN(4) > 0 {
		f.names++
		disk.id = turn.NotesID(fmt.Sprint("notes-", f.names))
		p.rule.NotesWritten(disk.id)
	}
	f.processes[host] = p
}

// load does what app/turns does when the owner has shards that are not loaded, or
// looks for missing notes again.
func (f *lossyFleet) load() {
	p := f.processes[f.owner]
	missing, records := false, []turn.Record{}
	var absent []turn.Absence
	for host, page := range f.pages {
		process, disk := f.processes[host], f.disks[host]
		readable := process != nil && !process.away && disk.id != ""
		var id turn.NotesID
		if readable {
			id = disk.id
		}
		missing = missing || page.Missing(id, readable)
		if process == nil || process.away {
			absent = append(absent, turn.Absence{Host: host, Version: page.version})
		}
		if host != f.owner || !p.ownLoaded {
			records = append(records, page.records...)
		}
	}
	for host, process := range f.processes {
		if process.away || host == f.owner && p.ownLoaded {
			continue
		}
		for _, r := range f.disks[host].notes {
			records = append(records, r)
		}
	}
	for _, r := range records {
		p.ledger.Load(r)
	}
	if len(records) > 0 {
		p.ledger.MarkUnsaved()
	}
	if !p.ownLoaded {
		disk := f.disks[f.owner]
		if own, ok := f.pages[f.owner]; ok {
			p.rule.LoadedOwn(f.now, own.Announcement, disk.id, disk.id != "")
		}
		p.ownLoaded = true
	}
	switch {
	case !p.loaded:
		p.rule.Loaded(f.now, 0, missing)
		p.loaded = true
	case !missing:
		p.rule.NotesFound(0)
	}
	for _, a := range p.absences.Observe(f.now, absent) {
		if f.pages[a.Host].version == a.Version {
			delete(f.pages, a.Host)
		}
	}
}

// takeOver makes a random member the owner. A turn that runs has then been granted by
// an owner that can no longer settle it.
func (f *lossyFleet) takeOver() {
	f.generated += maxTurnTokens * model.Tokens(len(f.running))
	f.running = nil
	if old := f.processes[f.owner]; old != nil {
		old.loaded = false
		old.ledger.Release(f.program)
	}
	var members []model.HostID
	for i := range f.names {
		host := model.HostID(fmt.Sprint("h", i+1))
		if p := f.processes[host]; p != nil && !p.away {
			members = append(members, host)
		}
	}
	f.owner = members[f.random.IntN(len(members))]
	f.load()
}

func (f *lossyFleet) reserve() {
	p, disk := f.processes[f.owner], f.disks[f.owner]
	f.turns++
	f.attempted = f.now
	r := turn.Reservation{
		Program: f.program, Turn: model.RequestID(fmt.Sprint("t", f.turns)), Budget: f.budget, Max: maxTurnTokens,
		Deadline: f.now.Add(4 * time.Second), Inherited: !p.rule.Allows(f.now, 0),
	}
	if p.ledger.Reserve(f.now, r) != (turn.Granted{}) {
		return
	}
	f.running = append(f.running, r.Turn)
	if note, ok := p.ledger.Uncovered(f.program); ok {
		disk.notes[f.program] = note
	}
}

// write writes the page of the owner. The write may fail, and its answer may be lost:
// it then reports false.
func (f *lossyFleet) write() bool {
	p := f.processes[f.owner]
	if !p.ledger.Unsaved() && !p.rule.AnnouncementDue() {
		return true
	}
	page := storedPage{Announcement: p.rule.Announcement(f.now), records: p.ledger.PrepareRecords(f.now)}
	written := f.random.IntN(4) > 0
	if written {
		f.version++
		page.version = f.version
		f.pages[f.owner] = page
	}
	if written && f.random.IntN(4) > 0 {
		p.ledger.MarkSaved(page.records)
		p.rule.Announced(page.Announcement)
		return true
	}
	p.ledger.MarkUnsaved()
	return false
}

// lose takes the owner away in one of several ways.
func (f *lossyFleet) lose() {
	host := f.owner
	switch f.random.IntN(4) {
	case 0: // the process is restarted
		f.startProcess(host)
	case 1: // and its disk is lost
		f.disks[host] = &keeperDisk{notes: map[model.ProgramKey]turn.Record{}}
		f.startProcess(host)
	case 2: // another host takes its place
		delete(f.processes, host)
		delete(f.disks, host)
		f.addHost()
	case 3: // it is no member for some time
		f.startProcess(host)
		f.processes[host].away = true
		f.addHost()
	}
	f.owner = ""
	f.takeOver()
}

// catchUp is the shortest time between two losses (catch_up_s of the deployments).
const catchUp = 4 * time.Second

// longestPause is the longest time between two turns of a program (retention_s of the
// deployments).
const longestPause = time.Minute

// step plays one random event and lets up to 40 s pass.
func (f *lossyFleet) step() {
	if f.now.Sub(f.attempted) > longestPause-40*time.Second {
		f.reserve()
	}
	switch f.random.IntN(9) {
	case 0, 1, 2:
		f.reserve()
	case 3, 4:
		f.write()
	case 5:
		if len(f.running) > 0 {
			used := model.Tokens(f.random.IntN(int(maxTurnTokens) + 1))
			f.processes[f.owner].ledger.End(f.now, f.program, f.running[0], used)
			f.generated += used
			f.running = f.running[1:]
		}
	case 6:
		if f.now.Sub(f.lost) > catchUp {
			f.lost = f.now
			f.lose()
		}
	case 7:
		for !f.write() { // a live owner writes until the store takes it
		}
		f.takeOver()
	case 8:
		for _, p := range f.processes {
			p.away = false
		}
		f.load()
	}
	if f.random.IntN(3) > 0 {
		return // the next event comes before the owner writes
	}
	f.now = f.now.Add(time.Duration(f.random.IntN(40000)) * time.Millisecond)
	for failed := 0; !f.write() && failed < maxFailedWrites; failed++ {
	}
}

// maxFailedWrites is the number of writes that may fail while time passes.
const maxFailedWrites = 3

// calm lets the time pass after which lost notes are of no concern.
func (f *lossyFleet) calm() {
	for range 2 {
		f.now = f.now.Add(turn.UncertainPeriod + time.Second)
		f.load()
		for !f.write() {
		}
	}
}

// Guards against a program that gets more than its budget and one turn over a series of
// losses: owners are killed, lose their disks, are replaced and come back at random, while
// the program pauses and goes on (review/6).
func TestTokensStayBoundedAcrossLostDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := model.Tokens(rapid.IntRange(int(maxTurnTokens), 1200).Draw(t, "budget"))
		f := newLossyFleet(rapid.Uint64().Draw(t, "seed"), budget)
		for i := range 20 {
			if f.random.IntN(2) == 0 {
				f.calm()
			}
			f.program.Program = model.ProgramID(fmt.Sprint("program-", i))
			f.generated, f.running, f.attempted = 0, nil, f.now
			for range 40 {
				f.step()
			}
			f.generated += maxTurnTokens * model.Tokens(len(f.running))
			assert.Assert(t, f.generated <= budget+maxTurnTokens, "%s got %d tokens with a budget of %d", f.program.Program, f.generated, budget)
		}
	})
}

// Guards against a first turn without a record before the store says where it would be
// noted, and against losses that later owners cannot see.
func TestFirstTurnNeedsRecordUnlessProgramIsCertainlyNew(t *testing.T) {
	own := turn.Announcement{Notes: "disk-1"}
	cases := map[string]struct {
		prepare func(*turn.FirstTurnRule)
		after   time.Duration
		want    bool
	}{
		"announced": {want: true},
		"withdrawn": {prepare: func(f *turn.FirstTurnRule) { f.Withdraw() }},
		"retired":   {prepare: func(f *turn.FirstTurnRule) { f.Retire() }},
		"notes of a peer are missing": {
			prepare: func(f *turn.FirstTurnRule) { f.Loaded(start, 0, true) }, after: turn.UncertainPeriod - 1,
		},
		"notes of a peer were missing": {
			prepare: func(f *turn.FirstTurnRule) { f.Loaded(start, 0, true) }, after: turn.UncertainPeriod, want: true,
		},
		"notes of a peer are back": {
			prepare: func(f *turn.FirstTurnRule) { f.Loaded(start, 0, true); f.NotesFound(0) }, want: true,
		},
		"another shard": {prepare: func(f *turn.FirstTurnRule) { f.Loaded(start, 1, true) }, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := turn.NewFirstTurnRule("disk-1")
			assert.Assert(t, !f.Allows(start, 0), "nothing is announced")
			f.Announced(own)
			if c.prepare != nil {
				c.prepare(f)
			}
			assert.Equal(t, f.Allows(start.Add(c.after), 0), c.want)
		})
	}
}

// Guards against a host that hides the loss of its disk by its next page.
func TestHostAnnouncesNotesOfItsLostDisk(t *testing.T) {
	f := turn.NewFirstTurnRule("")
	f.LoadedOwn(start, turn.Announcement{Notes: "disk-1", Lost: []turn.NotesID{"disk-0"}}, "", false)
	f.NotesWritten("disk-2")
	a := f.Announcement(start)
	assert.DeepEqual(t, a, turn.Announcement{Notes: "disk-2", Lost: []turn.NotesID{"disk-0", "disk-1"}})
	assert.Assert(t, a.Missing("disk-2", true))
	a = f.Announcement(start.Add(turn.UncertainPeriod))
	assert.DeepEqual(t, a, turn.Announcement{Notes: "disk-2"})
	assert.Assert(t, !a.Missing("disk-2", true))
	assert.Assert(t, a.Missing("disk-3", true))
	assert.Assert(t, a.Missing("", false))
}

// Guards against the deletion of the page of a host that was a member meanwhile.
func TestPageExpiresWhileItIsUnchanged(t *testing.T) {
	var absences turn.Absences
	end := start.Add(turn.UncertainPeriod)
	assert.Equal(t, len(absences.Observe(start, []turn.Absence{{Host: "a", Version: 1}, {Host: "b", Version: 1}, {Host: "c", Version: 1}})), 0)
	assert.Equal(t, len(absences.Observe(end.Add(-1), []turn.Absence{{Host: "a", Version: 1}, {Host: "b", Version: 2}})), 0)
	expired := absences.Observe(end, []turn.Absence{{Host: "a", Version: 1}, {Host: "b", Version: 2}, {Host: "c", Version: 1}})
	assert.DeepEqual(t, expired, []turn.Absence{{Host: "a", Version: 1}})
}
