package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mimosarelay/app/wait"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// EntryReport is the value of key Enter/<host>: the host has entered an epoch
// and holds these fractions, in units of 2^-30.
type EntryReport struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Epoch       model.Epoch
	Holdings    map[model.WorkspaceID]int64
}

// runWatch keeps one blocking query on the control keys.
func (s *Service) runWatch(ctx context.Context) {
	const retry = 200 * time.Millisecond
	var since store.Version
	for ctx.Err() == nil {
		entries, version, err := s.options.Store.Watch(ctx, s.options.KeyPrefix, since, s.options.WatchWait)
		if err != nil {
			s.options.Scope.Counter("watch_failures").Inc(1)
			wait.For(ctx, s.options.Clock, retry)
			continue
		}
		since = version
		s.observe(entries)
		if s.options.WatchPause > 0 {
			wait.For(ctx, s.options.Clock, s.options.WatchPause)
		}
	}
}

// observe takes over what the watch returned.
func (s *Service) observe(entries []store.Entry) {
	leases := map[model.HostID]bool{}
	reports := map[model.HostID]EntryReport{}
	leasePrefix, entryPrefix := s.leaseKey(""), s.entryKey("")
	for _, e := range entries {
		if h, ok := strings.CutPrefix(e.Key, leasePrefix); ok && e.Holder != "" {
			leases[model.HostID(h)] = true
		}
		if h, ok := strings.CutPrefix(e.Key, entryPrefix); ok {
			var r EntryReport
			if err := json.Unmarshal(e.Value, &r); err != nil {
				s.options.Logger.Error("entry report not readable", "key", e.Key, "error", err)
				continue
			}
			reports[model.HostID(h)] = r
		}
	}
	if entries == nil {
		entries = []store.Entry{} // known to be empty
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.leases, s.reports = entries, leases, reports
	if s.right.StoreAway() {
		// The store is back. An epoch in entries ends the confirmations of peers,
		// so that only the lease gives a right to act.
		wake(s.wakeLease)
	}
	wake(s.wakeControl)
	wake(s.wakeDispatch)
}

// runControl enters epochs, writes entry reports and removes lapsed hosts.
func (s *Service) runControl(ctx context.Context) {
	s.every(ctx, s.options.Tick, s.wakeControl, func(ctx context.Context) {
		s.enter()
		s.settle()
		if err := s.reportEntry(ctx); err != nil && ctx.Err() == nil {
			s.options.Logger.Warn("entry report not written", "error", err)
		}
		if err := s.removeLapsed(ctx); err != nil && ctx.Err() == nil {
			s.options.Logger.Warn("lapsed hosts not removed", "error", err)
		}
		if err := s.deleteReports(ctx); err != nil && ctx.Err() == nil {
			s.options.Logger.Warn("entry reports of removed hosts not deleted", "error", err)
		}
	})
}

// enter moves to the newest record that the watch returned.
func (s *Service) enter() {
	s.mu.Lock()
	var next member.Record
	for _, e := range s.entries {
		if e.Key != s.membershipKey() {
			continue
		}
		r, err := member.Decode(e.Value)
		if err != nil {
			s.options.Logger.Error("membership record not readable", "error", err)
		}
		next = r
	}
	old := s.record
	if next.Epoch <= old.Epoch {
		s.mu.Unlock()
		return
	}
	s.record, s.settled, s.enteredAt = next, false, s.options.Clock.Now()
	s.right.Enter(next)
	s.tenure.Enter(next)
	s.forgetPeers()
	if s.removed() {
		s.attached = false
		s.tenure.Drop()
		wake(s.wakeLease)
	}
	callbacks := s.onEpoch
	s.mu.Unlock()
	s.options.Scope.Gauge("epoch").Update(float64(next.Epoch))
	s.options.Logger.Info("entered epoch", "host", s.options.Self.Host, "epoch", next.Epoch, "members", len(next.Members))
	for _, fn := range callbacks {
		fn(old, next)
	}
	wake(s.wakeBeat)
}

// forgetPeers drops what processes told that are no members. mu is held.
func (s *Service) forgetPeers() {
	present := map[model.Incarnation]bool{}
	for _, m := range s.record.Members {
		present[m.Incarnation] = true
	}
	maps.DeleteFunc(s.answered, func(in model.Incarnation, _ time.Time) bool { return !present[in] })
	maps.DeleteFunc(s.peerEpoch, func(in model.Incarnation, _ model.Epoch) bool { return !present[in] })
	maps.DeleteFunc(s.revision, func(in model.Incarnation, _ model.Revision) bool { return !present[in] })
}

// entered returns the epoch that a member last reported.
func (s *Service) entered(m member.Member) model.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enteredLocked(m)
}

