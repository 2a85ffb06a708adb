package escrow

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/model"
	_ "mimosarelay/test/fixedseed"
)

const workspace = model.WorkspaceID("w")

var accounts = []model.WorkspaceID{workspace, BurstAccount(workspace)}

func newEnteredLedger(t *testing.T, epoch model.Epoch, held int64) *Ledger {
	t.Helper()
	l := NewLedger()
	assert.NilError(t, l.Enter(epoch))
	round := Round{Grants: map[model.WorkspaceID]map[model.HostID]int64{workspace: {"a": held}, BurstAccount(workspace): {"a": held}}}
	assert.NilError(t, l.Apply(epoch, 0, "a", round))
	return l
}

// Guards against operations that are applied twice, in the wrong epoch or order,
// or beyond the holding.
func TestLedgerRefusesInvalidOperations(t *testing.T) {
	round := Round{Grants: map[model.WorkspaceID]map[model.HostID]int64{workspace: {"a": 1}}}
	cases := map[string]struct {
		run  func(l *Ledger) error
		want error
	}{
		"debit above the rate held":  {func(l *Ledger) error { return l.Debit(2, Transfer{ID: "x", Workspace: workspace, Rate: 101}) }, ErrOverdraw},
		"debit above the burst held": {func(l *Ledger) error { return l.Debit(2, Transfer{ID: "x", Workspace: workspace, Burst: 101}) }, ErrOverdraw},
		"debit of a negative burst":  {func(l *Ledger) error { return l.Debit(2, Transfer{ID: "x", Workspace: workspace, Burst: -1}) }, ErrOverdraw},
		"credit beyond the whole limit": {func(l *Ledger) error {
			return errors.Join(l.OpenTransfer(2, "x", workspace), l.Credit(2, Transfer{ID: "x", Workspace: workspace, Burst: FullShare - 99}))
		}, ErrOverdraw},
		"debit of a negative rate": {func(l *Ledger) error { return l.Debit(2, Transfer{ID: "x", Workspace: workspace, Rate: -1}) }, ErrOverdraw},
		"debit in a stale epoch":   {func(l *Ledger) error { return l.Debit(1, Transfer{ID: "x", Workspace: workspace}) }, ErrStaleEpoch},
		"second debit of a transfer": {func(l *Ledger) error {
			return errors.Join(l.Debit(2, Transfer{ID: "x", Workspace: workspace}), l.Debit(2, Transfer{ID: "x", Workspace: workspace}))
		}, ErrDuplicate},
		"credit of a transfer that is not open": {func(l *Ledger) error { return l.Credit(2, Transfer{ID: "x", Workspace: workspace}) }, ErrUnknownTransfer},
		"credit in a stale epoch": {func(l *Ledger) error {
			return errors.Join(l.OpenTransfer(2, "x", workspace), l.Enter(3), l.Credit(2, Transfer{ID: "x", Workspace: workspace}))
		}, ErrStaleEpoch},
		"credit of a transfer opened in an older epoch": {func(l *Ledger) error {
			return errors.Join(l.OpenTransfer(2, "x", workspace), l.Enter(3), l.Credit(3, Transfer{ID: "x", Workspace: workspace}))
		}, ErrUnknownTransfer},
		"entry into the current epoch": {func(l *Ledger) error { return l.Enter(2) }, ErrStaleEpoch},
		"round applied twice":          {func(l *Ledger) error { return l.Apply(2, 0, "a", round) }, ErrDuplicate},
		"round skipped":                {func(l *Ledger) error { return l.Apply(2, 2, "a", round) }, ErrMissingRound},
		"round of a stale epoch":       {func(l *Ledger) error { return l.Apply(1, 1, "a", round) }, ErrStaleEpoch},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, tc.run(newEnteredLedger(t, 2, 100)), tc.want)
		})
	}
}

// Guards against an entry report that includes changes after the entry, which
// settlement would count twice.
func TestEntryReportIsFixed(t *testing.T) {
	l := newEnteredLedger(t, 1, 100)
	assert.NilError(t, l.Enter(2))
	assert.NilError(t, l.Debit(2, Transfer{ID: "x", Workspace: workspace, Rate: 40, Burst: 30}))
	report, err := l.EntryReport(2)
	assert.NilError(t, err)
	assert.Equal(t, report[workspace], int64(100))
	assert.Equal(t, report[BurstAccount(workspace)], int64(100))
	assert.Equal(t, l.Held(workspace), int64(60))
	assert.Equal(t, l.Held(BurstAccount(workspace)), int64(70))
}

