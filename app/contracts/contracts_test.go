package contracts

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// Guards against a host that returns to an older configuration offered by the
// watch, a peer or the store.
func TestOlderRevisionNeverReplacesCurrent(t *testing.T) {
	f := newStore()
	old := newService(newStore())
	assert.NilError(t, old.Offer(3, revision(3, 3)))
	s := newService(f, func(o *Options) { o.Peers = fakePeers{"p": old} })
	assert.NilError(t, s.Offer(5, revision(5, 50)))
	assert.ErrorIs(t, s.Offer(4, revision(4, 4)), ErrOldRevision)
	s.EntriesChanged([]store.Entry{{Key: DefaultConfigKey, Value: revision(4, 4)}})
	s.EntriesChanged(nil)
	assert.NilError(t, s.FetchFrom(t.Context(), "p"))
	f.entries[DefaultConfigKey] = store.Entry{Key: DefaultConfigKey, Value: revision(2, 2), Version: 1}
	assert.NilError(t, s.Bootstrap(t.Context()))
	assert.Equal(t, s.Revision(), model.Revision(5))
	assert.Equal(t, rate(s), 50.0)
}

// Guards against a faulty or mislabelled document replacing a good one.
func TestOfferRejectsFaultyOrMislabelledDocuments(t *testing.T) {
	for name, c := range map[string]struct {
		revision model.Revision
		text     []byte
		want     string
	}{
		"revision of another document": {7, revision(8, 1), "offered as revision 7 contains revision 8"},
		"document without revision":    {7, document(1), "document offered as revision 7 contains revision 0"},
		"faulty document":              {7, []byte("Workspaces: 1"), "configuration revision 7:1: Workspaces: must be a list"},
		"same revision, other text":    {5, revision(5, 6), "differs from the current one"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newService(newStore())
			assert.NilError(t, s.Offer(5, revision(5, 5)))
			assert.ErrorContains(t, s.Offer(c.revision, c.text), c.want)
			assert.Equal(t, s.Revision(), model.Revision(5))
			assert.Equal(t, rate(s), 5.0)
		})
	}
}

// Guards against listeners that see revisions out of order or twice when
// documents are offered concurrently.
func TestOnChangeReportsRevisionsInOrder(t *testing.T) {
	s := newService(newStore())
	var seen []string
	s.OnChange(func(old, current *config.Snapshot) {
		seen = append(seen, fmt.Sprintf("%d-%d", old.Revision(), current.Revision()))
	})
	var wg sync.WaitGroup
	for r := model.Revision(1); r <= 20; r++ {
		wg.Go(func() {
			if err := s.Offer(r, revision(r, 1)); err != nil && !errors.Is(err, ErrOldRevision) {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	assert.NilError(t, s.Offer(20, revision(20, 1)))
	last := "0"
	for _, step := range seen {
		from, to, _ := strings.Cut(step, "-")
		assert.Equal(t, from, last, "%v", seen)
		last = to
	}
	assert.Equal(t, last, "20")
}

// Guards against two concurrent changes that are both reported as accepted.
func TestConcurrentAppliesAcceptOneChange(t *testing.T) {
	for name, rates := range map[string][2]int{"different": {1, 2}, "equal": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			f := newStore()
			hosts := []*Service{newService(f), newService(f)}
			apply(t, hosts[0], 9, 0)
			var both sync.WaitGroup
			both.Add(2)
			// Each write starts only after both operators have read.
			f.onPut = func() { both.Done(); both.Wait() }
			errs := make([]error, 2)
			var wg sync.WaitGroup
			for i, s := range hosts {
				wg.Go(func() { _, errs[i] = s.Apply(t.Context(), document(rates[i]), 1) })
			}
			wg.Wait()
			winner := 0
			if errs[0] != nil {
				winner = 1
			}
			assert.NilError(t, errs[winner])
			assert.ErrorIs(t, errs[1-winner], ErrConflict)
			assert.ErrorContains(t, errs[1-winner], "based on revision 1, the current revision is 2")
			assert.Equal(t, rate(hosts[winner]), float64(rates[winner]))
		})
	}
}

// Guards against a change whose store response was lost being reported as accepted
// or not accepted without proof.
func TestApplyResolvesLostStoreAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		fault   string
		replace []byte // written by another operator before the read back
		want    error
		written bool
	}{
		"written, found in the store":  {fault: writtenAnswerLost, written: true},
		"written, store unavailable":   {fault: writtenStoreDown, want: ErrUnknownOutcome, written: true},
		"not written yet":              {fault: requestLost, want: ErrUnknownOutcome},
		"another change accepted":      {fault: requestLost, replace: revision(2, 7), want: ErrConflict},
		"replaced by a newer revision": {fault: requestLost, replace: revision(3, 7), want: ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStore()
			s := newService(f)
			apply(t, s, 1, 0)
			f.putFault = c.fault
			if c.replace != nil {
				f.onPut = func() {
					f.locked(func() { f.entries[DefaultConfigKey] = store.Entry{Key: DefaultConfigKey, Value: c.replace, Version: 9} })
				}
			}
			r, err := s.Apply(t.Context(), document(2), 1)
			assert.Equal(t, strings.Contains(string(f.config().Value), "Rate: 2"), c.written)
			if c.want != nil {
				assert.ErrorIs(t, err, c.want)
				assert.Equal(t, s.Revision(), model.Revision(1))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, r, model.Revision(2))
			assert.Equal(t, rate(s), 2.0)
		})
	}
}

