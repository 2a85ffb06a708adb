package follow_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mimosarelay/app/catalog"
	"mimosarelay/app/follow"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/presence"
	"mimosarelay/core/store"
	"mimosarelay/core/store/memstore"
	"mimosarelay/io/peer/peerpb"
)

const recordKey = "Membership"

// testFleet consists of keepers and the entry hosts that follow them. The address of
// a keeper is its name.
type testFleet struct {
	t            *testing.T
	store        *memstore.Store
	keepers      map[string]*keeper
	requestCount atomic.Int64 // requests to all keepers
	storeSilent  *atomic.Bool // while set, the store answers no read; nil means never set

	mu       sync.Mutex      // guards suspects
	suspects [][]store.Entry // as entry hosts got them
}

// keeper is a keeper whose membership and limits are set by the test.
type keeper struct {
	*follow.Keeper
	catalog *catalog.Service

	mu         sync.Mutex
	silent     bool
	frozen     bool // requests get no answer
	acting     bool
	storeAway  bool
	record     member.Record
	admitErr   error // the result of each Admit
	admitCount int
}

func (k *keeper) MayAct() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.acting
}

func (k *keeper) StoreAway() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.storeAway
}

func (k *keeper) View() member.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.record
}

// Admit implements follow.Limiter.
func (k *keeper) Admit(context.Context, model.WorkspaceID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admitCount++
	return k.admitErr
}

func (k *keeper) update(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
}

var errCallTimedOut = errors.New("keeper did not answer the call in time")

func (tf *testFleet) keeper(address string) (*keeper, error) {
	tf.requestCount.Add(1)
	k := tf.keepers[address]
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.silent {
		return nil, errCallTimedOut
	}
	return k, nil
}

