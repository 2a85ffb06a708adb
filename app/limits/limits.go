// Package limits admits requests against the rate and burst of their workspace.
// Each host holds a share of every limit. Hosts transfer shares to where requests
// arrive, and at each membership epoch a settlement grants the shares that no host
// holds.
package limits

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/app/wait"
	"mimosarelay/core/config"
	"mimosarelay/core/escrow"
	"mimosarelay/core/evidence"
	"mimosarelay/core/limit"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// Keys in the store.
const (
	// SharesKey is the key of the settlement rounds of the current epoch.
	SharesKey = "Shares"
	// EnterPrefix is the prefix of the keys of entry reports; the host follows.
	EnterPrefix = "Enter/"
)

// Defaults of Options.
const (
	defaultLimitWait = time.Second
	// A peer responds within milliseconds. After two timeouts there must be time
	// left within LimitWait to request from other peers.
	defaultTransferTimeout = 150 * time.Millisecond
)

// The loss of a host leaves a backlog of waiting requests. If requests arrive at
// exactly the rate, the backlog does not shrink: waits stay just below LimitWait and
// any further delay leads to refusals. So for backlogDrainTime after the share of the
// removed host has been granted again, requests wait at most
// LimitWait/backlogWaitDivisor.
const (
	backlogDrainTime   = 2 * time.Second
	backlogWaitDivisor = 2
)

// Member is a host that belongs to an epoch.
type Member struct {
	Host        model.HostID
	Incarnation model.Incarnation
	PeerAddress string
	Leaving     bool // is granted no shares
}

// Membership holds the members of an epoch and the identity of this host.
type Membership struct {
	Epoch model.Epoch
	// Incarnation is the incarnation of this host. If Members does not contain
	// this host with this incarnation, the host was removed.
	Incarnation model.Incarnation
	Members     []Member
}

// EntryReport holds the shares that a host held when it entered an epoch. It is
// the JSON value of the store key EnterPrefix + host.
type EntryReport struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Epoch       model.Epoch
	Holdings    map[model.WorkspaceID]int64 // units of 2^-30 by escrow account
}

// Peers sends requests to other hosts. It is implemented by io/peer.
type Peers interface {
	MoveShare(ctx context.Context, address string, request *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error)
}

// Options configures a Service.
type Options struct {
	Host  model.HostID
	Clock clockwork.Clock
	Store store.Store
	Peers Peers
	// MayAct reports whether this host has the right to act. It is called
	// without holding locks of this package.
	MayAct func() bool
	// Unresponsive reports whether a host does not answer heartbeats; nil means
	// never. It is called without holding locks of this package.
	Unresponsive func(model.HostID) bool
	// Isolated reports whether this host does not reach most others; nil means
	// never. It is called without holding locks of this package.
	Isolated func() bool
	// LimitWait is how long a request waits for tokens; 0 means 1 s.
	LimitWait time.Duration
	// SettleWait is how long a request waits while this host may not act or
	// holds no share of the limit yet, for example after a restart of all
	// hosts. If it were refused at once, its caller would use up all attempts
	// before the settlement. 0 means LimitWait, and no wait for the right to
	// act.
	SettleWait time.Duration
	// BurstSlack is the number of requests by which the fleet may exceed a burst.
	// A burst is raised by at most this much, and only up to limit.SmallestBurst:
	// with a smaller one, tokens in flight between hosts are lost because the
	// bucket at their destination cannot hold them.
	BurstSlack float64
	// TransferTimeout bounds a transfer request to a peer; 0 means 150 ms.
	TransferTimeout time.Duration
	// Confirmed returns the evidence for the contracts that this host has; nil means
	// that they need none. It is called without holding locks of this package.
	Confirmed func() evidence.Stamp
	// MaxAge is the highest age of the evidence for a contract at which requests are
	// admitted and tokens transferred by it.
	MaxAge evidence.MaxAge
}

// Service admits requests on one host. It is safe for concurrent use.
//
// Locking: mu is the only lock. It is not held while Options.MayAct,
// Options.Unresponsive, Options.Isolated, Options.Store or Options.Peers are
// called, so that EpochChanged and the other callbacks may be called with locks of
// the membership held.
type Service struct {
	options        Options
	ctx            context.Context // canceled by Close
	cancel         context.CancelFunc
	tasks          sync.WaitGroup
	settleRequests chan struct{} // wakes the settlement loop

	mu              sync.Mutex
	closed          bool
	ledger          *escrow.Ledger
	membership      Membership
	isMember        bool // membership contains this host and incarnation
	regrantPending  bool // the shares of a removed host are not granted again yet
	backlogDrainEnd time.Time
	shares          escrow.Shares
	reports         map[model.HostID]EntryReport
	workspaces      map[model.WorkspaceID]*workspace
	revision        model.Revision // of the document that holds the contracts
}

