package feed

import (
	"context"
	"errors"
	"time"
)

// startRead starts a full scan, if the VM has none yet, or a watch, unless one is running or none is due. Run calls it at
// each tick; it is also called after a scan and for a missing update.
func (c *Controller) startRead(ctx context.Context, now time.Time) {
	if c.reading || now.Before(c.nextRead) {
		return
	}
	if c.synced && c.scanKeys == nil && now.Sub(c.lastUpdateAt) < c.timing.silenceTimeout(c.zoneRank, c.readFailed) {
		return
	}
	c.reading = true
	if !c.synced {
		stale := !c.requireFresh
		c.start(ctx, "full scan", func(ctx context.Context) error { return c.fullScan(ctx, stale) })
		return
	}
	from, era, wait := c.revision, c.era, max(c.timing.WatchTimeout-now.Sub(c.lastUpdateAt), 0)
	if c.scanKeys != nil {
		wait = 0
	}
	c.watchStartedAt = now
	c.start(ctx, "watch", func(ctx context.Context) error {
		changes, err := c.source.Watch(ctx, from, wait)
		return c.tell(ctx, watchMessage{changes, from, era, err})
	})
}

// handle applies the changes of a watch and forwards them to the zone. It schedules the next watch, or a full scan without
// stale pages if the store no longer has the changes or was restored. A failed watch is repeated after a pause. The task that startRead
// started for the watch sends the message.
func (m watchMessage) handle(ctx context.Context, c *Controller) {
	now := time.Now()
	c.reading, c.readFailed = false, m.err != nil
	if m.fromEra != c.era {
		return // the answer comes late: another VM told of a later era meanwhile
	}
	if m.err == nil {
		c.noteEra(m.changes.Era)
	}
	order := compareEras(c.era, m.changes.Era)
	switch {
	case order == eraOlder && c.completed:
		c.nextRead = now.Add(jitter(retryPause))
		return
	case order != eraSame:
		c.eraSeen = m.changes.Era
		c.log.Info("store has another era, full scan follows", "era", c.era, "other", m.changes.Era, "after", m.from)
		if c.completed {
			c.nextRead = now.Add(c.timing.restoreDelay(c.zoneRank))
		}
		c.requireScan()
		return
	case errors.Is(m.err, ErrHistoryGone):
		c.log.Info("store history is gone, full scan follows", "after", m.from)
		c.requireScan()
		return
	}
	c.receiver.SetReachable(ctx, m.err == nil, m.err)
	if m.err != nil {
		c.nextRead = now.Add(jitter(retryPause))
		return
	}
	c.nextRead = c.watchStartedAt.Add(c.timing.BatchDelay)
	items := m.changes.Items
	if len(items) > 0 {
		c.nextRead = now.Add(c.timing.BatchDelay)
	}
	c.apply(ctx, items)
	to := max(m.changes.Revision, m.from)
	c.revision = max(c.revision, to)
	if c.scanKeys != nil {
		c.finishScan(ctx, items)
	}
	c.lastUpdateAt, c.missingSince = now, time.Time{}
	c.forward(m.from, now)
}

// requireScan makes the next read a full scan without stale pages. The handler of watchMessage calls it. Before a first scan is complete,
// its era isn't confirmed and is dropped.
func (c *Controller) requireScan() {
	c.synced, c.scanKeys, c.requireFresh = false, nil, true
	if !c.completed {
		c.era, c.replica = 0, NewReplica()
	}
}
