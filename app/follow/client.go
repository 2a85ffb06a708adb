// Package follow connects entry hosts with keepers. Keepers are the members of the
// fleet and hold the limits and the budgets. Entry hosts hold no state that outlives
// a request, so they are not members. Each entry host reports to all keepers at
// regular intervals that it is alive, and their answers contain the membership and
// the other entry hosts. The number of messages is therefore proportional to the
// number of entry hosts times the number of keepers.
package follow

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"mimosarelay/app/wait"
	"mimosarelay/core/conversation"
	"mimosarelay/core/evidence"
	"mimosarelay/core/loadboard"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/presence"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// Peers sends requests to keepers.
type Peers interface {
	Follow(ctx context.Context, address string, r *peerpb.FollowRequest) (*peerpb.FollowResponse, error)
	Admit(ctx context.Context, address string, r *peerpb.AdmitRequest) (*peerpb.AdmitResponse, error)
}

// Options configures a Client. All fields but SuspectsChanged, KnownLimit, Outcomes, Loads
// and SettleWait are required.
type Options struct {
	Self presence.Host
	Zone model.Zone
	// Store holds the membership record under RecordKey.
	Store     store.Store
	RecordKey string
	Peers     Peers
	// StoreAway reports whether this host cannot reach the store.
	StoreAway func() bool
	// SuspectsChanged receives the stored requests that crash targets; nil for none.
	SuspectsChanged func([]store.Entry)
	// KnownLimit returns the limit of a workspace as this host knows it, which keepers
	// may not have read yet; nil to tell them none.
	KnownLimit func(model.WorkspaceID) *peerpb.KnownLimit
	// Outcomes judges targets by the outcomes of requests; nil for none.
	Outcomes Outcomes
	// Loads is told the load of targets as other hosts heard it; nil for none.
	Loads Loads
	// SettleWait is how long a request waits for a keeper that may act. 0 means
	// 1.2 s, in which a restarted fleet settles.
	SettleWait time.Duration
	Clock      clockwork.Clock
	Log        *slog.Logger
}

const (
	defaultSettleWait = 1200 * time.Millisecond
	// contactTTL is how old the answer of a keeper may be, from when the request was
	// sent, for the decisions of this host that rely on it.
	contactTTL = evidence.MaxAge(presence.Lifetime)
	// followTimeout bounds one Follow request.
	followTimeout = presence.Interval
	// recordReadInterval is the time between two reads of the membership record
	// while no keeper answers.
	recordReadInterval = 200 * time.Millisecond
	recordReadTimeout  = time.Second
	// wakeDelay is the time from a wake-up to the next round of requests. It limits
	// the rate of rounds when an owner is lost and each of its turns wakes the
	// client to get a newer membership.
	wakeDelay = 100 * time.Millisecond
)

// contact is the state of one keeper as this host knows it.
type contact struct {
	inFlight     bool           // a request is in flight
	unresponsive bool           // the last request was not answered
	answered     evidence.Stamp // of the last request with an answer
	acting       bool           // the keeper may act
	hostsVersion uint64
	hosts        []presence.Host
	disksVersion uint64
	disks        []conversation.Disk // that may hold turns, as the keeper knows
	// The keeper stores turns that continue a conversation, and first turns.
	acceptsTurns, acceptsConversations bool
	suspectsVersion                    uint64
	heard                              loadboard.Outbox // that the keeper was not told yet
	loadsVersion                       uint64

	responsive context.Context // ends when unresponsive becomes true
	lose       context.CancelFunc
}

func newContact() *contact {
	k := &contact{}
	k.responsive, k.lose = context.WithCancel(context.Background())
	return k
}

func (k *contact) setUnresponsive(unresponsive bool) {
	switch {
	case unresponsive:
		k.lose()
	case k.unresponsive:
		k.responsive, k.lose = context.WithCancel(context.Background())
	}
	k.unresponsive = unresponsive
}

