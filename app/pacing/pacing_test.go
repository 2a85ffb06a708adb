package pacing_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/pacing"
	"mimosarelay/core/model"
	core "mimosarelay/core/pacing"
	"mimosarelay/io/peer/peerpb"
)

// ownerPeers connects clients to one owner, which may be lost.
type ownerPeers struct {
	owner *pacing.Owner
	lost  bool
	calls int
}

func (p *ownerPeers) Owner(model.Shard) (string, error) {
	if p.lost {
		return "", model.ErrUnavailable
	}
	return "owner", nil
}

func (p *ownerPeers) Pace(ctx context.Context, _ string, r *peerpb.PaceRequest) (*peerpb.PaceResponse, error) {
	p.calls++
	return p.owner.HandlePace(ctx, r)
}

// Guards against hosts that each keep a stated rate for themselves, and against undecided requests.
func TestHostsShareStatedRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	peers := &ownerPeers{owner: pacing.NewOwner(clock)}
	var clients []*pacing.Client
	for range 4 {
		clients = append(clients, pacing.NewClient(peers, peers, clock, slog.New(slog.DiscardHandler)))
	}
	take := func(c *pacing.Client) bool {
		_, granted := c.Take(t.Context(), "t", 0).(core.Granted)
		return granted
	}
	for _, c := range clients {
		assert.Assert(t, take(c))
	}
	assert.Equal(t, peers.calls, 0)
	granted := 0
	for range 100 { // 10 s
		for _, c := range clients {
			c.Observe("t", 3, true, clock.Now())
			if take(c) {
				granted++
			}
		}
		clock.Advance(100 * time.Millisecond)
	}
	assert.Assert(t, granted >= 27 && granted <= 33, "%d", granted)
	peers.lost = true
	clock.Advance(time.Minute)
	assert.Assert(t, !take(clients[0]))
}

// Guards against a schedule for a target without a name.
func TestPaceNeedsTarget(t *testing.T) {
	_, err := pacing.NewOwner(clockwork.NewFakeClock()).HandlePace(t.Context(), &peerpb.PaceRequest{Rate: 1})
	assert.ErrorIs(t, err, model.ErrBadRequest)
}
