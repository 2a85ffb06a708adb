package entry

import (
	"context"
	"time"

	"mimosarelay/app/wait"
	"mimosarelay/core/model"
)

// Evacuations is how operators ask for a host with a disk to be emptied.
type Evacuations interface {
	// EvacuationRequested says whether the host is to be emptied.
	EvacuationRequested(ctx context.Context, host model.HostID) (bool, error)
	// ReportEvacuation tells that it is being emptied, or that it is empty and
	// may be removed.
	ReportEvacuation(ctx context.Context, host model.HostID, done bool) error
}

const (
	// evacuationEvery is the time between two questions. An evacuation has
	// several seconds, and each question is a call of the store.
	evacuationPollInterval = 2 * time.Second
	evacuationCallTimeout  = time.Second
)

// evacuate waits until an operator asks for this host to be emptied. A host
// keeps nothing on its disk: it is empty when it has left the fleet, so that
// others count its programs.
func (k *keeper) runEvacuation(ctx context.Context) error {
	for {
		if !wait.For(ctx, k.options.Clock, evacuationPollInterval) {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, evacuationCallTimeout)
		asked, err := k.options.Evacuations.EvacuationRequested(call, k.options.Host)
		cancel()
		if err != nil {
			k.log.Warn("evacuation not asked for", "error", err)
			continue
		}
		if asked {
			break
		}
	}
	k.log.Info("evacuation started")
	k.reportEvacuation(ctx, false)
	k.draining.Store(true)
	k.leaveFleet()
	k.reportEvacuation(ctx, true)
	k.log.Info("evacuation ended")
	<-ctx.Done() // a process that ends would be started again
	return nil
}

// report repeats a report until the store takes it.
func (k *keeper) reportEvacuation(ctx context.Context, done bool) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, evacuationCallTimeout)
		err := k.options.Evacuations.ReportEvacuation(call, k.options.Host, done)
		cancel()
		if err == nil {
			return
		}
		k.log.Warn("evacuation not reported", "done", done, "error", err)
		wait.For(ctx, k.options.Clock, evacuationCallTimeout)
	}
}
