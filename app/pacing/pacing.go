// Package pacing makes all hosts together keep the rates that targets state in their
// responses. A keeper decides for each target when the next request may be sent, and
// entry hosts ask it before each request to such a target.
package pacing

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"mimosarelay/app/relay"
	"mimosarelay/core/cold"
	"mimosarelay/core/model"
	"mimosarelay/core/pacing"
	"mimosarelay/io/peer/peerpb"
)

// Owner decides for the targets whose shards this keeper owns. It is safe for
// concurrent use.
type Owner struct {
	Clock clockwork.Clock
	// Shards restricts the decisions on cold targets to the shards for which this keeper
	// acts; nil for no restriction.
	Shards ShardOwnership

	mu        sync.Mutex // guards scheduler
	scheduler *pacing.Scheduler
}

// ShardOwnership reports for which shards this host acts.
type ShardOwnership interface {
	// ActsFor reports whether this host may act for a shard now.
	ActsFor(shard model.Shard) bool
}

// NewOwner returns an Owner without targets.
func NewOwner(clock clockwork.Clock) *Owner {
	return &Owner{Clock: clock, scheduler: pacing.NewScheduler()}
}

// HandlePace serves the RPC Pace.
func (o *Owner) HandlePace(_ context.Context, r *peerpb.PaceRequest) (*peerpb.PaceResponse, error) {
	if r.GetTarget() == "" {
		return nil, fmt.Errorf("pace request does not name its target: %w", model.ErrBadRequest)
	}
	id, rate, maxDelay := model.TargetID(r.GetTarget()), pacing.Rate(r.GetRate()), time.Duration(r.GetMaxDelayUs())*time.Microsecond
	if r.GetCold() && o.Shards != nil && !o.Shards.ActsFor(ShardOf(id)) {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "this keeper does not decide on cold target %q", id)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	take := o.scheduler.Take
	if r.GetCold() {
		take = o.scheduler.TakeCold
	}
	decision := take(o.Clock.Now(), id, rate, maxDelay)
	switch d := decision.(type) {
	case pacing.Granted:
		return &peerpb.PaceResponse{Granted: true, WaitUs: d.Delay.Microseconds()}, nil
	case pacing.Denied:
		return &peerpb.PaceResponse{WaitUs: d.RetryAfter.Microseconds()}, nil
	}
	return nil, fmt.Errorf("unknown decision %T", decision)
}

// Owners resolves the owner of a shard.
type Owners interface {
	Owner(shard model.Shard) (address string, err error)
}

// Peers sends requests to the owners. It is implemented by io/peer.
type Peers interface {
	Pace(ctx context.Context, address string, r *peerpb.PaceRequest) (*peerpb.PaceResponse, error)
}

// Client knows the rates that targets have stated to this host. It is safe for
// concurrent use.
type Client struct {
	owners Owners
	peers  Peers
	clock  clockwork.Clock
	log    *slog.Logger
	cold   *ColdTargets // nil if no target is ever cold

	mu     sync.Mutex // guards stated and turns
	stated *pacing.Stated
	turns  *pacing.Turns
}

var _ relay.Pacer = (*Client)(nil)

// NewClient returns a Client that knows no rates. cold is nil if no target is ever cold.
func NewClient(owners Owners, peers Peers, cold *ColdTargets, clock clockwork.Clock, log *slog.Logger) *Client {
	return &Client{owners: owners, peers: peers, cold: cold, clock: clock, log: log, stated: pacing.NewStated(), turns: pacing.NewTurns()}
}

const (
	// rpcTimeout bounds one request to an owner.
	rpcTimeout = 150 * time.Millisecond
	// noOwnerRetryDelay is the time for which a target gets no request of this host
	// after its owner gave no decision.
	noOwnerRetryDelay = 200 * time.Millisecond
)

// Observe implements relay.Pacer.
func (c *Client) Observe(id model.TargetID, rate pacing.Rate, stated bool, sentAt time.Time) {
	c.mu.Lock()
	before, wasStated := c.stated.Rate(id)
	c.stated.Observe(c.clock.Now(), id, rate, stated, sentAt)
	after, isStated := c.stated.Rate(id)
	c.mu.Unlock()
	if wasStated != isStated || before != after {
		c.log.Info("stated rate of a target changed", "target", id, "stated", isStated, "rate", after)
	}
}

// Take implements relay.Pacer.
func (c *Client) Take(ctx context.Context, id model.TargetID, maxDelay time.Duration) pacing.Decision {
	c.mu.Lock()
	rate, stated := c.stated.Rate(id)
	c.mu.Unlock()
	coldRate, isCold := c.cold.rate(id)
	switch {
	case !stated && !isCold:
		return pacing.Granted{}
	case isCold && !stated:
		rate = coldRate
	case isCold:
		rate = min(rate, coldRate)
	}
	decision := c.ask(ctx, id, &peerpb.PaceRequest{Target: string(id), Rate: float64(rate), MaxDelayUs: maxDelay.Microseconds(), Cold: isCold})
	if isCold {
		c.cold.count(decision)
	}
	if d, ok := decision.(pacing.Denied); ok {
		c.mu.Lock()
		d.RetryAfter = c.turns.Deny(c.clock.Now(), id, d.RetryAfter)
		c.mu.Unlock()
		return d
	}
	return decision
}

// ask asks the owner of a target for a decision. Without one, the request is denied.
func (c *Client) ask(ctx context.Context, id model.TargetID, r *peerpb.PaceRequest) pacing.Decision {
	noDecision := pacing.Denied{RetryAfter: noOwnerRetryDelay, Cold: r.GetCold()}
	if r.GetCold() && r.GetRate() <= 0 {
		return noDecision
	}
	address, err := c.owners.Owner(ShardOf(id))
	if err != nil {
		c.log.Warn("no keeper decides on the requests to a target", "target", id, "error", err)
		return noDecision
	}
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	asked := c.clock.Now()
	res, err := c.peers.Pace(ctx, address, r)
	if err != nil {
		c.log.Warn("keeper did not decide on a request to a target", "target", id, "keeper", address, "error", err)
		return noDecision
	}
	wait := time.Duration(res.GetWaitUs()) * time.Microsecond
	if !res.GetGranted() {
		return pacing.Denied{RetryAfter: wait, Cold: r.GetCold()}
	}
	granted := pacing.Granted{Delay: wait}
	if r.GetCold() {
		granted.Expires = asked.Add(wait + cold.GrantLifetime)
	}
	return granted
}

// Cold implements relay.Pacer.
func (c *Client) Cold(id model.TargetID) bool {
	_, isCold := c.cold.rate(id)
	return isCold
}

// ColdTargets implements relay.Pacer.
func (c *Client) ColdTargets() []model.TargetID { return c.cold.list() }

// Lost implements relay.Pacer.
func (c *Client) Lost(id model.TargetID, down bool) {
	if c.cold != nil {
		c.cold.Lost(id, down)
	}
}

// Retain removes what is known of the targets for which known returns false.
func (c *Client) Retain(known func(model.TargetID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stated.Retain(known)
	c.turns.Retain(known)
}

// ShardOf returns the shard of a target. Its owner decides when requests may be sent
// to the target.
func ShardOf(id model.TargetID) model.Shard {
	return model.Shard(xxhash.Sum64String(string(id)) % model.ShardCount)
}
