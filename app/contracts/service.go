// Package contracts keeps the current configuration of a host and carries out
// the changes of operators.
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

// Default keys. The history lies outside the control prefix, because each
// wake-up of the control watch returns all values under that prefix.
const (
	DefaultConfigKey     = "control/Config"
	DefaultHistoryPrefix = "ConfigHistory/"
)

const (
	// defaultHistoryLimit is the number of revisions kept. At 1 MiB each they
	// occupy at most 100 MiB of the store.
	defaultHistoryLimit = 100
	bootstrapDelay      = 200 * time.Millisecond // between two attempts
	peerTimeout         = time.Second            // for one peer during Bootstrap
)

// Sentinel errors, tested with errors.Is.
var (
	// ErrConflict reports a change that certainly was not accepted because
	// another one came first. The error is a *ConflictError.
	ErrConflict = errors.New("configuration conflict")
	// ErrUnknownOutcome reports a change that may or may not be accepted.
	ErrUnknownOutcome = errors.New("outcome of the configuration change unknown")
	// ErrOldRevision reports an offered document older than the current one.
	ErrOldRevision = errors.New("older than the current configuration")
	// ErrKeyExists reports a key id that is already granted.
	ErrKeyExists = errors.New("key exists")
)

// ConflictError names the revision an operator edited and the one in effect.
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
	// HistoryLimit is the number of revisions kept; 0 means 100.
	HistoryLimit model.Revision
	Clock        clockwork.Clock // default: the real clock
	Log          *slog.Logger    // default: slog.Default
}

// Service holds the configuration of a host. Its methods are safe for
// concurrent use.
type Service struct {
	o       Options
	current atomic.Pointer[state]
	ready   atomic.Bool

	// mu orders replacements of current and the calls of listeners.
	mu        sync.Mutex
	listeners []func(old, current *config.Snapshot)
}

// state is one accepted document with its YAML text.
type state struct {
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
	s := &Service{o: o}
	s.current.Store(&state{snapshot: config.NewSnapshot(&config.Document{})})
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

// Offer replaces the configuration by a document with a higher revision. The
// current document is accepted without effect; a lower revision gives
// ErrOldRevision.
func (s *Service) Offer(revision model.Revision, yaml []byte) error {
	if known, err := s.compare(revision, yaml); known || err != nil {
		return err
	}
	d, err := config.Parse(yaml, fmt.Sprintf("configuration revision %d", revision))
	if err != nil {
		return err
	}
	if d.Revision != revision {
		return fmt.Errorf("document offered as revision %d says that it is revision %d", revision, d.Revision)
	}
	next := &state{snapshot: config.NewSnapshot(d), raw: bytes.Clone(yaml)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, err := s.compare(revision, yaml); known || err != nil {
		return err
	}
	old := s.current.Swap(next)
	s.o.Log.Info("configuration in effect", "revision", revision, "previous", old.snapshot.Revision())
	for _, f := range s.listeners {
		f(old.snapshot, next.snapshot)
	}
	return nil
}

// compare reports whether the offered document is the current one.
func (s *Service) compare(revision model.Revision, yaml []byte) (known bool, err error) {
	c := s.current.Load()
	now := c.snapshot.Revision()
	switch {
	case revision > now:
		return false, nil
	case revision < now:
		return false, fmt.Errorf("revision %d: %w, which is revision %d", revision, ErrOldRevision, now)
	case revision != 0 && !bytes.Equal(yaml, c.raw):
		return false, fmt.Errorf("a second document with revision %d differs from the current one", revision)
	}
	return true, nil
}

// EntriesChanged takes the entries of the control watch. A missing key, an
// older revision or a faulty document leaves the configuration as it is.
func (s *Service) EntriesChanged(entries []store.Entry) {
	for _, e := range entries {
		if e.Key != s.o.ConfigKey {
			continue
		}
		if err := s.offerStored(e.Value); err != nil {
			s.o.Log.Warn("configuration in the store not applied", "error", err)
		}
	}
}

// offerStored offers a document under its own revision.
func (s *Service) offerStored(value []byte) error {
	if bytes.Equal(value, s.current.Load().raw) {
		return nil
	}
	d, err := config.Parse(value, s.o.ConfigKey)
	if err != nil {
		return err
	}
	return s.Offer(d.Revision, value)
}

// FetchFrom takes over the configuration of a peer if it is newer.
func (s *Service) FetchFrom(ctx context.Context, peerAddress string) error {
	have := s.Revision()
	answer, err := s.o.Peers.GetConfig(ctx, peerAddress, &peerpb.GetConfigRequest{HaveRevision: uint64(have)})
	if err != nil {
		return fmt.Errorf("fetching configuration from %s: %w", peerAddress, err)
	}
	if model.Revision(answer.GetRevision()) <= have {
		return nil
	}
	err = s.Offer(model.Revision(answer.GetRevision()), answer.GetDocument())
	if err != nil && !errors.Is(err, ErrOldRevision) {
		return fmt.Errorf("configuration of %s: %w", peerAddress, err)
	}
	return nil
}

// HandleGetConfig answers a peer. The document is left out if the peer has it.
func (s *Service) HandleGetConfig(_ context.Context, request *peerpb.GetConfigRequest) (*peerpb.GetConfigResponse, error) {
	c := s.current.Load()
	answer := &peerpb.GetConfigResponse{Revision: uint64(c.snapshot.Revision())}
	if request.GetHaveRevision() < answer.Revision {
		answer.Document = c.raw
	}
	return answer, nil
}

// Bootstrap returns once this host knows the newest revision that the store
// or any reachable peer knows, and sets Ready. It tries until ctx ends. An
// answer of the store is required: a change can be accepted there before any
// peer has learnt of it.
func (s *Service) Bootstrap(ctx context.Context) error {
	for {
		err := s.learn(ctx)
		if err == nil {
			s.ready.Store(true)
			return nil
		}
		s.o.Log.Warn("newest configuration not known yet", "error", err)
		select {
		case <-ctx.Done():
			return fmt.Errorf("newest configuration not known: %w", errors.Join(ctx.Err(), err))
		case <-s.o.Clock.After(bootstrapDelay):
		}
	}
}

// learn asks the peers and the store once. Peers that do not answer are
// passed over; one that offers a faulty document is an error.
func (s *Service) learn(ctx context.Context) error {
	faults := s.askPeers(ctx)
	e, err := s.o.Store.Get(ctx, s.o.ConfigKey)
	if errors.Is(err, store.ErrNotFound) {
		return faults
	}
	if err != nil {
		return fmt.Errorf("reading configuration from the store: %w", err)
	}
	if err := s.offerStored(e.Value); err != nil && !errors.Is(err, ErrOldRevision) {
		return err
	}
	return faults
}

func (s *Service) askPeers(ctx context.Context) error {
	if s.o.PeerAddresses == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	addresses := s.o.PeerAddresses()
	faults := make([]error, len(addresses))
	for i, a := range addresses {
		wg.Go(func() {
			err := s.FetchFrom(ctx, a)
			var content config.Faults
			if errors.As(err, &content) {
				faults[i] = err
			} else if err != nil {
				s.o.Log.Info("peer not asked for its configuration", "address", a, "error", err)
			}
		})
	}
	wg.Wait()
	return errors.Join(faults...)
}
