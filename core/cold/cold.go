// Package cold knows which targets are cold: they started a moment ago and fail under
// a load that they bear otherwise. One host's knowledge is a Tracker; the rate at which
// all hosts together may send requests to a cold target follows from a Bound.
package cold

import (
	"maps"
	"slices"
	"time"

	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/core/pacing"
)

// Bound is the number of requests that a cold target may get in any second, from all
// hosts: the rate that its service tolerates, times Over, plus Slack.
type Bound struct {
	Over  float64
	Slack float64
}

const (
	// owners is the number of keepers that may grant requests to one target at the same
	// time, while its shard moves.
	owners = 2
	// GrantLifetime is the time after its slot in which a granted request must be sent.
	// It covers the answer of the keeper and a new connection.
	GrantLifetime = 400 * time.Millisecond
	// transitTime is the time by which the ways of two requests to a target may differ.
	transitTime = 100 * time.Millisecond
	// countedTime is the time in which the bound counts requests.
	countedTime = time.Second
)

// GrantRate returns the rate at which one keeper grants requests to a cold target whose
// service tolerates perSecond requests a second. 0 means that none may be sent.
//
// Requests that arrive within a second have slots within countedTime + GrantLifetime +
// transitTime. An owner assigns slots without a burst, at most one more than its rate
// times that time.
func (b Bound) GrantRate(perSecond float64) pacing.Rate {
	window := (countedTime + GrantLifetime + transitTime).Seconds()
	rate := ((perSecond*b.Over+b.Slack)/owners - 1) / window
	return pacing.Rate(max(0, min(rate, perSecond)))
}

const (
	// maxUnlisted is how long the state of a target that is not listed is kept.
	maxUnlisted = 10 * time.Minute
	// minProbeDelay is the shortest time from a suspicion to the first probe, in which
	// the entry of a new start usually ends it without a probe.
	minProbeDelay = 3 * time.Second
	// probeSpread is the time over which the hosts spread the first probe of a target.
	probeSpread = 4 * time.Second
	// maxProbeDelay bounds the time between two probes of a target by one host.
	maxProbeDelay = time.Minute
)

// Tracker is the knowledge of one host. It is not safe for concurrent use.
type Tracker struct {
	random  func() float64 // uniform in [0, 1)
	targets map[model.TargetID]*state
}

type state struct {
	startedAt ingress.UnixMilliseconds // latest start that was listed; 0 if not known
	listedAt  time.Time
	// statedUntil and probedUntil are when the target is warm, according to its entry
	// and to its health path.
	statedUntil, probedUntil time.Time
	// shorterSince is since when the lists state less than statedUntil; zero if they
	// do not.
	shorterSince time.Time
	evacuated    bool
	suspicion    *suspicion
}

// maxListAge is longer than the age of a list of targets that a host uses. A list that
// says that a target is warm may be of before the start that another one named.
const maxListAge = 2 * time.Second

// suspicion holds that a target may have become cold since its entry was read. It ends
// when an entry names a start after startedAt, or by a probe.
type suspicion struct {
	startedAt ingress.UnixMilliseconds
	raisedAt  time.Time
	probeAt   time.Time
	delay     time.Duration // until the probe after the next one
	probing   bool
}

// NewTracker returns a Tracker without targets. random draws from [0, 1).
func NewTracker(random func() float64) *Tracker {
	return &Tracker{random: random, targets: map[model.TargetID]*state{}}
}

// SetTargets applies a list of the targets whose ColdFor counts from now.
func (t *Tracker) SetTargets(now time.Time, list []ingress.Target) {
	for _, x := range list {
		s := t.state(x.ID)
		s.listedAt = now
		s.setStated(now, now.Add(x.ColdFor))
		if x.StartedAt <= s.startedAt {
			continue
		}
		s.startedAt, s.probedUntil = x.StartedAt, time.Time{}
		if p := s.suspicion; p != nil && !s.evacuated && p.startedAt != 0 {
			s.suspicion = nil
		}
	}
	maps.DeleteFunc(t.targets, func(_ model.TargetID, s *state) bool { return now.Sub(s.listedAt) >= maxUnlisted })
}

// setStated applies that an entry says that the target is cold until a time. An earlier
// time counts only if the lists have said so for maxListAge.
func (s *state) setStated(now, until time.Time) {
	if !until.Before(s.statedUntil) || !now.Before(s.statedUntil) {
		s.statedUntil, s.shorterSince = until, time.Time{}
		return
	}
	if s.shorterSince.IsZero() {
		s.shorterSince = now
	}
	if now.Sub(s.shorterSince) >= maxListAge {
		s.statedUntil, s.shorterSince = until, time.Time{}
	}
}

