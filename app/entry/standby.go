package entry

import (
	"context"
	"errors"
	"slices"

	"mimosarelay/app/conversations"
	"mimosarelay/app/fleet"
	"mimosarelay/core/store"
)

// errDiskInUse ends the search for copies on the disk at the first one.
var errDiskInUse = errors.New("the disk holds copies of budget records")

// standbyOptions returns nil if this host must join. A host whose disk holds copies
// of budget records joins, because only members are asked for them.
func (h *Host) standbyOptions() *fleet.StandbyOptions {
	o := h.options
	if !o.Standby {
		return nil
	}
	if o.Disk != nil {
		if err := o.Disk.Load(func([]byte) error { return errDiskInUse }); err != nil {
			h.log.Info("host joins the fleet although it may not be needed", "reason", err)
			return nil
		}
	}
	// The list of disks has this one if it may hold turns that other disks lack.
	listed := conversations.RegistryPrefix + string(o.Host)
	return &fleet.StandbyOptions{
		Losses: o.losses(),
		JoinAtOnce: func(entries []store.Entry) bool {
			return slices.ContainsFunc(entries, func(e store.Entry) bool { return e.Key == listed })
		},
	}
}

// losses returns how many keepers may be lost at once.
func (o Options) losses() int { return max(0, o.TurnCopies-1) }

// awaitJoined returns true when this host has joined the fleet or need not wait for
// it, and false if ctx ends before. A standby runs nothing else, so that it costs
// little.
func (k *keeper) awaitJoined(ctx context.Context) bool {
	select {
	case <-k.fleet.Joined():
		return true
	case <-ctx.Done():
		return false
	}
}
