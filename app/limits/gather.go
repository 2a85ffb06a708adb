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
	partPause = 20 * time.Millisecond
	// minPause follows an answer with less than smallPart, and doubles up to
	// maxPause after answers with nothing and failures.
	minPause = 80 * time.Millisecond
	maxPause = 200 * time.Millisecond
	// fullHold is the hold that the pauses above suit.
	fullHold = 250 * time.Millisecond
)

// smallPart is in micro tokens. A workspace with 5 requests per second and a
// backlog asked 410 times per second when smaller parts had partPause.
const smallPart = limit.Token / 8

// soonPart divides LimitWait into the time that counts as soon. If hosts always
// yielded to older requests, seven of them at three times a rate of 100 asked 529
// instead of 209 times per second.
const soonPart = 8

// peerState is what this host remembers of a peer for one workspace and epoch.
type peerState struct {
	// open is the id of a transfer whose answer was lost. It is asked for
	// again, so that its shares are not lost for the rest of the epoch.
	open string
	room int64 // micro tokens reserved for the open transfer
	// failed says that the last answer was lost.
	failed bool
	pause  time.Duration
	next   time.Time // not asked before
}

// ask is one request to a peer.
type ask struct {
	peer     Member
	transfer string
	epoch    model.Epoch
	request  *peerpb.MoveShareRequest
}

// startGather asks peers for shares in the background while requests wait or
// answers are missing. The caller holds mu.
func (s *Service) startGather(id model.WorkspaceID, ws *workspace) {
	if ws.gathering || s.closed || !s.member {
		return
	}
	ws.gathering = true
	s.tasks.Go(func() { s.gather(id, ws) })
}

func (s *Service) gather(id model.WorkspaceID, ws *workspace) {
	for {
		a, pause := s.nextAsk(id, ws)
		switch {
		case a != nil:
			s.move(id, ws, a)
		case pause == 0:
			return
		default:
			wait.For(s.ctx, s.options.Clock, pause)
		}
	}
}

// nextAsk returns the next request, or the time until the next one is due. It
// ends the gathering if both are zero.
func (s *Service) nextAsk(id model.WorkspaceID, ws *workspace) (*ask, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	want := int64(len(ws.waiters))*limit.Token - ws.bucket.Level(now)
	held := s.ledger.Held(id) == escrow.Whole && s.ledger.Held(escrow.BurstAccount(id)) == escrow.Whole
	peers := s.candidates(id, ws, want > 0 && !held)
	if s.closed || !s.member || s.workspaces[id] != ws || len(peers) == 0 {
		ws.gathering = false
		return nil, 0
	}
	p := peers[0]
	state := ws.peers[p.Host]
	if pause := state.next.Sub(now); pause > 0 {
		return nil, pause
	}
	a := &ask{peer: p, transfer: state.open, epoch: s.ledger.Epoch()}
	if a.transfer == "" {
		a.transfer = uuid.NewString()
		if err := s.ledger.OpenTransfer(a.epoch, a.transfer, id); err != nil {
			slog.Error("transfer not opened", "workspace", id, "error", err)
			ws.gathering = false
			return nil, 0
		}
		state.open = a.transfer
		ws.reserve(now, state, s.room(ws, state, want))
	}
	a.request = &peerpb.MoveShareRequest{
		Sender: &peerpb.Sender{
			Host:        string(s.options.Host),
			Incarnation: string(s.membership.Incarnation),
			Epoch:       uint64(a.epoch),
		},
		Workspace:       string(id),
		WantMicroTokens: max(0, want),
		TransferId:      a.transfer,
		RoomMicroTokens: state.room,
	}
	if len(ws.waiters) > 0 {
		a.request.WantCapacityMicroTokens = max(0, limit.Token-ws.bucket.Capacity())
		a.request.WaitingSinceUnixUs = ws.waiters[0].since.UnixMicro()
	}
	return a, 0
}

// room returns the capacity to reserve for a transfer. It leaves room for one
// token of the refill of this host, or half of what is free. A peer that failed
// gets none, because a reservation lasts until the answer or the next epoch.
func (s *Service) room(ws *workspace, state *peerState, want int64) int64 {
	if state.failed || want <= 0 {
		return 0
	}
	capacity, level := ws.bucket.Capacity(), ws.bucket.Level(s.options.Clock.Now())
	return max(capacity-max(level, limit.Token), (capacity-level)/2)
}

