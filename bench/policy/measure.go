package main

import (
	"math"
	"slices"
	"time"

	"mimosarelay/core/model"
)

// result is what one run yields. Slices are indexed by workspace.
type result struct {
	latencies  []float64 // of programs, in seconds
	ideals     []float64 // of the same programs, in seconds
	slowdowns  []mean    // latency of programs by their ideal latency
	recomputed model.Tokens
	prompt     model.Tokens
	refused    []int // requests within the rate that found no target in time
	limited    []int // requests above the rate
	givenUp    []int // programs that were limited too often
	sent, done int   // calls
	busy       time.Duration
	elapsed    time.Duration
	peak       int // most calls at an engine
	blocks     int // most blocks in an engine
}

// mean is a running mean.
type mean struct {
	sum float64
	n   int
}

func (m mean) value() float64 {
	if m.n == 0 {
		return math.NaN()
	}
	return m.sum / float64(m.n)
}

func (r *result) init(workspaces int) {
	r.slowdowns = make([]mean, workspaces)
	r.refused = make([]int, workspaces)
	r.limited = make([]int, workspaces)
	r.givenUp = make([]int, workspaces)
}

func (r *result) add(s *script, latency time.Duration) {
	r.latencies = append(r.latencies, latency.Seconds())
	r.ideals = append(r.ideals, s.ideal().Seconds())
	m := &r.slowdowns[s.workspace]
	m.sum += latency.Seconds() / s.ideal().Seconds()
	m.n++
}

// measures are the figures of one run.
type measures struct {
	mean       float64 // program latency, seconds
	p95        float64 // program latency, seconds
	ideal      float64 // mean, seconds
	recomputed float64 // thousands of tokens
	prompt     float64 // thousands of tokens
	worst      float64 // slowdown of the worst-served workspace within its rate
	byOthers   float64 // worst by the mean of the other workspaces
	byCalm     float64 // worst by the same workspace's slowdown in the calm run
	refused    float64 // within the rate, of workspaces within their rate
	limited    float64 // above the rate, of the same workspaces
	excess     float64 // within the rate, of the workspace that exceeds its rate
	busy       float64 // part of the engines' time
}

// measure evaluates a run of a setup with the calm run of the same load, policy
// and seed.
func (s setup) measure(r, calmRun result) measures {
	m := measures{
		mean: average(r.latencies), p95: quantile(r.latencies, .95), ideal: average(r.ideals),
		recomputed: float64(r.recomputed) / 1000, prompt: float64(r.prompt) / 1000,
		busy: r.busy.Seconds() / r.elapsed.Seconds() / float64(s.site.engines),
	}
	worst := -1
	var others mean
	for w, x := range r.slowdowns {
		if s.disturbance == excess && w == 0 {
			m.excess += float64(r.refused[w])
			continue
		}
		m.refused += float64(r.refused[w])
		m.limited += float64(r.limited[w])
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
	m.worst = r.slowdowns[worst].value()
	m.byOthers = m.worst / mean{others.sum - m.worst, others.n - 1}.value()
	m.byCalm = m.worst / calmRun.slowdowns[worst].value()
	return m
}

func average(list []float64) float64 {
	m := mean{n: len(list)}
	for _, x := range list {
		m.sum += x
	}
	return m.value()
}

// quantile returns the value of the nearest rank.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}

// deviation returns the sample standard deviation.
func deviation(list []float64) float64 {
	if len(list) < 2 {
		return 0
	}
	center := average(list)
	sum := 0.0
	for _, x := range list {
		sum += (x - center) * (x - center)
	}
	return math.Sqrt(sum / float64(len(list)-1))
}
