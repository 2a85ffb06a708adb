package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
)

// oneMinutePlan has all disturbances and policies of one site, and is short
// enough for a test.
func oneMinutePlan() plan {
	return plan{sites: sites[:1], loads: []int{goalLoad}, seeds: 2, arrivalPeriod: time.Minute}
}

// printTables runs a plan and returns all its output.
func printTables(t *testing.T, p plan) (string, []row) {
	t.Helper()
	rows, err := p.runAll()
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, writeTable(&out, rows))
	assert.NilError(t, writeGoals(&out, rows))
	assert.NilError(t, writeCSV(&out, rows))
	return out.String(), rows
}

// Guards against figures that depend on map order, on real time or on the order
// in which runs end, and against seeds that have no effect.
func TestSameFlagsPrintSameTable(t *testing.T) {
	first, rows := printTables(t, oneMinutePlan())
	second, _ := printTables(t, oneMinutePlan())
	assert.Equal(t, first, second)
	for _, x := range rows {
		assert.Assert(t, x.measures[0].mean != x.measures[1].mean, "%s: both seeds gave the same run", x.setup.policy.name)
	}
}

// Guards against engines that exceed their bound of calls or blocks, calls that
// never end, and programs whose calls overlap or run out of order, which
// simulate reports as an error.
func TestAllCallsEndWithinEngineBounds(t *testing.T) {
	for _, s := range sites {
		d := s.capacity()
		for _, x := range disturbances {
			for _, p := range policies[:2] {
				t.Run(strings.Join([]string{s.name, string(x), p.name}, "/"), func(t *testing.T) {
					r, err := simulate(setup{
						site: s, demand: d, load: 110, disturbance: x, policy: p, seed: 3, arrivalPeriod: time.Minute,
					})
					assert.NilError(t, err)
					assert.Equal(t, r.sent, r.done, "calls sent and ended")
					assert.Assert(t, r.sent > 1000, "only %d calls", r.sent)
					assert.Assert(t, r.peakCalls > 1 && r.peakCalls <= maxInFlight, "%d calls at an engine", r.peakCalls)
					assert.Assert(t, r.peakBlocks <= cacheBlocks, "%d blocks in an engine", r.peakBlocks)
				})
			}
		}
	}
}

// Guards against a cache that evicts although there is space, keeps more blocks
// than fit, or evicts the start of a prefix before its end.
func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var q eventQueue
	e := newEngine("e", 0, &q)
	call := func(id uint64, promptBlocks, outputBlocks int) (cached int) {
		s := &sequence{script: &script{id: id}, prompt: blockTokens * model.Tokens(promptBlocks), output: blockTokens * model.Tokens(outputBlocks)}
		ended := false
		s.done = func(_ *sequence, failed bool) {
			assert.Assert(t, !failed)
			ended = true
		}
		e.submit(s)
		for !ended {
			assert.Assert(t, q.runNext())
		}
		return int(s.cached / blockTokens)
	}
	assert.Equal(t, call(1, 10, 1), 0)
	assert.Equal(t, call(1, 12, 1), 11)
	for id := uint64(2); len(e.cache.byHash)+100 <= cacheBlocks; id++ {
		call(id, 99, 1)
	}
	free := cacheBlocks - len(e.cache.byHash)
	call(1000, free+4, 1) // evicts the last 5 blocks of program 1
	assert.Equal(t, call(1, 14, 1), 8)
}

// Guards against invalid flags that are accepted.
func TestInvalidFlagsAreRejected(t *testing.T) {
	tests := map[string][]string{
		"--seeds is 0":       {"--seeds", "0"},
		"--load has 0":       {"--load", "85,0"},
		"\"--load\" flag":    {"--load", ""},
		"--site \"nowhere\"": {"--site", "nowhere"},
	}
	for want, args := range tests {
		t.Run(want, func(t *testing.T) {
			c := command()
			c.SetArgs(args)
			c.SetErr(&bytes.Buffer{})
			assert.ErrorContains(t, c.Execute(), want)
		})
	}
}
