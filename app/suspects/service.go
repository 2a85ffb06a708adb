// Package suspects limits the number of targets that a request can crash, across
// all hosts.
//
// The owner of a request is the host chosen by rendezvous hashing of its
// fingerprint over the live hosts. It tracks the running copies of the request.
// Begin claims a run at the owner before a copy may be sent to a target. For a
// request that crashes each target that runs it, the guarantees are:
//
//   - While the membership is stable and all hosts reach each other, at most 2
//     copies run in the fleet at any time until one has ended without a crash.
//     Crashes count as copies that never end, and after the first crash a copy
//     runs only while no other does. The request therefore reaches at most 2
//     targets, even if it arrives at all hosts at the same time.
//   - The first run of a request does not wait for an unreachable owner, because
//     one dead host must not block the calls of the others. Until the membership
//     changes, and while hosts have different views of it, each owner may let 2
//     first copies run, and hosts that do not reach the owner run first copies
//     without a claim. Once the crash has been sent to all hosts, further copies
//     are limited as above, because every host knows the crash. A rerun after a
//     crash does need its claim: it is refused while the owner is unreachable.
//   - Crashes of the same target that are reported within 2 s count as one. They
//     come from copies at the same target, so the request has reached no other
//     target.
//   - A claim whose end is not reported counts for suspect.ClaimLifetime. If a
//     host dies while its copy runs, the crash of that copy is not reported.
package suspects

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"mimosarelay/app/wait"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/core/suspect"
	"mimosarelay/io/peer/peerpb"
)

// Peers sends messages to the other hosts.
type Peers interface {
	MarkSuspect(ctx context.Context, address string, request *peerpb.MarkSuspectRequest) (*peerpb.MarkSuspectResponse, error)
	// Peers returns the peer addresses of the other live members.
	Peers() []string
}

// Defaults of Options.
const (
	// DefaultKeyPrefix is the default prefix of the store keys of suspect
	// entries.
	DefaultKeyPrefix = "control/Suspect/"

	defaultPeerTimeout = time.Second
	defaultClaimWait   = 30 * time.Second
)

// Options configures a Service. Zero values mean the defaults.
type Options struct {
	// Host is this host, and Self is its peer address.
	Host  model.HostID
	Self  string
	Peers Peers
	// Incarnation returns the incarnation of this host, which identifies its
	// claims. If it is nil, the claims have no holder and MembersChanged drops
	// them.
	Incarnation func() model.Incarnation
	Store       store.Store
	// KeyPrefix is the prefix of the store keys of suspect entries; empty means
	// DefaultKeyPrefix.
	KeyPrefix string
	// PeerTimeout bounds one message to a peer; 0 means 1 s.
	PeerTimeout time.Duration
	// ClaimWait is how long Begin waits for other copies to end; 0 means 30 s.
	ClaimWait time.Duration
	// Bans says how long a request is refused; nil means for suspect.Lifetime.
	Bans suspect.Bans
	// ClaimLifetime is how long a claim counts whose end was not reported; 0 means
	// suspect.ClaimLifetime.
	ClaimLifetime time.Duration
	// Harmless is the number of harmless requests that are remembered; 0 means
	// suspect.DefaultHarmless.
	Harmless int
	Clock    clockwork.Clock
	Log      *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.KeyPrefix == "" {
		o.KeyPrefix = DefaultKeyPrefix
	}
	if o.PeerTimeout == 0 {
		o.PeerTimeout = defaultPeerTimeout
	}
	if o.ClaimWait == 0 {
		o.ClaimWait = defaultClaimWait
	}
	if o.ClaimLifetime == 0 {
		o.ClaimLifetime = suspect.ClaimLifetime
	}
	if o.Harmless == 0 {
		o.Harmless = suspect.DefaultHarmless
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	return o
}

// Service tracks the requests that crash targets. It is safe for concurrent use.
//
// Lock order: mu is the only lock. Options.Peers and Options.Store are not called
// with it held.
type Service struct {
	options Options
	ctx     context.Context // for background work, canceled by Close
	stop    context.CancelFunc
	work    sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	ledger     *suspect.Ledger
	claims     *suspect.Claims      // of the requests that this host owns
	harmless   *suspect.HarmlessSet // requests that ended without a crash at this host
	lastExpiry time.Time
}

// New returns a Service. Close ends its background work.
func New(o Options) *Service {
	ctx, stop := context.WithCancel(context.Background())
	o = o.withDefaults()
	claims := suspect.NewClaims()
	claims.Lifetime = o.ClaimLifetime
	return &Service{
		options: o, ctx: ctx, stop: stop,
		ledger: suspect.NewLedger(), claims: claims, harmless: suspect.NewHarmlessSet(o.Harmless),
	}
}

// Close stops the background work. Entries that have not been written to the
// store yet are known to the peers only.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	s.work.Wait()
}

