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
	step       step
	frozen     bool // resumed after the takeover, otherwise killed
	storeDown  bool // from the call to the takeover
	replicaOut bool // one replica dies with the owner
	loseAcks   bool // answers of one replica and of one store write are lost
	idempotent bool
}

// verdict is what the callers and the target saw of call 2.
type verdict struct {
	hits       int
	refusedNo  bool // every attempt was refused with Ran no
	reported   bool // an attempt got the answer
	history    []program.Turn
	state      State
	idempotent bool
}

// check is the safety condition of a run.
func (v verdict) check() error {
	switch {
	case !v.idempotent && v.hits > 1:
		return fmt.Errorf("non-idempotent call arrived %d times", v.hits)
	case v.refusedNo && v.hits > 0:
		return fmt.Errorf("refused with Ran no but arrived %d times", v.hits)
	case len(v.history) < 1 || string(v.history[0].Answer) != "answer 1" || string(v.history[0].Messages) != "question 1":
		return fmt.Errorf("committed call 1 is missing in history of %d turns", len(v.history))
	case v.state.Used+v.state.Reserved < model.Tokens(7+7*v.hits):
		return fmt.Errorf("%d tokens used and %d reserved after %d hits", v.state.Used, v.state.Reserved, v.hits)
	case v.reported && (len(v.history) < 2 || string(v.history[1].Answer) != "answer 2"):
		return errors.New("reported call 2 is missing in history")
	}
	return nil
}

// lose kills or freezes the owner; the store and one replica may go with it.
func (w *world) lose(f fault) {
	if f.frozen {
		w.hosts[0].frozen.Store(true)
	} else {
		w.hosts[0].dead.Store(true)
	}
	if f.replicaOut {
		w.hosts[1].dead.Store(true)
	}
}

// attempt drives call 2 at the owner up to the fault. It reports whether the
// caller got an answer, and the refusal if there was one.
func (w *world) attempt(f fault, started func(*Run, context.Context) error) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	d, err := w.hosts[0].s.Begin(ctx, spec(2, f.idempotent))
	if err != nil {
		return false, err
	}
	r := d.(*Run)
	if f.step == beforeStarted {
		w.lose(f)
	}
	if err := started(r, ctx); err != nil {
		return false, err
	}
	if f.step == afterStarted {
		w.lose(f)
		return false, errors.New("connection lost")
	}
	w.send(id(2))
	if f.step == afterFirstByte || f.step == afterAnswer || f.step == beforeCommit {
		w.lose(f)
	}
	if f.step == afterFirstByte || f.step == afterAnswer && !f.frozen {
		return false, errors.New("connection lost")
	}
	err = r.Finish(ctx, answer(2))
	if f.step == afterFinish {
		w.lose(f)
	}
	return err == nil, err
}

// play runs call 1, call 2 with a fault, the takeover, and retries of call 2
// at the new owner and at the resumed old one.
func play(t *testing.T, f fault, started func(*Run, context.Context) error) verdict {
	w := newWorld(t, 5)
	_, err := w.call(w.hosts[0], spec(1, false))
	assert.NilError(t, err)
	if f.storeDown {
		w.store.set(func(m *memStore) { m.down = true })
	}
	if f.loseAcks {
		w.hosts[1].mute.Store(1)
		w.store.set(func(m *memStore) { m.lose = 1 })
	}
	v := verdict{idempotent: f.idempotent, refusedNo: true}
	note := func(ok bool, err error) {
		v.reported = v.reported || ok
		var r *model.Refusal
		if ok || !errors.As(err, &r) || r.Ran != model.RanNo {
			v.refusedNo = false
		}
	}
	note(w.attempt(f, started))
	w.store.set(func(m *memStore) { m.down = false })
	w.enter()
	owner := w.hosts[1]
	if f.replicaOut {
		owner = w.hosts[2]
	}
	if f.frozen {
		w.hosts[0].lapsed.Store(true)
		w.hosts[0].frozen.Store(false)
		_, err := w.call(w.hosts[0], spec(2, f.idempotent))
		note(err == nil, err)
	}
	for range 2 {
		_, err := w.call(owner, spec(2, f.idempotent))
		note(err == nil, err)
	}
	v.hits = w.count(id(2))
	v.history, err = owner.s.History(testKey)
	assert.NilError(t, err)
	st, err := owner.s.State(testKey)
	assert.NilError(t, err)
	v.state = st
	return v
}

func (f fault) name() string { return fmt.Sprintf("%+v", f) }

