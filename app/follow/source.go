package follow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/app/catalog"
	"mimosarelay/core/evidence"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// CatalogPeers sends requests to the catalogs of keepers.
type CatalogPeers interface {
	Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error)
	Targets(ctx context.Context, address string, r *peerpb.TargetsRequest) (*peerpb.TargetsResponse, error)
}

// Relays chooses the keepers that a Source asks. It is implemented by Client.
type Relays interface {
	// UsableKeepers returns the peer addresses of the keepers in order of preference.
	UsableKeepers() []string
	// WhileResponsive returns a context that also ends when a keeper does not answer
	// other requests.
	WhileResponsive(ctx context.Context, address string) (context.Context, context.CancelFunc)
}

// Source reads the configuration and the targets from keepers, so that the number of
// store calls does not grow with the number of hosts. It reads the store itself if
// there are usable keepers but none of them returns recent data. It implements
// catalog.Source. A method must not be called concurrently with itself.
type Source struct {
	Relays Relays
	Peers  CatalogPeers
	Store  catalog.Source
	// StoreWithoutKeepers makes the Source read the store if no keeper is usable.
	// Entry hosts do not: they can serve no request then, and all of them would call
	// the store at once.
	StoreWithoutKeepers bool
	// MaxWait limits the wait of one request to a keeper; 0 means no limit.
	MaxWait time.Duration
	// Decode parses a stored configuration.
	Decode func([]byte) (*ingress.Document, error)
	Clock  clockwork.Clock

	mu             sync.Mutex   // guards the fields below
	firstAsked     time.Time    // when the first configuration was requested
	knownRevision  uint64       // revision of the last configuration that was read
	knownZones     []model.Zone // with an evacuation order, as last read; nil if not known
	zonesRevision  uint64       // revision of the store up to which knownZones is known
	targetsVersion uint64
	targets        []ingress.Target
	// outdated holds when a keeper was last found to have outdated data.
	outdated map[string]time.Time
}

var _ catalog.Source = (*Source)(nil)

const (
	// maxConfigurationAge is the highest age at which the configuration of a keeper is
	// used, and at which a keeper that is watched for a change ends the watch. It exceeds
	// the 1.4 s that the evidence of a keeper reaches that watches another one, and
	// leaves 0.5 s to ask the next keeper before a change must be in force after 2 s.
	maxConfigurationAge = evidence.MaxAge(1500 * time.Millisecond)
	// maxTargetsAge is the same for targets, which keepers read more often.
	// Together with the time to the next request this stays below 2 s, after which a
	// leaving target must not receive new requests.
	maxTargetsAge = evidence.MaxAge(1300 * time.Millisecond)
	// outdatedTime is how long a keeper that had outdated data is asked after the others.
	// It is asked first again soon, because only keepers of other zones may be left.
	outdatedTime = time.Second
	// answerGrace is how long an answer may take in addition to the requested wait.
	answerGrace = 300 * time.Millisecond
)

// errStale reports that a keeper has not reached the store recently, or that its
// configuration is older than the known one.
var errStale = errors.New("data of the keeper is out of date")

// askKeepers runs call with the address of each usable keeper, in order of
// preference, until it succeeds for one. It goes on to the next keeper as soon as
// one stops answering other requests too, because wait can be long. Only the first
// keeper is asked to wait: the evidence of this host is old when that fails.
func (s *Source) askKeepers(ctx context.Context, wait time.Duration, call func(ctx context.Context, address string, wait time.Duration) error) error {
	lastErr := errNoKeeper
	for _, address := range s.askedLastIfOutdated(s.Relays.UsableKeepers()) {
		keeperCtx, release := s.Relays.WhileResponsive(ctx, address)
		callCtx, cancel := context.WithTimeout(keeperCtx, wait+answerGrace)
		lastErr = call(callCtx, address, wait)
		cancel()
		release()
		if lastErr == nil || ctx.Err() != nil {
			return lastErr
		}
		if errors.Is(lastErr, errStale) || errors.Is(lastErr, model.ErrUnavailable) {
			s.markOutdated(address)
		}
		wait = 0
	}
	return lastErr
}

