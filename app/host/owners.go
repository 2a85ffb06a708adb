package host

import (
	"math/rand/v2"
	"sync"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
)

// owners answers the relay's questions about the membership.
type owners struct {
	host    *Host
	mu      sync.Mutex // guards changed
	changed chan struct{}
}

func newOwners(h *Host) *owners {
	return &owners{host: h, changed: make(chan struct{})}
}

// Owner implements relay.Owners.
func (o *owners) Owner(shard model.Shard) (address string, self bool, err error) {
	view := o.host.fleet.View()
	owner, ok := view.Owner(shard)
	if !ok {
		return "", false, model.NewRefusal(model.ErrUnavailable, model.RanNo, "no host owns shard %d", shard)
	}
	return owner.PeerAddress, owner.Host == o.host.settings.Host.Name, nil
}

// Changed implements relay.Owners.
func (o *owners) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

// MayAct implements relay.Owners.
func (o *owners) MayAct() bool { return o.host.fleet.MayAct() }

// ActsFor implements relay.Owners.
func (o *owners) ActsFor(shard model.Shard) bool { return o.host.fleet.ActsFor(shard) }

func (o *owners) epochChanged(_, _ member.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.changed)
	o.changed = make(chan struct{})
}

// Addresses implements caller.Hosts: this host's own zone does not matter to
// callers, so all hosts are listed in random order to spread them.
func (o *owners) Addresses() []string {
	var list []string
	for _, m := range o.host.fleet.View().Members {
		if m.Leaving || m.Host == o.host.settings.Host.Name && o.host.draining.Load() {
			continue
		}
		list = append(list, m.CallerAddress)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
