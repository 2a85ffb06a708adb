package member_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
	_ "mimosarelay/test/fixedseed"
)

var times = member.Times{LeaseTTL: 3 * time.Second, ConfirmationTTL: 1500 * time.Millisecond, Margin: 500 * time.Millisecond}

func host(n int) member.Member {
	h := fmt.Sprintf("h%d", n)
	return member.Member{
		Host: model.HostID(h), Incarnation: model.Incarnation(h + "-1"),
		Zone: model.Zone(fmt.Sprintf("z%d", n%3)), PeerAddress: h + ":1",
	}
}

func fleet(t rapid.TB, n int) member.Record {
	var r member.Record
	var err error
	for i := range n {
		r, err = r.Join(host(i))
		assert.NilError(t, err)
		r = r.PrunePast(r.Epoch)
	}
	return r
}

// Guards against removals that let the removed hosts confirm each other, also
// over several epochs that not all members have entered.
func TestRemovalKeepsMajorityOfAllOpenEpochs(t *testing.T) {
	r := fleet(t, 7)
	_, err := r.RemoveLapsed("h3", "h4", "h5", "h6")
	assert.ErrorIs(t, err, member.ErrNoMajority)
	r, err = r.RemoveLapsed("h4", "h5", "h6")
	assert.NilError(t, err)
	_, err = r.RemoveLapsed("h3") // h3 to h6 are a majority of the first epoch
	assert.ErrorIs(t, err, member.ErrNoMajority)
	proven, err := r.RemoveGone("h3", "h3-1")
	assert.NilError(t, err)
	assert.Equal(t, len(proven.Members), 3)
	closed, err := r.PrunePast(r.Epoch).RemoveLapsed("h3")
	assert.NilError(t, err)
	assert.Equal(t, closed.Epoch, r.Epoch+1)
}

// Guards against members that are lost for good and can never be removed, and
// against a removal of members that may act by confirming each other.
func TestRemovalOfAtMostHalf(t *testing.T) {
	for name, c := range map[string]struct {
		size, lost int
		want       error
	}{
		"1 of 2": {2, 1, nil},
		"1 of 3": {3, 1, nil},
		"2 of 3": {3, 2, member.ErrNoMajority},
		"2 of 4": {4, 2, nil},
		"3 of 4": {4, 3, member.ErrNoMajority},
		"3 of 6": {6, 3, nil},
	} {
		r := fleet(t, c.size)
		start := time.Unix(1000, 0)
		var lost []model.HostID
		for _, m := range r.Members[:c.lost] {
			lost = append(lost, m.Host)
		}
		_, err := r.RemoveLapsed(lost...)
		assert.Assert(t, errors.Is(err, c.want), "%s: %v", name, err)

		// The lost members confirm each other in the old epoch.
		self := r.Members[0]
		right := member.NewRight(times, self, start)
		right.Enter(r)
		right.SetStoreAway(true)
		for _, m := range r.Members[1:c.lost] {
			right.Confirm(m.Incarnation, r.Epoch, true, start)
		}
		assert.Equal(t, right.MayAct(start), c.want != nil, name)
	}
}

// Guards against joins that take over a live host's name and restarts that
// leave two members at one address.
func TestJoin(t *testing.T) {
	r := fleet(t, 3)
	_, err := r.Join(host(1))
	assert.ErrorIs(t, err, member.ErrPresent)
	moved := host(1)
	moved.Incarnation, moved.PeerAddress = "h1-2", "elsewhere:1"
	_, err = r.Join(moved)
	assert.ErrorIs(t, err, member.ErrOccupied)
	again := host(1)
	again.Incarnation = "h1-2"
	next, err := r.Join(again)
	assert.NilError(t, err)
	assert.Equal(t, len(next.Members), 3)
	assert.Assert(t, next.Has("h1", "h1-2"))
	data, err := next.Encode()
	assert.NilError(t, err)
	back, err := member.Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, next)
}

// Guards against shards without an owner, owners that leave, needless moves
// when a host is removed, and copies in the owner's own zone while others exist.
func TestOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "hosts")
		r := fleet(t, n)
		gone := host(rapid.IntRange(0, n-1).Draw(t, "gone"))
		next, err := r.MarkLeaving(gone.Host, gone.Incarnation)
		assert.NilError(t, err)
		for s := range model.Shard(64) {
			before, _ := r.Owner(s)
			after, ok := next.Owner(s)
			assert.Assert(t, ok && after.Host != gone.Host)
			if before.Host != gone.Host {
				assert.Equal(t, after.Host, before.Host)
			}
			peers := next.ReplicaPeers(s, after.Host, 2)
			assert.Equal(t, len(peers), min(2, n-2))
			if n > 5 {
				assert.Assert(t, peers[0].Zone != peers[1].Zone && peers[0].Zone != after.Zone && peers[1].Zone != after.Zone)
			}
		}
	})
}

