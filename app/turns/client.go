package turns

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/app/relay"
	"mimosarelay/app/wait"
	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/core/turn"
	"mimosarelay/io/peer/peerpb"
)

// Owners finds the owner of a shard.
type Owners interface {
	Owner(shard model.Shard) (address string, err error)
	// Wake looks for a newer membership soon.
	Wake()
}

// Peers reaches the owners.
type Peers interface {
	ReserveTurn(ctx context.Context, address string, r *peerpb.ReserveTurnRequest) (*peerpb.ReserveTurnResponse, error)
	EndTurn(ctx context.Context, address string, r *peerpb.EndTurnRequest) (*peerpb.EndTurnResponse, error)
}

// Client reserves the turns of requests that this host serves.
type Client struct {
	Owners Owners
	Peers  Peers
	// Isolated reports whether this host is cut off from most others; nil means
	// never.
	Isolated func() bool
	Clock    clockwork.Clock
	Log      *slog.Logger
}

var _ relay.Turns = (*Client)(nil)

const (
	// reserveWait bounds the search for an owner that decides. It is shorter
	// than the time in which callers give up on a host.
	reserveTimeout = 1500 * time.Millisecond
	// reservePause is the time between two questions.
	reserveInterval = 50 * time.Millisecond
	// askTimeout bounds one question. An owner waits for its record that long.
	rpcTimeout = 900 * time.Millisecond
	// reserveRetry is the advice to callers whose program has no owner.
	noOwnerRetryAfter = 800 * time.Millisecond
	// isolatedTimeout bounds one question of a host that is cut off, whose
	// callers another host can serve at once, after isolatedRetry.
	isolatedRPCTimeout = 100 * time.Millisecond
	isolatedRetryAfter = 20 * time.Millisecond
	// endTries bounds the reports of an ended turn. A turn whose end is not
	// reported counts in full.
	maxEndAttempts   = 3
	endRetryInterval = 200 * time.Millisecond
)

// Begin implements relay.Turns.
func (c *Client) Begin(ctx context.Context, key model.ProgramKey, t relay.Turn) (relay.TurnLease, error) {
	r := turn.Reservation{Program: key, Turn: t.Request, Budget: t.Budget, Max: t.MaxTokens, Deadline: t.Deadline}
	start := c.Clock.Now()
	for {
		address, err := c.reserve(ctx, r)
		if err == nil {
			return &lease{client: c, key: key, id: t.Request, address: address}, nil
		}
		if errors.Is(err, model.ErrBudget) {
			return nil, model.NewRefusal(model.ErrBudget, model.RanNo, "the budget of %d tokens does not hold a turn of %d", t.Budget, t.MaxTokens)
		}
		if c.isolated() && !errors.Is(err, ErrNotOwner) {
			return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "this host is cut off from the owner of the program: %v", err).Retry(isolatedRetryAfter)
		}
		if ctx.Err() != nil || c.Clock.Since(start) > reserveTimeout {
			return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the program's budget cannot be checked: %v", err).Retry(noOwnerRetryAfter)
		}
		c.Owners.Wake()
		wait.For(ctx, c.Clock, reserveInterval)
	}
}

func (c *Client) isolated() bool { return c.Isolated != nil && c.Isolated() }

// reserve asks the owner and returns its address.
func (c *Client) reserve(ctx context.Context, r turn.Reservation) (address string, err error) {
	address, err = c.Owners.Owner(program.ShardOf(r.Program))
	if err != nil {
		return "", err
	}
	timeout := rpcTimeout
	if c.isolated() {
		timeout = isolatedRPCTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := c.Peers.ReserveTurn(ctx, address, &peerpb.ReserveTurnRequest{
		Workspace: string(r.Program.Workspace), Program: string(r.Program.Program), Request: string(r.Turn),
		Budget: int64(r.Budget), MaxTokens: int64(r.Max), LeftMs: r.Deadline.Sub(c.Clock.Now()).Milliseconds(),
	})
	switch {
	case err != nil:
		return "", err
	case res.GetOutcome() == peerpb.ReserveTurnResponse_GRANTED:
		return address, nil
	case res.GetOutcome() == peerpb.ReserveTurnResponse_EXHAUSTED:
		return "", model.ErrBudget
	}
	return "", ErrNotOwner
}

// lease implements relay.TurnLease.
type lease struct {
	client  *Client
	key     model.ProgramKey
	id      model.RequestID
	address string // of the owner
}

// End implements relay.TurnLease. It does not wait for the owner.
func (l *lease) End(used model.Tokens) {
	go l.reportEnd(used)
}

func (l *lease) reportEnd(used model.Tokens) {
	m := &peerpb.EndTurnRequest{
		Workspace: string(l.key.Workspace), Program: string(l.key.Program), Request: string(l.id), Used: int64(used),
	}
	var err error
	for range maxEndAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
		_, err = l.client.Peers.EndTurn(ctx, l.address, m)
		cancel()
		if err == nil {
			return
		}
		l.client.Clock.Sleep(endRetryInterval)
	}
	l.client.Log.Warn("end of a turn not reported", "request", l.id, "program", l.key.Program, "used", used, "error", err)
}
