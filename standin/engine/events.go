package engine

import "time"

// Kinds of cache events.
const (
	EventStored  = "Stored"
	EventRemoved = "Removed"
	EventCleared = "Cleared"
)

// maxEvents bounds the events that are kept; readers see removed events as a gap.
const maxEvents = 10000

// Event is a change of the cache. Sequence numbers increase by one, so that a
// reader can detect gaps.
type Event struct {
	Sequence int64
	Time     time.Time
	Kind     string
	Program  string    `json:",omitempty"`
	Blocks   []blockID `json:",omitempty"`
}

// eventLog holds the most recent events. Readers see them after lag and, with
// gapEvery, with gaps.
type eventLog struct {
	lag          time.Duration
	gapEvery     int // events whose sequence is a multiple are dropped; 0: none
	lastSequence int64
	events       []Event
}

// add appends an event and assigns its sequence number.
func (l *eventLog) add(kind, program string, blocks []blockID, now time.Time) {
	l.lastSequence++
	if l.gapEvery > 0 && l.lastSequence%int64(l.gapEvery) == 0 {
		return
	}
	l.events = append(l.events, Event{Sequence: l.lastSequence, Time: now, Kind: kind, Program: program, Blocks: blocks})
	if len(l.events) > maxEvents {
		l.events = append([]Event(nil), l.events[len(l.events)-maxEvents/2:]...)
	}
}

// since returns the events after a sequence number that are at least lag old.
func (l *eventLog) since(sequence int64, now time.Time) []Event {
	found := []Event{}
	for _, e := range l.events {
		if e.Sequence > sequence && now.Sub(e.Time) >= l.lag {
			found = append(found, e)
		}
	}
	return found
}
