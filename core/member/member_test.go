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

func newMember(n int) member.Member {
	h := fmt.Sprintf("h%d", n)
	return member.Member{
		Host: model.HostID(h), Incarnation: model.Incarnation(h + "-1"),
		Zone: model.Zone(fmt.Sprintf("z%d", n%3)), PeerAddress: h + ":1",
	}
}

func newRecord(t rapid.TB, n int) member.Record {
	var r member.Record
	var err error
	for i := range n {
		r, err = r.Join(newMember(i))
		assert.NilError(t, err)
		r = r.PrunePast(r.Epoch)
	}
	return r
}

// Guards against successive removals after which the removed hosts are a majority
// of an epoch that some members may still be in, and can confirm each other.
func TestRemovalKeepsMajorityOfAllOpenEpochs(t *testing.T) {
	r := newRecord(t, 7)
	_, err := r.RemoveLapsed("h3", "h4", "h5", "h6")
	assert.ErrorIs(t, err, member.ErrNoMajority)
	r, err = r.RemoveLapsed("h4", "h5", "h6")
	assert.NilError(t, err)
	_, err = r.RemoveLapsed("h3") // h3 to h6 are a majority of the epoch with 7 members
	assert.ErrorIs(t, err, member.ErrNoMajority)
	afterGone, err := r.RemoveGone("h3", "h3-1")
	assert.NilError(t, err)
	assert.Equal(t, len(afterGone.Members), 3)
	afterLapsed, err := r.PrunePast(r.Epoch).RemoveLapsed("h3")
	assert.NilError(t, err)
	assert.Equal(t, afterLapsed.Epoch, r.Epoch+1)
}

// Guards against a fleet that can never remove lost members, and against a removal
// of members that may still act because they confirm each other.
func TestLapsedMembersAreRemovedUnlessMajority(t *testing.T) {
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
		r := newRecord(t, c.size)
		start := time.Unix(1000, 0)
		var lost []model.HostID
		for _, m := range r.Members[:c.lost] {
			lost = append(lost, m.Host)
		}
		_, err := r.RemoveLapsed(lost...)
		assert.Assert(t, errors.Is(err, c.want), "%s: %v", name, err)

		// The lost members confirm each other in the epoch before the removal.
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

// Guards against a join that takes over the name of a live host, and against a
// restart that leaves two members at one address.
func TestJoinReplacesOnlyProcessAtSameAddress(t *testing.T) {
	r := newRecord(t, 3)
	_, err := r.Join(newMember(1))
	assert.ErrorIs(t, err, member.ErrAlreadyMember)
	otherAddress := newMember(1)
	otherAddress.Incarnation, otherAddress.PeerAddress = "h1-2", "elsewhere:1"
	_, err = r.Join(otherAddress)
	assert.ErrorIs(t, err, member.ErrHostNameInUse)
	restarted := newMember(1)
	restarted.Incarnation = "h1-2"
	next, err := r.Join(restarted)
	assert.NilError(t, err)
	assert.Equal(t, len(next.Members), 3)
	assert.Assert(t, next.Has("h1", "h1-2"))
	data, err := next.Encode()
	assert.NilError(t, err)
	decoded, err := member.Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, next)
}

