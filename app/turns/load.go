package turns

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/core/store"
	"mimosarelay/core/turn"
)

// hasUnloadedShards reports whether this host acts for a shard whose records it has
// not loaded.
func (o *Owner) hasUnloadedShards() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for s := range o.loaded {
		if !o.loaded[s] && o.options.ShardOwnership.ActsFor(model.Shard(s)) {
			return true
		}
	}
	return false
}

// recheckInterval is the time between two checks whether pages of absent hosts have
// expired. A check reads all pages.
const recheckInterval = turn.UncertainPeriod / 3

// recheckDue reports whether to look for missing notes or expired pages again.
func (o *Owner) recheckDue() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Clock.Now()
	if !o.recheckRequested && (!o.absences.Tracked() || now.Before(o.nextRecheck)) {
		return false
	}
	for s := range o.loaded {
		shard := model.Shard(s)
		if o.loaded[s] && (o.absences.Tracked() || o.rule.Uncertain(now, shard)) && o.options.ShardOwnership.ActsFor(shard) {
			return true
		}
	}
	return false
}

// recheckTimer returns a channel for the time of the next check, or nil if there is
// nothing to check.
func (o *Owner) recheckTimer() <-chan time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.absences.Tracked() {
		return nil
	}
	return o.options.Clock.After(max(o.nextRecheck.Sub(o.options.Clock.Now()), o.options.FlushInterval))
}

func (o *Owner) requestRecheck() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recheckRequested = true
}

// loadRecords reads the records and notes of all hosts and loads those of the shards
// that this host has started to act for, and of those whose notes were missing.
func (o *Owner) loadRecords(ctx context.Context) error {
	now := o.options.Clock.Now()
	o.mu.Lock()
	o.recheckRequested, o.nextRecheck = false, now.Add(recheckInterval)
	var newShards, uncertain [model.ShardCount]bool
	for s := range newShards {
		acts := o.options.ShardOwnership.ActsFor(model.Shard(s))
		newShards[s] = acts && !o.loaded[s]
		uncertain[s] = acts && o.loaded[s] && o.rule.Uncertain(now, model.Shard(s))
	}
	o.mu.Unlock()
	r, err := o.readPages(ctx)
	if err != nil {
		o.requestRecheck()
		return err
	}
	missing := r.hostsWithMissingNotes()
	o.mu.Lock()
	n := o.loadPages(r, newShards, uncertain)
	if !o.ownPageLoaded {
		o.loadOwnAnnouncement(r)
	}
	for s := range newShards {
		switch shard := model.Shard(s); {
		case !o.options.ShardOwnership.ActsFor(shard):
		case newShards[s]:
			o.loaded[s] = true
			o.rule.Loaded(o.options.Clock.Now(), shard, len(missing) > 0)
		case uncertain[s] && len(missing) == 0:
			o.rule.NotesFound(shard)
		}
	}
	o.notifyWaiters()
	o.mu.Unlock()
	o.options.Log.Info("loaded the budget records", "programs", n, "pages", len(r.newest), "hosts_with_missing_notes", missing)
	o.deleteExpiredPages(ctx, r)
	return nil
}

// loadPages loads the records of the shards and returns their number. The caller holds
// mu.
func (o *Owner) loadPages(r *readPages, newShards, uncertain [model.ShardCount]bool) int {
	n := 0
	for host, hostPage := range r.newest {
		isOwn := host == o.options.Host || host == o.firstTurnsName()
		for _, entry := range hostPage.Programs {
			record := entry.record()
			shard := program.ShardOf(record.Program)
			// The first write of this process replaces the page of the previous
			// one, so all records of that page are loaded. The later pages of this
			// process say nothing new to it.
			if newShards[shard] || isOwn && !o.ownPageLoaded || uncertain[shard] && !isOwn {
				o.ledger.Load(record)
				n++
			}
		}
	}
	if n > 0 {
		// The copies and notes that were read may be the last ones.
		o.ledger.MarkUnsaved()
	}
	return n
}

// loadOwnAnnouncement takes over the page of the previous process of this host. The
// caller holds mu.
func (o *Owner) loadOwnAnnouncement(r *readPages) {
	own, ok := r.stored[o.options.Host]
	if ok {
		notes, found := r.newest[o.firstTurnsName()]
		o.rule.LoadedOwn(o.options.Clock.Now(), own.announcement(), notes.Notes, found)
	}
	o.version, o.versionKnown, o.ownPageLoaded = own.version, true, true
}

// storedPage is a page in the store.
type storedPage struct {
	page
	version store.Version
}

// readPages holds the pages of all hosts and of their notes.
type readPages struct {
	newest map[model.HostID]page // in the store and among the copies
	stored map[model.HostID]storedPage
}

// hostsWithMissingNotes returns the hosts that may have noted turns where no host can
// read them.
func (r *readPages) hostsWithMissingNotes() []model.HostID {
	var list []model.HostID
	for host, p := range r.stored {
		notes, found := r.newest[host+firstTurnsSuffix]
		if p.announcement().Missing(notes.Notes, found) {
			list = append(list, host)
		}
	}
	slices.Sort(list)
	return list
}

// readPages reads the newest page of each host among those in the store and the copies
// at this host and the other keepers. All keepers must respond, because any of them may
// hold the newest page.
func (o *Owner) readPages(ctx context.Context) (*readPages, error) {
	entries, _, err := o.options.Store.List(ctx, "")
	if err != nil {
		return nil, fmt.Errorf("read budget records from the store: %w", err)
	}
	r := &readPages{newest: map[model.HostID]page{}, stored: map[model.HostID]storedPage{}}
	for _, e := range entries {
		host := model.HostID(e.Key)
		if err := r.merge(host, e.Value); err != nil {
			return nil, err
		}
		r.stored[host] = storedPage{page: r.newest[host], version: e.Version}
	}
	copies, err := o.fetchCopies(ctx)
	if err != nil {
		return nil, err
	}
	for _, c := range copies {
		if err := r.merge(model.HostID(c.GetHost()), c.GetValue()); err != nil {
			return nil, err
		}
	}
	o.raiseSequence(max(r.newest[o.options.Host].Sequence, r.newest[o.firstTurnsName()].Sequence))
	return r, nil
}

func (r *readPages) merge(host model.HostID, value []byte) error {
	var p page
	if err := json.Unmarshal(value, &p); err != nil {
		return fmt.Errorf("parse budget records of host %q: %w", host, err)
	}
	if known, ok := r.newest[host]; !ok || p.Sequence > known.Sequence {
		r.newest[host] = p
	}
	return nil
}

// deleteExpiredPages deletes the pages of hosts that have been absent for so long that
// the pages say nothing about programs that may continue. A host that has become a
// member since the pages were read has written its page again, so that the deletion
// fails.
func (o *Owner) deleteExpiredPages(ctx context.Context, r *readPages) {
	members := map[model.HostID]bool{o.options.Host: true}
	for _, k := range o.options.Keepers() {
		members[k.Host] = true
	}
	var absent []turn.Absence
	for host, p := range r.stored {
		if !members[host] {
			absent = append(absent, turn.Absence{Host: host, Version: p.version})
		}
	}
	o.mu.Lock()
	expired := o.absences.Observe(o.options.Clock.Now(), absent)
	o.mu.Unlock()
	for _, a := range expired {
		err := o.options.Store.Delete(ctx, string(a.Host), a.Version)
		if err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict) {
			o.options.Log.Warn("failed to delete the budget records of an absent host", "peer", a.Host, "error", err)
			continue
		}
		o.options.Log.Info("deleted the budget records of an absent host", "peer", a.Host)
	}
}