func (s *Service) enteredLocked(m member.Member) model.Epoch {
	if r := s.reports[m.Host]; r.Incarnation == m.Incarnation {
		return r.Epoch
	}
	return 0
}

// heardLocked is enteredLocked with the epochs that members told in heartbeats.
func (s *Service) heardLocked(m member.Member) model.Epoch {
	return max(s.enteredLocked(m), s.peerEpoch[m.Incarnation])
}

func (s *Service) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exact := s.record.Entered(s.enteredLocked); exact && s.record.Epoch > 0 && !s.settled {
		s.settled = true
		s.tenure.Activate(s.record.Epoch)
		s.options.Logger.Info("all members entered epoch", "host", s.self.Host, "epoch", s.record.Epoch)
	}
}

// reportEntry writes the entry report once all confirmations that this host
// gave in earlier epochs have expired.
func (s *Service) reportEntry(ctx context.Context) error {
	now := s.options.Clock.Now()
	s.mu.Lock()
	epoch, self := s.record.Epoch, s.self
	due := epoch > s.reported && !s.stopped && !s.right.StoreAway() &&
		s.record.Has(self.Host, self.Incarnation) && !now.Before(s.right.EarliestEntryReport(s.heardLocked))
	s.mu.Unlock()
	if !due {
		return nil
	}
	value, err := json.Marshal(EntryReport{Host: s.options.Self.Host, Incarnation: self.Incarnation, Epoch: epoch, Holdings: s.options.Holdings(epoch)})
	if err != nil {
		return err
	}
	ctx, cancel := s.call(ctx)
	defer cancel()
	key := s.entryKey(self.Host)
	e, err := s.options.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if _, err := s.options.Store.Put(ctx, key, value, e.Version); err != nil {
		return err
	}
	s.options.Logger.Info("entry reported", "host", s.options.Self.Host, "epoch", epoch, "after_start", now.Sub(s.started))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported = epoch
	s.reports = maps.Clone(s.reports)
	s.reports[self.Host] = EntryReport{Host: s.options.Self.Host, Incarnation: self.Incarnation, Epoch: epoch}
	return nil
}

// candidates returns the members whose lease has been missing for long enough.
// Hosts take turns, so that usually one of them writes the change.
func (s *Service) candidates() []member.Member {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.attached || s.stopped || s.right.StoreAway() || !s.right.MayAct(now) {
		clear(s.missing)
		return nil
	}
	const turn, maxTurns = 250 * time.Millisecond, 8
	rank := 0
	var out []member.Member
	for _, m := range s.record.Members {
		if s.leases[m.Host] || m.Host == s.self.Host {
			delete(s.missing, m.Incarnation)
			if m.Host < s.self.Host {
				rank++
			}
			continue
		}
		if _, ok := s.missing[m.Incarnation]; !ok {
			s.missing[m.Incarnation] = now
		}
	}
	turns := time.Duration(min(rank, maxTurns)) * turn
	for _, m := range s.record.Members {
		if first, ok := s.missing[m.Incarnation]; ok && now.Sub(first) >= s.options.MinLeaseMissing+turns && now.Sub(s.awayAt) >= s.options.MinStoreReachable+turns {
			out = append(out, m)
		}
	}
	return out
}

