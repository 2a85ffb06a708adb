// Package catalog keeps the configuration and the targets of one host up to date,
// and reports how long ago the store last confirmed the configuration.
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
	"mimosarelay/core/evidence"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// Source reads the configuration that operators write and the registered targets.
type Source interface {
	// ReadConfiguration reads the configuration. Its document is nil if the
	// store last changed the configuration at revision known.
	ReadConfiguration(ctx context.Context, known uint64) (ingress.StoredDocument, error)
	// WatchConfiguration waits until the configuration may have changed after
	// a revision of the store, or wait has passed.
	WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (ingress.WatchResult, error)
	// ReadTargets lists the targets. It may wait until they have changed since the
	// last call, at most for wait.
	ReadTargets(ctx context.Context, wait time.Duration) (ingress.TargetList, error)
}

// Options configures a Service. Source, Clock, Log and Lifetime are required.
type Options struct {
	Source Source
	Clock  clockwork.Clock
	Log    *slog.Logger
	// Lifetime is how long a configuration may be used after the request by
	// which the store last confirmed it. It is shorter than the time after
	// which a withdrawn key must no longer work.
	Lifetime evidence.MaxAge
	// FinalRefusalAge is how old the last confirmation may be when a request is
	// refused in a way that callers do not retry; 0 means Lifetime. It is shorter
	// than the time after which a changed configuration must be in force.
	FinalRefusalAge evidence.MaxAge
	// Interval is the time between the starts of two reads of the targets; 0 means
	// 800 ms.
	Interval time.Duration
	// TargetWait is how long a read of the targets may wait for a change.
	TargetWait time.Duration
	// Wait bounds one watch of the configuration; 0 means 1 s. A watch that
	// ends without a change confirms that the configuration is still in force.
	Wait time.Duration
	// Timeout bounds one read; 0 means 1 s.
	Timeout time.Duration
}

const (
	defaultInterval     = 800 * time.Millisecond
	defaultWatchTimeout = time.Second
	// retryInterval is the time between two reads after a failure.
	retryInterval  = 100 * time.Millisecond
	defaultTimeout = time.Second
	// confirmTimeout bounds the time for which a request waits in Confirm.
	confirmTimeout = 400 * time.Millisecond
)

// defaultLimits apply to callers before a configuration is known.
var defaultLimits = ingress.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Service holds the configuration and the targets of one host. It is safe for
// concurrent use.
type Service struct {
	options Options
	reading chan struct{} // holds a value while the configuration is being read

	mu                 sync.Mutex // guards the fields below except loggedFaults and onChange
	view               *ingress.View
	document           *ingress.Document
	value              []byte // document as it is stored
	documentRevision   uint64 // store revision at which document was last changed
	storeRevision      uint64 // store revision up to which changes were checked
	evacuations        evacuations
	confirmed          evidence.Stamp // of the latest request by which the store confirmed document
	storeAway          bool           // whether the last request for the configuration failed
	targetsUnavailable bool           // whether the last request for the targets failed
	targets            discovery.Targets
	listed             evidence.Stamp               // of the latest request by which the store listed the targets
	changed            chan struct{}                // closed and replaced when the configuration or the evacuation orders change
	loggedFaults       []string                     // faults of the last read of targets; used by readTargets only
	onChange           []func(*ingress.View)        // set before Run
	onTargets          []func([]ingress.Target)     // set before Run
	coldUntil          map[model.TargetID]time.Time // end of the cold time of targets, as listed last
}

// New returns a Service. Run keeps it up to date.
func New(o Options) *Service {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Wait == 0 {
		o.Wait = defaultWatchTimeout
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.FinalRefusalAge == 0 {
		o.FinalRefusalAge = o.Lifetime
	}
	return &Service{options: o, reading: make(chan struct{}, 1), changed: make(chan struct{})}
}

// OnChange registers fn, which is called with each new view. It must be called
// before Run.
func (s *Service) OnChange(fn func(*ingress.View)) { s.onChange = append(s.onChange, fn) }

// OnTargets registers fn, which is called with each list of targets that was read,
// before the list is used. ColdFor of the targets counts from the call. OnTargets must
// be called before Run.
func (s *Service) OnTargets(fn func([]ingress.Target)) { s.onTargets = append(s.onTargets, fn) }

// Run reads the store until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.loop(ctx, 0, s.followConfiguration) })
	wg.Go(func() { s.loop(ctx, s.options.Interval, s.readTargets) })
	wg.Wait()
	return ctx.Err()
}

