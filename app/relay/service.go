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
	"mimosarelay/core/model"
	"mimosarelay/io/target"
)

// Options configures a Service. All fields but Log and Scope are required.
type Options struct {
	Contracts Contracts
	Limiter   Limiter
	Programs  Programs
	Owners    Owners
	Peers     Peers
	Placer    Placer
	Suspects  Suspects
	Targets   *target.Client
	// Rights, Dialect, Turns and Loads are needed by Forward only, which needs no
	// Contracts, Programs, Owners or Peers. Turns is nil if programs have no budget
	// of their own, Loads if targets tell no load.
	Rights  Rights
	Dialect Dialect
	Turns   Turns
	Loads   LoadReports
	Clock   clockwork.Clock
	Log     *slog.Logger
	Scope   tally.Scope
	// StreamIdle ends a target exchange without progress; 0 means 20 s.
	StreamIdle time.Duration
	// ForwardWait bounds how long a call waits for an owner that can be
	// reached; 0 means 12 s, longer than the removal of a failed host takes.
	ForwardWait time.Duration
}

const (
	defaultStreamIdle  = 20 * time.Second
	defaultForwardWait = 12 * time.Second
	// maxAttempts bounds how many targets an idempotent call tries.
	maxAttempts = 3
	// maxAnswer bounds the answer of a plain service, in bytes.
	maxAnswer = 8 << 20
	// finishTimeout bounds the commit of a finished call, whose caller may be
	// gone already.
	finishTimeout = 15 * time.Second
)

// Service carries out calls on one host.
type Service struct {
	Options
	metrics          metrics
	recordedPrefixes *recordedPrefixes
	peerCalls        atomic.Int64 // running calls of other hosts
}

type metrics struct {
	calls, refusals, forwards, retries, resumes, broken tally.Counter
	// header is the time until the head of an answer is known.
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
	return &Service{Options: o, metrics: newMetrics(o.Scope.SubScope("calls")), recordedPrefixes: newRecordedPrefixes()}
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		calls:    s.Counter("total"),
		refusals: s.Counter("refused"),
		forwards: s.Counter("forwarded"),
		retries:  s.Counter("retried"),
		resumes:  s.Counter("resumed"),
		broken:   s.Counter("broken"),
		header:   s.Histogram("header_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
	}
}

// Handle admits a call at the host that received it and carries it out here or
// at the owner of its program. Errors are *model.Refusal or end of ctx.
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

// runOwned carries out a call if this host may run calls of its shard.
func (s *Service) runOwned(ctx context.Context, r *Request) (*Answer, error) {
	if err := s.checkRight(r); err != nil {
		return nil, err
	}
	return s.Run(ctx, r)
}

// Run carries out a call on this host, which owns its program if it has one.
func (s *Service) Run(ctx context.Context, r *Request) (*Answer, error) {
	switch {
	case r.Query != "":
		return s.runQuery(ctx, r)
	case r.Route != "":
		return s.runService(ctx, r)
	}
	return s.runChat(ctx, r)
}

// fingerprint identifies the content of a call, whoever sends it.
func fingerprint(parts ...[]byte) model.Fingerprint {
	h, err := blake2b.New256(nil)
	if err != nil {
		panic(err) // only a key longer than 64 bytes fails
	}
	for _, p := range parts {
		_, _ = h.Write(p)
		_, _ = h.Write([]byte{0})
	}
	return model.Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// asRefusal turns any error into a refusal.
func asRefusal(err error, ran model.Ran) *model.Refusal {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return model.NewRefusal(model.ErrUnavailable, ran, "%v", err)
}