// background runs work in a goroutine that Close waits for. It does nothing after
// Close.
func (s *Service) background(work func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.work.Go(work)
	}
}

// Check fails with model.ErrSuspect if the request may not run. exclusive means
// that the request has crashed a target, so that its next run must not be retried.
// Check claims nothing; the run itself must be claimed by Begin.
func (s *Service) Check(f model.Fingerprint) (exclusive bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	now := s.options.Clock.Now()
	if ban := s.ledger.BannedFor(now, f, s.options.Bans); ban > 0 {
		return false, s.errSuspect(ban)
	}
	return s.ledger.Crashes(now, f) > 0, nil
}

// OnTrial reports whether a request was banned and may run again. Such a run must be
// claimed by Begin, so that only one target is at risk.
func (s *Service) OnTrial(f model.Fingerprint) bool { return s.crashes(f) >= suspect.MaxCrashes }

// errSuspect returns the refusal of a request that is banned for a time.
func (s *Service) errSuspect(ban time.Duration) error {
	r := model.NewRefusal(model.ErrSuspect, model.RanNo, "the request crashed %d targets", suspect.MaxCrashes)
	if s.options.Bans == nil {
		return r // not worth a retry
	}
	return r.Retry(ban)
}

func (s *Service) crashes(f model.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.ledger.Crashes(s.options.Clock.Now(), f)
}

// expiryInterval is the time between two removals of expired entries.
const expiryInterval = time.Minute

// expire drops expired entries and claims, at most once per expiryInterval. The
// caller holds mu.
func (s *Service) expire() {
	now := s.options.Clock.Now()
	if now.Sub(s.lastExpiry) < expiryInterval {
		return
	}
	s.lastExpiry = now
	s.ledger.Expire(now)
	s.claims.Expire(now)
}

// RecordCrash records a crash and sends it to all peers before it returns. The
// message to an unreachable peer is repeated in the background until the peer
// answers or leaves the membership. The store is written in the background.
//
// The crash of a request that has succeeded is not recorded, but a second one is
// unless the request has succeeded in between.
func (s *Service) RecordCrash(ctx context.Context, f model.Fingerprint, target model.TargetID) {
	at := s.options.Clock.Now().Truncate(time.Millisecond) // peers receive milliseconds
	s.mu.Lock()
	if s.takeEvidence(f) {
		s.mu.Unlock()
		s.options.Log.Info("crash is not counted, the request has succeeded before", "fingerprint", f, "target", target)
		return
	}
	isNew := s.ledger.RecordCrash(at, f, suspect.Crash{Target: target, At: at})
	s.mu.Unlock()
	s.broadcast(context.WithoutCancel(ctx), &peerpb.MarkSuspectRequest{
		Sender: s.sender(), Fingerprint: string(f), Target: string(target), AtUnixMs: at.UnixMilli(),
	})
	if isNew {
		s.background(func() { s.save(f) })
	}
}

// Lift clears the crashes of a request on all hosts, at an operator's command.
func (s *Service) Lift(f model.Fingerprint) {
	at := s.options.Clock.Now().Truncate(time.Millisecond)
	s.mu.Lock()
	s.ledger.Lift(at, f, at)
	s.mu.Unlock()
	s.broadcast(s.ctx, &peerpb.MarkSuspectRequest{
		Sender: s.sender(), Fingerprint: string(f), AtUnixMs: at.UnixMilli(), Lift: true,
	})
	s.background(func() { s.save(f) })
}

func (s *Service) sender() *peerpb.Sender { return &peerpb.Sender{Host: string(s.options.Host)} }

// broadcast sends a message to all peers and waits for their answers. Failed
// messages are repeated in the background.
func (s *Service) broadcast(ctx context.Context, m *peerpb.MarkSuspectRequest) {
	var group sync.WaitGroup
	for _, a := range s.options.Peers.Peers() {
		group.Go(func() {
			if err := s.send(ctx, a, m); err != nil {
				s.options.Log.Warn("failed to send a crash or lift to the peer", "peer", a, "fingerprint", m.Fingerprint, "error", err)
				s.background(func() { s.resend(a, m) })
			}
		})
	}
	group.Wait()
}

