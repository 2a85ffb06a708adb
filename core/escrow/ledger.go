// Package escrow divides the limits of each workspace among hosts. A share is a
// part of a limit, in units of 2^-30. Each workspace has two accounts, one for its
// rate and one for its burst, whose shares are transferred independently: a burst
// share provides the capacity for transferred tokens, while a rate share loses its
// refill while it is in flight. Per account, the shares that hosts hold and those
// in flight between them never exceed FullShare in sum.
package escrow

import (
	"errors"
	"fmt"
	"maps"

	"mimosarelay/core/model"
)

// FullShare is the share that stands for the entire limit, in units of 2^-30.
const FullShare int64 = 1 << 30

// maxDebitedTransfers is the number of debited transfers that a ledger remembers
// to answer repeated requests. A repeat of a forgotten transfer is debited again;
// the receiver credits only one of the two, so forgetting can lose a share but
// never create one.
const maxDebitedTransfers = 4096

// burstSuffix distinguishes the burst account. Workspace names cannot contain "#".
const burstSuffix = "#burst"

// BurstAccount returns the account of the burst of a workspace. The account of
// its rate is the workspace itself.
func BurstAccount(workspace model.WorkspaceID) model.WorkspaceID { return workspace + burstSuffix }

// Sentinel errors, tested with errors.Is.
var (
	// ErrStaleEpoch reports an operation that belongs to another epoch than the
	// current one.
	ErrStaleEpoch = errors.New("escrow: operation belongs to another epoch")
	// ErrDuplicate reports a transfer or settlement round that was already applied.
	ErrDuplicate = errors.New("escrow: transfer or settlement round is already applied")
	// ErrUnknownTransfer reports a credit for a transfer that this host did not
	// open in this epoch, or that was already credited.
	ErrUnknownTransfer = errors.New("escrow: transfer is not open")
	// ErrOverdraw reports a debit above the holding, or holdings and grants that
	// together exceed the whole limit.
	ErrOverdraw = errors.New("escrow: shares exceed the holding or the whole limit")
	// ErrMissingRound reports a settlement round whose predecessors were not
	// applied.
	ErrMissingRound = errors.New("escrow: earlier settlement round is missing")
)

// Transfer is a part of a host's shares of one workspace that moves to another
// host.
type Transfer struct {
	ID        string
	Workspace model.WorkspaceID
	Rate      int64 // units of 2^-30
	Burst     int64 // units of 2^-30
	// MicroTokens are the tokens that accompany the shares. The ledger does not
	// account for them and only keeps them for repeated answers.
	MicroTokens int64
}

// Ledger records the shares of one host, by account. It is not safe for
// concurrent use.
type Ledger struct {
	epoch         model.Epoch
	held          map[model.WorkspaceID]int64
	heldAtEntry   map[model.WorkspaceID]int64
	openTransfers map[string]model.WorkspaceID
	debited       map[string]Transfer
	debitOrder    []string // keys of debited, oldest first
	appliedRounds int
}

// NewLedger returns a Ledger at epoch 0 that holds no shares.
func NewLedger() *Ledger {
	l := &Ledger{held: map[model.WorkspaceID]int64{}}
	l.resetEpochState()
	return l
}

// resetEpochState discards the transfers and rounds of the epoch and takes the
// present holdings as those at its entry.
func (l *Ledger) resetEpochState() {
	l.openTransfers = map[string]model.WorkspaceID{}
	l.debited = map[string]Transfer{}
	l.debitOrder = nil
	l.appliedRounds = 0
	l.heldAtEntry = maps.Clone(l.held)
}

// Epoch returns the current epoch.
func (l *Ledger) Epoch() model.Epoch { return l.epoch }

// Held returns the share that the host holds of an account.
func (l *Ledger) Held(account model.WorkspaceID) int64 { return l.held[account] }

// Holdings returns a copy of the shares that the host holds, by account.
func (l *Ledger) Holdings() map[model.WorkspaceID]int64 { return maps.Clone(l.held) }

// Enter moves the ledger to a newer epoch. It keeps the holdings, but open
// transfers of the older epoch can no longer be credited.
func (l *Ledger) Enter(epoch model.Epoch) error {
	if epoch <= l.epoch {
		return fmt.Errorf("%w: cannot enter epoch %d, ledger is at epoch %d", ErrStaleEpoch, epoch, l.epoch)
	}
	l.epoch = epoch
	l.resetEpochState()
	return nil
}

// Drop discards all holdings. It is called when the host was removed from the
// membership, because settlement then grants its shares to others.
func (l *Ledger) Drop() {
	clear(l.held)
	l.resetEpochState()
}

// EntryReport returns the holdings at the entry into the epoch. It does not
// include later changes, which settlement counts separately.
func (l *Ledger) EntryReport(epoch model.Epoch) (map[model.WorkspaceID]int64, error) {
	if err := l.checkEpoch(epoch); err != nil {
		return nil, err
	}
	return maps.Clone(l.heldAtEntry), nil
}

