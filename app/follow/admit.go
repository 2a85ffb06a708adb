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
	// admitTimeout leaves a keeper admitWait to decide.
	admitTimeout = admitWait + 100*time.Millisecond
	// admitPause is the time between two rounds of questions.
	admitPause = 25 * time.Millisecond
	// settleRetry is the advice to callers if no keeper acted within
	// SettleWait; lost keepers are replaced within seconds.
	settleRetry = 800 * time.Millisecond
	// isolatedRetry is the advice to callers of a host that is cut off: another
	// host can serve them at once.
	isolatedRetry = 20 * time.Millisecond
)

// Admit takes one token of a workspace's rate at a keeper. It fails with a
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
			return fmt.Errorf("wait for rate of workspace %q: %w", id, ctx.Err())
		case c.Isolated():
			return c.undecided(id, err).Retry(isolatedRetry)
		case c.options.Clock.Since(start) >= c.options.SettleWait:
			return c.undecided(id, err).Retry(settleRetry)
		}
		wait.For(ctx, c.options.Clock, admitPause)
	}
}

func (c *Client) undecided(id model.WorkspaceID, err error) *model.Refusal {
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "the rate of workspace %q cannot be checked: %v: %s", id, err, c.describe())
}

// admitOnce asks the keepers that act until one decides.
func (c *Client) admitOnce(ctx context.Context, id model.WorkspaceID) error {
	last := errNoKeeper
	for _, address := range c.askable() {
		res, err := c.askAdmit(ctx, address, id)
		switch {
		case err != nil:
			last = err
			if ctx.Err() == nil {
				c.doubt(address)
			}
		case res.GetOutcome() == peerpb.AdmitResponse_GRANTED:
			return nil
		case res.GetOutcome() == peerpb.AdmitResponse_LIMITED:
			return model.NewRefusal(model.ErrRateLimited, model.RanNo, "rate of workspace %q exceeded", id).
				Retry(time.Duration(res.GetRetryAfterUs()) * time.Microsecond)
		}
	}
	return last
}

func (c *Client) askAdmit(ctx context.Context, address string, id model.WorkspaceID) (*peerpb.AdmitResponse, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.options.Clock, admitTimeout)
	defer cancel()
	return c.options.Peers.Admit(ctx, address, &peerpb.AdmitRequest{Workspace: string(id)})
}

// askable lists the keepers that act and answered recently.
func (c *Client) askable() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	var list []string
	for _, m := range c.keepers {
		if c.usable(m.PeerAddress, now) {
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

// doubt leaves a keeper out until it answers again, so that only a few requests
// wait for a machine that does not.
func (c *Client) doubt(address string) {
	c.mu.Lock()
	if k := c.contacts[address]; k != nil {
		k.failed = true
	}
	c.mu.Unlock()
	c.Wake()
}
