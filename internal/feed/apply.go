package feed

import (
	"context"
	"encoding/json"
	"slices"
	"time"
)

// apply applies the changes of a watch or of a peer's update. The handlers of these messages call it.
func (c *Controller) apply(ctx context.Context, items []Item) {
	for _, i := range items {
		c.applyItem(ctx, i)
	}
	c.updateRanks(ctx)
	c.tellZoneMembers(ctx)
}

// applyItem stores an item in the replica unless that has the same or a newer one. Members and the secret are kept here, all
// other items go to the receiver. It is called for each item that was written in the replica's era.
func (c *Controller) applyItem(ctx context.Context, i Item) {
	i.Era = c.era
	if !c.replica.Put(i) || c.applyOwn(i) {
		return
	}
	delete(c.kept, i.Key)
	delete(c.previous, i.Key)
	c.receiver.Apply(ctx, i)
}

// applyScanned is applyItem for an item of a full scan. After a restore of the store it may be older than the one in force, which is kept
// then.
func (c *Controller) applyScanned(ctx context.Context, i Item) {
	held, known := c.previous[i.Key]
	if !known {
		c.applyItem(ctx, i)
		return
	}
	i.Era = c.era
	if c.replica.Put(i) && !c.applyOwn(i) && !c.keep(held, i, time.Now()) {
		c.receiver.Apply(ctx, i)
	}
}

// applyOwn takes in an item of a member or of the secret, and returns false for any other. A member record that can't be decoded or names
// another VM is logged and ignored.
func (c *Controller) applyOwn(i Item) bool {
	name, isMember := memberName(i.Key)
	switch {
	case isMember && i.Deleted:
		delete(c.members, name)
	case isMember:
		var m Member
		if err := json.Unmarshal(i.Value, &m); err != nil || m.VM != name {
			c.log.Info("invalid member record", "key", i.Key)
			return true
		}
		c.members[name] = m
	case i.Key == secretKey && !i.Deleted:
		c.secret, c.secretMissing = i.Value, false
	default:
		return false
	}
	return true
}

// updateRanks computes the VM's ranks anew; it is called when members may have changed.
func (c *Controller) updateRanks(ctx context.Context) {
	if r := Rank(c.opts.Self.VM, "", c.members); r != c.fleetRank {
		c.fleetRank = r
		c.receiver.SetFleetRank(ctx, r)
	}
	rank := Rank(c.opts.Self.VM, c.opts.Self.Zone, c.members)
	if rank != c.zoneRank {
		c.zoneRank = rank
		c.log.Info("zone rank changed", "rank", rank, "members", len(c.members))
	}
}

// tellZoneMembers tells the receiver the VMs of the zone if they have changed, and not before the replica is complete. It is called
// when members may have changed.
func (c *Controller) tellZoneMembers(ctx context.Context) {
	if !c.completed {
		return
	}
	names := ZoneMembers(c.opts.Self.Zone, c.members)
	if c.zoneMembers != nil && slices.Equal(names, c.zoneMembers) {
		return
	}
	c.zoneMembers = names
	c.receiver.SetZoneMembers(ctx, names)
}
