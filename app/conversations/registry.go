package conversations

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"mimosarelay/core/conversation"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// RegistryPrefix is the prefix of the keys that list the disks which may hold turns.
// A disk stays listed while its host is down, so that a turn is reported as missing
// only if all disks that may hold it have been asked.
const RegistryPrefix = "TurnDisk/"

const (
	// registryTimeout limits one call of the store.
	registryTimeout = time.Second
	// lostDiskDelay is how long a listed disk must have had no member of the fleet
	// before it counts as lost, so that the members know of the change.
	lostDiskDelay = time.Second
)

// registeredDisk is a disk in the list with the version of its key.
type registeredDisk struct {
	conversation.Disk
	version store.Version
}

// RegistryChanged applies the entries under RegistryPrefix.
func (k *Keeper) RegistryChanged(entries []store.Entry) {
	registry := map[model.HostID]registeredDisk{}
	for _, e := range entries {
		var d conversation.Disk
		host := model.HostID(strings.TrimPrefix(e.Key, RegistryPrefix))
		if err := json.Unmarshal(e.Value, &d); err != nil || d.Host != host || d.ID == "" {
			k.options.Log.Error("invalid entry in the list of disks", "key", e.Key, "error", err)
			// An unknown disk may hold any turn: it answers no request, so that no
			// turn is reported as missing.
			d = conversation.Disk{Host: host}
		}
		registry[host] = registeredDisk{d, e.Version}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registry = registry
	k.registered = registry[k.options.Self.Host].Disk == k.selfLocked()
}

// selfLocked returns this disk. mu is held.
func (k *Keeper) selfLocked() conversation.Disk {
	d := k.options.Self
	d.ID = k.identity.ID
	return d
}

// Disks returns the listed disks, sorted by host, and a version of the list.
func (k *Keeper) Disks() (list []conversation.Disk, version uint64) {
	k.mu.Lock()
	for _, d := range k.registry {
		list = append(list, d.Disk)
	}
	k.mu.Unlock()
	slices.SortFunc(list, func(a, b conversation.Disk) int { return strings.Compare(string(a.Host), string(b.Host)) })
	h := xxhash.New()
	for _, d := range list {
		_, _ = h.WriteString(string(d.Host) + "\x00" + string(d.Zone) + "\x00" + d.PeerAddress + "\x00" + d.ID + "\x00")
	}
	return list, max(1, h.Sum64())
}

// register lists this disk, in place of a previous disk of this host.
func (k *Keeper) register(ctx context.Context) {
	k.mu.Lock()
	done := k.registered || k.leaving
	self, listed := k.selfLocked(), k.registry[k.options.Self.Host]
	version, previous := listed.version, listed.ID
	k.mu.Unlock()
	if done {
		return
	}
	value, err := json.Marshal(self)
	if err != nil {
		k.options.Log.Error("failed to encode the entry of this disk", "error", err)
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, k.options.Clock, registryTimeout)
	defer cancel()
	version, err = k.options.Store.Put(ctx, RegistryPrefix+string(self.Host), value, version)
	switch {
	case errors.Is(err, store.ErrConflict):
		return // the watch of the list brings the newer version
	case err != nil:
		if ctx.Err() == nil {
			k.options.Log.Warn("failed to list this disk in the store", "disk", self.ID, "error", err)
		}
		return
	}
	k.mu.Lock()
	k.registry[self.Host] = registeredDisk{self, version}
	k.registered = true
	k.mu.Unlock()
	k.options.Log.Info("disk listed", "disk", self.ID, "replaces", previous)
	if previous == "" {
		k.setWhole() // no disk of this host has lost turns
	}
}

// unregister takes a disk from the list.
func (k *Keeper) unregister(ctx context.Context, d registeredDisk) error {
	ctx, cancel := clockwork.WithTimeout(ctx, k.options.Clock, registryTimeout)
	defer cancel()
	err := k.options.Store.Delete(ctx, RegistryPrefix+string(d.Host), d.version)
	if err != nil {
		return err
	}
	k.mu.Lock()
	if k.registry[d.Host].version == d.version {
		delete(k.registry, d.Host)
	}
	k.mu.Unlock()
	return nil
}

// observeLost records how long listed disks have had no member of the fleet.
func (k *Keeper) observeLost(members []conversation.Disk) {
	now := k.options.Clock.Now()
	isMember := map[model.HostID]bool{}
	for _, m := range members {
		isMember[m.Host] = true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !isMember[k.options.Self.Host] {
		k.lostSince = map[string]time.Time{} // the membership that this host knows may be old
		return
	}
	since := map[string]time.Time{}
	for _, d := range k.registry {
		if isMember[d.Host] {
			continue
		}
		since[d.ID] = now
		if t, ok := k.lostSince[d.ID]; ok {
			since[d.ID] = t
		}
	}
	k.lostSince = since
}

// isLostLocked reports whether a disk has had no member of the fleet for
// lostDiskDelay. mu is held.
func (k *Keeper) isLostLocked(d conversation.Disk) bool {
	since, ok := k.lostSince[d.ID]
	return ok && k.options.Clock.Since(since) >= lostDiskDelay
}

// unregisterLost takes lost disks from the list when all other disks are whole and have
// copied the turns that they should hold since, and if fewer disks are lost than hold
// each turn: then each turn of a lost disk is on enough others. The first member does
// this.
func (k *Keeper) unregisterLost(ctx context.Context, members []conversation.Disk) {
	first := slices.MinFunc(members, func(a, b conversation.Disk) int { return strings.Compare(string(a.Host), string(b.Host)) })
	if first.Host != k.options.Self.Host {
		return
	}
	for _, d := range k.removableDisks(newPlacementID(members)) {
		if err := k.unregister(ctx, d); err != nil {
			k.options.Log.Warn("failed to take a lost disk from the list", "disk", d.ID, "host", d.Host, "error", err)
			return
		}
		k.options.Log.Info("lost disk taken from the list", "disk", d.ID, "host", d.Host)
	}
}

// removableDisks returns the lost disks if they may be taken from the list.
func (k *Keeper) removableDisks(placement placementID) []registeredDisk {
	k.mu.Lock()
	defer k.mu.Unlock()
	var lost []registeredDisk
	for _, d := range k.registry {
		switch {
		case k.isLostLocked(d.Disk):
			lost = append(lost, d)
		case !k.isWholeLocked(d.Disk) || k.settledLocked(d.Disk) != placement:
			return nil
		}
	}
	if len(lost) >= k.options.Copies {
		return nil
	}
	return lost
}

// isWholeLocked reports whether a disk was whole when its host last answered. mu is
// held.
func (k *Keeper) isWholeLocked(d conversation.Disk) bool {
	if d.Host == k.options.Self.Host {
		return k.identity.Whole && k.registered
	}
	p := k.peers[d.ID]
	return p != nil && p.whole
}

// settledLocked returns for which keepers a disk has all turns that it should hold, as
// its host last answered. mu is held.
func (k *Keeper) settledLocked(d conversation.Disk) placementID {
	if d.Host == k.options.Self.Host {
		return k.settled
	}
	if p := k.peers[d.ID]; p != nil {
		return p.settled
	}
	return 0
}
