package relay

import (
	"context"
	"encoding/hex"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/crypto/blake2b"

	"mimosarelay/core/config"
	"mimosarelay/core/health"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/io/target"
)

// Options configures a Service. Fields are required unless noted otherwise; Log
// and Scope may be nil.
type Options struct {
	Contracts Contracts
	Limiter   Limiter
	Programs  Programs
	Owners    Owners
	Peers     Peers
	Placer    Placer
	Suspects  Suspects
	Targets   *target.Client
	// Rights, Dialect, Turns, Loads, Departures, Pacer and Pauser are used by
	// Forward only, which does not use Contracts, Programs, Owners and Peers. Turns
	// is nil if programs have no budget, Loads is nil if targets do not report their
	// load, Departures is nil if they do not say that they are leaving, and Pacer and
	// Pauser are nil if they do not state the rate that they take.
	Rights     Rights
	Dialect    Dialect
	Turns      Turns
	Loads      LoadReports
	Departures Departures
	Pacer      Pacer
	// Conversations is used by Forward on routes that keep turns; nil if none does.
	Conversations Conversations
	Pauser        Pauser
	// PauseMalformed makes Forward pause targets that send malformed answers. It needs
	// Pauser, and is not set if targets are judged by the outcomes of requests.
	PauseMalformed bool
	// Zones is nil if no zone is ever evacuated.
	Zones Zones
	Clock clockwork.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// StreamIdle is the time without progress after which an exchange with a
	// target is ended; 0 means 20 s.
	StreamIdle time.Duration
	// Memory reserves the answers of calls that other hosts forward; nil for no limit.
	// Those of other calls are reserved from Request.Memory and Forward.Memory.
	Memory *memory.Account
	// ForwardWait limits how long a call waits for a reachable owner; 0 means
	// 12 s, which is longer than the removal of a failed host takes.
	ForwardWait time.Duration
}

const (
	defaultStreamIdle = 20 * time.Second
	// stallFactor is the multiple of StreamIdle after which a stream is ended that
	// sends bytes but no data. Engines send comments while a request waits for its
	// turn.
	stallFactor        = 3
	defaultForwardWait = 12 * time.Second
	// maxAttempts limits the attempts of an idempotent call.
	maxAttempts = 3
	// maxAnswer limits an answer that is not streamed, in bytes.
	maxAnswer = 8 << 20
	// finishTimeout limits the work after the end of a call, whose caller may
	// have disconnected: the commit, or cancelling its stream at the engine.
	finishTimeout = 15 * time.Second
)

// Service executes calls on one host.
type Service struct {
	Options
	metrics          metrics
	recordedPrefixes *recordedPrefixes
	peerCalls        atomic.Int64 // running calls that other hosts forwarded
	malformed        malformedAnswers
}

type metrics struct {
	calls, refusals, forwards, retries, resumes, broken tally.Counter
	// withoutMemory counts the streams that were broken off for want of memory.
	withoutMemory tally.Counter
	// pausedMalformed counts the pauses of targets that sent malformed answers.
	pausedMalformed tally.Counter
	// header is the time until the header of an answer is known.
	header tally.Histogram
}

// New returns a Service.
func New(o Options) *Service {
	if o.StreamIdle == 0 {
		o.StreamIdle = defaultStreamIdle
	}
	if o.ForwardWait == 0 {
		o.ForwardWait = defaultForwardWait
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Service{Options: o, metrics: newMetrics(o.Scope.SubScope("calls")), recordedPrefixes: newRecordedPrefixes(), malformed: malformedAnswers{runs: health.NewMalformedRuns()}}
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		calls:    s.Counter("total"),
		refusals: s.Counter("refused"),
		forwards: s.Counter("forwarded"),
		retries:  s.Counter("retried"),
		resumes:  s.Counter("resumed"),
		broken:   s.Counter("broken"),

		withoutMemory:   s.Counter("broken_without_memory"),
		pausedMalformed: s.Counter("targets_paused_malformed"),
		header:          s.Histogram("header_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
	}
}

// Handle admits a call at the host that received it and runs it here or at the
// owner of its program. Errors are *model.Refusal or the error of ctx.
func (s *Service) Handle(ctx context.Context, r *Request) (*Answer, error) {
	s.metrics.calls.Inc(1)
	start := s.Clock.Now()
	answer, err := s.handle(ctx, r)
	if err != nil {
		s.metrics.refusals.Inc(1)
		return nil, err
	}
	s.metrics.header.RecordDuration(s.Clock.Since(start))
	return answer, nil
}

func (s *Service) handle(ctx context.Context, r *Request) (*Answer, error) {
	if err := s.checkContract(r); err != nil {
		return nil, err
	}
	if r.Workspace != "" && r.Query == "" {
		if err := s.Limiter.Admit(ctx, r.Workspace); err != nil {
			return nil, err
		}
	}
	if !r.recorded() {
		return s.Run(ctx, r)
	}
	return s.route(ctx, r)
}

func (s *Service) checkContract(r *Request) error {
	snapshot := s.Contracts.Current()
	if r.Route != "" {
		return s.checkRoute(snapshot, r)
	}
	if _, ok := snapshot.Workspace(r.Workspace); !ok {
		return model.NewRefusal(model.ErrUnauthorized, model.RanNo, "workspace %q has no contract", r.Workspace)
	}
	return nil
}

func (s *Service) checkRoute(snapshot *config.Snapshot, r *Request) error {
	route, ok := snapshot.Route(r.Route)
	if !ok {
		return model.NewRefusal(model.ErrNotFound, model.RanNo, "route %q does not exist", r.Route)
	}
	if route.Open {
		return nil
	}
	workspace, ok := snapshot.Workspace(r.Workspace)
	if !ok {
		return model.NewRefusal(model.ErrUnauthorized, model.RanNo, "route %q needs a key", r.Route)
	}
	if !workspace.MayUseRoute(r.Route) {
		return model.NewRefusal(model.ErrForbidden, model.RanNo, "the contract does not grant route %q", r.Route)
	}
	return nil
}

// runOwned runs a call if this host may run calls of its shard.
func (s *Service) runOwned(ctx context.Context, r *Request) (*Answer, error) {
	if err := s.checkRight(r); err != nil {
		return nil, err
	}
	return s.Run(ctx, r)
}

// Run runs a call on this host. If the call belongs to a program, this host must
// own it.
func (s *Service) Run(ctx context.Context, r *Request) (*Answer, error) {
	switch {
	case r.Query != "":
		return s.runQuery(ctx, r)
	case r.Route != "":
		return s.runService(ctx, r)
	}
	return s.runChat(ctx, r)
}

// fingerprint returns a hash of the content of a call. It covers neither the key
// nor the id of the request, so that the same content has the same fingerprint
// also when it is sent again or with another key.
func fingerprint(parts ...[]byte) model.Fingerprint {
	h, err := blake2b.New256(nil)
	if err != nil {
		panic(err) // New256 fails only for a key longer than 64 bytes
	}
	for _, p := range parts {
		_, _ = h.Write(p)
		_, _ = h.Write([]byte{0})
	}
	return model.Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// asRefusal returns the refusal in the chain of err, or a refusal of kind
// model.ErrUnavailable with the given outcome.
func asRefusal(err error, ran model.Ran) *model.Refusal {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return model.NewRefusal(model.ErrUnavailable, ran, "%v", err)
}
