package placement

import (
	"math"
	"slices"
	"time"

	"mimosarelay/core/loadboard"
	"mimosarelay/core/model"
	"mimosarelay/core/spill"
)

const (
	// speedWindow is the number of measurements from which the speed of a target is
	// judged. Their median ignores machines that are slow for a part of the time.
	speedWindow = 9
	// minSpeedSamples is the number of measurements below which a target counts as
	// being as fast as the others.
	minSpeedSamples = 4
	// minSpeedTargets is the number of measured targets that tell what is usual.
	minSpeedTargets = 3
	// speedStep is the ratio between two neighboring classes of speed. It exceeds the
	// differences that come from the load of a target.
	speedStep = 1.3
	// speedHysteresis is the distance from the present class, in classes, from which a
	// target gets another one. At 0.5 a target between two classes would alternate.
	speedHysteresis = 0.75
	// minSpeedClass and maxSpeedClass bound the factor of a target to 0.35 and 3.7.
	minSpeedClass, maxSpeedClass = -4, 5
	// speedHalfLife is the time in which an unconfirmed difference halves, so that a
	// target that gets few calls because it was slow is tried again.
	speedHalfLife = time.Minute
	// speedInterval is the time between two judgments.
	speedInterval = time.Second
	// slownessMaxAge is the age from which a stated slowness no longer counts. Machines
	// change it about every 600 ms.
	slownessMaxAge = 600 * time.Millisecond
	// minSlowness and maxSlowness bound the stated slowness that is taken into account.
	minSlowness, maxSlowness = 0.25, 8
	// maxWorkKinds bounds the memory of a pool. Kinds are routes of the configuration.
	maxWorkKinds = 1024
	// firstKindStep and kindStep are the steps by which the usual time of a kind of work
	// follows the measurements, as logarithms of a ratio.
	firstKindStep, kindStep = 0.5, 0.02
	// meanCallWeight is the weight of the last call in the moving average of call times.
	meanCallWeight = 0.05
)

// WorkKind identifies measurements that can be compared, for example those of one
// route.
type WorkKind uint64

// speed is what is known about the speed of a target, compared with the other targets
// of its pool. The samples are logarithms of the ratio to the usual time.
type speed struct {
	samples    [speedWindow]float64
	count      int // all samples so far
	observedAt time.Time
	class      int // speedStep to this power is the factor
	factor     float64
}

func (v *speed) add(sample float64, now time.Time) {
	v.samples[v.count%speedWindow] = sample
	v.count++
	v.observedAt = now
}

// median returns the median of the samples, or false if there are too few.
func (v *speed) median() (float64, bool) {
	if v.count < minSpeedSamples {
		return 0, false
	}
	sorted := v.samples
	n := min(v.count, speedWindow)
	slices.Sort(sorted[:n])
	return sorted[n/2], true
}

// judge sets the class of a target whose median differs from the usual one by ratio, a
// logarithm.
func (v *speed) judge(ratio float64, now time.Time) {
	age := max(0, now.Sub(v.observedAt))
	ratio *= math.Exp2(-float64(age) / float64(speedHalfLife))
	x := ratio / math.Log(speedStep)
	if math.Abs(x-float64(v.class)) <= speedHysteresis {
		return
	}
	v.class = min(max(int(math.Round(x)), minSpeedClass), maxSpeedClass)
	v.factor = math.Pow(speedStep, float64(v.class))
}

// speedFactor returns how long work takes at the target, relative to the others, as
// learned from earlier calls.
func (t *target) speedFactor() float64 {
	if t.speed.factor == 0 {
		return 1
	}
	return t.speed.factor
}

// timeFactor returns how long work that begins now takes at the target, relative to
// the usual time: the learned factor times the slowness that the target stated.
func (t *target) timeFactor(now time.Time) float64 {
	f := t.speedFactor()
	if t.load.Slowness == 0 {
		return f
	}
	weight := min(max(0, 1-float64(now.Sub(t.load.At))/float64(slownessMaxAge)), 1)
	return f * (1 + weight*(min(max(t.load.Slowness, minSlowness), maxSlowness)-1))
}

