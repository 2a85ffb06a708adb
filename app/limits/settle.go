package limits

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"mimosarelay/core/escrow"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// Intervals and timeouts of the settlement loop.
const (
	// settleInterval is the time between two checks whether this host should
	// settle, for example because the members that precede it no longer answer
	// heartbeats.
	settleInterval = 500 * time.Millisecond
	// settleTimeout bounds the store requests of one settlement.
	settleTimeout = 2 * time.Second
)

func (s *Service) requestSettlement() {
	select {
	case s.settleRequests <- struct{}{}:
	default:
	}
}

// EntriesChanged takes over the entry reports among the changed entries of the
// control keyspace. Other entries are ignored.
func (s *Service) EntriesChanged(entries []store.Entry) {
	s.mu.Lock()
	for _, e := range entries {
		host, ok := strings.CutPrefix(e.Key, EnterPrefix)
		if !ok {
			continue
		}
		var r EntryReport
		if err := json.Unmarshal(e.Value, &r); err != nil || string(r.Host) != host {
			slog.Error("ignored a malformed entry report", "key", e.Key, "error", err)
			continue
		}
		if r.Epoch >= s.reports[r.Host].Epoch {
			s.reports[r.Host] = r
		}
	}
	s.mu.Unlock()
	s.requestSettlement()
}

// SharesChanged takes over the settlement rounds among the changed entries of the
// control keyspace and applies those of the current epoch.
func (s *Service) SharesChanged(entries []store.Entry) {
	for _, e := range entries {
		if e.Key != SharesKey {
			continue
		}
		shares, err := DecodeShares(e.Value)
		if err != nil {
			slog.Error("ignored a malformed record of settlement rounds", "error", err)
			continue
		}
		s.applyShares(shares)
	}
}

// applyShares stores the newest record and applies the rounds that this host has
// not applied yet. A record may arrive before this host has entered its epoch.
func (s *Service) applyShares(shares escrow.Shares) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shares.Epoch > s.shares.Epoch || shares.Epoch == s.shares.Epoch && len(shares.Rounds) > len(s.shares.Rounds) {
		s.shares = shares
	}
	s.applyRounds()
}

// applyRounds applies the rounds of the stored record if it belongs to the current
// epoch. The caller holds mu.
func (s *Service) applyRounds() {
	if s.shares.Epoch != s.ledger.Epoch() || !s.isMember {
		return
	}
	for i := s.ledger.Rounds(); i < len(s.shares.Rounds); i++ {
		if err := s.ledger.Apply(s.shares.Epoch, i, s.options.Host, s.shares.Rounds[i]); err != nil {
			slog.Error("failed to apply a settlement round", "epoch", s.shares.Epoch, "round", i, "error", err)
			break
		}
		if s.regrantPending {
			s.regrantPending = false
			s.backlogDrainEnd = s.options.Clock.Now().Add(backlogDrainTime)
		}
	}
	s.resize()
}

// settleLoop settles on request and every settleInterval, if this host is the one
// to settle.
func (s *Service) settleLoop() {
	t := s.options.Clock.NewTicker(settleInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.settleRequests:
		case <-t.Chan():
		}
		if !s.shouldSettle() {
			continue
		}
		if err := s.settle(); err != nil {
			slog.Warn("failed to settle shares", "error", err)
		}
	}
}

// shouldSettle reports whether shares are left to grant and this host may act and
// is the first of the members, in order of their names, that answers heartbeats.
func (s *Service) shouldSettle() bool {
	s.mu.Lock()
	epoch := s.ledger.Epoch()
	shares := s.shares
	if shares.Epoch < epoch {
		shares = escrow.Shares{Epoch: epoch}
	}
	round, ready, err := s.nextRound(shares)
	hosts := s.membership.sortedHosts()
	s.mu.Unlock()
	if err != nil {
		slog.Error("failed to compute a settlement round", "epoch", epoch, "error", err)
		return false
	}
	if !ready || len(round.Grants) == 0 || !s.options.MayAct() {
		return false
	}
	for _, h := range hosts {
		if h == s.options.Host {
			return true
		}
		if !s.options.Unresponsive(h) {
			return false
		}
	}
	return false
}

func (m Membership) sortedHosts() []model.HostID {
	hosts := make([]model.HostID, 0, len(m.Members))
	for _, member := range m.Members {
		hosts = append(hosts, member.Host)
	}
	slices.Sort(hosts)
	return hosts
}

// nextRound computes the settlement round that follows those in shares. ready is
// false while entry reports of the epoch are missing. The caller holds mu.
func (s *Service) nextRound(shares escrow.Shares) (round escrow.Round, ready bool, err error) {
	if !s.isMember || shares.Epoch != s.ledger.Epoch() {
		return escrow.Round{}, false, nil
	}
	reports := escrow.Reports{}
	var receivers []model.HostID
	for _, m := range s.membership.Members {
		r, ok := s.reports[m.Host]
		if !ok || r.Epoch != shares.Epoch || r.Incarnation != m.Incarnation {
			return escrow.Round{}, false, nil
		}
		reports[m.Host] = r.Holdings
		if !m.Leaving {
			receivers = append(receivers, m.Host)
		}
	}
	workspaces := make([]model.WorkspaceID, 0, len(s.workspaces))
	for id := range s.workspaces {
		workspaces = append(workspaces, id)
	}
	round, err = escrow.Settle(reports, shares, receivers, workspaces)
	return round, err == nil, err
}

// settle appends one round to the record in the store by compare-and-swap. If
// another host has written the record meanwhile, settle fails and settleLoop tries again.
func (s *Service) settle() error {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer s.options.Clock.AfterFunc(settleTimeout, cancel).Stop()
	shares, version, err := s.readShares(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	epoch := s.ledger.Epoch()
	if shares.Epoch < epoch {
		shares = escrow.Shares{Epoch: epoch}
	}
	round, ready, err := s.nextRound(shares)
	s.mu.Unlock()
	if err != nil {
		return fmt.Errorf("compute settlement round of epoch %d: %w", epoch, err)
	}
	if ready && len(round.Grants) > 0 {
		shares.Rounds = append(slices.Clone(shares.Rounds), round)
		shares.ChangeID = uuid.NewString()
		if err := s.writeShares(ctx, shares, version); err != nil {
			return err
		}
	}
	s.applyShares(shares)
	return nil
}

func (s *Service) readShares(ctx context.Context) (escrow.Shares, store.Version, error) {
	e, err := s.options.Store.Get(ctx, SharesKey)
	if errors.Is(err, store.ErrNotFound) {
		return escrow.Shares{}, 0, nil
	}
	if err != nil {
		return escrow.Shares{}, 0, fmt.Errorf("read settlement rounds from the store: %w", err)
	}
	shares, err := DecodeShares(e.Value)
	return shares, e.Version, err
}

func (s *Service) writeShares(ctx context.Context, shares escrow.Shares, version store.Version) error {
	value, err := EncodeShares(shares)
	if err != nil {
		return err
	}
	if _, err := s.options.Store.Put(ctx, SharesKey, value, version); err != nil {
		return fmt.Errorf("write settlement rounds of epoch %d to the store: %w", shares.Epoch, err)
	}
	return nil
}