func faults() []fault {
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
func TestOwnerLost(t *testing.T) {
	t.Parallel()
	for _, f := range faults() {
		t.Run(f.name(), func(t *testing.T) {
			t.Parallel()
			assert.NilError(t, play(t, f, (*Run).Start).check())
		})
	}
}

// Shows that the check fails when Start is not committed before sending.
func TestCheckerFindsUncommittedStart(t *testing.T) {
	t.Parallel()
	wrong := func(r *Run, _ context.Context) error {
		return r.change(func(tr *program.Tree) error { return tr.Start(r.id, r.n) })
	}
	v := play(t, fault{step: afterFirstByte}, wrong)
	assert.ErrorContains(t, v.check(), "arrived 2 times")
}

// Guards against an owner that reports a call as done by a write to the store
// that its successor has not seen, after it was frozen during Finish.
func TestLateWriteDoesNotCommit(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 5)
	ctx := context.Background()
	old := w.hosts[0]
	d, err := old.s.Begin(ctx, spec(1, false))
	assert.NilError(t, err)
	run := d.(*Run)
	assert.NilError(t, run.Start(ctx))
	old.frozen.Store(true)
	w.enter()
	_, err = w.call(w.hosts[1], spec(1, false))
	assert.ErrorIs(t, err, model.ErrOutcomeUnknown)
	old.lapsed.Store(true)
	old.frozen.Store(false)
	assert.Equal(t, ran(t, run.Finish(ctx, answer(1))), model.RanYes)
	until(t, "late write", func() bool { return old.s.journal.idle() })
	o, err := w.hosts[1].s.Outcome(testKey, 1)
	assert.NilError(t, err)
	assert.Equal(t, o.State, program.Unknown)
}

// Guards against sending after a pause during the commit of Start.
func TestPausedWhileStarting(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 5)
	d, err := w.hosts[0].s.Begin(context.Background(), spec(1, false))
	assert.NilError(t, err)
	w.hosts[0].lapsed.Store(true)
	assert.Equal(t, ran(t, d.(*Run).Start(context.Background())), model.RanNo)
}

// Guards against a new owner that serves before it asked the store, or a
// member that has not entered the epoch.
func TestTakeoverWaits(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4)
	_, err := w.call(w.hosts[0], spec(1, false))
	assert.NilError(t, err)
	w.hosts[0].dead.Store(true)
	w.store.set(func(m *memStore) { m.down = true })
	w.enter()
	try := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		_, err := w.hosts[1].s.Begin(ctx, spec(1, false))
		return err
	}
	assert.Equal(t, ran(t, try()), model.RanNo)
	w.hosts[3].dead.Store(true) // still a member
	// An attempt that this host answered before may still be under way; it ends
	// before the next one asks the host in vain.
	until(t, "attempt that misses a member", func() bool { return w.hosts[3].missed.Load() > 0 })
	w.store.set(func(m *memStore) { m.down = false })
	assert.Equal(t, ran(t, try()), model.RanNo)
	w.hosts[3].dead.Store(false)
	until(t, "takeover", func() bool { return try() == nil })
}

// Guards against a call that is refused although peers can commit it during a
// store outage, or that is sent although neither peers nor store can.
func TestCommitPaths(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		prepare func(*world)
		ok      bool
		zones   int
	}{
		"store down":                 {func(w *world) { w.store.set(func(m *memStore) { m.down = true }) }, true, 3},
		"store down, one peer dead":  {func(w *world) { w.store.set(func(m *memStore) { m.down = true }); w.hosts[1].dead.Store(true) }, true, 3},
		"store down, one zone dead":  {func(w *world) { w.store.set(func(m *memStore) { m.down = true }); w.hosts[1].dead.Store(true) }, true, 4},
		"store down, two zones only": {func(w *world) { w.store.set(func(m *memStore) { m.down = true }) }, false, 2},
		"all peers dead":             {func(w *world) { w.killPeers() }, true, 3},
		"all peers dead, lost write": {func(w *world) { w.killPeers(); w.store.set(func(m *memStore) { m.lose = 2 }) }, true, 3},
		"nothing left":               {func(w *world) { w.killPeers(); w.store.set(func(m *memStore) { m.down = true }) }, false, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newZones(t, 5, c.zones)
			_, err := w.call(w.hosts[0], spec(1, false))
			assert.NilError(t, err)
			c.prepare(w)
			_, err = w.call(w.hosts[0], spec(2, false))
			if c.ok {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, ran(t, err), model.RanNo)
			assert.Equal(t, w.count(id(2)), 0)
		})
	}
}

func (w *world) killPeers() {
	for _, h := range w.hosts[1:] {
		h.dead.Store(true)
	}
}

// Guards against a handover that interrupts a running call or serves its
// program at two hosts.
func TestHandover(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4)
	ctx := context.Background()
	_, err := w.call(w.hosts[0], spec(1, false))
	assert.NilError(t, err)
	d, err := w.hosts[0].s.Begin(ctx, spec(2, false))
	assert.NilError(t, err)
	run := d.(*Run)
	assert.NilError(t, run.Start(ctx))
	w.hosts[0].Leaving = true
	w.enter()
	drained := make(chan error, 1)
	go func() { drained <- w.hosts[0].s.Drain(ctx) }()

	early, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = w.hosts[1].s.Begin(early, spec(2, false))
	assert.Equal(t, ran(t, err), model.RanNo)
	assert.NilError(t, run.Finish(ctx, answer(2)))
	got, err := w.call(w.hosts[1], spec(2, false))
	assert.NilError(t, err)
	assert.Equal(t, string(got.Answer), "answer 2")
	assert.NilError(t, <-drained)
	_, err = w.call(w.hosts[1], spec(3, false))
	assert.NilError(t, err)
	turns, err := w.hosts[1].s.History(testKey)
	assert.NilError(t, err)
	assert.Equal(t, len(turns), 3)
}

