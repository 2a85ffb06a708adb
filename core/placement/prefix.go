package placement

import (
	"container/list"
	"time"

	"mimosarelay/core/model"
)

const (
	// maxPrefixes bounds the memory of the index to about 10 MB.
	maxPrefixes = 1 << 16
	// maxLeading and maxTrailing bound the number of prefixes of a prompt that
	// are looked up. The shortest ones, such as system prompts, are shared between
	// programs. The prompt of a program's previous call ends a few messages before
	// the end of the present one, so it is among the longest.
	maxLeading  = 4
	maxTrailing = 32
	// maxHolders bounds the number of targets recorded for a prefix.
	maxHolders = 4
)

// prefixIndex is an LRU index of the targets that recently computed each prefix.
type prefixIndex struct {
	byHash map[uint64]*list.Element
	lru    *list.List // of *prefixEntry, most recently used first
}

// prefixEntry records a prefix and the targets that hold it.
type prefixEntry struct {
	hash    uint64
	tokens  model.Tokens
	targets [maxHolders]holder
}

// holder is a target that holds a prefix, with the time of last use.
type holder struct {
	target *target
	used   time.Time
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{byHash: map[uint64]*list.Element{}, lru: list.New()}
}

// add records that a target holds a prefix, in place of the least recently used
// holder if there are too many.
func (x *prefixIndex) add(hash uint64, tokens model.Tokens, t *target, now time.Time) {
	e := x.byHash[hash]
	if e == nil {
		e = x.lru.PushFront(&prefixEntry{hash: hash})
		x.byHash[hash] = e
	}
	x.lru.MoveToFront(e)
	p := e.Value.(*prefixEntry)
	p.tokens = tokens
	oldest := 0
	for i, h := range p.targets {
		if h.target == t {
			oldest = i
			break
		}
		if h.used.Before(p.targets[oldest].used) {
			oldest = i
		}
	}
	p.targets[oldest] = holder{target: t, used: now}
	for x.lru.Len() > maxPrefixes {
		last := x.lru.Back()
		delete(x.byHash, last.Value.(*prefixEntry).hash)
		x.lru.Remove(last)
	}
}

// findCached finds the targets that hold a prefix of the call's prompt, longest
// prefix first. cachedTokens returns the result until the next search. If the
// length of the program's previous prompt is known, only that prefix and the
// whole prompt are looked up in place of the last maxTrailing prefixes.
func (s *Scheduler) findCached(k *call, now time.Time) {
	s.decision++
	hashes := k.request.Prefixes
	n := len(hashes)
	if k.program != nil && k.program.lastMessages > 0 && k.program.lastMessages <= n {
		s.recordHits(hashes[n-1], now)
		s.recordHits(hashes[k.program.lastMessages-1], now)
	} else {
		for i := n - 1; i >= max(maxLeading, n-maxTrailing); i-- {
			s.recordHits(hashes[i], now)
		}
	}
	for i := min(maxLeading, n) - 1; i >= 0; i-- {
		s.recordHits(hashes[i], now)
	}
}

// cachedTokens returns the number of tokens of the present prompt that t probably
// has cached.
func (s *Scheduler) cachedTokens(t *target) model.Tokens {
	if t.hitDecision != s.decision {
		return 0
	}
	return t.hitTokens
}

// maxPrefixAge is the time after which a target is assumed to have evicted an
// unused prefix from its cache.
const maxPrefixAge = 10 * time.Minute

// recordHits marks the targets that hold a prefix and for which no longer one was
// found in this search.
func (s *Scheduler) recordHits(hash uint64, now time.Time) {
	e := s.prefixes.byHash[hash]
	if e == nil {
		return
	}
	p := e.Value.(*prefixEntry)
	for _, h := range p.targets {
		if h.target == nil || !h.used.After(h.target.cacheLostAt) || now.Sub(h.used) > maxPrefixAge {
			continue
		}
		if h.target.hitDecision != s.decision {
			h.target.hitDecision, h.target.hitTokens = s.decision, p.tokens
		}
	}
}

// recordPrefixes records the prefixes of a call that was sent to a target.
// Without PrefixTokens, the size of a leading prefix is estimated from its share
// of the messages.
func (s *Scheduler) recordPrefixes(r *Request, prompt model.Tokens, t *target, now time.Time) {
	n := len(r.Prefixes)
	if n == 0 {
		return
	}
	for i := 0; i < min(maxLeading, n-1); i++ {
		tokens := prompt * model.Tokens(i+1) / model.Tokens(n)
		if len(r.PrefixTokens) == n {
			tokens = r.PrefixTokens[i]
		}
		s.prefixes.add(r.Prefixes[i], tokens, t, now)
	}
	s.prefixes.add(r.Prefixes[n-1], prompt, t, now)
}
