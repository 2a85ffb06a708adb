package host

import (
	"context"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/io/consul"
)

const (
	// isolationGracePeriod is how long open streams continue after the host
	// has lost the right to act. Such a host cannot learn that a key was
	// withdrawn, and another host may run the same program. Together with the
	// time until the lease expires, it stays within the 3 s after which a
	// withdrawn key must no longer work.
	isolationGracePeriod   = 250 * time.Millisecond
	isolationCheckInterval = 100 * time.Millisecond
)

// watchIsolation ends open streams once this host has had no right to act for
// isolationGracePeriod.
func (h *Host) watchIsolation(ctx context.Context) error {
	tick := h.clock.NewTicker(isolationCheckInterval)
	defer tick.Stop()
	lastAllowed := h.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
		}
		now := h.clock.Now()
		if h.fleet.MayAct() {
			lastAllowed = now
			continue
		}
		if now.Sub(lastAllowed) < isolationGracePeriod {
			continue
		}
		if n := h.calls.EndAll(model.ErrNoRight); n > 0 {
			h.log.Warn("ended the open streams because this host has no right to act", "streams", n)
		}
	}
}

// registerInHostList writes the state of this host to the platform's host list,
// which is for the platform's tools. Callers get the list of hosts from the
// membership.
func (h *Host) registerInHostList(state consul.HostState) {
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Platform.Timeout)
	defer cancel()
	self := h.self()
	err := h.rootStore.Register(ctx, consul.Host{Name: self.Host, Zone: self.Zone, Address: self.CallerAddress, State: state})
	if err != nil {
		h.log.Warn("failed to register this host in the host list", "state", state, "error", err)
	}
}

func (h *Host) deregisterFromHostList() {
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Platform.Timeout)
	defer cancel()
	if err := h.rootStore.Deregister(ctx, h.settings.Host.Name); err != nil {
		h.log.Warn("failed to remove this host from the host list", "error", err)
	}
}
