package health

import (
	"time"

	"mimosarelay/core/model"
)

const (
	// malformedRun is the number of malformed answers in a row after which a target is
	// paused. A target that garbles some of its answers seldom reaches it.
	malformedRun = 3
	// minMalformedPause and maxMalformedPause limit the pause, which doubles with each
	// malformed answer that follows.
	minMalformedPause = time.Second
	maxMalformedPause = 8 * time.Second
	// soundWindow is the age up to which a sound answer of another target shows that the
	// target, and not the requests, is at fault.
	soundWindow = 10 * time.Second
	// malformedRetention is the time after which a target without answers is forgotten.
	malformedRetention = time.Minute
)

// MalformedRuns decides for how long a target that sends what is no answer gets no
// request. The load that it addresses is a faulty target that fails each request at once
// and therefore attracts more of them than sound ones, on deployments without a Tracker.
//
// A target is paused only while another one of its service answers soundly, and never
// more than half of those that have answered lately, so that requests to which no target
// has a sound answer pause none. It is not safe for concurrent use.
type MalformedRuns struct {
	services map[model.ModelID]map[model.TargetID]*answers
}

// answers describes the latest answers of one target.
type answers struct {
	malformed   int // in a row
	pause       time.Duration
	pausedUntil time.Time
	soundAt     time.Time // of the last sound answer; zero if there was none
	seenAt      time.Time // of the last answer
}

// NewMalformedRuns returns a MalformedRuns without answers.
func NewMalformedRuns() *MalformedRuns {
	return &MalformedRuns{services: map[model.ModelID]map[model.TargetID]*answers{}}
}

// Sound records a whole answer.
func (m *MalformedRuns) Sound(now time.Time, service model.ModelID, target model.TargetID) {
	a := m.answersOf(now, service, target)
	a.malformed, a.pause, a.soundAt = 0, 0, now
}

// Malformed records an answer that is malformed, and returns for how long the target gets
// no request; 0 means that it stays in use.
func (m *MalformedRuns) Malformed(now time.Time, service model.ModelID, target model.TargetID) time.Duration {
	a := m.answersOf(now, service, target)
	a.malformed++
	if a.malformed < malformedRun || now.Before(a.pausedUntil) || !m.mayPause(now, service, target) {
		return 0
	}
	a.pause = min(max(2*a.pause, minMalformedPause), maxMalformedPause)
	a.pausedUntil = now.Add(a.pause)
	return a.pause
}

// mayPause reports whether the other targets of the service can go on without a target.
func (m *MalformedRuns) mayPause(now time.Time, service model.ModelID, target model.TargetID) bool {
	sound, paused, seen := false, 1, 0
	for id, a := range m.services[service] {
		if now.Sub(a.seenAt) > malformedRetention {
			delete(m.services[service], id)
			continue
		}
		seen++
		if id == target {
			continue
		}
		if now.Before(a.pausedUntil) {
			paused++
		}
		sound = sound || !a.soundAt.IsZero() && now.Sub(a.soundAt) <= soundWindow
	}
	return sound && 2*paused <= seen
}

func (m *MalformedRuns) answersOf(now time.Time, service model.ModelID, target model.TargetID) *answers {
	targets := m.services[service]
	if targets == nil {
		targets = map[model.TargetID]*answers{}
		m.services[service] = targets
	}
	a := targets[target]
	if a == nil {
		a = &answers{}
		targets[target] = a
	}
	a.seenAt = now
	return a
}
