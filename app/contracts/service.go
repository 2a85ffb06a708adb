// Package contracts keeps the current configuration of a host and makes the
// changes that operators request.
package contracts

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// Default keys. The history is outside the control prefix, because each result of
// the control watch returns all values under that prefix.
const (
	DefaultConfigKey     = "control/Config"
	DefaultHistoryPrefix = "ConfigHistory/"
)

const (
	// defaultHistoryLimit is the number of revisions in the history. At 1 MiB
	// each they occupy at most 100 MiB of the store.
	defaultHistoryLimit    = 100
	bootstrapRetryInterval = 200 * time.Millisecond // between two attempts
	peerTimeout            = time.Second            // for the requests to peers during Bootstrap
)

// Sentinel errors, tested with errors.Is.
var (
	// ErrConflict reports a change that was not accepted because another one
	// was accepted first. The error is a *ConflictError.
	ErrConflict = errors.New("configuration conflict")
	// ErrUnknownOutcome reports a change that may or may not be accepted.
	ErrUnknownOutcome = errors.New("outcome of the configuration change unknown")
	// ErrOldRevision reports an offered document older than the current one.
	ErrOldRevision = errors.New("older than the current configuration")
	// ErrKeyExists reports a key id that is already granted.
	ErrKeyExists = errors.New("key exists")
)

