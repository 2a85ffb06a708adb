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

// epochChanged tells the services about a new membership, before this host
// reports that it has entered the epoch.
func (h *Host) epochChanged(old, current member.Record) {
	h.limits.EpochChanged(h.limitMembers(current))
	h.programs.EpochChanged(h.topology(old), h.topology(current))
	h.owners.epochChanged(old, current)
	var live []model.Incarnation
	for _, m := range current.Members {
		live = append(live, m.Incarnation)
	}
	h.suspects.MembersChanged(live)
}

func (h *Host) limitMembers(r member.Record) limits.Membership {
	m := limits.Membership{Epoch: r.Epoch, Incarnation: h.fleet.Self().Incarnation}
	for _, one := range r.Members {
		m.Members = append(m.Members, limits.Member{
			Host: one.Host, Incarnation: one.Incarnation, PeerAddress: one.PeerAddress, Leaving: one.Leaving,
		})
	}
	return m
}

func (h *Host) topology(r member.Record) programs.Topology {
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
		var list []model.HostID
		for _, m := range r.ReplicaPeers(s, owner.Host, len(r.Members)) {
			list = append(list, m.Host)
		}
		return list
	}
	return t
}

// liveHosts lists the members that are not leaving.
func (h *Host) liveHosts() []model.HostID {
	var list []model.HostID
	for _, m := range h.fleet.View().Members {
		if !m.Leaving {
			list = append(list, m.Host)
		}
	}
	return list
}

// fetchTimeout bounds the fetch of a configuration that a peer reported.
const fetchTimeout = 2 * time.Second

// peerRevision fetches a newer configuration from the peer that reported it.
func (h *Host) peerRevision(from member.Member, revision model.Revision) {
	if revision <= h.contracts.Revision() || !h.fetching.CompareAndSwap(false, true) {
		return
	}
	h.work.Go(func() {
		defer h.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		if err := h.contracts.FetchFrom(ctx, from.PeerAddress); err != nil {
			h.log.Warn("configuration not fetched", "peer", from.Host, "revision", revision, "error", err)
		}
	})
}

// liveTimeout bounds the question for the programs of one peer.
const liveTimeout = 2 * time.Second

// livePrograms asks all members for their programs. It returns nil if one did
// not answer completely, because memory of its programs must not be freed.
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
		ctx, cancel := context.WithTimeout(context.Background(), liveTimeout)
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
