package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/app/wait"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

const (
	// admitTimeout bounds one Admit request. It exceeds the time in which a keeper
	// decides by 100 ms for the network.
	admitTimeout = admitDecisionTimeout + 100*time.Millisecond
	// admitRetryInterval is the time between two rounds of Admit requests.
	admitRetryInterval = 25 * time.Millisecond
	// noKeeperRetryAfter is when callers should retry if no keeper decided within
	// SettleWait. Lost keepers are replaced within seconds.
	noKeeperRetryAfter = 800 * time.Millisecond
	// isolatedRetryAfter is when callers of an isolated host should retry. Another
	// host can serve them at once.
	isolatedRetryAfter = 20 * time.Millisecond
)

// Admit takes one token of the rate of a workspace from a keeper. It fails with a
// *model.Refusal of kind ErrRateLimited or ErrUnavailable, or with the error of
// ctx.
func (c *Client) Admit(ctx context.Context, id model.WorkspaceID) error {
	start := c.options.Clock.Now()
	for {
		err := c.admitOnce(ctx, id)
		switch {
		case err == nil || errors.Is(err, model.ErrRateLimited):
			return err
		case ctx.Err() != nil:
			return fmt.Errorf("wait for a keeper to check the rate of workspace %q: %w", id, ctx.Err())
		case c.Isolated():
			return c.refuseUndecided(id, err).Retry(isolatedRetryAfter)
		case c.options.Clock.Since(start) >= c.options.SettleWait:
			return c.refuseUndecided(id, err).Retry(noKeeperRetryAfter)
		}
		wait.For(ctx, c.options.Clock, admitRetryInterval)
	}
}

// refuseUndecided returns the refusal of a request on which no keeper decided.
func (c *Client) refuseUndecided(id model.WorkspaceID, err error) *model.Refusal {
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "the rate of workspace %q cannot be checked: %v: %s", id, err, c.describeKeepers())
}

// admitOnce asks the usable keepers in order until one decides.
func (c *Client) admitOnce(ctx context.Context, id model.WorkspaceID) error {
	lastErr := errNoKeeper
	for _, address := range c.UsableKeepers() {
		res, err := c.sendAdmit(ctx, address, id)
		switch {
		case err != nil:
			lastErr = err
			if ctx.Err() == nil {
				c.markUnresponsive(address)
			}
		case res.GetOutcome() == peerpb.AdmitResponse_GRANTED:
			return nil
		case res.GetOutcome() == peerpb.AdmitResponse_LIMITED:
			return model.NewRefusal(model.ErrRateLimited, model.RanNo, "rate of workspace %q exceeded", id).
				Retry(time.Duration(res.GetRetryAfterUs()) * time.Microsecond)
		}
	}
	return lastErr
}

func (c *Client) sendAdmit(ctx context.Context, address string, id model.WorkspaceID) (*peerpb.AdmitResponse, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.options.Clock, admitTimeout)
	defer cancel()
	r := &peerpb.AdmitRequest{Workspace: string(id)}
	if c.options.KnownLimit != nil {
		r.Known = c.options.KnownLimit(id)
	}
	return c.options.Peers.Admit(ctx, address, r)
}

// UsableKeepers returns the addresses of the usable keepers in order of preference.
func (c *Client) UsableKeepers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, m := range c.keepers {
		if c.usableLocked(m.PeerAddress) {
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

// markUnresponsive excludes a keeper until it answers a Follow request, so that only
// a few requests wait for a keeper that does not answer.
func (c *Client) markUnresponsive(address string) {
	c.mu.Lock()
	if k := c.contacts[address]; k != nil {
		k.setUnresponsive(true)
	}
	c.mu.Unlock()
	c.Wake()
}
