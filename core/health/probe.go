package health

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

const (
	// minProbeInterval is the time from one probe to the next. Three probes span more
	// than the second after which a flapping target fails again.
	minProbeInterval = 700 * time.Millisecond
	// firstProbeInterval is the time from the ejection to the first probe of the only host
	// of a zone, and zoneFirstInterval what each host of the zone adds to that of all.
	firstProbeInterval = 2 * time.Second
	zoneFirstInterval  = 500 * time.Millisecond
	// maxProbeInterval bounds the interval, which grows with each failed probe.
	maxProbeInterval = 8 * time.Second
	// zoneProbeInterval is the time from one probe to the next of all hosts of a zone
	// while probes break off, which costs a second attempt. costlyProbeInterval is the
	// same while they end with an error status or without an answer, which callers get.
	zoneProbeInterval   = 500 * time.Millisecond
	costlyProbeInterval = 2 * time.Second
	// probeBackoff is the factor by which the interval grows with each failed probe.
	probeBackoff = 3
	probeSpread  = 0.3
	// relapseTime is the time after an ejection in which another one is a relapse. Each
	// relapse doubles the successes that end the ejection, up to maxRelapses times: a
	// target that fails half of its requests answers three in a row now and then.
	relapseTime = time.Minute
	maxRelapses = 2
	// starvedAfter is the time without a probe after which a target gets a part of its
	// load again, because no repeatable request is left to probe it. It is longer than
	// the interval of the probes.
	starvedAfter = 20 * time.Second
)

// probe is the schedule of the probes of an ejected target.
type probe struct {
	running  bool
	lastAt   time.Time // when the last one started, or the target was ejected
	interval time.Duration
	// spread is a random number below 1 that changes the interval by up to probeSpread,
	// so that hosts do not probe at the same time.
	spread float64
	// endedAt is when the last ejection ended, and relapses the number of ejections soon
	// after another one.
	endedAt  time.Time
	relapses int
}

func (p *probe) start(now time.Time, hosts int, random *rand.Rand) {
	p.lastAt, p.spread = now, random.Float64()
	p.interval = max(firstProbeInterval, time.Duration(hosts)*zoneFirstInterval)
	if p.endedAt.IsZero() || now.Sub(p.endedAt) > relapseTime {
		p.relapses = 0
	} else {
		p.relapses++
	}
}

// neededSuccesses returns the number of successful probes in a row that end the ejection.
func (p *probe) neededSuccesses() int { return returnSuccesses << min(p.relapses, maxRelapses) }

func (p *probe) starved(now time.Time) bool {
	return !p.running && now.Sub(p.lastAt) >= starvedAfter+2*p.interval
}

// probeDue reports whether an ejected target is due for a probe. The interval is halved
// for each recent answer to other hosts, as long as none of them had a failure, so that
// a target that has recovered returns soon.
func (t *Tracker) probeDue(now time.Time, h *target) bool {
	if h.probe.running {
		return false
	}
	interval := time.Duration(float64(h.probe.interval) * (1 + probeSpread*(2*h.probe.spread-1)))
	if h.hint.AllFailed == 0 && now.Sub(t.hintsAt) < hintMaxAge {
		interval >>= min(h.hint.Answered, 16)
	}
	return now.Sub(h.probe.lastAt) >= max(interval, minProbeInterval)
}

// maxInterval returns the longest time between two probes of this host after a failed
// one, so that the hosts of a large zone do not load a faulty target with probes.
func (t *Tracker) maxInterval(o Outcome) time.Duration {
	zone := zoneProbeInterval
	if o == AnsweredError || o == TimedOut {
		zone = costlyProbeInterval
	}
	return max(maxProbeInterval, time.Duration(t.hints.Hosts)*zone)
}

// NextProbe returns an ejected target of a service that is due for a probe: one
// repeatable request.
func (t *Tracker) NextProbe(now time.Time, service model.ModelID) (model.TargetID, bool) {
	for _, h := range t.services[service] {
		if h.step == Ejected && !h.Unavailable && t.probeDue(now, h) {
			return h.ID, true
		}
	}
	return "", false
}

// BeginProbe records that a probe was sent.
func (t *Tracker) BeginProbe(now time.Time, id model.TargetID) {
	if h := t.targets[id]; h != nil {
		h.probe.running, h.probe.lastAt = true, now
	}
}

// EndProbe records that a probe has ended, after its outcome was recorded. A probe
// without a verdict, for example of a caller that left, is made again soon.
func (t *Tracker) EndProbe(now time.Time, id model.TargetID, o Outcome) {
	h := t.targets[id]
	if h == nil {
		return
	}
	h.probe.running = false
	switch {
	case o == TimedOut:
		h.probe.interval = t.maxInterval(o)
	case o.failed():
		h.probe.interval = min(probeBackoff*h.probe.interval, t.maxInterval(o))
	case o == Answered && h.hint.AllFailed == 0: // no host had failures in the last seconds
		h.probe.interval = minProbeInterval
	}
	h.probe.lastAt, h.probe.spread = now, t.random.Float64()
}

// Doubtful returns the targets of a service that should get no request that may not be
// repeated, at most half of the service.
func (t *Tracker) Doubtful(now time.Time, service model.ModelID) []model.TargetID {
	var list []model.TargetID
	all := t.services[service]
	out := 0
	for _, h := range all {
		if h.Unavailable {
			out++
		}
	}
	for _, h := range all {
		if h.Unavailable {
			continue
		}
		if score, _ := t.score(now, h); h.step == InUse && score < doubtScore {
			continue
		}
		if out++; 2*out > len(all) {
			break
		}
		list = append(list, h.ID)
	}
	return list
}

// mix returns a hash of a time slot and a target.
func mix(slot uint64, id model.TargetID) uint64 {
	h := xxhash.Sum64String(string(id)) ^ slot*0x9e3779b97f4a7c15
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
