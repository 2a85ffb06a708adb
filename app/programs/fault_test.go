package programs

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/io/disk"
	"mimosarelay/io/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// step is the point in the course of a call at which its owner fails.
type step int

const (
	beforeStart step = iota
	afterStart
	afterFirstByte
	afterAnswer  // killed owner: Finish is not called
	beforeCommit // Finish is called, but nothing that it sends arrives
	afterFinish
)

// fault describes how the owner of a call fails, and what fails with it.
type fault struct {
	step        step
	frozen      bool // the owner is paused until after the takeover; otherwise it is killed
	storeDown   bool // from the start of the call to the takeover
	replicaDead bool // the host of one replica dies with the owner
	loseReplies bool // one reply of a replica and one of the store are lost
	idempotent  bool
}

// observation is what the callers and the target saw of call 2.
type observation struct {
	arrivals      int
	refusedNotRun bool // every attempt was refused with RanNo
	answered      bool // an attempt returned the answer
	history       []program.Turn
	state         State
	idempotent    bool
}

// check returns an error if the observation violates a safety condition.
func (v observation) check() error {
	switch {
	case !v.idempotent && v.arrivals > 1:
		return fmt.Errorf("non-idempotent call arrived %d times", v.arrivals)
	case v.refusedNotRun && v.arrivals > 0:
		return fmt.Errorf("call that was refused with RanNo arrived %d times", v.arrivals)
	case len(v.history) < 1 || string(v.history[0].Answer) != "answer 1" || string(v.history[0].Messages) != "question 1":
		return fmt.Errorf("committed call 1 is missing from the history of %d turns", len(v.history))
	case v.state.Used+v.state.Reserved < model.Tokens(7+7*v.arrivals):
		return fmt.Errorf("only %d tokens used and %d reserved after call 2 arrived %d times", v.state.Used, v.state.Reserved, v.arrivals)
	case v.answered && (len(v.history) < 2 || string(v.history[1].Answer) != "answer 2"):
		return errors.New("answered call 2 is missing from the history")
	}
	return nil
}

// failOwner kills or pauses the owner and, depending on the fault, kills the host
// of one replica.
func (fl *fleet) failOwner(f fault) {
	if f.frozen {
		fl.hosts[0].frozen.Store(true)
	} else {
		fl.hosts[0].dead.Store(true)
	}
	if f.replicaDead {
		fl.hosts[1].dead.Store(true)
	}
}

// attemptCall runs call 2 at the owner up to the fault. It reports whether the
// caller got an answer, and returns the error if not.
func (fl *fleet) attemptCall(f fault, start func(*Run, context.Context) error) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	d, err := fl.hosts[0].service.Begin(ctx, callSpec(2, f.idempotent))
	if err != nil {
		return false, err
	}
	r := d.(*Run)
	if f.step == beforeStart {
		fl.failOwner(f)
	}
	if err := start(r, ctx); err != nil {
		return false, err
	}
	if f.step == afterStart {
		fl.failOwner(f)
		return false, errors.New("simulated loss of the connection to the caller")
	}
	fl.recordArrival(callName(2))
	if f.step == afterFirstByte || f.step == afterAnswer || f.step == beforeCommit {
		fl.failOwner(f)
	}
	if f.step == afterFirstByte || f.step == afterAnswer && !f.frozen {
		return false, errors.New("simulated loss of the connection to the caller")
	}
	err = r.Finish(ctx, answer(2))
	if f.step == afterFinish {
		fl.failOwner(f)
	}
	return err == nil, err
}

