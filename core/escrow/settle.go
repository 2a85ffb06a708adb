package escrow

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// Round is one settlement round: the units granted per account and host.
type Round struct {
	Grants map[model.WorkspaceID]map[model.HostID]int64
}

// Shares is the record of the settlement rounds of one epoch.
type Shares struct {
	Epoch    model.Epoch
	Rounds   []Round
	ChangeID string // id of the last write
}

// Granted returns the units granted to all hosts in this epoch.
func (s Shares) Granted(account model.WorkspaceID) int64 {
	var sum int64
	for _, r := range s.Rounds {
		for _, g := range r.Grants[account] {
			sum += g
		}
	}
	return sum
}

// Reports holds the entry reports of the members of one epoch, by account.
type Reports map[model.HostID]map[model.WorkspaceID]int64

// Settle computes the next round: for both accounts of each workspace, what is
// neither reported nor granted in this epoch is divided among the receivers. Every member of the
// epoch must be in reports. The result depends on the arguments only. An empty
// round means that nothing is left to grant.
func Settle(reports Reports, granted Shares, receivers []model.HostID, workspaces []model.WorkspaceID) (Round, error) {
	round := Round{Grants: map[model.WorkspaceID]map[model.HostID]int64{}}
	hosts := slices.Clone(receivers)
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	if len(hosts) == 0 {
		return round, nil
	}
	for _, w := range workspaces {
		for _, account := range []model.WorkspaceID{w, BurstAccount(w)} {
			rest := Whole - granted.Granted(account)
			for _, holdings := range reports {
				rest -= holdings[account]
			}
			if rest < 0 {
				return Round{}, fmt.Errorf("%w: account %q by %d", ErrOverdraw, account, -rest)
			}
			if rest > 0 {
				round.Grants[account] = divide(rest, hosts, w)
			}
		}
	}
	return round, nil
}

// divide splits units evenly. The units that do not divide go to hosts that
// vary with the workspace.
func divide(units int64, hosts []model.HostID, workspace model.WorkspaceID) map[model.HostID]int64 {
	n := int64(len(hosts))
	first := int64(xxhash.Sum64String(string(workspace)) % uint64(n))
	grants := make(map[model.HostID]int64, n)
	for i, h := range hosts {
		grants[h] = units / n
		if (int64(i)-first+n)%n < units%n {
			grants[h]++
		}
	}
	return grants
}
