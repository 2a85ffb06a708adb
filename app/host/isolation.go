package host

import (
	"context"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/io/consul"
)

const (
	// isolationLimit is how long open streams outlive the right to act. A host
	// without it cannot learn that a key was withdrawn, and another host may
	// run the same program. With the lease's lapse the sum stays within the
	// 3 s in which a withdrawn key must stop.
	isolationLimit = 250 * time.Millisecond
	isolationTick  = 100 * time.Millisecond
)

// watchIsolation ends open streams once this host may not act.
func (h *Host) watchIsolation(ctx context.Context) error {
	tick := h.clock.NewTicker(isolationTick)
	defer tick.Stop()
	allowed := h.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
		}
		now := h.clock.Now()
		if h.fleet.MayAct() {
			allowed = now
			continue
		}
		if now.Sub(allowed) < isolationLimit {
			continue
		}
		if n := h.streams.EndAll(model.ErrNoRight); n > 0 {
			h.log.Warn("streams ended, this host may not act", "streams", n)
		}
	}
}

// announce writes this host's state to the platform's host list, which is for
// the platform's tools; callers are told the membership.
func (h *Host) announce(state consul.HostState) {
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Platform.Timeout)
	defer cancel()
	self := h.self()
	err := h.documents.Register(ctx, consul.Host{Name: self.Host, Zone: self.Zone, Address: self.CallerAddress, State: state})
	if err != nil {
		h.log.Warn("host list not updated", "state", state, "error", err)
	}
}

func (h *Host) unannounce() {
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Platform.Timeout)
	defer cancel()
	if err := h.documents.Deregister(ctx, h.settings.Host.Name); err != nil {
		h.log.Warn("host list not updated", "error", err)
	}
}
