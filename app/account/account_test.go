package account

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
	r := &Reporter{Account: a, Scope: scope, Clock: clock, Log: slog.New(slog.NewTextHandler(&log, nil))}
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

// Guards against a crowd at the port for other hosts that operators see only in metrics,
// and against a log line for each connection of it.
func TestRefusedPeersAreLogged(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	var log bytes.Buffer
	refused := int64(0)
	r := &Reporter{
		Account: memory.New(memory.Options{Capacity: 10, MaxHolders: 100, Clock: clock}), Scope: tally.NoopScope, Clock: clock,
		Log: slog.New(slog.NewTextHandler(&log, nil)), RefusedPeers: func() int64 { return refused },
	}
	for second, want := range []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2} {
		r.report()
		assert.Equal(t, strings.Count(log.String(), "\n"), want, "after %d s: %s", second, log.String())
		refused += 2
		clock.Advance(time.Second)
	}
	assert.Assert(t, strings.Contains(log.String(), "count=0 ") && strings.Contains(log.String(), "refused_peers=20"), log.String())
}

// Guards against a limit of connections that leaves no descriptors for targets and
// peers.
func TestAccountFollowsSettings(t *testing.T) {
	t.Parallel()
	assert.Assert(t, New(Options{}) == nil)
	const large = 1 << 40
	for name, c := range map[string]struct {
		memory                            memory.Bytes
		descriptors, maxConnections, want int
	}{
		"smallest hosts": {large, 3075, 0, 1437}, "not stated": {large, 0, 0, 1437}, "few descriptors": {large, 210, 0, 64},
		"small machine": {96 << 20, 3075, 0, 921}, "set": {large, 3075, 10, 10},
	} {
		a := New(Options{Memory: c.memory, Descriptors: c.descriptors, MaxConnections: c.maxConnections, Clock: clockwork.NewFakeClock()})
		for range c.want {
			_, err := a.Open(netip.Addr{}, 1, func(memory.Phase) {})
			assert.NilError(t, err, name)
		}
		_, err := a.Open(netip.Addr{}, 1, func(memory.Phase) {})
		assert.ErrorIs(t, err, memory.ErrFull, name)
	}
}
