package limits

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"mimosarelay/app/wait"
	"mimosarelay/core/escrow"
	"mimosarelay/core/evidence"
	"mimosarelay/core/limit"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// Pauses before the next transfer request to the same peer. An idle peer stores its
// refill for limit.Contract.Hold, so the pauses are shorter than that.
const (
	// partialPause follows a response with some of the requested tokens. Without
	// it, requests for ever smaller amounts reached 1,000 messages per second.
	partialPause = 20 * time.Millisecond
	// minBackoff follows a response with less than smallAmount, and the first
	// failure or empty response. It doubles up to maxBackoff with each failure or
	// empty response in succession.
	minBackoff = 80 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// referenceHold is the Hold that the pauses above are meant for. minBackoff and
	// maxBackoff are scaled down for contracts with a shorter one.
	referenceHold = 250 * time.Millisecond
)

// smallAmount is the number of micro tokens below which a response is followed by
// minBackoff. With partialPause, a workspace with a rate of 5 requests per second and
// a backlog sent 410 transfer requests per second.
const smallAmount = limit.Token / 8

// yieldSlackDivisor sets the slack of yields, LimitWait/yieldSlackDivisor. A host whose
// own refill provides a token within the slack yields only to requests that are older
// by more than the slack. When hosts always yielded to older requests, seven of them
// at three times a rate of 100 requests per second sent 529 instead of 209 transfer
// requests per second.
const yieldSlackDivisor = 8

// peerState is the state of the transfers from one peer, for one workspace and
// epoch.
type peerState struct {
	// openTransfer is the id of the transfer whose response has not arrived. The
	// request is repeated with the same id, because the peer may have debited the
	// shares, which would otherwise be lost for the rest of the epoch.
	openTransfer string
	reserved     int64 // capacity reserved for the open transfer, in micro tokens
	// answerLost is set if the last request failed, so that its response may be
	// lost.
	answerLost  bool
	backoff     time.Duration
	nextAttempt time.Time // earliest time of the next request
}

// outgoingTransfer is a transfer request to a peer.
type outgoingTransfer struct {
	peer    Member
	id      string
	epoch   model.Epoch
	request *peerpb.MoveShareRequest
}

// startTransferLoop requests shares from peers in the background while requests
// wait or responses are missing. The caller holds mu.
func (s *Service) startTransferLoop(id model.WorkspaceID, ws *workspace) {
	if ws.transferLoopRunning || s.closed || !s.isMember {
		return
	}
	ws.transferLoopRunning = true
	s.tasks.Go(func() { s.transferLoop(id, ws) })
}

func (s *Service) transferLoop(id model.WorkspaceID, ws *workspace) {
	for {
		transfer, pause := s.nextTransfer(id, ws)
		switch {
		case transfer != nil:
			s.requestTransfer(id, ws, transfer)
		case pause == 0:
			return
		default:
			wait.For(s.ctx, s.options.Clock, pause)
		}
	}
}

