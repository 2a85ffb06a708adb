// Package follow connects entry hosts with keepers. Keepers are the members of
// the fleet: they hold the limits and the budgets. Entry hosts hold nothing that
// outlasts a request, so they are no members. Each tells all keepers that it
// lives, and learns the membership and the other entry hosts from the answers,
// so that messages grow with the number of entry hosts times that of keepers.
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
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/presence"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// Peers reaches keepers.
type Peers interface {
	Follow(ctx context.Context, address string, r *peerpb.FollowRequest) (*peerpb.FollowResponse, error)
	Admit(ctx context.Context, address string, r *peerpb.AdmitRequest) (*peerpb.AdmitResponse, error)
}

// Options configures a Client. All fields but SettleWait are required.
type Options struct {
	Self presence.Host
	Zone model.Zone
	// Store holds the membership record under RecordKey.
	Store     store.Store
	RecordKey string
	Peers     Peers
	// StoreAway says that this host does not reach the store.
	StoreAway func() bool
	// SettleWait is how long a request waits for a keeper that acts; 0 means
	// 1.2 s, in which a restarted fleet settles.
	SettleWait time.Duration
	Clock      clockwork.Clock
	Log        *slog.Logger
}

const (
	defaultSettleWait = 1200 * time.Millisecond
	// contactTTL is how long an answer of a keeper counts, from sending the
	// question.
	contactTTL = presence.Lifetime
	// askTimeout bounds one question.
	askTimeout = presence.Interval
	// findPause is the time between two reads of the membership record while no
	// keeper answers.
	findPause   = 200 * time.Millisecond
	findTimeout = time.Second
	// wakePause is the shortest time between two rounds of questions: all turns
	// of a lost owner ask for a newer membership.
	wakePause = 100 * time.Millisecond
)

// contact is what is known of one keeper.
type contact struct {
	asking   bool
	failed   bool      // the last question was not answered
	answered time.Time // when the last answered question was sent
	acting   bool
	version  uint64 // of hosts
	hosts    []presence.Host
}

// Client is the view that an entry host has of the fleet. It is safe for
// concurrent use.
type Client struct {
	options Options
	started time.Time
	wake    chan struct{}
	finding atomic.Bool // a read of the membership record is on its way

	mu       sync.Mutex // guards all fields below
	leaving  bool
	record   member.Record
	keepers  []member.Member // of record, in the order in which they are asked
	contacts map[string]*contact
	hosts    []presence.Host // merged from all keepers that act
}

// NewClient returns a Client that Run starts.
func NewClient(o Options) *Client {
	o.SettleWait = cmp.Or(o.SettleWait, defaultSettleWait)
	return &Client{options: o, started: o.Clock.Now(), wake: make(chan struct{}, 1), contacts: map[string]*contact{}}
}

// Run asks the keepers until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	var asks sync.WaitGroup
	defer asks.Wait()
	ticker := c.options.Clock.NewTicker(presence.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if c.lost() && c.finding.CompareAndSwap(false, true) {
			asks.Go(func() { c.find(ctx) })
		}
		for _, address := range c.due() {
			asks.Go(func() { c.ask(ctx, address) })
		}
		var again <-chan time.Time
		if c.lost() {
			again = c.options.Clock.After(findPause)
		}
		select {
		case <-ticker.Chan():
		case <-again:
		case <-c.wake:
			wait.For(ctx, c.options.Clock, wakePause)
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// lost says that no keeper answers, so that the membership may have changed.
func (c *Client) lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.contacts {
		if !k.failed && !k.answered.IsZero() {
			return false
		}
	}
	return true
}

// unheard says that no keeper has answered for contactTTL.
func (c *Client) unheard() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	for _, k := range c.contacts {
		if now.Sub(k.answered) < contactTTL {
			return false
		}
	}
	return true
}

// find reads the membership record from the store, which may take long while
// known keepers come back.
func (c *Client) find(ctx context.Context) {
	defer c.finding.Store(false)
	ctx, cancel := clockwork.WithTimeout(ctx, c.options.Clock, findTimeout)
	defer cancel()
	e, err := c.options.Store.Get(ctx, c.options.RecordKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return // no keeper has joined yet
	case err != nil:
		c.options.Log.Warn("keepers not found", "error", err)
		return
	}
	r, err := member.Decode(e.Value)
	if err != nil {
		c.options.Log.Error("membership record not readable", "error", err)
		return
	}
	c.enter(r)
}

// enter takes over a newer membership.
func (c *Client) enter(r member.Record) {
	c.mu.Lock()
	if r.Epoch <= c.record.Epoch {
		c.mu.Unlock()
		return
	}
	c.record, c.keepers = r, c.inOrder(r.Members)
	known := map[string]bool{}
	for _, m := range r.Members {
		known[m.PeerAddress] = true
		if c.contacts[m.PeerAddress] == nil {
			c.contacts[m.PeerAddress] = &contact{}
		}
	}
	for address := range c.contacts {
		if !known[address] {
			delete(c.contacts, address)
		}
	}
	c.mu.Unlock()
	c.options.Log.Info("followed epoch", "epoch", r.Epoch, "keepers", len(r.Members))
	c.Wake()
}

