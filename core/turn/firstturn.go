package turn

import (
	"slices"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// NotesID identifies the notes of first turns on one disk. A host whose disk was lost
// starts notes with another id.
type NotesID string

// NoNotes is announced by a host that runs no turn without a record.
const NoNotes NotesID = "none"

// UncertainPeriod is the time after which a program that is unknown at the loss of
// notes is certainly new. Its source is IdleRetention: every owner forgets a program
// that was idle for so long, also one whose record was not lost.
const UncertainPeriod = IdleRetention

// Announcement is what the page of a host in the store says about its notes. A host
// runs no turn without a record before its announcement is in the store, so that the
// loss of the notes is known to every later owner.
type Announcement struct {
	// Notes identifies the notes on the disk of the host. It is empty in the pages of
	// versions that announced nothing.
	Notes NotesID
	// Lost identifies notes on earlier disks of the host that may concern programs
	// that are not idle yet.
	Lost []NotesID
}

// Missing reports whether turns may be noted where no host can read them. found says
// whether any notes of the host were read, and read which ones.
func (a Announcement) Missing(read NotesID, found bool) bool {
	return len(a.Lost) > 0 || a.lacksCurrent(read, found)
}

// lacksCurrent reports whether the notes on the current disk were not read.
func (a Announcement) lacksCurrent(read NotesID, found bool) bool {
	switch a.Notes {
	case NoNotes:
		return false
	case "":
		return !found
	}
	return !found || read != a.Notes
}

// FirstTurnRule decides whether a program without an account may run its first turn
// without a record. It may do so only if the program is certainly new: an owner that
// does not know a program can conclude that from its own records only if it has read
// the notes of all hosts that may have run a turn of the program. Otherwise each loss of
// a disk would give a pausing program one more turn beyond its budget.
//
// The rule holds for any sequence of losses, because it does not depend on what a
// process remembers: an announcement stays in the store until UncertainPeriod has
// passed since the notes were found missing.
//
// It is not safe for concurrent use.
type FirstTurnRule struct {
	notes     NotesID // on the disk of this host; empty until they have been written
	announced bool    // the store holds an announcement of notes
	retired   bool
	lost      map[NotesID]time.Time // notes of earlier disks, and when this process found them missing
	// uncertainUntil is the time until which a program of a shard that has no account
	// may have run a turn elsewhere.
	uncertainUntil [model.ShardCount]time.Time
}

// NewFirstTurnRule returns the rule of a process. notes identifies the notes that the
// process found on its disk, or is empty.
func NewFirstTurnRule(notes NotesID) *FirstTurnRule {
	return &FirstTurnRule{notes: notes, lost: map[NotesID]time.Time{}}
}

// Allows reports whether a program of the shard that has no account is certainly new.
func (f *FirstTurnRule) Allows(now time.Time, shard model.Shard) bool {
	return f.announced && !f.retired && !now.Before(f.uncertainUntil[shard])
}

// NotesWritten says that the disk of this host holds notes with the id.
func (f *FirstTurnRule) NotesWritten(id NotesID) { f.notes = id }

// HasNotes reports whether the disk of this host holds notes.
func (f *FirstTurnRule) HasNotes() bool { return f.notes != "" }

// Retire makes the rule allow nothing more, so that the host can leave without a loss.
func (f *FirstTurnRule) Retire() { f.retired = true }

// AnnouncementDue reports whether the store should be told about the notes.
func (f *FirstTurnRule) AnnouncementDue() bool {
	if f.retired {
		return f.announced
	}
	return !f.announced && f.notes != ""
}

// Announcement returns the announcement for the next page of this host.
func (f *FirstTurnRule) Announcement(now time.Time) Announcement {
	a := Announcement{Notes: NoNotes}
	if f.notes != "" && !f.retired {
		a.Notes = f.notes
	}
	for id, since := range f.lost {
		if now.Sub(since) < UncertainPeriod {
			a.Lost = append(a.Lost, id)
		} else {
			delete(f.lost, id)
		}
	}
	slices.Sort(a.Lost)
	return a
}

// Announced says that the store holds the announcement.
func (f *FirstTurnRule) Announced(a Announcement) { f.announced = a.Notes != NoNotes }

// Withdraw says that the store may not hold an announcement of this process.
func (f *FirstTurnRule) Withdraw() { f.announced = false }

// LoadedOwn takes over the announcement of an earlier process of this host. found says
// whether notes are on the disk, and read which ones.
func (f *FirstTurnRule) LoadedOwn(now time.Time, a Announcement, read NotesID, found bool) {
	lost := slices.Clone(a.Lost)
	if a.lacksCurrent(read, found) {
		lost = append(lost, a.Notes)
	}
	for _, id := range lost {
		if _, ok := f.lost[id]; !ok {
			f.lost[id] = now
		}
	}
}

// Loaded says that the records and notes of a shard were loaded. missing says whether
// announced notes could not be read.
func (f *FirstTurnRule) Loaded(now time.Time, shard model.Shard, missing bool) {
	f.uncertainUntil[shard] = time.Time{}
	if missing {
		f.uncertainUntil[shard] = now.Add(UncertainPeriod)
	}
}

// NotesFound says that all announced notes were read after the shard had been loaded.
func (f *FirstTurnRule) NotesFound(shard model.Shard) { f.uncertainUntil[shard] = time.Time{} }

// Uncertain reports whether a program of the shard that has no account may have run a
// turn elsewhere.
func (f *FirstTurnRule) Uncertain(now time.Time, shard model.Shard) bool {
	return now.Before(f.uncertainUntil[shard])
}

// Absence is a page in the store of a host that is not a member.
type Absence struct {
	Host    model.HostID
	Version store.Version // a host that becomes a member again writes its page
}

// Absences tracks since when pages of absent hosts have been unchanged. The zero value
// is ready to use. It is not safe for concurrent use.
type Absences struct {
	since map[Absence]time.Time
}

// Observe replaces the tracked pages with those that are in the store now. It returns
// the pages that have been unchanged for UncertainPeriod: all that they say concerns
// programs that have been idle for longer.
func (a *Absences) Observe(now time.Time, current []Absence) []Absence {
	since := map[Absence]time.Time{}
	var expired []Absence
	for _, absence := range current {
		t, ok := a.since[absence]
		if !ok {
			t = now
		}
		since[absence] = t
		if now.Sub(t) >= UncertainPeriod {
			expired = append(expired, absence)
		}
	}
	a.since = since
	return expired
}

// Tracked reports whether pages of absent hosts are in the store.
func (a *Absences) Tracked() bool { return len(a.since) > 0 }
