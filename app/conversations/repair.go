package conversations

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"mimosarelay/app/wait"
	"mimosarelay/core/conversation"
	"mimosarelay/core/model"
	"mimosarelay/io/disk"
	"mimosarelay/io/peer/peerpb"
)

const (
	// syncInterval is the time between two looks at the turns of the other keepers.
	// Copies that are missing after the loss of a disk are back within a few of it.
	syncInterval = 500 * time.Millisecond
	// syncTimeout limits one request to another keeper.
	syncTimeout = time.Second
	// listLimit is the number of turns in one list.
	listLimit = 2000
	// fetchLimit is the number of turns that are requested at a time, and
	// fetchBytes the size of the answer above which the rest is left out. Both
	// keep the connection free for callers.
	fetchLimit = 64
	fetchBytes = 1 << 20
	// lapseInterval is the time between two removals of turns that have lapsed.
	lapseInterval = 5 * time.Second
	// removeLimit is the number of turns that are removed in one write.
	removeLimit = 1000
)

// peerSync is the state of copying from the disk of another keeper.
type peerSync struct {
	placement placementID // when listing began
	log       string
	after     uint64
	// atEnd is set if all turns that this host should hold were copied, as of the
	// last look.
	atEnd bool
	// whole and settled are what the other keeper said of its own disk.
	whole   bool
	settled placementID
}

// placementID identifies the keepers among which turns are distributed.
type placementID uint64

func newPlacementID(members []conversation.Disk) placementID {
	h := xxhash.New()
	for _, m := range members {
		_, _ = h.WriteString(string(m.Host) + "\x00" + string(m.Zone) + "\x00")
	}
	return placementID(max(1, h.Sum64()))
}

// Run copies missing turns from other keepers and removes lapsed ones until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var lapsedAt time.Time
	for wait.For(ctx, k.options.Clock, syncInterval) {
		k.register(ctx)
		if members := k.options.Keepers(); len(members) > 0 {
			k.observeLost(members)
			k.copyMissing(ctx, members)
			k.updateWhole(members)
			k.unregisterLost(ctx, members)
		}
		if now := k.options.Clock.Now(); now.Sub(lapsedAt) >= lapseInterval {
			lapsedAt = now
			k.removeLapsed(now)
		}
		k.reportMetrics()
	}
	return ctx.Err()
}

func (k *Keeper) reportMetrics() {
	k.mu.Lock()
	turns, whole := k.index.Len(), k.identity.Whole
	k.mu.Unlock()
	k.metrics.turns.Update(float64(turns))
	k.metrics.bytes.Update(float64(k.options.Folder.Size()))
	k.metrics.whole.Update(0)
	if whole {
		k.metrics.whole.Update(1)
	}
}

// copyMissing copies the turns that this host should hold from all other disks.
func (k *Keeper) copyMissing(ctx context.Context, members []conversation.Disk) {
	self := k.options.Self.Host
	if !slices.ContainsFunc(members, func(d conversation.Disk) bool { return d.Host == self }) {
		return // turns are not distributed to this host now
	}
	k.mu.Lock()
	leaving := k.leaving
	var others []conversation.Disk
	known := map[string]bool{}
	for _, d := range k.registry {
		if d.Host != self && d.PeerAddress != "" {
			others = append(others, d.Disk)
			known[d.ID] = true
			if k.peers[d.ID] == nil {
				k.peers[d.ID] = &peerSync{}
			}
		}
	}
	for id := range k.peers {
		if !known[id] {
			delete(k.peers, id)
		}
	}
	k.mu.Unlock()
	if leaving {
		return
	}
	var wg sync.WaitGroup
	for _, d := range others {
		wg.Go(func() {
			if err := k.copyFrom(ctx, d, members); err != nil && ctx.Err() == nil {
				k.options.Log.Debug("failed to copy turns from another keeper", "host", d.Host, "disk", d.ID, "error", err)
			}
		})
	}
	wg.Wait()
}

