package pool

import (
	"context"
	"time"

	"cornelmux/internal/task"
)

type (
	membersMessage struct{ vms []string }
	coldMessage    struct {
		reply chan<- []ColdEndpoint
	}
)

// Size implements task.Sized.
func (m membersMessage) Size() int { return len(m.vms) }

// SetMembers takes in the VMs of this VM's availability zone, which share the rates of cold endpoints. The decoder of the directory
// calls it with each change, not before the directory is complete.
func (c *Controller) SetMembers(ctx context.Context, vms []string) error {
	return c.tellWithTimeout(ctx, membersMessage{vms})
}

// ColdEndpoints returns the endpoints that count as cold now. The metrics ask for it.
func (c *Controller) ColdEndpoints(ctx context.Context) ([]ColdEndpoint, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- []ColdEndpoint) message { return coldMessage{reply} })
}

func (m membersMessage) handle(_ context.Context, c *Controller) {
	c.table.SetMembers(m.vms, time.Now())
}

func (m coldMessage) handle(_ context.Context, c *Controller) {
	m.reply <- c.table.ColdEndpoints(time.Now())
}

// logCold logs the endpoints of this VM's availability zone that became cold or warm, or are cold for another reason than before. Run
// calls it every sweepInterval.
func (c *Controller) logCold(now time.Time) {
	cold := map[string]ColdEndpoint{}
	for _, e := range c.table.ColdEndpoints(now) {
		if e.Zone == c.opts.Location.Zone {
			cold[e.Endpoint] = e
		}
	}
	for id, before := range c.loggedCold {
		if _, still := cold[id]; !still {
			c.log.Info("endpoint no longer cold", "endpoint", id, "service", before.Service)
		}
	}
	for id, e := range cold {
		if c.loggedCold[id].Why != e.Why {
			c.log.Info("endpoint cold", "endpoint", id, "service", e.Service, "why", e.Why.String(), "milliseconds", e.Left.Milliseconds(),
				"share", e.Share, "runs_left", e.RunsLeft, "members", len(c.table.cold.all))
		}
	}
	c.loggedCold = cold
}