// Guards against a lost request that is reported as accepted because another
// operator made an equal change.
func TestApplyReportsConflictWithEqualChangeOfAnotherOperator(t *testing.T) {
	f := newStore()
	s, other := newService(f), newService(f)
	apply(t, s, 1, 0)
	f.onPut = func() {
		f.onPut = nil
		apply(t, other, 2, 1)
		f.putFault = requestLost
	}
	_, err := s.Apply(t.Context(), document(2), 1)
	assert.ErrorIs(t, err, ErrConflict)
}

// Guards against a change that is accepted with an invalid document, a wrong base
// revision or an unavailable store.
func TestApplyRejectsInvalidDocumentAndUnavailableStore(t *testing.T) {
	f := newStore()
	s := newService(f)
	apply(t, s, 1, 0)
	_, err := s.Apply(t.Context(), []byte("Workspaces: []"), 1)
	assert.ErrorContains(t, err, "document:1: Targets: missing")
	_, err = s.Apply(t.Context(), revision(4, 1), 1)
	assert.ErrorIs(t, err, model.ErrBadRequest)
	f.down = true
	_, err = s.Apply(t.Context(), document(2), 1)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, s.Revision(), model.Revision(1))
}

// Guards against a change that is based on an old value, and against one that is
// lost, while the store returns stale reads.
func TestApplyRejectsStaleStoreReads(t *testing.T) {
	f := newStore()
	s := newService(f)
	apply(t, s, 1, 0)
	first := f.config()
	apply(t, s, 2, 1)
	f.stale = &first
	_, err := s.Apply(t.Context(), document(3), 1)
	assert.ErrorIs(t, err, ErrConflict)
	_, err = s.Apply(t.Context(), document(3), 2)
	assert.ErrorIs(t, err, model.ErrUnavailable)
	f.stale = nil
	apply(t, s, 3, 2)
	assert.Equal(t, rate(s), 3.0)
}

// Guards against gaps in the history after a host stopped between the write of
// the configuration and that of the history, and against unbounded growth.
func TestHistoryIsBoundedAndHasNoGaps(t *testing.T) {
	f := newStore()
	s := newService(f, func(o *Options) { o.HistoryLimit = 3 })
	for i := range 4 {
		apply(t, s, i+1, model.Revision(i))
	}
	delete(f.entries, s.historyKey(4))
	apply(t, s, 5, 4)
	list, err := s.History(t.Context())
	assert.NilError(t, err)
	at := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	assert.DeepEqual(t, list, []HistoryEntry{{3, at}, {4, at}, {5, at}})
	text, err := s.HistoryDocument(t.Context(), 4)
	assert.NilError(t, err)
	d, err := config.Parse(text, "4")
	assert.NilError(t, err)
	assert.Equal(t, d.Workspaces[0].Rate, 4.0)
	_, err = s.HistoryDocument(t.Context(), 1)
	assert.ErrorIs(t, err, model.ErrNotFound)
}

