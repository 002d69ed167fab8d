package shift

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
)

const (
	// proposalDelay is the delay per rank before a VM proposes a change.
	proposalDelay = 500 * time.Millisecond
	// maxProposalRank is the rank from which on the delay no longer grows.
	maxProposalRank = 6
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * time.Millisecond
	// writeRetryPause is the mean pause after a failed write of a record.
	writeRetryPause = 300 * time.Millisecond
	// sameUpdateTime is the time within which an order and its record count as learned together.
	sameUpdateTime = 100 * time.Millisecond
)

type (
	rankMessage   struct{ rank int }
	orderMessage  struct{ order Order }
	recordMessage struct {
		record   Record
		revision uint64
	}
	versionsMessage struct {
		service  string
		versions map[string]int
	}
	writtenMessage struct {
		service string
		err     error
	}
)

// ApplyOrder starts the traffic shift of an operator's order, unless a newer order is known. It is called when the VM
// learns the order from the store.
func (c *Controller) ApplyOrder(_ context.Context, o Order) error {
	return task.Tell(c.mailbox, message(orderMessage{o}))
}

// ApplyRecord adopts the record that the store holds at the revision. It is called when the VM learns the record from the
// store, also after a write of its own.
func (c *Controller) ApplyRecord(_ context.Context, r Record, revision uint64) error {
	return task.Tell(c.mailbox, message(recordMessage{r, revision}))
}

// SetFleetRank sets the VM's rank among all VMs, from 0. VMs propose a change in this order, so that not all write at once.
// The feed's Controller calls it through its Receiver when the rank changes.
func (c *Controller) SetFleetRank(_ context.Context, rank int) error {
	return task.Tell(c.mailbox, message(rankMessage{rank}))
}

func (m rankMessage) handle(_ context.Context, c *Controller) { c.fleetRank = m.rank }

// mayPropose reports whether the VM's delay has passed for a change that became due at the given time.
func (c *Controller) mayPropose(due, now time.Time) bool {
	return now.Sub(due) >= time.Duration(min(c.fleetRank, maxProposalRank))*proposalDelay
}

// handle starts the traffic shift here, before any VM has written its record. ApplyOrder sends the message. An order that
// isn't newer than the known one is ignored, and one that was written again goes on as it is.
func (m orderMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.order.Service)
	if m.order.isOlder(&s.order) {
		return
	}
	if m.order.isRewriteOf(&s.order) {
		c.renewOrder(s, m.order)
		return
	}
	inEra := s.order.Era == m.order.Era || s.order.Target == ""
	s.order = m.order
	if inEra && s.record.Order.Revision >= m.order.Revision {
		return
	}
	if s.stored.Order.Revision == m.order.Revision && s.stored.Target == m.order.Target {
		s.resetEvidence()
		s.adopt(s.stored, time.Now())
		return
	}
	c.log.Info("shift ordered", "service", m.order.Service, "target", m.order.Target, "seconds", m.order.Duration.Seconds(), "revision", m.order.Revision)
	s.resetEvidence()
	s.record = Record{Order: m.order, State: StateRunning, StartedAt: time.Now()}
	s.startedAt = time.Now()
}

// resetEvidence resets the detector, the share, the bad endpoints, the halt and the pinned sessions. What this VM knows of the
// old version stays; the counts keep the evidence of all VMs by order. It is called when another order comes into force.
func (s *service) resetEvidence() {
	s.detector = rollout.Detector{HaltThreshold: haltThreshold}
	s.before, s.history, s.share, s.badEndpoints = s.stable, nil, 0, 0
	s.baselines.forgetPeers()
	s.pinned, s.pins, s.halted, s.reason, s.due, s.dueSince = map[uint64]bool{}, pinsUnpublished, false, "", DecisionContinue, time.Time{}
}

// handle adopts a record that is newer than the one known, unless it belongs to an older order, or to the order of a traffic shift that
// this VM knows to have ended. ApplyRecord sends the message.
func (m recordMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.record.Service)
	if m.record.Era < s.recordEra || (m.record.Era == s.recordEra && m.revision <= s.revision) {
		return
	}
	s.stored, s.recordEra, s.revision = m.record, m.record.Era, m.revision
	if m.record.Order.Revision < s.order.Revision {
		return
	}
	if m.record.Order.Revision == s.record.Order.Revision && s.record.State.ended() && m.record.State == StateRunning {
		return
	}
	now := time.Now()
	if m.record.Order.Revision > s.record.Order.Revision || s.record.Target == "" {
		s.resetEvidence()
		s.startedAt = time.Time{}
	}
	if m.record.State != s.record.State || m.record.Order.Revision != s.record.Order.Revision {
		c.log.Info("shift", "service", m.record.Service, "target", m.record.Target, "state", m.record.State.String(),
			"reason", m.record.Reason, "revision", m.revision)
	}
	s.adopt(m.record, now)
}

