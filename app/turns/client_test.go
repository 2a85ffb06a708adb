package turns

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/relay"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// remoteOwner is an Owners for which another host owns all shards.
type remoteOwner struct{}

func (remoteOwner) Owner(model.Shard) (string, error) { return "10.0.0.9:1", nil }
func (remoteOwner) Wake()                             {}

// unresponsivePeer is a Peers whose owner never responds.
type unresponsivePeer struct{ requests int }

func (s *unresponsivePeer) ReserveTurn(ctx context.Context, _ string, _ *peerpb.ReserveTurnRequest) (*peerpb.ReserveTurnResponse, error) {
	s.requests++
	<-ctx.Done()
	return nil, ctx.Err()
}

func (s *unresponsivePeer) EndTurn(ctx context.Context, _ string, _ *peerpb.EndTurnRequest) (*peerpb.EndTurnResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against requests that wait at an isolated host although another host could
// serve them, and against a refusal without a request to the owner.
func TestIsolatedHostRefusesTurnsAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		isolated      bool
		least, most   time.Duration // bounds of the time until the refusal
		shortestRetry bool
	}{
		"isolated":     {isolated: true, most: 150 * time.Millisecond, shortestRetry: true},
		"not isolated": {least: time.Second, most: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &unresponsivePeer{}
				client := Client{
					Owners: remoteOwner{}, Peers: peers, Isolated: func() bool { return c.isolated },
					Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler),
				}
				start := time.Now()
				_, err := client.Begin(t.Context(), model.ProgramKey{Workspace: "w", Program: "p"}, relay.Turn{Request: "r", Budget: 100, MaxTokens: 10})
				elapsed := time.Since(start)
				var refusal *model.Refusal
				assert.Assert(t, errors.As(err, &refusal), "%v", err)
				assert.ErrorIs(t, err, model.ErrUnavailable)
				assert.Equal(t, refusal.Ran, model.RanNo)
				assert.Assert(t, peers.requests > 0)
				assert.Assert(t, elapsed >= c.least && elapsed <= c.most, "%v", elapsed)
				assert.Equal(t, refusal.RetryAfter <= isolatedRetryAfter, c.shortestRetry)
			})
		})
	}
}