// runScenario runs call 1, call 2 with a fault, the takeover, and retries of call
// 2 at the resumed old owner and at the new one.
func runScenario(t *testing.T, f fault, start func(*Run, context.Context) error) observation {
	fl := newFleet(t, 5)
	_, err := fl.call(fl.hosts[0], callSpec(1, false))
	assert.NilError(t, err)
	if f.storeDown {
		fl.store.update(func(m *memStore) { m.down = true })
	}
	if f.loseReplies {
		fl.hosts[1].repliesToLose.Store(1)
		fl.store.update(func(m *memStore) { m.repliesToLose = 1 })
	}
	v := observation{idempotent: f.idempotent, refusedNotRun: true}
	observe := func(ok bool, err error) {
		v.answered = v.answered || ok
		var r *model.Refusal
		if ok || !errors.As(err, &r) || r.Ran != model.RanNo {
			v.refusedNotRun = false
		}
	}
	observe(fl.attemptCall(f, start))
	fl.store.update(func(m *memStore) { m.down = false })
	fl.startEpoch()
	owner := fl.hosts[1]
	if f.replicaDead {
		owner = fl.hosts[2]
	}
	if f.frozen {
		fl.hosts[0].rightLapsed.Store(true)
		fl.hosts[0].frozen.Store(false)
		_, err := fl.call(fl.hosts[0], callSpec(2, f.idempotent))
		observe(err == nil, err)
	}
	for range 2 {
		_, err := fl.call(owner, callSpec(2, f.idempotent))
		observe(err == nil, err)
	}
	v.arrivals = fl.arrivalsOf(callName(2))
	v.history, err = owner.service.History(testKey)
	assert.NilError(t, err)
	st, err := owner.service.State(testKey)
	assert.NilError(t, err)
	v.state = st
	return v
}

func (f fault) name() string { return fmt.Sprintf("%+v", f) }

// allFaults returns all combinations of a step and the flags of a fault.
func allFaults() []fault {
	var out []fault
	for s := beforeStart; s <= afterFinish; s++ {
		for bits := range 1 << 5 {
			on := func(i int) bool { return bits>>i&1 == 1 }
			out = append(out, fault{s, on(0), on(1), on(2), on(3), on(4)})
		}
	}
	return out
}

// Guards against a second run, a wrong RanNo, lost history and lost reservations
// when the owner fails at any step of a call, alone or together with the store, a
// replica and replies.
func TestOwnerLossAtAnyStepKeepsCallsSafe(t *testing.T) {
	t.Parallel()
	for _, f := range allFaults() {
		t.Run(f.name(), func(t *testing.T) {
			t.Parallel()
			assert.NilError(t, runScenario(t, f, (*Run).Start).check())
		})
	}
}

// Guards against a check that passes although the start of a call is not
// committed before the call is sent.
func TestCheckDetectsUncommittedStart(t *testing.T) {
	t.Parallel()
	startWithoutCommit := func(r *Run, _ context.Context) error {
		return r.apply(func(tr *program.Tree) error { return tr.Start(r.program, r.call) })
	}
	v := runScenario(t, fault{step: afterFirstByte}, startWithoutCommit)
	assert.ErrorContains(t, v.check(), "arrived 2 times")
}

// Guards against an owner that was paused during Finish and then reports the call
// as done, because of a store write that came too late for the new owner's read.
func TestStoreWriteAfterRemovalDoesNotCommit(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 5)
	ctx := context.Background()
	old := fl.hosts[0]
	d, err := old.service.Begin(ctx, callSpec(1, false))
	assert.NilError(t, err)
	run := d.(*Run)
	assert.NilError(t, run.Start(ctx))
	old.frozen.Store(true)
	fl.startEpoch()
	_, err = fl.call(fl.hosts[1], callSpec(1, false))
	assert.ErrorIs(t, err, model.ErrOutcomeUnknown)
	old.rightLapsed.Store(true)
	old.frozen.Store(false)
	assert.Equal(t, ranOf(t, run.Finish(ctx, answer(1))), model.RanYes)
	waitFor(t, "late write", func() bool { return old.service.journal.idle() })
	o, err := fl.hosts[1].service.Outcome(testKey, 1)
	assert.NilError(t, err)
	assert.Equal(t, o.State, program.Unknown)
}

