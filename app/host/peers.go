package host

import (
	"context"
	"errors"
	"io"

	"mimosarelay/core/model"
	"mimosarelay/io/peer"
	"mimosarelay/io/peer/peerpb"
)

// peerHandler hands the requests of other hosts to the services.
type peerHandler struct{ host *Host }

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

// recordPeers adapts the streamed FetchRecords to package programs.
type recordPeers struct{ *peer.Client }

// FetchRecords merges the messages of the stream.
func (p recordPeers) FetchRecords(ctx context.Context, address string, r *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	stream, err := p.Client.FetchRecords(ctx, address, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	all := &peerpb.FetchRecordsResponse{}
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
		all.Records = append(all.Records, m.Records...)
	}
}

// peerAddresses lists the peer addresses of the other members.
func (h *Host) peerAddresses() []string {
	var list []string
	for _, m := range h.fleet.View().Members {
		if m.Host != h.settings.Host.Name {
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

// confirmed adds this host's own revision to those that peers reported.
func (h *Host) confirmed() map[model.HostID]model.Revision {
	revisions := h.fleet.Confirmed()
	if revisions == nil {
		revisions = map[model.HostID]model.Revision{}
	}
	revisions[h.settings.Host.Name] = h.contracts.Revision()
	return revisions
}
