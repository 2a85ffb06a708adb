// Package catalog keeps the configuration and the targets of one host up to
// date, and says how old the evidence is that they are in force.
package catalog

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/app/wait"
	"mimosarelay/core/discovery"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// Source reads what operators and targets write.
type Source interface {
	// ReadConfiguration reads the configuration. Its document is nil if the
	// store's revision of it is still known.
	ReadConfiguration(ctx context.Context, known uint64) (ingress.StoredDocument, error)
	// WatchConfiguration waits until the configuration may have changed after
	// a revision of the store, or wait has passed.
	WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (ingress.WatchResult, error)
	// ReadTargets lists the targets. faults describe entries that name none.
	ReadTargets(ctx context.Context) (targets []ingress.Target, faults []error, err error)
}

// Options configures a Service. All fields but the times are required.
type Options struct {
	Source Source
	Clock  clockwork.Clock
	Log    *slog.Logger
	// Lifetime is how long a configuration may be used after the store was
	// asked for it. It is shorter than the time after which a withdrawn key
	// must not work.
	Lifetime time.Duration
	// Interval is the time between two reads of the targets; 0 means 800 ms.
	Interval time.Duration
	// Wait bounds one watch of the configuration; 0 means 1 s. An empty watch
	// is the evidence that the configuration is still in force.
	Wait time.Duration
	// Timeout bounds one read; 0 means 1 s.
	Timeout time.Duration
}

const (
	defaultInterval = 800 * time.Millisecond
	defaultWait     = time.Second
	// retryPause is the time between two reads after a failure.
	retryPause     = 100 * time.Millisecond
	defaultTimeout = time.Second
)

// defaultLimits bound callers before a configuration is known.
var defaultLimits = ingress.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Service is the configuration of one host. It is safe for concurrent use.
type Service struct {
	options Options

	mu       sync.Mutex // guards all fields below
	view     *ingress.View
	document *ingress.Document
	value    []byte    // of document, as it is stored
	known    uint64    // revision of document in the store
	seen     uint64    // revision up to which the store has looked
	asked    time.Time // when the store was asked for what it confirmed
	away     bool      // the store did not answer the last question for the configuration
	unlisted bool      // the store did not answer the last question for the targets
	targets  discovery.Targets
	listed   time.Time     // when the targets were asked for; zero before
	changed  chan struct{} // closed when the configuration changes
	faulty   []string      // entries that were logged
	onChange []func(*ingress.View)
}

// New returns a Service. Run keeps it up to date.
func New(o Options) *Service {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Wait == 0 {
		o.Wait = defaultWait
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	return &Service{options: o, changed: make(chan struct{})}
}

// OnChange calls fn with each new view. It must be called before Run.
func (s *Service) OnChange(fn func(*ingress.View)) { s.onChange = append(s.onChange, fn) }

// Run reads the store until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.loop(ctx, 0, s.followConfiguration) })
	wg.Go(func() { s.loop(ctx, s.options.Interval, s.readTargets) })
	wg.Wait()
	return ctx.Err()
}

// loop repeats a step, with a pause after success and a short one after a
// failure.
func (s *Service) loop(ctx context.Context, pause time.Duration, step func(context.Context) bool) {
	for ctx.Err() == nil {
		p := retryPause
		if step(ctx) {
			p = pause
		}
		wait.For(ctx, s.options.Clock, p)
	}
}

// followConfiguration reads the configuration and watches it until a watch
// fails.
func (s *Service) followConfiguration(ctx context.Context) bool {
	if !s.readConfiguration(ctx) {
		return false
	}
	for ctx.Err() == nil {
		s.mu.Lock()
		seen := s.seen
		s.mu.Unlock()
		asked := s.options.Clock.Now()
		seenNow, err := s.options.Source.WatchConfiguration(ctx, seen, s.options.Wait)
		switch {
		case err != nil:
			s.configurationAway()
			s.failed(ctx, "configuration not watched", err)
			return false
		case seenNow.Changed:
			return true
		}
		s.mu.Lock()
		s.seen = max(s.seen, seenNow.StoreRevision)
		s.confirm(asked.Add(-seenNow.Age))
		s.mu.Unlock()
	}
	return true
}

