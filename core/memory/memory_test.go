package memory_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/memory"
)

const capacity = 1000

func newAccount(clock clockwork.Clock) *memory.Account {
	return memory.New(memory.Options{Capacity: capacity, MaxHolders: 8, Clock: clock})
}

func source(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}) }

// peer is a holder as the test sees it.
type peer struct {
	holder *memory.Holder
	phase  memory.Phase
	held   [4]memory.Bytes
	lost   bool
}

// Guards against an account that is negative, above its capacity or not empty after
// all holders have closed, and against an evicted complete request.
func TestAccountHoldsWhatIsReserved(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		a := newAccount(clock)
		var peers []*peer
		check := func() {
			var sum, leaving memory.Bytes
			for _, p := range peers {
				for _, n := range p.held {
					sum += n
					if p.lost {
						leaving += n
					}
				}
				assert.Assert(t, !p.lost || p.phase != memory.Running)
			}
			s := a.Stats()
			assert.Equal(t, s.Held, sum)
			assert.Assert(t, s.Held >= 0 && s.Held <= capacity)
			assert.Equal(t, s.Holders, len(peers))
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if len(peers) == 0 || rapid.IntRange(0, 5).Draw(t, "open") == 0 {
				p := &peer{}
				n := memory.Bytes(rapid.IntRange(1, 300).Draw(t, "n"))
				var err error
				if p.holder, err = a.Open(source(rapid.IntRange(1, 3).Draw(t, "source")), n, func(memory.Phase) { p.lost = true }); err == nil {
					p.held[memory.Connections] = n
					peers = append(peers, p)
				}
				check()
				continue
			}
			i := rapid.IntRange(0, len(peers)-1).Draw(t, "peer")
			p := peers[i]
			k := memory.Kind(rapid.IntRange(0, 3).Draw(t, "kind"))
			n := memory.Bytes(rapid.IntRange(0, 600).Draw(t, "n"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if p.holder.Reserve(k, n) == nil {
					p.held[k] += n
				}
			case 1:
				p.holder.Release(k, n)
				p.held[k] -= min(n, p.held[k])
			case 2:
				p.phase = memory.Phase(rapid.IntRange(0, 3).Draw(t, "phase"))
				if p.holder.SetPhase(p.phase); p.phase == memory.Running {
					p.lost = false
				}
			case 3:
				p.holder.Progress(int(n) * 50)
			case 4:
				p.holder.Close()
				p.holder.Close() // has no effect
				peers = append(peers[:i], peers[i+1:]...)
			}
			check()
		}
		for _, p := range peers {
			p.holder.Close()
		}
		assert.Equal(t, a.Stats().Held, memory.Bytes(0))
	})
}

// Guards against an eviction of ordinary callers while others hold memory without
// progress.
func TestEvictionOrder(t *testing.T) {
	t.Parallel()
	type caller struct {
		source, held int
		phase        memory.Phase
		stalledFor   time.Duration
		trickles     bool // sends a byte now and then
	}
	for name, c := range map[string]struct {
		callers []caller
		by      memory.Phase // phase of the holder that needs memory
		want    int          // index of the evicted caller, or -1
	}{
		"longest stall of equal size":    {[]caller{{1, 300, memory.Receiving, 2 * time.Second, false}, {1, 300, memory.Receiving, 5 * time.Second, false}}, memory.Receiving, 1},
		"largest of equal stall":         {[]caller{{1, 500, memory.Receiving, 3 * time.Second, false}, {1, 300, memory.Receiving, 3 * time.Second, false}}, memory.Receiving, 0},
		"no caller with progress":        {[]caller{{1, 500, memory.Receiving, 0, false}, {1, 300, memory.Receiving, 0, false}}, memory.Receiving, -1},
		"sender for a complete request":  {[]caller{{1, 500, memory.Answering, 0, false}, {1, 300, memory.Receiving, 0, false}}, memory.Running, 1},
		"no complete request":            {[]caller{{1, 500, memory.Running, 9 * time.Second, false}, {1, 300, memory.Receiving, 2 * time.Second, false}}, memory.Running, 1},
		"occasional byte is no progress": {[]caller{{1, 500, memory.Receiving, 5 * time.Second, true}, {1, 300, memory.Receiving, 0, false}}, memory.Receiving, 0},
		"source above its share first":   {[]caller{{1, 200, memory.Receiving, 9 * time.Second, false}, {2, 450, memory.Receiving, 2 * time.Second, false}}, memory.Receiving, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			a := newAccount(clock)
			evicted := -1
			begin := clock.Now()
			open := make([]*memory.Holder, len(c.callers))
			for at := 10 * time.Second; at >= 0; at -= 500 * time.Millisecond {
				for i, p := range c.callers {
					switch {
					case p.stalledFor == at || open[i] == nil && at == 0:
						h, err := a.Open(source(p.source), memory.Bytes(p.held), func(memory.Phase) { evicted = i })
						assert.NilError(t, err)
						h.SetPhase(p.phase)
						open[i] = h
					case open[i] != nil && p.trickles:
						open[i].Progress(1)
					}
				}
				clock.Advance(500 * time.Millisecond)
			}
			assert.Assert(t, clock.Since(begin) > 0)
			h, err := a.Open(source(9), 1, func(memory.Phase) {})
			assert.NilError(t, err)
			h.SetPhase(c.by)
			h.Progress(1 << 20)
			assert.ErrorIs(t, h.Reserve(memory.Bodies, capacity-100-a.Stats().Held+101), memory.ErrFull)
			assert.Equal(t, evicted, c.want)
		})
	}
}

// Guards against a small host that cannot hold one body of the usual limit, and
// against an account that leaves no room for the collector.
func TestCapacityFollowsMachine(t *testing.T) {
	t.Parallel()
	const mb = memory.Bytes(1 << 20)
	for _, machine := range []memory.Bytes{64 * mb, 96 * mb, 112 * mb, 144 * mb, 1024 * mb} {
		got := memory.CapacityFor(machine)
		assert.Assert(t, got >= 8*mb)
		assert.Assert(t, got <= memory.Limit(machine) && memory.Limit(machine) < machine, "%d", machine)
	}
}