// Guards against settlement that grants more than the whole limit, and against
// division that loses units: a burst of 1 could then never hold a token.
func TestSettleGrantsExactlyTheRemainder(t *testing.T) {
	hosts := []model.HostID{"a", "b", "c", "d", "e", "f", "g"}
	reports := Reports{"a": {workspace: 10, BurstAccount(workspace): 7}, "b": {workspace: 5}}
	round, err := Settle(reports, Shares{}, hosts, []model.WorkspaceID{workspace})
	assert.NilError(t, err)
	granted := Shares{Rounds: []Round{round}}
	assert.Equal(t, granted.Granted(workspace), FullShare-15)
	assert.Equal(t, granted.Granted(BurstAccount(workspace)), FullShare-7)
	again, err := Settle(reports, granted, hosts, []model.WorkspaceID{workspace})
	assert.NilError(t, err)
	assert.Equal(t, len(again.Grants), 0)
	for _, account := range accounts {
		_, err = Settle(Reports{"a": {account: FullShare}, "b": {account: 1}}, Shares{}, hosts, []model.WorkspaceID{workspace})
		assert.ErrorIs(t, err, ErrOverdraw)
	}
}

// fleet models the hosts, the network and the Shares record in the store.
type fleet struct {
	ledgers     map[model.HostID]*Ledger
	epoch       model.Epoch
	members     []model.HostID
	reports     map[model.Epoch]Reports
	shares      Shares
	messages    []message
	lastID      int
	creditTwice bool // seeds the fault that TestCheckFindsDoubleCredit must find
}

type message struct {
	to       model.HostID
	epoch    model.Epoch
	transfer Transfer
}

func newFleet() *fleet {
	f := &fleet{ledgers: map[model.HostID]*Ledger{}, reports: map[model.Epoch]Reports{}}
	for i := range 7 {
		h := model.HostID(fmt.Sprintf("h%d", i))
		f.ledgers[h] = NewLedger()
		f.members = append(f.members, h)
	}
	f.startEpoch()
	return f
}

func (f *fleet) startEpoch() {
	f.epoch++
	f.reports[f.epoch] = Reports{}
}

// enter lets a host enter the newest epoch and write its report.
func (f *fleet) enter(h model.HostID) {
	l := f.ledgers[h]
	if l.Enter(f.epoch) == nil {
		f.reports[f.epoch][h], _ = l.EntryReport(f.epoch)
	}
}

// restart replaces the process of a host, which loses its holdings, and starts a
// new epoch.
func (f *fleet) restart(h model.HostID) {
	f.ledgers[h] = NewLedger()
	f.startEpoch()
}

// settle writes the next round by compare-and-swap. If race is set, a second
// member computes its round from the same record and fails to write it.
func (f *fleet) settle(race bool) error {
	if len(f.reports[f.epoch]) < len(f.members) {
		return nil
	}
	shares := f.shares
	if shares.Epoch < f.epoch {
		shares = Shares{Epoch: f.epoch}
	}
	attempts := 1
	if race {
		attempts = 2
	}
	version := f.shares.ChangeID
	for i := range attempts {
		round, err := Settle(f.reports[f.epoch], shares, f.members, []model.WorkspaceID{workspace})
		if err != nil {
			return err
		}
		if f.shares.ChangeID == version && len(round.Grants) > 0 {
			f.lastID++
			f.shares = Shares{Epoch: f.epoch, Rounds: append(shares.Rounds[:len(shares.Rounds):len(shares.Rounds)], round), ChangeID: fmt.Sprint(f.lastID, i)}
		}
	}
	return nil
}

func (f *fleet) applyAll(h model.HostID) {
	for i, r := range f.shares.Rounds {
		_ = f.ledgers[h].Apply(f.shares.Epoch, i, h, r)
	}
}

func (f *fleet) send(from, to model.HostID, rate, burst int64) {
	f.lastID++
	epoch := f.ledgers[to].Epoch()
	t := Transfer{ID: fmt.Sprint(f.lastID), Workspace: workspace, Rate: rate, Burst: burst}
	if f.ledgers[to].OpenTransfer(epoch, t.ID, workspace) == nil && f.ledgers[from].Debit(epoch, t) == nil {
		f.messages = append(f.messages, message{to, epoch, t})
	}
}

