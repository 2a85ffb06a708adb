package loadboard_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/loadboard"
)

var start = time.Unix(1_800_000_000, 0)

func load(at time.Duration, running int) loadboard.Load {
	return loadboard.Load{At: start.Add(at), Running: running}
}

// Guards against an older report that replaces a newer one because it came later, and
// against a response that repeats what the host knows.
func TestNewestLoadIsKeptAndSentOnce(t *testing.T) {
	b := loadboard.New(start)
	now := start.Add(time.Second)
	b.Update(now, []loadboard.Report{{Key: 1, Load: load(900*time.Millisecond, 5)}, {Key: 2, Load: load(0, 1)}})
	b.Update(now, []loadboard.Report{{Key: 1, Load: load(600*time.Millisecond, 9)}})
	list, version := b.Since(now, 0)
	assert.Equal(t, len(list), 2)
	for _, r := range list {
		assert.Equal(t, r.Load.Running, map[loadboard.Key]int{1: 5, 2: 1}[r.Key])
	}
	list, same := b.Since(now, version)
	assert.Equal(t, len(list), 0)
	assert.Equal(t, same, version)
	b.Update(now, []loadboard.Report{{Key: 2, Load: load(time.Second, 7)}})
	list, _ = b.Since(now, version)
	assert.DeepEqual(t, list, []loadboard.Report{{Key: 2, Load: load(time.Second, 7)}})
}

// Guards against a host that gets nothing after the keeper restarted, because it knows a
// version of the earlier process.
func TestRestartedBoardSendsAll(t *testing.T) {
	b := loadboard.New(start)
	report := []loadboard.Report{{Key: 1, Load: load(0, 1)}}
	for range 100 {
		b.Update(start, report)
	}
	_, version := b.Since(start, 0)
	restarted := loadboard.New(start.Add(time.Second))
	restarted.Update(start.Add(time.Second), report)
	list, _ := restarted.Since(start.Add(time.Second), version)
	assert.Equal(t, len(list), 1)
}

// Guards against measurements that count for ever, and against figures that spoil a sum.
func TestSpeedIsSummedOverEightSeconds(t *testing.T) {
	b := loadboard.New(start)
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		b.Update(now, []loadboard.Report{{Key: 1, Speed: loadboard.Speed{Samples: 2, LogSum: 1}}})
		list, _ := b.Since(now, 0)
		assert.DeepEqual(t, list[0].Speed, loadboard.Speed{Samples: 2 * min(i+1, 8), LogSum: float64(min(i+1, 8))})
	}
	b.Update(start.Add(19*time.Second), []loadboard.Report{{Key: 1, Speed: loadboard.Speed{Samples: 3, LogSum: math.NaN()}}})
	list, _ := b.Since(start.Add(19*time.Second), 0)
	assert.Equal(t, list[0].Speed.Samples, 16)
	for name, x := range map[string]float64{"infinite": math.Inf(1), "huge": 1e300, "low": math.Inf(-1)} {
		t.Run(name, func(t *testing.T) {
			b := loadboard.New(start)
			b.Update(start, []loadboard.Report{{Key: 1, Speed: loadboard.Speed{Samples: 3, LogSum: x}}})
			list, _ := b.Since(start, 0)
			assert.Equal(t, math.Abs(list[0].Speed.LogSum), 3.0*loadboard.MaxRatio)
		})
	}
}

// Guards against hosts that fill the memory of a keeper with targets that don't exist.
func TestBoardIsBounded(t *testing.T) {
	b := loadboard.New(start)
	for i := range 20_000 {
		b.Update(start, []loadboard.Report{{Key: loadboard.Key(i), Load: load(0, 1)}})
	}
	assert.Equal(t, b.Len(), 4096)
	b.Update(start.Add(time.Minute), nil)
	assert.Equal(t, b.Len(), 0)
}

// Guards against a keeper that was away and is told what is long past.
func TestOutboxSumsUpAndDropsOldReports(t *testing.T) {
	var o loadboard.Outbox
	o.Add([]loadboard.Report{{Key: 1, Load: load(0, 1), Speed: loadboard.Speed{Samples: 1, LogSum: 1}}, {Key: 2, Load: load(0, 1)}})
	o.Add([]loadboard.Report{{Key: 1, Load: load(4*time.Second, 2), Speed: loadboard.Speed{Samples: 1, LogSum: 2}}})
	want := []loadboard.Report{{Key: 1, Load: load(4*time.Second, 2), Speed: loadboard.Speed{Samples: 2, LogSum: 3}}}
	assert.DeepEqual(t, o.Take(start.Add(4*time.Second)), want)
	assert.Equal(t, len(o.Take(start.Add(4*time.Second))), 0)
}
