package placement

import (
	"time"

	"mimosarelay/core/loadboard"
)

const (
	// minSharedSamples is the number of shared measurements from which they are used
	// instead of those of this host.
	minSharedSamples = 8
	// sharedSpeedMaxAge is the age from which shared measurements don't count.
	sharedSpeedMaxAge = 10 * time.Second
	// minKindSamples is the number of measurements from which the usual time of a kind
	// of work is known well enough to tell other hosts about deviations from it.
	minKindSamples = 8
)

// sharing holds what a target's answers told this host since the last call of
// HeardLoads, and what other hosts measured.
type sharing struct {
	heard  Load // zero if there is nothing new
	unsent loadboard.Speed
	speed  loadboard.Speed
	at     time.Time // when speed was received
}

// HeardLoads returns what the answers to this host since the last call said of targets.
func (s *Scheduler) HeardLoads() []loadboard.Report {
	var list []loadboard.Report
	for _, t := range s.sortedTargets {
		h := &t.sharing
		if h.heard.At.IsZero() && h.unsent.Samples == 0 {
			continue
		}
		l := h.heard
		list = append(list, loadboard.Report{
			Key:   loadboard.KeyOfHash(t.idHash),
			Load:  loadboard.Load{At: l.At, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowness: l.Slowness},
			Speed: h.unsent,
		})
		h.heard, h.unsent = Load{}, loadboard.Speed{}
	}
	return list
}

// SetSharedLoads applies what the hosts heard of targets. A load replaces an older one.
func (s *Scheduler) SetSharedLoads(now time.Time, list []loadboard.Report) {
	for _, r := range list {
		t := s.targetsByKey[r.Key]
		if t == nil {
			continue
		}
		if l := r.Load; !l.At.IsZero() && !l.At.After(now) {
			t.setLoad(Load{At: l.At, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowness: l.Slowness})
		}
		t.sharing.speed, t.sharing.at = r.Speed, now
	}
}

// indexKeys sets targetsByKey. Targets with the same Key have no entry, because a report
// doesn't tell which of them it concerns.
func (s *Scheduler) indexKeys() {
	s.targetsByKey = make(map[loadboard.Key]*target, len(s.targets))
	for _, t := range s.sortedTargets {
		key := loadboard.KeyOfHash(t.idHash)
		if _, twice := s.targetsByKey[key]; twice {
			s.targetsByKey[key] = nil
			continue
		}
		s.targetsByKey[key] = t
	}
}

// sharedMean returns the mean of the shared measurements, a logarithm, or false if they
// are too few or too old.
func (t *target) sharedMean(now time.Time) (float64, bool) {
	h := &t.sharing
	if h.speed.Samples < minSharedSamples || now.Sub(h.at) >= sharedSpeedMaxAge {
		return 0, false
	}
	return h.speed.LogSum / float64(h.speed.Samples), true
}

// ownMedian returns the median of the measurements of this host, a logarithm, or false
// if they are too few.
func (t *target) ownMedian(time.Time) (float64, bool) { return t.speed.median() }

// endedCall is a call of this host that ended at a target.
type endedCall struct{ started, ended time.Time }
