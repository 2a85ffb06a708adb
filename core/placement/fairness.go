package placement

import (
	"cmp"
	"math"
	"slices"

	"mimosarelay/core/model"
)

// share is the fair-share accounting of a workspace.
type share struct {
	workspace model.WorkspaceID
	weight    float64
	// virtualTime is the service received, in prompt tokens, divided by weight.
	virtualTime  float64
	calls        int // waiting and running
	engineCalls  int // calls that run at engines
	engineDemand int // calls that wait for engines or run there
}

// exceedsLevel reports whether one more call would exceed the workspace's share
// of the places at engines, which is level times its weight. The first call of a
// workspace never does.
func (sh *share) exceedsLevel(level float64) bool {
	return sh.engineCalls > 0 && float64(sh.engineCalls+1) > level*sh.weight
}

// shareOf returns the share of a workspace, created on first use.
func (s *Scheduler) shareOf(w model.WorkspaceID) *share {
	sh := s.shares[w]
	if sh == nil {
		sh = &share{workspace: w, weight: 1, virtualTime: s.virtualTime}
		s.shares[w] = sh
	}
	return sh
}

// queueShare returns the share whose queue holds the calls of a workspace.
func (s *Scheduler) queueShare(w model.WorkspaceID) *share {
	if _, ok := s.options.Order.(FairShare); ok {
		return s.shareOf(w)
	}
	return s.allWorkspaces
}

// enginePlaces returns the number of places at engines that are not skipped and
// the number of those that are taken.
func (s *Scheduler) enginePlaces() (places, taken int) {
	for _, t := range s.sortedTargets {
		if len(t.Models) > 0 && !t.Skip {
			places += t.Limit
			taken += len(t.inFlight)
		}
	}
	return places, taken
}

// currentLevel returns the number of places at engines per unit of weight that
// workspaces may use now. It is infinite while the taken places are below
// FairShare.UnreservedFraction.
func (s *Scheduler) currentLevel() float64 {
	p, ok := s.options.Order.(FairShare)
	if !ok || math.IsInf(s.fairLevel, 1) {
		return math.Inf(1)
	}
	places, taken := s.enginePlaces()
	if float64(taken) < p.UnreservedFraction*float64(places) {
		return math.Inf(1)
	}
	return s.fairLevel
}

// computeFairLevel divides the unreserved places at engines among the workspaces
// by weight, with no workspace getting more than it demands (max-min fairness).
// It returns the places per unit of weight of the workspaces whose demand is not
// met, or infinity if all demands are met. The result is at least the number of
// all places per unit of weight, so that no place stays reserved when every
// workspace demands more than its share.
func (s *Scheduler) computeFairLevel(p FairShare) float64 {
	var active []*share
	totalWeight := 0.0
	for _, sh := range s.shares {
		if sh.engineDemand > 0 {
			active = append(active, sh)
		}
	}
	slices.SortFunc(active, func(a, b *share) int {
		return cmp.Or(
			cmp.Compare(float64(a.engineDemand)/a.weight, float64(b.engineDemand)/b.weight),
			cmp.Compare(a.workspace, b.workspace),
		)
	})
	for _, sh := range active {
		totalWeight += sh.weight
	}
	places, _ := s.enginePlaces()
	minLevel := float64(places) / totalWeight
	remaining := p.UnreservedFraction * float64(places)
	for _, sh := range active {
		if float64(sh.engineDemand)*totalWeight > remaining*sh.weight {
			return max(remaining/totalWeight, minLevel)
		}
		remaining -= float64(sh.engineDemand)
		totalWeight -= sh.weight
	}
	return math.Inf(1)
}

// serviceCost returns the cost of a call in prompt tokens. Cached tokens are free.
func (s *Scheduler) serviceCost(u Usage) float64 {
	weight := float64(defaultOutputWeight)
	if p, ok := s.options.Order.(FairShare); ok {
		weight = p.OutputWeight
	}
	return float64(max(u.Prompt-u.Cached, 0)) + weight*float64(u.Completion)
}
