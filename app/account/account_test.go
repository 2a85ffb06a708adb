package entry

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"mimosarelay/core/memory"
)

// Guards against a host that closes connections for memory without telling its
// operators, and against a log line for each of them.
func TestEvictionsAreReported(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	a := memory.New(memory.Options{Capacity: 10, MaxHolders: 100, Clock: clock})
	scope := tally.NewTestScope("", nil)
	var log bytes.Buffer
	r := &memoryReporter{account: a, scope: scope, clock: clock, log: slog.New(slog.NewTextHandler(&log, nil))}
	for range 5 {
		h, err := a.Open(netip.Addr{}, 10, func(memory.Phase) {})
		assert.NilError(t, err)
		clock.Advance(1500 * time.Millisecond) // longer than a stall
		_, err = a.Open(netip.Addr{}, 10, func(memory.Phase) {})
		assert.ErrorIs(t, err, memory.ErrFull)
		h.Close()
		r.report()
	}
	assert.Equal(t, scope.Snapshot().Counters()["evicted+phase=idle"].Value(), int64(5))
	assert.Equal(t, strings.Count(log.String(), "\n"), 1, log.String())
}

// Guards against a limit of connections that leaves no descriptors for targets and
// peers.
func TestAccountFollowsSettings(t *testing.T) {
	t.Parallel()
	assert.Assert(t, newAccount(Options{}) == nil)
	for name, c := range map[string]struct{ descriptors, want int }{
		"smallest hosts": {3075, 1437}, "not stated": {0, 1437}, "few": {210, 64},
	} {
		a := newAccount(Options{Memory: 1 << 40, Descriptors: c.descriptors, Clock: clockwork.NewFakeClock()})
		for range c.want {
			_, err := a.Open(netip.Addr{}, 1, func(memory.Phase) {})
			assert.NilError(t, err, name)
		}
		_, err := a.Open(netip.Addr{}, 1, func(memory.Phase) {})
		assert.ErrorIs(t, err, memory.ErrFull, name)
	}
}
