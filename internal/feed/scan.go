package feed

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Errors of a full scan.
var (
	// errScanStalled reports a page that doesn't lead past the page before.
	errScanStalled = errors.New("the pages of the full scan don't go on")
	// errScanSplit reports pages of different eras.
	errScanSplit = errors.New("the store was restored during the full scan")
)

// fullScan reads every key of the store and tells the Controller. The pages are no snapshot, and stale ones may differ in
// age, so the changes since the oldest page are read by a watch afterwards. startRead starts it as a task. A failed page, or
// one that doesn't go on, ends the scan; a new one starts after a pause of about retryPause.
func (c *Controller) fullScan(ctx context.Context, stale bool) error {
	all := scanMessage{}
	after := ""
	for {
		page, err := c.source.Range(ctx, after, stale)
		if err != nil {
			return c.tell(ctx, scanMessage{err: err})
		}
		if all.era != 0 && page.Era != 0 && page.Era != all.era {
			return c.tell(ctx, scanMessage{err: errScanSplit})
		}
		all.era = max(all.era, page.Era)
		if after == "" || page.Revision < all.revision {
			all.revision = page.Revision
		}
		all.items = append(all.items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return c.tell(ctx, all)
		}
		last := page.Items[len(page.Items)-1].Key
		if last <= after {
			return c.tell(ctx, scanMessage{err: errScanStalled})
		}
		after = last
	}
}

// handle applies the items of a full scan and starts the watch that completes it, or schedules a retry. A scan of a later era begins
// that era once two answers have its number; one of an earlier era is dropped. The VM's member key gives the lease that its registration
// starts with. fullScan sends the message at its end.
func (m scanMessage) handle(ctx context.Context, c *Controller) {
	now := time.Now()
	c.reading, c.readFailed = false, m.err != nil
	c.receiver.SetReachable(ctx, m.err == nil, m.err)
	if m.err != nil {
		c.nextRead = now.Add(jitter(retryPause))
		return
	}
	c.noteEra(m.era)
	order := compareEras(c.era, m.era)
	switch order {
	case eraSame:
		c.eraSeen = 0
	case eraOlder:
		c.nextRead = now.Add(jitter(retryPause))
		return
	}
	if order == eraNewer && c.completed && m.era != c.eraSeen {
		c.eraSeen, c.nextRead = m.era, now.Add(jitter(retryPause))
		return
	}
	if order == eraNewer {
		c.beginEra(ctx, m.era, m.revision, "store")
	}
	c.scanKeys = make([]string, 0, len(m.items))
	for _, i := range m.items {
		c.scanKeys = append(c.scanKeys, i.Key)
		c.applyScanned(ctx, i)
	}
	if !c.leaseSent {
		c.sendLease()
	}
	// Stale pages may be older than the replica, so the changes since the scan are read in any case.
	c.synced, c.revision, c.nextRead = true, m.revision, now
	c.replica.BeginAt(m.revision)
	c.updateRanks(ctx)
	c.startRead(ctx, now)
}

// finishScan completes a full scan with the changes since then: it drops keys that the store no longer has, tells the
// receiver and, if there is no secret, schedules its creation. It is called after the first watch or peer's update that
// brings the changes, and for a peer's update with all keys.
func (c *Controller) finishScan(ctx context.Context, items []Item) {
	deleted := map[string]bool{}
	for _, i := range items {
		deleted[i.Key] = i.Deleted
		if !i.Deleted {
			c.scanKeys = append(c.scanKeys, i.Key)
		}
	}
	keys := slices.DeleteFunc(c.scanKeys, func(key string) bool { return deleted[key] })
	c.replica.KeepOnly(keys, c.revision)
	listed := make(map[string]bool, len(keys))
	for _, key := range keys {
		listed[key] = true
	}
	maps.DeleteFunc(c.members, func(vm string, _ Member) bool { return !listed[memberPrefix+vm] })
	c.updateRanks(ctx)
	c.finishRestore(ctx, listed)
	c.receiver.ApplyFullScan(ctx, c.keysInForce(listed))
	c.scanKeys, c.requireFresh, c.completed = nil, false, true
	c.requestKept(time.Now())
	c.tellZoneMembers(ctx)
	c.secretMissing = !listed[secretKey]
	if c.secretMissing && c.secretDueAt.IsZero() {
		c.secretDueAt = time.Now().Add(rand.N(secretDelay))
	}
}