// workspace is the state of the contract of one workspace on this host.
type workspace struct {
	rate, burst         float64     // of the contract in the document
	learned             limit.Known // newest limit that another host has told
	bucket              *limit.Bucket
	demand              limit.Demand
	waiters             []*waiter // first come, first served
	transferLoopRunning bool
	peers               map[model.HostID]*peerState
}

// waiter is a request that waits for a token. wake has a buffer of one, so that
// a signal sent before the waiter receives is not lost.
type waiter struct {
	arrivedAt time.Time
	wake      chan struct{}
}

// New returns a Service that holds no shares. Close stops its background work.
func New(options Options) *Service {
	if options.LimitWait == 0 {
		options.LimitWait = defaultLimitWait
	}
	if options.TransferTimeout == 0 {
		options.TransferTimeout = defaultTransferTimeout
	}
	if options.Unresponsive == nil {
		options.Unresponsive = func(model.HostID) bool { return false }
	}
	if options.Isolated == nil {
		options.Isolated = func() bool { return false }
	}
	s := &Service{
		options:        options,
		settleRequests: make(chan struct{}, 1),
		ledger:         escrow.NewLedger(),
		reports:        map[model.HostID]EntryReport{},
		workspaces:     map[model.WorkspaceID]*workspace{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.tasks.Go(s.settleLoop)
	return s
}

// Close stops the background work and waits until it has ended.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.tasks.Wait()
}

// Admit takes one token of the workspace. It waits up to LimitWait for refill
// and transfers, or up to SettleWait while this host holds no share yet. It fails
// with a *model.Refusal of kind ErrRateLimited, ErrNoRight or ErrForbidden, or with
// the error of ctx.
func (s *Service) Admit(ctx context.Context, id model.WorkspaceID) error {
	if err := s.awaitRight(ctx); err != nil {
		return err
	}
	w := &waiter{arrivedAt: s.options.Clock.Now(), wake: make(chan struct{}, 1)}
	if err := s.enqueue(id, w); err != nil {
		return err
	}
	defer s.dequeue(id, w)
	deadline := s.options.Clock.NewTimer(s.maxWait(id))
	defer deadline.Stop()
	expired := false
	for {
		if !s.options.MayAct() {
			return noRightRefusal()
		}
		taken, retry, err := s.tryTake(id, w)
		if taken || err != nil {
			return err
		}
		if expired {
			return s.refusal(id)
		}
		if expired, err = s.awaitToken(ctx, w, retry, deadline); err != nil {
			return fmt.Errorf("wait for a token of workspace %q: %w", id, err)
		}
	}
}

// noRightRetryAfter is the Retry-After of a host that still may not act after
// SettleWait. Such a host rejoins within about a second.
const noRightRetryAfter = 800 * time.Millisecond

// isolatedRetryAfter is the Retry-After of an isolated host. It is short because
// another host can serve the caller at once.
const isolatedRetryAfter = 20 * time.Millisecond

// rightPollInterval is the time between two checks of the right to act.
const rightPollInterval = 25 * time.Millisecond

// awaitRight waits up to SettleWait until this host may act. An isolated host
// refuses at once.
func (s *Service) awaitRight(ctx context.Context) error {
	start := s.options.Clock.Now()
	for !s.options.MayAct() {
		switch waited := s.options.Clock.Since(start); {
		case s.options.SettleWait == 0:
			return noRightRefusal()
		case s.options.Isolated():
			return noRightRefusal().Retry(isolatedRetryAfter)
		case waited >= s.options.SettleWait:
			return noRightRefusal().Retry(noRightRetryAfter)
		}
		if !wait.For(ctx, s.options.Clock, rightPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// maxWait returns how long a request that arrives now may wait for tokens.
func (s *Service) maxWait(id model.WorkspaceID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.SettleWait > 0 && s.ledger.Held(id) == 0 && s.ledger.Held(escrow.BurstAccount(id)) == 0 {
		return s.options.SettleWait
	}
	if s.options.Clock.Now().Before(s.backlogDrainEnd) {
		return s.options.LimitWait / backlogWaitDivisor
	}
	return s.options.LimitWait
}

func noRightRefusal() *model.Refusal {
	return model.NewRefusal(model.ErrNoRight, model.RanNo, "host has neither a lease nor a quorum")
}

// awaitToken returns when the waiter should try to take a token again. It reports
// whether the deadline has expired, so that this is the last attempt.
func (s *Service) awaitToken(ctx context.Context, w *waiter, retry time.Duration, deadline clockwork.Timer) (expired bool, err error) {
	var refill <-chan time.Time
	if retry > 0 {
		t := s.options.Clock.NewTimer(retry)
		defer t.Stop()
		refill = t.Chan()
	}
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-deadline.Chan():
		return true, nil
	case <-refill:
	case <-w.wake:
	}
	return false, nil
}

func (s *Service) refusal(id model.WorkspaceID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws, ok := s.workspaces[id]
	if !ok {
		return noContractRefusal(id)
	}
	return rateLimitRefusal(id, ws)
}

func noContractRefusal(id model.WorkspaceID) error {
	return model.NewRefusal(model.ErrForbidden, model.RanNo, "workspace %q has no contract", id)
}

// rateLimitRefusal returns a refusal whose Retry-After is the time in which the
// fleet-wide rate provides tokens for the requests that wait here and one more.
func rateLimitRefusal(id model.WorkspaceID, ws *workspace) error {
	r := model.NewRefusal(model.ErrRateLimited, model.RanNo, "rate of workspace %q exceeded", id)
	rate := ws.bucket.Contract().Rate
	if rate == 0 {
		return r
	}
	seconds := float64(len(ws.waiters)+1) * float64(limit.Token) / float64(rate)
	return r.Retry(time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)))
}

// maxRetryAfter bounds the Retry-After of rate limit refusals.
const maxRetryAfter = time.Hour

// enqueue adds a waiter. It refuses at once if even the fleet-wide limit cannot
// provide tokens for all waiters of this host within LimitWait.
func (s *Service) enqueue(id model.WorkspaceID, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws, ok := s.workspaces[id]
	if !ok {
		return noContractRefusal(id)
	}
	ws.demand.Add(s.options.Clock.Now())
	c := ws.bucket.Contract()
	attainable := float64(c.Burst) + float64(c.Rate)*s.options.LimitWait.Seconds()
	if float64(len(ws.waiters)+1)*float64(limit.Token) > attainable+float64(limit.Token) {
		return rateLimitRefusal(id, ws)
	}
	ws.waiters = append(ws.waiters, w)
	return nil
}

func (s *Service) dequeue(id model.WorkspaceID, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws, ok := s.workspaces[id]
	if !ok {
		return
	}
	for i, other := range ws.waiters {
		if other == w {
			ws.waiters = append(ws.waiters[:i:i], ws.waiters[i+1:]...)
			break
		}
	}
	ws.wakeFirst()
}

func (ws *workspace) wakeFirst() {
	if len(ws.waiters) == 0 {
		return
	}
	select {
	case ws.waiters[0].wake <- struct{}{}:
	default:
	}
}

// tryTake takes a token if the waiter is the first of its workspace. If the first
// waiter finds no token, tryTake requests shares from peers and returns the time
// until the refill provides a token, or 0 if it never does.
func (s *Service) tryTake(id model.WorkspaceID, w *waiter) (taken bool, retry time.Duration, err error) {
	confirmed := s.confirmed()
	s.mu.Lock()
	defer s.mu.Unlock()
	ws, ok := s.workspaces[id]
	if !ok {
		return false, 0, noContractRefusal(id)
	}
	if !s.accepts(ws, confirmed) {
		return false, 0, noEvidenceRefusal(id)
	}
	if len(ws.waiters) == 0 || ws.waiters[0] != w {
		return false, 0, nil
	}
	now := s.options.Clock.Now()
	if s.isMember && ws.bucket.Take(now) {
		return true, 0, nil
	}
	s.startTransferLoop(id, ws)
	retry, _ = ws.bucket.Wait(now, limit.Token)
	return false, retry, nil
}

// ContractsChanged applies the contracts of a configuration document. A changed
// contract never adds tokens to a bucket. Waiters of removed workspaces are refused.
func (s *Service) ContractsChanged(document *config.Document) {
	s.mu.Lock()
	now := s.options.Clock.Now()
	s.revision = document.Revision
	present := map[model.WorkspaceID]bool{}
	for _, c := range document.Workspaces {
		present[c.Name] = true
		if ws, ok := s.workspaces[c.Name]; ok {
			ws.rate, ws.burst = c.Rate, c.Burst
			s.applyContract(now, ws)
			continue
		}
		s.workspaces[c.Name] = &workspace{
			rate: c.Rate, burst: c.Burst,
			bucket: limit.NewBucket(now, s.contract(c.Rate, c.Burst), s.ledger.Held(c.Name), s.ledger.Held(escrow.BurstAccount(c.Name))),
			peers:  map[model.HostID]*peerState{},
		}
	}
	for id, ws := range s.workspaces {
		if present[id] {
			continue
		}
		delete(s.workspaces, id)
		for _, w := range ws.waiters {
			close(w.wake)
		}
		ws.waiters = nil
	}
	s.mu.Unlock()
	s.requestSettlement()
}

// EpochChanged enters a newer epoch and ignores the others. A host that is not a
// member, or whose incarnation has changed, drops its holdings, because other hosts
// may be granted them.
func (s *Service) EpochChanged(current Membership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current.Epoch <= s.ledger.Epoch() {
		return
	}
	sameIncarnation := current.Incarnation == s.membership.Incarnation
	for _, m := range s.membership.Members {
		s.regrantPending = s.regrantPending || !m.Leaving && !current.hasMember(m.Host, m.Incarnation)
	}
	s.membership = current
	s.isMember = current.hasMember(s.options.Host, current.Incarnation)
	if !s.isMember || !sameIncarnation {
		s.ledger.Drop()
	}
	if err := s.ledger.Enter(current.Epoch); err != nil {
		slog.Error("failed to enter an epoch in the ledger of shares", "epoch", current.Epoch, "error", err)
	}
	for _, ws := range s.workspaces {
		// Transfers of older epochs can no longer be credited.
		ws.peers = map[model.HostID]*peerState{}
		ws.bucket.Reserve(s.options.Clock.Now(), 0)
	}
	s.applyRounds()
	s.resize()
	s.requestSettlement()
}

func (m Membership) hasMember(host model.HostID, incarnation model.Incarnation) bool {
	for _, member := range m.Members {
		if member.Host == host && member.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// resize sets the rate and burst of all buckets to the held shares.
func (s *Service) resize() {
	now := s.options.Clock.Now()
	for id, ws := range s.workspaces {
		s.resizeOne(now, id, ws)
	}
}

func (s *Service) resizeOne(now time.Time, id model.WorkspaceID, ws *workspace) {
	rate, burst := s.ledger.Held(id), s.ledger.Held(escrow.BurstAccount(id))
	if rate != ws.bucket.Rate() || burst != ws.bucket.Burst() {
		ws.bucket.SetFractions(now, rate, burst)
		ws.wakeFirst()
	}
}

// Holdings returns the shares for the entry report of an epoch: those held when the
// host entered it, by escrow account. It returns nil if the host is not a member of
// that epoch.
func (s *Service) Holdings(epoch model.Epoch) map[model.WorkspaceID]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	report, err := s.ledger.EntryReport(epoch)
	if err != nil || !s.isMember {
		return nil
	}
	return report
}

// Dump is the state of a Service in state dumps for operators.
type Dump struct {
	Epoch      model.Epoch
	Member     bool
	Rounds     int
	Workspaces map[model.WorkspaceID]WorkspaceDump
}

// WorkspaceDump is the state of one workspace on one host in state dumps.
type WorkspaceDump struct {
	Rate        int64 // units of 2^-30
	Burst       int64 // units of 2^-30
	MicroTokens int64
	Reserved    int64 // micro tokens
	Waiting     int
	Demand      float64 // requests per second
}

// Dump returns the state of the service.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	d := Dump{
		Epoch:      s.ledger.Epoch(),
		Member:     s.isMember,
		Rounds:     s.ledger.Rounds(),
		Workspaces: map[model.WorkspaceID]WorkspaceDump{},
	}
	for id, ws := range s.workspaces {
		d.Workspaces[id] = WorkspaceDump{
			Rate:        s.ledger.Held(id),
			Burst:       s.ledger.Held(escrow.BurstAccount(id)),
			MicroTokens: ws.bucket.Level(now),
			Reserved:    ws.bucket.Reserved(),
			Waiting:     len(ws.waiters),
			Demand:      ws.demand.Rate(now),
		}
	}
	return d
}
