// Package bench measures how the cost of each role of a host grows with hosts,
// workspaces, programs and configuration changes. docs/CAPACITY.md holds the
// measured figures and the limits that follow from them.
package bench

import (
	"flag"
	"fmt"
	"math"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// full runs the tests that count calls at the sizes of docs/CAPACITY.md.
var full = flag.Bool("full", false, "run tests at the sizes of docs/CAPACITY.md")

// sample is what a series measures at one size. Either field may be zero.
type sample struct {
	value float64 // a size in the unit of the series
	run   func()  // an operation whose time is measured
}

// series is a quantity at several sizes.
type series struct {
	size   string // what varies
	unit   string // of sample.value; empty if there is no value to report
	points []int  // sizes at which the series is measured
	setup  func(tb testing.TB, n int) sample
}

// lineFit is the line y = Intercept + Slope x.
type lineFit struct {
	Intercept, Slope float64
	R2               float64 // part of the variance that the line explains
}

// fitLine returns the least-squares line through the points. It needs at least
// two different values of x.
func fitLine(x, y []float64) lineFit {
	n := float64(len(x))
	var mx, my, xx, xy, yy float64
	for i := range x {
		mx += x[i] / n
		my += y[i] / n
	}
	for i := range x {
		dx, dy := x[i]-mx, y[i]-my
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	f := lineFit{Slope: xy / xx}
	f.Intercept = my - f.Slope*mx
	f.R2 = 1
	if yy > 0 {
		f.R2 = xy * xy / (xx * yy)
	}
	return f
}

func (f lineFit) String() string {
	return fmt.Sprintf("%.5g + %.5g x, R2 %.4f", f.Intercept, f.Slope, f.R2)
}

// measure runs a series as a benchmark and prints the fitted lines.
func (s series) measure(b *testing.B) {
	var x, value, ns, cpu []float64
	for _, n := range s.points {
		b.Run(fmt.Sprintf("%s=%d", s.size, n), func(b *testing.B) {
			measured := s.setup(b, n)
			x = append(x, float64(n))
			if s.unit != "" {
				value = append(value, measured.value)
				defer func() { b.ReportMetric(measured.value, s.unit) }() // Loop resets metrics that are reported before it
			}
			if measured.run == nil {
				for b.Loop() {
					continue // only the value is measured
				}
				b.ReportMetric(0, "ns/op")
				return
			}
			b.ReportAllocs()
			var before time.Duration
			started := false
			for b.Loop() {
				if !started {
					before, started = processorTime(b), true
				}
				measured.run()
			}
			used := processorTime(b) - before
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/op")
			ns = append(ns, float64(b.Elapsed().Nanoseconds())/float64(b.N))
			cpu = append(cpu, float64(used.Nanoseconds())/float64(b.N))
		})
	}
	for _, f := range []struct {
		unit string
		y    []float64
	}{{s.unit, value}, {"ns/op", ns}, {"cpu-ns/op", cpu}} {
		if len(f.y) == len(x) && len(x) > 1 {
			fmt.Printf("FIT %s x=%s %s: %v\n", b.Name(), s.size, f.unit, fitLine(x, f.y))
		}
	}
}

// processorTime returns the user and system CPU time of this process.
func processorTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	assert.NilError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapOf returns the heap size of what build returns. It builds twice, because
// the first time also fills caches and pools.
func heapOf(build func() any) float64 {
	first := build()
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(build) // before includes the variables that build captured, so after must, too
	runtime.KeepAlive(first)
	runtime.KeepAlive(kept)
	return max(0, after-before)
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // frees objects that finalizers and pools kept alive during the first run
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// allSeries holds every series by name, so that the tests can run each of them.
var allSeries = map[string]series{}

func stacksInUse() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}

// register adds a series to allSeries.
func register(name string, s series) series {
	allSeries[name] = s
	return s
}

// Guards against series that no longer run, and against values in bytes that do
// not grow with the size of the series.
func TestEverySeriesRunsAndItsSizesGrow(t *testing.T) {
	for name, s := range allSeries {
		t.Run(name, func(t *testing.T) {
			var values []float64
			for _, n := range []int{s.points[0] / 4, s.points[0]} {
				measured := s.setup(t, max(n, 1))
				if measured.run != nil {
					measured.run()
				}
				values = append(values, measured.value)
			}
			// Heap sizes ("heap-B") are too noisy to compare at these sizes.
			if s.unit == "B" {
				assert.Assert(t, values[0] > 0 && values[1] > values[0], "the value does not grow with the size: %v", values)
			}
		})
	}
}

// Guards against a wrong fit. All figures of docs/CAPACITY.md are based on it.
func TestFitLineReturnsLeastSquares(t *testing.T) {
	tests := map[string]struct {
		x, y []float64
		want lineFit
	}{
		"exact line": {[]float64{1, 2, 4}, []float64{5, 7, 11}, lineFit{3, 2, 1}},
		"constant":   {[]float64{1, 2, 4}, []float64{5, 5, 5}, lineFit{5, 0, 1}},
		"scattered":  {[]float64{0, 1, 2}, []float64{0, 2, 1}, lineFit{0.5, 0.5, 0.25}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := fitLine(tt.x, tt.y)
			for _, d := range []float64{got.Intercept - tt.want.Intercept, got.Slope - tt.want.Slope, got.R2 - tt.want.R2} {
				assert.Assert(t, math.Abs(d) < 1e-12, "%v", got)
			}
		})
	}
}