func (t *Tracker) state(id model.TargetID) *state {
	s := t.targets[id]
	if s == nil {
		s = &state{}
		t.targets[id] = s
	}
	return s
}

// SetEvacuated applies which targets are in an evacuated zone. They are suspect from
// then on, and what is learnt about them before the end of the evacuation does not end
// that: they may become cold until then.
func (t *Tracker) SetEvacuated(now time.Time, evacuated func(model.TargetID) bool) {
	for id, s := range t.targets {
		was := s.evacuated
		s.evacuated = evacuated(id)
		if s.evacuated || was {
			s.suspicion = nil
			t.Suspect(now, id)
		}
	}
}

// Suspect records that a target refused a connection or broke one.
func (t *Tracker) Suspect(now time.Time, id model.TargetID) {
	s := t.state(id)
	if s.listedAt.IsZero() {
		s.listedAt = now
	}
	delay := minProbeDelay + time.Duration(t.random()*float64(probeSpread))
	s.suspicion = &suspicion{startedAt: s.startedAt, raisedAt: now, probeAt: now.Add(delay), delay: delay}
}

const (
	// groupTime is the time in which failures of several targets of a group count as
	// one fault.
	groupTime = 5 * time.Second
	// groupFailures is the number of targets that fail together if their group does.
	groupFailures = 3
)

// SuspectGroup records that a target refused a connection or broke one, and which
// targets may fail together with it, because they are in the same zone. If several do,
// all are suspect: a host that has sent one of them nothing meanwhile does not see that
// it failed. It reports whether the whole group is suspect now.
func (t *Tracker) SuspectGroup(now time.Time, id model.TargetID, group []model.TargetID) bool {
	t.Suspect(now, id)
	failed := 0
	for _, x := range group {
		if s := t.targets[x]; s != nil && s.suspicion != nil && now.Sub(s.suspicion.raisedAt) < groupTime {
			failed++
		}
	}
	if failed < min(groupFailures, len(group)) || failed == len(group) {
		return false
	}
	for _, x := range group {
		if s := t.targets[x]; s == nil || s.suspicion == nil {
			t.Suspect(now, x)
		}
	}
	return true
}

// Cold reports whether a target is cold, or may be.
func (t *Tracker) Cold(now time.Time, id model.TargetID) bool {
	s := t.targets[id]
	return s != nil && s.cold(now)
}

func (s *state) cold(now time.Time) bool {
	return s.suspicion != nil || now.Before(s.statedUntil) || now.Before(s.probedUntil)
}

// List returns the targets that are cold, or may be, sorted.
func (t *Tracker) List(now time.Time) []model.TargetID {
	var list []model.TargetID
	for id, s := range t.targets {
		if s.cold(now) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Probe is a request for the health of one target. Its result counts only for the
// suspicion that it was started for.
type Probe struct {
	Target    model.TargetID
	suspicion *suspicion
}

// StartProbes returns the probes that are due, at most limit, among the targets for
// which wanted returns true. FinishProbe must be called for each.
func (t *Tracker) StartProbes(now time.Time, limit int, wanted func(model.TargetID) bool) []Probe {
	var due []Probe
	for id, s := range t.targets {
		p := s.suspicion
		if len(due) == limit {
			break
		}
		if p == nil || p.probing || s.evacuated || now.Before(p.probeAt) || !wanted(id) {
			continue
		}
		p.probing = true
		due = append(due, Probe{id, p})
	}
	return due
}

// FinishProbe applies the result of a probe: the target answered and is cold for
// coldFor from now, or it did not answer.
func (t *Tracker) FinishProbe(now time.Time, p Probe, answered bool, coldFor time.Duration) {
	s := t.targets[p.Target]
	if s == nil || s.suspicion != p.suspicion {
		return
	}
	if answered {
		s.suspicion, s.probedUntil = nil, now.Add(coldFor)
		return
	}
	p.suspicion.probing = false
	p.suspicion.delay = min(2*p.suspicion.delay, maxProbeDelay)
	p.suspicion.probeAt = now.Add(p.suspicion.delay)
}

// State describes a target that is cold, or may be, for operators.
type State struct {
	Target model.TargetID
	// ColdFor is how long the target stays cold, as far as it is known.
	ColdFor time.Duration
	// Suspect says that the target may have become cold since its entry was read.
	Suspect bool
}

// Dump returns the targets that are cold, or may be, sorted.
func (t *Tracker) Dump(now time.Time) []State {
	var list []State
	for _, id := range t.List(now) {
		s := t.targets[id]
		until := s.statedUntil
		if s.probedUntil.After(until) {
			until = s.probedUntil
		}
		list = append(list, State{Target: id, ColdFor: max(0, until.Sub(now)), Suspect: s.suspicion != nil})
	}
	return list
}
