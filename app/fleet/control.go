package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"time"

	"mimosarelay/app/wait"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// EntryReport is the value of the key Enter/<host>. It says that the host has
// entered an epoch and which shares of the limits it holds.
type EntryReport struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Epoch       model.Epoch
	Holdings    map[model.WorkspaceID]int64 // units of 2^-30
}

// runWatch watches the control keys with one blocking query at a time.
func (s *Service) runWatch(ctx context.Context) {
	const retryInterval = 200 * time.Millisecond
	var since store.Version
	for ctx.Err() == nil {
		entries, version, err := s.options.Store.Watch(ctx, s.options.KeyPrefix, since, s.options.WatchWait)
		if err != nil {
			s.options.Scope.Counter("watch_failures").Inc(1)
			wait.For(ctx, s.options.Clock, retryInterval)
			continue
		}
		since = version
		s.applyWatch(entries)
		if s.options.WatchPause > 0 {
			wait.For(ctx, s.options.Clock, s.options.WatchPause)
		}
	}
}

// applyWatch stores the entries that the watch returned and wakes the loops that
// depend on them.
func (s *Service) applyWatch(entries []store.Entry) {
	leases := map[model.HostID]leaseHolder{}
	reports := map[model.HostID]EntryReport{}
	leasePrefix, entryPrefix := s.leaseKey(""), s.entryKey("")
	var record member.Record
	for _, e := range entries {
		if e.Key == s.membershipKey() {
			var err error
			if record, err = member.Decode(e.Value); err != nil {
				s.options.Log.Error("failed to decode the membership record", "host", s.options.Self.Host, "error", err)
			}
		}
		if h, ok := strings.CutPrefix(e.Key, leasePrefix); ok && e.Holder != "" {
			leases[model.HostID(h)] = decodeLeaseHolder(e.Value)
		}
		if h, ok := strings.CutPrefix(e.Key, entryPrefix); ok {
			var r EntryReport
			if err := json.Unmarshal(e.Value, &r); err != nil {
				s.options.Log.Error("failed to decode an entry report", "host", s.options.Self.Host, "key", e.Key, "error", err)
				continue
			}
			reports[model.HostID(h)] = r
		}
	}
	if entries == nil {
		entries = []store.Entry{} // nil means that no watch has returned yet
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.latest, s.leases, s.reports = entries, record, leases, reports
	s.applyStandbysLocked(entries)
	s.observeSilenceLocked(s.options.Clock.Now())
	if s.right.StoreAway() || s.Waiting() {
		// A standby may be needed now. For members, the store is reachable again. If
		// entries hold a newer epoch, the confirmations of peers end with it and only
		// the lease gives the right to act, so it must be renewed at once.
		wake(s.wakeLease)
	}
	wake(s.wakeControl)
	wake(s.wakeDispatch)
}

// runControl enters epochs, writes entry reports, removes hosts whose lease lapsed
// and deletes their entry reports.
func (s *Service) runControl(ctx context.Context) {
	s.runPeriodically(ctx, s.options.Tick, s.wakeControl, func(ctx context.Context) {
		s.enterNewestEpoch()
		s.settleEpoch()
		if err := s.reportEntry(ctx); err != nil && ctx.Err() == nil {
			s.options.Log.Warn("failed to write the entry report", "host", s.options.Self.Host, "error", err)
		}
		if err := s.removeLapsed(ctx); err != nil && ctx.Err() == nil {
			s.options.Log.Warn("failed to remove hosts whose lease lapsed", "host", s.options.Self.Host, "error", err)
		}
		if err := s.deleteReports(ctx); err != nil && ctx.Err() == nil {
			s.options.Log.Warn("failed to delete the entry reports of removed hosts", "host", s.options.Self.Host, "error", err)
		}
	})
}

// enterNewestEpoch enters the epoch of the membership record that the watch
// returned, if it is newer than the current one.
func (s *Service) enterNewestEpoch() {
	s.mu.Lock()
	next := s.latest
	old := s.record
	if next.Epoch <= old.Epoch {
		s.mu.Unlock()
		return
	}
	s.record, s.settled, s.enteredAt = next, false, s.options.Clock.Now()
	s.right.Enter(next)
	s.ownership.Enter(next)
	s.dropNonMembersLocked()
	if s.removedLocked() {
		s.attached = false
		s.ownership.Drop()
		wake(s.wakeLease)
	}
	callbacks := s.epochCallbacks
	s.mu.Unlock()
	s.options.Scope.Gauge("epoch").Update(float64(next.Epoch))
	s.options.Log.Info("entered epoch", "host", s.options.Self.Host, "epoch", next.Epoch, "members", len(next.Members))
	for _, fn := range callbacks {
		fn(old, next)
	}
	wake(s.wakeHeartbeat)
}

// dropNonMembersLocked forgets the answers, epochs and revisions that were received
// from processes that are not members. mu is held.
func (s *Service) dropNonMembersLocked() {
	present := map[model.Incarnation]bool{}
	for _, m := range s.record.Members {
		present[m.Incarnation] = true
	}
	maps.DeleteFunc(s.answeredAt, func(in model.Incarnation, _ time.Time) bool { return !present[in] })
	maps.DeleteFunc(s.peerEpoch, func(in model.Incarnation, _ model.Epoch) bool { return !present[in] })
	maps.DeleteFunc(s.revisions, func(in model.Incarnation, _ model.Revision) bool { return !present[in] })
}

// reportedEpoch returns the epoch in the latest entry report of a member, 0 if it
// has written none.
func (s *Service) reportedEpoch(m member.Member) model.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportedEpochLocked(m)
}