// reserve sets the room of a peer. The reservations of all peers cover the
// tokens in flight to this host.
func (ws *workspace) reserve(now time.Time, state *peerState, room int64) {
	other := ws.bucket.Reserved() - state.room
	state.room = room
	ws.bucket.Reserve(now, other+room)
}

// candidates returns the peers to ask, those that are due first, else in an
// order that differs between asking hosts and workspaces. Unless all is set,
// only peers with a missing answer count. The caller holds mu.
func (s *Service) candidates(id model.WorkspaceID, ws *workspace, all bool) []Member {
	var peers []Member
	for _, m := range s.membership.Members {
		if m.Host == s.options.Host {
			continue
		}
		if ws.peers[m.Host] == nil {
			ws.peers[m.Host] = &peerState{}
		}
		if all || ws.peers[m.Host].open != "" {
			peers = append(peers, m)
		}
	}
	slices.SortFunc(peers, func(a, b Member) int {
		return cmp.Or(
			ws.peers[a.Host].next.Compare(ws.peers[b.Host].next),
			cmp.Compare(s.rank(id, a.Host), s.rank(id, b.Host)),
		)
	})
	return peers
}

func (s *Service) rank(id model.WorkspaceID, host model.HostID) uint64 {
	return xxhash.Sum64String(string(s.options.Host) + "\x00" + string(id) + "\x00" + string(host))
}

