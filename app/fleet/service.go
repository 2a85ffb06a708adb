// Package fleet maintains the membership of one host in the fleet: its lease, the
// membership record, heartbeats to all peers and the watch on the control keys of
// the store.
//
// Three loops call the store. The lease loop keeps the lease and joins the fleet,
// the watch loop reads the control keys, and the control loop enters epochs, writes
// entry reports and removes hosts whose lease lapsed. No method on the path of a
// caller's request waits for any of them.
package fleet

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// Peers sends heartbeats to other hosts.
type Peers interface {
	Heartbeat(ctx context.Context, address string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
}

// Options configures a Service. Zero times mean the defaults.
type Options struct {
	Store store.Store
	Clock clockwork.Clock
	Peers Peers
	// Self describes this host. New generates the incarnation if it is empty.
	Self member.Member
	// KeyPrefix is the prefix of all keys of this package and of the watch. It
	// is empty if Store holds only the control keys.
	KeyPrefix string
	// Holdings returns the shares that the entry report for an epoch contains,
	// in units of 2^-30.
	Holdings func(model.Epoch) map[model.WorkspaceID]int64
	// ConfigRevision returns the revision of the configuration that is in effect
	// on this host.
	ConfigRevision func() model.Revision
	// PeerRevision is called when a peer reports its configuration revision.
	PeerRevision func(member.Member, model.Revision)
	// Standby is nil if the host always joins.
	Standby *StandbyOptions
	Log     *slog.Logger
	Scope   tally.Scope

	// The durations below have their defaults in parentheses or behind them. For
	// LeaseTTL, ConfirmationTTL and Margin see member.Times.
	LeaseTTL          time.Duration // 3 s
	RenewInterval     time.Duration // 1 s
	HeartbeatInterval time.Duration // 500 ms
	ConfirmationTTL   time.Duration // 1.5 s
	Margin            time.Duration // 500 ms
	// AwayLimit is member.Times.AwayLimit (0, no limit). It must be longer than
	// LeaseTTL.
	AwayLimit time.Duration
	// RenewTimeout bounds a renewal (400 ms). When an outage of the store begins,
	// all hosts must notice it and confirm each other within LeaseTTL - Margin
	// after their last renewal. This takes up to RenewInterval (1 s) until the last
	// host tries to renew its lease, plus RenewTimeout, plus one heartbeat.
	RenewTimeout time.Duration
	// CallTimeout bounds any other call of the store (1 s).
	CallTimeout time.Duration
	// MinStoreReachable is how long the store must have answered this host
	// before it removes hosts whose lease is missing (2 s). After an outage of
	// the store all leases have lapsed, and hosts need up to RenewInterval +
	// CallTimeout to acquire theirs again.
	MinStoreReachable time.Duration
	// MinLeaseMissing is how long a lease must have been missing before its
	// host is removed (MinStoreReachable).
	MinLeaseMissing time.Duration
	// WatchWait bounds one blocking query (2 s), so that a connection that
	// stopped answering delays a change by about 3 s at most.
	WatchWait time.Duration
	// WatchPause is the time between two blocking queries (0). Hosts make changes
	// at about the same time, one each, and without a pause a query would return
	// for each of them.
	WatchPause time.Duration
	// Tick is the period of the control loop (250 ms).
	Tick time.Duration
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&o.LeaseTTL, 3 * time.Second},
		{&o.RenewInterval, time.Second},
		{&o.HeartbeatInterval, 500 * time.Millisecond},
		{&o.ConfirmationTTL, 1500 * time.Millisecond},
		{&o.Margin, 500 * time.Millisecond},
		{&o.RenewTimeout, 400 * time.Millisecond},
		{&o.CallTimeout, time.Second},
		{&o.MinStoreReachable, 2 * time.Second},
		{&o.WatchWait, 2 * time.Second},
		{&o.Tick, 250 * time.Millisecond},
	} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
	if o.MinLeaseMissing == 0 {
		o.MinLeaseMissing = o.MinStoreReachable
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Holdings == nil {
		o.Holdings = func(model.Epoch) map[model.WorkspaceID]int64 { return nil }
	}
	if o.ConfigRevision == nil {
		o.ConfigRevision = func() model.Revision { return 0 }
	}
	if o.PeerRevision == nil {
		o.PeerRevision = func(member.Member, model.Revision) {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Self.Incarnation == "" {
		o.Self.Incarnation = newIncarnation()
	}
	o.Self.AwayLimit = o.AwayLimit
	return o
}

func newIncarnation() model.Incarnation { return model.Incarnation(uuid.NewString()) }

// subscriber is a callback that was registered by Subscribe.
type subscriber struct {
	prefix string
	fn     func([]store.Entry)
	seen   map[string]store.Version // nil before the first call
}

// peerRevision is a configuration revision that a peer reported.
type peerRevision struct {
	from     member.Member
	revision model.Revision
}

// Service is the membership of one host. Its methods are safe for concurrent
// use.
type Service struct {
	options Options
	started time.Time

	// mu guards the fields below, up to subscribers. It is never held during a
	// call of the store, a peer or a callback.
	mu          sync.Mutex
	self        member.Member
	record      member.Record
	right       *member.Right
	ownership   *member.ShardOwnership
	lease       store.LeaseID
	renewedAt   time.Time // when the request of the last successful renewal was sent
	storeAwayAt time.Time // when a call of the store last failed without an answer
	attached    bool      // self was a member after the current lease was acquired
	// joinEpoch is the epoch in which this incarnation joined; 0 before.
	joinEpoch model.Epoch
	// everJoined is set once any incarnation of this process has joined.
	everJoined bool
	// joinUnknown is set if the answer to a join of this incarnation was lost.
	joinUnknown    bool
	leaveStarted   bool                            // Leave has begun
	settled        bool                            // all members have entered the epoch of record
	lastReport     model.Epoch                     // epoch of the last entry report written
	entries        []store.Entry                   // of the last watch; nil before the first one
	latest         member.Record                   // in entries; its epoch may not be entered yet
	leases         map[model.HostID]leaseHolder    // of the hosts that held their lease in entries
	reports        map[model.HostID]EntryReport    // from entries, with the own last report
	deletedReports map[string]store.Version        // that the watch may still return, by key
	missingSince   map[model.Incarnation]time.Time // first seen without a lease
	silent         map[model.Incarnation]silence
	standbys       []member.Standby // from entries
	standbyLease   store.LeaseID    // "" unless this host is a standby
	// standbyRenewedAt is when the last renewal of standbyLease was sent.
	standbyRenewedAt time.Time
	peerStoreAway    map[model.HostID]bool
	peerEpoch        map[model.Incarnation]model.Epoch // from heartbeats
	answeredAt       map[model.Incarnation]time.Time   // when the last answer to a heartbeat arrived
	enteredAt        time.Time                         // when this host entered the epoch of record
	revisions        map[model.Incarnation]model.Revision
	epochCallbacks   []func(old, current member.Record)
	subscribers      []*subscriber

	wakeLease, wakeHeartbeat, wakeControl, wakeDispatch chan struct{}

	peerRevisions chan peerRevision
	joined        chan struct{} // closed by joinOnce
	joinOnce      sync.Once
}

// New returns a Service that Run starts.
func New(o Options) *Service {
	o = o.withDefaults()
	now := o.Clock.Now()
	times := member.Times{LeaseTTL: o.LeaseTTL, ConfirmationTTL: o.ConfirmationTTL, Margin: o.Margin, AwayLimit: o.AwayLimit}
	s := &Service{
		options: o, started: now, self: o.Self, storeAwayAt: now,
		right:        member.NewRight(times, o.Self, now),
		ownership:    member.NewShardOwnership(o.Self.Host),
		leases:       map[model.HostID]leaseHolder{},
		reports:      map[model.HostID]EntryReport{},
		silent:       map[model.Incarnation]silence{},
		missingSince: map[model.Incarnation]time.Time{}, deletedReports: map[string]store.Version{},
		peerStoreAway: map[model.HostID]bool{},
		peerEpoch:     map[model.Incarnation]model.Epoch{},
		answeredAt:    map[model.Incarnation]time.Time{},
		revisions:     map[model.Incarnation]model.Revision{},
		wakeLease:     make(chan struct{}, 1), wakeHeartbeat: make(chan struct{}, 1),
		wakeControl: make(chan struct{}, 1), wakeDispatch: make(chan struct{}, 1),
		peerRevisions: make(chan peerRevision, 256), joined: make(chan struct{}),
	}
	if o.Standby == nil {
		s.joinOnce.Do(func() { close(s.joined) })
	}
	return s
}

// Run runs the loops until ctx ends. It does not leave the fleet, see Leave.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		s.runLease, s.runWatch, s.runControl, s.runHeartbeats, s.runDispatch, s.runPeerRevisions,
	} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// View returns the membership record of the epoch that this host has entered.
func (s *Service) View() member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// Self returns this host with its current incarnation.
func (s *Service) Self() member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// MayAct reports whether this host may spend tokens and run calls now.
func (s *Service) MayAct() bool {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaveStarted && s.right.MayAct(now)
}

// ActsFor reports whether this host may run calls of a shard now. It may not act for
// a shard that has moved to it until all members have entered the epoch.
func (s *Service) ActsFor(shard model.Shard) bool {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaveStarted && s.right.MayAct(now) && s.ownership.Active(shard)
}

// Settled reports whether all members have entered the epoch of View.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settled
}

