package host

import (
	"context"
	"errors"
	"time"

	"mimosarelay/app/wait"
	"mimosarelay/io/consul"
)

const (
	// lingerTime is how long a leaving host accepts calls: longer than callers
	// may keep the list of hosts.
	lingerTime = 6 * time.Second
	markRetry  = 500 * time.Millisecond
	idleCheck  = 50 * time.Millisecond
)

// drain shuts the host down gracefully. It leaves the membership first, so that
// others take over its programs, accepts calls for a while, and waits for the
// running ones.
func (h *Host) drain() error {
	h.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Caller.DrainTimeout)
	defer cancel()
	h.log.Info("drain started", "calls", h.streams.Count())
	h.announce(consul.Leaving)
	markErr := h.markLeaving(ctx)
	wait.For(ctx, h.clock, lingerTime)
	errs := []error{markErr, h.callerServer.Shutdown(ctx)}
	if markErr == nil {
		errs = append(errs, h.programs.Drain(ctx), h.fleet.Leave(ctx))
	} else {
		errs = append(errs, h.awaitForwarded(ctx))
	}
	h.unannounce()
	if err := errors.Join(errs...); err != nil {
		h.log.Error("drain incomplete", "calls", h.streams.Count(), "error", err)
		return err
	}
	h.log.Info("drain ended")
	return nil
}

// markLeaving tries until the membership says that this host is leaving. During
// an outage of the store nobody can take over its programs, so it serves on; but
// no longer than half of the drain timeout, the rest is for the running calls.
func (h *Host) markLeaving(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Caller.DrainTimeout/2)
	defer cancel()
	for {
		err := h.fleet.MarkLeaving(ctx)
		if err == nil {
			return nil
		}
		h.log.Warn("leaving is not recorded yet", "error", err)
		if !wait.For(ctx, h.clock, markRetry) {
			return err
		}
	}
}

// awaitForwarded waits for the calls that other hosts forwarded to this one.
func (h *Host) awaitForwarded(ctx context.Context) error {
	for h.relay.Forwarded() > 0 {
		if !wait.For(ctx, h.clock, idleCheck) {
			return ctx.Err()
		}
	}
	return nil
}