// reportedEpochLocked is reportedEpoch for callers that hold mu.
func (s *Service) reportedEpochLocked(m member.Member) model.Epoch {
	if r := s.reports[m.Host]; r.Incarnation == m.Incarnation {
		return r.Epoch
	}
	return 0
}

// latestEpochLocked returns the newest epoch that a member is known to have entered,
// from its entry report or its heartbeats. mu is held.
func (s *Service) latestEpochLocked(m member.Member) model.Epoch {
	return max(s.reportedEpochLocked(m), s.peerEpoch[m.Incarnation])
}

// settleEpoch marks the epoch as settled and activates the shards of this host once
// all members have reported that they entered it.
func (s *Service) settleEpoch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exact := s.record.Entered(s.reportedEpochLocked); exact && s.record.Epoch > 0 && !s.settled {
		s.settled = true
		s.ownership.Activate(s.record.Epoch)
		s.options.Log.Info("all members entered epoch", "host", s.self.Host, "epoch", s.record.Epoch)
	}
}

// reportEntry writes the entry report of this host when all confirmations that it
// gave in earlier epochs have expired.
func (s *Service) reportEntry(ctx context.Context) error {
	now := s.options.Clock.Now()
	s.mu.Lock()
	epoch, self := s.record.Epoch, s.self
	due := epoch > s.lastReport && !s.leaveStarted && !s.right.StoreAway() &&
		s.record.Has(self.Host, self.Incarnation) && !now.Before(s.right.EarliestEntryReport(s.latestEpochLocked))
	s.mu.Unlock()
	if !due {
		return nil
	}
	value, err := json.Marshal(EntryReport{Host: s.options.Self.Host, Incarnation: self.Incarnation, Epoch: epoch, Holdings: s.options.Holdings(epoch)})
	if err != nil {
		return err
	}
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	key := s.entryKey(self.Host)
	e, err := s.options.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if _, err := s.options.Store.Put(ctx, key, value, e.Version); err != nil {
		return err
	}
	s.options.Log.Info("entry reported", "host", s.options.Self.Host, "epoch", epoch, "after_start", now.Sub(s.started))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReport = epoch
	s.reports = maps.Clone(s.reports)
	s.reports[self.Host] = EntryReport{Host: s.options.Self.Host, Incarnation: self.Incarnation, Epoch: epoch}
	return nil
}

// deleteReports deletes the entry reports of hosts that are not members any more.
// Only the first member does so, after the epoch is settled.
func (s *Service) deleteReports(ctx context.Context) error {
	var errs []error
	for _, e := range s.staleReports() {
		callCtx, cancel := s.withCallTimeout(ctx)
		err := s.options.Store.Delete(callCtx, e.Key, e.Version)
		cancel()
		if err != nil && !errors.Is(err, store.ErrConflict) {
			errs = append(errs, err)
			continue
		}
		s.mu.Lock()
		s.deletedReports[e.Key] = e.Version
		s.mu.Unlock()
	}
	return errors.Join(errs...)
}

// staleReports returns the entry reports that this host must delete and has not
// deleted yet: the watch returns a deletion later than the next control round.
func (s *Service) staleReports() []store.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.settled || !s.attached || !s.isFirstMemberLocked() {
		return nil
	}
	var stale []store.Entry
	listed := map[string]store.Version{}
	for _, e := range s.entries {
		listed[e.Key] = e.Version
		h, ok := strings.CutPrefix(e.Key, s.entryKey(""))
		_, present := s.record.Member(model.HostID(h))
		// A report of a newer epoch belongs to a host that has just joined.
		if ok && !present && s.reports[model.HostID(h)].Epoch <= s.record.Epoch && s.deletedReports[e.Key] != e.Version {
			stale = append(stale, e)
		}
	}
	maps.DeleteFunc(s.deletedReports, func(key string, v store.Version) bool { return listed[key] != v })
	return stale
}

// isFirstMemberLocked reports whether this host is the first member of the record,
// which has none before the watch returns the join of a first host. mu is held.
func (s *Service) isFirstMemberLocked() bool {
	return len(s.record.Members) > 0 && s.record.Members[0].Host == s.self.Host
}

// runDispatch calls the subscribers whose entries have changed.
func (s *Service) runDispatch(ctx context.Context) {
	for {
		select {
		case <-s.wakeDispatch:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		entries, known, subscribers := s.entries, s.entries != nil, s.subscribers
		s.mu.Unlock()
		if !known {
			continue
		}
		for _, sub := range subscribers {
			sub.dispatch(entries)
		}
	}
}

// dispatch calls the subscriber if its entries have changed. It must be called from
// one goroutine only.
func (s *subscriber) dispatch(entries []store.Entry) {
	seen := map[string]store.Version{}
	var matched []store.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, s.prefix) {
			seen[e.Key] = e.Version
			matched = append(matched, e)
		}
	}
	if s.seen != nil && maps.Equal(seen, s.seen) {
		return
	}
	s.seen = seen
	s.fn(matched)
}
