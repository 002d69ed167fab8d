package feed

import (
	"context"
	"time"

	"cornelmux/internal/task"
)

// maxEraStep is the greatest rise of the era that is believed.
const maxEraStep = 1000

// eraOrder is how the era of an answer lies to the one known.
type eraOrder int

// Values of eraOrder.
const (
	eraSame eraOrder = iota
	eraOlder
	eraNewer
)

// compareEras compares the era of an answer with the one known. An answer that tells none, or one that can't be right, counts as one of
// the era known, and so does the first that tells one.
func compareEras(known, seen uint64) eraOrder {
	switch {
	case known == 0 || !plausibleEra(known, seen) || seen == known:
		return eraSame
	case seen < known:
		return eraOlder
	default:
		return eraNewer
	}
}

// plausibleEra reports whether an answer tells an era that can be right.
func plausibleEra(known, seen uint64) bool {
	return seen != 0 && (seen < known || seen-known <= maxEraStep)
}

// noteEra takes the first era that the store tells. Later it logs the first answer without a plausible one.
func (c *Controller) noteEra(seen uint64) {
	if c.era == 0 {
		c.era = seen
		return
	}
	unknown := !plausibleEra(c.era, seen)
	if unknown && !c.eraUnknown {
		c.log.Info("answer of the store without a plausible era, counted as the present one", "era", c.era, "told", seen)
	}
	c.eraUnknown = unknown
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