// inOrder sorts keepers: those of this host's zone first, then in an order that
// differs between hosts, so that a lost zone's load is spread.
func (c *Client) inOrder(members []member.Member) []member.Member {
	list := slices.Clone(members)
	far := func(m member.Member) int {
		if m.Zone == c.options.Zone {
			return 0
		}
		return 1
	}
	rank := func(m member.Member) uint64 {
		return xxhash.Sum64String(string(c.options.Self.Host) + "\x00" + string(m.Host))
	}
	slices.SortFunc(list, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(rank(a), rank(b)))
	})
	return list
}

// Wake asks the keepers soon, for example because an owner has changed.
func (c *Client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// due returns the keepers to ask and marks them as asked.
func (c *Client) due() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, m := range c.keepers {
		if k := c.contacts[m.PeerAddress]; !k.asking {
			k.asking = true
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

func (c *Client) ask(ctx context.Context, address string) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.options.Clock, askTimeout)
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
	r := &peerpb.FollowRequest{Self: encode(self), KnownEpoch: uint64(c.record.Epoch), KnownHosts: k.version}
	c.mu.Unlock()
	sent := c.options.Clock.Now()
	res, err := c.options.Peers.Follow(ctx, address, r)
	c.mu.Lock()
	k.asking, k.failed = false, err != nil
	if err != nil {
		c.mu.Unlock()
		c.options.Log.Debug("keeper does not answer", "keeper", address, "error", err)
		if c.lost() {
			c.Wake() // the membership may have changed
		}
		return
	}
	changed := k.acting != res.GetActing()
	k.answered, k.acting = sent, res.GetActing()
	if res.GetHostsVersion() != k.version {
		k.version, k.hosts, changed = res.GetHostsVersion(), k.hosts[:0:0], true
		for _, h := range res.GetHosts() {
			k.hosts = append(k.hosts, decode(h))
		}
	}
	if changed {
		c.merge()
	}
	c.mu.Unlock()
	c.learn(res.GetRecord())
}

// merge joins the lists of the keepers that act. The last list stays if none
// does. mu is held.
func (c *Client) merge() {
	var lists [][]presence.Host
	for _, m := range c.keepers {
		if k := c.contacts[m.PeerAddress]; k.acting {
			lists = append(lists, k.hosts)
		}
	}
	if len(lists) > 0 {
		c.hosts = presence.Merge(lists...)
	}
}

func (c *Client) learn(data []byte) {
	if len(data) == 0 {
		return
	}
	r, err := member.Decode(data)
	if err != nil {
		c.options.Log.Error("membership of a keeper not readable", "error", err)
		return
	}
	c.enter(r)
}

// recent says that a keeper acted in a recent answer. mu is held.
func (c *Client) recent(address string, now time.Time) bool {
	k := c.contacts[address]
	return k != nil && k.acting && now.Sub(k.answered) < contactTTL
}

// usable says that a keeper is worth a question. mu is held.
func (c *Client) usable(address string, now time.Time) bool {
	return c.recent(address, now) && !c.contacts[address].failed
}

// MayAct says whether a keeper that acts answered this host recently. A host
// that was suspended or is cut off must not send requests on.
func (c *Client) MayAct() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	return slices.ContainsFunc(c.keepers, func(m member.Member) bool { return c.recent(m.PeerAddress, now) })
}

// Isolated says that no keeper answers this host, so that its callers are
// better served by another one. It is false until the host had time to ask.
func (c *Client) Isolated() bool {
	return c.options.Clock.Since(c.started) > contactTTL && c.unheard()
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

// Hosts lists the entry hosts that live, sorted, with those that are leaving.
// The list must not be changed.
func (c *Client) Hosts() []presence.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

// Leave tells the keepers that this host is leaving.
func (c *Client) Leave() {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.Wake()
}

// State is the dump of a Client.
type State struct {
	Epoch    model.Epoch
	Hosts    []presence.Host
	Isolated bool
	Keepers  []KeeperState
}

// KeeperState is what an entry host knows of one keeper.
type KeeperState struct {
	Host   model.HostID
	Acting bool
	Age    time.Duration // since the last answered question was sent
}

// Dump returns a State.
func (c *Client) Dump() any {
	isolated := c.Isolated()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{Epoch: c.record.Epoch, Hosts: c.hosts, Isolated: isolated}
	for _, m := range c.keepers {
		k := c.contacts[m.PeerAddress]
		s.Keepers = append(s.Keepers, KeeperState{Host: m.Host, Acting: k.acting, Age: c.options.Clock.Since(k.answered)})
	}
	return s
}

// errNoKeeper reports that no keeper decided.
var errNoKeeper = errors.New("no keeper decided")

func (c *Client) describe() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	n := 0
	for _, m := range c.keepers {
		if c.usable(m.PeerAddress, now) {
			n++
		}
	}
	return fmt.Sprintf("%d of %d keepers of epoch %d act and answer", n, len(c.keepers), c.record.Epoch)
}