// ConflictError names the revision that a change is based on and the one in
// effect.
type ConflictError struct {
	Base    model.Revision
	Current model.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: the change is based on revision %d, the current revision is %d", ErrConflict, e.Base, e.Current)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Peers fetches documents from other hosts.
type Peers interface {
	GetConfig(ctx context.Context, address string, request *peerpb.GetConfigRequest) (*peerpb.GetConfigResponse, error)
}

// Options configures a Service. Store, Peers and Host are required.
type Options struct {
	Host  model.HostID
	Store store.Store
	Peers Peers
	// PeerAddresses returns the peer addresses to ask during Bootstrap.
	PeerAddresses func() []string
	// Confirmed returns the revision that each member of the current epoch
	// has confirmed, including this host.
	Confirmed func() map[model.HostID]model.Revision
	// ConfigKey and HistoryPrefix default to the constants of this package.
	ConfigKey     string
	HistoryPrefix string
	// HistoryLimit is the number of revisions in the history; 0 means 100.
	HistoryLimit model.Revision
	Clock        clockwork.Clock // default: the real clock
	Log          *slog.Logger    // default: slog.Default
}

// Service holds the configuration of a host. Its methods are safe for
// concurrent use.
type Service struct {
	options Options
	current atomic.Pointer[appliedDocument]
	ready   atomic.Bool

	// mu serializes replacements of current and the calls of listeners.
	mu        sync.Mutex
	listeners []func(old, current *config.Snapshot)
}

// appliedDocument is a document that was put into effect, with its YAML text.
type appliedDocument struct {
	snapshot *config.Snapshot
	raw      []byte
}

// New returns a Service with an empty configuration of revision 0.
func New(o Options) *Service {
	if o.ConfigKey == "" {
		o.ConfigKey = DefaultConfigKey
	}
	if o.HistoryPrefix == "" {
		o.HistoryPrefix = DefaultHistoryPrefix
	}
	if o.HistoryLimit == 0 {
		o.HistoryLimit = defaultHistoryLimit
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	s := &Service{options: o}
	s.current.Store(&appliedDocument{snapshot: config.NewSnapshot(&config.Document{})})
	return s
}

// Current returns the configuration in effect at this host.
func (s *Service) Current() *config.Snapshot { return s.current.Load().snapshot }

// Revision returns the revision in effect at this host; 0 means none.
func (s *Service) Revision() model.Revision { return s.Current().Revision() }

// Ready reports whether Bootstrap has succeeded.
func (s *Service) Ready() bool { return s.ready.Load() }

// OnChange registers a listener that is called after each replacement, in the
// order of revisions. It must not call Offer.
func (s *Service) OnChange(f func(old, current *config.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// Offer replaces the configuration by a document with a higher revision. Offering
// the current document again has no effect; a lower revision returns
// ErrOldRevision.
func (s *Service) Offer(revision model.Revision, yaml []byte) error {
	if known, err := s.isCurrent(revision, yaml); known || err != nil {
		return err
	}
	d, err := config.Parse(yaml, fmt.Sprintf("configuration revision %d", revision))
	if err != nil {
		return err
	}
	if d.Revision != revision {
		return fmt.Errorf("document offered as revision %d contains revision %d", revision, d.Revision)
	}
	next := &appliedDocument{snapshot: config.NewSnapshot(d), raw: bytes.Clone(yaml)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, err := s.isCurrent(revision, yaml); known || err != nil {
		return err
	}
	old := s.current.Swap(next)
	s.options.Log.Info("configuration in effect", "revision", revision, "previous", old.snapshot.Revision())
	for _, f := range s.listeners {
		f(old.snapshot, next.snapshot)
	}
	return nil
}

// isCurrent reports whether the offered document is the current one. It fails if
// the document is older, or differs from the current one of the same revision.
func (s *Service) isCurrent(revision model.Revision, yaml []byte) (known bool, err error) {
	c := s.current.Load()
	currentRevision := c.snapshot.Revision()
	switch {
	case revision > currentRevision:
		return false, nil
	case revision < currentRevision:
		return false, fmt.Errorf("revision %d: %w, which is revision %d", revision, ErrOldRevision, currentRevision)
	case revision != 0 && !bytes.Equal(yaml, c.raw):
		return false, fmt.Errorf("a second document with revision %d differs from the current one", revision)
	}
	return true, nil
}

// EntriesChanged handles the entries that the control watch returned. A missing
// key, an older revision or a faulty document leaves the configuration unchanged.
func (s *Service) EntriesChanged(entries []store.Entry) {
	for _, e := range entries {
		if e.Key != s.options.ConfigKey {
			continue
		}
		if err := s.offerStored(e.Value); err != nil {
			s.options.Log.Warn("failed to apply the configuration in the store", "error", err)
		}
	}
}

// offerStored offers a stored document under the revision that it contains.
func (s *Service) offerStored(value []byte) error {
	if bytes.Equal(value, s.current.Load().raw) {
		return nil
	}
	d, err := config.Parse(value, s.options.ConfigKey)
	if err != nil {
		return err
	}
	return s.Offer(d.Revision, value)
}

// FetchFrom fetches the configuration of a peer and applies it if it is newer.
func (s *Service) FetchFrom(ctx context.Context, peerAddress string) error {
	have := s.Revision()
	response, err := s.options.Peers.GetConfig(ctx, peerAddress, &peerpb.GetConfigRequest{HaveRevision: uint64(have)})
	if err != nil {
		return fmt.Errorf("fetch the configuration from peer %s: %w", peerAddress, err)
	}
	if model.Revision(response.GetRevision()) <= have {
		return nil
	}
	err = s.Offer(model.Revision(response.GetRevision()), response.GetDocument())
	if err != nil && !errors.Is(err, ErrOldRevision) {
		return fmt.Errorf("apply the configuration of peer %s: %w", peerAddress, err)
	}
	return nil
}

// HandleGetConfig serves the RPC GetConfig. The response omits the document if the
// peer already has its revision.
func (s *Service) HandleGetConfig(_ context.Context, request *peerpb.GetConfigRequest) (*peerpb.GetConfigResponse, error) {
	c := s.current.Load()
	response := &peerpb.GetConfigResponse{Revision: uint64(c.snapshot.Revision())}
	if request.GetHaveRevision() < response.Revision {
		response.Document = c.raw
	}
	return response, nil
}

// Bootstrap returns once this host has the newest revision that the store or any
// reachable peer has; from then on, Ready returns true. It retries until ctx ends.
// A response of the store is required: the store may have accepted a change that
// no peer has received yet.
func (s *Service) Bootstrap(ctx context.Context) error {
	for {
		err := s.fetchNewest(ctx)
		if err == nil {
			s.ready.Store(true)
			return nil
		}
		s.options.Log.Warn("failed to determine the newest configuration", "error", err)
		select {
		case <-ctx.Done():
			return fmt.Errorf("determine the newest configuration: %w", errors.Join(ctx.Err(), err))
		case <-s.options.Clock.After(bootstrapRetryInterval):
		}
	}
}

// fetchNewest asks the peers and the store once. Peers that do not respond are
// skipped; a peer that offers a faulty document is an error.
func (s *Service) fetchNewest(ctx context.Context) error {
	faults := s.askPeers(ctx)
	e, err := s.options.Store.Get(ctx, s.options.ConfigKey)
	if errors.Is(err, store.ErrNotFound) {
		return faults
	}
	if err != nil {
		return fmt.Errorf("read the configuration from the store: %w", err)
	}
	if err := s.offerStored(e.Value); err != nil && !errors.Is(err, ErrOldRevision) {
		return err
	}
	return faults
}

func (s *Service) askPeers(ctx context.Context) error {
	if s.options.PeerAddresses == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	addresses := s.options.PeerAddresses()
	faults := make([]error, len(addresses))
	for i, a := range addresses {
		wg.Go(func() {
			err := s.FetchFrom(ctx, a)
			var contentFaults config.Faults
			if errors.As(err, &contentFaults) {
				faults[i] = err
			} else if err != nil {
				s.options.Log.Info("failed to fetch the configuration from a peer", "peer", a, "error", err)
			}
		})
	}
	wg.Wait()
	return errors.Join(faults...)
}
