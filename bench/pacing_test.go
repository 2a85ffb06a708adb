package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/pacing"
)

// Guards against questions that grow faster than the hosts; docs/CAPACITY.md has the figures.
func TestPacingQuestionsGrowWithHosts(t *testing.T) {
	const (
		rate     pacing.Rate = 6
		duration             = 60 * time.Second
		step                 = time.Millisecond
	)
	var x, asked []float64
	for _, n := range []int{7, 14, 64, 340} {
		s := pacing.NewScheduler()
		start := time.Unix(0, 0)
		paused := make([]time.Time, n)
		asks, grants := 0, 0
		for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
			for i := range paused {
				if now.Before(paused[i]) {
					continue
				}
				asks++
				switch d := s.Take(now, "t", rate, 0).(type) {
				case pacing.Granted:
					grants++
				case pacing.Denied:
					paused[i] = now.Add(d.RetryAfter)
				}
			}
		}
		perSecond := float64(asks) / duration.Seconds()
		t.Logf("%d hosts: %.1f questions and %.2f grants a second", n, perSecond, float64(grants)/duration.Seconds())
		assert.Assert(t, perSecond <= float64(n)+3*float64(rate), "%.1f questions a second from %d hosts", perSecond, n)
		assert.Assert(t, float64(grants) >= 0.9*float64(rate)*duration.Seconds(), "%d grants", grants)
		x, asked = append(x, float64(n)), append(asked, perSecond)
	}
	t.Logf("FIT questions a second, x=hosts: %v", fitLine(x, asked))
}
