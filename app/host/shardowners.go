package host

import (
	"math/rand/v2"
	"sync"

	"mimosarelay/core/member"
	"mimosarelay/core/model"
)

// owners implements relay.Owners and caller.Hosts from the membership.
type owners struct {
	host    *Host
	mu      sync.Mutex    // guards changed
	changed chan struct{} // closed and replaced when the epoch changes
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

// Addresses implements caller.Hosts. The zone of this host does not matter to
// callers, so it returns all hosts that are not leaving, in random order to
// spread the callers.
func (o *owners) Addresses() []string {
	var addresses []string
	for _, m := range o.host.fleet.View().Members {
		if m.Leaving || m.Host == o.host.settings.Host.Name && o.host.draining.Load() {
			continue
		}
		addresses = append(addresses, m.CallerAddress)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}