// Guards against sending a call after the host was paused and removed while Start
// was committing.
func TestStartFailsWithoutRightToAct(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 5)
	d, err := fl.hosts[0].service.Begin(context.Background(), callSpec(1, false))
	assert.NilError(t, err)
	fl.hosts[0].rightLapsed.Store(true)
	assert.Equal(t, ranOf(t, d.(*Run).Start(context.Background())), model.RanNo)
}

// Guards against a new owner that serves calls before it has read the store and
// the records of all members.
func TestTakeoverWaitsForStoreAndAllMembers(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 4)
	_, err := fl.call(fl.hosts[0], callSpec(1, false))
	assert.NilError(t, err)
	fl.hosts[0].dead.Store(true)
	fl.store.update(func(m *memStore) { m.down = true })
	fl.startEpoch()
	try := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		_, err := fl.hosts[1].service.Begin(ctx, callSpec(1, false))
		return err
	}
	assert.Equal(t, ranOf(t, try()), model.RanNo)
	fl.hosts[3].dead.Store(true) // but still a member
	// A takeover attempt that this host has already answered may still be
	// running. It has ended when a request of the next one fails.
	waitFor(t, "takeover attempt without a reply of one member", func() bool { return fl.hosts[3].missedRequests.Load() > 0 })
	fl.store.update(func(m *memStore) { m.down = false })
	assert.Equal(t, ranOf(t, try()), model.RanNo)
	fl.hosts[3].dead.Store(false)
	waitFor(t, "takeover", func() bool { return try() == nil })
}

// Guards against refusing a call that peers can commit during a store outage, and
// against sending one that neither peers nor the store can commit.
func TestCommitNeedsTwoPeerZonesOrStore(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		prepare func(*fleet)
		ok      bool
		zones   int
	}{
		"store down":                                   {func(fl *fleet) { fl.store.update(func(m *memStore) { m.down = true }) }, true, 3},
		"store down, one peer dead":                    {func(fl *fleet) { fl.store.update(func(m *memStore) { m.down = true }); fl.hosts[1].dead.Store(true) }, true, 3},
		"store down, one zone dead":                    {func(fl *fleet) { fl.store.update(func(m *memStore) { m.down = true }); fl.hosts[1].dead.Store(true) }, true, 4},
		"store down, two zones only":                   {func(fl *fleet) { fl.store.update(func(m *memStore) { m.down = true }) }, false, 2},
		"all peers dead":                               {func(fl *fleet) { fl.killPeers() }, true, 3},
		"all peers dead, replies of store writes lost": {func(fl *fleet) { fl.killPeers(); fl.store.update(func(m *memStore) { m.repliesToLose = 2 }) }, true, 3},
		"store down, all peers dead":                   {func(fl *fleet) { fl.killPeers(); fl.store.update(func(m *memStore) { m.down = true }) }, false, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl := newFleetInZones(t, 5, c.zones)
			_, err := fl.call(fl.hosts[0], callSpec(1, false))
			assert.NilError(t, err)
			c.prepare(fl)
			_, err = fl.call(fl.hosts[0], callSpec(2, false))
			if c.ok {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, ranOf(t, err), model.RanNo)
			assert.Equal(t, fl.arrivalsOf(callName(2)), 0)
		})
	}
}

func (fl *fleet) killPeers() {
	for _, h := range fl.hosts[1:] {
		h.dead.Store(true)
	}
}

