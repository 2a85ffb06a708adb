// Package escrow divides the limits of each workspace among hosts. A share is a
// number of units of 2^-30 of a limit. Each workspace has two accounts, one for
// its rate and one for its burst, whose shares move independently: a burst share
// covers tokens that move, while a rate share in flight would lose its refill.
// The sum of the shares that hosts hold and that are in flight between them
// never exceeds Whole per account.
package escrow

import (
	"errors"
	"fmt"
	"maps"

	"mimosarelay/core/model"
)

// Whole is the share that stands for the entire limit, in units of 2^-30.
const Whole int64 = 1 << 30

// maxKept is the number of past transfers a giver remembers to answer repeats.
// A repeat of a forgotten transfer is debited again; the receiver credits only
// one of them, so forgetting can lose a share but never create one.
const maxKept = 4096

// burstSuffix contains a character that names of workspaces exclude.
const burstSuffix = "#burst"

// BurstAccount returns the account of the burst of a workspace. The account of
// its rate is the workspace itself.
func BurstAccount(workspace model.WorkspaceID) model.WorkspaceID { return workspace + burstSuffix }

// Sentinel errors, tested with errors.Is.
var (
	// ErrStaleEpoch reports an operation of another epoch than the current.
	ErrStaleEpoch = errors.New("escrow: operation belongs to another epoch")
	// ErrDuplicate reports a transfer or round that was applied before.
	ErrDuplicate = errors.New("escrow: already applied")
	// ErrUnknownTransfer reports a credit that this host did not ask for in
	// this epoch, or that was credited before.
	ErrUnknownTransfer = errors.New("escrow: no open request for the transfer")
	// ErrOverdraw reports a debit above the holding, or reports and grants
	// that exceed the whole limit.
	ErrOverdraw = errors.New("escrow: overdraw")
	// ErrGap reports a round whose predecessors were not applied.
	ErrGap = errors.New("escrow: earlier round is missing")
)

// Transfer is a part of the holdings on its way to another host.
type Transfer struct {
	ID        string
	Workspace model.WorkspaceID
	Rate      int64 // units of 2^-30
	Burst     int64 // units of 2^-30
	// MicroTokens accompany the shares; the ledger only keeps them for repeated
	// answers.
	MicroTokens int64
}

// Ledger holds the shares of one host, by account. It is not safe for concurrent use.
type Ledger struct {
	epoch  model.Epoch
	held   map[model.WorkspaceID]int64
	entry  map[model.WorkspaceID]int64
	asked  map[string]model.WorkspaceID
	given  map[string]Transfer
	order  []string // ids in given, oldest first
	rounds int
}

// NewLedger returns a Ledger without holdings at epoch 0.
func NewLedger() *Ledger {
	l := &Ledger{held: map[model.WorkspaceID]int64{}}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.asked = map[string]model.WorkspaceID{}
	l.given = map[string]Transfer{}
	l.order = nil
	l.rounds = 0
	l.entry = maps.Clone(l.held)
}

// Epoch returns the current epoch.
func (l *Ledger) Epoch() model.Epoch { return l.epoch }

// Held returns the holding of an account.
func (l *Ledger) Held(account model.WorkspaceID) int64 { return l.held[account] }

// Holdings returns a copy of all holdings.
func (l *Ledger) Holdings() map[model.WorkspaceID]int64 { return maps.Clone(l.held) }

// Enter moves to a newer epoch. Holdings survive; open transfers of the older
// epoch can no longer be credited.
func (l *Ledger) Enter(epoch model.Epoch) error {
	if epoch <= l.epoch {
		return fmt.Errorf("%w: enter %d at %d", ErrStaleEpoch, epoch, l.epoch)
	}
	l.epoch = epoch
	l.reset()
	return nil
}

// Drop discards all holdings, because the host was removed from the
// membership.
func (l *Ledger) Drop() {
	clear(l.held)
	l.reset()
}

// EntryReport returns the holdings at the entry into the epoch. It stays the
// same within the epoch, because settlement counts later changes separately.
func (l *Ledger) EntryReport(epoch model.Epoch) (map[model.WorkspaceID]int64, error) {
	if err := l.check(epoch); err != nil {
		return nil, err
	}
	return maps.Clone(l.entry), nil
}

