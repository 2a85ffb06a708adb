// Package suspects keeps requests that crash their targets away from further
// targets, on all hosts.
//
// The owner host of a request, found by rendezvous hashing of its fingerprint
// over the live hosts, counts its running copies. Begin claims a run there
// before a copy may be sent to a target. Guarantees, for a request that
// crashes each target that runs it:
//
//   - In a stable membership whose hosts reach each other, at most 2 copies run
//     fleet-wide at any time until one has ended well, crashes count as copies
//     that never end, and after the first crash a copy runs only if no other
//     does. So the request reaches at most 2 targets, also if it arrives at
//     all hosts at the same time.
//   - A first run does not wait for an owner that cannot be reached, because
//     one dead host must not stop the calls of the others. Until the membership
//     changes, and while hosts have different views of it, each owner or host
//     that counts for itself may let 2 first copies run. Copies that arrive
//     after the crash was told are bounded as above, because all hosts know the
//     crash. The rerun after a crash does wait: it is refused without a claim.
//   - Crashes that are reported for the same target within 2 s count as one.
//     They come from copies at the same target, so that no further target is
//     reached.
//   - A claim whose end is not reported counts for suspect.ClaimLifetime. If a
//     host dies while its copy runs, nobody reports the crash of that copy.
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

// Peers reaches the other hosts.
type Peers interface {
	MarkSuspect(ctx context.Context, address string, request *peerpb.MarkSuspectRequest) (*peerpb.MarkSuspectResponse, error)
	// Peers returns the peer addresses of the other live members.
	Peers() []string
}

// Defaults of Options.
const (
	// DefaultKeyPrefix is the prefix of the store keys of suspects.
	DefaultKeyPrefix = "control/Suspect/"

	defaultPeerTimeout = time.Second
	defaultClaimWait   = 30 * time.Second
)

// Options configures a Service. Zero values mean the defaults.
type Options struct {
	// Host is this host and Self its peer address.
	Host  model.HostID
	Self  string
	Peers Peers
	// Incarnation returns that of this host, which marks its claims; nil means
	// that it has none.
	Incarnation func() model.Incarnation
	Store       store.Store
	// KeyPrefix is the prefix of the store keys; empty means
	// DefaultKeyPrefix.
	KeyPrefix string
	// PeerTimeout bounds one message to a peer; 0 means 1 s.
	PeerTimeout time.Duration
	// ClaimWait is how long a call waits for the end of other copies; 0 means
	// 30 s.
	ClaimWait time.Duration
	Clock     clockwork.Clock
	Log       *slog.Logger
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
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	return o
}

// Service knows the requests that crash targets. It is safe for concurrent
// use.
//
// Lock order: mu is the only lock, and no port is called with it held.
type Service struct {
	options Options
	ctx     context.Context // of background work
	stop    context.CancelFunc
	work    sync.WaitGroup

	mu     sync.Mutex
	closed bool
	ledger *suspect.Ledger
	claims *suspect.Claims      // of the requests that this host owns
	proven *suspect.HarmlessSet // requests that ended well at this host
	swept  time.Time
}

// New returns a Service. Close ends its background work.
func New(o Options) *Service {
	ctx, stop := context.WithCancel(context.Background())
	return &Service{
		options: o.withDefaults(), ctx: ctx, stop: stop,
		ledger: suspect.NewLedger(), claims: suspect.NewClaims(), proven: suspect.NewHarmlessSet(),
	}
}

// Close ends the background work. Writes to the store that did not succeed yet
// are lost; the peers know them.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	s.work.Wait()
}

// background runs work until Close.
func (s *Service) background(work func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.work.Go(work)
	}
}

// Check fails with model.ErrSuspect if the request may not run. alone means
// that it may run once more, without a second attempt. Check changes nothing:
// the right to run comes from Begin.
func (s *Service) Check(f model.Fingerprint) (alone bool, err error) {
	n := s.crashes(f)
	if n >= suspect.MaxCrashes {
		return false, errSuspect()
	}
	return n > 0, nil
}

func errSuspect() error {
	return model.NewRefusal(model.ErrSuspect, model.RanNo, "the request crashed %d targets", suspect.MaxCrashes)
}

func (s *Service) crashes(f model.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	return s.ledger.Crashes(s.options.Clock.Now(), f)
}

// sweepInterval is the time between two searches for expired entries.
const sweepInterval = time.Minute

// sweep drops expired entries. The caller holds mu.
func (s *Service) sweep() {
	now := s.options.Clock.Now()
	if now.Sub(s.swept) < sweepInterval {
		return
	}
	s.swept = now
	s.ledger.Expire(now)
	s.claims.Expire(now)
}

