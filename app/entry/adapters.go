package entry

import (
	"context"
	"math/rand/v2"

	"mimosarelay/app/placement"
	"mimosarelay/app/relay"
	"mimosarelay/core/config"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	coreplacement "mimosarelay/core/placement"
	"mimosarelay/io/peer"
	"mimosarelay/io/peer/peerpb"
)

// emptySnapshot stands for the configuration before it is known.
var emptySnapshot = config.NewSnapshot(&config.Document{})

func (h *Host) snapshot() *config.Snapshot {
	if v := h.catalog.Latest(); v != nil {
		return v.Snapshot
	}
	return emptySnapshot
}

// entryHosts lists the members that serve callers and are not leaving, and this
// host in any case: while it leaves, callers that have its address still come.
func (h *Host) entryHosts() []model.HostID {
	list := []model.HostID{h.options.Host}
	for _, m := range h.fleet.View().Members {
		if !m.Leaving && m.CallerAddress != "" && m.Host != h.options.Host {
			list = append(list, m.Host)
		}
	}
	return list
}

// addresses lists the hosts for callers, in random order. It is empty on a host
// that is cut off: its list may be old and it cannot serve itself, so that
// callers had better ask another host.
func (h *Host) addresses() []string {
	if _, err := h.catalog.View(); err != nil || !h.fleet.MayAct() {
		return nil
	}
	// A host that does not reach the store leaves itself out at once, before it
	// is removed. During an outage for all, the others still list it.
	self := !h.draining.Load() && !h.fleet.StoreAway()
	var list []string
	for _, m := range h.fleet.View().Members {
		if m.Leaving || m.CallerAddress == "" || m.Host == h.options.Host && !self {
			continue
		}
		list = append(list, m.CallerAddress)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// peerAddresses lists the peer addresses of the other members of a kind.
func (h *Host) peerAddresses(kind func(member.Member) bool) []string {
	var list []string
	for _, m := range h.fleet.View().Members {
		if m.Host != h.options.Host && kind(m) {
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

func (h *Host) otherKeepers() []string {
	return h.peerAddresses(func(m member.Member) bool { return m.Keeper })
}

// limiter admits requests where quotas are in force.
type limiter struct{ host *Host }

// Admit implements relay.Limiter.
func (l limiter) Admit(ctx context.Context, id model.WorkspaceID) error {
	if !l.host.options.Quotas {
		return nil
	}
	return l.host.limits.Admit(ctx, id)
}

// owners finds the owners of programs.
type owners struct{ host *Host }

// Owner implements turns.Owners.
func (o owners) Owner(s model.Shard) (address string, self bool, err error) {
	owner, ok := o.host.fleet.View().Owner(s)
	if !ok {
		return "", false, model.NewRefusal(model.ErrUnavailable, model.RanNo, "no host owns shard %d", s)
	}
	return owner.PeerAddress, owner.Host == o.host.options.Host, nil
}

// placer adapts placement to the relay.
type placer struct{ host *Host }

// Acquire implements relay.Placer.
func (p placer) Acquire(ctx context.Context, r coreplacement.Request) (relay.Place, error) {
	place, err := p.host.placement.Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return place, nil
}

// suspectPeers adapts the peer client to package suspects.
type suspectPeers struct {
	*peer.Client
	host *Host
}

// Peers implements suspects.Peers.
func (p suspectPeers) Peers() []string {
	return p.host.peerAddresses(func(m member.Member) bool { return m.CallerAddress != "" })
}

// peerHandler hands the requests of other hosts to the services.
type peerHandler struct {
	*peerpb.DRPCPeerUnimplementedServer
	host *Host
}

var _ peerpb.DRPCPeerServer = peerHandler{}

// Heartbeat implements peerpb.DRPCPeerServer.
func (p peerHandler) Heartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return p.host.fleet.HandleHeartbeat(ctx, r)
}

// MoveShare implements peerpb.DRPCPeerServer.
func (p peerHandler) MoveShare(ctx context.Context, r *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	return p.host.limits.HandleMoveShare(ctx, r)
}

// MarkSuspect implements peerpb.DRPCPeerServer.
func (p peerHandler) MarkSuspect(ctx context.Context, r *peerpb.MarkSuspectRequest) (*peerpb.MarkSuspectResponse, error) {
	return p.host.suspects.HandleMarkSuspect(ctx, r)
}

// ReserveTurn implements peerpb.DRPCPeerServer.
func (p peerHandler) ReserveTurn(ctx context.Context, r *peerpb.ReserveTurnRequest) (*peerpb.ReserveTurnResponse, error) {
	return p.host.turnOwner.HandleReserveTurn(ctx, r)
}

// EndTurn implements peerpb.DRPCPeerServer.
func (p peerHandler) EndTurn(ctx context.Context, r *peerpb.EndTurnRequest) (*peerpb.EndTurnResponse, error) {
	return p.host.turnOwner.HandleEndTurn(ctx, r)
}

// KeepBudgets implements peerpb.DRPCPeerServer.
func (p peerHandler) KeepBudgets(ctx context.Context, m *peerpb.BudgetPage) (*peerpb.KeepBudgetsResponse, error) {
	return p.host.turnOwner.HandleKeepBudgets(ctx, m)
}

// FetchBudgets implements peerpb.DRPCPeerServer.
func (p peerHandler) FetchBudgets(ctx context.Context, r *peerpb.FetchBudgetsRequest) (*peerpb.FetchBudgetsResponse, error) {
	return p.host.turnOwner.HandleFetchBudgets(ctx, r)
}

var _ relay.LoadReports = (*placement.Service)(nil)
