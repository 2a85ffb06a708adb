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
	"mimosarelay/core/limit"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// Pauses before a peer is asked again. Hold bounds them, the time for which an
// idle peer holds its refill.
const (
	// partPause follows an answer with a part of the wanted tokens. Asking again
	// at once for ever smaller parts cost up to 1,000 messages per second.
	partialPause = 20 * time.Millisecond
	// minPause follows an answer with less than smallPart, and doubles up to
	// maxPause after answers with nothing and failures.
	minBackoff = 80 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// fullHold is the hold that the pauses above suit.
	referenceHold = 250 * time.Millisecond
)

// smallPart is in micro tokens. A workspace with 5 requests per second and a
// backlog asked 410 times per second when smaller parts had partPause.
const smallAmount = limit.Token / 8

// soonPart divides LimitWait into the time that counts as soon. If hosts always
// yielded to older requests, seven of them at three times a rate of 100 asked 529
// instead of 209 times per second.
const yieldSlackDivisor = 8

// peerState is what this host remembers of a peer for one workspace and epoch.
type peerState struct {
	// open is the id of a transfer whose answer was lost. It is asked for
	// again, so that its shares are not lost for the rest of the epoch.
	openTransfer string
	reserved     int64 // micro tokens reserved for the open transfer
	// failed says that the last answer was lost.
	answerLost  bool
	backoff     time.Duration
	nextAttempt time.Time // not asked before
}

// ask is one request to a peer.
type outgoingTransfer struct {
	peer    Member
	id      string
	epoch   model.Epoch
	request *peerpb.MoveShareRequest
}

// startGather asks peers for shares in the background while requests wait or
// answers are missing. The caller holds mu.
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

// nextAsk returns the next request, or the time until the next one is due. It
// ends the gathering if both are zero.
func (s *Service) nextTransfer(id model.WorkspaceID, ws *workspace) (*outgoingTransfer, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	want := int64(len(ws.waiters))*limit.Token - ws.bucket.Level(now)
	holdsWhole := s.ledger.Held(id) == escrow.Whole && s.ledger.Held(escrow.BurstAccount(id)) == escrow.Whole
	peers := s.transferCandidates(id, ws, want > 0 && !holdsWhole)
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
			slog.Error("transfer not opened", "workspace", id, "error", err)
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
	}
	if len(ws.waiters) > 0 {
		transfer.request.WantCapacityMicroTokens = max(0, limit.Token-ws.bucket.Capacity())
		transfer.request.WaitingSinceUnixUs = ws.waiters[0].arrivedAt.UnixMicro()
	}
	return transfer, 0
}

// room returns the capacity to reserve for a transfer. It leaves room for one
// token of the refill of this host, or half of what is free. A peer that failed
// gets none, because a reservation lasts until the answer or the next epoch.
func (s *Service) transferCapacity(ws *workspace, state *peerState, want int64) int64 {
	if state.answerLost || want <= 0 {
		return 0
	}
	capacity, level := ws.bucket.Capacity(), ws.bucket.Level(s.options.Clock.Now())
	return max(capacity-max(level, limit.Token), (capacity-level)/2)
}

// reserve sets the room of a peer. The reservations of all peers cover the
// tokens in flight to this host.
func (ws *workspace) setReservation(now time.Time, state *peerState, capacity int64) {
	others := ws.bucket.Reserved() - state.reserved
	state.reserved = capacity
	ws.bucket.Reserve(now, others+capacity)
}

// candidates returns the peers to ask, those that are due first, else in an
// order that differs between asking hosts and workspaces. Unless all is set,
// only peers with a missing answer count. The caller holds mu.
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