func (s *Service) removeLapsed(ctx context.Context) error {
	lapsed := s.candidates()
	if len(lapsed) == 0 {
		return nil
	}
	_, err := s.changeOnce(ctx, func(r member.Record) (member.Record, error) {
		return s.without(ctx, r, lapsed)
	})
	if errors.Is(err, member.ErrNoMajority) {
		s.options.Scope.Counter("removals_refused").Inc(1)
		return err
	}
	if errors.Is(err, store.ErrConflict) || errors.Is(err, errNothingToDo) {
		return nil
	}
	return err
}

var errNothingToDo = errors.New("nothing to do")

// without removes the lapsed members, as many as the majority rule allows. The
// leases are read after the record, and attach writes the record after the
// lease is acquired: so a host that came back makes the write conflict.
func (s *Service) without(ctx context.Context, r member.Record, lapsed []member.Member) (member.Record, error) {
	next, gone := r, []model.HostID(nil)
	var refused error
	for _, m := range lapsed {
		if !r.Has(m.Host, m.Incarnation) {
			continue
		}
		held, err := s.leaseHeld(ctx, m.Host)
		if err != nil {
			return r, err
		}
		if held {
			continue
		}
		without, err := r.RemoveLapsed(append(slices.Clone(gone), m.Host)...)
		if err != nil {
			refused = err
			continue
		}
		next, gone = without, append(gone, m.Host)
	}
	if len(gone) == 0 {
		return r, errors.Join(errNothingToDo, refused)
	}
	s.options.Logger.Info("removing hosts whose lease lapsed", "hosts", gone, "epoch", next.Epoch)
	return next, nil
}

func (s *Service) leaseHeld(ctx context.Context, h model.HostID) (bool, error) {
	ctx, cancel := s.call(ctx)
	defer cancel()
	e, err := s.options.Store.Get(ctx, s.leaseKey(h))
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("lease of %q: %w", h, err)
	}
	return e.Holder != "", nil
}

// deleteReports deletes the entry reports of hosts that are no longer members.
// The first member does so once the epoch is settled.
func (s *Service) deleteReports(ctx context.Context) error {
	s.mu.Lock()
	var stale []store.Entry
	if s.settled && s.attached && s.record.Members[0].Host == s.self.Host {
		for _, e := range s.entries {
			h, ok := strings.CutPrefix(e.Key, s.entryKey(""))
			_, present := s.record.Member(model.HostID(h))
			// A report of a newer epoch belongs to a host that just joined.
			if ok && !present && s.reports[model.HostID(h)].Epoch <= s.record.Epoch {
				stale = append(stale, e)
			}
		}
	}
	s.mu.Unlock()
	var errs []error
	for _, e := range stale {
		call, cancel := s.call(ctx)
		err := s.options.Store.Delete(call, e.Key, e.Version)
		cancel()
		if !errors.Is(err, store.ErrConflict) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// runDispatch calls the subscribers whose entries changed.
func (s *Service) runDispatch(ctx context.Context) {
	for {
		select {
		case <-s.wakeDispatch:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		entries, known, watchers := s.entries, s.entries != nil, s.watchers
		s.mu.Unlock()
		if !known {
			continue
		}
		for _, w := range watchers {
			w.dispatch(entries)
		}
	}
}

// dispatch is called from one goroutine only.
func (w *subscriber) dispatch(entries []store.Entry) {
	seen := map[string]store.Version{}
	var matched []store.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, w.prefix) {
			seen[e.Key] = e.Version
			matched = append(matched, e)
		}
	}
	if w.seen != nil && maps.Equal(seen, w.seen) {
		return
	}
	w.seen = seen
	w.fn(matched)
}