// nextTransfer returns the next transfer request, or the time until it is due. If
// it returns neither, no request is left to send and the loop ends.
func (s *Service) nextTransfer(id model.WorkspaceID, ws *workspace) (*outgoingTransfer, time.Duration) {
	confirmed := s.confirmed()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	want := int64(len(ws.waiters))*limit.Token - ws.bucket.Level(now)
	holdsFullShare := s.ledger.Held(id) == escrow.FullShare && s.ledger.Held(escrow.BurstAccount(id)) == escrow.FullShare
	peers := s.transferCandidates(id, ws, want > 0 && !holdsFullShare)
	if s.closed || !s.isMember || s.workspaces[id] != ws || len(peers) == 0 {
		ws.transferLoopRunning = false
		return nil, 0
	}
	peer := peers[0]
	state := ws.peers[peer.Host]
	if pause := state.nextAttempt.Sub(now); pause > 0 {
		return nil, pause
	}
	transfer := &outgoingTransfer{peer: peer, id: state.openTransfer, epoch: s.ledger.Epoch()}
	if transfer.id == "" {
		transfer.id = uuid.NewString()
		if err := s.ledger.OpenTransfer(transfer.epoch, transfer.id, id); err != nil {
			slog.Error("failed to open a share transfer", "workspace", id, "error", err)
			ws.transferLoopRunning = false
			return nil, 0
		}
		state.openTransfer = transfer.id
		ws.setReservation(now, state, s.transferCapacity(ws, state, want))
	}
	transfer.request = &peerpb.MoveShareRequest{
		Sender: &peerpb.Sender{
			Host:        string(s.options.Host),
			Incarnation: string(s.membership.Incarnation),
			Epoch:       uint64(transfer.epoch),
		},
		Workspace:       string(id),
		WantMicroTokens: max(0, want),
		TransferId:      transfer.id,
		RoomMicroTokens: state.reserved,
		Known:           s.known(ws, confirmed),
	}
	if len(ws.waiters) > 0 {
		transfer.request.WantCapacityMicroTokens = max(0, limit.Token-ws.bucket.Capacity())
		transfer.request.WaitingSinceUnixUs = ws.waiters[0].arrivedAt.UnixMicro()
	}
	return transfer, 0
}

// transferCapacity returns the capacity to reserve for a transfer, in micro tokens.
// It leaves enough for this host's refill to reach one token, or half of the free
// capacity if that is less. It reserves none for a peer whose last request failed,
// because a reservation lasts until the response or the next epoch.
func (s *Service) transferCapacity(ws *workspace, state *peerState, want int64) int64 {
	if state.answerLost || want <= 0 {
		return 0
	}
	capacity, level := ws.bucket.Capacity(), ws.bucket.Level(s.options.Clock.Now())
	return max(capacity-max(level, limit.Token), (capacity-level)/2)
}

// setReservation sets the capacity reserved for the transfer from one peer. The
// sum over all peers covers the tokens in flight to this host.
func (ws *workspace) setReservation(now time.Time, state *peerState, capacity int64) {
	others := ws.bucket.Reserved() - state.reserved
	state.reserved = capacity
	ws.bucket.Reserve(now, others+capacity)
}

// transferCandidates returns the peers to request transfers from, by the time when
// their next request is due, and then by a hash that gives each host and workspace
// a different order. Unless all is set, it returns only peers with an open transfer.
// The caller holds mu.
func (s *Service) transferCandidates(id model.WorkspaceID, ws *workspace, all bool) []Member {
	var peers []Member
	for _, m := range s.membership.Members {
		if m.Host == s.options.Host {
			continue
		}
		if ws.peers[m.Host] == nil {
			ws.peers[m.Host] = &peerState{}
		}
		if all || ws.peers[m.Host].openTransfer != "" {
			peers = append(peers, m)
		}
	}
	slices.SortFunc(peers, func(a, b Member) int {
		return cmp.Or(
			ws.peers[a.Host].nextAttempt.Compare(ws.peers[b.Host].nextAttempt),
			cmp.Compare(s.peerRank(id, a.Host), s.peerRank(id, b.Host)),
		)
	})
	return peers
}

func (s *Service) peerRank(id model.WorkspaceID, host model.HostID) uint64 {
	return xxhash.Sum64String(string(s.options.Host) + "\x00" + string(id) + "\x00" + string(host))
}