// move sends one request and credits its answer.
func (s *Service) move(id model.WorkspaceID, ws *workspace, a *ask) {
	ctx, cancel := context.WithCancel(s.ctx)
	t := s.options.Clock.AfterFunc(s.options.AskTimeout, cancel)
	response, err := s.options.Peers.MoveShare(ctx, a.peer.PeerAddress, a.request)
	t.Stop()
	cancel()
	if err == nil && (response.GetTransferId() != a.transfer || response.GetSender().GetEpoch() != uint64(a.epoch)) {
		err = fmt.Errorf("answer for transfer %q of epoch %d", response.GetTransferId(), response.GetSender().GetEpoch())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := ws.peers[a.peer.Host]
	if s.ledger.Epoch() != a.epoch || state == nil {
		return
	}
	if err != nil {
		slog.Debug("share not moved", "workspace", id, "peer", a.peer.Host, "error", err)
		state.failed = true
		state.backOff(s.options.Clock.Now(), ws)
		return
	}
	s.credit(id, ws, state, a.request.GetWantMicroTokens(), response)
}

// credit adds a received transfer. The caller holds mu. If the contract was
// removed and added since the request, the tokens are lost, because the room of
// the new bucket does not cover them.
func (s *Service) credit(id model.WorkspaceID, ws *workspace, state *peerState, want int64, r *peerpb.MoveShareResponse) {
	now := s.options.Clock.Now()
	state.open, state.failed = "", false
	ws.reserve(now, state, 0)
	transfer := escrow.Transfer{ID: r.GetTransferId(), Workspace: id, Rate: r.GetRateFraction(), Burst: r.GetBurstFraction()}
	if err := s.ledger.Credit(s.ledger.Epoch(), transfer); err != nil {
		slog.Warn("transfer refused", "workspace", id, "transfer", transfer.ID, "error", err)
		s.ledger.CloseTransfer(transfer.ID)
		state.backOff(now, ws)
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
		state.pause, state.next = 0, now
	case tokens == 0 && transfer.Rate == 0 && transfer.Burst == 0:
		state.backOff(now, ws)
	case tokens < smallPart:
		state.pause, state.next = 0, now.Add(ws.shorten(minPause))
	default:
		state.pause, state.next = 0, now.Add(partPause)
	}
}

func (p *peerState) backOff(now time.Time, ws *workspace) {
	p.pause = min(max(2*p.pause, minPause), maxPause)
	p.next = now.Add(ws.shorten(p.pause))
}

// shorten returns the pause in proportion to the hold of a contract with little
// burst.
func (ws *workspace) shorten(pause time.Duration) time.Duration {
	hold := ws.bucket.Contract().Hold()
	if hold == 0 || hold >= fullHold {
		return pause
	}
	return time.Duration(float64(pause) * float64(hold) / float64(fullHold))
}

// Errors of HandleMoveShare.
var (
	errNotMember = errors.New("limits: sender is not a member of the epoch")
	errRequest   = errors.New("limits: malformed transfer request")
)

// HandleMoveShare gives a part of this host's share to a peer. The share is
// debited before the answer is returned. A repeat of a transfer id returns the
// same transfer.
func (s *Service) HandleMoveShare(_ context.Context, r *peerpb.MoveShareRequest) (*peerpb.MoveShareResponse, error) {
	if r.GetTransferId() == "" || r.GetWorkspace() == "" {
		return nil, fmt.Errorf("%w: workspace %q, transfer %q", errRequest, r.GetWorkspace(), r.GetTransferId())
	}
	if r.GetWantMicroTokens() < 0 || r.GetRoomMicroTokens() < 0 || r.GetWantCapacityMicroTokens() < 0 {
		return nil, fmt.Errorf("%w: want %d, room %d, capacity %d", errRequest, r.GetWantMicroTokens(), r.GetRoomMicroTokens(), r.GetWantCapacityMicroTokens())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch := model.Epoch(r.GetSender().GetEpoch())
	if epoch != s.ledger.Epoch() || !s.member {
		return nil, fmt.Errorf("%w: %d, host is in %d", escrow.ErrStaleEpoch, epoch, s.ledger.Epoch())
	}
	host := model.HostID(r.GetSender().GetHost())
	if !s.membership.has(host, model.Incarnation(r.GetSender().GetIncarnation())) {
		return nil, fmt.Errorf("%w: %q", errNotMember, host)
	}
	transfer, ok := s.ledger.DebitedTransfer(epoch, r.GetTransferId())
	if !ok {
		var err error
		if transfer, err = s.give(epoch, host, r); err != nil {
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
func (s *Service) give(epoch model.Epoch, host model.HostID, r *peerpb.MoveShareRequest) (escrow.Transfer, error) {
	id := model.WorkspaceID(r.GetWorkspace())
	transfer := escrow.Transfer{ID: r.GetTransferId(), Workspace: id}
	ws, ok := s.workspaces[id]
	now := s.options.Clock.Now()
	if ok {
		gift := limit.PlanTransfer(s.giver(ws, now, host, r), limit.TransferRequest{
			Want:         r.GetWantMicroTokens(),
			Room:         r.GetRoomMicroTokens(),
			WantCapacity: r.GetWantCapacityMicroTokens(),
		})
		transfer.Rate, transfer.Burst, transfer.MicroTokens = gift.Rate, gift.Burst, gift.MicroTokens
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

func (s *Service) giver(ws *workspace, now time.Time, asker model.HostID, r *peerpb.MoveShareRequest) limit.Donor {
	return limit.Donor{
		Contract: ws.bucket.Contract(),
		Rate:     ws.bucket.Rate(),
		Burst:    ws.bucket.Burst(),
		Level:    ws.bucket.Level(now),
		Reserved: ws.bucket.Reserved(),
		Demand:   ws.demand.Rate(now),
		Waiting:  len(ws.waiters),
		Yields:   len(ws.waiters) > 0 && s.yields(ws, now, asker, r.GetWaitingSinceUnixUs()),
	}
}

// yields reports whether the requests of the asker go before those that wait
// here: the oldest request in the fleet goes first. Wall clocks that differ make
// the order less fair, but it is the same on all hosts, so of two hosts that each
// hold a part of a token one always completes it. A host that refill serves soon
// does not yield for small differences of age.
func (s *Service) yields(ws *workspace, now time.Time, asker model.HostID, since int64) bool {
	own := ws.waiters[0].since.UnixMicro()
	slack := s.options.LimitWait / soonPart
	if wait, ok := ws.bucket.Wait(now, limit.Token); ok && wait <= slack {
		return since < own-slack.Microseconds()
	}
	return cmp.Or(cmp.Compare(since, own), cmp.Compare(asker, s.options.Host)) < 0
}
