package host

import (
	"context"

	"mimosarelay/app/placement"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// peerHandler serves the RPCs of other hosts by passing them to the services.
type peerHandler struct {
	*peerpb.DRPCPeerUnimplementedServer
	host *Host
}

var _ peerpb.DRPCPeerServer = peerHandler{}

// Heartbeat implements peerpb.DRPCPeerServer.
func (p peerHandler) Heartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return p.host.fleet.HandleHeartbeat(ctx, r)
}

// GetConfig implements peerpb.DRPCPeerServer.
func (p peerHandler) GetConfig(ctx context.Context, r *peerpb.GetConfigRequest) (*peerpb.GetConfigResponse, error) {
	return p.host.contracts.HandleGetConfig(ctx, r)
}

// MoveShare implements peerpb.DRPCPeerServer.
func (p peerHandler) MoveShare(ctx context.Context, r *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	return p.host.limits.HandleMoveShare(ctx, r)
}

// Replicate implements peerpb.DRPCPeerServer.
func (p peerHandler) Replicate(ctx context.Context, r *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	return p.host.programs.HandleReplicate(ctx, r)
}

// FetchRecords implements peerpb.DRPCPeerServer.
func (p peerHandler) FetchRecords(r *peerpb.FetchRecordsRequest, stream peerpb.DRPCPeer_FetchRecordsStream) error {
	return p.host.programs.HandleFetchRecords(stream.Context(), r, stream.Send)
}

// TakeShards implements peerpb.DRPCPeerServer.
func (p peerHandler) TakeShards(ctx context.Context, r *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	return p.host.programs.HandleTakeShards(ctx, r)
}

// MarkSuspect implements peerpb.DRPCPeerServer.
func (p peerHandler) MarkSuspect(ctx context.Context, r *peerpb.MarkSuspectRequest) (*peerpb.MarkSuspectResponse, error) {
	return p.host.suspects.HandleMarkSuspect(ctx, r)
}

// Call implements peerpb.DRPCPeerServer.
func (p peerHandler) Call(r *peerpb.CallRequest, stream peerpb.DRPCPeer_CallStream) error {
	return p.host.relay.HandleCall(r, stream)
}

// BorrowPlace implements peerpb.DRPCPeerServer.
func (p peerHandler) BorrowPlace(_ context.Context, r *peerpb.BorrowPlaceRequest) (*peerpb.BorrowPlaceResponse, error) {
	lent := p.host.placement.Lend(model.HostID(r.GetSender().GetHost()), model.TargetID(r.GetTarget()), placement.LoanID(r.GetLoan()))
	return &peerpb.BorrowPlaceResponse{Lent: lent}, nil
}

// ReturnPlace implements peerpb.DRPCPeerServer.
func (p peerHandler) ReturnPlace(_ context.Context, r *peerpb.ReturnPlaceRequest) (*peerpb.ReturnPlaceResponse, error) {
	p.host.placement.TakeBack(model.TargetID(r.GetTarget()), placement.LoanID(r.GetLoan()))
	return &peerpb.ReturnPlaceResponse{}, nil
}

// LivePrograms implements peerpb.DRPCPeerServer.
func (p peerHandler) LivePrograms(context.Context, *peerpb.LiveProgramsRequest) (*peerpb.LiveProgramsResponse, error) {
	r := &peerpb.LiveProgramsResponse{Sender: p.host.sender(), Complete: p.host.programs.AllShardsLoaded()}
	for _, key := range p.host.programs.Live() {
		r.Programs = append(r.Programs, &peerpb.ProgramName{Workspace: string(key.Workspace), Program: string(key.Program)})
	}
	return r, nil
}

// peerAddresses lists the peer addresses of the other members.
func (h *Host) peerAddresses() []string {
	var addresses []string
	for _, m := range h.fleet.View().Members {
		if m.Host != h.settings.Host.Name {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}
