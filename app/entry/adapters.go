package entry

import (
	"context"
	"errors"

	"mimosarelay/app/limits"
	"mimosarelay/app/placement"
	"mimosarelay/app/relay"
	"mimosarelay/core/config"
	"mimosarelay/core/health"
	"mimosarelay/core/limit"
	"mimosarelay/core/loadboard"
	"mimosarelay/core/model"
	coreplacement "mimosarelay/core/placement"
	"mimosarelay/io/peer"
	"mimosarelay/io/peer/peerpb"
)

// emptySnapshot is used until the configuration has been read.
var emptySnapshot = config.NewSnapshot(&config.Document{})

func (h *Host) snapshot() *config.Snapshot {
	if v := h.catalog.Latest(); v != nil {
		return v.Snapshot
	}
	return emptySnapshot
}

// knownLimit returns the limit of a workspace for the keepers that admit its requests.
func (h *Host) knownLimit(id model.WorkspaceID) *peerpb.KnownLimit {
	v, confirmed := h.catalog.Evidence()
	if v == nil {
		return nil
	}
	w, ok := v.Workspace(id)
	if !ok {
		return nil
	}
	return limits.EncodeKnown(limit.Known{Revision: v.Revision(), Rate: w.Rate, Burst: w.Burst, Confirmed: confirmed})
}

// limiter admits requests at the keepers if Options.Quotas is set.
type limiter struct{ entry *entryHost }

// Admit implements relay.Limiter.
func (l limiter) Admit(ctx context.Context, id model.WorkspaceID) error {
	if !l.entry.options.Quotas {
		return nil
	}
	return l.entry.follow.Admit(ctx, id)
}

// placer adapts placement.Service to relay.Placer.
type placer struct{ placement *placement.Service }

// Acquire implements relay.Placer.
func (p placer) Acquire(ctx context.Context, r coreplacement.Request) (relay.Place, error) {
	place, err := p.placement.Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return place, nil
}

// placementOutcomes adapts placement.Service to follow.Outcomes and follow.Loads. The service is made
// after the follow client.
type placementOutcomes struct{ entry *entryHost }

// HealthReports implements follow.Outcomes.
func (o placementOutcomes) HealthReports() []health.Report { return o.entry.placement.HealthReports() }

// SetHealthHints implements follow.Outcomes.
func (o placementOutcomes) SetHealthHints(h health.Hints) { o.entry.placement.SetHealthHints(h) }

// HeardLoads implements follow.Loads.
func (o placementOutcomes) HeardLoads() []loadboard.Report { return o.entry.placement.HeardLoads() }

// SetSharedLoads implements follow.Loads.
func (o placementOutcomes) SetSharedLoads(list []loadboard.Report) {
	o.entry.placement.SetSharedLoads(list)
}

// suspectPeers adapts the peer client to suspects.Peers.
type suspectPeers struct {
	*peer.Client
	entry *entryHost
}

// Peers implements suspects.Peers.
func (p suspectPeers) Peers() []string {
	var list []string
	for _, h := range p.entry.follow.Hosts() {
		if h.Host != p.entry.options.Host {
			list = append(list, h.PeerAddress)
		}
	}
	return list
}

// peerHandler returns the server for requests of other hosts.
func (h *Host) peerHandler() peerpb.DRPCPeerServer {
	if h.keeper != nil {
		return keeperHandler{keeper: h.keeper}
	}
	return entryHandler{entry: h.entry}
}

// entryHandler serves requests of other entry hosts.
type entryHandler struct {
	*peerpb.DRPCPeerUnimplementedServer
	entry *entryHost
}

// MarkSuspect implements peerpb.DRPCPeerServer.
func (h entryHandler) MarkSuspect(ctx context.Context, r *peerpb.MarkSuspectRequest) (*peerpb.MarkSuspectResponse, error) {
	return h.entry.suspects.HandleMarkSuspect(ctx, r)
}

// errNoTurns reports a keeper that keeps no turns of conversations.
var errNoTurns = errors.New("this keeper keeps no turns of conversations")

// keeperHandler serves requests of entry hosts and other keepers.
type keeperHandler struct {
	*peerpb.DRPCPeerUnimplementedServer
	keeper *keeper
}

