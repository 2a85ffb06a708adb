// Package fleet runs the background loops of one host: its lease, membership,
// heartbeats to all peers and the watch on the control keys of the store.
//
// Three loops touch the store. The lease loop holds the lease and joins; the
// watch loop reads; the control loop enters epochs, writes entry reports and
// removes hosts whose lease lapsed. No exported method that callers of the
// relay depend on waits for any of them.
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
	// Self describes this host. Run generates the incarnation if it is empty.
	Self member.Member
	// KeyPrefix is put before the keys of this package and is what the watch
	// covers; empty if Store covers only the control keys.
	KeyPrefix string
	// Holdings returns the content of the entry report for an epoch.
	Holdings func(model.Epoch) map[model.WorkspaceID]int64
	// ConfigRevision returns the revision that this host has in effect.
	ConfigRevision func() model.Revision
	// PeerRevision is called when a peer reports a revision.
	PeerRevision func(member.Member, model.Revision)
	Logger       *slog.Logger
	Scope        tally.Scope

	LeaseTTL        time.Duration // 3 s
	RenewEvery      time.Duration // 1 s
	HeartbeatEvery  time.Duration // 500 ms
	ConfirmationTTL time.Duration // 1.5 s
	Margin          time.Duration // 500 ms
	// RenewTimeout ends a renewal (400 ms). All hosts must notice an outage
	// and confirm each other within LeaseTTL - Margin after the last renewal:
	// 1 s to the next renewal of the last host, this timeout, one heartbeat.
	RenewTimeout time.Duration
	// CallTimeout bounds any other call of the store (1 s).
	CallTimeout time.Duration
	// MinStoreReachable is how long the store must have answered this host
	// before it removes hosts whose lease is missing (2 s). After an outage of
	// the store all leases have lapsed, and hosts need up to RenewEvery +
	// CallTimeout to acquire theirs again.
	MinStoreReachable time.Duration
	// MinLeaseMissing is how long a lease must have been missing before its
	// host is removed (MinStoreReachable).
	MinLeaseMissing time.Duration
	// WatchWait bounds one blocking query (2 s), so that a connection that
	// went silent delays a change by about 3 s at most.
	WatchWait time.Duration
	// WatchPause is the time between two blocking queries (0). Changes come in
	// groups, one of each host, and a query that waits returns for each.
	WatchPause time.Duration
	// Tick is the period of the control loop (250 ms).
	Tick time.Duration
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		value    *time.Duration
		standard time.Duration
	}{
		{&o.LeaseTTL, 3 * time.Second},
		{&o.RenewEvery, time.Second},
		{&o.HeartbeatEvery, 500 * time.Millisecond},
		{&o.ConfirmationTTL, 1500 * time.Millisecond},
		{&o.Margin, 500 * time.Millisecond},
		{&o.RenewTimeout, 400 * time.Millisecond},
		{&o.CallTimeout, time.Second},
		{&o.MinStoreReachable, 2 * time.Second},
		{&o.WatchWait, 2 * time.Second},
		{&o.Tick, 250 * time.Millisecond},
	} {
		if *d.value == 0 {
			*d.value = d.standard
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
	if o.Logger == nil {
		o.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Self.Incarnation == "" {
		o.Self.Incarnation = newIncarnation()
	}
	return o
}

func newIncarnation() model.Incarnation { return model.Incarnation(uuid.NewString()) }

type subscriber struct {
	prefix string
	fn     func([]store.Entry)
	seen   map[string]store.Version // nil before the first call
}

type revisionNews struct {
	from     member.Member
	revision model.Revision
}

// Service is the membership of one host. Its methods are safe for concurrent
// use.
type Service struct {
	options Options
	started time.Time

	// mu guards all fields below. It is never held during a call of the store,
	// a peer or a callback.
	mu       sync.Mutex
	self     member.Member
	record   member.Record
	right    *member.Right
	tenure   *member.ShardOwnership
	lease    store.LeaseID
	renewed  time.Time // when the last successful renewal was sent
	awayAt   time.Time // when the store last did not answer
	attached bool      // the lease counts: self was a member after acquiring it
	// joinEpoch is the epoch in which this incarnation joined; 0 before.
	joinEpoch model.Epoch
	// joinUnknown is set if the answer to a join was lost.
	joinUnknown bool
	stopped     bool // Leave has begun
	settled     bool
	reported    model.Epoch // epoch of the last entry report written
	entries     []store.Entry
	leases      map[model.HostID]bool
	reports     map[model.HostID]EntryReport
	missing     map[model.Incarnation]time.Time // first seen without a lease
	peerAway    map[model.HostID]bool
	peerEpoch   map[model.Incarnation]model.Epoch // heard in heartbeats
	answered    map[model.Incarnation]time.Time   // last answer to a heartbeat
	enteredAt   time.Time                         // when this host entered the record
	revision    map[model.Incarnation]model.Revision
	onEpoch     []func(old, current member.Record)
	watchers    []*subscriber

	wakeLease, wakeBeat, wakeControl, wakeDispatch chan struct{}

	news chan revisionNews
}

// New returns a Service that Run starts.
func New(o Options) *Service {
	o = o.withDefaults()
	now := o.Clock.Now()
	times := member.Times{LeaseTTL: o.LeaseTTL, ConfirmationTTL: o.ConfirmationTTL, Margin: o.Margin}
	return &Service{
		options: o, started: now, self: o.Self, awayAt: now,
		right:     member.NewRight(times, o.Self, now),
		tenure:    member.NewShardOwnership(o.Self.Host),
		leases:    map[model.HostID]bool{},
		reports:   map[model.HostID]EntryReport{},
		missing:   map[model.Incarnation]time.Time{},
		peerAway:  map[model.HostID]bool{},
		peerEpoch: map[model.Incarnation]model.Epoch{},
		answered:  map[model.Incarnation]time.Time{},
		revision:  map[model.Incarnation]model.Revision{},
		wakeLease: make(chan struct{}, 1), wakeBeat: make(chan struct{}, 1),
		wakeControl: make(chan struct{}, 1), wakeDispatch: make(chan struct{}, 1),
		news: make(chan revisionNews, 256),
	}
}

// Run runs the loops until ctx ends. It does not leave the fleet; see Leave.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		s.runLease, s.runWatch, s.runControl, s.runBeats, s.runDispatch, s.runNews,
	} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// View returns the membership record that this host has entered.
func (s *Service) View() member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// Self returns this host with its present incarnation.
func (s *Service) Self() member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// MayAct tells whether this host may spend tokens and run calls now.
func (s *Service) MayAct() bool {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopped && s.right.MayAct(now)
}

// ActsFor tells whether this host may run calls of a shard now. A shard that
// moved here is granted once all members have entered the epoch.
func (s *Service) ActsFor(shard model.Shard) bool {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopped && s.right.MayAct(now) && s.tenure.Active(shard)
}

// Settled tells whether all members have entered the epoch of View.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settled
}