// Guards against a handover that interrupts a running call or lets two hosts
// serve its program.
func TestHandoverWaitsForRunningCall(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 4)
	ctx := context.Background()
	_, err := fl.call(fl.hosts[0], callSpec(1, false))
	assert.NilError(t, err)
	d, err := fl.hosts[0].service.Begin(ctx, callSpec(2, false))
	assert.NilError(t, err)
	run := d.(*Run)
	assert.NilError(t, run.Start(ctx))
	fl.hosts[0].Leaving = true
	fl.startEpoch()
	drained := make(chan error, 1)
	go func() { drained <- fl.hosts[0].service.Drain(ctx) }()

	early, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = fl.hosts[1].service.Begin(early, callSpec(2, false))
	assert.Equal(t, ranOf(t, err), model.RanNo)
	assert.NilError(t, run.Finish(ctx, answer(2)))
	got, err := fl.call(fl.hosts[1], callSpec(2, false))
	assert.NilError(t, err)
	assert.Equal(t, string(got.Answer), "answer 2")
	assert.NilError(t, <-drained)
	_, err = fl.call(fl.hosts[1], callSpec(3, false))
	assert.NilError(t, err)
	turns, err := fl.hosts[1].service.History(testKey)
	assert.NilError(t, err)
	assert.Equal(t, len(turns), 3)
}

// Guards against a program that moves between the end of a call and its commit, after
// which the caller is told that the call is not committed.
func TestHandoverWaitsForCommit(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*Run) error{
		"finish": func(r *Run) error { return r.Finish(context.Background(), answer(1)) },
		"abort":  func(r *Run) error { return r.Abort(context.Background(), model.RanNo) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl := newFleet(t, 4)
			d, err := fl.hosts[0].service.Begin(context.Background(), callSpec(1, false))
			assert.NilError(t, err)
			assert.NilError(t, d.(*Run).Start(context.Background()))
			fl.hosts[0].Leaving = true
			fl.startEpoch()
			takeShards := func() int {
				shard := program.ShardOf(testKey)
				r, err := fl.hosts[0].service.HandleTakeShards(context.Background(), &peerpb.TakeShardsRequest{
					Sender: fl.topologies["b1"].sender(), Shards: []uint32{uint32(shard)},
				})
				assert.NilError(t, err)
				return len(r.GetBusy())
			}
			fl.killPeers()
			fl.store.update(func(m *memStore) { m.down = true })
			ended := make(chan error, 1)
			go func() { ended <- end(d.(*Run)) }()
			waitFor(t, "end of the call", func() bool {
				state, err := fl.hosts[0].service.State(testKey)
				return err != nil || !state.Running
			})
			assert.Equal(t, takeShards(), 1)
			fl.store.update(func(m *memStore) { m.down = false })
			assert.NilError(t, <-ended)
			assert.Equal(t, takeShards(), 0)
		})
	}
}

// Guards against accepting records from a host in an older epoch, or sending
// records to it.
func TestRequestsOfStaleEpochAreRejected(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	old := fl.topologies["a0"]
	fl.startEpoch()
	_, err := fl.hosts[1].service.HandleReplicate(context.Background(), replicateRequest(old))
	assert.ErrorIs(t, err, ErrStaleEpoch)
	err = fl.hosts[1].service.HandleFetchRecords(context.Background(), fetchRequest(old), nil)
	assert.ErrorIs(t, err, ErrStaleEpoch)
}

// Guards against records that a replica acknowledged as durable but that are
// missing from its data folder after a restart.
func TestReplicasSurviveRestart(t *testing.T) {
	t.Parallel()
	path := t.TempDir()
	folder, err := disk.Open(path)
	assert.NilError(t, err)
	fl := newFleet(t, 3, func(m Member, o *Options) {
		if m.Host == "b1" {
			o.Disk = folder
		}
	})
	_, err = fl.call(fl.hosts[0], callSpec(1, false))
	assert.NilError(t, err)
	waitFor(t, "copy of the finished call", func() bool { return len(fl.hosts[1].service.replicas.list(allShards)) >= 2 })
	r, err := fl.hosts[1].service.HandleReplicate(context.Background(), replicateRequest(fl.topologies["a0"]))
	assert.NilError(t, err)
	assert.Assert(t, r.GetOnDisk())
	assert.NilError(t, folder.Close())

	folder, err = disk.Open(path)
	assert.NilError(t, err)
	reloaded := newReplicaSet(folder)
	assert.NilError(t, reloaded.load())
	root := testKey
	e := fl.hosts[2].service.restore(root, reloaded.trees[root])
	assert.Equal(t, len(e.tree.History(root.Program)), 1)
	assert.NilError(t, reloaded.expire(fl.clock.Now().Add(100*time.Hour)))
	assert.NilError(t, folder.Load(func(k string, _ []byte) error { return fmt.Errorf("record %s was not deleted", k) }))
	assert.NilError(t, folder.Close())
}

