package catalog

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/evidence"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// maxLongPollWait bounds the time for which a keeper holds a request.
const maxLongPollWait = 5 * time.Second

// HandleConfiguration serves the RPC Configuration: other hosts get from this host
// the configuration and the age of the store's confirmation.
func (s *Service) HandleConfiguration(ctx context.Context, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	if s.StoreAway() {
		// The requesting host reaches another keeper or the store sooner than a
		// wait here would end.
		return nil, storeAwayRefusal()
	}
	arrived := evidence.Now(s.options.Clock)
	if maxAge := maxAge(r.GetMaxAgeUs()); maxAge > 0 && !s.readConfiguration(ctx, maxAge) {
		return nil, storeAwayRefusal()
	}
	s.waitForChange(ctx, r, min(maxLongPollWait, time.Duration(r.GetWaitMs())*time.Millisecond), maxAge(r.GetUntilAgeUs()))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == nil {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the configuration is not known yet")
	}
	res := &peerpb.ConfigurationResponse{Revision: s.documentRevision, StoreRevision: s.storeRevision, AgeUs: s.confirmed.AgeAt(arrived).Microseconds()}
	if s.evacuations.zones != nil {
		res.StatesEvacuations = true
		for _, z := range s.evacuations.zones {
			res.EvacuatedZones = append(res.EvacuatedZones, string(z))
		}
	}
	if s.documentRevision != r.GetKnownRevision() && !r.GetWithoutValue() {
		res.Value = s.value
	}
	return res, nil
}

func storeAwayRefusal() error {
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "the store does not answer this host")
}

// maxAge decodes the highest age that a requesting host accepts.
func maxAge(us int64) evidence.MaxAge { return evidence.MaxAge(us) * evidence.MaxAge(time.Microsecond) }

// waitForChange waits until the configuration or the evacuation orders are others than
// those which r names, ctx ends or wait has passed. If until is not 0, it also ends when
// the store's last confirmation is older: a host that goes on waiting would rely on a
// keeper that may miss changes.
func (s *Service) waitForChange(ctx context.Context, r *peerpb.ConfigurationRequest, wait time.Duration, until evidence.MaxAge) {
	end := s.options.Clock.Now().Add(wait)
	for {
		s.mu.Lock()
		differs := s.documentRevision != r.GetKnownRevision() ||
			r.GetStatesEvacuations() && s.evacuations.zones != nil && r.GetKnownEvacuations() != EvacuationsVersion(s.evacuations.zones)
		changed, confirmed := s.changed, s.confirmed
		s.mu.Unlock()
		left := end.Sub(s.options.Clock.Now())
		if until > 0 {
			left = min(left, confirmed.Left(until))
		}
		if differs || left <= 0 {
			return
		}
		select {
		case <-changed:
		case <-s.options.Clock.After(left):
		case <-ctx.Done():
			return
		}
	}
}

// HandleTargets serves the RPC Targets. After an outage of the store a host keeps
// targets that the store does not list, but only for its own requests: a host that
// saw no outage knows that they are gone. The RPC is therefore refused until the
// grace period is over and the targets were read again.
func (s *Service) HandleTargets(_ context.Context, r *peerpb.TargetsRequest) (*peerpb.TargetsResponse, error) {
	s.mu.Lock()
	listed, list, cold := s.listed, s.targets.List(), s.coldTargetsLocked()
	unavailable := !listed.Known() || s.targetsUnavailable || s.targets.KeepsUnlisted() || s.targets.InGracePeriod(s.options.Clock.Now())
	s.mu.Unlock()
	if unavailable {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the store has not listed the targets for this host")
	}
	sortTargets(list)
	res := &peerpb.TargetsResponse{Version: contentHash(list), AgeUs: listed.Age().Microseconds(), Cold: cold}
	if res.Version == r.GetKnownVersion() {
		return res, nil
	}
	for _, t := range list {
		res.Targets = append(res.Targets, &peerpb.TargetEntry{
			Id: string(t.ID), Service: string(t.Service), Address: t.Address, Zone: string(t.Zone), Slots: int64(t.Slots), Leaving: t.Leaving,
			StartedMs: int64(t.StartedAt),
		})
	}
	return res, nil
}

// contentHash returns a hash of a sorted list of targets. It serves as the version
// of the list and is never 0.
func contentHash(list []ingress.Target) uint64 {
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // strings, numbers and booleans always marshal
	}
	return max(1, xxhash.Sum64(data))
}
