package pacing_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
	"mimosarelay/core/pacing"
)

// Guards against grants above the rate of a target, and against a rate that is left unused.
func TestGrantsFollowRate(t *testing.T) {
	for name, rate := range map[string]pacing.Rate{"slow": 0.5, "usual": 6.1, "fast": 200} {
		t.Run(name, func(t *testing.T) {
			s := pacing.NewScheduler()
			random := rand.New(rand.NewPCG(1, 2))
			start := time.Unix(1000, 0)
			var sent []time.Time
			const duration = 60 * time.Second
			for now := start; now.Before(start.Add(duration)); now = now.Add(time.Duration(random.IntN(int(2 * time.Millisecond)))) {
				maxDelay := time.Duration(random.IntN(2)) * 300 * time.Millisecond
				if g, ok := s.Take(now, "t", rate, maxDelay).(pacing.Granted); ok {
					assert.Assert(t, g.Delay <= maxDelay)
					sent = append(sent, now.Add(g.Delay))
				}
			}
			const window = 4 * time.Second
			slices.SortFunc(sent, time.Time.Compare)
			first := 0
			for i, at := range sent {
				for at.Sub(sent[first]) > window {
					first++
				}
				n := i - first + 1
				assert.Assert(t, float64(n) <= float64(rate)*(window+time.Second).Seconds()+2, "%d in %v", n, window)
			}
			assert.Assert(t, float64(len(sent)) >= 0.9*float64(rate)*duration.Seconds(), "%d sent", len(sent))
		})
	}
}

// Guards against denied hosts that all ask again at the same time.
func TestDeniedHostsAskAgainOneAfterTheOther(t *testing.T) {
	s := pacing.NewScheduler()
	now := time.Unix(1000, 0)
	last := time.Duration(0)
	for range 5 {
		d, ok := s.Take(now, "t", 10, 0).(pacing.Denied)
		assert.Assert(t, ok)
		assert.Assert(t, d.RetryAfter >= last+100*time.Millisecond, "%v after %v", d.RetryAfter, last)
		last = d.RetryAfter
	}
}

// Guards against a rate that ends with a late response to an earlier request, or never.
func TestRateEndsWithResponseToLaterRequest(t *testing.T) {
	s := pacing.NewStated()
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	s.Observe(at(2), "t", 5, true, at(1))
	s.Observe(at(3), "t", 0, false, at(1))
	rate, ok := s.Rate("t")
	assert.Assert(t, ok)
	assert.Equal(t, rate, pacing.Rate(5))
	s.Observe(at(5), "t", 0, false, at(4))
	_, ok = s.Rate("t")
	assert.Assert(t, !ok)
	s.Observe(at(6), "t", 5, true, at(5))
	s.Retain(func(model.TargetID) bool { return false })
	_, ok = s.Rate("t")
	assert.Assert(t, !ok)
}

// Guards against a cold target that gets the requests of the time in which it got none
// at once.
func TestColdTargetGetsNoBurst(t *testing.T) {
	s := pacing.NewScheduler()
	now := time.Unix(1000, 0)
	s.TakeCold(now, "t", 10, 0)
	for range 3 {
		now = now.Add(10 * time.Second)
		granted := 0
		for range 20 {
			if _, ok := s.TakeCold(now, "t", 10, 0).(pacing.Granted); ok {
				granted++
			}
		}
		assert.Equal(t, granted, 1)
	}
}
