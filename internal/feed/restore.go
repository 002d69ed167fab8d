package feed

import (
	"context"
	"maps"
	"time"

	"cornelmux/internal/task"
)

// The store may be restored from a backup. Its era rises then, its revisions go back and are given out again, and what was written after
// the backup is lost until its writers write it again. A VM reads the store anew in each era. Meanwhile it goes on with what was in force
// wherever that was written after what the store holds now.

const (
	// rewriteTimeout is how long after a restore an item stays in force that the restored store doesn't have, if nothing tells which of
	// the two was written last.
	rewriteTimeout = 10 * time.Second
	// keptPeers is the number of VMs of the zone that a starting VM asks for the items that they keep in force; it asks some of other
	// zones as well.
	keptPeers = 2
	// maxEraStep is the greatest rise of the era that is believed.
	maxEraStep = 1000
)

// Precedence tells which of two items of a key was written last.
type Precedence int

// Values of Precedence. PrecedenceHeld is for the item in force, PrecedenceFound for the one that the restored store holds.
const (
	PrecedenceUnknown Precedence = iota
	PrecedenceHeld
	PrecedenceFound
)

// eraOrder is how the era of an answer lies to the one known.
type eraOrder int

const (
	eraSame eraOrder = iota
	eraOlder
	eraNewer
)

// compareEras compares the era of an answer with the one known. An answer that tells none, or one that can't be right, counts as one of
// the era known.
func compareEras(known, seen uint64) eraOrder {
	switch {
	case !plausibleEra(known, seen) || seen == known:
		return eraSame
	case seen < known:
		return eraOlder
	default:
		return eraNewer
	}
}

// plausibleEra reports whether an answer tells an era that can be right.
func plausibleEra(known, seen uint64) bool {
	return seen != 0 && (known == 0 || seen < known || seen-known <= maxEraStep)
}

// logUnknownEra logs the first answer without a plausible era after one that had it.
func (c *Controller) logUnknownEra(seen uint64, order eraOrder) {
	unknown := c.era != 0 && order == eraSame && seen != c.era
	if unknown && !c.eraUnknown {
		c.log.Info("answer of the store without a plausible era, counted as the present one", "era", c.era, "told", seen)
	}
	c.eraUnknown = unknown
}

// keptItem is an item that stays in force after a restore, in place of the one found in the restored store.
type keptItem struct {
	inForce Item
	found   Item
	// until is when found comes into force; zero if inForce was written later, so that only another write replaces it.
	until time.Time
}

// beginEra begins an era with an empty replica. What was in force stays so, until the items of the era are applied. It is called for the
// first full scan of an era, from the store or from a peer.
func (c *Controller) beginEra(ctx context.Context, era, revision uint64, from string) {
	if c.completed {
		c.log.Info("store was restored from a backup", "era", era, "before", c.era, "revision", revision, "revision_before", c.revision, "from", from)
		c.restores++
		c.previous = c.inForce()
		c.receiver.SetRestored(ctx)
	}
	c.era, c.revision, c.replica = era, 0, NewReplica()
	c.forwarded, c.kept = nil, map[string]keptItem{}
	c.creatingSecret, c.secretDueAt = false, time.Time{}
	c.outbox.Reset()
}

// inForce returns the items that the receiver goes by, tombstones included. beginEra calls it.
func (c *Controller) inForce() map[string]Item {
	items := map[string]Item{}
	maps.Copy(items, c.previous) // of an era whose scan was never completed
	maps.Copy(items, c.replica.items)
	for key, k := range c.kept {
		items[key] = k.inForce
	}
	return items
}

// keep reports whether the item held stays in force, and notes that. applyScanned and finishRestore call it for the items of a restored
// store. A backup has no item of the key that is older than the one held but for one of a lower revision, so an item of a higher revision
// was written later.
func (c *Controller) keep(held, found Item, now time.Time) bool {
	if !found.Deleted && found.Revision > held.Revision {
		return false
	}
	k := keptItem{inForce: held, found: found}
	switch c.receiver.Compare(held, found) {
	case PrecedenceFound:
		return false
	case PrecedenceUnknown:
		k.until = now.Add(rewriteTimeout)
	}
	c.kept[held.Key] = k
	c.log.Info("item of the restored store not applied", "key", held.Key, "revision", found.Revision, "missing", found.Deleted,
		"in_force", held.Revision, "newer", k.until.IsZero())
	return true
}

// finishRestore ends the first full scan of an era: it passes on that keys in force are missing, unless they are kept. listed holds the
// store's keys. In a later full scan it releases the kept items whose keys changed since. finishScan calls it.
func (c *Controller) finishRestore(ctx context.Context, listed map[string]bool) {
	if c.previous == nil {
		c.releaseChanged(ctx)
		return
	}
	now := time.Now()
	for key, held := range c.previous {
		_, isMember := memberName(key)
		if held.Deleted || listed[key] || isMember || key == secretKey {
			continue
		}
		missing := Item{Key: key, LastValue: held.Value, Revision: c.revision, Deleted: true, Era: c.era}
		if !c.keep(held, missing, now) {
			c.receiver.Apply(ctx, missing)
		}
	}
	c.log.Info("items of the restored store applied", "era", c.era, "keys", len(listed), "kept", len(c.kept))
	c.previous = nil
	c.sendLease()
}

// releaseChanged applies the items of keys that were written or deleted since their items were kept.
func (c *Controller) releaseChanged(ctx context.Context) {
	for key, k := range c.kept {
		i, ok := c.replica.items[key]
		if ok && i.Revision != k.found.Revision {
			delete(c.kept, key)
			c.receiver.Apply(ctx, i)
		}
	}
}