// Guards against keys that are lost when several operators change keys
// concurrently.
func TestGrantAndWithdrawRetryOnConflicts(t *testing.T) {
	f := newStore()
	apply(t, newService(f), 1, 0)
	var wg sync.WaitGroup
	secrets := make([]string, 8)
	for i := range secrets {
		wg.Go(func() {
			var err error
			secrets[i], _, err = newService(f).Grant(context.Background(), "w", model.KeyID(fmt.Sprintf("k%d", i)))
			if err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	s := newService(f)
	assert.NilError(t, s.Bootstrap(t.Context()))
	for _, secret := range secrets {
		w, _, ok := s.Current().Authenticate(secret)
		assert.Assert(t, ok && w == "w")
	}
	_, _, err := s.Grant(t.Context(), "w", "k1")
	assert.ErrorIs(t, err, ErrKeyExists)
	_, _, err = s.Grant(t.Context(), "none", "k9")
	assert.ErrorIs(t, err, model.ErrNotFound)
	_, _, err = s.Grant(t.Context(), "w", "k 9")
	assert.ErrorIs(t, err, model.ErrBadRequest)
	r, err := s.Withdraw(t.Context(), "k1")
	assert.NilError(t, err)
	assert.Equal(t, r, model.Revision(10))
	assert.Assert(t, !s.Current().KeyValid("w", "k1") && s.Current().KeyValid("w", "k2"))
	_, err = s.Withdraw(t.Context(), "k1")
	assert.ErrorIs(t, err, model.ErrNotFound)
}

// Guards against a host that becomes ready with an old configuration.
func TestBootstrapTakesNewestRevision(t *testing.T) {
	for name, c := range map[string]struct {
		stored, peer model.Revision
		down         bool
		want         model.Revision
		fails        bool
	}{
		"no configuration anywhere":  {want: 0},
		"store is newer":             {stored: 4, peer: 3, want: 4},
		"peer is newer":              {stored: 3, peer: 4, want: 4},
		"store has no configuration": {peer: 4, want: 4},
		"store down, peer responds":  {peer: 4, down: true, want: 4, fails: true},
		"store down, peer has none":  {down: true, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStore()
			f.down = c.down
			if c.stored > 0 {
				f.entries[DefaultConfigKey] = store.Entry{Key: DefaultConfigKey, Value: revision(c.stored, 1), Version: 1}
			}
			peer := newService(f)
			if c.peer > 0 {
				assert.NilError(t, peer.Offer(c.peer, revision(c.peer, 1)))
			}
			s := newService(f, func(o *Options) {
				o.Peers = fakePeers{"p": peer}
				o.PeerAddresses = func() []string { return []string{"dead", "p"} }
			})
			ctx, cancel := context.WithCancel(t.Context())
			if c.fails {
				cancel()
			}
			defer cancel()
			err := s.Bootstrap(ctx)
			assert.Equal(t, err != nil, c.fails, "%v", err)
			assert.Equal(t, s.Ready(), !c.fails)
			assert.Equal(t, s.Revision(), c.want)
		})
	}
}

// Guards against a host that does not become ready after the store has recovered.
func TestBootstrapWaitsForTheStore(t *testing.T) {
	f := newStore()
	f.entries[DefaultConfigKey] = store.Entry{Key: DefaultConfigKey, Value: revision(3, 1), Version: 1}
	f.down = true
	clock := clockwork.NewFakeClock()
	s := newService(f, func(o *Options) { o.Clock = clock })
	done := make(chan error, 1)
	go func() { done <- s.Bootstrap(t.Context()) }()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	assert.Assert(t, !s.Ready())
	f.locked(func() { f.down = false })
	clock.Advance(bootstrapRetryInterval)
	assert.NilError(t, <-done)
	assert.Equal(t, s.Revision(), model.Revision(3))
}

// Guards against sending a document to a peer that already has it.
func TestHandleGetConfigOmitsKnownDocument(t *testing.T) {
	s := newService(newStore())
	assert.NilError(t, s.Offer(5, revision(5, 1)))
	for have, want := range map[uint64]int{4: len(revision(5, 1)), 5: 0, 6: 0} {
		a, err := s.HandleGetConfig(t.Context(), &peerpb.GetConfigRequest{HaveRevision: have})
		assert.NilError(t, err)
		assert.Equal(t, a.GetRevision(), uint64(5))
		assert.Equal(t, len(a.GetDocument()), want)
	}
}

// Guards against a change that is reported as in effect before every member has
// confirmed it.
func TestAwaitEffectReportsUnconfirmedMembers(t *testing.T) {
	confirmed := map[model.HostID]model.Revision{"h1": 0, "h2": 1, "h3": 2}
	var mu sync.Mutex
	clock := clockwork.NewFakeClock()
	s := newService(newStore(), func(o *Options) {
		o.Clock = clock
		o.Confirmed = func() map[model.HostID]model.Revision {
			mu.Lock()
			defer mu.Unlock()
			m := map[model.HostID]model.Revision{}
			for h, r := range confirmed {
				m[h] = r
			}
			return m
		}
	})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.DeepEqual(t, s.AwaitEffect(ended, 2), []model.HostID{"h1", "h2"})
	assert.NilError(t, s.Offer(2, revision(2, 1)))
	assert.DeepEqual(t, s.AwaitEffect(ended, 2), []model.HostID{"h2"})
	done := make(chan []model.HostID, 1)
	go func() { done <- s.AwaitEffect(t.Context(), 2) }()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	mu.Lock()
	delete(confirmed, "h2") // removed from the membership
	mu.Unlock()
	clock.Advance(confirmationPollInterval)
	assert.Assert(t, <-done == nil)
	assert.DeepEqual(t, newService(newStore()).AwaitEffect(ended, 0), []model.HostID{"h1"})
}
