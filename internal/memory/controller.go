// Package memory accounts for the bytes that a VM holds of callers' bodies, and bounds them.
package memory

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

const (
	// FreeBytes is the size up to which a body isn't counted: it is no larger than the buffers of its connection.
	FreeBytes = 4 << 10
	// SmallBytes is the size up to which a body is small, so that it never waits behind a large one.
	SmallBytes = 64 << 10
	// maxWaiting bounds the bodies that wait, since the sockets of each hold bytes that were received and not read.
	maxWaiting = 256
	// mailboxSize bounds the messages that wait for the Controller.
	mailboxSize = 4096
	// logInterval is the least time between two lines about bodies that got no memory.
	logInterval = time.Second
)

// ErrFull reports that a body got no memory in time, or never will.
var ErrFull = errors.New("the memory for bodies is used up")

// Limits bounds the bytes held, of small and of large bodies.
type Limits struct{ Small, Large int64 }

// State is how many bytes are held and how many bodies wait for theirs. Peak is the most that all bodies held together.
type State struct {
	Small, Large, Peak int64
	Waiting            int
}

// Controller owns the account of the bytes that bodies hold. Requests ask for theirs and give them back by messages. A large body
// gets all its bytes at once, in the order of the questions, so that no body waits for another one that waits.
type Controller struct {
	mailbox chan message
	// stopped is closed when the task ends.
	stopped chan struct{}
	log     logr.Logger
	small   pool
	large   pool
	peak    int64
	// loggedAt is when the last line was logged; unlogged counts those since then that weren't.
	loggedAt time.Time
	unlogged int
}

// New makes a Controller; Run starts it.
func New(limits Limits, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), stopped: make(chan struct{}), log: log,
		small: pool{limit: limits.Small}, large: pool{limit: limits.Large},
	}
}

// Run is the task that owns the state; it handles messages until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.stopped)
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
			c.peak = max(c.peak, c.small.held+c.large.held)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// message is handled by the goroutine of Run, which owns the state.
type message interface{ handle(*Controller) }

type (
	takeMessage struct{ question }
	giveMessage struct {
		large bool
		n     int64
	}
	leftMessage struct {
		request  string
		large    bool
		n        int64
		patience time.Duration
	}
	stateMessage struct{ reply chan<- State }
)

func (m takeMessage) handle(c *Controller) {
	p := c.pool(m.large)
	if len(p.waiting) >= maxWaiting {
		p.dropLeft()
	}
	if m.n > p.limit || len(p.waiting) >= maxWaiting {
		m.reply.Send(false)
		return
	}
	p.waiting = append(p.waiting, m.question)
	p.grant()
}

func (m giveMessage) handle(c *Controller) {
	p := c.pool(m.large)
	p.held -= m.n
	p.grant()
}

func (m leftMessage) handle(c *Controller) {
	c.pool(m.large).grant()
	c.logRefusal(m)
}

func (m stateMessage) handle(c *Controller) {
	c.small.dropLeft()
	c.large.dropLeft()
	m.reply <- State{c.small.held, c.large.held, c.peak, len(c.small.waiting) + len(c.large.waiting)}
}

// logRefusal logs a body that got no memory, at most one each logInterval. leftMessage calls it.
func (c *Controller) logRefusal(m leftMessage) {
	if time.Since(c.loggedAt) < logInterval {
		c.unlogged++
		return
	}
	c.log.Info("body refused", "request", m.request, "bytes", m.n, "patience_ms", m.patience.Milliseconds(),
		"small_bytes", c.small.held, "large_bytes", c.large.held, "waiting", len(c.small.waiting)+len(c.large.waiting), "unlogged", c.unlogged)
	c.loggedAt, c.unlogged = time.Now(), 0
}

// pool returns the pool of the large bodies or of the small ones.
func (c *Controller) pool(large bool) *pool {
	if large {
		return &c.large
	}
	return &c.small
}

// tell puts a message into the mailbox. It waits while that is full, unless the task has ended.
func (c *Controller) tell(m message) {
	select {
	case c.mailbox <- m:
	case <-c.stopped:
	}
}

// Claim returns the claim of the request's body, which holds nothing yet. patience bounds each wait for memory.
func (c *Controller) Claim(request string, patience time.Duration) *Claim {
	return &Claim{controller: c, request: request, patience: patience}
}

// State returns what is held.
func (c *Controller) State(ctx context.Context) (State, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- State) message { return stateMessage{reply} })
}
