package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/presence"
	"mimosarelay/io/peer/peerpb"
)

// Fleet is the membership of a keeper.
type Fleet interface {
	MayAct() bool
	StoreAway() bool
	View() member.Record
}

// Limiter admits requests by a keeper's share of the limits.
type Limiter interface {
	Admit(ctx context.Context, workspace model.WorkspaceID) error
}

// Keeper serves the entry hosts that follow it. It is safe for concurrent use.
type Keeper struct {
	Fleet  Fleet
	Limits Limiter
	Clock  clockwork.Clock

	mu       sync.Mutex // guards the fields below
	registry presence.Registry
	listed   time.Time // when hosts was made
	hosts    []*peerpb.EntryHost
	version  uint64
}

// listEvery is the time for which a list of the entry hosts is told again. It
// keeps the work per message from growing with the hosts.
const listEvery = presence.Interval / 5

// HandleFollow serves the RPC Follow.
func (k *Keeper) HandleFollow(_ context.Context, r *peerpb.FollowRequest) (*peerpb.FollowResponse, error) {
	self := r.GetSelf()
	if self.GetHost() == "" || self.GetPeerAddress() == "" {
		return nil, fmt.Errorf("follow without host or peer address: %w", model.ErrBadRequest)
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
	hosts, version := k.heard(decode(self))
	res.HostsVersion = version
	if version != r.GetKnownHosts() {
		res.Hosts = hosts
	}
	return res, nil
}

// heard notes a host and lists those that callers may use.
func (k *Keeper) heard(h presence.Host) (hosts []*peerpb.EntryHost, version uint64) {
	away := k.Fleet.StoreAway()
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if changed := k.registry.Update(now, h); changed || now.Sub(k.listed) >= listEvery {
		k.list(now, away)
	}
	return k.hosts, k.version
}

// list makes a new list. Hosts that the store turns away are left out unless this
// keeper does not reach it either. mu is held.
func (k *Keeper) list(now time.Time, away bool) {
	var list []presence.Host
	for _, h := range k.registry.Live(now) {
		if away || !h.StoreAway {
			h.StoreAway = false // changes nothing for followers
			list = append(list, h)
		}
	}
	k.listed = now
	if v := presence.Version(list); v != k.version {
		k.version, k.hosts = v, make([]*peerpb.EntryHost, 0, len(list))
		for _, h := range list {
			k.hosts = append(k.hosts, encode(h))
		}
	}
}

// admitWait bounds the time in which a keeper decides on a request. It exceeds
// the time that a request waits for a token.
const admitWait = 300 * time.Millisecond

// HandleAdmit serves the RPC Admit.
func (k *Keeper) HandleAdmit(ctx context.Context, r *peerpb.AdmitRequest) (*peerpb.AdmitResponse, error) {
	if !k.Fleet.MayAct() {
		return &peerpb.AdmitResponse{}, nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, k.Clock, admitWait)
	defer cancel()
	err := k.Limits.Admit(ctx, model.WorkspaceID(r.GetWorkspace()))
	if err == nil {
		return &peerpb.AdmitResponse{Outcome: peerpb.AdmitResponse_GRANTED}, nil
	}
	var refusal *model.Refusal
	if errors.As(err, &refusal) && errors.Is(err, model.ErrRateLimited) {
		return &peerpb.AdmitResponse{Outcome: peerpb.AdmitResponse_LIMITED, RetryAfterUs: refusal.RetryAfter.Microseconds()}, nil
	}
	return &peerpb.AdmitResponse{}, nil // the sender logs what it tells its caller
}

func encode(h presence.Host) *peerpb.EntryHost {
	return &peerpb.EntryHost{
		Host: string(h.Host), CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, Leaving: h.Leaving, StoreAway: h.StoreAway,
	}
}

func decode(m *peerpb.EntryHost) presence.Host {
	return presence.Host{
		Host: model.HostID(m.GetHost()), CallerAddress: m.GetCallerAddress(), PeerAddress: m.GetPeerAddress(),
		Leaving: m.GetLeaving(), StoreAway: m.GetStoreAway(),
	}
}
