package health

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mimosarelay/core/model"
)

// Target describes a target to a Tracker.
type Target struct {
	ID       model.TargetID
	Services []model.ModelID
	// Unavailable is set while the target is out of use for another reason than its
	// outcomes.
	Unavailable bool
}

// Change is a change of the step of a target.
type Change struct {
	Target model.TargetID
	From   Step
	To     Step
	// Score is the evidence against the target, and Hint the part of other hosts.
	Score, Hint float64
}

// target is the state of a target.
type target struct {
	Target
	baseline baseline
	window   window
	own      ownEvidence
	hint     Hint
	step     Step
	since    time.Time // of step
	skip     bool
	// successes is the number of successes in a row since the target entered its step,
	// and failures the number of all failures since then.
	successes, failures int
	probe               probe
}

// Tracker decides for one host how much of its load each target gets. It is not safe
// for concurrent use.
type Tracker struct {
	random   *rand.Rand
	seed     uint64 // makes hosts use reduced targets at different times
	targets  map[model.TargetID]*target
	sorted   []*target // by ID
	services map[model.ModelID][]*target
	hints    Hints
	hintsAt  time.Time
	changes  []Change
}

// NewTracker returns a Tracker without targets.
func NewTracker(random *rand.Rand) *Tracker {
	return &Tracker{
		random: random, seed: random.Uint64(), targets: map[model.TargetID]*target{}, services: map[model.ModelID][]*target{},
	}
}