// askedLastIfOutdated moves the keepers that had outdated data within outdatedTime to the
// end. Otherwise each request that follows would wait until they have asked the store.
func (s *Source) askedLastIfOutdated(addresses []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent, outdated []string
	for _, a := range addresses {
		if at, ok := s.outdated[a]; ok && s.Clock.Since(at) < outdatedTime {
			outdated = append(outdated, a)
			continue
		}
		delete(s.outdated, a)
		recent = append(recent, a)
	}
	return append(recent, outdated...)
}

func (s *Source) markOutdated(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outdated == nil {
		s.outdated = map[string]time.Time{}
	}
	s.outdated[address] = s.Clock.Now()
}

// requestConfiguration sends r to the keepers until one answers with a recent
// configuration.
func (s *Source) requestConfiguration(ctx context.Context, wait time.Duration, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	var res *peerpb.ConfigurationResponse
	r.UntilAgeUs = time.Duration(maxConfigurationAge).Microseconds()
	err := s.askKeepers(ctx, wait, func(ctx context.Context, address string, wait time.Duration) (err error) {
		r.WaitMs = wait.Milliseconds()
		sent := evidence.Now(s.Clock)
		res, err = s.Peers.Configuration(ctx, address, r)
		if err != nil {
			return err
		}
		confirmed := sent.Before(microseconds(res.GetAgeUs()))
		if res.GetRevision() < r.GetKnownRevision() || !confirmed.Within(maxConfigurationAge) {
			return fmt.Errorf("%w: keeper %s has revision %d, age %v", errStale, address, res.GetRevision(), confirmed.Age())
		}
		if s.statesOldZones(res) {
			return fmt.Errorf("%w: keeper %s has evacuation orders of store revision %d", errStale, address, res.GetStoreRevision())
		}
		return nil
	})
	return res, err
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// startupDelay is the time in which an entry host leaves it to the keepers to read the
// first configuration. All hosts of a fleet that starts would read it otherwise.
const startupDelay = time.Second

// startsUp reports whether this host knows no configuration yet and began to ask the
// keepers within startupDelay.
func (s *Source) startsUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstAsked.IsZero() {
		s.firstAsked = s.Clock.Now()
	}
	return !s.StoreWithoutKeepers && s.knownRevision == 0 && s.Clock.Since(s.firstAsked) < startupDelay
}

// readsStore reports whether to read the store after err of the keepers.
func (s *Source) readsStore(err error) bool {
	return err != nil && (s.StoreWithoutKeepers || !errors.Is(err, errNoKeeper))
}

// ReadConfiguration implements catalog.Source.
func (s *Source) ReadConfiguration(ctx context.Context, known uint64) (ingress.StoredDocument, error) {
	stored, err := s.readFromKeeper(ctx, known)
	if s.readsStore(err) && !s.startsUp() {
		stored, err = s.Store.ReadConfiguration(ctx, known)
	}
	if err == nil {
		s.mu.Lock()
		s.knownRevision = stored.Revision
		if stored.Evacuated != nil {
			s.knownZones, s.zonesRevision = stored.Evacuated, stored.StoreRevision
		}
		s.mu.Unlock()
	}
	return stored, err
}

func (s *Source) readFromKeeper(ctx context.Context, known uint64) (ingress.StoredDocument, error) {
	res, err := s.requestConfiguration(ctx, 0, &peerpb.ConfigurationRequest{KnownRevision: known, MaxAgeUs: time.Duration(maxConfigurationAge).Microseconds()})
	if err != nil {
		return ingress.StoredDocument{}, err
	}
	stored := ingress.StoredDocument{Revision: res.GetRevision(), StoreRevision: res.GetStoreRevision(), Age: microseconds(res.GetAgeUs())}
	if res.GetRevision() != known {
		stored.Value = res.GetValue()
		stored.Document, err = s.Decode(res.GetValue())
	}
	stored.Evacuated = statedZones(res)
	return stored, err
}

// statesOldZones reports whether a keeper states other evacuation orders than the
// known ones, as of an earlier revision of the store.
func (s *Source) statesOldZones(res *peerpb.ConfigurationResponse) bool {
	zones := statedZones(res)
	s.mu.Lock()
	defer s.mu.Unlock()
	return zones != nil && res.GetStoreRevision() < s.zonesRevision && !slices.Equal(zones, s.knownZones)
}