// releaseOverdue puts the items of the restored store into force that weren't written again in time. Run calls it at each tick.
func (c *Controller) releaseOverdue(ctx context.Context, now time.Time) {
	for key, k := range c.kept {
		if k.until.IsZero() || now.Before(k.until) {
			continue
		}
		delete(c.kept, key)
		c.log.Info("item of the restored store in force, as nothing else was written", "key", key, "revision", k.found.Revision, "missing", k.found.Deleted)
		c.receiver.Apply(ctx, k.found)
	}
}

// keysInForce returns the store's keys as far as their items are in force, with those of kept items.
func (c *Controller) keysInForce(listed map[string]bool) []string {
	var keys []string
	for key := range listed {
		if _, kept := c.kept[key]; !kept {
			keys = append(keys, key)
		}
	}
	for key, k := range c.kept {
		if !k.inForce.Deleted {
			keys = append(keys, key)
		}
	}
	return keys
}

// requestKept asks a few VMs what they keep in force, since the store may hold less than they know. It is called once the first full scan
// is complete.
func (c *Controller) requestKept() {
	peers := ZonePeers(c.opts.Self.VM, c.opts.Self.Zone, c.members)
	peers = append(peers[:min(len(peers), keptPeers)], c.nextRemotePeers()...)
	if len(peers) > 0 {
		c.send(Update{Request: true, WantsKept: true}, peers...)
	}
}

// replyKept tells a VM of the same era which items are kept in force because they were written later. Without any it says nothing. The
// handler of packetMessage calls it.
func (c *Controller) replyKept(u Update) {
	if u.Era != c.era {
		return
	}
	var kept []ToldKeptItem
	for _, k := range c.kept {
		if !k.until.IsZero() {
			continue
		}
		told := ToldKeptItem{Item: k.inForce}
		if !k.found.Deleted {
			told.Found = k.found.Revision
		}
		kept = append(kept, told)
	}
	if len(kept) > 0 {
		c.send(Update{From: c.revision, To: c.revision, Kept: kept}, u.Address)
	}
}

// adoptKept puts the items into force that a peer keeps, as far as this VM finds the same in the store. The handler of packetMessage calls
// it.
func (c *Controller) adoptKept(ctx context.Context, told []ToldKeptItem) {
	for _, t := range told {
		found, ok := c.replica.items[t.Key]
		if !ok {
			found = Item{Key: t.Key, Deleted: true, Era: c.era}
		}
		revision := found.Revision
		if found.Deleted {
			revision = 0
		}
		_, kept := c.kept[t.Key]
		if kept || revision != t.Found || c.receiver.Compare(t.Item, found) != PrecedenceHeld {
			continue
		}
		c.kept[t.Key] = keptItem{inForce: t.Item, found: found}
		c.log.Info("item of the restored store not applied", "key", t.Key, "revision", revision, "missing", found.Deleted,
			"in_force", t.Revision, "newer", true, "from", "peer")
		c.receiver.Apply(ctx, t.Item)
	}
}

// followEra takes in a peer's whole replica of a later era, or asks for it. If none comes within the silence timeout, the store is read.
// The handler of packetMessage calls it.
func (c *Controller) followEra(ctx context.Context, u Update) {
	if !plausibleEra(c.era, u.Era) {
		c.log.Info("update of an implausible era dropped", "vm", u.VM, "era", c.era, "told", u.Era)
		return
	}
	if u.From == 0 && len(u.Keys) > 0 {
		c.noteApplied(u.Number)
		c.applyReplica(ctx, u)
		return
	}
	now := time.Now()
	if now.Sub(c.lastRequestAt) >= requestInterval {
		c.lastRequestAt = now
		c.send(Update{From: c.revision, Request: true}, u.Address)
	}
	if c.missingSince.IsZero() {
		c.missingSince = now
		c.synced, c.scanKeys, c.requireFresh = false, nil, true
		c.nextRead = now.Add(jitter(c.timing.Silence))
	}
}

// applyReplica takes in a peer's whole replica of a later era in place of a full scan.
func (c *Controller) applyReplica(ctx context.Context, u Update) {
	c.beginEra(ctx, u.Era, u.To, u.VM)
	for _, i := range u.Items {
		c.applyScanned(ctx, i)
	}
	c.synced, c.revision, c.scanKeys = true, u.To, u.Keys
	c.replica.BeginAt(u.To)
	c.finishScan(ctx, nil)
	c.markCurrent(ctx)
}

// sendLease passes the lease of the VM's member key in the store on to the registration; 0 if there is none. It is called for the first
// full scan of each era.
func (c *Controller) sendLease() {
	lease := uint64(0)
	if i := c.replica.items[memberPrefix+c.opts.Self.VM]; !i.Deleted && c.members[c.opts.Self.VM] == c.opts.Self {
		lease = i.Lease
	}
	select {
	case <-c.leases: // one of an earlier era, which no longer counts
	default:
	}
	c.leaseSent = true
	_ = task.Tell(c.leases, lease) // there is room: only this goroutine sends
}

// RestoreStatus tells of the restores of the store that this VM knows.
type RestoreStatus struct {
	// Era is the store's era that the VM goes by; 0 if the store doesn't tell.
	Era uint64
	// Restores counts the later eras that the VM began since its start.
	Restores int
	// Kept is the number of items that stay in force in place of the restored store's.
	Kept int
}

// restoreStatusMessage asks for the status.
type restoreStatusMessage struct{ reply chan<- RestoreStatus }

// RestoreStatus returns what this VM knows of restores. The metrics ask for it at each scrape.
func (c *Controller) RestoreStatus(ctx context.Context) (RestoreStatus, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- RestoreStatus) message { return restoreStatusMessage{reply} })
}

func (m restoreStatusMessage) handle(_ context.Context, c *Controller) {
	m.reply <- RestoreStatus{c.era, c.restores, len(c.kept)}
}