// loop repeats step until ctx ends, after a success at least an interval after its
// start, and after a failure with the pause retryInterval.
func (s *Service) loop(ctx context.Context, interval time.Duration, step func(context.Context) bool) {
	for ctx.Err() == nil {
		start := s.options.Clock.Now()
		delay := retryInterval
		if step(ctx) {
			delay = interval - s.options.Clock.Since(start)
		}
		wait.For(ctx, s.options.Clock, delay)
	}
}

// followConfiguration reads the configuration and watches it until it changes or
// a watch fails. It returns false if the read or a watch failed.
func (s *Service) followConfiguration(ctx context.Context) bool {
	if !s.readConfiguration(ctx, alwaysRead) {
		return false
	}
	for ctx.Err() == nil {
		s.mu.Lock()
		after := s.storeRevision
		s.mu.Unlock()
		asked := evidence.Now(s.options.Clock)
		result, err := s.options.Source.WatchConfiguration(ctx, after, s.options.Wait)
		switch {
		case err != nil:
			s.markStoreAway()
			s.logFailure(ctx, "failed to watch the configuration", err)
			return false
		case result.Changed:
			return true
		}
		s.mu.Lock()
		s.storeRevision = max(s.storeRevision, result.StoreRevision)
		s.recordConfirmation(asked.Before(result.Age))
		s.mu.Unlock()
	}
	return true
}

// alwaysRead is a maxAge for which readConfiguration never skips the read.
const alwaysRead evidence.MaxAge = -1

// readConfiguration reads the configuration, unless the store confirmed it within
// maxAge. Concurrent calls wait for each other. It returns false if the read failed
// or ctx ended.
func (s *Service) readConfiguration(ctx context.Context, maxAge evidence.MaxAge) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.Timeout)
	defer cancel()
	select {
	case s.reading <- struct{}{}:
		defer func() { <-s.reading }()
	case <-ctx.Done():
		return false
	}
	if s.Confirmed().Within(maxAge) {
		return true
	}
	s.mu.Lock()
	known := s.documentRevision
	s.mu.Unlock()
	asked := evidence.Now(s.options.Clock)
	stored, err := s.options.Source.ReadConfiguration(ctx, known)
	if err != nil {
		s.markStoreAway()
		s.logFailure(ctx, "failed to read the configuration", err)
		return false
	}
	s.mu.Lock()
	d := stored.Document
	evacuationsChanged := stored.StoreRevision >= s.storeRevision && s.evacuations.set(stored.Evacuated, s.options.Log)
	s.storeRevision = max(s.storeRevision, stored.StoreRevision)
	s.recordConfirmation(asked.Before(stored.Age))
	older := d != nil && s.document != nil && d.Revision < s.document.Revision
	if d == nil || older {
		view := s.applyEvacuationsLocked(evacuationsChanged)
		s.mu.Unlock()
		if older {
			s.options.Log.Error("older configuration ignored", "revision", d.Revision)
		}
		s.notify(view)
		return true
	}
	s.document, s.value, s.documentRevision = d, stored.Value, stored.Revision
	close(s.changed)
	s.changed = make(chan struct{})
	view := s.rebuildView()
	s.mu.Unlock()
	s.options.Log.Info("configuration changed", "revision", d.Revision, "routes", len(d.Routes), "workspaces", len(d.Workspaces))
	s.notify(view)
	return true
}

// recordConfirmation records that the store confirmed the configuration. The caller
// must hold mu.
func (s *Service) recordConfirmation(confirmed evidence.Stamp) {
	s.storeAway = false
	s.confirmed = evidence.Newer(s.confirmed, confirmed)
}

func (s *Service) markStoreAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeAway = true
}

// StoreAway reports whether the store failed to answer the last request for the
// configuration.
func (s *Service) StoreAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeAway
}

func (s *Service) logFailure(ctx context.Context, event string, err error) {
	if ctx.Err() != nil && !errors.Is(err, store.ErrUnavailable) {
		return
	}
	s.options.Log.Warn(event, "age", s.Age(), "error", err)
}

func (s *Service) readTargets(ctx context.Context) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.Timeout+s.options.TargetWait)
	defer cancel()
	asked := evidence.Now(s.options.Clock)
	list, err := s.options.Source.ReadTargets(ctx, s.options.TargetWait)
	if err != nil {
		s.mu.Lock()
		s.targets.SetStoreUnavailable()
		s.targetsUnavailable = true
		s.mu.Unlock()
		s.logFailure(ctx, "failed to read the targets", err)
		return false
	}
	s.logFaults(list.Faults)
	for _, fn := range s.onTargets {
		fn(list.Targets)
	}
	s.mu.Lock()
	list.Targets = s.takeColdLocked(list.Targets)
	changed := s.targets.Update(s.options.Clock.Now(), list.Targets)
	first := !s.listed.Known()
	s.listed, s.targetsUnavailable = asked.Before(list.Age), false
	var view *ingress.View
	if changed || first {
		view = s.rebuildView()
	}
	s.mu.Unlock()
	if view != nil {
		s.options.Log.Info("targets changed", "targets", len(list.Targets))
		s.notify(view)
	}
	return true
}

