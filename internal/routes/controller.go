// Package routes owns the newest route table that a VM knows. It only ever goes forward.
package routes

import (
	"context"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
	"cornelmux/pkg/routing"
)

const mailboxSize = 4096

// Controller owns the newest table.
type Controller struct {
	mailbox chan message
	log     logr.Logger
	table   *routing.Table
	waiting []chan<- *routing.Table
}

type message interface{ handle(*Controller) }

type (
	learnMessage struct {
		table *routing.Table
		from  string
	}
	currentMessage struct{ reply chan<- *routing.Table }
	firstMessage   struct{ reply chan<- *routing.Table }
)

// New makes a Controller; Run starts it.
func New(log logr.Logger) *Controller {
	return &Controller{mailbox: make(chan message, mailboxSize), log: log}
}

// Run owns the table until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ApplyTable offers an indexed table; one that isn't newer than the table in force is dropped.
func (c *Controller) ApplyTable(_ context.Context, t *routing.Table, from string) error {
	return task.Tell(c.mailbox, message(learnMessage{t, from}))
}

// Current returns the newest table, or nil before the first.
func (c *Controller) Current(ctx context.Context) (*routing.Table, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- *routing.Table) message { return currentMessage{reply} })
}

// WaitFirst waits for the first table.
func (c *Controller) WaitFirst(ctx context.Context) (*routing.Table, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- *routing.Table) message { return firstMessage{reply} })
}

func (m learnMessage) handle(c *Controller) {
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

func (m currentMessage) handle(c *Controller) { m.reply <- c.table }

func (m firstMessage) handle(c *Controller) {
	if c.table != nil {
		m.reply <- c.table
		return
	}
	c.waiting = append(c.waiting, m.reply)
}
