package placement

import (
	"time"

	"github.com/uber-go/tally/v4"

	"mimosarelay/core/loadboard"
)

// sharedLoadMetrics shows how much this host knows from other hosts.
type sharedLoadMetrics struct {
	targets tally.Gauge // with a load in the last response of a keeper
	age     tally.Gauge // mean age of these loads in seconds
}

func newSharedLoadMetrics(scope tally.Scope) sharedLoadMetrics {
	scope = scope.SubScope("shared_load")
	return sharedLoadMetrics{targets: scope.Gauge("targets"), age: scope.Gauge("age_seconds")}
}

func (m sharedLoadMetrics) update(now time.Time, list []loadboard.Report) {
	known, sum := 0, time.Duration(0)
	for _, r := range list {
		if !r.Load.At.IsZero() {
			known++
			sum += now.Sub(r.Load.At)
		}
	}
	m.targets.Update(float64(known))
	m.age.Update(sum.Seconds() / float64(max(1, known)))
}

// HeardLoads returns what the answers to this host said of targets since the last call,
// for other hosts.
func (s *Service) HeardLoads() []loadboard.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.HeardLoads()
}

// SetSharedLoads applies what all hosts heard of targets.
func (s *Service) SetSharedLoads(list []loadboard.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.scheduler.SetSharedLoads(now, list)
	if s.outcomes != nil {
		s.outcomes.shared.update(now, list)
	}
}