// copyFrom copies the turns that this host should hold from another disk, from where
// the last call stopped.
func (k *Keeper) copyFrom(ctx context.Context, d conversation.Disk, members []conversation.Disk) error {
	k.mu.Lock()
	p := k.peers[d.ID]
	if placement := newPlacementID(members); p.placement != placement {
		*p = peerSync{placement: placement, whole: p.whole, settled: p.settled}
	}
	state := *p
	k.mu.Unlock()
	request := &peerpb.ListTurnsRequest{Host: string(k.options.Self.Host), Copies: uint32(k.options.Copies), Log: state.log, After: state.after}
	for _, m := range members {
		request.Keepers = append(request.Keepers, EncodeDisk(m))
	}
	for ctx.Err() == nil {
		res, err := k.listTurns(ctx, d.PeerAddress, request)
		if err == nil {
			err = k.copyListed(ctx, d, res.GetTurns())
		}
		k.mu.Lock()
		if err != nil {
			p.atEnd = false
			k.mu.Unlock()
			return err
		}
		p.log, p.after, p.atEnd = res.GetLog(), res.GetNext(), !res.GetMore()
		p.whole, p.settled = res.GetWholeDisk(), placementID(res.GetSettled())
		k.mu.Unlock()
		if !res.GetMore() {
			return nil
		}
		request.Log, request.After = res.GetLog(), res.GetNext()
	}
	return ctx.Err()
}

func (k *Keeper) listTurns(ctx context.Context, address string, r *peerpb.ListTurnsRequest) (*peerpb.ListTurnsResponse, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, k.options.Clock, syncTimeout)
	defer cancel()
	return k.options.Peers.ListTurns(ctx, address, r)
}

// copyListed copies the turns of a list that are not on this disk.
func (k *Keeper) copyListed(ctx context.Context, d conversation.Disk, names []*peerpb.TurnName) error {
	k.mu.Lock()
	var missing []*peerpb.TurnName
	for _, n := range names {
		if !k.index.Has(decodeName(n)) {
			missing = append(missing, n)
		}
	}
	k.mu.Unlock()
	if len(missing) > 0 {
		k.options.Log.Info("copying turns from another keeper", "host", d.Host, "disk", d.ID, "turns", len(missing))
	}
	for len(missing) > 0 {
		n, err := k.copyTurns(ctx, d, missing[:min(fetchLimit, len(missing))])
		if err != nil {
			return err
		}
		missing = missing[n:]
	}
	return nil
}

// copyTurns copies some turns and returns how many of them the other keeper looked
// up.
func (k *Keeper) copyTurns(ctx context.Context, d conversation.Disk, names []*peerpb.TurnName) (int, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, k.options.Clock, syncTimeout)
	defer cancel()
	res, err := k.options.Peers.FetchTurns(ctx, d.PeerAddress, &peerpb.FetchTurnsRequest{Turns: names})
	if err != nil {
		return 0, err
	}
	if n := int(res.GetHandled()); n < 1 || n > len(names) {
		return 0, fmt.Errorf("keeper %s handled %d of %d turns", d.Host, n, len(names))
	}
	var records []disk.Record
	var turns []*conversation.Turn
	for _, r := range res.GetRecords() {
		t, err := decodeTurn(r)
		if err != nil {
			return 0, err
		}
		data, err := marshalTurn(t)
		if err != nil {
			return 0, err
		}
		turns = append(turns, t)
		records = append(records, disk.Record{Key: diskKey(t.TurnKey), Data: data})
	}
	if err := k.options.Folder.Append(records); err != nil {
		return 0, err
	}
	k.mu.Lock()
	for _, t := range turns {
		k.index.Add(t)
	}
	k.mu.Unlock()
	k.metrics.copied.Inc(int64(len(turns)))
	return int(res.GetHandled()), nil
}

// HandleListTurns serves the RPC ListTurns.
func (k *Keeper) HandleListTurns(_ context.Context, r *peerpb.ListTurnsRequest) (*peerpb.ListTurnsResponse, error) {
	var members []conversation.Disk
	for _, m := range r.GetKeepers() {
		members = append(members, DecodeDisk(m))
	}
	host := model.HostID(r.GetHost())
	holds := map[conversation.ChainID]bool{}
	accept := func(c conversation.ChainID) bool {
		held, ok := holds[c]
		if !ok {
			held = conversation.Holds(c, members, int(r.GetCopies()), host)
			holds[c] = held
		}
		return held
	}
	after := r.GetAfter()
	if r.GetLog() != k.logID {
		after = 0
	}
	k.mu.Lock()
	keys, next, more := k.index.After(after, listLimit, accept)
	self := k.options.Self.Host
	if r.GetLog() == k.logID && !slices.ContainsFunc(members, func(d conversation.Disk) bool { return d.Host == self }) {
		k.listedTo[host] = after // the sender has copied the turns before this position
	}
	res := &peerpb.ListTurnsResponse{Log: k.logID, Next: next, More: more, WholeDisk: k.identity.Whole && k.registered, Settled: uint64(k.settled)}
	k.mu.Unlock()
	for _, key := range keys {
		res.Turns = append(res.Turns, encodeName(key))
	}
	return res, nil
}