func (l *Ledger) check(epoch model.Epoch) error {
	if epoch != l.epoch {
		return fmt.Errorf("%w: %d instead of %d", ErrStaleEpoch, epoch, l.epoch)
	}
	return nil
}

// DebitedTransfer returns the transfer that was debited under the id in this epoch.
func (l *Ledger) DebitedTransfer(epoch model.Epoch, id string) (Transfer, bool) {
	if epoch != l.epoch {
		return Transfer{}, false
	}
	t, ok := l.given[id]
	return t, ok
}

// Debit takes a transfer out of the holding before it is sent.
func (l *Ledger) Debit(epoch model.Epoch, t Transfer) error {
	if err := l.check(epoch); err != nil {
		return err
	}
	if _, ok := l.given[t.ID]; ok {
		return fmt.Errorf("%w: transfer %q", ErrDuplicate, t.ID)
	}
	rate, burst := l.held[t.Workspace], l.held[BurstAccount(t.Workspace)]
	if t.Rate < 0 || t.Burst < 0 || t.MicroTokens < 0 || t.Rate > rate || t.Burst > burst {
		return fmt.Errorf("%w: rate %d of %d, burst %d of %d held for workspace %q", ErrOverdraw, t.Rate, rate, t.Burst, burst, t.Workspace)
	}
	l.held[t.Workspace] -= t.Rate
	l.held[BurstAccount(t.Workspace)] -= t.Burst
	l.given[t.ID] = t
	l.order = append(l.order, t.ID)
	if len(l.order) > maxKept {
		delete(l.given, l.order[0])
		l.order = l.order[1:]
	}
	return nil
}

// OpenTransfer opens a transfer id, so that it can be credited once. Ids are unique
// across hosts and time.
func (l *Ledger) OpenTransfer(epoch model.Epoch, id string, workspace model.WorkspaceID) error {
	if err := l.check(epoch); err != nil {
		return err
	}
	if _, ok := l.asked[id]; ok {
		return fmt.Errorf("%w: transfer %q", ErrDuplicate, id)
	}
	l.asked[id] = workspace
	return nil
}

// Credit adds a received transfer to the holding and closes its id.
func (l *Ledger) Credit(epoch model.Epoch, t Transfer) error {
	if err := l.check(epoch); err != nil {
		return err
	}
	if workspace, ok := l.asked[t.ID]; !ok || workspace != t.Workspace {
		return fmt.Errorf("%w: %q", ErrUnknownTransfer, t.ID)
	}
	rate, burst := l.held[t.Workspace], l.held[BurstAccount(t.Workspace)]
	if t.Rate < 0 || t.Burst < 0 || t.Rate > Whole-rate || t.Burst > Whole-burst {
		return fmt.Errorf("%w: credit of rate %d to %d, burst %d to %d", ErrOverdraw, t.Rate, rate, t.Burst, burst)
	}
	delete(l.asked, t.ID)
	l.held[t.Workspace] += t.Rate
	l.held[BurstAccount(t.Workspace)] += t.Burst
	return nil
}

// CloseTransfer closes an id that is certain never to be credited.
func (l *Ledger) CloseTransfer(id string) { delete(l.asked, id) }

// Rounds returns the number of settlement rounds applied in this epoch.
func (l *Ledger) Rounds() int { return l.rounds }

// Apply adds the grants of the settlement round with the index (from 0) to the
// holdings of host.
func (l *Ledger) Apply(epoch model.Epoch, index int, host model.HostID, round Round) error {
	if err := l.check(epoch); err != nil {
		return err
	}
	switch {
	case index < l.rounds:
		return fmt.Errorf("%w: round %d", ErrDuplicate, index)
	case index > l.rounds:
		return fmt.Errorf("%w: round %d after %d", ErrGap, index, l.rounds)
	}
	for account, grants := range round.Grants {
		if g := grants[host]; g < 0 || g > Whole-l.held[account] {
			return fmt.Errorf("%w: grant of %d to %d held for account %q", ErrOverdraw, g, l.held[account], account)
		}
	}
	for account, grants := range round.Grants {
		if g := grants[host]; g > 0 {
			l.held[account] += g
		}
	}
	l.rounds++
	return nil
}
