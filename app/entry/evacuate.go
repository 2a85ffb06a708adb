package entry

import (
	"context"
	"time"

	"mimosarelay/app/wait"
	"mimosarelay/core/model"
)

// Evacuations reads the requests of operators to empty a host with a disk, and
// reports the progress to them.
type Evacuations interface {
	// EvacuationRequested reports whether an operator requested that the host is
	// emptied.
	EvacuationRequested(ctx context.Context, host model.HostID) (bool, error)
	// ReportEvacuation reports that the host is being emptied or, if done is set,
	// that it is empty and may be removed.
	ReportEvacuation(ctx context.Context, host model.HostID, done bool) error
}

const (
	// evacuationPollInterval is the time between two reads of the request for an
	// evacuation. An evacuation may take several seconds, and each read is a call
	// of the store.
	evacuationPollInterval = 2 * time.Second
	// evacuationCallTimeout limits one call of the store. It is also the pause
	// before a failed report is repeated.
	evacuationCallTimeout = time.Second
	// replacementPollInterval is the time between two checks whether a standby has
	// replaced this host. They make no call.
	replacementPollInterval = 100 * time.Millisecond
	// handOverTimeout is the time after which a host that is not emptied yet logs
	// that, and tells the fleet again that it is leaving.
	handOverTimeout = 5 * time.Second
)

// runEvacuation waits until an operator requests that this host is emptied. It then
// hands the turns of conversations over to the other keepers and leaves the fleet.
// Other hosts count its programs afterwards, so that nothing that is needed stays on
// its disk.
func (k *keeper) runEvacuation(ctx context.Context) error {
	for {
		if !wait.For(ctx, k.options.Clock, evacuationPollInterval) {
			return nil
		}
		callCtx, cancel := context.WithTimeout(ctx, evacuationCallTimeout)
		requested, err := k.options.Evacuations.EvacuationRequested(callCtx, k.options.Host)
		cancel()
		if err != nil {
			k.log.Warn("failed to read from the store whether an evacuation is requested", "error", err)
			continue
		}
		if requested {
			break
		}
	}
	k.log.Info("evacuation started")
	k.reportEvacuation(ctx, false)
	k.draining.Store(true)
	if !k.fleet.Waiting() {
		k.awaitReplacement(ctx)
		k.handOverTurns(ctx)
	}
	k.leaveFleet()
	k.reportEvacuation(ctx, true)
	k.log.Info("evacuation ended")
	<-ctx.Done() // a process that exits would be restarted
	return nil
}

// awaitReplacement returns when no standby should join in the place of this host any
// more. Until then the evacuation is reported as running: without the standby, too
// few keepers may be left to survive the losses that the deployment tolerates.
func (k *keeper) awaitReplacement(ctx context.Context) {
	clock := k.options.Clock
	k.markLeavingOnce(ctx)
	lastMarked, waited := clock.Now(), false
	for ctx.Err() == nil && (k.fleet.AwaitsStandby(k.options.losses()) || waited && !k.fleet.Settled()) {
		waited = true
		wait.For(ctx, clock, replacementPollInterval)
		if clock.Since(lastMarked) >= handOverTimeout {
			k.log.Warn("evacuation waits until a standby has joined the fleet")
			k.markLeavingOnce(ctx)
			lastMarked = clock.Now()
		}
	}
}

// markLeavingOnce tells the fleet that this host is leaving, with a limit on the time.
func (k *keeper) markLeavingOnce(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, evacuationCallTimeout)
	defer cancel()
	k.markLeaving(callCtx)
}

// handOverTurns returns when the other keepers have copies of the turns on this disk.
func (k *keeper) handOverTurns(ctx context.Context) {
	if k.turns == nil {
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		k.markLeaving(callCtx)
		err := k.turns.HandOver(callCtx)
		cancel()
		if err == nil {
			return
		}
		k.log.Warn("turns of conversations are not handed over yet", "error", err)
	}
}

// reportEvacuation reports the state of the evacuation, and tries again until the
// store accepts the report.
func (k *keeper) reportEvacuation(ctx context.Context, done bool) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, evacuationCallTimeout)
		err := k.options.Evacuations.ReportEvacuation(callCtx, k.options.Host, done)
		cancel()
		if err == nil {
			return
		}
		k.log.Warn("failed to report the evacuation to the store", "done", done, "error", err)
		wait.For(ctx, k.options.Clock, evacuationCallTimeout)
	}
}