// StoreAway tells whether this host cannot reach the store.
func (s *Service) StoreAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.right.StoreAway()
}

// Isolated tells whether most members have not answered the heartbeats of this
// host for ConfirmationTTL. Such a host is probably cut off, and a caller is better
// served by another one. It is false for two hosts, and while the members of a
// new epoch had no time to answer.
func (s *Service) Isolated() bool {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	const fewest = 3
	if len(s.record.Members) < fewest || now.Sub(s.enteredAt) < s.options.ConfirmationTTL+s.options.HeartbeatEvery {
		return false
	}
	heard := 1 // this host
	for _, m := range s.record.Members {
		if at, ok := s.answered[m.Incarnation]; ok && now.Sub(at) < s.options.ConfirmationTTL {
			heard++
		}
	}
	return heard <= len(s.record.Members)/2
}

// Ready tells whether this host can serve callers, and why not.
func (s *Service) Ready() (bool, string) {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m, ok := s.record.Member(s.self.Host); {
	case s.stopped || (ok && m.Leaving):
		return false, "host is leaving the fleet"
	case !ok || m.Incarnation != s.self.Incarnation:
		return false, "host is not a member of the fleet yet"
	case !s.right.MayAct(now):
		return false, "host has neither a valid lease nor a quorum confirmation"
	}
	return true, ""
}

// Subscribe calls fn with all entries whose key begins with keyPrefix, first
// when they are known and then whenever one of them changed. Calls come one at
// a time from one goroutine for all subscribers.
func (s *Service) Subscribe(keyPrefix string, fn func([]store.Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, &subscriber{prefix: keyPrefix, fn: fn})
	wake(s.wakeDispatch)
}

// OnEpoch calls fn when this host enters an epoch, before it writes its entry
// report. If current lacks this host or has another incarnation of it than old,
// the host was removed and fn must drop everything it holds. fn must not wait
// for the store.
func (s *Service) OnEpoch(fn func(old, current member.Record)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onEpoch = append(s.onEpoch, fn)
}

// Confirmed returns the revision that each member of the record reported in a
// heartbeat, and that of this host. A member that was not heard yet counts as
// revision 0, so that nothing is reported as in effect before it has answered.
func (s *Service) Confirmed() map[model.HostID]model.Revision {
	own := s.options.ConfigRevision()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[model.HostID]model.Revision{s.self.Host: own}
	for _, m := range s.record.Members {
		if m.Host != s.self.Host {
			out[m.Host] = s.revision[m.Incarnation]
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
	// Unheard lists the other members from which no heartbeat arrived yet.
	Unheard []model.HostID
}

// Dump returns a State.
func (s *Service) Dump() any {
	revisions, may := s.Confirmed(), s.MayAct()
	s.mu.Lock()
	defer s.mu.Unlock()
	var unheard []model.HostID
	for _, m := range s.record.Members {
		if _, ok := s.revision[m.Incarnation]; !ok && m.Host != s.self.Host {
			unheard = append(unheard, m.Host)
		}
	}
	return State{
		Self: s.self, Record: s.record, MayAct: may, StoreAway: s.right.StoreAway(),
		Attached: s.attached, Settled: s.settled, Stopped: s.stopped, Reported: s.reported,
		Leases: maps.Clone(s.leases), Reports: maps.Clone(s.reports), Revisions: revisions,
		Unheard: unheard,
	}
}

// RecordKey holds the membership record, after KeyPrefix.
const RecordKey = "Membership"

func (s *Service) membershipKey() string { return s.options.KeyPrefix + RecordKey }

func (s *Service) leaseKey(h model.HostID) string { return s.options.KeyPrefix + "Lease/" + string(h) }

func (s *Service) entryKey(h model.HostID) string { return s.options.KeyPrefix + "Enter/" + string(h) }

// call bounds one use of the store.
func (s *Service) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, s.options.Clock, s.options.CallTimeout)
}

// wake makes a loop run soon without waiting for it.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// every runs step at once, then after each period or wake-up.
func (s *Service) every(ctx context.Context, period time.Duration, wakeUp <-chan struct{}, step func(context.Context)) {
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
