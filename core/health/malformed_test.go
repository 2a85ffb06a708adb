package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/health"
	"mimosarelay/core/model"
)

// Guards against a faulty target that keeps its requests, against a target that is lost
// because it garbles some answers, and against requests that pause targets because none
// has a sound answer to them. Each case plays a minute of 50 requests a second, which go to
// a random target that is not paused.
func TestTargetsWithMalformedAnswers(t *testing.T) {
	const targets, seconds, rate = 6, 60, 50
	for name, c := range map[string]struct {
		share    func(target int) float64 // of the answers of a target that are malformed
		most     float64                  // highest share of the requests with a malformed answer
		leastUse float64                  // lowest share of the requests that each target gets
	}{
		"one is faulty":          {func(i int) float64 { return map[bool]float64{true: 1}[i == 0] }, 0.01, 0},
		"half are faulty":        {func(i int) float64 { return map[bool]float64{true: 1}[i < 3] }, 0.03, 0},
		"most are faulty":        {func(i int) float64 { return map[bool]float64{true: 1}[i < 4] }, 0.5, 0},
		"all requests malformed": {func(int) float64 { return 1 }, 1, 0.12},
		"some answers garbled":   {func(int) float64 { return 0.05 }, 0.07, 0.14},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			m := health.NewMalformedRuns()
			now := time.Unix(1000, 0)
			var paused [targets]time.Time
			var used [targets]int
			malformed, sent := 0, 0
			for range seconds * rate {
				now = now.Add(time.Second / rate)
				i := random.IntN(targets)
				if now.Before(paused[i]) {
					continue
				}
				sent++
				used[i]++
				id := model.TargetID(fmt.Sprint("t", i))
				if random.Float64() >= c.share(i) {
					m.Sound(now, "service", id)
					continue
				}
				malformed++
				if d := m.Malformed(now, "service", id); d > 0 {
					paused[i] = now.Add(d)
				}
			}
			share := float64(malformed) / float64(sent)
			t.Logf("%.4f of the requests got a malformed answer; use %v", share, used)
			assert.Assert(t, share <= c.most, "%.3f of the requests", share)
			for i, n := range used {
				assert.Assert(t, float64(n) >= c.leastUse*float64(sent), "target %d got %d of %d requests", i, n, sent)
			}
		})
	}
}