// RecordCrash records a crash and tells all peers before it returns. A peer that
// cannot be reached is told in the background until it answers or is no longer
// a peer. The store is written in the background.
func (s *Service) RecordCrash(ctx context.Context, f model.Fingerprint, target model.TargetID) {
	at := s.options.Clock.Now().Truncate(time.Millisecond) // as sent to peers
	s.mu.Lock()
	s.proven.Remove(f)
	fresh := s.ledger.RecordCrash(at, f, suspect.Crash{Target: target, At: at})
	s.mu.Unlock()
	s.tell(context.WithoutCancel(ctx), &peerpb.MarkSuspectRequest{
		Sender: s.sender(), Fingerprint: string(f), Target: string(target), AtUnixMs: at.UnixMilli(),
	})
	if fresh {
		s.background(func() { s.save(f) })
	}
}

// Lift clears the crashes of a request on all hosts.
func (s *Service) Lift(f model.Fingerprint) {
	at := s.options.Clock.Now().Truncate(time.Millisecond)
	s.mu.Lock()
	s.ledger.Lift(at, f, at)
	s.mu.Unlock()
	s.tell(s.ctx, &peerpb.MarkSuspectRequest{
		Sender: s.sender(), Fingerprint: string(f), AtUnixMs: at.UnixMilli(), Lift: true,
	})
	s.background(func() { s.save(f) })
}

func (s *Service) sender() *peerpb.Sender { return &peerpb.Sender{Host: string(s.options.Host)} }

// tell sends a message to all peers and waits for their answers.
func (s *Service) tell(ctx context.Context, m *peerpb.MarkSuspectRequest) {
	var group sync.WaitGroup
	for _, a := range s.options.Peers.Peers() {
		group.Go(func() {
			if err := s.send(ctx, a, m); err != nil {
				s.options.Log.Warn("peer not told of a suspect request", "peer", a, "fingerprint", m.Fingerprint, "error", err)
				s.background(func() { s.resend(a, m) })
			}
		})
	}
	group.Wait()
}

func (s *Service) send(ctx context.Context, address string, m *peerpb.MarkSuspectRequest) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.PeerTimeout)
	defer cancel()
	_, err := s.options.Peers.MarkSuspect(ctx, address, m)
	return err
}

// resendPause is the time between two messages to a peer that does not answer.
const resendPause = time.Second