// Guards against shards without an owner, leaving members that own shards, shards
// that move although their owner stays, and replicas in the owner's zone or in one
// zone while there are others.
func TestOwnersAndReplicasWhenMemberLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "hosts")
		r := newRecord(t, n)
		leaving := newMember(rapid.IntRange(0, n-1).Draw(t, "leaving"))
		next, err := r.MarkLeaving(leaving.Host, leaving.Incarnation)
		assert.NilError(t, err)
		for s := range model.Shard(64) {
			before, _ := r.Owner(s)
			after, ok := next.Owner(s)
			assert.Assert(t, ok && after.Host != leaving.Host)
			if before.Host != leaving.Host {
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

// Guards against a right to act that outlives the lease or the confirmations, both
// counted from when the request was sent, and against confirmations of another
// epoch.
func TestRightEndsWithLeaseOrConfirmations(t *testing.T) {
	r := newRecord(t, 3)
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	right := member.NewRight(times, newMember(0), start)
	right.Renewed(at(0))
	assert.Assert(t, !right.MayAct(at(1)), "not a member yet")
	right.Enter(r)
	assert.Assert(t, right.MayAct(at(2499)))
	assert.Assert(t, !right.MayAct(at(2500)))
	right.SetStoreAway(true)
	right.Confirm("h1-1", r.Epoch+1, true, at(2500))
	right.Confirm("h2-1", r.Epoch, false, at(2500))
	assert.Assert(t, !right.MayAct(at(2500)))
	right.Confirm("h1-1", r.Epoch, true, at(2500))
	assert.Assert(t, right.MayAct(at(3999)))
	assert.Assert(t, !right.MayAct(at(4000)))
	right.AnswerHeartbeat(at(5000))
	assert.Equal(t, right.EarliestEntryReport(func(member.Member) model.Epoch { return r.Epoch }), at(7000))
}

// Guards against a restarted host that reports its entry while another process may
// still act on a confirmation of its previous process, and against one that waits
// for such confirmations to expire although no process can hold any.
func TestEntryReportAfterRestart(t *testing.T) {
	start := time.Unix(100, 0)
	wait := start.Add(times.ConfirmationTTL + times.Margin)
	old := newRecord(t, 3)
	restart := func(r member.Record, i int) (member.Record, member.Member) {
		m := newMember(i)
		m.Incarnation = model.Incarnation(fmt.Sprintf("h%d-2", i))
		next, err := r.Join(m)
		assert.NilError(t, err)
		return next, m
	}
	joined, self := restart(old, 0)
	all, _ := restart(joined, 1)
	all, _ = restart(all, 2)
	without, err := joined.RemoveLapsed("h2")
	assert.NilError(t, err)
	lapsed, err := old.RemoveLapsed("h2")
	assert.NilError(t, err)
	afterLapse, _ := restart(lapsed, 0)
	for name, c := range map[string]struct {
		before, now member.Record
		joined      bool
		entered     map[model.HostID]model.Epoch
		waits       bool
	}{
		"join epoch not known":                     {before: old, now: joined, waits: true},
		"no other member entered":                  {before: old, now: joined, joined: true, waits: true},
		"one member did not enter":                 {before: old, now: joined, joined: true, entered: map[model.HostID]model.Epoch{"h1": joined.Epoch}, waits: true},
		"one member entered only the epoch before": {before: old, now: joined, joined: true, entered: map[model.HostID]model.Epoch{"h1": joined.Epoch, "h2": old.Epoch}, waits: true},
		"all members entered":                      {before: old, now: joined, joined: true, entered: map[model.HostID]model.Epoch{"h1": joined.Epoch, "h2": joined.Epoch}},
		"all other members restarted":              {before: old, now: all, joined: true},
		"member removed after the join":            {before: old, now: without, joined: true, entered: map[model.HostID]model.Epoch{"h1": without.Epoch}, waits: true},
		"member removed before the join":           {before: lapsed, now: afterLapse, joined: true, entered: map[model.HostID]model.Epoch{"h1": afterLapse.Epoch}, waits: true},
		"first member of the fleet":                {now: newRecord(t, 1), joined: true},
	} {
		t.Run(name, func(t *testing.T) {
			right := member.NewRight(times, self, start)
			if c.joined {
				right.Joined(c.before, c.before.Epoch+1)
			}
			right.Enter(c.now)
			at := right.EarliestEntryReport(func(m member.Member) model.Epoch { return c.entered[m.Host] })
			assert.Equal(t, at.Equal(wait), c.waits, "%v", at)
			assert.Assert(t, c.waits || !at.After(start), "%v", at)
			right.SetStoreAway(true)
			right.AnswerHeartbeat(start.Add(time.Second))
			assert.Equal(t, right.EarliestEntryReport(func(member.Member) model.Epoch { return c.now.Epoch }), wait.Add(time.Second))
		})
	}
}

// Guards against a fleet that never forms again after all its processes were killed
// at once, because the last ones to restart wait for dead processes to enter newer
// epochs.
func TestAllHostsRejoinAfterKill(t *testing.T) {
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
		assert.Assert(t, len(p.Alive) > p.Size/2, "epoch %d is kept although no quorum of it can be alive", p.Epoch)
	}
	r = r.PrunePast(r.Epoch)
	assert.Equal(t, len(r.Past), 0)
}