func (s *Service) readConfiguration(ctx context.Context) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.Timeout)
	defer cancel()
	s.mu.Lock()
	known := s.known
	s.mu.Unlock()
	asked := s.options.Clock.Now()
	c, err := s.options.Source.ReadConfiguration(ctx, known)
	if err != nil {
		s.configurationAway()
		s.failed(ctx, "configuration not read", err)
		return false
	}
	s.mu.Lock()
	d := c.Document
	s.seen = max(s.seen, c.StoreRevision)
	s.confirm(asked.Add(-c.Age))
	older := d != nil && s.document != nil && d.Revision < s.document.Revision
	if d == nil || older {
		s.mu.Unlock()
		if older {
			s.options.Log.Error("older configuration ignored", "revision", d.Revision)
		}
		return true
	}
	s.document, s.value, s.known = d, c.Value, c.Revision
	close(s.changed)
	s.changed = make(chan struct{})
	view := s.rebuild()
	s.mu.Unlock()
	s.options.Log.Info("configuration changed", "revision", d.Revision, "routes", len(d.Routes), "workspaces", len(d.Workspaces))
	s.tell(view)
	return true
}

// confirm notes when the store was asked for what it confirmed. mu is held.
func (s *Service) confirm(asked time.Time) {
	s.away = false
	if asked.After(s.asked) {
		s.asked = asked
	}
}

func (s *Service) configurationAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

// StoreAway reports whether the store failed to answer the last request for the
// configuration.
func (s *Service) StoreAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *Service) failed(ctx context.Context, event string, err error) {
	if ctx.Err() != nil && !errors.Is(err, store.ErrUnavailable) {
		return
	}
	s.options.Log.Warn(event, "age", s.Age(), "error", err)
}

func (s *Service) readTargets(ctx context.Context) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.Timeout)
	defer cancel()
	asked := s.options.Clock.Now()
	list, faults, err := s.options.Source.ReadTargets(ctx)
	if err != nil {
		s.mu.Lock()
		s.targets.SetStoreUnavailable()
		s.unlisted = true
		s.mu.Unlock()
		s.failed(ctx, "targets not read", err)
		return false
	}
	s.logFaults(faults)
	s.mu.Lock()
	changed := s.targets.Update(s.options.Clock.Now(), list)
	first := s.listed.IsZero()
	s.listed, s.unlisted = asked, false
	var view *ingress.View
	if changed || first {
		view = s.rebuild()
	}
	s.mu.Unlock()
	if view != nil {
		s.options.Log.Info("targets changed", "targets", len(list))
		s.tell(view)
	}
	return true
}

// logFaults logs entries that were not faulty before.
func (s *Service) logFaults(faults []error) {
	var now []string
	for _, err := range faults {
		text := err.Error()
		now = append(now, text)
		if !slices.Contains(s.faulty, text) {
			s.options.Log.Warn("target entry ignored", "error", err)
		}
	}
	s.faulty = now
}

// rebuild makes a view of what is known, or nil if something is missing. mu is
// held.
func (s *Service) rebuild() *ingress.View {
	if s.document == nil || s.listed.IsZero() {
		return nil
	}
	list := s.targets.List()
	sortTargets(list)
	s.view = ingress.NewView(s.document, list)
	return s.view
}

func sortTargets(list []ingress.Target) {
	slices.SortFunc(list, func(a, b ingress.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

func (s *Service) tell(view *ingress.View) {
	if view == nil {
		return
	}
	for _, fn := range s.onChange {
		fn(view)
	}
}

// Age is the time since the store was asked for what it last confirmed.
func (s *Service) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age()
}

func (s *Service) age() time.Duration {
	if s.asked.IsZero() {
		return -1
	}
	return s.options.Clock.Since(s.asked)
}

// Advice to callers. A host that just started knows the configuration within a
// moment. An outage of the store lasts for seconds: callers that come back
// sooner use up their attempts before it is over.
const (
	unknownRetry = 300 * time.Millisecond
	staleRetry   = 1200 * time.Millisecond
)

// View returns the configuration in force. It fails with a *model.Refusal if
// there is no evidence of it that is young enough.
func (s *Service) View() (*ingress.View, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the configuration is not known yet").Retry(unknownRetry)
	}
	if age := s.age(); age > s.options.Lifetime {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the store last confirmed configuration %d %v ago", s.view.Revision(), age).Retry(staleRetry)
	}
	return s.view, nil
}

// Latest returns the newest view, however old its evidence, or nil.
func (s *Service) Latest() *ingress.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Limits returns the bounds of callers.
func (s *Service) Limits() ingress.Limits {
	if v := s.Latest(); v != nil {
		return v.Limits()
	}
	return defaultLimits
}