// withhold waits until ctx ends if the keeper is frozen.
func (k *keeper) withhold(ctx context.Context) error {
	k.mu.Lock()
	frozen := k.frozen
	k.mu.Unlock()
	if !frozen {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Follow implements follow.Peers.
func (tf *testFleet) Follow(ctx context.Context, address string, r *peerpb.FollowRequest) (*peerpb.FollowResponse, error) {
	k, err := tf.keeper(address)
	if err != nil {
		return nil, err
	}
	res, err := k.HandleFollow(ctx, r)
	return res, errors.Join(err, k.withhold(ctx))
}

// Admit implements follow.Peers.
func (tf *testFleet) Admit(ctx context.Context, address string, r *peerpb.AdmitRequest) (*peerpb.AdmitResponse, error) {
	k, err := tf.keeper(address)
	if err != nil {
		return nil, err
	}
	return k.HandleAdmit(ctx, r)
}

func newTestFleet(t *testing.T, keepers int) *testFleet {
	t.Helper()
	clock := clockwork.NewRealClock()
	tf := &testFleet{t: t, store: memstore.New(clock), keepers: map[string]*keeper{}}
	record := member.Record{Epoch: 1}
	for i := range keepers {
		name := fmt.Sprint("keeper-", i)
		record.Members = append(record.Members, member.Member{
			Host: model.HostID(name), Incarnation: model.Incarnation(name), Zone: model.Zone(fmt.Sprint("zone-", i)), PeerAddress: name, Keeper: true,
		})
	}
	for _, m := range record.Members {
		k := &keeper{acting: true, record: record}
		k.Keeper = &follow.Keeper{Fleet: k, Limits: k, Clock: clock}
		tf.keepers[m.PeerAddress] = k
	}
	tf.writeRecord(0, record)
	return tf
}

// writeRecord writes the membership record. n is the number of earlier writes.
func (tf *testFleet) writeRecord(n int, record member.Record) {
	tf.t.Helper()
	data, err := record.Encode()
	assert.NilError(tf.t, err)
	client := tf.store.NewClient("operator")
	var version store.Version
	if n > 0 {
		e, err := client.Get(tf.t.Context(), recordKey)
		assert.NilError(tf.t, err)
		version = e.Version
	}
	_, err = client.Put(tf.t.Context(), recordKey, data, version)
	assert.NilError(tf.t, err)
}

// newStoreClient returns a client of the store for a host.
func (tf *testFleet) newStoreClient(name string) store.Store {
	if tf.storeSilent == nil {
		return tf.store.NewClient(name)
	}
	return silentStore{tf.store.NewClient(name), tf.storeSilent}
}

// silentStore answers no read while silent is set.
type silentStore struct {
	store.Store
	silent *atomic.Bool
}

// Get implements store.Store.
func (s silentStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// startSettledClient starts an entry host in the zone of the first keeper and waits
// until all keepers have answered that they act.
func (tf *testFleet) startSettledClient(name string, storeAway *atomic.Bool) *follow.Client {
	c := tf.startClient(name, storeAway)
	tf.waitFor("all keepers act", func() bool {
		state, ok := c.Dump().(follow.State)
		return ok && len(state.Keepers) == len(tf.keepers) && !slices.ContainsFunc(state.Keepers, func(k follow.KeeperState) bool { return !k.Acting })
	})
	return c
}

// startClient starts an entry host in the zone of the first keeper.
func (tf *testFleet) startClient(name string, storeAway *atomic.Bool) *follow.Client {
	return tf.startClientWith(name, storeAway, func(*follow.Options) {})
}

// startClientWith starts an entry host with changed options.
func (tf *testFleet) startClientWith(name string, storeAway *atomic.Bool, change func(*follow.Options)) *follow.Client {
	if storeAway == nil {
		storeAway = &atomic.Bool{}
	}
	o := follow.Options{
		SuspectsChanged: func(entries []store.Entry) {
			tf.mu.Lock()
			defer tf.mu.Unlock()
			tf.suspects = append(tf.suspects, entries)
		},
		Self: presence.Host{Host: model.HostID(name), CallerAddress: name + ":1", PeerAddress: name + ":2"}, Zone: "zone-0",
		Store: tf.newStoreClient(name), RecordKey: recordKey, Peers: tf, StoreAway: storeAway.Load,
		SettleWait: 200 * time.Millisecond, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler),
	}
	change(&o)
	c := follow.NewClient(o)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	tf.t.Cleanup(func() { stop(); <-done })
	return c
}

func (tf *testFleet) waitFor(condition string, f func() bool) {
	tf.t.Helper()
	poll.WaitOn(tf.t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("%s: not yet", condition)
	}, poll.WithTimeout(4*presence.Lifetime), poll.WithDelay(10*time.Millisecond))
}

// activeHosts returns the hosts that are not leaving.
func activeHosts(list []presence.Host) []model.HostID {
	var out []model.HostID
	for _, h := range list {
		if !h.Leaving {
			out = append(out, h.Host)
		}
	}
	return out
}

// Guards against a number of messages that grows with the square of the number of
// entry hosts.
func TestMessageCountIsLinearInEntryHosts(t *testing.T) {
	tf := newTestFleet(t, 3)
	const hosts, rounds = 40, 4
	for i := range hosts {
		tf.startSettledClient(fmt.Sprint("host-", i), nil)
	}
	before := tf.requestCount.Load()
	time.Sleep(rounds * presence.Interval)
	sent := tf.requestCount.Load() - before
	assert.Assert(t, sent <= hosts*3*(rounds+1), "%d requests", sent)
	assert.Assert(t, sent >= hosts*3*(rounds-1), "%d requests", sent)
}

// Guards against callers that are sent to hosts that are leaving or cannot reach the
// store, and against an empty list of hosts when no host reaches the store.
func TestHostsListsOnlyHostsThatCanServe(t *testing.T) {
	t.Parallel()
	tf := newTestFleet(t, 3)
	var storeAway atomic.Bool
	a := tf.startSettledClient("a", nil)
	b := tf.startSettledClient("b", &storeAway)
	hostsAre := func(want ...model.HostID) func() bool {
		return func() bool { return fmt.Sprint(activeHosts(a.Hosts())) == fmt.Sprint(want) }
	}
	tf.waitFor("both hosts are listed", hostsAre("a", "b"))
	storeAway.Store(true)
	tf.waitFor("b cannot reach the store", hostsAre("a"))
	for _, k := range tf.keepers {
		k.update(func() { k.storeAway = true })
	}
	tf.waitFor("no host reaches the store", hostsAre("a", "b"))
	b.Leave()
	tf.waitFor("b is leaving", hostsAre("a"))
}

// Guards against a host that continues to act after it was cut off from the keepers,
// and against one that stops because one of several keepers is lost.
func TestMayActWhileAnyKeeperActsAndAnswers(t *testing.T) {
	t.Parallel()
	tf := newTestFleet(t, 2)
	c := tf.startSettledClient("a", nil)
	tf.keepers["keeper-0"].update(func() { tf.keepers["keeper-0"].silent = true })
	time.Sleep(presence.Lifetime + presence.Interval)
	assert.Assert(t, c.MayAct())
	assert.Assert(t, !c.Isolated())
	assert.NilError(t, c.Admit(t.Context(), "w"))
	tf.keepers["keeper-1"].update(func() { tf.keepers["keeper-1"].acting = false })
	tf.waitFor("no keeper acts", func() bool { return !c.MayAct() })
	err := c.Admit(t.Context(), "w")
	assert.ErrorIs(t, err, model.ErrUnavailable)
	assert.ErrorContains(t, err, "0 of 2 keepers of epoch 1 act and answer")
	tf.keepers["keeper-1"].update(func() { tf.keepers["keeper-1"].silent = true })
	tf.waitFor("host is isolated", c.Isolated)
}

// Guards against requests to other keepers while the keeper in the zone of the host
// answers, and against refusals because that keeper does not answer or does not know
// the workspace.
func TestAdmitFallsBackFromPreferredKeeper(t *testing.T) {
	t.Parallel()
	tf := newTestFleet(t, 3)
	c := tf.startSettledClient("a", nil)
	preferred := tf.keepers["keeper-0"]
	for range 5 {
		assert.NilError(t, c.Admit(t.Context(), "w"))
	}
	assert.Equal(t, preferred.admitCount, 5)
	preferred.update(func() {
		preferred.admitErr = model.NewRefusal(model.ErrRateLimited, model.RanNo, "limit").Retry(time.Second)
	})
	err := c.Admit(t.Context(), "w")
	assert.ErrorIs(t, err, model.ErrRateLimited)
	var refusal *model.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.RetryAfter, time.Second)
	preferred.update(func() {
		preferred.admitErr = model.NewRefusal(model.ErrForbidden, model.RanNo, "workspace is not known to this keeper yet")
	})
	assert.NilError(t, c.Admit(t.Context(), "w"), "another keeper knows the workspace")
	preferred.update(func() { preferred.silent = true })
	assert.NilError(t, c.Admit(t.Context(), "w"))
}

