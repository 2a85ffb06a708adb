package contracts

import (
	"context"
	"slices"
	"time"

	"mimosarelay/app/wait"
	"mimosarelay/core/model"
)

// confirmationPollInterval is the time between two checks of the confirmations, a
// fraction of the 500 ms between heartbeats.
const confirmationPollInterval = 50 * time.Millisecond

// AwaitEffect waits until every member has confirmed the revision or ctx ends. It
// returns the members that have not confirmed it, or nil if the revision is in
// effect. If no membership is known, it returns this host.
func (s *Service) AwaitEffect(ctx context.Context, revision model.Revision) (missing []model.HostID) {
	for {
		missing = s.unconfirmedMembers(revision)
		if len(missing) == 0 {
			return nil
		}
		if !wait.For(ctx, s.options.Clock, confirmationPollInterval) {
			return missing
		}
	}
}

// unconfirmedMembers lists the members that have not confirmed the revision.
func (s *Service) unconfirmedMembers(revision model.Revision) []model.HostID {
	var confirmed map[model.HostID]model.Revision
	if s.options.Confirmed != nil {
		confirmed = s.options.Confirmed()
	}
	var missing []model.HostID
	for h, r := range confirmed {
		if r < revision && h != s.options.Host {
			missing = append(missing, h)
		}
	}
	if len(confirmed) == 0 || s.Revision() < revision {
		missing = append(missing, s.options.Host)
	}
	slices.Sort(missing)
	return missing
}
