package entry

import (
	"context"

	"github.com/google/uuid"

	"mimosarelay/app/fleet"
	"mimosarelay/app/follow"
	"mimosarelay/app/limits"
	"mimosarelay/app/turns"
	coreingress "mimosarelay/core/ingress"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
)

// keeper is the part of a host that is a member of the fleet. Keepers hold the
// shares of the limits and count the turns of programs for all entry hosts.
type keeper struct {
	*Host
	fleet     *fleet.Service
	limits    *limits.Service
	turnOwner *turns.Owner
	followers *follow.Keeper
}

func newKeeper(h *Host) *keeper {
	k := &keeper{Host: h}
	o := h.options
	control := o.Keyspace(controlPrefix)
	k.fleet = fleet.New(fleet.Options{
		Store: control, Clock: o.Clock, Peers: h.peers,
		Self: member.Member{
			Host: o.Host, Incarnation: model.Incarnation(uuid.NewString()), Zone: o.Zone, PeerAddress: o.PeerAddress, Keeper: true,
		},
		Holdings:       func(e model.Epoch) map[model.WorkspaceID]int64 { return k.limits.Holdings(e) },
		ConfigRevision: h.revision,
		Logger:         o.Log, Scope: h.metrics.Scope,
		LeaseTTL: leaseTTL, Margin: leaseMargin, RenewEvery: renewInterval, RenewTimeout: renewTimeout,
		GoneAfter: minStoreReachable, GoneSteady: minLeaseMissing,
		HeartbeatEvery: heartbeatInterval, WordTTL: confirmationTTL, WatchPause: watchPause,
	})
	k.limits = limits.New(limits.Options{
		Host: o.Host, Clock: o.Clock, Store: control, Peers: h.peers, MayAct: k.fleet.MayAct, LimitWait: limitWait,
		SettleWait: settleWait, BurstSlack: burstSlack, Isolated: k.fleet.Isolated,
	})
	k.turnOwner = turns.NewOwner(turns.OwnerOptions{
		Host: o.Host, Tenure: k.fleet, Store: o.Keyspace(budgetPrefix), Clock: o.Clock, Log: o.Log,
		Keepers: k.otherPeers, Copies: h.peers, Disk: o.Disk,
	})
	k.followers = &follow.Keeper{Fleet: k.fleet, Limits: k.limits, Clock: o.Clock}
	k.fleet.Subscribe(limits.EnterPrefix, k.limits.EntriesChanged)
	k.fleet.Subscribe(limits.SharesKey, k.limits.SharesChanged)
	k.fleet.OnEpoch(k.epochChanged)
	h.catalog.OnChange(func(v *coreingress.View) { k.limits.ContractsChanged(v.Document()) })
	return k
}

func (k *keeper) start(ctx context.Context, run func(string, func() error)) {
	if k.options.Evacuations != nil {
		run("evacuation", func() error { return k.runEvacuation(ctx) })
	}
	run("budgets", func() error { return k.turnOwner.Run(ctx) })
	run("fleet", func() error { return k.fleet.Run(ctx) })
}

// others lists the peer addresses of the other members.
func (k *keeper) otherPeers() []string {
	var list []string
	for _, m := range k.fleet.View().Members {
		if m.Host != k.options.Host {
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

func (k *keeper) epochChanged(old, current member.Record) {
	was, _ := old.Member(k.options.Host)
	is, _ := current.Member(k.options.Host)
	k.turnOwner.TenureChanged(func(s model.Shard) bool {
		owner, ok := current.Owner(s)
		return ok && owner.Host == k.options.Host
	}, was.Incarnation == is.Incarnation && is.Incarnation != "")
	m := limits.Membership{Epoch: current.Epoch, Incarnation: k.fleet.Self().Incarnation}
	for _, one := range current.Members {
		m.Members = append(m.Members, limits.Member{
			Host: one.Host, Incarnation: one.Incarnation, PeerAddress: one.PeerAddress, Leaving: one.Leaving,
		})
	}
	k.limits.EpochChanged(m)
}

// leave takes this host out of the fleet.
func (k *keeper) leaveFleet() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveReserve)
	defer cancel()
	if err := k.fleet.MarkLeaving(ctx); err != nil {
		k.log.Warn("leaving is not recorded", "error", err)
	}
	if err := k.fleet.Leave(ctx); err != nil {
		k.log.Warn("not left in order, the lease lapses", "error", err)
	}
}