// SetTargets replaces the targets, without those that are leaving.
func (t *Tracker) SetTargets(list []Target) {
	targets := make(map[model.TargetID]*target, len(list))
	t.services = map[model.ModelID][]*target{}
	for _, x := range list {
		h := t.targets[x.ID]
		if h == nil {
			h = &target{baseline: minBaseline}
		}
		h.Target = x
		targets[x.ID] = h
	}
	t.targets = targets
	t.sorted = slices.SortedFunc(maps.Values(targets), func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	for _, h := range t.sorted {
		for _, s := range h.Services {
			t.services[s] = append(t.services[s], h)
		}
	}
}

// Record counts the outcome of an attempt.
func (t *Tracker) Record(now time.Time, id model.TargetID, o Outcome) {
	h := t.targets[id]
	if h == nil || o != Answered && !o.failed() {
		return
	}
	failed := o.failed()
	h.window.add(now, failed)
	h.own.add(now, h.baseline, failed)
	if failed {
		h.successes = 0
		h.failures++
	} else {
		h.successes++
	}
	t.evaluate(now, h)
}

const (
	// hintMaxAge is the age from which hints no longer count. Keepers answer each
	// 500 ms, so three answers in a row are missing.
	hintMaxAge = 2 * time.Second
	// minHintEvidence and maxHintEvidence bound what hints count. The lower one lets own
	// failures outweigh hints, for a target that only this host cannot use, and the
	// upper one lets a few own successes do so.
	minHintEvidence = -4
	maxHintEvidence = 10
	// successDiscount is what each own success in a row takes from hints.
	successDiscount = 1
)

// SetHints replaces the hints of the zone of this host. Keepers may know different
// hosts; fresh hints of more hosts are kept.
func (t *Tracker) SetHints(now time.Time, hints Hints) {
	if hints.Hosts < t.hints.Hosts && now.Sub(t.hintsAt) < hintMaxAge/2 {
		return
	}
	t.hints, t.hintsAt = hints, now
	for _, h := range t.sorted {
		h.hint = Hint{}
	}
	for _, x := range hints.Targets {
		if h := t.targets[x.Target]; h != nil {
			h.hint = x
		}
	}
}

// Reports returns what this host tells other hosts: its counts at the targets that it
// doubts or that other hosts doubt.
func (t *Tracker) Reports(now time.Time) []Report {
	var list []Report
	for _, h := range t.sorted {
		c := h.window.sum(now)
		doubted := c.failed > 0 || h.step != InUse
		if doubted || h.hint.Reporters > 0 {
			list = append(list, Report{Target: h.ID, Failed: c.failed, Answered: c.answered, Doubted: doubted})
		}
	}
	return bounded(list, func(r Report) Report { return r })
}

// hintEvidence returns the evidence of other hosts. Hints count only if at least half
// of the hosts named the target: those that have not, because they had no failures,
// would be missing from the answered requests.
func (t *Tracker) hintEvidence(now time.Time, h *target) float64 {
	if h.hint.Reporters == 0 || 2*h.hint.Reporters < t.hints.Hosts || now.Sub(t.hintsAt) >= hintMaxAge {
		return 0
	}
	e := h.baseline.evidence(float64(h.hint.Failed), float64(h.hint.Answered))
	return min(max(minHintEvidence, e), maxHintEvidence)
}

// score returns the evidence against a target and the part of it that is from hints.
func (t *Tracker) score(now time.Time, h *target) (score, hint float64) {
	hint = t.hintEvidence(now, h)
	if hint > 0 {
		hint = max(0, hint-successDiscount*float64(h.own.successes(now)))
	}
	return h.own.decayed(now) + hint, hint
}

const (
	// reduceScore and ejectScore are the evidence from which a target gets less. With
	// targets that fail 5 %, hosts with 24 targets reached 5 about once in 2 to 8 hours
	// in simulations, and 6 not in 17 hours.
	reduceScore = 6
	ejectScore  = 8
	// confirmScore is the evidence from which a target is ejected that has failed with
	// reduced load for the length of the window.
	confirmScore = 3
	// returnScore is the evidence up to which a target gets more again.
	returnScore = 1
	// clearHint is the evidence of hints that shows a target to be well: about 8
	// answers without a failure.
	clearHint = -2.5
	// doubtScore is the evidence from which a target gets no request that may not be
	// repeated, while others are free: two recent failures.
	doubtScore = 2.5
	// minStepTime is the shortest time between two steps of a return.
	minStepTime = 2 * time.Second
	// returnSuccesses is the number of own successes at which a target gets more.
	returnSuccesses = 3
)

// evaluate moves a target to another step if the evidence says so.
func (t *Tracker) evaluate(now time.Time, h *target) {
	score, hint := t.score(now, h)
	switch h.step {
	case InUse:
		if score >= reduceScore {
			t.setStep(now, h, Reduced)
		}
	case Reduced:
		switch {
		case (score >= ejectScore || score >= confirmScore && t.failedReduced(now, h, hint)) && t.mayTakeOut(h):
			t.setStep(now, h, Ejected)
		case score <= returnScore && now.Sub(h.since) >= minStepTime && (h.successes >= returnSuccesses || hint <= clearHint):
			t.setStep(now, h, InUse)
		}
	case Ejected:
		if h.successes >= h.probe.neededSuccesses() && hint <= 0 || h.successes > 0 && hint <= clearHint || h.probe.starved(now) {
			t.setStep(now, h, Reduced)
		}
	}
}

// failedReduced reports whether a target has failed with reduced load. A zone sends it
// a quarter of its requests, too few to reach ejectScore.
func (t *Tracker) failedReduced(now time.Time, h *target, hint float64) bool {
	return now.Sub(h.since) >= windowBuckets*bucketWidth && (h.failures > 0 || hint > 0)
}

func (t *Tracker) setStep(now time.Time, h *target, s Step) {
	score, hint := t.score(now, h)
	t.changes = append(t.changes, Change{Target: h.ID, From: h.step, To: s, Score: score, Hint: hint})
	if s == Ejected {
		h.probe.start(now, t.hints.Hosts, t.random)
	}
	if h.step == Ejected {
		h.own.sum = 0
		h.probe.endedAt = now
	}
	h.step, h.since, h.successes, h.failures = s, now, 0, 0
	h.skip = s == Ejected
}

// mayTakeOut reports whether at least half of the targets of each service of h stay in
// use if h does not.
func (t *Tracker) mayTakeOut(h *target) bool {
	for _, s := range h.Services {
		out := 1
		for _, other := range t.services[s] {
			if other != h && (other.Unavailable || other.skip) {
				out++
			}
		}
		if 2*out > len(t.services[s]) {
			return false
		}
	}
	return true
}

// Step returns the step of a target.
func (t *Tracker) Step(id model.TargetID) Step {
	if h := t.targets[id]; h != nil {
		return h.step
	}
	return InUse
}

// Skipped reports whether a target gets no load at the moment.
func (t *Tracker) Skipped(id model.TargetID) bool {
	h := t.targets[id]
	return h != nil && h.skip
}

// Tick updates all targets. unavailable reports whether a target is out of use for
// another reason. Tick returns the changes since the last call and must be called about
// every 100 ms.
func (t *Tracker) Tick(now time.Time, unavailable func(model.TargetID) bool) []Change {
	for _, h := range t.sorted {
		h.Unavailable = unavailable(h.ID)
	}
	t.updateBaselines(now)
	for _, h := range t.sorted {
		t.evaluate(now, h)
	}
	t.returnExcess(now)
	t.updateSkips(now)
	changes := t.changes
	t.changes = nil
	return changes
}

// updateBaselines sets the baseline of each target to the highest of its services.
func (t *Tracker) updateBaselines(now time.Time) {
	for _, h := range t.sorted {
		h.baseline = minBaseline
	}
	for _, list := range t.services {
		b := newBaseline(t.medianFraction(now, list))
		for _, h := range list {
			h.baseline = max(h.baseline, b)
		}
	}
}

// minFractionCount is the number of requests from which a fraction of failed requests
// means something.
const minFractionCount = 5

// medianFraction returns the lower median of the fractions of failed requests.
func (t *Tracker) medianFraction(now time.Time, list []*target) float64 {
	fractions := make([]float64, 0, len(list))
	for _, h := range list {
		c := h.window.sum(now)
		if now.Sub(t.hintsAt) < hintMaxAge && h.hint.Answered+h.hint.Failed > c.answered+c.failed {
			c = counts{failed: h.hint.Failed, answered: h.hint.Answered}
		}
		f := 0.0
		if n := c.failed + c.answered; n >= minFractionCount {
			f = float64(c.failed) / float64(n)
		}
		fractions = append(fractions, f)
	}
	slices.Sort(fractions)
	return fractions[(len(fractions)-1)/2]
}

// returnExcess returns the ejected targets with the least evidence while more than
// half of a service is out of use, for example because others became unreachable.
func (t *Tracker) returnExcess(now time.Time) {
	for _, list := range t.services {
		for {
			out := 0
			var best *target
			lowest := 0.0
			for _, h := range list {
				if h.Unavailable || h.step == Ejected {
					out++
				}
				if h.step != Ejected || h.Unavailable {
					continue
				}
				if score, _ := t.score(now, h); best == nil || score < lowest {
					best, lowest = h, score
				}
			}
			if best == nil || 2*out <= len(list) {
				break
			}
			t.setStep(now, best, Reduced)
		}
	}
}

const (
	// reducedSlot is the time for which a reduced target is in or out of use. It is
	// longer than a tick and shorter than most calls.
	reducedSlot = 400 * time.Millisecond
	// reducedShare is the number of slots in a row of which a reduced target is in use in
	// one. With a random choice for each slot, a target may get nothing for 10 s.
	reducedShare = 4
)

// updateSkips takes reduced targets out of use for three of four slots, as long as at least half of each service stays in use.
func (t *Tracker) updateSkips(now time.Time) {
	for _, h := range t.sorted {
		if h.step == Reduced {
			h.skip = false
		}
	}
	slot := uint64(now.UnixNano() / int64(reducedSlot))
	for _, h := range t.sorted {
		if h.step == Reduced && mix(t.seed^(slot/reducedShare), h.ID)%reducedShare != slot%reducedShare && t.mayTakeOut(h) {
			h.skip = true
		}
	}
}
