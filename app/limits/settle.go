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

// Times of the settlement loop.
const (
	// settlePause is the time between two looks at whether this host should
	// settle, for example because the host in charge fell silent.
	settleInterval = 500 * time.Millisecond
	// settleTimeout bounds the store calls of one settlement.
	settleTimeout = 2 * time.Second
)

func (s *Service) requestSettlement() {
	select {
	case s.settleRequests <- struct{}{}:
	default:
	}
}

// EntriesChanged takes the entry reports out of the entries of the control
// watch.
func (s *Service) EntriesChanged(entries []store.Entry) {
	s.mu.Lock()
	for _, e := range entries {
		host, ok := strings.CutPrefix(e.Key, EnterPrefix)
		if !ok {
			continue
		}
		var r EntryReport
		if err := json.Unmarshal(e.Value, &r); err != nil || string(r.Host) != host {
			slog.Error("malformed entry report", "key", e.Key, "error", err)
			continue
		}
		if r.Epoch >= s.reports[r.Host].Epoch {
			s.reports[r.Host] = r
		}
	}
	s.mu.Unlock()
	s.requestSettlement()
}

// SharesChanged takes the settlement rounds out of the entries of the control
// watch and applies those of the current epoch.
func (s *Service) SharesChanged(entries []store.Entry) {
	for _, e := range entries {
		if e.Key != SharesKey {
			continue
		}
		shares, err := DecodeShares(e.Value)
		if err != nil {
			slog.Error("malformed shares", "error", err)
			continue
		}
		s.applyShares(shares)
	}
}

// apply remembers the newest record and applies the rounds that this host has
// not applied yet. A record may arrive before its epoch is entered.
func (s *Service) applyShares(shares escrow.Shares) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shares.Epoch > s.shares.Epoch || shares.Epoch == s.shares.Epoch && len(shares.Rounds) > len(s.shares.Rounds) {
		s.shares = shares
	}
	s.applyRounds()
}

// applyRounds applies the remembered rounds of the current epoch. The caller
// holds mu.
func (s *Service) applyRounds() {
	if s.shares.Epoch != s.ledger.Epoch() || !s.isMember {
		return
	}
	for i := s.ledger.Rounds(); i < len(s.shares.Rounds); i++ {
		if err := s.ledger.Apply(s.shares.Epoch, i, s.options.Host, s.shares.Rounds[i]); err != nil {
			slog.Error("settlement round not applied", "epoch", s.shares.Epoch, "round", i, "error", err)
			break
		}
		if s.regrantPending {
			s.regrantPending = false
			s.backlogDrainEnd = s.options.Clock.Now().Add(backlogDrainTime)
		}
	}
	s.resize()
}

// settleLoop settles when asked and looks again every settlePause.
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
			slog.Warn("settlement failed", "error", err)
		}
	}
}

// inCharge reports whether something is left to settle and this host is the
// first that is not silent.
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
		slog.Error("shares exceed the limit", "epoch", epoch, "error", err)
		return false
	}
	if !ready || len(round.Grants) == 0 || !s.options.MayAct() {
		return false
	}
	for _, h := range hosts {
		if h == s.options.Host {
			return true
		}
		if !s.options.Silent(h) {
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

// nextRound computes the round after those in shares. ready is false while
// entry reports of the epoch are missing. The caller holds mu.
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

// settle appends one round to the record in the store. A concurrent writer wins
// by compare-and-swap, and the loop looks again.
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
		return fmt.Errorf("compute settlement of epoch %d: %w", epoch, err)
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
		return escrow.Shares{}, 0, fmt.Errorf("read shares: %w", err)
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
		return fmt.Errorf("write shares of epoch %d: %w", shares.Epoch, err)
	}
	return nil
}