// StoreAway reports whether this host cannot reach the store.
func (s *Service) StoreAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.right.StoreAway()
}

// Isolated reports whether at least half of the members have not answered a
// heartbeat of this host for ConfirmationTTL, where the host itself counts as having
// answered. It is then probably cut off, and another host can serve its callers. It
// is false in a fleet of fewer than three hosts, and until the members of a new
// epoch have had time to answer.
func (s *Service) Isolated() bool {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	const minMembers = 3
	if len(s.record.Members) < minMembers || now.Sub(s.enteredAt) < s.options.ConfirmationTTL+s.options.HeartbeatInterval {
		return false
	}
	reachable := 1 // this host
	for _, m := range s.record.Members {
		if s.answersLocked(m, now) {
			reachable++
		}
	}
	return reachable <= len(s.record.Members)/2
}

// answersLocked reports whether a member has answered a heartbeat within
// ConfirmationTTL. mu is held.
func (s *Service) answersLocked(m member.Member, now time.Time) bool {
	at, ok := s.answeredAt[m.Incarnation]
	return ok && now.Sub(at) < s.options.ConfirmationTTL
}

// Answers reports whether a member has answered a heartbeat within ConfirmationTTL.
func (s *Service) Answers(m member.Member) bool {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answersLocked(m, now)
}

