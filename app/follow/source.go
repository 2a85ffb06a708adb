package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"mimosarelay/app/catalog"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// CatalogPeers reaches the catalogs of keepers.
type CatalogPeers interface {
	Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error)
	Targets(ctx context.Context, address string, r *peerpb.TargetsRequest) (*peerpb.TargetsResponse, error)
}

// Source reads the configuration and the targets at keepers, so that calls of
// the store grow with the keepers only. It asks the store itself if keepers act
// but none has what the store said recently. Without a keeper that acts this host
// serves nothing, and all hosts at once would ask the store. It implements
// catalog.Source and is not safe for concurrent use of one method.
type Source struct {
	Client *Client
	Peers  CatalogPeers
	Store  catalog.Source
	// Decode reads a configuration as it is stored.
	Decode func([]byte) (*ingress.Document, error)

	mu      sync.Mutex // guards the fields below
	known   uint64     // revision of the last configuration
	version uint64     // of targets
	targets []ingress.Target
}

var _ catalog.Source = (*Source)(nil)

const (
	// staleConfiguration is the age from which a keeper's evidence is not used:
	// one that reaches the store asks it every second.
	staleConfiguration = 1500 * time.Millisecond
	// staleTargets is the same for targets, which keepers list more often. With
	// the time until the next question it stays below the 2 s in which a leaving
	// target must get no new request.
	staleTargets = time.Second
	// relayGrace is what an answer may take beyond the wait that was asked for.
	relayGrace = 300 * time.Millisecond
)

// errStale reports a keeper that has not reached the store recently.
var errStale = errors.New("keeper has no recent word of the store")

// askKeepers asks the keepers that act, in order, until one answers f.
func (s *Source) askKeepers(ctx context.Context, wait time.Duration, f func(ctx context.Context, address string) error) error {
	last := errNoKeeper
	for _, address := range s.Client.askable() {
		ask, cancel := context.WithTimeout(ctx, wait+relayGrace)
		last = f(ask, address)
		cancel()
		if last == nil || ctx.Err() != nil {
			return last
		}
	}
	return last
}

func (s *Source) configuration(ctx context.Context, wait time.Duration, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	var res *peerpb.ConfigurationResponse
	r.WaitMs = wait.Milliseconds()
	err := s.askKeepers(ctx, wait, func(ctx context.Context, address string) (err error) {
		res, err = s.Peers.Configuration(ctx, address, r)
		switch {
		case err != nil:
			return err
		case res.GetRevision() < r.GetKnownRevision() || microseconds(res.GetAgeUs()) > staleConfiguration:
			return fmt.Errorf("%w: %s, revision %d, %v old", errStale, address, res.GetRevision(), microseconds(res.GetAgeUs()))
		}
		return nil
	})
	return res, err
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// ReadConfiguration implements catalog.Source.
func (s *Source) ReadConfiguration(ctx context.Context, known uint64) (ingress.StoredDocument, error) {
	stored, err := s.readAtKeeper(ctx, known)
	if err != nil && !errors.Is(err, errNoKeeper) {
		stored, err = s.Store.ReadConfiguration(ctx, known)
	}
	if err == nil {
		s.mu.Lock()
		s.known = stored.Revision
		s.mu.Unlock()
	}
	return stored, err
}

func (s *Source) readAtKeeper(ctx context.Context, known uint64) (ingress.StoredDocument, error) {
	res, err := s.configuration(ctx, 0, &peerpb.ConfigurationRequest{KnownRevision: known})
	if err != nil {
		return ingress.StoredDocument{}, err
	}
	stored := ingress.StoredDocument{Revision: res.GetRevision(), StoreRevision: res.GetSeen(), Age: microseconds(res.GetAgeUs())}
	if res.GetRevision() != known {
		stored.Value = res.GetValue()
		stored.Document, err = s.Decode(res.GetValue())
	}
	return stored, err
}

// WatchConfiguration implements catalog.Source.
func (s *Source) WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (ingress.WatchResult, error) {
	s.mu.Lock()
	known := s.known
	s.mu.Unlock()
	res, err := s.configuration(ctx, wait, &peerpb.ConfigurationRequest{KnownRevision: known, WithoutValue: true})
	if errors.Is(err, errNoKeeper) {
		return ingress.WatchResult{}, err
	}
	if err != nil {
		return s.Store.WatchConfiguration(ctx, after, wait)
	}
	return ingress.WatchResult{StoreRevision: res.GetSeen(), Changed: res.GetRevision() != known, Age: microseconds(res.GetAgeUs())}, nil
}

// ReadTargets implements catalog.Source. Keepers log the entries that name no
// target.
func (s *Source) ReadTargets(ctx context.Context) (targets []ingress.Target, faults []error, err error) {
	s.mu.Lock()
	known := s.version
	s.mu.Unlock()
	var res *peerpb.TargetsResponse
	err = s.askKeepers(ctx, 0, func(ctx context.Context, address string) (err error) {
		res, err = s.Peers.Targets(ctx, address, &peerpb.TargetsRequest{KnownVersion: known})
		if err == nil && microseconds(res.GetAgeUs()) > staleTargets {
			return fmt.Errorf("%w: %s, targets %v old", errStale, address, microseconds(res.GetAgeUs()))
		}
		return err
	})
	if errors.Is(err, errNoKeeper) {
		return nil, nil, err
	}
	if err != nil {
		return s.Store.ReadTargets(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.GetVersion() != known {
		s.version, s.targets = res.GetVersion(), decodeTargets(res.GetTargets())
	}
	return s.targets, nil, nil
}

func decodeTargets(list []*peerpb.TargetEntry) []ingress.Target {
	targets := make([]ingress.Target, 0, len(list))
	for _, t := range list {
		targets = append(targets, ingress.Target{
			ID: model.TargetID(t.GetId()), Service: ingress.ServiceID(t.GetService()), Address: t.GetAddress(), Zone: model.Zone(t.GetZone()),
			Slots: int(t.GetSlots()), Leaving: t.GetLeaving(),
		})
	}
	return targets
}