// Client follows the keepers on behalf of one entry host. It is safe for
// concurrent use.
type Client struct {
	options       Options
	started       time.Time
	wake          chan struct{}
	readingRecord atomic.Bool // the membership record is being read

	mu       sync.Mutex // guards all fields below
	leaving  bool
	record   member.Record
	keepers  []member.Member // of record, in order of preference
	contacts map[string]*contact
	hosts    []presence.Host // merged from the lists of the keepers that acted recently
	merged   []string        // addresses of these keepers
}

// NewClient returns a Client that Run starts.
func NewClient(o Options) *Client {
	o.SettleWait = cmp.Or(o.SettleWait, defaultSettleWait)
	return &Client{options: o, started: o.Clock.Now(), wake: make(chan struct{}, 1), contacts: map[string]*contact{}}
}

// Run sends requests to the keepers until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	var requests sync.WaitGroup
	defer requests.Wait()
	ticker := c.options.Clock.NewTicker(presence.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if c.noKeeperResponsive() && c.readingRecord.CompareAndSwap(false, true) {
			requests.Go(func() { c.readRecord(ctx) })
		}
		for _, address := range c.startRequests() {
			requests.Go(func() { c.followKeeper(ctx, address) })
		}
		var retry <-chan time.Time
		if c.noKeeperResponsive() {
			retry = c.options.Clock.After(recordReadInterval)
		}
		select {
		case <-ticker.Chan():
		case <-retry:
		case <-c.wake:
			wait.For(ctx, c.options.Clock, wakeDelay)
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// noKeeperResponsive reports whether no keeper answered its last request. In that
// case the membership may have changed.
func (c *Client) noKeeperResponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.contacts {
		if !k.unresponsive && k.answered.Known() {
			return false
		}
	}
	return true
}

// noRecentAnswer reports whether no keeper has answered for contactTTL.
func (c *Client) noRecentAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.contacts {
		if k.answered.Within(contactTTL) {
			return false
		}
	}
	return true
}

// readRecord reads the membership record from the store. It runs in a goroutine of
// its own, because the read can take long and the known keepers may answer again
// meanwhile.
func (c *Client) readRecord(ctx context.Context) {
	defer c.readingRecord.Store(false)
	ctx, cancel := clockwork.WithTimeout(ctx, c.options.Clock, recordReadTimeout)
	defer cancel()
	e, err := c.options.Store.Get(ctx, c.options.RecordKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return // no keeper has joined yet
	case err != nil:
		c.options.Log.Warn("failed to read the membership record from the store", "error", err)
		return
	}
	r, err := member.Decode(e.Value)
	if err != nil {
		c.options.Log.Error("failed to decode the membership record from the store", "error", err)
		return
	}
	c.applyRecord(r)
}

// applyRecord switches to a membership record if it is newer than the current one.
func (c *Client) applyRecord(r member.Record) {
	c.mu.Lock()
	if r.Epoch <= c.record.Epoch {
		c.mu.Unlock()
		return
	}
	c.record, c.keepers = r, c.sortKeepers(r.Members)
	known := map[string]bool{}
	for _, m := range r.Members {
		known[m.PeerAddress] = true
		if c.contacts[m.PeerAddress] == nil {
			c.contacts[m.PeerAddress] = newContact()
		}
	}
	for address, k := range c.contacts {
		if !known[address] {
			k.lose()
			delete(c.contacts, address)
		}
	}
	c.mu.Unlock()
	c.options.Log.Info("switched to the membership of a newer epoch", "epoch", r.Epoch, "keepers", len(r.Members))
	c.Wake()
}

