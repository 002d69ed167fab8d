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

// rewriteTimeout is how long after a restore an item stays in force that the restored store doesn't have, if nothing tells which of
// the two was written last.
const rewriteTimeout = 10 * time.Second

// Precedence tells which of two items of a key was written last.
type Precedence int

// Values of Precedence. PrecedenceHeld is for the item in force, PrecedenceFound for the one that the restored store holds.
const (
	PrecedenceUnknown Precedence = iota
	PrecedenceHeld
	PrecedenceFound
)

// keptItem is an item that stays in force after a restore, in place of the one found in the restored store.
type keptItem struct {
	inForce Item
	found   Item
	// until is when found comes into force; zero if inForce was written later, so that only another write replaces it.
	until time.Time
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
// store.
func (c *Controller) keep(held, found Item, now time.Time) bool {
	k := keptItem{inForce: held, found: found}
	switch c.precedence(held, found) {
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

// precedence tells which of two items of a key was written last. If their values don't tell, one of a higher revision was: of what was
// written before the one held, a backup has only items of lower revisions.
func (c *Controller) precedence(held, found Item) Precedence {
	p := c.receiver.Compare(held, found)
	if p == PrecedenceUnknown && !found.Deleted && found.Revision > held.Revision {
		return PrecedenceFound
	}
	return p
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
