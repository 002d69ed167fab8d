// Package memory accounts for the bytes that a VM holds of callers' bodies and of endpoints' answers, and bounds them.
package memory

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

const (
	// FreeBytes is the size up to which a body or an answer isn't counted: it is no larger than the buffers of its connection.
	FreeBytes = 4 << 10
	// SmallBytes is the size up to which one is small, so that it never waits behind a large one.
	SmallBytes = 64 << 10
	// maxWaiting bounds the claims on a pool that wait. Limits.Sockets may bound them further.
	maxWaiting = 256
	// SocketBytes is what a socket holds of a body that isn't read.
	SocketBytes = 64 << 10
	// mailboxSize bounds the messages that wait for the Controller.
	mailboxSize = 4096
	// logInterval is the least time between two lines about claims that got no memory.
	logInterval = time.Second
)

// ErrFull reports that a body or an answer got no memory in time, or never will.
var ErrFull = errors.New("the memory is used up")

// Limits bounds the bytes that small and large bodies and answers hold, and what sockets hold of bodies that wait or were refused; 0
// is no bound for the latter.
type Limits struct{ SmallBodies, LargeBodies, SmallAnswers, LargeAnswers, Sockets int64 }

// waiting returns how many claims on one pool may wait: half of the sockets' bytes are for those of both sizes.
func (l Limits) waiting() int {
	if l.Sockets == 0 {
		return maxWaiting
	}
	return int(min(l.Sockets/2/SocketBytes/2, maxWaiting))
}

// refused returns what the sockets of refused bodies may hold.
func (l Limits) refused() int64 {
	if l.Sockets == 0 {
		return math.MaxInt64
	}
	return l.Sockets / 2
}

// State is how many bytes are held and how many claims wait for theirs. Peak is the most that was held at a time.
type State struct {
	SmallBodies, LargeBodies, SmallAnswers, LargeAnswers, Peak int64
	Waiting                                                    int
}

// Held returns the bytes held of all kinds.
func (s State) Held() int64 { return s.SmallBodies + s.LargeBodies + s.SmallAnswers + s.LargeAnswers }

// Controller owns the account of the bytes that bodies and answers hold. Requests ask for theirs and give them back by messages, and
// are served in the order of the questions. Answers have pools of their own: a request holds its body until its answer is there, so
// that bodies would wait for answers that wait for bodies.
type Controller struct {
	mailbox chan message
	// stopped is closed when the task ends.
	stopped chan struct{}
	log     logr.Logger
	pools   [kinds]pool
	// waiting is how many claims on one pool may wait.
	waiting int
	peak    int64
	// loggedAt is when the last line was logged; unlogged counts those since then that weren't.
	loggedAt time.Time
	unlogged int
}

// New makes a Controller; Run starts it.
func New(limits Limits, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), stopped: make(chan struct{}), log: log,
		pools: [kinds]pool{
			smallBodies: {limit: limits.SmallBodies}, largeBodies: {limit: limits.LargeBodies},
			smallAnswers: {limit: limits.SmallAnswers}, largeAnswers: {limit: limits.LargeAnswers},
			refusedBodies: {limit: limits.refused()},
		},
		waiting: limits.waiting(),
	}
}

// Run is the task that owns the state; it handles messages until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.stopped)
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
			c.peak = max(c.peak, c.state().Held())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// message is handled by the goroutine of Run, which owns the state.
type message interface{ handle(*Controller) }

type (
	takeMessage struct{ question }
	tryMessage  struct{ question }
	giveMessage struct {
		kind kind
		n    int64
	}
	leftMessage struct {
		request string
		kind    kind
		n       int64
		timeout time.Duration
	}
	stateMessage struct{ reply chan<- State }
)

func (m takeMessage) handle(c *Controller) {
	p := &c.pools[m.kind]
	if len(p.waiting) >= c.waiting {
		p.dropLeft()
	}
	if m.n > p.limit || len(p.waiting) > 0 && len(p.waiting) >= c.waiting {
		m.reply.Send(false)
		return
	}
	p.waiting = append(p.waiting, m.question)
	p.grant()
}

func (m tryMessage) handle(c *Controller) {
	p := &c.pools[m.kind]
	fits := p.held+m.n <= p.limit
	if m.reply.Send(fits) && fits {
		p.held += m.n
	}
}

func (m giveMessage) handle(c *Controller) {
	p := &c.pools[m.kind]
	p.held -= m.n
	p.grant()
}

func (m leftMessage) handle(c *Controller) {
	c.pools[m.kind].grant()
	c.logRefusal(m)
}

func (m stateMessage) handle(c *Controller) {
	for i := range c.pools {
		c.pools[i].dropLeft()
	}
	m.reply <- c.state()
}

// state returns what is held.
func (c *Controller) state() State {
	s := State{
		SmallBodies: c.pools[smallBodies].held, LargeBodies: c.pools[largeBodies].held,
		SmallAnswers: c.pools[smallAnswers].held, LargeAnswers: c.pools[largeAnswers].held, Peak: c.peak,
	}
	for i := range c.pools {
		s.Waiting += len(c.pools[i].waiting)
	}
	return s
}

// logRefusal logs a claim that got no memory, at most one each logInterval. leftMessage calls it.
func (c *Controller) logRefusal(m leftMessage) {
	if time.Since(c.loggedAt) < logInterval {
		c.unlogged++
		return
	}
	s, what := c.state(), "body refused"
	if m.kind == smallAnswers || m.kind == largeAnswers {
		what = "answer given up for memory"
	}
	c.log.Info(what, "request", m.request, "bytes", m.n, "patience_ms", m.timeout.Milliseconds(), "small_bytes", s.SmallBodies,
		"large_bytes", s.LargeBodies, "small_answer_bytes", s.SmallAnswers, "large_answer_bytes", s.LargeAnswers, "waiting", s.Waiting,
		"unlogged", c.unlogged)
	c.loggedAt, c.unlogged = time.Now(), 0
}

// tell puts a message into the mailbox. It waits while that is full, unless the task has ended.
func (c *Controller) tell(m message) {
	select {
	case c.mailbox <- m:
	case <-c.stopped:
	}
}

// BodyClaim returns the claim of the request's body, which holds nothing yet. timeout bounds each wait for memory.
func (c *Controller) BodyClaim(request string, timeout time.Duration) *Claim {
	return &Claim{controller: c, request: request, timeout: timeout, small: smallBodies, large: largeBodies, kind: smallBodies}
}

// AnswerClaim returns the claim of an answer to the request, as BodyClaim does that of its body.
func (c *Controller) AnswerClaim(request string, timeout time.Duration) *Claim {
	return &Claim{controller: c, request: request, timeout: timeout, small: smallAnswers, large: largeAnswers, kind: smallAnswers}
}

// State returns what is held.
func (c *Controller) State(ctx context.Context) (State, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- State) message { return stateMessage{reply} })
}
