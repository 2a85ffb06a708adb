package main

import (
	"math"
	"slices"
	"time"

	"mimosarelay/core/model"
)

// result holds the raw figures of one run. Its slices are indexed by workspace,
// except latencies and ideals, which have one entry for each measured program.
type result struct {
	latencies        []float64     // of programs, in seconds
	ideals           []float64     // ideal latencies of the same programs, in seconds
	slowdowns        []runningMean // of programs: latency divided by ideal latency
	recomputedTokens model.Tokens  // history tokens that an engine computed again
	promptTokens     model.Tokens
	refused          []int // requests within the rate that found no target in time
	rateLimited      []int // requests above the rate
	abandoned        []int // programs that ended after maxRefusals in succession
	sent, done       int   // calls
	busyTime         time.Duration
	elapsed          time.Duration
	peakCalls        int // most calls in an engine at the same time
	peakBlocks       int // most blocks in an engine at the same time
}

// runningMean is a sum of n values.
type runningMean struct {
	sum float64
	n   int
}

// value returns the mean, or NaN if there are no values.
func (m runningMean) value() float64 {
	if m.n == 0 {
		return math.NaN()
	}
	return m.sum / float64(m.n)
}

func (r *result) init(workspaces int) {
	r.slowdowns = make([]runningMean, workspaces)
	r.refused = make([]int, workspaces)
	r.rateLimited = make([]int, workspaces)
	r.abandoned = make([]int, workspaces)
}

// addProgram records a program that has ended.
func (r *result) addProgram(s *script, latency time.Duration) {
	r.latencies = append(r.latencies, latency.Seconds())
	r.ideals = append(r.ideals, s.ideal().Seconds())
	m := &r.slowdowns[s.workspace]
	m.sum += latency.Seconds() / s.ideal().Seconds()
	m.n++
}

// measures are the figures of one run.
type measures struct {
	mean          float64 // program latency, seconds
	p95           float64 // program latency, seconds
	ideal         float64 // mean ideal program latency, seconds
	recomputed    float64 // history tokens computed again, thousands
	prompt        float64 // prompt tokens, thousands
	worstSlowdown float64 // highest mean slowdown of a workspace that keeps its rate
	worstToOthers float64 // worstSlowdown divided by the mean of the other workspaces
	worstToCalm   float64 // worstSlowdown divided by the same workspace's in the undisturbed run
	refused       float64 // requests within the rate that found no target, of workspaces that keep their rate
	rateLimited   float64 // requests above the rate, of the same workspaces
	refusedExcess float64 // like refused, of the workspace that exceeds its rate
	busyFraction  float64 // fraction of the run in which the engines compute, averaged over the engines
}

// measure computes the measures of a run. calmResult is that of the undisturbed
// run with the same load, policy and seed.
func (s setup) measure(r, calmResult result) measures {
	m := measures{
		mean: average(r.latencies), p95: quantile(r.latencies, .95), ideal: average(r.ideals),
		recomputed: float64(r.recomputedTokens) / 1000, prompt: float64(r.promptTokens) / 1000,
		busyFraction: r.busyTime.Seconds() / r.elapsed.Seconds() / float64(s.site.engines),
	}
	worst := -1
	var others runningMean
	for w, x := range r.slowdowns {
		if s.disturbance == rateExceeded && w == 0 {
			m.refusedExcess += float64(r.refused[w])
			continue
		}
		m.refused += float64(r.refused[w])
		m.rateLimited += float64(r.rateLimited[w])
		if x.n == 0 {
			continue
		}
		others.sum += x.value()
		others.n++
		if worst < 0 || x.value() > r.slowdowns[worst].value() {
			worst = w
		}
	}
	if worst < 0 {
		return m
	}
	m.worstSlowdown = r.slowdowns[worst].value()
	m.worstToOthers = m.worstSlowdown / runningMean{others.sum - m.worstSlowdown, others.n - 1}.value()
	m.worstToCalm = m.worstSlowdown / calmResult.slowdowns[worst].value()
	return m
}

func average(values []float64) float64 {
	m := runningMean{n: len(values)}
	for _, x := range values {
		m.sum += x
	}
	return m.value()
}

// quantile returns the q-quantile by the nearest-rank method.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}

// deviation returns the sample standard deviation.
func deviation(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	center := average(values)
	sum := 0.0
	for _, x := range values {
		sum += (x - center) * (x - center)
	}
	return math.Sqrt(sum / float64(len(values)-1))
}