// HandleFetchTurns serves the RPC FetchTurns.
func (k *Keeper) HandleFetchTurns(_ context.Context, r *peerpb.FetchTurnsRequest) (*peerpb.FetchTurnsResponse, error) {
	res := &peerpb.FetchTurnsResponse{}
	size := 0
	for _, n := range r.GetTurns() {
		if size > fetchBytes {
			break
		}
		res.Handled++
		t, err := k.readTurn(decodeName(n))
		if errors.Is(err, disk.ErrNotFound) {
			continue
		}
		if err != nil {
			k.options.Log.Error("failed to read a turn", "request", n.GetId(), "error", err)
			return nil, err
		}
		size += len(t.Input) + len(t.Output)
		res.Records = append(res.Records, encodeTurn(t))
	}
	return res, nil
}

// updateWhole records that this disk has copied the turns that it should hold from all
// other listed disks, and marks it as whole. Lost disks count only if there are so many of them
// that all copies of a turn may have been on them and on disks that are not whole.
func (k *Keeper) updateWhole(members []conversation.Disk) {
	placement := newPlacementID(members)
	k.mu.Lock()
	ready := k.registered && !k.leaving
	unavailable, lost := 1, 0 // this disk is not whole
	for _, d := range k.registry {
		if d.Host == k.options.Self.Host {
			continue
		}
		if k.isLostLocked(d.Disk) {
			lost++
			continue
		}
		if !k.isWholeLocked(d.Disk) {
			unavailable++
		}
		p := k.peers[d.ID]
		ready = ready && p != nil && p.atEnd && p.placement == placement
	}
	k.settled = 0
	if ready {
		k.settled = placement
	}
	k.mu.Unlock()
	if !ready || lost > 0 && unavailable+lost >= k.options.Copies {
		return
	}
	k.setWhole()
}

// setWhole marks this disk as whole.
func (k *Keeper) setWhole() {
	k.mu.Lock()
	id := k.identity
	k.mu.Unlock()
	if id.Whole {
		return
	}
	id.Whole = true
	if err := k.saveIdentity(id); err != nil {
		k.options.Log.Error("failed to store that the disk is whole", "error", err)
		return
	}
	k.mu.Lock()
	k.identity = id
	k.mu.Unlock()
	k.options.Log.Info("disk has all turns that belong on it", "disk", id.ID)
}

// removeLapsed removes the turns that have lapsed.
func (k *Keeper) removeLapsed(now time.Time) {
	k.mu.Lock()
	keys := k.index.RemoveLapsed(now)
	k.mu.Unlock()
	for chunk := range slices.Chunk(keys, removeLimit) {
		records := make([]disk.Record, 0, len(chunk))
		for _, key := range chunk {
			records = append(records, disk.Record{Key: diskKey(key)})
		}
		if err := k.options.Folder.Append(records); err != nil {
			k.options.Log.Error("failed to remove lapsed turns from the disk", "turns", len(chunk), "error", err)
			return
		}
	}
	if len(keys) == 0 {
		return
	}
	k.metrics.lapsed.Inc(int64(len(keys)))
	if err := k.options.Folder.Compact(); err != nil {
		k.options.Log.Error("failed to free the space of lapsed turns", "error", err)
	}
}

// handOverInterval is the time between two checks whether the other keepers have
// copied the turns of a keeper that is leaving.
const handOverInterval = 50 * time.Millisecond

// HandOver stops storing new turns and waits until the other keepers have copied
// those that they should hold. The fleet must have been told before that this host
// is leaving.
func (k *Keeper) HandOver(ctx context.Context) error {
	k.saving.Lock()
	k.mu.Lock()
	k.leaving = true
	k.listedTo = map[model.HostID]uint64{}
	k.mu.Unlock()
	k.saving.Unlock()
	for !k.handedOver() {
		if !wait.For(ctx, k.options.Clock, handOverInterval) {
			return fmt.Errorf("hand over turns: %w", ctx.Err())
		}
	}
	k.mu.Lock()
	self, listed := k.registry[k.options.Self.Host]
	k.mu.Unlock()
	if !listed {
		return nil
	}
	if err := k.unregister(ctx, self); err != nil {
		return fmt.Errorf("take this disk from the list: %w", err)
	}
	return nil
}

// handedOver reports whether all other keepers have copied the turns of this one.
func (k *Keeper) handedOver() bool {
	members := k.options.Keepers()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.index.Len() == 0 {
		return true
	}
	others := 0
	end := k.index.End()
	for _, m := range members {
		if m.Host == k.options.Self.Host {
			return false // the fleet still distributes turns to this host
		}
		others++
		if to, ok := k.listedTo[m.Host]; !ok || to < end {
			return false
		}
	}
	return others > 0
}
