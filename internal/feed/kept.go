package feed

import (
	"context"
	"time"
)

const (
	// keptPeers is the number of VMs of the zone that a starting VM asks for the items that they keep in force; it asks some of other
	// zones as well.
	keptPeers = 2
	// keptQuestions is how often it asks, keptInterval the time between: the others may still be reading a restored store.
	keptQuestions = 5
	keptInterval  = time.Second
)

// requestKept asks a few VMs what they keep in force, since the store may hold less than they know. Run calls it at each tick; it asks
// keptQuestions times from the end of the first full scan on.
func (c *Controller) requestKept(now time.Time) {
	if !c.completed || c.keptAsked >= keptQuestions || now.Before(c.nextKept) {
		return
	}
	c.keptAsked++
	c.nextKept = now.Add(keptInterval)
	peers := ZonePeers(c.opts.Self.VM, c.opts.Self.Zone, c.members)
	peers = append(peers[:min(len(peers), keptPeers)], c.nextRemotePeers()...)
	if len(peers) > 0 {
		c.send(Update{From: c.revision, Request: true, WantsKept: true}, peers...)
	}
}

// replyKept tells a VM of the same era which items are kept in force because they were written later. Without any it says nothing. The
// handler of packetMessage calls it.
func (c *Controller) replyKept(u Update) {
	if u.Era != c.era {
		return
	}
	var kept []KeptItem
	for _, k := range c.kept {
		if !k.until.IsZero() {
			continue
		}
		i := KeptItem{Item: k.inForce}
		if !k.found.Deleted {
			i.Found = k.found.Revision
		}
		kept = append(kept, i)
	}
	if len(kept) > 0 {
		c.send(Update{From: c.revision, To: c.revision, Kept: kept}, u.Address)
	}
}

// adoptKept puts the items into force that a peer keeps, as far as this VM finds the same in the store. The handler of packetMessage calls
// it.
func (c *Controller) adoptKept(ctx context.Context, items []KeptItem) {
	for _, i := range items {
		found, ok := c.replica.items[i.Key]
		if !ok {
			found = Item{Key: i.Key, Deleted: true, Era: c.era}
		}
		revision := found.Revision
		if found.Deleted {
			revision = 0
		}
		_, kept := c.kept[i.Key]
		if kept || revision != i.Found || c.receiver.Compare(i.Item, found) != PrecedenceHeld {
			continue
		}
		c.kept[i.Key] = keptItem{inForce: i.Item, found: found}
		c.log.Info("item of the restored store not applied", "key", i.Key, "revision", revision, "missing", found.Deleted,
			"in_force", i.Revision, "newer", true, "from", "peer")
		c.receiver.Apply(ctx, i.Item)
	}
}