// adopt puts a record of the store into force.
func (s *service) adopt(r Record, now time.Time) {
	s.record = r
	if r.State == StateCompleted {
		// Nothing may be sent to the old version any more, so a halt here would leave no version to send to.
		s.halted = false
	}
	// StartedAt is by another VM's clock, which may be wrong. A VM that saw the order before its record keeps its own start.
	// If StartedAt lies in the future, the traffic shift starts now.
	if now.Sub(s.startedAt) < sameUpdateTime || s.startedAt.IsZero() {
		s.startedAt = now.Add(-max(now.Sub(r.StartedAt), 0))
	}
}

// queryVersions queues a query for the versions that serve now; its answer leads to the first proposal of the record.
// tick calls it on each tick until a record of the order is stored, so a failed query is repeated.
func (c *Controller) queryVersions(name string) {
	c.enqueue(func(ctx context.Context) {
		versions, err := c.versions.Versions(ctx, name)
		if err != nil {
			c.log.Info("versions of a service not listed", "service", name, "error", err.Error())
			return
		}
		_ = c.send(ctx, versionsMessage{name, versions}) // fails only when ctx ends
	})
}

// handle proposes the record of an order with the versions that serve now, unless another VM has recorded the order.
// The job of queryVersions sends the message.
func (m versionsMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.service)
	if s.stored.Order.Revision == s.record.Order.Revision {
		return
	}
	s.record.OldVersions = nil
	for v := range m.versions {
		if v != s.record.Target {
			s.record.OldVersions = append(s.record.OldVersions, v)
		}
	}
	slices.Sort(s.record.OldVersions)
	c.propose(m.service, s, StateRunning, "ordered")
}

// propose queues a write of the record with a new state, unless a write is under way. tick proposes again
// until a record is stored; a failed write pauses first, so that racing VMs don't collide again.
// It is called when a first record, a rollback or a completion is due.
func (c *Controller) propose(name string, s *service, state State, reason string) {
	if c.writing[name] {
		return
	}
	r, revision := s.record, s.revision
	r.State, r.Reason = state, reason
	c.writing[name] = c.enqueue(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, writeTimeout)
		err := c.records.Write(limited, r, revision)
		cancel()
		if err != nil {
			task.Sleep(ctx, writeRetryPause/2+rand.N(writeRetryPause))
		}
		_ = c.send(ctx, writtenMessage{name, err}) // fails only when ctx ends
	})
}

// handle allows the next write of the record. The job of propose sends the message; after a failure tick proposes again.
func (m writtenMessage) handle(_ context.Context, c *Controller) {
	c.writing[m.service] = false
	if m.err != nil {
		c.log.Info("record of a shift not written", "service", m.service, "error", m.err.Error())
	}
}

// proposeDue proposes what is due of a running traffic shift: its first record, the rollback of a halted version, or what
// Decide says. tick calls it.
func (c *Controller) proposeDue(name string, s *service, standing Standing, now time.Time) {
	if decision := Decide(standing); decision != s.due {
		s.due, s.dueSince = decision, now
		c.log.Info("shift decided", "service", name, "decision", decision.String(), "share", standing.Share, "rate", standing.Rate,
			"suspicion", standing.Suspicion, "old_in_flight", standing.OldInFlight, "allowed", standing.GoodRates,
			"recent", standing.Recent, "total", standing.Total)
	}
	switch {
	case s.stored.Order.Revision != s.record.Order.Revision:
		if !c.writing[name] && c.mayPropose(s.startedAt, now) {
			c.queryVersions(name)
		}
	case s.halted:
		c.propose(name, s, StateRolledBack, s.reason)
	case s.due == DecisionContinue || !c.mayPropose(s.dueSince, now):
	case s.due == DecisionComplete:
		c.propose(name, s, StateCompleted, "the version proved good")
	case s.due == DecisionRollBack:
		c.propose(name, s, StateRolledBack, "the version was not proved good in time")
	}
}
