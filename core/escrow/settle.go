package escrow

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// Round is one settlement round. Grants holds the units granted, by account and
// host.
type Round struct {
	Grants map[model.WorkspaceID]map[model.HostID]int64
}

// Shares is the store record of the settlement rounds of one epoch.
type Shares struct {
	Epoch    model.Epoch
	Rounds   []Round
	ChangeID string // id of the last write
}

// Granted returns the units of an account that were granted to all hosts in this
// epoch.
func (s Shares) Granted(account model.WorkspaceID) int64 {
	var sum int64
	for _, r := range s.Rounds {
		for _, g := range r.Grants[account] {
			sum += g
		}
	}
	return sum
}

// Reports holds the entry reports of the members of one epoch: the units held, by
// host and account.
type Reports map[model.HostID]map[model.WorkspaceID]int64

// Settle computes the next round. For both accounts of each workspace, it divides
// the units that are neither reported nor granted in this epoch among the
// receivers. Every member of the epoch must be in reports. The result depends on
// the arguments only. An empty round means that nothing is left to grant.
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
			remaining := FullShare - granted.Granted(account)
			for _, holdings := range reports {
				remaining -= holdings[account]
			}
			if remaining < 0 {
				return Round{}, fmt.Errorf("%w: reports and grants of account %q exceed it by %d units",
					ErrOverdraw, account, -remaining)
			}
			if remaining > 0 {
				round.Grants[account] = divide(remaining, hosts, w)
			}
		}
	}
	return round, nil
}

// divide splits units evenly among the hosts. Which hosts get one more unit if
// there is a remainder depends on the workspace.
func divide(units int64, hosts []model.HostID, workspace model.WorkspaceID) map[model.HostID]int64 {
	n := int64(len(hosts))
	offset := int64(xxhash.Sum64String(string(workspace)) % uint64(n))
	grants := make(map[model.HostID]int64, n)
	for i, h := range hosts {
		grants[h] = units / n
		if (int64(i)-offset+n)%n < units%n {
			grants[h]++
		}
	}
	return grants
}
