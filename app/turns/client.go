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

// Owners resolves the owner of a shard.
type Owners interface {
	// Owner returns the peer address of the host that owns a shard.
	Owner(shard model.Shard) (address string, err error)
	// Wake requests an early check for a newer membership.
	Wake()
}

// Peers sends requests to the owners. It is implemented by io/peer.
type Peers interface {
	ReserveTurn(ctx context.Context, address string, r *peerpb.ReserveTurnRequest) (*peerpb.ReserveTurnResponse, error)
	EndTurn(ctx context.Context, address string, r *peerpb.EndTurnRequest) (*peerpb.EndTurnResponse, error)
}

// Client reserves the turns of the requests that this host serves with the owners
// of their programs.
type Client struct {
	Owners Owners
	Peers  Peers
	// Isolated reports whether this host does not reach most others; nil means
	// never.
	Isolated func() bool
	Clock    clockwork.Clock
	Log      *slog.Logger
}

var _ relay.Turns = (*Client)(nil)

const (
	// reserveTimeout bounds the attempts to get a decision from an owner. It is
	// shorter than the time after which callers give up on a host.
	reserveTimeout = 1500 * time.Millisecond
	// reserveInterval is the time between two attempts.
	reserveInterval = 50 * time.Millisecond
	// rpcTimeout bounds one request to an owner. It is longer than the 800 ms of
	// OwnerOptions.RecordTimeout, for which an owner waits until a turn is
	// recorded.
	rpcTimeout = 900 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After for programs whose owner gave no
	// decision.
	noOwnerRetryAfter = 800 * time.Millisecond
	// isolatedRPCTimeout bounds one request of an isolated host, and
	// isolatedRetryAfter is the Retry-After of such a host. Both are short,
	// because another host can serve the caller at once.
	isolatedRPCTimeout = 100 * time.Millisecond
	isolatedRetryAfter = 20 * time.Millisecond
	// maxEndAttempts bounds the attempts to report the end of a turn. A turn
	// whose end is not reported is settled with all the tokens that it reserved.
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
			return nil, model.NewRefusal(model.ErrBudget, model.RanNo, "the rest of the program's budget of %d tokens does not cover a turn of up to %d tokens", t.Budget, t.MaxTokens)
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

// reserve requests a reservation from the owner and returns the owner's address.
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

// lease is a reserved turn. It implements relay.TurnLease.
type lease struct {
	client  *Client
	key     model.ProgramKey
	id      model.RequestID
	address string // of the owner
}

// End implements relay.TurnLease. It reports the end to the owner in the
// background.
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
	l.client.Log.Warn("failed to report the end of a turn to the owner of its program", "request", l.id, "program", l.key.Program, "used", used, "error", err)
}
