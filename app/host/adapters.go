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

// recordPeers adapts the peer client to package programs.
type recordPeers struct {
	*peer.Client
	host *Host
}

// errNotSettled delays a takeover until all members have entered the epoch:
// only then can no removed host commit records any more.
var errNotSettled = errors.New("not all members have entered the epoch")

// TakeShards implements programs.Peers.
func (p recordPeers) TakeShards(ctx context.Context, address string, r *peerpb.TakeShardsRequest) (*peerpb.TakeShardsResponse, error) {
	if !p.host.fleet.Settled() || uint64(p.host.fleet.View().Epoch) != r.GetSender().GetEpoch() {
		return nil, errNotSettled
	}
	return p.Client.TakeShards(ctx, address, r)
}

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
		if target.AtEnd(err) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
		all.Records = append(all.Records, m.Records...)
	}
}

// suspectPeers adapts the peer client to package suspects.
type suspectPeers struct {
	*peer.Client
	host *Host
}

// Peers implements suspects.Peers.
func (p suspectPeers) Peers() []string { return p.host.peerAddresses() }

// placer adapts placement to the relay and tells the release of engine memory
// which engines a program used.
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

// lenders adapts the peer client to package placement.
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