// statedZones returns the zones with an evacuation order that a keeper states, or nil
// if it states none because it runs an earlier version.
func statedZones(res *peerpb.ConfigurationResponse) []model.Zone {
	if !res.GetStatesEvacuations() {
		return nil
	}
	zones := make([]model.Zone, 0, len(res.GetEvacuatedZones()))
	for _, z := range res.GetEvacuatedZones() {
		zones = append(zones, model.Zone(z))
	}
	return zones
}

// WatchConfiguration implements catalog.Source.
func (s *Source) WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (ingress.WatchResult, error) {
	s.mu.Lock()
	known, knownZones := s.knownRevision, s.knownZones
	s.mu.Unlock()
	keeperWait := wait
	if s.MaxWait > 0 {
		keeperWait = min(wait, s.MaxWait)
	}
	res, err := s.requestConfiguration(ctx, keeperWait, &peerpb.ConfigurationRequest{
		KnownRevision: known, WithoutValue: true, StatesEvacuations: true, KnownEvacuations: catalog.EvacuationsVersion(knownZones),
	})
	if s.readsStore(err) {
		return s.Store.WatchConfiguration(ctx, after, wait)
	}
	if err != nil {
		return ingress.WatchResult{}, err
	}
	zones := statedZones(res)
	ordersChanged := zones != nil && (knownZones == nil || !slices.Equal(zones, knownZones))
	if zones != nil && !ordersChanged {
		s.mu.Lock()
		s.zonesRevision = max(s.zonesRevision, res.GetStoreRevision())
		s.mu.Unlock()
	}
	return ingress.WatchResult{StoreRevision: res.GetStoreRevision(), Changed: res.GetRevision() != known || ordersChanged, Age: microseconds(res.GetAgeUs())}, nil
}

// ReadTargets implements catalog.Source. It returns no faults with the targets of a
// keeper, because keepers log the entries that are not valid targets.
func (s *Source) ReadTargets(ctx context.Context, wait time.Duration) (ingress.TargetList, error) {
	s.mu.Lock()
	known := s.targetsVersion
	s.mu.Unlock()
	var res *peerpb.TargetsResponse
	err := s.askKeepers(ctx, 0, func(ctx context.Context, address string, _ time.Duration) (err error) {
		sent := evidence.Now(s.Clock)
		res, err = s.Peers.Targets(ctx, address, &peerpb.TargetsRequest{KnownVersion: known})
		if err != nil {
			return err
		}
		if listed := sent.Before(microseconds(res.GetAgeUs())); !listed.Within(maxTargetsAge) {
			return fmt.Errorf("%w: keeper %s has targets of age %v", errStale, address, listed.Age())
		}
		return nil
	})
	if s.readsStore(err) {
		return s.Store.ReadTargets(ctx, wait)
	}
	if err != nil {
		return ingress.TargetList{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.GetVersion() != known {
		s.targetsVersion, s.targets = res.GetVersion(), decodeTargets(res.GetTargets())
	}
	return ingress.TargetList{Targets: withCold(s.targets, res.GetCold()), Age: microseconds(res.GetAgeUs())}, nil
}

// withCold returns a copy of a list of targets with the time for which they stay cold.
func withCold(list []ingress.Target, cold []*peerpb.ColdTarget) []ingress.Target {
	coldFor := make(map[model.TargetID]time.Duration, len(cold))
	for _, c := range cold {
		coldFor[model.TargetID(c.GetId())] = microseconds(c.GetColdForUs())
	}
	list = slices.Clone(list)
	for i := range list {
		list[i].ColdFor = coldFor[list[i].ID]
	}
	return list
}

func decodeTargets(list []*peerpb.TargetEntry) []ingress.Target {
	targets := make([]ingress.Target, 0, len(list))
	for _, t := range list {
		targets = append(targets, ingress.Target{
			ID: model.TargetID(t.GetId()), Service: ingress.ServiceID(t.GetService()), Address: t.GetAddress(), Zone: model.Zone(t.GetZone()),
			Slots: int(t.GetSlots()), Leaving: t.GetLeaving(), StartedAt: ingress.UnixMilliseconds(t.GetStartedMs()),
		})
	}
	return targets
}
