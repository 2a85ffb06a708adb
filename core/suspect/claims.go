package suspect

import (
	"container/list"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// ClaimLifetime is the default time after which a claim no longer counts if its end
// was not reported. It is longer than any call takes.
const ClaimLifetime = 10 * time.Minute

// DefaultHarmless is the default capacity of a HarmlessSet, in requests of about 200
// bytes each. The oldest request is evicted first.
const DefaultHarmless = 1 << 16

// Verdict is the answer to a claim. Its numeric values are sent to other hosts.
type Verdict int

// Verdicts.
const (
	// Granted lets the copy run.
	Granted Verdict = iota
	// GrantedExclusive lets the copy run while no other copy does. It must
	// not be retried, because the request has crashed a target before.
	GrantedExclusive
	// Busy means that the claim must be repeated after other copies have ended.
	Busy
	// Refused means that no copy may run, because the request has reached
	// MaxCrashes.
	Refused
)

// ClaimID identifies one run of a request across the fleet. It consists of the
// incarnation of the host that runs it, a slash and a unique part.
type ClaimID string

// Claims tracks the running copies of the requests that this host owns. It is
// not safe for concurrent use.
//
// The running copies of a request plus its crashes are at most MaxCrashes until
// a copy has ended without a crash. A request therefore reaches at most
// MaxCrashes targets before its crashes are known.
type Claims struct {
	// Lifetime is the time after which a claim no longer counts.
	Lifetime time.Duration
	running  map[model.Fingerprint]map[ClaimID]time.Time // time of the last claim
	harmless *HarmlessSet
}

// NewClaims returns Claims without running copies.
func NewClaims() *Claims {
	return &Claims{Lifetime: ClaimLifetime, running: map[model.Fingerprint]map[ClaimID]time.Time{}, harmless: NewHarmlessSet(DefaultHarmless)}
}

// Claim decides whether the run id of request f may start, given the number of
// crashes of the request so far. A repeated claim counts once.
func (c *Claims) Claim(now time.Time, f model.Fingerprint, id ClaimID, crashes int) Verdict {
	runs := c.running[f]
	for other, claimedAt := range runs {
		if now.Sub(claimedAt) >= c.Lifetime {
			delete(runs, other)
		}
	}
	if crashes >= MaxCrashes {
		return Refused
	}
	if crashes == 0 && c.harmless.Has(now, f) {
		return Granted
	}
	if _, repeated := runs[id]; !repeated && len(runs)+crashes >= MaxCrashes {
		return Busy
	}
	if runs == nil {
		runs = map[ClaimID]time.Time{}
		c.running[f] = runs
	}
	runs[id] = now
	if crashes > 0 {
		return GrantedExclusive
	}
	return Granted
}

// End removes the claim of a copy that no longer runs. harmless says that its
// target survived the whole run.
func (c *Claims) End(now time.Time, f model.Fingerprint, id ClaimID, harmless bool) {
	delete(c.running[f], id)
	if len(c.running[f]) == 0 {
		delete(c.running, f)
	}
	if harmless {
		c.harmless.Add(now, f)
	}
}

// Expire drops the claims whose end was not reported within Lifetime.
func (c *Claims) Expire(now time.Time) {
	for f, runs := range c.running {
		for id, claimedAt := range runs {
			if now.Sub(claimedAt) >= c.Lifetime {
				delete(runs, id)
			}
		}
		if len(runs) == 0 {
			delete(c.running, f)
		}
	}
}

// DropAbsentHolders drops the claims of processes that are no longer members,
// because nobody will report their end. The holder is the part of a ClaimID
// before the slash.
func (c *Claims) DropAbsentHolders(live func(holder string) bool) {
	for f, runs := range c.running {
		for id := range runs {
			if holder, _, ok := strings.Cut(string(id), "/"); ok && !live(holder) {
				delete(runs, id)
			}
		}
		if len(runs) == 0 {
			delete(c.running, f)
		}
	}
}

// Running returns the number of requests with running copies.
func (c *Claims) Running() int { return len(c.running) }

// HarmlessSet holds the requests that ended without a crash, for Lifetime.
type HarmlessSet struct {
	elements map[model.Fingerprint]*list.Element
	byAge    *list.List // of harmlessEntry, oldest first
	capacity int
}

type harmlessEntry struct {
	fingerprint model.Fingerprint
	addedAt     time.Time
}

// NewHarmlessSet returns an empty HarmlessSet for a number of requests.
func NewHarmlessSet(capacity int) *HarmlessSet {
	return &HarmlessSet{elements: map[model.Fingerprint]*list.Element{}, byAge: list.New(), capacity: capacity}
}

// Add adds a request or renews it.
func (s *HarmlessSet) Add(now time.Time, f model.Fingerprint) {
	s.Remove(f)
	s.elements[f] = s.byAge.PushBack(harmlessEntry{fingerprint: f, addedAt: now})
	if s.byAge.Len() > s.capacity {
		s.Remove(s.byAge.Front().Value.(harmlessEntry).fingerprint)
	}
}

// Has reports whether a request was added within Lifetime.
func (s *HarmlessSet) Has(now time.Time, f model.Fingerprint) bool {
	e := s.elements[f]
	return e != nil && now.Sub(e.Value.(harmlessEntry).addedAt) < Lifetime
}

// Remove removes a request.
func (s *HarmlessSet) Remove(f model.Fingerprint) {
	if e := s.elements[f]; e != nil {
		s.byAge.Remove(e)
		delete(s.elements, f)
	}
}

// Owner returns the address of the host that tracks the running copies of a
// request. It is chosen by rendezvous hashing.
func Owner(f model.Fingerprint, addresses []string) string {
	var best string
	var bestScore uint64
	for _, a := range addresses {
		score := xxhash.Sum64String(string(f) + "\n" + a)
		if best == "" || score > bestScore || score == bestScore && a < best {
			best, bestScore = a, score
		}
	}
	return best
}