// deliver credits a message at its receiver. If keep is set, the message stays in
// the network and can be delivered again.
func (f *fleet) deliver(i int, keep bool) {
	m := f.messages[i]
	if err := f.ledgers[m.to].Credit(m.epoch, m.transfer); errors.Is(err, ErrUnknownTransfer) && f.creditTwice {
		f.ledgers[m.to].held[workspace] += m.transfer.Rate
		f.ledgers[m.to].held[BurstAccount(workspace)] += m.transfer.Burst
	}
	if !keep {
		f.messages = append(f.messages[:i], f.messages[i+1:]...)
	}
}

// allocated sums the units of an account over the hosts of the newest epoch:
// holdings, grants that a host can still apply, and transfers that can still be
// credited.
func (f *fleet) allocated(account model.WorkspaceID) int64 {
	var sum int64
	for h, l := range f.ledgers {
		if l.Epoch() != f.epoch {
			continue
		}
		sum += l.Held(account)
		if f.shares.Epoch == f.epoch {
			for _, r := range f.shares.Rounds[l.Rounds():] {
				sum += r.Grants[account][h]
			}
		}
	}
	counted := map[string]bool{}
	for _, m := range f.messages {
		_, open := f.ledgers[m.to].openTransfers[m.transfer.ID]
		if open && m.epoch == f.epoch && !counted[m.transfer.ID] {
			counted[m.transfer.ID] = true
			sum += map[bool]int64{true: m.transfer.Rate, false: m.transfer.Burst}[account == workspace]
		}
	}
	return sum
}

// step runs one random action and returns an error if the units of an account
// then exceed FullShare.
func (f *fleet) step(t *rapid.T) error {
	h := rapid.SampledFrom(f.members).Draw(t, "host")
	var err error
	switch rapid.SampledFrom([]string{"enter", "settle", "race", "apply", "send", "send", "deliver", "duplicate", "lose", "restart", "epoch", "settle all"}).Draw(t, "action") {
	case "enter":
		f.enter(h)
	case "settle":
		err = f.settle(false)
	case "race":
		err = f.settle(true)
	case "apply":
		f.applyAll(h)
	case "send":
		f.send(h, rapid.SampledFrom(f.members).Draw(t, "to"), rapid.Int64Range(0, FullShare).Draw(t, "rate"), rapid.Int64Range(0, FullShare).Draw(t, "burst"))
	case "deliver", "duplicate", "lose": // the outcome is drawn below
		if len(f.messages) == 0 {
			return nil
		}
		i := rapid.IntRange(0, len(f.messages)-1).Draw(t, "message")
		if rapid.Bool().Draw(t, "lost") {
			f.messages = append(f.messages[:i], f.messages[i+1:]...)
		} else {
			f.deliver(i, rapid.Bool().Draw(t, "keep"))
		}
	case "restart":
		if rapid.IntRange(0, 5).Draw(t, "one in six") == 0 {
			f.restart(h)
		}
	case "epoch":
		if rapid.IntRange(0, 5).Draw(t, "one in six") == 0 {
			f.startEpoch()
		}
	case "settle all":
		for _, m := range f.members {
			f.enter(m)
		}
		err = f.settle(false)
		for _, m := range f.members {
			f.applyAll(m)
		}
	}
	if err != nil {
		return err
	}
	for _, account := range accounts {
		if sum := f.allocated(account); sum > FullShare {
			return fmt.Errorf("%w: %d units of account %q are allocated", ErrOverdraw, sum, account)
		}
	}
	return nil
}

func runSteps(t *rapid.T, f *fleet) error {
	for range rapid.IntRange(20, 150).Draw(t, "steps") {
		if err := f.step(t); err != nil {
			return err
		}
	}
	return nil
}

// Guards against shares that are created by lost, duplicate or late messages,
// restarts, epoch changes or concurrent settlements.
func TestSharesNeverExceedEntireLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSteps(t, newFleet()); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check of TestSharesNeverExceedEntireLimit that cannot fail: it
// must find a fleet that credits a duplicate transfer twice.
func TestCheckFindsDoubleCredit(t *testing.T) {
	found := 0
	for seed := range 300 {
		f := newFleet()
		f.creditTwice = true
		rapid.Custom(func(t *rapid.T) bool {
			if runSteps(t, f) != nil {
				found++
			}
			return true
		}).Example(seed)
	}
	assert.Assert(t, found > 0)
	t.Logf("found the double credit in %d of 300 runs", found)
}
