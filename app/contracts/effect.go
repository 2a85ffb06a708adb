package contracts

import (
	"context"
	"slices"
	"time"

	"mimosarelay/core/model"
)

// effectInterval is the time between two looks at the confirmations, a
// fraction of the 500 ms between heartbeats.
const effectInterval = 50 * time.Millisecond

// InEffect waits until every member has confirmed the revision, or ctx ends,
// and returns the members that have not. It is nil if the revision is in
// effect. Without a known membership this host itself is reported.
func (s *Service) AwaitEffect(ctx context.Context, revision model.Revision) (missing []model.HostID) {
	for {
		missing = s.missing(revision)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return missing
		case <-s.o.Clock.After(effectInterval):
		}
	}
}

func (s *Service) missing(revision model.Revision) []model.HostID {
	var confirmed map[model.HostID]model.Revision
	if s.o.Confirmed != nil {
		confirmed = s.o.Confirmed()
	}
	var missing []model.HostID
	for h, r := range confirmed {
		if r < revision && h != s.o.Host {
			missing = append(missing, h)
		}
	}
	if len(confirmed) == 0 || s.Revision() < revision {
		missing = append(missing, s.o.Host)
	}
	slices.Sort(missing)
	return missing
}