// resend repeats a message until the peer answers or is gone.
func (s *Service) resend(address string, m *peerpb.MarkSuspectRequest) {
	for wait.For(s.ctx, s.options.Clock, resendPause) && slices.Contains(s.options.Peers.Peers(), address) {
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
	s.sweep()
	switch {
	case m.Lift:
		s.ledger.Lift(now, f, at)
	case strings.HasPrefix(m.Target, claimPrefix):
		id := suspect.ClaimID(strings.TrimPrefix(m.Target, claimPrefix))
		v := s.claims.Claim(now, f, id, s.ledger.Crashes(now, f))
		return &peerpb.MarkSuspectResponse{Crashes: uint32(v)}, nil
	case strings.HasPrefix(m.Target, harmlessPrefix):
		s.claims.End(now, f, suspect.ClaimID(strings.TrimPrefix(m.Target, harmlessPrefix)), true)
	case strings.HasPrefix(m.Target, endPrefix):
		s.claims.End(now, f, suspect.ClaimID(strings.TrimPrefix(m.Target, endPrefix)), false)
	case m.Target == "":
		return nil, errors.New("mark suspect: empty target")
	default:
		s.proven.Remove(f)
		s.ledger.RecordCrash(now, f, suspect.Crash{Target: model.TargetID(m.Target), At: at})
	}
	return &peerpb.MarkSuspectResponse{Crashes: uint32(s.ledger.Crashes(now, f))}, nil
}

// Claims travel in the field Target of MarkSuspect, whose response then holds
// the suspect.Verdict. Names of targets contain no slash.
const (
	claimPrefix    = "claim/"
	harmlessPrefix = "harmless/"
	endPrefix      = "end/"
)

// Run is the right to send one copy of a request to one target.
type Run struct {
	service *Service
	print   model.Fingerprint
	id      suspect.ClaimID
	owner   string // empty: not claimed
	alone   bool
	once    sync.Once
}

// Exclusive says that the copy may run without a second attempt.
func (r *Run) Exclusive() bool { return r.alone }

// End ends the run. It must be called once the target no longer works on the
// copy, and after RecordCrash if the target crashed. harmless says that the call
// ended well.
func (r *Run) End(harmless bool) {
	r.once.Do(func() { r.service.end(r, harmless) })
}

func (s *Service) end(r *Run, harmless bool) {
	if harmless {
		s.mu.Lock()
		if s.ledger.Crashes(s.options.Clock.Now(), r.print) == 0 {
			s.proven.Add(s.options.Clock.Now(), r.print)
		}
		s.mu.Unlock()
	}
	if r.owner == "" {
		return
	}
	prefix := endPrefix
	if harmless {
		prefix = harmlessPrefix
	}
	m := &peerpb.MarkSuspectRequest{Sender: s.sender(), Fingerprint: string(r.print), Target: prefix + string(r.id)}
	if r.owner == s.options.Self {
		_, _ = s.HandleMarkSuspect(s.ctx, m) // the message is well-formed
		return
	}
	s.background(func() {
		// The owner must know the crash before it stops counting the run.
		for s.teach(s.ctx, r.owner, r.print) != nil || s.send(s.ctx, r.owner, m) != nil {
			if !wait.For(s.ctx, s.options.Clock, resendPause) || !slices.Contains(s.options.Peers.Peers(), r.owner) {
				return
			}
		}
	})
}

// teach tells the owner of a request the crashes that this host knows, because
// the owner may have restarted or become owner after they were told.
func (s *Service) teach(ctx context.Context, owner string, f model.Fingerprint) error {
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

// claimPause is the time between two claims while other copies run.
const claimPause = 50 * time.Millisecond

// Begin asks for the right to send one copy of a request to one target. It is
// called before each attempt and before a place at a target is taken, because
// it waits up to ClaimWait while other copies run that may crash their targets.
// It fails with a *model.Refusal that says that the copy did not run.
func (s *Service) Begin(ctx context.Context, f model.Fingerprint) (*Run, error) {
	r := &Run{service: s, print: f, id: s.newClaim()}
	deadline := s.options.Clock.Now().Add(s.options.ClaimWait)
	for {
		if s.known(f) {
			return r, nil
		}
		v, err := s.claim(ctx, r)
		switch {
		case err != nil && s.crashes(f) == 0:
			s.options.Log.Warn("run not claimed", "fingerprint", f, "owner", r.owner, "error", err)
			return r, nil
		case err != nil:
			r.End(false)
			return nil, busy("the host that counts the runs of this request cannot be reached")
		case v == suspect.Refused:
			return nil, errSuspect()
		case v != suspect.Busy:
			r.alone = v == suspect.GrantedExclusive
			return r, nil
		}
		if !s.options.Clock.Now().Before(deadline) {
			return nil, busy("other copies of this request run")
		}
		select {
		case <-ctx.Done():
			return nil, busy("the caller stopped waiting")
		case <-s.options.Clock.After(claimPause):
		}
	}
}

func (s *Service) newClaim() suspect.ClaimID {
	holder := ""
	if s.options.Incarnation != nil {
		holder = string(s.options.Incarnation())
	}
	return suspect.ClaimID(holder + "/" + uuid.NewString())
}

// MembersChanged drops the claims of hosts that are no longer members. Without
// it, calls with the content of a killed host's calls would wait for their end.
func (s *Service) MembersChanged(live []model.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims.DropAbsentHolders(func(holder string) bool { return slices.Contains(live, model.Incarnation(holder)) })
}

func busy(reason string) error {
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "%s", reason).Retry(time.Second)
}

// known reports whether the request needs no claim because it ended well at
// this host before and crashed nothing.
func (s *Service) known(f model.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	return s.ledger.Crashes(now, f) == 0 && s.proven.Has(now, f)
}

// claim asks the owner once. After an error the claim may or may not count
// there.
func (s *Service) claim(ctx context.Context, r *Run) (suspect.Verdict, error) {
	if s.crashes(r.print) >= suspect.MaxCrashes {
		return suspect.Refused, nil
	}
	r.owner = suspect.Owner(r.print, append(slices.Clone(s.options.Peers.Peers()), s.options.Self))
	m := &peerpb.MarkSuspectRequest{Sender: s.sender(), Fingerprint: string(r.print), Target: claimPrefix + string(r.id)}
	if r.owner == s.options.Self {
		answer, err := s.HandleMarkSuspect(ctx, m)
		if err != nil {
			return suspect.Refused, err
		}
		return suspect.Verdict(answer.Crashes), nil
	}
	if err := s.teach(ctx, r.owner, r.print); err != nil {
		return suspect.Refused, fmt.Errorf("tell %s of crashes: %w", r.owner, err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.PeerTimeout)
	defer cancel()
	answer, err := s.options.Peers.MarkSuspect(ctx, r.owner, m)
	if err != nil {
		return suspect.Refused, fmt.Errorf("claim at %s: %w", r.owner, err)
	}
	return suspect.Verdict(answer.Crashes), nil
}

// Dump returns the state for operators.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Suspects []suspect.Entry
		Claimed  int
	}{Suspects: s.ledger.Entries(), Claimed: s.claims.Running()}
}
