package host

import (
	"context"
	"time"

	"mimosarelay/app/limits"
	"mimosarelay/app/programs"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// epochChanged passes a new membership to the services. It is called before this
// host reports that it has entered the epoch.
func (h *Host) epochChanged(old, current member.Record) {
	h.limits.EpochChanged(h.limitsMembership(current))
	h.programs.EpochChanged(h.programsTopology(old), h.programsTopology(current))
	h.owners.epochChanged(old, current)
	var incarnations []model.Incarnation
	for _, m := range current.Members {
		incarnations = append(incarnations, m.Incarnation)
	}
	h.suspects.MembersChanged(incarnations)
}

func (h *Host) limitsMembership(r member.Record) limits.Membership {
	membership := limits.Membership{Epoch: r.Epoch, Incarnation: h.fleet.Self().Incarnation}
	for _, m := range r.Members {
		membership.Members = append(membership.Members, limits.Member{
			Host: m.Host, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress, Leaving: m.Leaving,
		})
	}
	return membership
}

func (h *Host) programsTopology(r member.Record) programs.Topology {
	t := programs.Topology{Epoch: r.Epoch, Self: h.settings.Host.Name}
	for _, m := range r.Members {
		t.Members = append(t.Members, programs.Member{
			Host: m.Host, Incarnation: m.Incarnation, Zone: m.Zone, Address: m.PeerAddress, HasDisk: m.HasDisk, Leaving: m.Leaving,
		})
	}
	if r.Epoch == 0 {
		return t
	}
	t.OwnerOf = func(s model.Shard) model.HostID {
		owner, _ := r.Owner(s)
		return owner.Host
	}
	t.ReplicasOf = func(s model.Shard) []model.HostID {
		owner, _ := r.Owner(s)
		var hosts []model.HostID
		for _, m := range r.ReplicaPeers(s, owner.Host, len(r.Members)) {
			hosts = append(hosts, m.Host)
		}
		return hosts
	}
	return t
}

// liveHosts lists the members that are not leaving.
func (h *Host) liveHosts() []model.HostID {
	var hosts []model.HostID
	for _, m := range h.fleet.View().Members {
		if !m.Leaving {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// configFetchTimeout bounds the fetch of a configuration that a peer reported.
const configFetchTimeout = 2 * time.Second

// fetchNewerConfig fetches the configuration in the background from the peer that
// reported its revision, if it is newer and no other fetch is running.
func (h *Host) fetchNewerConfig(from member.Member, revision model.Revision) {
	if revision <= h.contracts.Revision() || !h.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	h.background.Go(func() {
		defer h.fetchingConfig.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), configFetchTimeout)
		defer cancel()
		if err := h.contracts.FetchFrom(ctx, from.PeerAddress); err != nil {
			h.log.Warn("failed to fetch the configuration from a peer", "peer", from.Host, "revision", revision, "error", err)
		}
	})
}

// liveProgramsTimeout bounds the request for the programs of one peer.
const liveProgramsTimeout = 2 * time.Second

// livePrograms asks all members for their live programs. It returns nil unless
// every member answers completely: engine memory of a program that is missing in
// the result would be freed.
func (h *Host) livePrograms() map[model.ProgramKey]bool {
	view := h.fleet.View()
	live := map[model.ProgramKey]bool{}
	if !h.fleet.MayAct() || !h.fleet.Settled() || !h.programs.AllShardsLoaded() {
		return nil
	}
	for _, m := range view.Members {
		if m.Host == h.settings.Host.Name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), liveProgramsTimeout)
		r, err := h.peers.LivePrograms(ctx, m.PeerAddress, &peerpb.LiveProgramsRequest{Sender: h.sender()})
		cancel()
		if err != nil || !r.GetComplete() || model.Epoch(r.GetSender().GetEpoch()) != view.Epoch {
			return nil
		}
		for _, p := range r.GetPrograms() {
			live[model.ProgramKey{Workspace: model.WorkspaceID(p.GetWorkspace()), Program: model.ProgramID(p.GetProgram())}] = true
		}
	}
	for _, key := range h.programs.Live() {
		live[key] = true
	}
	return live
}

func (h *Host) sender() *peerpb.Sender {
	self := h.fleet.Self()
	return &peerpb.Sender{Host: string(self.Host), Incarnation: string(self.Incarnation), Epoch: uint64(h.fleet.View().Epoch)}
}
