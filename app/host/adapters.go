package host

import (
	"context"
	"errors"
	"fmt"

	"mimosarelay/io/target"

	"mimosarelay/app/placement"
	"mimosarelay/app/relay"
	"mimosarelay/core/model"
	core "mimosarelay/core/placement"
	"mimosarelay/io/peer"
	"mimosarelay/io/peer/peerpb"
)

// programPeers implements programs.Peers with the peer client.
type programPeers struct {
	*peer.Client
	host *Host
}

// errEpochNotEntered delays a takeover until all members have entered the
// epoch: before that, a removed host may still commit records.
var errEpochNotEntered = errors.New("not all members have entered the epoch")

// TakeShards implements programs.Peers.
func (p programPeers) TakeShards(ctx context.Context, address string, r *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	if !p.host.fleet.Settled() || uint64(p.host.fleet.View().Epoch) != r.GetSender().GetEpoch() {
		return nil, errEpochNotEntered
	}
	return p.Client.TakeShards(ctx, address, r)
}

// FetchRecords implements programs.Peers. It collects the messages of the
// stream in one response.
func (p programPeers) FetchRecords(ctx context.Context, address string, r *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	stream, err := p.Client.FetchRecords(ctx, address, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	merged := &peerpb.FetchRecordsResponse{}
	for {
		m, err := stream.Recv()
		if target.AtEnd(err) {
			return merged, nil
		}
		if err != nil {
			return nil, err
		}
		merged.Records = append(merged.Records, m.Records...)
	}
}

// suspectPeers implements suspects.Peers with the peer client.
type suspectPeers struct {
	*peer.Client
	host *Host
}

// Peers implements suspects.Peers.
func (p suspectPeers) Peers() []string { return p.host.peerAddresses() }

// placer implements relay.Placer. It also tells the release service, which frees
// engine memory, which engines a program used.
type placer struct{ host *Host }

// Acquire implements relay.Placer.
func (p placer) Acquire(ctx context.Context, r core.Request) (relay.Place, error) {
	place, err := p.host.placement.Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	if r.Program != "" && r.Model != "" {
		p.host.release.RecordUse(model.ProgramKey{Workspace: r.Workspace, Program: r.Program}, place.Target().Name)
	}
	return place, nil
}

// lenders implements placement.Lenders with the peer client.
type lenders struct{ host *Host }

func (l lenders) address(host model.HostID) (string, error) {
	m, ok := l.host.fleet.View().Member(host)
	if !ok {
		return "", fmt.Errorf("host %q is not a member", host)
	}
	return m.PeerAddress, nil
}

// Borrow implements placement.Lenders.
func (l lenders) Borrow(ctx context.Context, lender model.HostID, target model.TargetID, id placement.LoanID) (bool, error) {
	address, err := l.address(lender)
	if err != nil {
		return false, err
	}
	r, err := l.host.peers.BorrowPlace(ctx, address, &peerpb.BorrowPlaceRequest{Sender: l.host.sender(), Target: string(target), Loan: string(id)})
	return r.GetLent(), err
}

// Return implements placement.Lenders.
func (l lenders) Return(ctx context.Context, lender model.HostID, target model.TargetID, id placement.LoanID) error {
	address, err := l.address(lender)
	if err != nil {
		return err
	}
	_, err = l.host.peers.ReturnPlace(ctx, address, &peerpb.ReturnPlaceRequest{Sender: l.host.sender(), Target: string(target), Loan: string(id)})
	return err
}