// Ready reports whether this host can serve callers, and the reason if it cannot.
func (s *Service) Ready() (bool, string) {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m, ok := s.record.Member(s.self.Host); {
	case s.leaveStarted || (ok && m.Leaving):
		return false, "host is leaving the fleet"
	case !ok || m.Incarnation != s.self.Incarnation:
		return false, "host is not a member of the fleet yet"
	case !s.right.MayAct(now):
		return false, "host has neither a valid lease nor a quorum confirmation"
	}
	return true, ""
}

// Subscribe calls fn with all entries whose key begins with keyPrefix: first when
// the watch has returned, then whenever one of them has changed. One goroutine makes
// the calls for all subscribers, one at a time.
func (s *Service) Subscribe(keyPrefix string, fn func([]store.Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, &subscriber{prefix: keyPrefix, fn: fn})
	wake(s.wakeDispatch)
}

// OnEpoch calls fn when this host enters an epoch, before it writes its entry
// report. If current does not contain this host, or contains another incarnation of
// it than old, the host was removed and fn must drop everything that it held as a
// member. fn must not wait for the store.
func (s *Service) OnEpoch(fn func(old, current member.Record)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epochCallbacks = append(s.epochCallbacks, fn)
}

// Confirmed returns the configuration revision of each member, as reported in its
// heartbeats, and that of this host. The revision is 0 for a member that has not
// reported one yet, so that no revision counts as in effect before all members have
// reported it.
func (s *Service) Confirmed() map[model.HostID]model.Revision {
	own := s.options.ConfigRevision()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[model.HostID]model.Revision{s.self.Host: own}
	for _, m := range s.record.Members {
		if m.Host != s.self.Host {
			out[m.Host] = s.revisions[m.Incarnation]
		}
	}
	return out
}

// State is the state dump of a Service.
type State struct {
	Self      member.Member
	Record    member.Record
	MayAct    bool
	StoreAway bool
	Attached  bool
	Settled   bool
	Stopped   bool
	Reported  model.Epoch
	Leases    map[model.HostID]bool
	Reports   map[model.HostID]EntryReport
	Revisions map[model.HostID]model.Revision
	// RevisionUnknown lists the other members that have not reported a
	// configuration revision in a heartbeat yet. Operators know it as Unheard.
	RevisionUnknown []model.HostID `json:"Unheard"`
}

// Dump returns a State.
func (s *Service) Dump() any {
	revisions, mayAct := s.Confirmed(), s.MayAct()
	s.mu.Lock()
	defer s.mu.Unlock()
	var revisionUnknown []model.HostID
	leases := map[model.HostID]bool{}
	for h := range s.leases {
		leases[h] = true
	}
	for _, m := range s.record.Members {
		if _, ok := s.revisions[m.Incarnation]; !ok && m.Host != s.self.Host {
			revisionUnknown = append(revisionUnknown, m.Host)
		}
	}
	return State{
		Self: s.self, Record: s.record, MayAct: mayAct, StoreAway: s.right.StoreAway(),
		Attached: s.attached, Settled: s.settled, Stopped: s.leaveStarted, Reported: s.lastReport,
		Leases: leases, Reports: maps.Clone(s.reports), Revisions: revisions,
		RevisionUnknown: revisionUnknown,
	}
}

// RecordKey is the key of the membership record, without KeyPrefix.
const RecordKey = "Membership"

func (s *Service) membershipKey() string { return s.options.KeyPrefix + RecordKey }

func (s *Service) leaseKey(h model.HostID) string { return s.options.KeyPrefix + "Lease/" + string(h) }

func (s *Service) entryKey(h model.HostID) string { return s.options.KeyPrefix + "Enter/" + string(h) }

// withCallTimeout bounds one call of the store by CallTimeout.
func (s *Service) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, s.options.Clock, s.options.CallTimeout)
}

// wake makes the loop that reads c run its step soon. It does not block.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runPeriodically runs step at once, and again after each period or wake-up until
// ctx ends.
func (s *Service) runPeriodically(ctx context.Context, period time.Duration, wakeUp <-chan struct{}, step func(context.Context)) {
	ticker := s.options.Clock.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		step(ctx)
		select {
		case <-ticker.Chan():
		case <-wakeUp:
		case <-ctx.Done():
		}
	}
}
