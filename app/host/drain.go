package host

import (
	"context"
	"errors"
	"time"

	"mimosarelay/app/wait"
	"mimosarelay/io/consul"
)

const (
	// leavingGracePeriod is how long a leaving host still accepts calls. It is
	// longer than callers may cache the list of hosts.
	leavingGracePeriod       = 6 * time.Second
	markLeavingRetryInterval = 500 * time.Millisecond
	forwardedPollInterval    = 50 * time.Millisecond
)

// drain shuts the host down gracefully. It marks the host as leaving, so that
// other hosts take over its programs, keeps accepting calls for
// leavingGracePeriod and waits for the running calls.
func (h *Host) drain() error {
	h.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Caller.DrainTimeout)
	defer cancel()
	h.log.Info("drain started", "calls", h.calls.Count())
	h.registerInHostList(consul.Leaving)
	markErr := h.markLeaving(ctx)
	wait.For(ctx, h.clock, leavingGracePeriod)
	errs := []error{markErr, h.callerServer.Shutdown(ctx)}
	if markErr == nil {
		errs = append(errs, h.programs.Drain(ctx), h.fleet.Leave(ctx))
	} else {
		errs = append(errs, h.waitForForwardedCalls(ctx))
	}
	h.deregisterFromHostList()
	if err := errors.Join(errs...); err != nil {
		h.log.Error("drain incomplete", "calls", h.calls.Count(), "error", err)
		return err
	}
	h.log.Info("drain ended")
	return nil
}

// markLeaving retries until the membership shows this host as leaving. During an
// outage of the store no host can take over its programs, so it keeps serving,
// but for at most half of the drain timeout: the rest is left for the running
// calls.
func (h *Host) markLeaving(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Caller.DrainTimeout/2)
	defer cancel()
	for {
		err := h.fleet.MarkLeaving(ctx)
		if err == nil {
			return nil
		}
		h.log.Warn("failed to mark this host as leaving", "error", err)
		if !wait.For(ctx, h.clock, markLeavingRetryInterval) {
			return err
		}
	}
}

// waitForForwardedCalls waits until the calls that other hosts forwarded to this
// host have ended.
func (h *Host) waitForForwardedCalls(ctx context.Context) error {
	for h.relay.Forwarded() > 0 {
		if !wait.For(ctx, h.clock, forwardedPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}