// workKind is the usual time of a kind of work in a pool, as a logarithm.
type workKind struct {
	usual float64
	count int
}

// pool holds the targets that run the same calls, and what is known about these calls.
type pool struct {
	candidates []model.TargetID
	targets    []*target
	kinds      map[WorkKind]*workKind
	meanCall   time.Duration  // moving average of the time from the grant to the release; 0: not known
	medians    []float64      // reused by judgeSpeeds
	zones      []poolZone     // with spill, that of the host is the first
	spill      *spill.Decider // nil: calls are not kept in the zone of the host
	views      []spill.Zone   // reused by updateZones
}

// observe learns from a completed call.
func (p *pool) observe(t *target, u Usage, took time.Duration, now time.Time) {
	if u.Work <= 0 {
		return
	}
	if p.meanCall == 0 {
		p.meanCall = took
	}
	p.meanCall += time.Duration(meanCallWeight * float64(took-p.meanCall))
	x := math.Log(float64(u.Work))
	k := p.kinds[u.Kind]
	if k == nil {
		if len(p.kinds) >= maxWorkKinds {
			clear(p.kinds)
		}
		k = &workKind{usual: x}
		p.kinds[u.Kind] = k
	}
	t.speed.add(x-k.usual, now)
	if k.count >= minKindSamples {
		t.sharing.unsent.Add(loadboard.Speed{Samples: 1, LogSum: min(max(x-k.usual, -loadboard.MaxRatio), loadboard.MaxRatio)})
	}
	k.count++
	step := max(kindStep, firstKindStep/float64(k.count))
	k.usual += min(max(x-k.usual, -step), step) // follows the median, not the mean
}

// judgeSpeeds compares the targets of the pool with their median: by the shared
// measurements where there are enough, else by those of this host.
func (p *pool) judgeSpeeds(now time.Time) {
	usual, ok := p.usual(now, (*target).sharedMean)
	ownUsual, ownOK := p.usual(now, (*target).ownMedian)
	for _, t := range p.targets {
		if m, enough := t.sharedMean(now); enough && ok {
			t.speed.observedAt = now
			t.speed.judge(m-usual, now)
		} else if m, enough := t.ownMedian(now); enough && ownOK {
			t.speed.judge(m-ownUsual, now)
		}
	}
}

// usual returns the median of the targets that have the figure, or false if they are too
// few.
func (p *pool) usual(now time.Time, figure func(*target, time.Time) (float64, bool)) (float64, bool) {
	p.medians = p.medians[:0]
	for _, t := range p.targets {
		if m, ok := figure(t, now); ok {
			p.medians = append(p.medians, m)
		}
	}
	if len(p.medians) < minSpeedTargets {
		return 0, false
	}
	slices.Sort(p.medians)
	return p.medians[len(p.medians)/2], true
}

// poolFor returns the pool of a class, or nil for a class with a single candidate,
// which leaves no choice. Classes that differ in exclusions and pins share a pool.
func (s *Scheduler) poolFor(c *class) *pool {
	if len(c.candidates) == 1 {
		return nil
	}
	key := classKey{model: c.key.model, candidates: c.key.candidates}
	p := s.pools[key]
	if p == nil {
		p = &pool{candidates: c.candidates, kinds: map[WorkKind]*workKind{}}
		s.pools[key] = p
		s.attachPool(key, p)
	}
	return p
}

// attachPool finds the targets of a pool.
func (s *Scheduler) attachPool(key classKey, p *pool) {
	p.targets = p.targets[:0]
	c := class{key: key, candidates: p.candidates}
	for _, t := range s.sortedTargets {
		if c.mayUse(t) {
			p.targets = append(p.targets, t)
		}
	}
	s.attachZones(p)
}

// updatePools updates the decisions on zones, and judges the speeds of all targets if
// speedInterval has passed.
func (s *Scheduler) updatePools(now time.Time) {
	for _, p := range s.pools {
		s.updateZones(p, now)
	}
	if now.Sub(s.lastJudgment) < speedInterval {
		return
	}
	s.lastJudgment = now
	for _, p := range s.pools {
		p.judgeSpeeds(now)
	}
}
