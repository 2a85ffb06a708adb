package follow

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"mimosarelay/app/conversations"
	"mimosarelay/core/conversation"
	"mimosarelay/core/health"
	"mimosarelay/core/loadboard"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/presence"
	"mimosarelay/core/store"
	"mimosarelay/io/peer/peerpb"
)

// Fleet is the membership in the fleet, as a keeper sees it.
type Fleet interface {
	MayAct() bool
	StoreAway() bool
	View() member.Record
}

// Limiter admits requests within the share of the limits that a keeper holds.
type Limiter interface {
	Admit(ctx context.Context, workspace model.WorkspaceID) error
}

// Turns is the part of a keeper that keeps turns of conversations.
type Turns interface {
	// Disks returns the disks that may hold turns, and a version of the list.
	Disks() ([]conversation.Disk, uint64)
	// Accepts reports whether this keeper stores new turns; if begins is set, the first
	// turns of conversations.
	Accepts(begins bool) bool
}

// Keeper serves the entry hosts that follow it. It is safe for concurrent use.
type Keeper struct {
	Fleet  Fleet
	Limits Limiter
	// Learn receives the limits that entry hosts know; nil to ignore them.
	Learn func(model.WorkspaceID, *peerpb.KnownLimit)
	// Turns keeps turns of conversations; nil if this keeper does not.
	Turns Turns
	Clock clockwork.Clock

	mu           sync.Mutex // guards the fields below
	registry     presence.Registry
	listedAt     time.Time // when the list of hosts was last refreshed
	hosts        []*peerpb.EntryHost
	hostsVersion uint64
	suspects     []*peerpb.StoredEntry // requests that crash targets
	// suspectsVersion is a hash of suspects.
	suspectsVersion uint64
	outcomes        *health.Aggregator // nil until a host reports outcomes
	loads           *loadboard.Board   // nil until a host reports loads
}

// SuspectsChanged applies the stored requests that crash targets, which entry hosts
// get from keepers.
func (k *Keeper) SuspectsChanged(entries []store.Entry) {
	h := xxhash.New()
	list := make([]*peerpb.StoredEntry, 0, len(entries))
	for _, e := range entries {
		list = append(list, &peerpb.StoredEntry{Key: e.Key, Value: e.Value, Version: uint64(e.Version)})
		_, _ = h.WriteString(e.Key)
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(e.Version)))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.suspects, k.suspectsVersion = list, max(1, h.Sum64())
}

// addSuspects adds to a response which requests crash targets.
func (k *Keeper) addSuspects(res *peerpb.FollowResponse, known uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	res.SuspectsVersion = k.suspectsVersion
	if k.suspectsVersion != known {
		res.Suspects = k.suspects
	}
}

// hostListInterval is how long a keeper answers with the same list of entry hosts
// while no host changes. Without it, the work for each message would grow with the
// number of hosts.
const hostListInterval = presence.Interval / 5

// HandleFollow serves the RPC Follow.
func (k *Keeper) HandleFollow(_ context.Context, r *peerpb.FollowRequest) (*peerpb.FollowResponse, error) {
	self := r.GetSelf()
	if self.GetHost() == "" || self.GetPeerAddress() == "" {
		return nil, fmt.Errorf("follow request does not name its host and peer address: %w", model.ErrBadRequest)
	}
	record := k.Fleet.View()
	res := &peerpb.FollowResponse{Acting: k.Fleet.MayAct()}
	if uint64(record.Epoch) > r.GetKnownEpoch() {
		data, err := record.Encode()
		if err != nil {
			return nil, err
		}
		res.Record = data
	}
	hosts, version := k.updateHost(decodeHost(self))
	res.HostsVersion = version
	if version != r.GetKnownHosts() {
		res.Hosts = hosts
	}
	k.addDisks(res, r.GetKnownDisks())
	k.addSuspects(res, r.GetKnownSuspects())
	k.addOutcomes(k.Clock.Now(), r, res)
	k.addLoads(k.Clock.Now(), r, res)
	return res, nil
}

// addDisks adds to a response which disks may hold turns of conversations.
func (k *Keeper) addDisks(res *peerpb.FollowResponse, known uint64) {
	if k.Turns == nil {
		return
	}
	disks, version := k.Turns.Disks()
	res.DisksVersion, res.AcceptsTurns, res.AcceptsConversations = version, k.Turns.Accepts(false), k.Turns.Accepts(true)
	if version == known {
		return
	}
	for _, d := range disks {
		res.Disks = append(res.Disks, conversations.EncodeDisk(d))
	}
}

// updateHost records a message of an entry host and returns the hosts that callers
// may use.
func (k *Keeper) updateHost(h presence.Host) (hosts []*peerpb.EntryHost, version uint64) {
	storeAway := k.Fleet.StoreAway()
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if changed := k.registry.Update(now, h); changed || now.Sub(k.listedAt) >= hostListInterval {
		k.refreshHostsLocked(now, storeAway)
	}
	return k.hosts, k.hostsVersion
}

// refreshHostsLocked makes a new list of the live hosts. Hosts that cannot reach the
// store are left out unless this keeper cannot reach it either (storeAway). mu is
// held.
func (k *Keeper) refreshHostsLocked(now time.Time, storeAway bool) {
	var list []presence.Host
	for _, h := range k.registry.Live(now) {
		if storeAway || !h.StoreAway {
			h.StoreAway = false // followers do not use it, so it must not change the version
			list = append(list, h)
		}
	}
	k.listedAt = now
	if v := presence.Version(list); v != k.hostsVersion {
		k.hostsVersion, k.hosts = v, make([]*peerpb.EntryHost, 0, len(list))
		for _, h := range list {
			k.hosts = append(k.hosts, encodeHost(h))
		}
	}
}

// admitDecisionTimeout bounds the time in which a keeper decides on a request. It
// exceeds the time that a request waits for a token.
const admitDecisionTimeout = 300 * time.Millisecond

// HandleAdmit serves the RPC Admit.
func (k *Keeper) HandleAdmit(ctx context.Context, r *peerpb.AdmitRequest) (*peerpb.AdmitResponse, error) {
	if !k.Fleet.MayAct() {
		return &peerpb.AdmitResponse{}, nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, k.Clock, admitDecisionTimeout)
	defer cancel()
	workspace := model.WorkspaceID(r.GetWorkspace())
	if k.Learn != nil {
		k.Learn(workspace, r.GetKnown())
	}
	err := k.Limits.Admit(ctx, workspace)
	if err == nil {
		return &peerpb.AdmitResponse{Outcome: peerpb.AdmitResponse_GRANTED}, nil
	}
	var refusal *model.Refusal
	if errors.As(err, &refusal) && errors.Is(err, model.ErrRateLimited) {
		return &peerpb.AdmitResponse{Outcome: peerpb.AdmitResponse_LIMITED, RetryAfterUs: refusal.RetryAfter.Microseconds()}, nil
	}
	return &peerpb.AdmitResponse{}, nil // UNAVAILABLE; the entry host logs the refusal that it sends to its caller
}

func encodeHost(h presence.Host) *peerpb.EntryHost {
	return &peerpb.EntryHost{
		Host: string(h.Host), CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, Leaving: h.Leaving, StoreAway: h.StoreAway,
	}
}

func decodeHost(m *peerpb.EntryHost) presence.Host {
	return presence.Host{
		Host: model.HostID(m.GetHost()), CallerAddress: m.GetCallerAddress(), PeerAddress: m.GetPeerAddress(),
		Leaving: m.GetLeaving(), StoreAway: m.GetStoreAway(),
	}
}
