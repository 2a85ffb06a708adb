package conversation

import (
	"time"

	"mimosarelay/core/model"
)

// entry is one turn in an Index.
type entry struct {
	key      TurnKey
	previous model.RequestID
	chain    ChainID
	lapsesAt int64 // Unix milliseconds; extended by later turns of the chain
}

func (e *entry) previousKey() TurnKey { return TurnKey{e.key.Workspace, e.previous} }

// Index knows the turns on one disk and the order in which they were added. It is not
// safe for concurrent use.
type Index struct {
	turns map[TurnKey]*entry
	// neededUntil holds, for turns that are not on the disk, until when later turns
	// of their chains need them, in Unix milliseconds.
	neededUntil map[TurnKey]int64
	// log holds the turns in the order in which they were added. Removed turns
	// stay until they are the oldest ones.
	log      []TurnKey
	logStart uint64 // position of log[0]
}

// NewIndex returns an empty Index.
func NewIndex() *Index {
	return &Index{turns: map[TurnKey]*entry{}, neededUntil: map[TurnKey]int64{}}
}

// Len returns the number of turns.
func (x *Index) Len() int { return len(x.turns) }

// Has reports whether a turn is on the disk.
func (x *Index) Has(k TurnKey) bool { return x.turns[k] != nil }

// Add records a turn that is on the disk. The turns before it lapse no sooner than
// the turn itself.
func (x *Index) Add(t *Turn) {
	if x.Has(t.TurnKey) {
		return
	}
	e := &entry{key: t.TurnKey, previous: t.Previous, chain: t.Chain, lapsesAt: max(t.LapsesAt().UnixMilli(), x.neededUntil[t.TurnKey])}
	delete(x.neededUntil, t.TurnKey)
	x.turns[t.TurnKey] = e
	x.log = append(x.log, t.TurnKey)
	x.extendPrevious(e)
}

// extendPrevious makes the turns before e lapse no sooner than e.
func (x *Index) extendPrevious(e *entry) {
	for until := e.lapsesAt; e.previous != ""; {
		k := e.previousKey()
		e = x.turns[k]
		if e == nil {
			x.neededUntil[k] = max(x.neededUntil[k], until)
			return
		}
		if e.lapsesAt >= until {
			return
		}
		e.lapsesAt = until
	}
}

// Chain returns the keys of a turn and of the turns before it, newest first. missing
// is the first turn of the chain that is not on the disk; its ID is empty if the chain
// is complete.
func (x *Index) Chain(k TurnKey) (keys []TurnKey, chain ChainID, missing TurnKey) {
	for {
		e := x.turns[k]
		if e == nil || len(keys) > len(x.turns) { // the second holds only for a cycle, which no caller can build from whole turns
			return keys, chain, k
		}
		keys, chain = append(keys, k), e.chain
		if e.previous == "" {
			return keys, chain, TurnKey{}
		}
		k = e.previousKey()
	}
}

// After returns up to limit turns that were added at or after a position in the log
// and whose chain is accepted, and the position at which to continue. more is set if
// the log has not been read to its end.
func (x *Index) After(position uint64, limit int, accept func(ChainID) bool) (keys []TurnKey, next uint64, more bool) {
	i := 0
	if position > x.logStart {
		i = int(min(position-x.logStart, uint64(len(x.log))))
	}
	for ; i < len(x.log) && len(keys) < limit; i++ {
		if e := x.turns[x.log[i]]; e != nil && accept(e.chain) {
			keys = append(keys, e.key)
		}
	}
	return keys, x.logStart + uint64(i), i < len(x.log)
}

// RemoveLapsed removes the turns that have lapsed and returns their keys.
func (x *Index) RemoveLapsed(now time.Time) []TurnKey {
	ms := now.UnixMilli()
	var lapsed []TurnKey
	for k, e := range x.turns {
		if e.lapsesAt < ms {
			lapsed = append(lapsed, k)
			delete(x.turns, k)
		}
	}
	for k, until := range x.neededUntil {
		if until < ms {
			delete(x.neededUntil, k)
		}
	}
	for len(x.log) > 0 && x.turns[x.log[0]] == nil {
		x.log = x.log[1:]
		x.logStart++
	}
	return lapsed
}

// End returns the position in the log after the newest turn.
func (x *Index) End() uint64 { return x.logStart + uint64(len(x.log)) }
