package follow

import (
	"slices"

	"mimosarelay/app/conversations"
	"mimosarelay/core/conversation"
	"mimosarelay/io/peer/peerpb"
)

// applyDisks records what a keeper says about the disks that hold turns of
// conversations.
func (k *contact) applyDisks(res *peerpb.FollowResponse) {
	k.acceptsTurns, k.acceptsConversations = res.GetAcceptsTurns(), res.GetAcceptsConversations()
	if res.GetDisksVersion() == k.disksVersion {
		return
	}
	k.disksVersion, k.disks = res.GetDisksVersion(), make([]conversation.Disk, 0, len(res.GetDisks()))
	for _, d := range res.GetDisks() {
		k.disks = append(k.disks, conversations.DecodeDisk(d))
	}
}

// TurnKeepers returns the keepers that hold turns of conversations. A disk is listed
// if any keeper lists it.
func (c *Client) TurnKeepers() conversations.Keepers {
	c.mu.Lock()
	defer c.mu.Unlock()
	var result conversations.Keepers
	for _, m := range c.keepers {
		k := c.contacts[m.PeerAddress]
		for _, d := range k.disks {
			if !slices.Contains(result.Disks, d) {
				result.Disks = append(result.Disks, d)
			}
		}
		if m.Leaving {
			continue
		}
		answers := !k.unresponsive && k.answered.Within(contactTTL)
		result.Members = append(result.Members, conversations.KeeperDisk{
			Disk:    conversation.Disk{Host: m.Host, Zone: m.Zone, PeerAddress: m.PeerAddress},
			Accepts: answers && k.acceptsTurns, AcceptsFirst: answers && k.acceptsConversations,
		})
	}
	return result
}
