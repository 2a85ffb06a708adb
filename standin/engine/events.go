package engine

import "time"

// Kinds of cache events.
const (
	EventStored  = "Stored"
	EventRemoved = "Removed"
	EventCleared = "Cleared"
)

// maxEvents bounds the events that are kept; older ones are a gap.
const maxEvents = 10000

// Event is a change of the cache. Sequence numbers grow by one, so that a
// reader notices gaps.
type Event struct {
	Sequence int64
	Time     time.Time
	Kind     string
	Program  string    `json:",omitempty"`
	Blocks   []blockID `json:",omitempty"`
}

// eventLog holds the recent events, which readers see late and with gaps.
type eventLog struct {
	lag      time.Duration
	gapEvery int // drops each event whose sequence is a multiple; 0: none
	lastSequence     int64
	events   []Event
}

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

// since returns the events after a sequence number that are old enough to be
// seen.
func (l *eventLog) since(sequence int64, now time.Time) []Event {
	found := []Event{}
	for _, e := range l.events {
		if e.Sequence > sequence && now.Sub(e.Time) >= l.lag {
			found = append(found, e)
		}
	}
	return found
}