// sortKeepers sorts keepers by preference: first those in the zone of this host,
// then by a hash that differs between hosts, so that the load of a lost zone is
// spread over the other keepers.
func (c *Client) sortKeepers(members []member.Member) []member.Member {
	list := slices.Clone(members)
	zoneRank := func(m member.Member) int {
		if m.Zone == c.options.Zone {
			return 0
		}
		return 1
	}
	score := func(m member.Member) uint64 {
		return xxhash.Sum64String(string(c.options.Self.Host) + "\x00" + string(m.Host))
	}
	slices.SortFunc(list, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(zoneRank(a), zoneRank(b)), cmp.Compare(score(a), score(b)))
	})
	return list
}

// Wake makes Run send requests to the keepers soon, for example because the owner of
// a shard may have changed.
func (c *Client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// startRequests returns the addresses of the keepers without a request in flight and
// marks them as having one.
func (c *Client) startRequests() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, m := range c.keepers {
		if k := c.contacts[m.PeerAddress]; !k.inFlight {
			k.inFlight = true
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

// followKeeper sends one Follow request to a keeper and applies the answer.
func (c *Client) followKeeper(ctx context.Context, address string) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.options.Clock, followTimeout)
	defer cancel()
	self := c.options.Self
	self.StoreAway = c.options.StoreAway()
	c.mu.Lock()
	k := c.contacts[address]
	if k == nil {
		c.mu.Unlock()
		return
	}
	self.Leaving = c.leaving
	r := &peerpb.FollowRequest{Self: encodeHost(self), KnownEpoch: uint64(c.record.Epoch), KnownHosts: k.hostsVersion, KnownDisks: k.disksVersion, KnownSuspects: k.suspectsVersion}
	c.mu.Unlock()
	c.addOutcomes(r)
	c.addLoads(r, address)
	sentAt := c.options.Clock.Now()
	sent := evidence.Now(c.options.Clock)
	res, err := c.options.Peers.Follow(ctx, address, r)
	c.mu.Lock()
	k.inFlight = false
	k.setUnresponsive(err != nil)
	if err != nil {
		c.mergeHostsLocked(false)
		c.mu.Unlock()
		c.options.Log.Debug("keeper did not answer", "keeper", address, "error", err)
		if c.noKeeperResponsive() {
			c.Wake() // the membership may have changed
		}
		return
	}
	changed := false
	k.answered, k.acting = sent, res.GetActing()
	if res.GetHostsVersion() != k.hostsVersion {
		k.hostsVersion, k.hosts, changed = res.GetHostsVersion(), k.hosts[:0:0], true
		for _, h := range res.GetHosts() {
			k.hosts = append(k.hosts, decodeHost(h))
		}
	}
	c.mergeHostsLocked(changed)
	k.applyDisks(res)
	newSuspects := res.GetSuspectsVersion() != k.suspectsVersion
	k.suspectsVersion = res.GetSuspectsVersion()
	c.mu.Unlock()
	if newSuspects && c.options.SuspectsChanged != nil {
		c.options.SuspectsChanged(decodeEntries(res.GetSuspects()))
	}
	c.applyOutcomes(res)
	c.applyLoads(k, res, sentAt)
	c.applyEncodedRecord(res.GetRecord())
}

func decodeEntries(list []*peerpb.StoredEntry) []store.Entry {
	entries := make([]store.Entry, 0, len(list))
	for _, e := range list {
		entries = append(entries, store.Entry{Key: e.GetKey(), Value: e.GetValue(), Version: store.Version(e.GetVersion())})
	}
	return entries
}

// mergeHostsLocked merges the host lists of the keepers that acted recently, if a list
// has changed or other keepers than before acted. If there are none, the previous list
// stays. mu is held.
func (c *Client) mergeHostsLocked(changed bool) {
	var lists []presence.List
	var merged []string
	for _, m := range c.keepers {
		if k := c.contacts[m.PeerAddress]; c.actedRecentlyLocked(m.PeerAddress) {
			lists = append(lists, presence.List{Hosts: k.hosts, Told: k.answered})
			merged = append(merged, m.PeerAddress)
		}
	}
	if !changed && slices.Equal(merged, c.merged) {
		return
	}
	if hosts, ok := presence.Merge(contactTTL, lists...); ok {
		c.hosts, c.merged = hosts, merged
	}
}

// applyEncodedRecord applies the membership record in the answer of a keeper. data
// is empty if the keeper has no newer one.
func (c *Client) applyEncodedRecord(data []byte) {
	if len(data) == 0 {
		return
	}
	r, err := member.Decode(data)
	if err != nil {
		c.options.Log.Error("failed to decode the membership record from a keeper", "error", err)
		return
	}
	c.applyRecord(r)
}

// actedRecentlyLocked reports whether a keeper has said in an answer within
// contactTTL that it may act. mu is held.
func (c *Client) actedRecentlyLocked(address string) bool {
	k := c.contacts[address]
	return k != nil && k.acting && k.answered.Within(contactTTL)
}

// usableLocked reports whether a keeper should get a request: it acted recently and
// answered its last request. mu is held.
func (c *Client) usableLocked(address string) bool {
	return c.actedRecentlyLocked(address) && !c.contacts[address].unresponsive
}

// WhileResponsive returns a context that also ends when the keeper at address does
// not answer another request.
func (c *Client) WhileResponsive(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.contacts[address]
	if k == nil {
		cancel()
		return ctx, cancel
	}
	stop := context.AfterFunc(k.responsive, cancel)
	return ctx, func() { stop(); cancel() }
}

// MayAct reports whether a keeper that may act has answered this host recently. A
// host that was suspended or is cut off must not forward requests.
func (c *Client) MayAct() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.keepers, func(m member.Member) bool { return c.actedRecentlyLocked(m.PeerAddress) })
}

