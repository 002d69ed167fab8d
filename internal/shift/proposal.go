package shift

import (
	"context"
	"time"

	"cornelmux/internal/task"
)

const (
	// proposalDelay is the delay per rank before a VM proposes a change.
	proposalDelay = 500 * time.Millisecond
	// maxProposalRank is the rank from which on the delay no longer grows.
	maxProposalRank = 6
)

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

// isCompletable reports whether the traffic shift may be completed: all sessions get the new version, and either no
// attempt on the old version is in flight here or completionDeadline has passed. tick calls it until it returns true.
func (c *Controller) isCompletable(name string, s *service, elapsed time.Duration) bool {
	fraction := float64(elapsed) / float64(s.record.Duration)
	return fraction > fullStart && (fraction > completionDeadline || !c.oldInFlight(name, s))
}
