package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

const (
	// homePart is the part of a class's targets that are homes of one shared
	// prefix, as a divisor. More homes compute the prefix more often, fewer are
	// overloaded by a popular one.
	homePart = 6
	// fewestHomes of a prefix leave a choice when one is busy.
	fewestHomes = 2
	// homeCalls is the number of calls by which the home of a program may exceed
	// another target and still be chosen.
	homeCalls = 2
)

// findHomes credits the targets that other hosts probably chose for the prompt:
// its homes, those with the highest rendezvous scores for the first prefix. All
// hosts find the same homes without a message. It returns the home of the
// program, or nil for a program that ran at this host, whose target is known.
func (s *Scheduler) findHomes(c *class, k *call) *target {
	r := &k.request
	n := len(r.Prefixes)
	if n == 0 || len(r.PrefixTokens) != n || r.Program == "" || k.program.messages > 0 {
		return nil
	}
	s.homes = topHomes(s.homes[:0], c.targets, r.Prefixes[0])
	if s.index.byHash[r.Prefixes[0]] == nil {
		for _, h := range s.homes {
			s.credit(h.target, r.PrefixTokens[0])
		}
	}
	home := best(s.homes, xxhash.Sum64String(string(r.Program)))
	if home != nil && n > 1 {
		s.credit(home, r.PrefixTokens[n-2])
	}
	return home
}

// credit raises what a target probably holds of the prompt of this decision.
func (s *Scheduler) credit(t *target, tokens model.Tokens) {
	t.hitTokens = max(s.cachedAt(t), tokens)
	t.hitFor = s.decision
}

// scoredHome is a target with its rendezvous score for a prefix.
type scoredHome struct {
	target *target
	score  uint64
}

// topHomes appends the homes of a prefix among the targets to list.
func topHomes(list []scoredHome, targets []*target, prefix uint64) []scoredHome {
	count := min(len(targets), max(fewestHomes, len(targets)/homePart))
	for _, t := range targets {
		x := scoredHome{t, rendezvous(prefix, t)}
		i := len(list)
		for i > 0 && list[i-1].score < x.score {
			i--
		}
		if i == count {
			continue
		}
		if len(list) < count {
			list = append(list, scoredHome{})
		}
		copy(list[i+1:], list[i:])
		list[i] = x
	}
	return list
}

// best returns the home with the highest rendezvous score for a program.
func best(homes []scoredHome, program uint64) *target {
	var found *target
	var highest uint64
	for _, h := range homes {
		if x := rendezvous(program, h.target); found == nil || x > highest {
			found, highest = h.target, x
		}
	}
	return found
}

func rendezvous(key uint64, t *target) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], t.hash)
	return xxhash.Sum64(b[:])
}