// Follow implements peerpb.DRPCPeerServer.
func (h keeperHandler) Follow(ctx context.Context, r *peerpb.FollowRequest) (*peerpb.FollowResponse, error) {
	return h.keeper.followers.HandleFollow(ctx, r)
}

// Admit implements peerpb.DRPCPeerServer.
func (h keeperHandler) Admit(ctx context.Context, r *peerpb.AdmitRequest) (*peerpb.AdmitResponse, error) {
	return h.keeper.followers.HandleAdmit(ctx, r)
}

// Configuration implements peerpb.DRPCPeerServer.
func (h keeperHandler) Configuration(ctx context.Context, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	return h.keeper.catalog.HandleConfiguration(ctx, r)
}

// Targets implements peerpb.DRPCPeerServer.
func (h keeperHandler) Targets(ctx context.Context, r *peerpb.TargetsRequest) (*peerpb.TargetsResponse, error) {
	return h.keeper.catalog.HandleTargets(ctx, r)
}

// Heartbeat implements peerpb.DRPCPeerServer.
func (h keeperHandler) Heartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return h.keeper.fleet.HandleHeartbeat(ctx, r)
}

// MoveShare implements peerpb.DRPCPeerServer.
func (h keeperHandler) MoveShare(ctx context.Context, r *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	return h.keeper.limits.HandleMoveShare(ctx, r)
}

// Pace implements peerpb.DRPCPeerServer.
func (h keeperHandler) Pace(ctx context.Context, r *peerpb.PaceRequest) (*peerpb.PaceResponse, error) {
	return h.keeper.pacing.HandlePace(ctx, r)
}

// ReserveTurn implements peerpb.DRPCPeerServer.
func (h keeperHandler) ReserveTurn(ctx context.Context, r *peerpb.ReserveTurnRequest) (*peerpb.ReserveTurnResponse, error) {
	return h.keeper.turnOwner.HandleReserveTurn(ctx, r)
}

// EndTurn implements peerpb.DRPCPeerServer.
func (h keeperHandler) EndTurn(ctx context.Context, r *peerpb.EndTurnRequest) (*peerpb.EndTurnResponse, error) {
	return h.keeper.turnOwner.HandleEndTurn(ctx, r)
}

// KeepBudgets implements peerpb.DRPCPeerServer.
func (h keeperHandler) KeepBudgets(ctx context.Context, m *peerpb.BudgetPage) (*peerpb.KeepBudgetsResponse, error) {
	return h.keeper.turnOwner.HandleKeepBudgets(ctx, m)
}

// FetchBudgets implements peerpb.DRPCPeerServer.
func (h keeperHandler) FetchBudgets(ctx context.Context, r *peerpb.FetchBudgetsRequest) (*peerpb.FetchBudgetsResponse, error) {
	return h.keeper.turnOwner.HandleFetchBudgets(ctx, r)
}

// SaveTurn implements peerpb.DRPCPeerServer.
func (h keeperHandler) SaveTurn(ctx context.Context, r *peerpb.SaveTurnRequest) (*peerpb.SaveTurnResponse, error) {
	if h.keeper.turns == nil {
		return nil, errNoTurns
	}
	return h.keeper.turns.HandleSaveTurn(ctx, r)
}

// FetchChain implements peerpb.DRPCPeerServer.
func (h keeperHandler) FetchChain(ctx context.Context, r *peerpb.FetchChainRequest) (*peerpb.FetchChainResponse, error) {
	if h.keeper.turns == nil {
		return nil, errNoTurns
	}
	return h.keeper.turns.HandleFetchChain(ctx, r)
}

// ListTurns implements peerpb.DRPCPeerServer.
func (h keeperHandler) ListTurns(ctx context.Context, r *peerpb.ListTurnsRequest) (*peerpb.ListTurnsResponse, error) {
	if h.keeper.turns == nil {
		return nil, errNoTurns
	}
	return h.keeper.turns.HandleListTurns(ctx, r)
}

// FetchTurns implements peerpb.DRPCPeerServer.
func (h keeperHandler) FetchTurns(ctx context.Context, r *peerpb.FetchTurnsRequest) (*peerpb.FetchTurnsResponse, error) {
	if h.keeper.turns == nil {
		return nil, errNoTurns
	}
	return h.keeper.turns.HandleFetchTurns(ctx, r)
}

var _ relay.LoadReports = (*placement.Service)(nil)
