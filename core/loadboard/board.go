package loadboard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// speedPeriods and speedPeriod give the 8 s over which measurements are added up.
	// An engine of the deployments gets about 15 calls a second.
	speedPeriods = 8
	speedPeriod  = time.Second
	// maxEntries bounds the memory of a Board.
	maxEntries = 4096
	// entryLifetime is how long a Board keeps a target of which no host reports.
	entryLifetime = 15 * time.Second
)

// Version numbers the changes of a Board. It starts with the time, so that it is higher
// than the versions of a keeper before its restart.
type Version uint64

// Board is safe for use by one goroutine at a time.
type Board struct {
	entries map[Key]*entry
	version Version
	swept   time.Time
}

type entry struct {
	key     Key
	load    Load
	speeds  [speedPeriods]Speed
	period  int64 // of the last measurement
	version Version
	changed time.Time
}

// New returns an empty Board.
func New(now time.Time) *Board {
	return &Board{entries: map[Key]*entry{}, version: Version(max(0, now.UnixMicro())), swept: now}
}

// Update adds what a host heard. A load replaces an older one.
func (b *Board) Update(now time.Time, list []Report) {
	b.sweep(now)
	for _, r := range list[:min(len(list), MaxReports)] {
		e := b.entries[r.Key]
		if e == nil {
			if len(b.entries) >= maxEntries {
				continue
			}
			e = &entry{key: r.Key}
			b.entries[r.Key] = e
		}
		changed := false
		if !r.Load.At.After(now) && now.Sub(r.Load.At) < MaxAge && r.Load.At.After(e.load.At) {
			e.load, changed = r.Load, true
		}
		if v := r.Speed.bounded(); v.Samples > 0 {
			e.advance(now)
			e.speeds[e.period%speedPeriods].Add(v)
			changed = true
		}
		if changed {
			b.version++
			e.version, e.changed = b.version, now
		}
	}
}

// advance clears the sums of the periods that have ended more than 8 s ago.
func (e *entry) advance(now time.Time) {
	p := now.UnixNano() / int64(speedPeriod)
	if p-e.period >= speedPeriods {
		e.speeds = [speedPeriods]Speed{}
		e.period = p
	}
	for e.period < p {
		e.period++
		e.speeds[e.period%speedPeriods] = Speed{}
	}
}

// Since returns the targets that changed after a version, at most MaxReports with the
// newest changes, and the present version.
func (b *Board) Since(now time.Time, known Version) ([]Report, Version) {
	if known > b.version {
		known = 0 // of another keeper
	}
	var changed []*entry
	for _, e := range b.entries {
		if e.version > known {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(x, y *entry) int { return cmp.Compare(y.version, x.version) })
	changed = changed[:min(len(changed), MaxReports)]
	list := make([]Report, 0, len(changed))
	for _, e := range changed {
		e.advance(now)
		r := Report{Key: e.key}
		if now.Sub(e.load.At) < MaxAge {
			r.Load = e.load
		}
		for _, v := range e.speeds {
			r.Speed.Add(v)
		}
		list = append(list, r)
	}
	return list, b.version
}

// sweep removes the targets of which no host reports any more.
func (b *Board) sweep(now time.Time) {
	if now.Sub(b.swept) < entryLifetime {
		return
	}
	b.swept = now
	maps.DeleteFunc(b.entries, func(_ Key, e *entry) bool { return now.Sub(e.changed) >= entryLifetime })
}

// Len returns the number of targets.
func (b *Board) Len() int { return len(b.entries) }
