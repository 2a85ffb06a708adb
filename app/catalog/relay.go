package catalog

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// mostWait bounds the time for which a keeper holds a question.
const mostWait = 5 * time.Second

// HandleConfiguration serves the RPC Configuration: other hosts learn the
// configuration and the store's word on it from this one.
func (s *Service) HandleConfiguration(ctx context.Context, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	if s.StoreAway() {
		// The asker finds another keeper, or the store, sooner than by waiting.
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the store does not answer this host")
	}
	arrived := s.options.Clock.Now()
	s.await(ctx, r.GetKnownRevision(), min(mostWait, time.Duration(r.GetWaitMs())*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == nil {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the configuration is not known yet")
	}
	res := &peerpb.ConfigurationResponse{Revision: s.known, Seen: s.seen, AgeUs: max(0, arrived.Sub(s.asked)).Microseconds()}
	if s.known != r.GetKnownRevision() && !r.GetWithoutValue() {
		res.Value = s.value
	}
	return res, nil
}

// await waits until the configuration has another revision.
func (s *Service) await(ctx context.Context, known uint64, wait time.Duration) {
	s.mu.Lock()
	now, changed := s.known, s.changed
	s.mu.Unlock()
	if now != known || wait <= 0 {
		return
	}
	select {
	case <-changed:
	case <-s.options.Clock.After(wait):
	case <-ctx.Done():
	}
}

// HandleTargets serves the RPC Targets. After an outage a host keeps targets that
// the store does not list. That is right for its own requests only: another host
// that saw no outage knows that they are gone.
func (s *Service) HandleTargets(_ context.Context, r *peerpb.TargetsRequest) (*peerpb.TargetsResponse, error) {
	s.mu.Lock()
	listed, list := s.listed, s.targets.List()
	unlisted := s.listed.IsZero() || s.unlisted || s.targets.InGracePeriod(s.options.Clock.Now())
	s.mu.Unlock()
	if unlisted {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the store has not listed the targets for this host")
	}
	sortTargets(list)
	res := &peerpb.TargetsResponse{Version: versionOf(list), AgeUs: s.options.Clock.Since(listed).Microseconds()}
	if res.Version == r.GetKnownVersion() {
		return res, nil
	}
	for _, t := range list {
		res.Targets = append(res.Targets, &peerpb.TargetEntry{
			Id: string(t.ID), Service: string(t.Service), Address: t.Address, Zone: string(t.Zone), Slots: int64(t.Slots), Leaving: t.Leaving,
		})
	}
	return res, nil
}

// versionOf identifies the content of a sorted list. It is never 0.
func versionOf(list []ingress.Target) uint64 {
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // strings, numbers and booleans always marshal
	}
	return max(1, xxhash.Sum64(data))
}
