package shift

import (
	"context"
	"time"

	"cornelmux/internal/task"
)

const (
	// turnPause lies between the turns in which VMs propose the same change, mostTurns bounds them.
	turnPause = 500 * time.Millisecond
	mostTurns = 6
)

// SetFleetRank takes in the VM's place among those that propose changes, from 0, so that not all of them write at once.
func (c *Controller) SetFleetRank(_ context.Context, turn int) error {
	return task.Tell(c.mailbox, message(turnMessage{turn}))
}

func (m turnMessage) handle(_ context.Context, c *Controller) { c.turn = m.turn }

// myTurn reports whether the VM may propose a change that has been due since a time.
func (c *Controller) myTurn(due, now time.Time) bool {
	return now.Sub(due) >= time.Duration(min(c.turn, mostTurns))*turnPause
}

// due reports whether the shift may be completed: all sessions get the version, and no run on the old one is in flight
// here or the time is nearly up.
func (c *Controller) due(name string, s *service, elapsed time.Duration) bool {
	part := float64(elapsed) / float64(s.record.Duration)
	return part > fullFrom && (part > completeBy || !c.oldRuns(name, s))
}