// Guards against turns that are requested from a keeper that was replaced.
func TestOwnerChangesWithEpoch(t *testing.T) {
	t.Parallel()
	tf := newTestFleet(t, 2)
	c := tf.startSettledClient("a", nil)
	next := tf.keepers["keeper-0"].record
	next.Epoch, next.Members = 2, next.Members[1:]
	tf.keepers["keeper-1"].update(func() { tf.keepers["keeper-1"].record = next })
	tf.waitFor("keeper-1 owns all shards", func() bool {
		for shard := range model.Shard(32) {
			if address, err := c.Owner(shard); err != nil || address != "keeper-1" {
				return false
			}
		}
		return true
	})
}

// Guards against hosts that notice late that their keepers answer again because they
// wait for a store that does not answer.
func TestReturningKeepersAreFoundWhileStoreDoesNotAnswer(t *testing.T) {
	t.Parallel()
	tf := newTestFleet(t, 2)
	setSilent := func(silent bool) {
		for _, k := range tf.keepers {
			k.update(func() { k.silent = silent })
		}
	}
	var storeSilent atomic.Bool
	tf.storeSilent = &storeSilent
	c := tf.startSettledClient("a", nil)
	storeSilent.Store(true)
	setSilent(true)
	tf.waitFor("host is isolated", c.Isolated)
	time.Sleep(2 * presence.Interval)
	setSilent(false)
	restoredAt := time.Now()
	tf.waitFor("host may act", c.MayAct)
	assert.Assert(t, time.Since(restoredAt) < presence.Interval, "%v", time.Since(restoredAt))
}

// Guards against a host that refuses requests for long because its only keeper was
// replaced before the host learned of the new one.
func TestReplacementOfOnlyKeeperIsFoundInStore(t *testing.T) {
	t.Parallel()
	tf := newTestFleet(t, 2)
	next := tf.keepers["keeper-0"].record
	tf.writeRecord(1, member.Record{Epoch: 1, Members: next.Members[:1]})
	tf.keepers["keeper-0"].update(func() { tf.keepers["keeper-0"].record.Members = next.Members[:1] })
	client := tf.startClient("a", nil)
	tf.waitFor("first keeper acts", client.MayAct)
	tf.writeRecord(2, member.Record{Epoch: 2, Members: next.Members[1:]})
	tf.keepers["keeper-0"].update(func() { tf.keepers["keeper-0"].silent = true })
	lostAt := time.Now()
	tf.waitFor("next keeper is found", func() bool { address, err := client.Owner(0); return err == nil && address == "keeper-1" })
	assert.NilError(t, client.Admit(t.Context(), "w"))
	assert.Assert(t, time.Since(lostAt) < 2*presence.Interval, "%v", time.Since(lostAt))
}

// Guards against entry hosts that do not know the requests that crash targets, or that
// get them with each message.
func TestStoredSuspectsAreSentOnce(t *testing.T) {
	tf := newTestFleet(t, 1)
	entries := []store.Entry{{Key: "Suspect/f", Value: []byte("v"), Version: 7}}
	for _, k := range tf.keepers {
		k.SuspectsChanged(entries)
	}
	tf.startSettledClient("entry-1", nil)
	received := func() [][]store.Entry {
		tf.mu.Lock()
		defer tf.mu.Unlock()
		return slices.Clone(tf.suspects)
	}
	tf.waitFor("the entry host gets them", func() bool { return len(received()) == 1 })
	time.Sleep(3 * presence.Interval)
	assert.DeepEqual(t, received(), [][]store.Entry{entries})
	for _, k := range tf.keepers {
		k.SuspectsChanged(nil)
	}
	tf.waitFor("the entry host gets the change", func() bool { return len(received()) == 2 })
}
