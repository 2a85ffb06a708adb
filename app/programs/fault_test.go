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
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// step is a point in the life of a call at which its owner is lost.
type step int

const (
	beforeStarted step = iota
	afterStarted
	afterFirstByte
	afterAnswer  // Finish is not called
	beforeCommit // Finish is called but nothing it sends arrives
	afterFinish
)

type fault struct {
	step        step
	frozen      bool // resumed after the takeover, otherwise killed
	storeDown   bool // from the call to the takeover
	replicaDead bool // one replica dies with the owner
	loseReplies bool // answers of one replica and of one store write are lost
	idempotent  bool
}

// verdict is what the callers and the target saw of call 2.
type observation struct {
	arrivals      int
	refusedNotRun bool // every attempt was refused with Ran no
	answered      bool // an attempt got the answer
	history       []program.Turn
	state         State
	idempotent    bool
}

// check is the safety condition of a run.
func (v observation) check() error {
	switch {
	case !v.idempotent && v.arrivals > 1:
		return fmt.Errorf("non-idempotent call arrived %d times", v.arrivals)
	case v.refusedNotRun && v.arrivals > 0:
		return fmt.Errorf("refused with Ran no but arrived %d times", v.arrivals)
	case len(v.history) < 1 || string(v.history[0].Answer) != "answer 1" || string(v.history[0].Messages) != "question 1":
		return fmt.Errorf("committed call 1 is missing in history of %d turns", len(v.history))
	case v.state.Used+v.state.Reserved < model.Tokens(7+7*v.arrivals):
		return fmt.Errorf("%d tokens used and %d reserved after %d hits", v.state.Used, v.state.Reserved, v.arrivals)
	case v.answered && (len(v.history) < 2 || string(v.history[1].Answer) != "answer 2"):
		return errors.New("reported call 2 is missing in history")
	}
	return nil
}

// lose kills or freezes the owner; the store and one replica may go with it.
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

// attempt drives call 2 at the owner up to the fault. It reports whether the
// caller got an answer, and the refusal if there was one.
func (fl *fleet) attemptCall(f fault, start func(*Run, context.Context) error) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	d, err := fl.hosts[0].service.Begin(ctx, callSpec(2, f.idempotent))
	if err != nil {
		return false, err
	}
	r := d.(*Run)
	if f.step == beforeStarted {
		fl.failOwner(f)
	}
	if err := start(r, ctx); err != nil {
		return false, err
	}
	if f.step == afterStarted {
		fl.failOwner(f)
		return false, errors.New("connection lost")
	}
	fl.recordArrival(callName(2))
	if f.step == afterFirstByte || f.step == afterAnswer || f.step == beforeCommit {
		fl.failOwner(f)
	}
	if f.step == afterFirstByte || f.step == afterAnswer && !f.frozen {
		return false, errors.New("connection lost")
	}
	err = r.Finish(ctx, answer(2))
	if f.step == afterFinish {
		fl.failOwner(f)
	}
	return err == nil, err
}

// play runs call 1, call 2 with a fault, the takeover, and retries of call 2
// at the new owner and at the resumed old one.
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
		fl.hosts[0].removed.Store(true)
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

func allFaults() []fault {
	var out []fault
	for s := beforeStarted; s <= afterFinish; s++ {
		for bits := range 1 << 5 {
			on := func(i int) bool { return bits>>i&1 == 1 }
			out = append(out, fault{s, on(0), on(1), on(2), on(3), on(4)})
		}
	}
	return out
}

// Guards against a second run, a false "not run", lost history and lost
// reservations when the owner is lost at any step of a call, alone or with the
// store, a replica and answers.
func TestOwnerLossAtAnyStepKeepsCallsSafe(t *testing.T) {
	t.Parallel()
	for _, f := range allFaults() {
		t.Run(f.name(), func(t *testing.T) {
			t.Parallel()
			assert.NilError(t, runScenario(t, f, (*Run).Start).check())
		})
	}
}

// Shows that the check fails when Start is not committed before sending.
func TestCheckDetectsUncommittedStart(t *testing.T) {
	t.Parallel()
	startWithoutCommit := func(r *Run, _ context.Context) error {
		return r.apply(func(tr *program.Tree) error { return tr.Start(r.program, r.call) })
	}
	v := runScenario(t, fault{step: afterFirstByte}, startWithoutCommit)
	assert.ErrorContains(t, v.check(), "arrived 2 times")
}

// Guards against an owner that reports a call as done by a write to the store
// that its successor has not seen, after it was frozen during Finish.
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
	old.removed.Store(true)
	old.frozen.Store(false)
	assert.Equal(t, ranOf(t, run.Finish(ctx, answer(1))), model.RanYes)
	waitFor(t, "late write", func() bool { return old.service.journal.idle() })
	o, err := fl.hosts[1].service.Outcome(testKey, 1)
	assert.NilError(t, err)
	assert.Equal(t, o.State, program.Unknown)
}

// Guards against sending after a pause during the commit of Start.
func TestStartFailsWithoutRightToAct(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 5)
	d, err := fl.hosts[0].service.Begin(context.Background(), callSpec(1, false))
	assert.NilError(t, err)
	fl.hosts[0].removed.Store(true)
	assert.Equal(t, ranOf(t, d.(*Run).Start(context.Background())), model.RanNo)
}

// Guards against a new owner that serves before it asked the store, or a
// member that has not entered the epoch.
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
	fl.hosts[3].dead.Store(true) // still a member
	// An attempt that this host answered before may still be under way; it ends
	// before the next one asks the host in vain.
	waitFor(t, "attempt that misses a member", func() bool { return fl.hosts[3].missedRequests.Load() > 0 })
	fl.store.update(func(m *memStore) { m.down = false })
	assert.Equal(t, ranOf(t, try()), model.RanNo)
	fl.hosts[3].dead.Store(false)
	waitFor(t, "takeover", func() bool { return try() == nil })
}

// Guards against a call that is refused although peers can commit it during a
// store outage, or that is sent although neither peers nor store can.
func TestCommitNeedsTwoPeerZonesOrStore(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		prepare func(*fleet)
		ok      bool
		zones   int
	}{
		"store down":                 {func(w *fleet) { w.store.update(func(m *memStore) { m.down = true }) }, true, 3},
		"store down, one peer dead":  {func(w *fleet) { w.store.update(func(m *memStore) { m.down = true }); w.hosts[1].dead.Store(true) }, true, 3},
		"store down, one zone dead":  {func(w *fleet) { w.store.update(func(m *memStore) { m.down = true }); w.hosts[1].dead.Store(true) }, true, 4},
		"store down, two zones only": {func(w *fleet) { w.store.update(func(m *memStore) { m.down = true }) }, false, 2},
		"all peers dead":             {func(w *fleet) { w.killPeers() }, true, 3},
		"all peers dead, lost write": {func(w *fleet) { w.killPeers(); w.store.update(func(m *memStore) { m.repliesToLose = 2 }) }, true, 3},
		"nothing left":               {func(w *fleet) { w.killPeers(); w.store.update(func(m *memStore) { m.down = true }) }, false, 3},
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

// Guards against a handover that interrupts a running call or serves its
// program at two hosts.
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

// Guards against copies accepted from, or given to, a host of an older epoch.
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

// Guards against copies that are acknowledged as durable but missing after a
// restart of the host with the data folder.
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

// Guards against a sub-agent that does not draw on its root, an order wait
// without end, a duplicate that runs, and callbacks for live programs.
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
// records lost by overwriting and compacting segments.
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
