package shift

import (
	"context"
	"time"

	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
)

// dropRecordMessage tells that the store has no record.
type dropRecordMessage struct {
	service string
	era     uint64
}

// DropRecord notes that the store has no record of the service in an era, since it was restored from a backup. It is called when the VM
// learns that from the store.
func (c *Controller) DropRecord(_ context.Context, service string, era uint64) error {
	return task.Tell(c.mailbox, message(dropRecordMessage{service, era}))
}

// renewOrder gives an order, and the traffic shift that follows it, the revision that the order has in a new era of the store. What the
// VMs know of the traffic shift goes on.
func (c *Controller) renewOrder(s *service, o Order) {
	if s.record.Order.Revision == s.order.Revision {
		run, oldRun := s.run(), s.oldRun()
		s.record.Order = o
		c.renameRun(run, s.run())
		c.renameRun(oldRun, s.oldRun())
	}
	if s.order.Revision != o.Revision {
		c.log.Info("shift order was written again", "service", o.Service, "target", o.Target, "revision", o.Revision, "before", s.order.Revision, "era", o.Era)
	}
	s.order = o
	if s.stored.Order.Revision == o.Revision && s.stored.State.ended() && !s.record.State.ended() {
		s.adopt(s.stored, time.Now())
	}
}

// renameRun moves the evidence about a run, and the attempts in flight, to another name of it.
func (c *Controller) renameRun(from, to rollout.Run) {
	c.evidence.Rename(from, to)
	for _, t := range c.trials {
		if t.run == from {
			t.run = to
		}
	}
}

// handle notes that the store has no record, so that the next one is written as the first. DropRecord sends the message.
func (m dropRecordMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.service)
	if m.era < s.recordEra {
		return
	}
	s.stored, s.recordEra, s.revision = Record{}, m.era, 0
}

// restoreOutcome proposes the record of a traffic shift that ended, if a restored store lost it and has its order again. tick calls it.
func (c *Controller) restoreOutcome(name string, s *service, now time.Time) {
	recorded := s.stored.Order.Revision == s.record.Order.Revision && s.stored.State.ended()
	if !s.record.State.ended() || recorded || s.order.Era != s.recordEra || s.order.Revision != s.record.Order.Revision {
		s.missingSince = time.Time{}
		return
	}
	if s.missingSince.IsZero() {
		s.missingSince = now
		c.log.Info("outcome of a shift is missing in the store", "service", name, "target", s.record.Target, "state", s.record.State.String())
	}
	if c.mayPropose(s.missingSince, now) {
		c.propose(name, s, s.record.State, s.record.Reason)
	}
}
