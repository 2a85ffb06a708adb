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

// runBeats sends a heartbeat to all peers each period.
func (s *Service) runBeats(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	s.every(ctx, s.options.HeartbeatEvery, s.wakeBeat, func(ctx context.Context) {
		self := s.Self()
		for _, m := range s.View().Members {
			if m.Host != self.Host {
				wg.Go(func() { s.beat(ctx, m) })
			}
		}
	})
}

func (s *Service) beat(ctx context.Context, to member.Member) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.HeartbeatEvery)
	defer cancel()
	revision := s.options.ConfigRevision()
	now := s.options.Clock.Now()
	s.mu.Lock()
	sender, away := s.sender(), s.right.StoreAway()
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
	s.answered[model.Incarnation(res.Sender.Incarnation)] = s.options.Clock.Now()
	s.mu.Unlock()
	s.notePeer(res.Sender, res.StoreAway, model.Revision(res.ConfigRevision))
}

// sender identifies this host. mu is held.
func (s *Service) sender() *peerpb.Sender {
	return &peerpb.Sender{Host: string(s.self.Host), Incarnation: string(s.self.Incarnation), Epoch: uint64(s.record.Epoch)}
}

// HandleHeartbeat answers a peer's heartbeat.
func (s *Service) HandleHeartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	if r.GetSender().GetHost() == "" {
		return nil, fmt.Errorf("heartbeat without a sender: %w", model.ErrBadRequest)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	revision := s.options.ConfigRevision()
	now := s.options.Clock.Now()
	s.mu.Lock()
	res := &peerpb.HeartbeatResponse{Sender: s.sender(), ConfigRevision: uint64(revision)}
	if !s.stopped {
		_, res.StoreAway = s.right.AnswerHeartbeat(now)
	}
	s.mu.Unlock()
	s.notePeer(r.Sender, r.StoreAway, model.Revision(r.ConfigRevision))
	return res, nil
}

// notePeer notes what a peer told about itself.
func (s *Service) notePeer(from *peerpb.Sender, away bool, revision model.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.record.Member(model.HostID(from.Host))
	if !ok || m.Incarnation != model.Incarnation(from.Incarnation) {
		return
	}
	if s.peerAway[m.Host] != away && s.right.StoreAway() {
		if away {
			wake(s.wakeBeat) // its confirmation may be needed now
		} else {
			wake(s.wakeLease) // the store may be back
		}
	}
	s.peerAway[m.Host] = away
	if e := model.Epoch(from.Epoch); e > s.peerEpoch[m.Incarnation] {
		s.peerEpoch[m.Incarnation] = e
		wake(s.wakeControl) // the entry report may be due
	}
	if revision == 0 {
		return
	}
	s.revision[m.Incarnation] = max(revision, s.revision[m.Incarnation])
	select {
	case s.news <- revisionNews{m, revision}:
	default: // the next heartbeat repeats it
	}
}

// runNews calls PeerRevision outside of the paths that answer peers.
func (s *Service) runNews(ctx context.Context) {
	for {
		select {
		case n := <-s.news:
			s.options.PeerRevision(n.from, n.revision)
		case <-ctx.Done():
			return
		}
	}
}