func (s *Service) send(ctx context.Context, address string, m *peerpb.MarkSuspectRequest) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.PeerTimeout)
	defer cancel()
	response, err := s.options.Peers.MarkSuspect(ctx, address, m)
	if err == nil && response.Crashes == 0 && isCrash(m) {
		// The peer has seen the request succeed and does not count the crash.
		s.background(func() { s.clear(model.Fingerprint(m.Fingerprint), time.UnixMilli(m.AtUnixMs)) })
	}
	return err
}

// resendInterval is the time between two messages to a peer that does not answer.
const resendInterval = time.Second

// resend repeats a message until the peer answers or is no longer a live member.
func (s *Service) resend(address string, m *peerpb.MarkSuspectRequest) {
	for wait.For(s.ctx, s.options.Clock, resendInterval) && slices.Contains(s.options.Peers.Peers(), address) {
		if s.send(s.ctx, address, m) == nil {
			return
		}
	}
}

// HandleMarkSuspect serves the RPC MarkSuspect.
func (s *Service) HandleMarkSuspect(_ context.Context, m *peerpb.MarkSuspectRequest) (*peerpb.MarkSuspectResponse, error) {
	if m.Fingerprint == "" {
		return nil, errors.New("mark suspect: empty fingerprint")
	}
	f := model.Fingerprint(m.Fingerprint)
	at := time.UnixMilli(m.AtUnixMs)
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case m.Lift:
		s.ledger.Lift(now, f, at)
	case strings.HasPrefix(m.Target, claimPrefix):
		id := suspect.ClaimID(strings.TrimPrefix(m.Target, claimPrefix))
		v := suspect.Refused
		if s.ledger.BannedFor(now, f, s.options.Bans) == 0 {
			// After a ban only one copy runs, as after the first crash.
			v = s.claims.Claim(now, f, id, min(s.ledger.Crashes(now, f), suspect.MaxCrashes-1))
		}
		return &peerpb.MarkSuspectResponse{Crashes: uint32(v)}, nil
	case strings.HasPrefix(m.Target, harmlessPrefix):
		s.claims.End(now, f, suspect.ClaimID(strings.TrimPrefix(m.Target, harmlessPrefix)), true)
	case strings.HasPrefix(m.Target, endPrefix):
		s.claims.End(now, f, suspect.ClaimID(strings.TrimPrefix(m.Target, endPrefix)), false)
	case m.Target == "":
		return nil, errors.New("mark suspect: empty target")
	case s.takeEvidence(f): // not counted, see RecordCrash
		return &peerpb.MarkSuspectResponse{}, nil
	default:
		s.ledger.RecordCrash(now, f, suspect.Crash{Target: model.TargetID(m.Target), At: at})
	}
	return &peerpb.MarkSuspectResponse{Crashes: uint32(s.ledger.Crashes(now, f))}, nil
}

// Claims and their ends are sent in the Target field of MarkSuspect, with one of
// these prefixes. The response to a claim holds the suspect.Verdict in its Crashes
// field. Names of targets contain no slash.
const (
	claimPrefix    = "claim/"
	harmlessPrefix = "harmless/"
	endPrefix      = "end/"
)

// Run is the permission to send one copy of a request to one target.
type Run struct {
	service     *Service
	fingerprint model.Fingerprint
	id          suspect.ClaimID
	owner       string // empty if the run is not claimed
	exclusive   bool
	once        sync.Once
}

// Exclusive reports whether the copy must not be retried, because the request has
// crashed a target before.
func (r *Run) Exclusive() bool { return r.exclusive }

// End ends the run. It must be called when the target no longer works on the
// copy, and after RecordCrash if the target crashed. harmless says that the target
// survived the whole run.
func (r *Run) End(harmless bool) {
	r.once.Do(func() { r.service.end(r, harmless) })
}

func (s *Service) end(r *Run, harmless bool) {
	if harmless {
		s.RecordSuccess(r.fingerprint)
	}
	if r.owner == "" {
		return
	}
	prefix := endPrefix
	if harmless {
		prefix = harmlessPrefix
	}
	m := &peerpb.MarkSuspectRequest{Sender: s.sender(), Fingerprint: string(r.fingerprint), Target: prefix + string(r.id)}
	if r.owner == s.options.Self {
		_, _ = s.HandleMarkSuspect(s.ctx, m) // the message is well-formed
		return
	}
	s.background(func() {
		// The owner must know the crash before it stops counting the run,
		// because otherwise it could grant a further run.
		for s.sendCrashes(s.ctx, r.owner, r.fingerprint) != nil || s.send(s.ctx, r.owner, m) != nil {
			if !wait.For(s.ctx, s.options.Clock, resendInterval) || !slices.Contains(s.options.Peers.Peers(), r.owner) {
				return
			}
		}
	})
}

