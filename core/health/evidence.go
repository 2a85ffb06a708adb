package health

import (
	"math"
	"time"
)

const (
	// minBaseline is the lowest fraction of failed requests that counts as usual. It is
	// above the 5 % at which targets whose answers are sometimes lost must stay in use.
	minBaseline = 0.08
	// maxBaseline bounds the usual fraction, so that a target that fails nearly always
	// is still told from the others.
	maxBaseline = 0.5
	// medianFactor is how many times the median of the service a target may fail.
	medianFactor = 2
	// minFaulty and faultyFactor give the fraction of failed requests of a faulty target.
	// Targets that fail 40 % are to be found, and 35 % is below that.
	minFaulty    = 0.35
	faultyFactor = 3
	maxFaulty    = 0.9
)

// baseline is the usual fraction of failed requests in a service.
type baseline float64

// newBaseline returns the baseline for the median of the fractions of a service.
func newBaseline(median float64) baseline {
	return baseline(min(max(minBaseline, medianFactor*median), maxBaseline))
}

// evidence returns the logarithm of how much more likely the outcomes are for a faulty
// target than for a usual one.
func (b baseline) evidence(failed, answered float64) float64 {
	usual := float64(b)
	faulty := min(max(minFaulty, faultyFactor*usual), maxFaulty)
	return failed*math.Log(faulty/usual) + answered*math.Log((1-faulty)/(1-usual))
}

const (
	// bucketWidth and windowBuckets make a window of 3 s. A zone of the deployments
	// sends a target about 25 requests in that time, enough to tell 5 % from 40 %.
	bucketWidth   = 250 * time.Millisecond
	windowBuckets = 12
)

// counts holds numbers of outcomes.
type counts struct {
	failed, answered int
}

// window counts the outcomes of the last 3 s.
type window struct {
	buckets [windowBuckets]counts
	newest  int64 // index of the newest bucket since the Unix epoch
}

func bucketIndex(now time.Time) int64 { return now.UnixNano() / int64(bucketWidth) }

// advance clears the buckets that have left the window.
func (w *window) advance(now time.Time) {
	index := bucketIndex(now)
	for i := max(w.newest+1, index-windowBuckets+1); i <= index; i++ {
		w.buckets[i%windowBuckets] = counts{}
	}
	w.newest = max(w.newest, index)
}

func (w *window) add(now time.Time, failed bool) {
	w.advance(now)
	b := &w.buckets[w.newest%windowBuckets]
	if failed {
		b.failed++
	} else {
		b.answered++
	}
}

func (w *window) sum(now time.Time) counts {
	w.advance(now)
	var c counts
	for _, b := range w.buckets {
		c.failed += b.failed
		c.answered += b.answered
	}
	return c
}

const (
	// ownHalfLife is the time after which own outcomes count half. A host of a large
	// fleet sends a target one request in 2 to 3 s.
	ownHalfLife = 15 * time.Second
	// maxOwnEvidence bounds what earlier failures count, so that a target that has
	// recovered returns soon.
	maxOwnEvidence = 14
	// streakLifetime is the age up to which own successes in a row count against hints.
	streakLifetime = 10 * time.Second
)

// ownEvidence is a cumulative sum (CUSUM) of the evidence of own requests: it starts
// again at 0 when a target does well, so that earlier successes do not delay its
// ejection.
type ownEvidence struct {
	sum    float64
	at     time.Time
	streak int // successes since the last failure
}

func (o *ownEvidence) decayed(now time.Time) float64 {
	if o.sum == 0 {
		return 0
	}
	return o.sum * math.Exp2(-now.Sub(o.at).Seconds()/ownHalfLife.Seconds())
}

func (o *ownEvidence) add(now time.Time, b baseline, failed bool) {
	if now.Sub(o.at) > streakLifetime {
		o.streak = 0
	}
	sum := o.decayed(now)
	if failed {
		o.streak = 0
		sum += b.evidence(1, 0)
	} else {
		o.streak++
		sum += b.evidence(0, 1)
	}
	o.sum, o.at = min(max(0, sum), maxOwnEvidence), now
}

// successes returns the number of own successes in a row that are recent.
func (o *ownEvidence) successes(now time.Time) int {
	if now.Sub(o.at) > streakLifetime {
		return 0
	}
	return o.streak
}