func allShards(model.Shard) bool { return true }

// Guards against a sub-agent that does not use the budget of its root, an endless
// wait for an earlier call, a duplicate that runs, and OnEnd callbacks for
// programs that have not ended.
func TestBudgetOrderDuplicatesAndEndCallbacks(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	s := fl.hosts[0].service
	ended := make(chan model.ProgramKey, 4)
	s.OnEnd(func(k model.ProgramKey) { ended <- k })
	_, err := fl.call(fl.hosts[0], callSpec(1, false))
	assert.NilError(t, err)
	child := callSpec(1, true)
	child.Key.Program = "child"
	child.Parent = testKey.Program
	child.Reserve = 9994
	_, err = fl.call(fl.hosts[0], child)
	assert.ErrorIs(t, err, model.ErrBudget)
	child.Reserve = 9993
	_, err = fl.call(fl.hosts[0], child)
	assert.NilError(t, err)

	_, err = fl.call(fl.hosts[0], callSpec(3, false))
	assert.ErrorIs(t, err, model.ErrOrder)

	ctx := context.Background()
	d, err := s.Begin(ctx, callSpec(2, false))
	assert.NilError(t, err)
	duplicate := make(chan Result, 1)
	go func() {
		r, err := fl.call(fl.hosts[0], callSpec(2, false))
		assert.Check(t, err)
		duplicate <- r
	}()
	assert.NilError(t, d.(*Run).Start(ctx))
	assert.NilError(t, d.(*Run).Finish(ctx, answer(2)))
	assert.Equal(t, string((<-duplicate).Answer), "answer 2")
	assert.Equal(t, fl.arrivalsOf(callName(2)), 0)

	keyed := CallSpec{Key: model.ProgramKey{Workspace: "w"}, IdempotencyKey: "k", Fingerprint: "f"}
	for range 2 {
		_, err = fl.call(fl.hosts[0], keyed)
		assert.NilError(t, err)
	}
	assert.Equal(t, fl.arrivalsOf(callName(0)), 1)
	assert.Equal(t, len(ended), 0)
	assert.NilError(t, s.End(ctx, testKey))
	assert.Equal(t, len(ended), 2)
	assert.Equal(t, len(s.Live()), 1)
}

// Guards against a journal that grows with the number of commits, and against
// losing records when segments are overwritten or compacted.
func TestJournalSizeIsBounded(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 1)
	const calls = 150
	for n := model.CallNumber(1); n <= calls; n++ {
		_, err := fl.call(fl.hosts[0], callSpec(n, true))
		assert.NilError(t, err)
	}
	segments, _ := fl.hosts[0].service.journal.counts()
	assert.Assert(t, segments <= maxSegments+1, "%d segments", segments)
	fl.hosts[0].dead.Store(true)
	next := fl.startHost(fl.hosts[0].service.ctx, Member{Host: "z", Incarnation: "2", Zone: "a", Address: "z"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = next.service.Run(ctx) }()
	fl.startEpoch()
	var turns []program.Turn
	waitFor(t, "takeover", func() bool {
		var err error
		turns, err = next.service.History(testKey)
		return err == nil
	})
	assert.Equal(t, len(turns), calls)
	waitFor(t, "removal of the dead host's journal", func() bool {
		fl.store.mu.Lock()
		defer fl.store.mu.Unlock()
		return len(fl.store.values) <= 2
	})
}
