// Package suspect records which requests crashed targets, and limits the number
// of targets on which such a request can run.
package suspect

import (
	"slices"
	"time"

	"mimosarelay/core/model"
)

const (
	// Lifetime is the time for which the crashes of a request count, from the
	// last one on.
	Lifetime = time.Hour
	// MaxCrashes is the number of crashes after which a request is refused, see Bans.
	MaxCrashes = 2
	// duplicateCrashWindow is the time within which reports about one target
	// count as one crash, because each host with a copy of the request at the
	// target reports it. A target needs longer to restart and crash again.
	duplicateCrashWindow = 2 * time.Second
)

// Bans holds how long a request is refused after it has reached MaxCrashes, and after
// each crash of the one copy that runs when a ban has ended. Later bans last for
// Lifetime.
type Bans []time.Duration

// ShortBans lets a request run once more, because targets may have crashed for another
// reason, such as the loss of a zone. The first ban is longer than a host may take to
// learn of a crash (contact_ms, up to 4 s). A request that crashes each target reaches
// two more within an hour; the limit is three.
var ShortBans = Bans{10 * time.Second, 5 * time.Minute}

// Crash records that a target crashed while it ran a request.
type Crash struct {
	Target model.TargetID
	At     time.Time
}

// Entry holds the known crashes of one request.
type Entry struct {
	Fingerprint model.Fingerprint
	Crashes     []Crash
	// Lifted is the time up to which an operator has cleared the crashes; zero
	// if never.
	Lifted time.Time
}

// add adds a crash and reports whether it was new. Crashes that were cleared
// and duplicate reports are not.
func (e *Entry) add(c Crash) bool {
	if !c.At.After(e.Lifted) {
		return false
	}
	for _, x := range e.Crashes {
		if x.Target == c.Target && c.At.Sub(x.At).Abs() < duplicateCrashWindow {
			return false
		}
	}
	e.Crashes = append(e.Crashes, c)
	slices.SortFunc(e.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return true
}

// lift clears the crashes up to a time. It reports false if they were cleared up
// to then before.
func (e *Entry) lift(at time.Time) bool {
	if !at.After(e.Lifted) {
		return false
	}
	e.Lifted = at
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return !c.At.After(at) })
	return true
}

// Expired reports whether Lifetime has passed since the last crash or lift.
func (e Entry) Expired(now time.Time) bool {
	last := e.Lifted
	for _, c := range e.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return now.Sub(last) >= Lifetime
}

// Ledger holds the entries of all requests that one host knows to have crashed
// targets. It is not safe for concurrent use.
type Ledger struct {
	entries map[model.Fingerprint]*Entry
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[model.Fingerprint]*Entry{}} }

// Crashes returns the number of crashes of a request that still count.
func (l *Ledger) Crashes(now time.Time, f model.Fingerprint) int {
	e := l.entries[f]
	if e == nil || e.Expired(now) {
		return 0
	}
	return len(e.Crashes)
}

// BannedFor returns how much longer a request is refused; 0 if it may run.
func (l *Ledger) BannedFor(now time.Time, f model.Fingerprint, b Bans) time.Duration {
	if l.Crashes(now, f) < MaxCrashes {
		return 0
	}
	var end time.Time
	bans := 0
	for _, c := range l.entries[f].Crashes[MaxCrashes-1:] {
		if !c.At.Before(end) { // others are of copies that ran before the ban
			bans++
		}
		ban := Lifetime
		if bans <= len(b) {
			ban = b[bans-1]
		}
		if e := c.At.Add(ban); e.After(end) {
			end = e
		}
	}
	return max(0, end.Sub(now))
}

// LastCrash returns the time of the last crash of a request, and false if it has none
// that count.
func (l *Ledger) LastCrash(now time.Time, f model.Fingerprint) (time.Time, bool) {
	n := l.Crashes(now, f)
	if n == 0 {
		return time.Time{}, false
	}
	return l.entries[f].Crashes[n-1].At, true
}

// RecordCrash records a crash and reports whether it was new.
func (l *Ledger) RecordCrash(now time.Time, f model.Fingerprint, c Crash) bool {
	return l.entry(now, f).add(c)
}

// Lift clears the crashes of a request up to a time. It reports false if they
// were cleared up to then before.
func (l *Ledger) Lift(now time.Time, f model.Fingerprint, at time.Time) bool {
	return l.entry(now, f).lift(at)
}

// Merge adds the crashes and the lift of an entry from another host or the
// store.
func (l *Ledger) Merge(now time.Time, e Entry) {
	own := l.entry(now, e.Fingerprint)
	own.lift(e.Lifted)
	for _, c := range e.Crashes {
		own.add(c)
	}
}

// Get returns a copy of the entry of a request, without crashes if there is
// none.
func (l *Ledger) Get(f model.Fingerprint) Entry {
	e := l.entries[f]
	if e == nil {
		return Entry{Fingerprint: f}
	}
	c := *e
	c.Crashes = slices.Clone(e.Crashes)
	return c
}

// Entries returns copies of all entries, sorted by fingerprint.
func (l *Ledger) Entries() []Entry {
	list := make([]Entry, 0, len(l.entries))
	for f := range l.entries {
		list = append(list, l.Get(f))
	}
	slices.SortFunc(list, func(a, b Entry) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return list
}

// Expire drops the expired entries.
func (l *Ledger) Expire(now time.Time) {
	for f, e := range l.entries {
		if e.Expired(now) {
			delete(l.entries, f)
		}
	}
}

// entry returns the entry of a request and creates it if there is none or if it
// has expired.
func (l *Ledger) entry(now time.Time, f model.Fingerprint) *Entry {
	e := l.entries[f]
	if e == nil || e.Expired(now) {
		e = &Entry{Fingerprint: f}
		l.entries[f] = e
	}
	return e
}