// Isolated reports whether no keeper has answered this host for contactTTL. In that
// case another host can serve its callers better. It is false in the first
// contactTTL after the start.
func (c *Client) Isolated() bool {
	return c.options.Clock.Since(c.started) > time.Duration(contactTTL) && c.noRecentAnswer()
}

// Owner returns the peer address of the keeper that owns a shard.
func (c *Client) Owner(s model.Shard) (address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner, ok := c.record.Owner(s)
	if !ok {
		return "", model.NewRefusal(model.ErrUnavailable, model.RanNo, "no keeper owns shard %d in epoch %d", s, c.record.Epoch)
	}
	return owner.PeerAddress, nil
}

// Hosts returns the live entry hosts, sorted by id, including those that are
// leaving. The list must not be changed.
func (c *Client) Hosts() []presence.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

// Leave makes the host report to the keepers that it is leaving.
func (c *Client) Leave() {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.Wake()
}

// State is the state dump of a Client.
type State struct {
	Epoch    model.Epoch
	Hosts    []presence.Host
	Isolated bool
	Keepers  []KeeperState
}

// KeeperState is the state of one keeper as an entry host knows it.
type KeeperState struct {
	Host   model.HostID
	Acting bool
	Age    time.Duration // since the last request with an answer was sent, or evidence.Unknown
}

// Dump returns a State.
func (c *Client) Dump() any {
	isolated := c.Isolated()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{Epoch: c.record.Epoch, Hosts: c.hosts, Isolated: isolated}
	for _, m := range c.keepers {
		k := c.contacts[m.PeerAddress]
		s.Keepers = append(s.Keepers, KeeperState{Host: m.Host, Acting: k.acting, Age: k.answered.Age()})
	}
	return s
}

// errNoKeeper reports that no keeper is usable, or that all of them answered an Admit
// request without a decision.
var errNoKeeper = errors.New("no keeper served the request")

// describeKeepers says how many keepers are usable, for error messages.
func (c *Client) describeKeepers() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := 0
	for _, m := range c.keepers {
		if c.usableLocked(m.PeerAddress) {
			usable++
		}
	}
	return fmt.Sprintf("%d of %d keepers of epoch %d act and answer", usable, len(c.keepers), c.record.Epoch)
}