// Guards against a right that outlives its renewal or its confirmations,
// counted from sending, and against confirmations of another epoch.
func TestRightEndsInTime(t *testing.T) {
	r := fleet(t, 3)
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	w := member.NewRight(times, host(0), start)
	w.Renewed(at(0))
	assert.Assert(t, !w.MayAct(at(1)), "not a member yet")
	w.Enter(r)
	assert.Assert(t, w.MayAct(at(2499)))
	assert.Assert(t, !w.MayAct(at(2500)))
	w.SetStoreAway(true)
	w.Confirm("h1-1", r.Epoch+1, true, at(2500))
	w.Confirm("h2-1", r.Epoch, false, at(2500))
	assert.Assert(t, !w.MayAct(at(2500)))
	w.Confirm("h1-1", r.Epoch, true, at(2500))
	assert.Assert(t, w.MayAct(at(3999)))
	assert.Assert(t, !w.MayAct(at(4000)))
	w.AnswerHeartbeat(at(5000))
	assert.Equal(t, w.EarliestEntryReport(func(member.Member) model.Epoch { return r.Epoch }), at(7000))
}

// Guards against a restarted host that reports its entry while a process may
// still act on a confirmation of its previous process, and against one that
// waits for such confirmations though nobody can hold them.
func TestEntryAfterRestart(t *testing.T) {
	start := time.Unix(100, 0)
	wait := start.Add(times.ConfirmationTTL + times.Margin)
	old := fleet(t, 3)
	again := func(r member.Record, i int) (member.Record, member.Member) {
		m := host(i)
		m.Incarnation = model.Incarnation(fmt.Sprintf("h%d-2", i))
		next, err := r.Join(m)
		assert.NilError(t, err)
		return next, m
	}
	joined, self := again(old, 0)
	all, _ := again(joined, 1)
	all, _ = again(all, 2)
	without, err := joined.RemoveLapsed("h2")
	assert.NilError(t, err)
	lapsed, err := old.RemoveLapsed("h2")
	assert.NilError(t, err)
	afterLapse, _ := again(lapsed, 0)
	for name, c := range map[string]struct {
		before, now member.Record
		joined      bool
		entered     map[model.HostID]model.Epoch
		waits       bool
	}{
		"join not known":            {before: old, now: joined, waits: true},
		"others did not enter":      {before: old, now: joined, joined: true, waits: true},
		"one did not enter":         {before: old, now: joined, joined: true, entered: map[model.HostID]model.Epoch{"h1": joined.Epoch}, waits: true},
		"one entered before":        {before: old, now: joined, joined: true, entered: map[model.HostID]model.Epoch{"h1": joined.Epoch, "h2": old.Epoch}, waits: true},
		"all entered":               {before: old, now: joined, joined: true, entered: map[model.HostID]model.Epoch{"h1": joined.Epoch, "h2": joined.Epoch}},
		"all others restarted":      {before: old, now: all, joined: true},
		"removed after the join":    {before: old, now: without, joined: true, entered: map[model.HostID]model.Epoch{"h1": without.Epoch}, waits: true},
		"removed before the join":   {before: lapsed, now: afterLapse, joined: true, entered: map[model.HostID]model.Epoch{"h1": afterLapse.Epoch}, waits: true},
		"first member of the fleet": {now: fleet(t, 1), joined: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := member.NewRight(times, self, start)
			if c.joined {
				w.Joined(c.before, c.before.Epoch+1)
			}
			w.Enter(c.now)
			at := w.EarliestEntryReport(func(m member.Member) model.Epoch { return c.entered[m.Host] })
			assert.Equal(t, at.Equal(wait), c.waits, "%v", at)
			assert.Assert(t, c.waits || !at.After(start), "%v", at)
			w.SetStoreAway(true)
			w.AnswerHeartbeat(start.Add(time.Second))
			assert.Equal(t, w.EarliestEntryReport(func(member.Member) model.Epoch { return c.now.Epoch }), wait.Add(time.Second))
		})
	}
}

// Guards against a fleet that never forms again after all its processes were
// killed at once: the last ones to restart must not wait for the dead to enter
// newer epochs.
func TestAllHostsRestart(t *testing.T) {
	var r member.Record
	var err error
	const hosts = 4 * member.MaxPast
	join := func(n int, process string) {
		name := fmt.Sprintf("h%02d", n)
		r, err = r.Join(member.Member{Host: model.HostID(name), Incarnation: model.Incarnation(name + process), PeerAddress: name})
		assert.NilError(t, err)
	}
	for n := range hosts {
		join(n, "-old")
		r = r.PrunePast(r.Epoch)
	}
	for n := range hosts {
		join(n, "-new")
	}
	assert.Equal(t, len(r.Members), hosts)
	for _, p := range r.Past {
		assert.Assert(t, len(p.Alive) > p.Size/2, "epoch %d can have no quorum any more", p.Epoch)
	}
	r = r.PrunePast(r.Epoch)
	assert.Equal(t, len(r.Past), 0)
}
