package entry

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"mimosarelay/app/conversations"
	"mimosarelay/app/fleet"
	"mimosarelay/app/follow"
	"mimosarelay/app/limits"
	"mimosarelay/app/pacing"
	"mimosarelay/app/turns"
	"mimosarelay/core/conversation"
	"mimosarelay/core/evidence"
	coreingress "mimosarelay/core/ingress"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// keeper is the part of a Host that is a member of the fleet. Keepers hold the
// shares of the rate limits and count the turns of programs for all entry hosts.
type keeper struct {
	*Host
	fleet     *fleet.Service
	limits    *limits.Service
	turnOwner *turns.Owner
	followers *follow.Keeper
	turns     *conversations.Keeper // nil without a usable disk
	pacing    *pacing.Owner
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
		Log:            o.Log, Scope: h.metrics.Scope,
		LeaseTTL: leaseTTL, Margin: leaseMargin, AwayLimit: awayLimit, RenewInterval: renewInterval, RenewTimeout: renewTimeout,
		MinStoreReachable: minStoreReachable, MinLeaseMissing: minLeaseMissing,
		Standby:           h.standbyOptions(),
		HeartbeatInterval: heartbeatInterval, ConfirmationTTL: confirmationTTL, WatchPause: watchPause,
	})
	k.limits = limits.New(limits.Options{
		Host: o.Host, Clock: o.Clock, Store: control, Peers: h.peers, MayAct: k.fleet.MayAct, LimitWait: limitWait,
		SettleWait: settleWait, BurstSlack: burstSlack, Isolated: k.fleet.Isolated,
		Confirmed: func() evidence.Stamp { return h.catalog.Confirmed() }, MaxAge: limitMaxAge(o),
	})
	k.turnOwner = turns.NewOwner(turns.OwnerOptions{
		Host: o.Host, ShardOwnership: k.fleet, Store: o.Keyspace(budgetPrefix), Clock: o.Clock, Log: o.Log,
		Keepers: k.otherKeepers, CopyClient: h.peers, Disk: o.Disk,
	})
	h.catalog = newCatalog(o, &follow.Source{
		Relays: storeReaderRelays{k}, Peers: h.peers, Store: o.Source, Decode: o.Decode, Clock: o.Clock, StoreWithoutKeepers: true, MaxWait: relayedConfigWait,
	}, targetWatchWait)
	k.pacing = pacing.NewOwner(o.Clock)
	k.pacing.Shards = k.fleet
	k.followers = &follow.Keeper{Fleet: k.fleet, Limits: k.limits, Learn: k.limits.LearnFrom, Clock: o.Clock}
	k.openTurns(control)
	k.fleet.Subscribe(suspectPrefix, k.followers.SuspectsChanged)
	k.fleet.Subscribe(limits.EnterPrefix, k.limits.EntriesChanged)
	k.fleet.Subscribe(limits.SharesKey, k.limits.SharesChanged)
	k.fleet.OnEpoch(k.epochChanged)
	h.catalog.OnChange(func(v *coreingress.View) { k.limits.ContractsChanged(v.Document()) })
	return k
}

// quotaWindow is the window of a rate limit. A lower limit binds one window after the
// time in which a configuration must be in force.
const quotaWindow = 5 * time.Second

// limitMaxAge returns the highest age of the evidence for a limit by which requests are
// admitted. Hosts use no configuration for longer than Lifetime either.
func limitMaxAge(o Options) evidence.MaxAge {
	if o.FinalRefusalAge == 0 {
		return evidence.MaxAge(o.Lifetime)
	}
	return evidence.MaxAge(min(o.Lifetime, o.FinalRefusalAge+quotaWindow))
}

func (k *keeper) start(ctx context.Context, run func(string, func() error)) {
	if k.options.Evacuations != nil {
		run("evacuation", func() error { return k.runEvacuation(ctx) })
	}
	if k.turns != nil {
		run("conversations", func() error {
			if !k.awaitJoined(ctx) {
				return nil
			}
			return k.turns.Run(ctx)
		})
	}
	run("budgets", func() error {
		if !k.awaitJoined(ctx) {
			return nil
		}
		return k.turnOwner.Run(ctx)
	})
	run("fleet", func() error { return k.fleet.Run(ctx) })
}

