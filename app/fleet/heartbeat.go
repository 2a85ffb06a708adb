package fleet

import (
	"context"
	"fmt"
	"sync"

	"github.com/jonboulle/clockwork"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// runHeartbeats sends a heartbeat to all peers every HeartbeatInterval, and sooner
// after a wake-up.
func (s *Service) runHeartbeats(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	s.runPeriodically(ctx, s.options.HeartbeatInterval, s.wakeHeartbeat, func(ctx context.Context) {
		if s.Waiting() {
			return // members ignore it
		}
		self := s.Self()
		for _, m := range s.View().Members {
			if m.Host != self.Host {
				wg.Go(func() { s.sendHeartbeat(ctx, m) })
			}
		}
	})
}

// sendHeartbeat sends one heartbeat to a peer and records its answer.
func (s *Service) sendHeartbeat(ctx context.Context, to member.Member) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.HeartbeatInterval)
	defer cancel()
	revision := s.options.ConfigRevision()
	now := s.options.Clock.Now()
	s.mu.Lock()
	sender, away := s.senderLocked(), s.right.StoreAway()
	s.mu.Unlock()
	res, err := s.options.Peers.Heartbeat(ctx, to.PeerAddress, &peerpb.HeartbeatRequest{
		Sender: sender, ConfigRevision: uint64(revision), StoreAway: away,
	})
	if err != nil || res.GetSender() == nil {
		s.options.Scope.Counter("heartbeat_failures").Inc(1)
		return
	}
	s.mu.Lock()
	s.right.Confirm(model.Incarnation(res.Sender.Incarnation), model.Epoch(res.Sender.Epoch), res.StoreAway, now)
	s.answeredAt[model.Incarnation(res.Sender.Incarnation)] = s.options.Clock.Now()
	s.mu.Unlock()
	s.recordPeer(res.Sender, res.StoreAway, model.Revision(res.ConfigRevision))
}

// senderLocked describes this host in messages to peers. mu is held.
func (s *Service) senderLocked() *peerpb.Sender {
	return &peerpb.Sender{Host: string(s.self.Host), Incarnation: string(s.self.Incarnation), Epoch: uint64(s.record.Epoch)}
}

// HandleHeartbeat answers a peer's heartbeat.
func (s *Service) HandleHeartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	if r.GetSender().GetHost() == "" {
		return nil, fmt.Errorf("heartbeat does not name its sender: %w", model.ErrBadRequest)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	revision := s.options.ConfigRevision()
	now := s.options.Clock.Now()
	s.mu.Lock()
	res := &peerpb.HeartbeatResponse{Sender: s.senderLocked(), ConfigRevision: uint64(revision)}
	if !s.leaveStarted { // Leave waits only for the confirmations that were given before it
		_, res.StoreAway = s.right.AnswerHeartbeat(now)
	}
	s.mu.Unlock()
	s.recordPeer(r.Sender, r.StoreAway, model.Revision(r.ConfigRevision))
	return res, nil
}

// recordPeer records the state that a member sent in a heartbeat or in the answer
// to one. A message of any other process is ignored.
func (s *Service) recordPeer(from *peerpb.Sender, away bool, revision model.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.record.Member(model.HostID(from.Host))
	if !ok || m.Incarnation != model.Incarnation(from.Incarnation) {
		return
	}
	if s.peerStoreAway[m.Host] != away && s.right.StoreAway() {
		if away {
			wake(s.wakeHeartbeat) // this host may need its confirmation now
		} else {
			wake(s.wakeLease) // the store may be reachable again
		}
	}
	s.peerStoreAway[m.Host] = away
	if e := model.Epoch(from.Epoch); e > s.peerEpoch[m.Incarnation] {
		s.peerEpoch[m.Incarnation] = e
		wake(s.wakeControl) // this host may be able to write its entry report now
	}
	if revision == 0 {
		return
	}
	s.revisions[m.Incarnation] = max(revision, s.revisions[m.Incarnation])
	select {
	case s.peerRevisions <- peerRevision{m, revision}:
	default: // the next heartbeat repeats the revision
	}
}

// runPeerRevisions calls PeerRevision in a goroutine of its own, so that a slow
// callback does not delay answers to peers.
func (s *Service) runPeerRevisions(ctx context.Context) {
	for {
		select {
		case n := <-s.peerRevisions:
			s.options.PeerRevision(n.from, n.revision)
		case <-ctx.Done():
			return
		}
	}
}
