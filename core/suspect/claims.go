package suspect

import (
	"container/list"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// ClaimLifetime is the time after which a claim whose end was not reported no
// longer counts. It exceeds the duration of a call.
const ClaimLifetime = 10 * time.Minute

// maxProven bounds the requests that are remembered as harmless.
const maxProven = 1 << 16

// Verdict is the answer to a claim.
type Verdict int

// Verdicts.
const (
	// Granted lets a copy of the request run.
	Granted Verdict = iota
	// GrantedExclusive lets the only copy run, without a second attempt.
	GrantedExclusive
	// Busy asks to wait for the end of other copies.
	Busy
	// Refused lets no copy run.
	Refused
)

// ClaimID identifies one run of a request, fleet-wide. It consists of the
// incarnation of the host that runs it, a slash and a unique part.
type ClaimID string

// Claims counts the runs of the requests whose owner this host is. It is not
// safe for concurrent use.
//
// The running copies of a request plus its crashes are at most MaxCrashes,
// until a copy ended without a crash. So the request reaches at most MaxCrashes
// targets before its crashes are known.
type Claims struct {
	running map[model.Fingerprint]map[ClaimID]time.Time // start
	proven  *HarmlessSet
}

// NewClaims returns Claims without running copies.
func NewClaims() *Claims {
	return &Claims{running: map[model.Fingerprint]map[ClaimID]time.Time{}, proven: NewHarmlessSet()}
}

// Claim asks to run a copy of a request that crashed a number of targets. A
// repeated claim gets the same answer.
func (c *Claims) Claim(now time.Time, f model.Fingerprint, id ClaimID, crashes int) Verdict {
	runs := c.running[f]
	for x, at := range runs {
		if now.Sub(at) >= ClaimLifetime {
			delete(runs, x)
		}
	}
	if crashes >= MaxCrashes {
		return Refused
	}
	if crashes == 0 && c.proven.Has(now, f) {
		return Granted
	}
	if _, again := runs[id]; !again && len(runs)+crashes >= MaxCrashes {
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

// End reports that a copy no longer runs. harmless says that its target
// survived the whole run.
func (c *Claims) End(now time.Time, f model.Fingerprint, id ClaimID, harmless bool) {
	delete(c.running[f], id)
	if len(c.running[f]) == 0 {
		delete(c.running, f)
	}
	if harmless {
		c.proven.Add(now, f)
	}
}

// Expire drops the claims whose end was never reported.
func (c *Claims) Expire(now time.Time) {
	for f, runs := range c.running {
		for id, at := range runs {
			if now.Sub(at) >= ClaimLifetime {
				delete(runs, id)
			}
		}
		if len(runs) == 0 {
			delete(c.running, f)
		}
	}
}

// DropAbsentHolders drops the claims of processes that are no longer members: nobody
// will report their end. The holder is the part of a ClaimID before the slash.
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

// HarmlessSet remembers requests that ended without a crash.
type HarmlessSet struct {
	byPrint map[model.Fingerprint]*list.Element
	oldest  *list.List // of provenEntry, in order of time
}

type provenEntry struct {
	print model.Fingerprint
	at    time.Time
}

// NewHarmlessSet returns an empty HarmlessSet.
func NewHarmlessSet() *HarmlessSet {
	return &HarmlessSet{byPrint: map[model.Fingerprint]*list.Element{}, oldest: list.New()}
}

// Add records a request.
func (p *HarmlessSet) Add(now time.Time, f model.Fingerprint) {
	p.Remove(f)
	p.byPrint[f] = p.oldest.PushBack(provenEntry{print: f, at: now})
	if p.oldest.Len() > maxProven {
		p.Remove(p.oldest.Front().Value.(provenEntry).print)
	}
}

// Has reports whether a request was recorded within Lifetime.
func (p *HarmlessSet) Has(now time.Time, f model.Fingerprint) bool {
	e := p.byPrint[f]
	return e != nil && now.Sub(e.Value.(provenEntry).at) < Lifetime
}

// Remove forgets a request.
func (p *HarmlessSet) Remove(f model.Fingerprint) {
	if e := p.byPrint[f]; e != nil {
		p.oldest.Remove(e)
		delete(p.byPrint, f)
	}
}

// Owner returns the address of the host that counts the runs of a request:
// the one with the highest rendezvous score.
func Owner(f model.Fingerprint, addresses []string) string {
	var best string
	var bestScore uint64
	for _, a := range addresses {
		x := xxhash.Sum64String(string(f) + "\n" + a)
		if best == "" || x > bestScore || x == bestScore && a < best {
			best, bestScore = a, x
		}
	}
	return best
}
