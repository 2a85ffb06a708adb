package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

const (
	// homeDivisor sets the number of homes of a shared prefix: one in
	// homeDivisor targets of the class. With more homes the prefix is computed
	// more often; with fewer a popular prefix overloads them.
	homeDivisor = 6
	// minHomes is the lowest number of homes of a prefix. It leaves a choice
	// when one home is busy.
	minHomes = 2
	// homeBonusCalls is the number of calls by which the load of a program's home
	// may exceed that of another target before the other target is preferred.
	homeBonusCalls = 2
)

// creditHomes finds the homes of the prompt, which are the targets with the
// highest rendezvous scores for its first prefix, and assumes that they hold
// parts of it. All hosts compute the same homes without exchanging messages, so
// other hosts probably chose them too. It returns the home of the program. It
// returns nil for a call without a program or prefix sizes, and for a program that
// ran at this host before, because its target is known. Where calls are kept in a zone,
// each zone has its own homes.
func (s *Scheduler) creditHomes(c *class, k *call, a *reach) *target {
	r := &k.request
	n := len(r.Prefixes)
	if n == 0 || len(r.PrefixTokens) != n || r.Program == "" || k.program.lastMessages > 0 {
		return nil
	}
	s.homes = topHomes(s.homes[:0], c.homeCandidates(a.home), r.Prefixes[0])
	if s.prefixes.byHash[r.Prefixes[0]] == nil {
		for _, h := range s.homes {
			s.assumeCached(h.target, r.PrefixTokens[0])
		}
	}
	home := homeOf(s.homes, xxhash.Sum64String(string(r.Program)))
	if home != nil && n > 1 {
		s.assumeCached(home, r.PrefixTokens[n-2])
	}
	return home
}

// homeCandidates returns the targets of the class in a zone, or all if the zone is empty.
func (c *class) homeCandidates(zone model.Zone) []*target {
	if zone == "" {
		return c.targets
	}
	for i := range c.pool.zones {
		if c.pool.zones[i].name == zone {
			return c.pool.zones[i].targets
		}
	}
	return c.targets
}

// assumeCached raises the number of tokens of the present prompt that a target
// probably has cached.
func (s *Scheduler) assumeCached(t *target, tokens model.Tokens) {
	t.hitTokens = max(s.cachedTokens(t), tokens)
	t.hitDecision = s.decision
}

// scoredHome is a target with its rendezvous score for a prefix.
type scoredHome struct {
	target *target
	score  uint64
}

// topHomes appends the homes of a prefix to list, highest score first.
func topHomes(list []scoredHome, targets []*target, prefix uint64) []scoredHome {
	count := min(len(targets), max(minHomes, len(targets)/homeDivisor))
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

// homeOf returns the home with the highest weighted rendezvous score for the hash of a
// program, or nil if there are no homes. The weight is the learned speed, so that a
// slow target is the home of fewer programs. Hosts that judge one target differently
// disagree only on programs of that target.
func homeOf(homes []scoredHome, program uint64) *target {
	var found *target
	var highest float64
	for _, h := range homes {
		// -1/ln(u) grows with u, so that equal weights give the order of the hashes.
		u := (float64(rendezvous(program, h.target)>>hashDropBits) + 0.5) / (1 << (64 - hashDropBits))
		if x := -1 / (math.Log(u) * h.target.speedFactor()); found == nil || x > highest {
			found, highest = h.target, x
		}
	}
	return found
}

// hashDropBits is the number of bits of a hash that exceed the precision of a float64.
const hashDropBits = 12

func rendezvous(key uint64, t *target) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], t.idHash)
	return xxhash.Sum64(b[:])
}
