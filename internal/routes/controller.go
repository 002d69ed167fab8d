// Package routes holds the newest route table that a VM has received. Its version never falls.
package routes

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
	"cornelmux/pkg/routing"
)

// mailboxSize is the maximum number of messages that wait for the Controller; task.Tell fails with ErrFull beyond it.
const mailboxSize = 4096

// Controller owns the newest table.
type Controller struct {
	mailbox chan message
	log     logr.Logger
	watch   *task.Stopwatch
	table   *routing.Table
	// waiting holds the callers of WaitFirst.
	waiting []chan<- *routing.Table
}

// message is handled by Run, one at a time; only Run's goroutine uses the Controller's state.
type message interface{ handle(*Controller) }

type (
	// tableMessage offers a table.
	tableMessage struct {
		table *routing.Table
		from  string
	}
	// currentMessage asks for the table, waitFirstMessage for one that isn't nil.
	currentMessage   struct{ reply task.Reply[*routing.Table] }
	waitFirstMessage struct{ reply chan<- *routing.Table }
)

// Size implements task.Sized.
func (m tableMessage) Size() int { return len(m.table.Routes) }

// New returns a Controller; Run starts it. A nil meter records nothing.
func New(meter task.Meter, log logr.Logger) *Controller {
	return &Controller{mailbox: make(chan message, mailboxSize), log: log, watch: task.NewStopwatch("routes", meter, log)}
}

// Run handles messages until ctx ends. The platform VM runs it as a task.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case m := <-c.mailbox:
			started := time.Now()
			m.handle(c)
			c.watch.Handled(started, m)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ApplyTable replaces the table by an indexed one if that is newer. from names its source in the log. The decoder of the
// feed's items calls it once for each configuration, so it waits for room in the mailbox until ctx ends.
func (c *Controller) ApplyTable(ctx context.Context, t *routing.Table, from string) error {
	return task.TellUntil(ctx, c.mailbox, message(tableMessage{t, from}))
}

// Current returns the newest table, or nil if there is none yet. The Route filter calls it for each request.
func (c *Controller) Current(ctx context.Context) (*routing.Table, error) {
	return task.AskOrLeave(ctx, nil, c.mailbox, func(reply task.Reply[*routing.Table]) message { return currentMessage{reply} })
}

// WaitFirst returns the newest table, and waits for the first one if there is none yet. The platform VM calls it once and
// isn't ready before it returns.
func (c *Controller) WaitFirst(ctx context.Context) (*routing.Table, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- *routing.Table) message { return waitFirstMessage{reply} })
}

// handle replaces the table, unless the version of the present one is the same or higher, and replies to the callers of
// WaitFirst. ApplyTable sends the message.
func (m tableMessage) handle(c *Controller) {
	if c.table != nil && m.table.Version <= c.table.Version {
		return
	}
	before := uint64(0)
	if c.table != nil {
		before = c.table.Version
	}
	c.table = m.table
	c.log.Info("configuration in force", "version", m.table.Version, "before", before, "from", m.from,
		"routes", len(m.table.Routes), "accounts", len(m.table.Accounts))
	for _, w := range c.waiting {
		w <- c.table
	}
	c.waiting = nil
}

func (m currentMessage) handle(c *Controller) { m.reply.Send(c.table) }

func (m waitFirstMessage) handle(c *Controller) {
	if c.table != nil {
		m.reply <- c.table
		return
	}
	c.waiting = append(c.waiting, m.reply)
}