// sendCrashes sends the known crashes of a request to its owner, because the owner
// may have restarted or become the owner after they were broadcast.
func (s *Service) sendCrashes(ctx context.Context, owner string, f model.Fingerprint) error {
	s.mu.Lock()
	e := s.ledger.Get(f)
	s.mu.Unlock()
	for _, c := range e.Crashes {
		err := s.send(ctx, owner, &peerpb.MarkSuspectRequest{
			Sender: s.sender(), Fingerprint: string(f), Target: string(c.Target), AtUnixMs: c.At.UnixMilli(),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// claimRetryInterval is the time between two claims while other copies run.
const claimRetryInterval = 50 * time.Millisecond

// Begin claims the permission to send one copy of a request to one target. Call it
// before each attempt and before acquiring a place at a target, because it waits
// for up to ClaimWait while other copies run that may crash their targets. It
// fails with a *model.Refusal whose Ran is RanNo: the copy was not sent.
func (s *Service) Begin(ctx context.Context, f model.Fingerprint) (*Run, error) {
	r := &Run{service: s, fingerprint: f, id: s.newClaimID()}
	deadline := s.options.Clock.Now().Add(s.options.ClaimWait)
	for {
		if s.knownHarmless(f) {
			return r, nil
		}
		v, err := s.claim(ctx, r)
		switch {
		case err != nil && s.crashes(f) == 0:
			s.options.Log.Warn("failed to claim a run at its owner, running without a claim", "fingerprint", f, "owner", r.owner, "error", err)
			return r, nil
		case err != nil:
			r.End(false)
			return nil, unavailable("the host that tracks the copies of this request cannot be reached")
		case v == suspect.Refused:
			return nil, s.errSuspect(claimRetryInterval)
		case v != suspect.Busy:
			r.exclusive = v == suspect.GrantedExclusive
			return r, nil
		}
		if !s.options.Clock.Now().Before(deadline) {
			return nil, unavailable("other copies of this request are still running")
		}
		select {
		case <-ctx.Done():
			return nil, unavailable("the caller stopped waiting")
		case <-s.options.Clock.After(claimRetryInterval):
		}
	}
}

func (s *Service) newClaimID() suspect.ClaimID {
	holder := ""
	if s.options.Incarnation != nil {
		holder = string(s.options.Incarnation())
	}
	return suspect.ClaimID(holder + "/" + uuid.NewString())
}

// MembersChanged drops the claims of hosts that are no longer members. Otherwise
// calls with the same content as the calls of a killed host would wait for the end
// of these, which nobody reports.
func (s *Service) MembersChanged(live []model.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims.DropAbsentHolders(func(holder string) bool { return slices.Contains(live, model.Incarnation(holder)) })
}

func unavailable(reason string) error {
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "%s", reason).Retry(time.Second)
}

// knownHarmless reports whether the request needs no claim, because it has ended
// at this host without a crash and has no known crashes.
func (s *Service) knownHarmless(f model.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	return s.ledger.Crashes(now, f) == 0 && s.harmless.Has(now, f)
}

// claim sends one claim to the owner. After an error the owner may or may not
// count it.
func (s *Service) claim(ctx context.Context, r *Run) (suspect.Verdict, error) {
	if _, err := s.Check(r.fingerprint); err != nil {
		return suspect.Refused, nil //nolint:nilerr // the verdict says it
	}
	r.owner = suspect.Owner(r.fingerprint, append(slices.Clone(s.options.Peers.Peers()), s.options.Self))
	m := &peerpb.MarkSuspectRequest{Sender: s.sender(), Fingerprint: string(r.fingerprint), Target: claimPrefix + string(r.id)}
	if r.owner == s.options.Self {
		response, err := s.HandleMarkSuspect(ctx, m)
		if err != nil {
			return suspect.Refused, err
		}
		return suspect.Verdict(response.Crashes), nil
	}
	if err := s.sendCrashes(ctx, r.owner, r.fingerprint); err != nil {
		return suspect.Refused, fmt.Errorf("send known crashes to owner %s: %w", r.owner, err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.PeerTimeout)
	defer cancel()
	response, err := s.options.Peers.MarkSuspect(ctx, r.owner, m)
	if err != nil {
		return suspect.Refused, fmt.Errorf("claim run at owner %s: %w", r.owner, err)
	}
	return suspect.Verdict(response.Crashes), nil
}

// Dump returns the state as shown to operators.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Suspects []suspect.Entry
		Claimed  int
	}{Suspects: s.ledger.Entries(), Claimed: s.claims.Running()}
}
