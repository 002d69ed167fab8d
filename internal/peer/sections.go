package peer

import (
	"context"
	"time"

	"cornelmux/internal/task"
)

// sectionTimeout bounds one call of all sections.
const sectionTimeout = 500 * time.Millisecond

// sectionWork is a call of the sections. A goroutine of its own makes it, so that the controller never waits for
// another.
type sectionWork interface {
	do(context.Context, *Controller)
}

type (
	collectWork struct{}
	receiveWork struct{ state State }
)

// queueSectionWork queues a call of the sections for serveSections; a full queue drops it.
func (c *Controller) queueSectionWork(w sectionWork) {
	if task.Tell(c.sectionQueue, w) != nil {
		c.counts.SectionQueueFull++
	}
}

// serveSections makes the queued calls of the sections, each within sectionTimeout. It runs as a task of the Controller.
func (c *Controller) serveSections(ctx context.Context) error {
	for {
		select {
		case w := <-c.sectionQueue:
			limited, cancel := context.WithTimeout(ctx, sectionTimeout)
			w.do(limited, c)
			cancel()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// do collects the state of the sections and passes it to the controller. serveSections calls it once per round. A section
// that fails is left out; if the mailbox is full, the round is skipped.
func (collectWork) do(ctx context.Context, c *Controller) {
	var s State
	for _, section := range c.sections {
		if err := section.Collect(ctx, &s); err != nil {
			c.log.V(1).Info("state not collected", "error", err.Error())
		}
	}
	if err := task.Tell(c.mailbox, message(collectedMessage{s})); err != nil {
		c.log.V(1).Info("gossip round skipped", "error", err.Error())
	}
}

// do passes a peer's state to the sections. serveSections calls it for each state that is newer than those known of its VM.
func (w receiveWork) do(ctx context.Context, c *Controller) {
	for _, section := range c.sections {
		if err := section.Receive(ctx, w.state); err != nil {
			c.log.V(1).Info("state not applied", "from", w.state.VM, "error", err.Error())
		}
	}
}
