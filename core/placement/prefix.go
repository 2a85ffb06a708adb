package placement

import (
	"container/list"
	"time"

	"mimosarelay/core/model"
)

const (
	// maxPrefixes bounds the index, to about 10 MB.
	maxPrefixes = 1 << 16
	// leading and trailing bound the prefixes of a prompt that are looked up.
	// The leading ones are shared between programs, such as system prompts.
	// The previous call of a program ends a few messages before the end.
	leading  = 4
	trailing = 32
	// holders bounds the targets remembered for one prefix.
	holders = 4
)

// prefixIndex remembers which targets recently computed which prefixes. The
// least recently used prefixes are dropped first.
type prefixIndex struct {
	byHash map[uint64]*list.Element
	recent *list.List // *prefix, most recently used first
}

type prefix struct {
	hash    uint64
	tokens  model.Tokens
	targets [holders]holder
}

type holder struct {
	target *target
	used   time.Time
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{byHash: map[uint64]*list.Element{}, recent: list.New()}
}

// add records that a target holds a prefix.
func (x *prefixIndex) add(hash uint64, tokens model.Tokens, t *target, now time.Time) {
	e := x.byHash[hash]
	if e == nil {
		e = x.recent.PushFront(&prefix{hash: hash})
		x.byHash[hash] = e
	}
	x.recent.MoveToFront(e)
	p := e.Value.(*prefix)
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
	for x.recent.Len() > maxPrefixes {
		last := x.recent.Back()
		delete(x.byHash, last.Value.(*prefix).hash)
		x.recent.Remove(last)
	}
}

// findCached finds the targets that hold a prefix of the call, the longest
// first. cachedAt returns what was found, until the next search. If the end of
// the program's previous prompt is known, only that and the whole prompt are
// looked up of the trailing prefixes.
func (s *Scheduler) findCached(k *call, now time.Time) {
	s.decision++
	list := k.request.Prefixes
	n := len(list)
	if k.program != nil && k.program.messages > 0 && k.program.messages <= n {
		s.addHits(list[n-1], now)
		s.addHits(list[k.program.messages-1], now)
	} else {
		for i := n - 1; i >= max(leading, n-trailing); i-- {
			s.addHits(list[i], now)
		}
	}
	for i := min(leading, n) - 1; i >= 0; i-- {
		s.addHits(list[i], now)
	}
}

func (s *Scheduler) cachedAt(t *target) model.Tokens {
	if t.hitFor != s.decision {
		return 0
	}
	return t.hitTokens
}

// maxPrefixAge is the time after which an unused prefix counts as evicted.
const maxPrefixAge = 10 * time.Minute

func (s *Scheduler) addHits(hash uint64, now time.Time) {
	e := s.index.byHash[hash]
	if e == nil {
		return
	}
	p := e.Value.(*prefix)
	for _, h := range p.targets {
		if h.target == nil || !h.used.After(h.target.lost) || now.Sub(h.used) > maxPrefixAge {
			continue
		}
		if h.target.hitFor != s.decision {
			h.target.hitFor, h.target.hitTokens = s.decision, p.tokens
		}
	}
}

// remember records the prefixes of a call that was sent to a target. Tokens of
// the leading prefixes are estimated from their share of the messages.
func (s *Scheduler) remember(r *Request, prompt model.Tokens, t *target, now time.Time) {
	n := len(r.Prefixes)
	if n == 0 {
		return
	}
	for i := 0; i < min(leading, n-1); i++ {
		tokens := prompt * model.Tokens(i+1) / model.Tokens(n)
		if len(r.PrefixTokens) == n {
			tokens = r.PrefixTokens[i]
		}
		s.index.add(r.Prefixes[i], tokens, t, now)
	}
	s.index.add(r.Prefixes[n-1], prompt, t, now)
}
