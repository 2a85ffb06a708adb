package memory_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/core/memory"
)

// Guards against a stream that loses its connection because its target sends nothing
// for a while, and against callers that keep their memory although they take nothing,
// or a few bytes now and then. The load is a full account and a complete request.
func TestOnlyCallersThatDoNotReadAreEvicted(t *testing.T) {
	const second = time.Second
	write := func(h *memory.Holder, clock *clockwork.FakeClock, n int, took time.Duration) {
		h.BeginWrite()
		clock.Advance(took)
		h.EndWrite(n)
	}
	for name, c := range map[string]struct {
		answer  func(h *memory.Holder, clock *clockwork.FakeClock)
		evicted bool
	}{
		"waits for its target": {func(_ *memory.Holder, clock *clockwork.FakeClock) { clock.Advance(60 * second) }, false},
		"takes each event at once": {func(h *memory.Holder, clock *clockwork.FakeClock) {
			for range 20 {
				clock.Advance(second / 4)
				write(h, clock, 100, time.Millisecond)
			}
		}, false},
		"takes nothing": {func(h *memory.Holder, clock *clockwork.FakeClock) {
			h.BeginWrite()
			clock.Advance(2 * second)
		}, true},
		"takes nothing after a wait": {func(h *memory.Holder, clock *clockwork.FakeClock) {
			clock.Advance(60 * second)
			h.BeginWrite()
			clock.Advance(2 * second)
		}, true},
		"has just got bytes after a wait": {func(h *memory.Holder, clock *clockwork.FakeClock) {
			clock.Advance(60 * second)
			h.BeginWrite()
			clock.Advance(second / 2)
		}, false},
		"takes a few bytes now and then": {func(h *memory.Holder, clock *clockwork.FakeClock) {
			for range 20 {
				write(h, clock, 100, second/2)
			}
		}, true},
		"takes much": {func(h *memory.Holder, clock *clockwork.FakeClock) {
			for range 20 {
				write(h, clock, 32<<10, second/2)
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			a := memory.New(memory.Options{Capacity: 100, MaxHolders: 10, Clock: clock})
			evicted := false
			answering, err := a.Open(netip.Addr{}, 60, func(memory.Phase) { evicted = true })
			assert.NilError(t, err)
			answering.SetPhase(memory.Answering)
			c.answer(answering, clock)
			request, err := a.Open(netip.Addr{}, 10, func(memory.Phase) {})
			assert.NilError(t, err)
			request.SetPhase(memory.Running)
			assert.ErrorIs(t, request.Reserve(memory.Answers, 60), memory.ErrFull)
			assert.Equal(t, evicted, c.evicted)
		})
	}
}