// Guards against copies accepted from, or given to, a host of an older epoch.
func TestStaleEpoch(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3)
	old := w.last["a0"]
	w.enter()
	_, err := w.hosts[1].s.HandleReplicate(context.Background(), replicateOf(old))
	assert.ErrorIs(t, err, ErrStaleEpoch)
	err = w.hosts[1].s.HandleFetchRecords(context.Background(), fetchOf(old), nil)
	assert.ErrorIs(t, err, ErrStaleEpoch)
}

// Guards against copies that are acknowledged as durable but missing after a
// restart of the host with the data folder.
func TestCopiesOnDisk(t *testing.T) {
	t.Parallel()
	path := t.TempDir()
	folder, err := disk.Open(path)
	assert.NilError(t, err)
	w := newWorld(t, 3, func(m Member, o *Options) {
		if m.Host == "b1" {
			o.Disk = folder
		}
	})
	_, err = w.call(w.hosts[0], spec(1, false))
	assert.NilError(t, err)
	until(t, "copy of the finished call", func() bool { return len(w.hosts[1].s.copies.list(all)) >= 2 })
	r, err := w.hosts[1].s.HandleReplicate(context.Background(), replicateOf(w.last["a0"]))
	assert.NilError(t, err)
	assert.Assert(t, r.GetOnDisk())
	assert.NilError(t, folder.Close())

	folder, err = disk.Open(path)
	assert.NilError(t, err)
	again := newReplicas(folder)
	assert.NilError(t, again.load())
	root := testKey
	e := w.hosts[2].s.revive(root, again.trees[root])
	assert.Equal(t, len(e.tree.History(root.Program)), 1)
	assert.NilError(t, again.expire(w.clock.Now().Add(100*time.Hour)))
	assert.NilError(t, folder.Load(func(k string, _ []byte) error { return fmt.Errorf("record %s was not deleted", k) }))
	assert.NilError(t, folder.Close())
}

func all(model.Shard) bool { return true }

// Guards against a sub-agent that does not draw on its root, an order wait
// without end, a duplicate that runs, and callbacks for live programs.
func TestProgramRules(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3)
	s := w.hosts[0].s
	ended := make(chan model.ProgramKey, 4)
	s.OnEnd(func(k model.ProgramKey) { ended <- k })
	_, err := w.call(w.hosts[0], spec(1, false))
	assert.NilError(t, err)
	child := spec(1, true)
	child.Key.Program = "child"
	child.Parent = testKey.Program
	child.Reserve = 9994
	_, err = w.call(w.hosts[0], child)
	assert.ErrorIs(t, err, model.ErrBudget)
	child.Reserve = 9993
	_, err = w.call(w.hosts[0], child)
	assert.NilError(t, err)

	_, err = w.call(w.hosts[0], spec(3, false))
	assert.ErrorIs(t, err, model.ErrOrder)

	ctx := context.Background()
	d, err := s.Begin(ctx, spec(2, false))
	assert.NilError(t, err)
	twin := make(chan Result, 1)
	go func() {
		r, err := w.call(w.hosts[0], spec(2, false))
		assert.Check(t, err)
		twin <- r
	}()
	assert.NilError(t, d.(*Run).Start(ctx))
	assert.NilError(t, d.(*Run).Finish(ctx, answer(2)))
	assert.Equal(t, string((<-twin).Answer), "answer 2")
	assert.Equal(t, w.count(id(2)), 0)

	keyed := CallSpec{Key: model.ProgramKey{Workspace: "w"}, IdempotencyKey: "k", Fingerprint: "f"}
	for range 2 {
		_, err = w.call(w.hosts[0], keyed)
		assert.NilError(t, err)
	}
	assert.Equal(t, w.count(id(0)), 1)
	assert.Equal(t, len(ended), 0)
	assert.NilError(t, s.End(ctx, testKey))
	assert.Equal(t, len(ended), 2)
	assert.Equal(t, len(s.Live()), 1)
}

// Guards against a journal that grows with the number of commits, and against
// records lost by overwriting and compacting segments.
func TestJournalBounded(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	const calls = 150
	for n := model.CallNumber(1); n <= calls; n++ {
		_, err := w.call(w.hosts[0], spec(n, true))
		assert.NilError(t, err)
	}
	segments, _ := w.hosts[0].s.journal.sizes()
	assert.Assert(t, segments <= maxSegments+1, "%d segments", segments)
	w.hosts[0].dead.Store(true)
	next := w.start(w.hosts[0].s.ctx, Member{Host: "z", Incarnation: "2", Zone: "a", Address: "z"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = next.s.Run(ctx) }()
	w.enter()
	var turns []program.Turn
	until(t, "takeover", func() bool {
		var err error
		turns, err = next.s.History(testKey)
		return err == nil
	})
	assert.Equal(t, len(turns), calls)
	until(t, "removal of the dead host's journal", func() bool {
		w.store.mu.Lock()
		defer w.store.mu.Unlock()
		return len(w.store.values) <= 2
	})
}