// MarkLeaving takes a target out of use that said in a response that it is leaving.
func (s *Service) MarkLeaving(id model.TargetID) {
	s.mu.Lock()
	var view *ingress.View
	if s.targets.MarkLeaving(s.options.Clock.Now(), id) {
		view = s.rebuildView()
	}
	s.mu.Unlock()
	if view != nil {
		s.options.Log.Info("target said that it is leaving", "target", id)
		s.notify(view)
	}
}

// logFaults logs the faults that the previous read did not have.
func (s *Service) logFaults(faults []error) {
	var current []string
	for _, err := range faults {
		text := err.Error()
		current = append(current, text)
		if !slices.Contains(s.loggedFaults, text) {
			s.options.Log.Warn("target entry ignored", "error", err)
		}
	}
	s.loggedFaults = current
}

// rebuildView makes a view from the configuration and the targets. It returns nil
// if either is not known yet. The caller must hold mu.
func (s *Service) rebuildView() *ingress.View {
	if s.document == nil || !s.listed.Known() {
		return nil
	}
	list := s.targets.List()
	sortTargets(list)
	s.view = ingress.NewView(s.document, list, s.evacuations.zones...)
	s.evacuations.log(s.options.Log, list)
	return s.view
}

func sortTargets(list []ingress.Target) {
	slices.SortFunc(list, func(a, b ingress.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

func (s *Service) notify(view *ingress.View) {
	if view == nil {
		return
	}
	for _, fn := range s.onChange {
		fn(view)
	}
}

// Confirmed returns the evidence for the configuration: the Stamp of the request by
// which the store last confirmed it.
func (s *Service) Confirmed() evidence.Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// Evidence returns the newest view, or nil, with the evidence that no newer
// configuration was in force.
func (s *Service) Evidence() (*ingress.View, evidence.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.confirmed
}

// Age returns the age of the evidence for the configuration, or evidence.Unknown.
func (s *Service) Age() time.Duration { return s.Confirmed().Age() }

// Confirmation returns the revision of the newest configuration, or 0 if there is
// none, and its Age.
func (s *Service) Confirmation() (model.Revision, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == nil {
		return 0, s.confirmed.Age()
	}
	return s.document.Revision, s.confirmed.Age()
}

// Confirm makes sure that the configuration may be the reason for a refusal that
// callers do not retry: it reads the configuration if the store last confirmed it
// more than FinalRefusalAge ago. It fails with a *model.Refusal if the read fails.
func (s *Service) Confirm(ctx context.Context) error {
	if s.Confirmed().Within(s.options.FinalRefusalAge) {
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, confirmTimeout)
	defer cancel()
	s.readConfiguration(ctx, s.options.FinalRefusalAge)
	if s.Confirmed().Within(s.options.FinalRefusalAge) {
		return nil
	}
	revision, age := s.Confirmation()
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "the request is not allowed by configuration %d, which the store last confirmed %v ago and which may have changed", revision, age).Retry(staleRetryAfter)
}

// Retry-After times of refusals. A host that has just started learns the
// configuration within a moment. An outage of the store lasts for seconds: callers
// that retry sooner use up their attempts before it ends.
const (
	notReadyRetryAfter = 300 * time.Millisecond
	staleRetryAfter    = 1200 * time.Millisecond
)

// View returns the configuration in force. It fails with a *model.Refusal if no
// configuration is known or the store last confirmed it more than Lifetime ago.
func (s *Service) View() (*ingress.View, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the configuration is not known yet").Retry(notReadyRetryAfter)
	}
	if !s.confirmed.Within(s.options.Lifetime) {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the store last confirmed configuration %d %v ago", s.view.Revision(), s.confirmed.Age()).Retry(staleRetryAfter)
	}
	return s.view, nil
}

// Latest returns the newest view regardless of its age, or nil.
func (s *Service) Latest() *ingress.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Limits returns the limits for callers.
func (s *Service) Limits() ingress.Limits {
	if v := s.Latest(); v != nil {
		return v.Limits()
	}
	return defaultLimits
}
