package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// StandbyOptions lets a host wait as a standby until the fleet needs it as a member.
type StandbyOptions struct {
	// Losses is the number of members that may be lost at once.
	Losses int
	// JoinAtOnce reports, from the entries of the watch, whether this host must join
	// although it is not needed, because it has state of an earlier membership.
	JoinAtOnce func([]store.Entry) bool
}

const (
	// standbyTTL is the TTL of the lease of a standby, and standbyRenewInterval the
	// time between two renewals. A standby that is lost holds no state, so a longer
	// time than for members saves calls of the store.
	standbyTTL           = 6 * time.Second
	standbyRenewInterval = 2 * time.Second
)

// StandbyPrefix is the prefix of the keys of standbys, without KeyPrefix.
const StandbyPrefix = "Standby/"

// errNotNeeded reports that another standby has joined meanwhile.
var errNotNeeded = errors.New("the fleet does not need this standby")

func (s *Service) standbyKey(h model.HostID) string {
	return s.options.KeyPrefix + StandbyPrefix + string(h)
}

// Joined returns a channel that is closed when a standby has joined the fleet, and
// at once if this host is none.
func (s *Service) Joined() <-chan struct{} { return s.joined }

// Waiting reports whether this host is a standby that has never joined.
func (s *Service) Waiting() bool {
	select {
	case <-s.joined:
		return false
	default:
		return true
	}
}

// applyStandbysLocked reads the standbys from the entries of the watch. mu is held.
func (s *Service) applyStandbysLocked(entries []store.Entry) {
	s.standbys = nil
	for _, e := range entries {
		h, ok := strings.CutPrefix(e.Key, s.standbyKey(""))
		if !ok || e.Holder == "" {
			continue
		}
		var b member.Standby
		if err := json.Unmarshal(e.Value, &b); err != nil || string(b.Host) != h {
			s.options.Log.Error("ignored a malformed entry of a standby", "key", e.Key, "error", err)
			continue
		}
		s.standbys = append(s.standbys, b)
	}
}

// neededLocked returns the standbys that should join the fleet of r. Members count
// while their leases are held, and until they have been missing for
// MinStoreReachable: after an outage of the store all leases are missing. mu is held.
func (s *Service) neededLocked(r member.Record, losses int) []model.HostID {
	now := s.options.Clock.Now()
	return r.Needed(s.standbys, losses, func(m member.Member) bool {
		o, silent := s.silent[m.Incarnation]
		return !silent || now.Sub(o.since) < s.options.MinStoreReachable
	})
}

// shouldJoinLocked reports whether this standby should join the fleet of r. mu is
// held.
func (s *Service) shouldJoinLocked(r member.Record) bool {
	if s.entries == nil {
		return false
	}
	if _, ok := r.Member(s.self.Host); ok {
		return true
	}
	o := s.options.Standby
	return o.JoinAtOnce != nil && o.JoinAtOnce(s.entries) || slices.Contains(s.neededLocked(r, o.Losses), s.self.Host)
}

// waitAsStandby keeps the lease of a standby and reports whether this host stays one.
func (s *Service) waitAsStandby(ctx context.Context) (stays bool, err error) {
	now := s.options.Clock.Now()
	s.mu.Lock()
	if s.options.Standby == nil || s.lease != "" || s.joinUnknown {
		s.mu.Unlock()
		return false, nil
	}
	should, lease, renewed := s.shouldJoinLocked(s.latest), s.standbyLease, s.standbyRenewedAt
	s.mu.Unlock()
	switch {
	case should:
		return false, nil
	case lease == "":
		return true, s.holdStandby(ctx)
	case now.Sub(renewed) < standbyRenewInterval:
		return true, nil
	}
	callCtx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	err = s.options.Store.Renew(callCtx, lease)
	s.recordStoreResult(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrLeaseLapsed):
		s.standbyLease = "" // the next round acquires a new one
		return true, nil
	case err != nil:
		return true, fmt.Errorf("renew the lease of standby %q: %w", s.self.Host, err)
	}
	s.standbyRenewedAt = now
	return true, nil
}

// holdStandby acquires the lease of a standby.
func (s *Service) holdStandby(ctx context.Context) error {
	sent := s.options.Clock.Now()
	self := s.Self()
	value, err := json.Marshal(member.Standby{Host: self.Host, Zone: self.Zone})
	if err != nil {
		return err
	}
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	id, err := s.options.Store.Hold(ctx, s.standbyKey(self.Host), value, standbyTTL)
	s.recordStoreResult(err)
	if errors.Is(err, store.ErrConflict) {
		return nil // held by the previous process of this host until it lapses
	}
	if err != nil {
		return fmt.Errorf("acquire the lease of standby %q: %w", self.Host, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standbyLease, s.standbyRenewedAt = id, sent
	return nil
}

// releaseStandby ends the lease of a standby that has become a member. If that fails,
// it lapses; a member does not count as a standby.
func (s *Service) releaseStandby(ctx context.Context) {
	s.mu.Lock()
	lease := s.standbyLease
	s.standbyLease = ""
	s.mu.Unlock()
	if lease == "" {
		return
	}
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	if err := s.options.Store.Release(ctx, lease); err != nil {
		s.options.Log.Warn("failed to release the lease of a standby, it will lapse", "host", s.options.Self.Host, "error", err)
	}
}

// returnToStandby gives up the lease that a host acquired to join when another
// standby was faster.
func (s *Service) returnToStandby(ctx context.Context) {
	s.mu.Lock()
	lease := s.lease
	s.lease = ""
	s.mu.Unlock()
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	if err := s.options.Store.Release(ctx, lease); err != nil {
		s.options.Log.Warn("failed to release the lease of a host that does not join, it will lapse", "host", s.options.Self.Host, "error", err)
	}
}

// AwaitsStandby reports whether this host, which is to leave, must wait: the fleet
// does not know yet that it is leaving, a standby should join in its place, or this
// host has not entered the epoch of one that has joined.
func (s *Service) AwaitsStandby(losses int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.latest.Member(s.self.Host)
	if !ok || m.Incarnation != s.self.Incarnation {
		return false // removed: its state is no longer used
	}
	return !m.Leaving || s.record.Epoch != s.latest.Epoch || len(s.neededLocked(s.latest, losses)) > 0
}