// requestTransfer sends one transfer request and credits the response.
func (s *Service) requestTransfer(id model.WorkspaceID, ws *workspace, transfer *outgoingTransfer) {
	ctx, cancel := context.WithCancel(s.ctx)
	timer := s.options.Clock.AfterFunc(s.options.TransferTimeout, cancel)
	response, err := s.options.Peers.MoveShare(ctx, transfer.peer.PeerAddress, transfer.request)
	timer.Stop()
	cancel()
	if err == nil && (response.GetTransferId() != transfer.id || response.GetSender().GetEpoch() != uint64(transfer.epoch)) {
		err = fmt.Errorf("response is for transfer %q of epoch %d, expected transfer %q of epoch %d",
			response.GetTransferId(), response.GetSender().GetEpoch(), transfer.id, transfer.epoch)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := ws.peers[transfer.peer.Host]
	if s.ledger.Epoch() != transfer.epoch || state == nil {
		return
	}
	if err != nil {
		slog.Debug("failed to request a share transfer", "workspace", id, "peer", transfer.peer.Host, "error", err)
		state.answerLost = true
		state.increaseBackoff(s.options.Clock.Now(), ws)
		return
	}
	s.credit(id, ws, state, transfer.request.GetWantMicroTokens(), response)
}

// credit adds a received transfer. If the contract was removed and added again
// since the request, the tokens are lost, because the new bucket has no capacity
// reserved for them. The caller holds mu.
func (s *Service) credit(id model.WorkspaceID, ws *workspace, state *peerState, want int64, r *peerpb.MoveShareResponse) {
	now := s.options.Clock.Now()
	state.openTransfer, state.answerLost = "", false
	ws.setReservation(now, state, 0)
	transfer := escrow.Transfer{ID: r.GetTransferId(), Workspace: id, Rate: r.GetRateFraction(), Burst: r.GetBurstFraction()}
	if err := s.ledger.Credit(s.ledger.Epoch(), transfer); err != nil {
		slog.Warn("failed to credit a share transfer", "workspace", id, "transfer", transfer.ID, "error", err)
		s.ledger.CloseTransfer(transfer.ID)
		state.increaseBackoff(now, ws)
		return
	}
	if current, ok := s.workspaces[id]; ok {
		s.resizeOne(now, id, current)
	}
	if s.workspaces[id] == ws {
		ws.bucket.Deposit(now, r.GetMicroTokens())
		ws.wakeFirst()
	}
	switch tokens := r.GetMicroTokens(); {
	case tokens >= want:
		state.backoff, state.nextAttempt = 0, now
	case tokens == 0 && transfer.Rate == 0 && transfer.Burst == 0:
		state.increaseBackoff(now, ws)
	case tokens < smallAmount:
		state.backoff, state.nextAttempt = 0, now.Add(ws.scalePause(minBackoff))
	default:
		state.backoff, state.nextAttempt = 0, now.Add(partialPause)
	}
}

func (p *peerState) increaseBackoff(now time.Time, ws *workspace) {
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.nextAttempt = now.Add(ws.scalePause(p.backoff))
}

// scalePause shortens a pause in proportion to the Hold of a contract whose burst
// is small.
func (ws *workspace) scalePause(pause time.Duration) time.Duration {
	hold := ws.bucket.Contract().Hold()
	if hold == 0 || hold >= referenceHold {
		return pause
	}
	return time.Duration(float64(pause) * float64(hold) / float64(referenceHold))
}

// Sentinel errors of HandleMoveShare.
var (
	errNotMember        = errors.New("limits: sender of the transfer request is not a member of the epoch")
	errMalformedRequest = errors.New("limits: malformed transfer request")
)

// HandleMoveShare transfers a part of this host's share to a peer. The share is
// debited before the response is returned. A repeated transfer id returns the same
// transfer.
func (s *Service) HandleMoveShare(_ context.Context, r *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	if r.GetTransferId() == "" || r.GetWorkspace() == "" {
		return nil, fmt.Errorf("%w: workspace %q, transfer %q", errMalformedRequest, r.GetWorkspace(), r.GetTransferId())
	}
	if r.GetWantMicroTokens() < 0 || r.GetRoomMicroTokens() < 0 || r.GetWantCapacityMicroTokens() < 0 {
		return nil, fmt.Errorf("%w: negative amount: want %d, room %d, capacity %d", errMalformedRequest, r.GetWantMicroTokens(), r.GetRoomMicroTokens(), r.GetWantCapacityMicroTokens())
	}
	s.LearnFrom(model.WorkspaceID(r.GetWorkspace()), r.GetKnown())
	confirmed := s.confirmed()
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch := model.Epoch(r.GetSender().GetEpoch())
	if epoch != s.ledger.Epoch() || !s.isMember {
		return nil, fmt.Errorf("%w: transfer request of epoch %d, host is in epoch %d", escrow.ErrStaleEpoch, epoch, s.ledger.Epoch())
	}
	host := model.HostID(r.GetSender().GetHost())
	if !s.membership.hasMember(host, model.Incarnation(r.GetSender().GetIncarnation())) {
		return nil, fmt.Errorf("%w: host %q", errNotMember, host)
	}
	transfer, ok := s.ledger.DebitedTransfer(epoch, r.GetTransferId())
	if !ok {
		var err error
		if transfer, err = s.debitTransfer(epoch, host, r, confirmed); err != nil {
			return nil, err
		}
	}
	return &peerpb.MoveShareResponse{
		Sender: &peerpb.Sender{
			Host:        string(s.options.Host),
			Incarnation: string(s.membership.Incarnation),
			Epoch:       uint64(epoch),
		},
		TransferId:    transfer.ID,
		RateFraction:  transfer.Rate,
		BurstFraction: transfer.Burst,
		MicroTokens:   transfer.MicroTokens,
	}, nil
}

// debitTransfer plans a new transfer and debits it from this host's share. The
// caller holds mu.
func (s *Service) debitTransfer(epoch model.Epoch, host model.HostID, r *peerpb.MoveShareRequest, confirmed evidence.Stamp) (escrow.Transfer, error) {
	id := model.WorkspaceID(r.GetWorkspace())
	transfer := escrow.Transfer{ID: r.GetTransferId(), Workspace: id}
	ws, ok := s.workspaces[id]
	now := s.options.Clock.Now()
	if ok {
		donor := s.donor(ws, now, host, r)
		if !s.accepts(ws, confirmed) {
			donor.Level = 0 // the tokens may exceed the present limit
		}
		amounts := limit.PlanTransfer(donor, limit.TransferRequest{
			Want:         r.GetWantMicroTokens(),
			Room:         r.GetRoomMicroTokens(),
			WantCapacity: r.GetWantCapacityMicroTokens(),
		})
		transfer.Rate, transfer.Burst, transfer.MicroTokens = amounts.Rate, amounts.Burst, amounts.MicroTokens
	}
	if err := s.ledger.Debit(epoch, transfer); err != nil {
		return escrow.Transfer{}, err
	}
	if ok {
		ws.bucket.Withdraw(now, transfer.MicroTokens)
		s.resizeOne(now, id, ws)
	}
	return transfer, nil
}

func (s *Service) donor(ws *workspace, now time.Time, requester model.HostID, r *peerpb.MoveShareRequest) limit.Donor {
	return limit.Donor{
		Contract: ws.bucket.Contract(),
		Rate:     ws.bucket.Rate(),
		Burst:    ws.bucket.Burst(),
		Level:    ws.bucket.Level(now),
		Reserved: ws.bucket.Reserved(),
		Demand:   ws.demand.Rate(now),
		Waiting:  len(ws.waiters),
		Yields:   len(ws.waiters) > 0 && s.yields(ws, now, requester, r.GetWaitingSinceUnixUs()),
	}
}

// yields reports whether the requests that wait at the requester take precedence
// over those that wait here: the oldest request in the fleet is served first.
// Differences between wall clocks make the order less fair, but all hosts compute
// the same order, so that of two hosts that each hold a part of a token one always
// obtains the rest. A host whose own refill provides a token soon does not yield for a
// small difference in age.
func (s *Service) yields(ws *workspace, now time.Time, requester model.HostID, requesterArrival int64) bool {
	ownArrival := ws.waiters[0].arrivedAt.UnixMicro()
	slack := s.options.LimitWait / yieldSlackDivisor
	if refillWait, ok := ws.bucket.Wait(now, limit.Token); ok && refillWait <= slack {
		return requesterArrival < ownArrival-slack.Microseconds()
	}
	return cmp.Or(cmp.Compare(requesterArrival, ownArrival), cmp.Compare(requester, s.options.Host)) < 0
}