// openTurns loads the turns of conversations. If that fails, the keeper stores none;
// other keepers have copies.
func (k *keeper) openTurns(control store.Store) {
	o := k.options
	if o.TurnFolder == nil {
		return
	}
	turns, err := conversations.NewKeeper(conversations.KeeperOptions{
		Self:   conversation.Disk{Host: o.Host, Zone: o.Zone, PeerAddress: o.PeerAddress},
		Folder: o.TurnFolder, Capacity: o.TurnCapacity, Copies: o.TurnCopies,
		Store: control, Keepers: k.turnKeepers, Peers: k.peers, Clock: o.Clock, Log: o.Log, Scope: k.metrics.Scope,
	})
	if err != nil {
		k.log.Error("turns of conversations are not kept on this disk", "error", err)
		return
	}
	k.turns, k.followers.Turns = turns, turns
	k.fleet.Subscribe(conversations.RegistryPrefix, turns.RegistryChanged)
}

// turnKeepers returns the members of the fleet that are not leaving.
func (k *keeper) turnKeepers() []conversation.Disk {
	var list []conversation.Disk
	for _, m := range k.fleet.View().Members {
		if !m.Leaving {
			list = append(list, conversation.Disk{Host: m.Host, Zone: m.Zone, PeerAddress: m.PeerAddress})
		}
	}
	return list
}

// storeReaderRelays chooses the keepers that read the store for the others.
type storeReaderRelays struct{ keeper *keeper }

// UsableKeepers implements follow.Relays. It returns none on a keeper that reads the
// store itself, or that is not a member yet.
func (r storeReaderRelays) UsableKeepers() []string {
	record := r.keeper.fleet.View()
	readers := record.Spread(storeReaders)
	self := r.keeper.options.Host
	_, isMember := record.Member(self)
	if !isMember || slices.ContainsFunc(readers, func(m member.Member) bool { return m.Host == self }) {
		return nil
	}
	var list []string
	for _, m := range readers {
		if r.keeper.fleet.Answers(m) {
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

// WhileResponsive implements follow.Relays.
func (storeReaderRelays) WhileResponsive(ctx context.Context, _ string) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

// otherKeepers returns the other members.
func (k *keeper) otherKeepers() []turns.Keeper {
	var list []turns.Keeper
	for _, m := range k.fleet.View().Members {
		if m.Host != k.options.Host {
			list = append(list, turns.Keeper{Host: m.Host, Address: m.PeerAddress})
		}
	}
	return list
}

// epochChanged passes a new membership record to the parts that depend on it.
func (k *keeper) epochChanged(old, current member.Record) {
	before, _ := old.Member(k.options.Host)
	after, _ := current.Member(k.options.Host)
	k.turnOwner.OwnershipChanged(func(s model.Shard) bool {
		owner, ok := current.Owner(s)
		return ok && owner.Host == k.options.Host
	}, before.Incarnation == after.Incarnation && after.Incarnation != "")
	membership := limits.Membership{Epoch: current.Epoch, Incarnation: k.fleet.Self().Incarnation}
	for _, m := range current.Members {
		membership.Members = append(membership.Members, limits.Member{
			Host: m.Host, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress, Leaving: m.Leaving,
		})
	}
	k.limits.EpochChanged(membership)
}

// leaveFleet takes this host out of the fleet. If that fails, the others remove it
// when its lease has lapsed.
func (k *keeper) leaveFleet() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveReserve)
	defer cancel()
	k.markLeaving(ctx)
	k.turnOwner.Retire(ctx)
	if err := k.fleet.Leave(ctx); err != nil {
		k.log.Warn("failed to leave the fleet, the lease will lapse", "error", err)
	}
}

// markLeaving tells the fleet that this host is leaving.
func (k *keeper) markLeaving(ctx context.Context) {
	if err := k.fleet.MarkLeaving(ctx); err != nil {
		k.log.Warn("failed to mark this host as leaving", "error", err)
	}
}
