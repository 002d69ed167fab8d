package pool

import (
	"context"
	"time"

	"cornelmux/internal/task"
)

// Messages about the directory.
type (
	putMessage       struct{ entry Entry }
	dropMessage      struct{ id string }
	withdrawMessage  struct{ id string }
	retainMessage    struct{ ids []string }
	reachableMessage struct{ ok bool }
	restoredMessage  struct{}
	firstScanMessage struct{ reply chan<- int }
)

// Size implements task.Sized: the endpoints of a scan.
func (m retainMessage) Size() int { return len(m.ids) }

// Put adds or updates an entry of the directory. The decoder of the directory calls it for each entry that it reads.
func (c *Controller) Put(ctx context.Context, e Entry) error {
	return c.tellWithTimeout(ctx, putMessage{e})
}

// Drop removes an entry that was deleted from the directory.
func (c *Controller) Drop(ctx context.Context, id string) error {
	return c.tellWithTimeout(ctx, dropMessage{id})
}

// Withdraw stops new runs on an endpoint whose entry cannot be decoded.
func (c *Controller) Withdraw(ctx context.Context, id string) error {
	return c.tellWithTimeout(ctx, withdrawMessage{id})
}

// Retain removes every entry that is not in ids. The decoder calls it after each full scan.
func (c *Controller) Retain(ctx context.Context, ids []string) error {
	return c.tellWithTimeout(ctx, retainMessage{ids})
}

// SetReachable says whether the directory can be read. The decoder calls it with each change.
func (c *Controller) SetReachable(ctx context.Context, ok bool) error {
	return c.tellWithTimeout(ctx, reachableMessage{ok})
}

// NoteRestored says that the directory was restored from a backup. The decoder calls it before what the directory holds now.
func (c *Controller) NoteRestored(ctx context.Context) error {
	return c.tellWithTimeout(ctx, restoredMessage{})
}

// WaitFirstScan waits for the first full scan of the directory and returns the number of endpoints in it. platform.VM
// calls it once at its start.
func (c *Controller) WaitFirstScan(ctx context.Context) (int, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- int) message { return firstScanMessage{reply} })
}

// handle stores the entry, and logs it if it is new or changed.
func (m putMessage) handle(ctx context.Context, c *Controller) {
	before, known := c.table.records[m.entry.ID]
	if !known || before.withdrawn || (m.entry.Leaving && !before.Leaving) || before.Version != m.entry.Version || before.Incarnation != m.entry.Incarnation {
		c.log.Info("endpoint listed", "endpoint", m.entry.ID, "service", m.entry.Service, "version", m.entry.Version,
			"leaving", m.entry.Leaving, "incarnation", m.entry.Incarnation, "zone", m.entry.Zone, "new", !known)
	}
	c.reportCrashes(ctx, c.table.Put(m.entry, time.Now()))
}

func (m dropMessage) handle(ctx context.Context, c *Controller) {
	now := time.Now()
	c.log.Info("endpoint dropped", "endpoint", m.id, "doubtful", c.table.directoryUnreliable(now))
	c.reportCrashes(ctx, c.table.Drop(m.id, now))
}

func (m withdrawMessage) handle(_ context.Context, c *Controller) {
	c.log.Info("endpoint withdrawn until its entry is sound", "endpoint", m.id)
	c.table.Withdraw(m.id)
}

// handle removes the entries that the full scan did not find and answers the callers of WaitFirstScan.
func (m retainMessage) handle(ctx context.Context, c *Controller) {
	c.scanned = true
	c.reportCrashes(ctx, c.table.Retain(m.ids, time.Now()))
	for _, w := range c.scanWaiters {
		w <- c.table.Size()
	}
	c.scanWaiters = nil
}

func (m reachableMessage) handle(_ context.Context, c *Controller) {
	c.table.SetReachable(m.ok, time.Now())
}

func (m restoredMessage) handle(_ context.Context, c *Controller) {
	c.table.NoteRestored(time.Now())
}

func (m firstScanMessage) handle(_ context.Context, c *Controller) {
	if c.scanned {
		m.reply <- c.table.Size()
		return
	}
	c.scanWaiters = append(c.scanWaiters, m.reply)
}