// move sends one request and credits its answer.
func (s *Service) requestTransfer(id model.WorkspaceID, ws *workspace, transfer *outgoingTransfer) {
	ctx, cancel := context.WithCancel(s.ctx)
	timer := s.options.Clock.AfterFunc(s.options.AskTimeout, cancel)
	response, err := s.options.Peers.MoveShare(ctx, transfer.peer.PeerAddress, transfer.request)
	timer.Stop()
	cancel()
	if err == nil && (response.GetTransferId() != transfer.id || response.GetSender().GetEpoch() != uint64(transfer.epoch)) {
		err = fmt.Errorf("answer for transfer %q of epoch %d", response.GetTransferId(), response.GetSender().GetEpoch())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := ws.peers[transfer.peer.Host]
	if s.ledger.Epoch() != transfer.epoch || state == nil {
		return
	}
	if err != nil {
		slog.Debug("share not moved", "workspace", id, "peer", transfer.peer.Host, "error", err)
		state.answerLost = true
		state.increaseBackoff(s.options.Clock.Now(), ws)
		return
	}
	s.credit(id, ws, state, transfer.request.GetWantMicroTokens(), response)
}

// credit adds a received transfer. The caller holds mu. If the contract was
// removed and added since the request, the tokens are lost, because the room of
// the new bucket does not cover them.
func (s *Service) credit(id model.WorkspaceID, ws *workspace, state *peerState, want int64, r *peerpb.MoveShareResponse) {
	now := s.options.Clock.Now()
	state.openTransfer, state.answerLost = "", false
	ws.setReservation(now, state, 0)
	transfer := escrow.Transfer{ID: r.GetTransferId(), Workspace: id, Rate: r.GetRateFraction(), Burst: r.GetBurstFraction()}
	if err := s.ledger.Credit(s.ledger.Epoch(), transfer); err != nil {
		slog.Warn("transfer refused", "workspace", id, "transfer", transfer.ID, "error", err)
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

// shorten returns the pause in proportion to the hold of a contract with little
// burst.
func (ws *workspace) scalePause(pause time.Duration) time.Duration {
	hold := ws.bucket.Contract().Hold()
	if hold == 0 || hold >= referenceHold {
		return pause
	}
	return time.Duration(float64(pause) * float64(hold) / float64(referenceHold))
}

// Errors of HandleMoveShare.
var (
	errNotMember        = errors.New("limits: sender is not a member of the epoch")
	errMalformedRequest = errors.New("limits: malformed transfer request")
)

// HandleMoveShare gives a part of this host's share to a peer. The share is
// debited before the answer is returned. A repeat of a transfer id returns the
// same transfer.
func (s *Service) HandleMoveShare(_ context.Context, r *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	if r.GetTransferId() == "" || r.GetWorkspace() == "" {
		return nil, fmt.Errorf("%w: workspace %q, transfer %q", errMalformedRequest, r.GetWorkspace(), r.GetTransferId())
	}
	if r.GetWantMicroTokens() < 0 || r.GetRoomMicroTokens() < 0 || r.GetWantCapacityMicroTokens() < 0 {
		return nil, fmt.Errorf("%w: want %d, room %d, capacity %d", errMalformedRequest, r.GetWantMicroTokens(), r.GetRoomMicroTokens(), r.GetWantCapacityMicroTokens())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch := model.Epoch(r.GetSender().GetEpoch())
	if epoch != s.ledger.Epoch() || !s.isMember {
		return nil, fmt.Errorf("%w: %d, host is in %d", escrow.ErrStaleEpoch, epoch, s.ledger.Epoch())
	}
	host := model.HostID(r.GetSender().GetHost())
	if !s.membership.hasMember(host, model.Incarnation(r.GetSender().GetIncarnation())) {
		return nil, fmt.Errorf("%w: %q", errNotMember, host)
	}
	transfer, ok := s.ledger.DebitedTransfer(epoch, r.GetTransferId())
	if !ok {
		var err error
		if transfer, err = s.debitTransfer(epoch, host, r); err != nil {
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

// give debits a new transfer. The caller holds mu.
func (s *Service) debitTransfer(epoch model.Epoch, host model.HostID, r *peerpb.MoveShareRequest) (escrow.Transfer, error) {
	id := model.WorkspaceID(r.GetWorkspace())
	transfer := escrow.Transfer{ID: r.GetTransferId(), Workspace: id}
	ws, ok := s.workspaces[id]
	now := s.options.Clock.Now()
	if ok {
		amounts := limit.PlanTransfer(s.donor(ws, now, host, r), limit.TransferRequest{
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

// yields reports whether the requests of the asker go before those that wait
// here: the oldest request in the fleet goes first. Wall clocks that differ make
// the order less fair, but it is the same on all hosts, so of two hosts that each
// hold a part of a token one always completes it. A host that refill serves soon
// does not yield for small differences of age.
func (s *Service) yields(ws *workspace, now time.Time, requester model.HostID, requesterArrival int64) bool {
	ownArrival := ws.waiters[0].arrivedAt.UnixMicro()
	slack := s.options.LimitWait / yieldSlackDivisor
	if refillWait, ok := ws.bucket.Wait(now, limit.Token); ok && refillWait <= slack {
		return requesterArrival < ownArrival-slack.Microseconds()
	}
	return cmp.Or(cmp.Compare(requesterArrival, ownArrival), cmp.Compare(requester, s.options.Host)) < 0
}