func (l *Ledger) checkEpoch(epoch model.Epoch) error {
	if epoch != l.epoch {
		return fmt.Errorf("%w: epoch %d, ledger is at epoch %d", ErrStaleEpoch, epoch, l.epoch)
	}
	return nil
}

// DebitedTransfer returns the transfer that was debited under id in this epoch.
func (l *Ledger) DebitedTransfer(epoch model.Epoch, id string) (Transfer, bool) {
	if epoch != l.epoch {
		return Transfer{}, false
	}
	t, ok := l.debited[id]
	return t, ok
}

// Debit subtracts a transfer from the holdings. A transfer must be debited before
// it is sent.
func (l *Ledger) Debit(epoch model.Epoch, t Transfer) error {
	if err := l.checkEpoch(epoch); err != nil {
		return err
	}
	if _, ok := l.debited[t.ID]; ok {
		return fmt.Errorf("%w: transfer %q", ErrDuplicate, t.ID)
	}
	rate, burst := l.held[t.Workspace], l.held[BurstAccount(t.Workspace)]
	if t.Rate < 0 || t.Burst < 0 || t.MicroTokens < 0 || t.Rate > rate || t.Burst > burst {
		return fmt.Errorf("%w: debit of rate %d from %d and burst %d from %d held for workspace %q", ErrOverdraw, t.Rate, rate, t.Burst, burst, t.Workspace)
	}
	l.held[t.Workspace] -= t.Rate
	l.held[BurstAccount(t.Workspace)] -= t.Burst
	l.debited[t.ID] = t
	l.debitOrder = append(l.debitOrder, t.ID)
	if len(l.debitOrder) > maxDebitedTransfers {
		delete(l.debited, l.debitOrder[0])
		l.debitOrder = l.debitOrder[1:]
	}
	return nil
}

// OpenTransfer registers the id of a requested transfer, so that it can be
// credited once. Ids are unique across hosts and time.
func (l *Ledger) OpenTransfer(epoch model.Epoch, id string, workspace model.WorkspaceID) error {
	if err := l.checkEpoch(epoch); err != nil {
		return err
	}
	if _, ok := l.openTransfers[id]; ok {
		return fmt.Errorf("%w: transfer %q", ErrDuplicate, id)
	}
	l.openTransfers[id] = workspace
	return nil
}

// Credit adds a received transfer to the holdings and closes its id.
func (l *Ledger) Credit(epoch model.Epoch, t Transfer) error {
	if err := l.checkEpoch(epoch); err != nil {
		return err
	}
	if workspace, ok := l.openTransfers[t.ID]; !ok || workspace != t.Workspace {
		return fmt.Errorf("%w: %q for workspace %q", ErrUnknownTransfer, t.ID, t.Workspace)
	}
	rate, burst := l.held[t.Workspace], l.held[BurstAccount(t.Workspace)]
	if t.Rate < 0 || t.Burst < 0 || t.Rate > FullShare-rate || t.Burst > FullShare-burst {
		return fmt.Errorf("%w: credit of rate %d to %d and burst %d to %d held for workspace %q", ErrOverdraw, t.Rate, rate, t.Burst, burst, t.Workspace)
	}
	delete(l.openTransfers, t.ID)
	l.held[t.Workspace] += t.Rate
	l.held[BurstAccount(t.Workspace)] += t.Burst
	return nil
}

// CloseTransfer removes the id of an open transfer that will never be credited.
func (l *Ledger) CloseTransfer(id string) { delete(l.openTransfers, id) }

// Rounds returns the number of settlement rounds applied in this epoch.
func (l *Ledger) Rounds() int { return l.appliedRounds }

// Apply adds host's grants in a settlement round to the holdings. Rounds are
// applied once each and in order; index counts from 0.
func (l *Ledger) Apply(epoch model.Epoch, index int, host model.HostID, round Round) error {
	if err := l.checkEpoch(epoch); err != nil {
		return err
	}
	switch {
	case index < l.appliedRounds:
		return fmt.Errorf("%w: round %d of epoch %d", ErrDuplicate, index, epoch)
	case index > l.appliedRounds:
		return fmt.Errorf("%w: round %d of epoch %d after %d applied rounds", ErrMissingRound, index, epoch, l.appliedRounds)
	}
	for account, grants := range round.Grants {
		if g := grants[host]; g < 0 || g > FullShare-l.held[account] {
			return fmt.Errorf("%w: grant of %d in addition to %d held for account %q", ErrOverdraw, g, l.held[account], account)
		}
	}
	for account, grants := range round.Grants {
		if g := grants[host]; g > 0 {
			l.held[account] += g
		}
	}
	l.appliedRounds++
	return nil
}
