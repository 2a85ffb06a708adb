package fleet

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/core/store/memstore"
	"mimosarelay/io/peer/peerpb"
)

// lostJoinAnswerStore loses the answer to the first write of the membership record
// and then removes the host that joined with it, as another member would.
type lostJoinAnswerStore struct {
	store.Store
	t          *testing.T
	host       model.HostID
	answerLost bool
}

func (l *lostJoinAnswerStore) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	version, err := l.Store.Put(ctx, key, value, prev)
	if key != "Membership" || l.answerLost {
		return version, err
	}
	l.answerLost = true
	assert.NilError(l.t, err)
	record, err := member.Decode(value)
	assert.NilError(l.t, err)
	joined, ok := record.Member(l.host)
	assert.Assert(l.t, ok)
	removed, err := record.RemoveGone(l.host, joined.Incarnation)
	assert.NilError(l.t, err)
	next, err := removed.Encode()
	assert.NilError(l.t, err)
	_, err = l.Store.Put(ctx, key, next, version)
	assert.NilError(l.t, err)
	return 0, store.ErrUnknown
}

type unreachablePeers struct{}

func (unreachablePeers) Heartbeat(context.Context, string, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return nil, context.DeadlineExceeded
}

// Guards against an incarnation that joins twice. Its share and shards may have been
// granted to other hosts in between, and it would still hold them.
func TestIncarnationNeverJoinsTwice(t *testing.T) {
	clock := clockwork.NewRealClock()
	client := memstore.New(clock).NewClient("h1")
	first := member.Member{Host: "h0", Incarnation: "i0", Zone: "a", PeerAddress: "10.0.0.1:1"}
	record, err := member.Record{}.Join(first)
	assert.NilError(t, err)
	value, err := record.Encode()
	assert.NilError(t, err)
	ctx := context.Background()
	_, err = client.Put(ctx, "Membership", value, 0)
	assert.NilError(t, err)
	s := New(Options{
		Store: &lostJoinAnswerStore{Store: client, t: t, host: "h1"}, Clock: clock, Peers: unreachablePeers{},
		Self:     member.Member{Host: "h1", Incarnation: "i1", Zone: "b", PeerAddress: "10.0.0.2:1"},
		Holdings: func(model.Epoch) map[model.WorkspaceID]int64 { return nil }, ConfigRevision: func() model.Revision { return 0 },
		PeerRevision: func(member.Member, model.Revision) {}, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	assert.NilError(t, s.acquireLease(ctx))
	assert.NilError(t, s.joinFleet(ctx)) // detects that it was removed and resets the incarnation
	assert.NilError(t, s.joinFleet(ctx))
	entry, err := client.Get(ctx, "Membership")
	assert.NilError(t, err)
	record, err = member.Decode(entry.Value)
	assert.NilError(t, err)
	joined, ok := record.Member("h1")
	assert.Assert(t, ok)
	assert.Assert(t, joined.Incarnation != "i1", "the same incarnation joined again in epoch %d", record.Epoch)
	assert.Equal(t, joined.Incarnation, s.Self().Incarnation)
}

// lateWatchStore answers the first watch with the entries of its creation and no later
// one.
type lateWatchStore struct {
	store.Store
	entries []store.Entry
	version store.Version
	watched bool
}

// Watch implements store.Store.
func (s *lateWatchStore) Watch(ctx context.Context, _ string, _ store.Version, _ time.Duration) ([]store.Entry, store.Version, error) {
	if s.watched {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	s.watched = true
	return s.entries, s.version, nil
}

// Guards against a process that ends when it joins a fleet that all members have left.
func TestHostJoinsFleetWithoutMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		client := memstore.New(clock).NewClient("h0")
		record, err := member.Record{Epoch: 5}.Encode()
		assert.NilError(t, err)
		_, err = client.Put(t.Context(), RecordKey, record, 0)
		assert.NilError(t, err)
		entries, version, err := client.List(t.Context(), "")
		assert.NilError(t, err)
		s := New(Options{
			Store: &lateWatchStore{Store: client, entries: entries, version: version}, Peers: unreachablePeers{}, Clock: clock,
			Self:     member.Member{Host: "h0", Incarnation: "i0", Zone: "a", PeerAddress: "h0"},
			Holdings: func(model.Epoch) map[model.WorkspaceID]int64 { return nil }, ConfigRevision: func() model.Revision { return 0 },
			Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = s.Run(ctx) })
		time.Sleep(5 * time.Second)
		e, err := client.Get(t.Context(), RecordKey)
		assert.NilError(t, err)
		joined, err := member.Decode(e.Value)
		assert.NilError(t, err)
		assert.Assert(t, joined.Has("h0", "i0"))
		stop()
		running.Wait()
	})
}

// Guards against a machine that takes the place of a member of its name while that
// member holds its lease again: the lease of the machine lapsed while it was paused.
func TestMemberWithLeaseIsNotReplacedByItsName(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewRealClock()
	client := memstore.New(clock).NewClient("h0")
	o := Options{Store: client, Clock: clock, Peers: unreachablePeers{}, Self: member.Member{Host: "h0", Zone: "a", PeerAddress: "10.0.0.1:1"}}
	old := New(o)
	assert.NilError(t, old.acquireLease(ctx))
	record := member.Record{Members: []member.Member{
		old.Self(), {Host: "h1", Incarnation: "i1", PeerAddress: "10.0.0.2:1"}, {Host: "h2", Incarnation: "i2", PeerAddress: "10.0.0.3:1"},
	}}
	o.Self = member.Member{Host: "h0", Zone: "a", PeerAddress: "10.0.0.9:1"}
	other := New(o)
	_, err := other.replaceMember(ctx, record, other.Self())
	assert.ErrorIs(t, err, member.ErrHostNameInUse)
	assert.NilError(t, client.Release(ctx, old.lease))
	next, err := other.replaceMember(ctx, record, other.Self())
	assert.NilError(t, err)
	assert.Assert(t, next.Has("h0", other.Self().Incarnation))
}
