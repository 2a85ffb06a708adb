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
	"mimosarelay/core/model"
	"mimosarelay/core/pacing"
	"mimosarelay/io/peer/peerpb"
)

// Owner decides for the targets whose shards this keeper owns. It is safe for
// concurrent use.
type Owner struct {
	Clock clockwork.Clock

	mu        sync.Mutex // guards scheduler
	scheduler *pacing.Scheduler
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
	o.mu.Lock()
	defer o.mu.Unlock()
	decision := o.scheduler.Take(o.Clock.Now(), model.TargetID(r.GetTarget()), pacing.Rate(r.GetRate()), time.Duration(r.GetMaxDelayUs())*time.Microsecond)
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

	mu     sync.Mutex // guards stated
	stated *pacing.Stated
}

var _ relay.Pacer = (*Client)(nil)

// NewClient returns a Client that knows no rates.
func NewClient(owners Owners, peers Peers, clock clockwork.Clock, log *slog.Logger) *Client {
	return &Client{owners: owners, peers: peers, clock: clock, log: log, stated: pacing.NewStated()}
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
	if !stated {
		return pacing.Granted{}
	}
	address, err := c.owners.Owner(ShardOf(id))
	if err != nil {
		c.log.Warn("no keeper decides on the requests to a target", "target", id, "error", err)
		return pacing.Denied{RetryAfter: noOwnerRetryDelay}
	}
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	res, err := c.peers.Pace(ctx, address, &peerpb.PaceRequest{Target: string(id), Rate: float64(rate), MaxDelayUs: maxDelay.Microseconds()})
	if err != nil {
		c.log.Warn("keeper did not decide on a request to a target", "target", id, "keeper", address, "error", err)
		return pacing.Denied{RetryAfter: noOwnerRetryDelay}
	}
	wait := time.Duration(res.GetWaitUs()) * time.Microsecond
	if res.GetGranted() {
		return pacing.Granted{Delay: wait}
	}
	return pacing.Denied{RetryAfter: wait}
}

// Retain removes the rates of the targets for which known returns false.
func (c *Client) Retain(known func(model.TargetID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stated.Retain(known)
}

// ShardOf returns the shard of a target. Its owner decides when requests may be sent
// to the target.
func ShardOf(id model.TargetID) model.Shard {
	return model.Shard(xxhash.Sum64String(string(id)) % model.ShardCount)
}
