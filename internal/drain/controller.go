// Package drain tracks the requests in flight of a VM, and what becomes of them at a graceful shutdown.
package drain

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

// mailboxSize bounds the messages that wait for the Controller; requests wait while it is full.
const mailboxSize = 4096

// Stage is where a request in flight stands.
type Stage int

// The values of Stage.
const (
	// StageReading means that the body is being read.
	StageReading Stage = iota + 1
	// StagePlacing means that the request waits to be sent; nothing was sent yet.
	StagePlacing
	// StageSent means that it was sent, once or more, and that nothing of an answer was passed on.
	StageSent
	// StageAnswering means that a part of the answer was passed on.
	StageAnswering
)

// String returns the stage's name in the log.
func (s Stage) String() string {
	switch s {
	case StageReading:
		return "reading"
	case StagePlacing:
		return "placing"
	case StageSent:
		return "sent"
	case StageAnswering:
		return "answering"
	default:
		return "unknown"
	}
}

// Request is what the Controller knows of a request in flight.
type Request struct {
	// ID is the request ID.
	ID    string
	Route string
	// Arrived is when the front end received the request, Deadline when its caller or its route gives it up; zero if unknown.
	Arrived  time.Time
	Deadline time.Time
	Stage    Stage
	// Sends counts how often a first byte was sent to an endpoint.
	Sends int
}

// Ticket identifies a request in flight; each has its own.
type Ticket struct {
	// Cancel ends the request's context.
	Cancel context.CancelCauseFunc
}

// Controller owns the requests in flight. The goroutine of a request tells it how that goes on, by messages.
type Controller struct {
	mailbox chan message
	// stopped is closed when the task ends.
	stopped chan struct{}
	// stopping ends with the Stop as its cause when the shutdown begins; leave ends it.
	stopping context.Context
	leave    context.CancelCauseFunc
	log      logr.Logger
	requests map[*Ticket]*Request
	// stop is set once the VM is leaving. phases are those that are to come, in order; timer fires at the first.
	stop   *Stop
	phases []phase
	timer  *time.Timer
	// idle is closed once the VM is leaving and nothing is in flight.
	idle []chan<- struct{}
	// refusing is set once requests of which nothing was answered are given up.
	refusing bool
}

// New makes a Controller; Run starts it.
func New(log logr.Logger) *Controller {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	stopping, leave := context.WithCancelCause(context.Background())
	return &Controller{
		stopping: stopping, leave: leave,
		mailbox: make(chan message, mailboxSize), stopped: make(chan struct{}), log: log,
		requests: map[*Ticket]*Request{}, timer: timer,
	}
}

// Run is the task that owns the state; it handles messages until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.stopped)
	defer c.timer.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case now := <-c.timer.C:
			c.nextPhase(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// message is handled by the goroutine of Run, which owns the state.
type message interface{ handle(*Controller) }

type (
	enterMessage struct {
		ticket  *Ticket
		request Request
	}
	updateMessage struct {
		ticket  *Ticket
		request Request
	}
	exitMessage  struct{ ticket *Ticket }
	leaveMessage struct {
		stop Stop
		idle chan<- struct{}
	}
	stateMessage  struct{ reply chan<- State }
	reportMessage struct{ reply chan<- int }
)

// State is how many requests are in flight, and whether the VM is leaving.
type State struct {
	InFlight int
	Leaving  bool
}

func (m enterMessage) handle(c *Controller) {
	c.requests[m.ticket] = &m.request
	if c.refusing {
		m.ticket.Cancel(*c.stop)
	}
}

func (m updateMessage) handle(c *Controller) {
	if c.requests[m.ticket] != nil {
		c.requests[m.ticket] = &m.request
	}
}

func (m exitMessage) handle(c *Controller) {
	delete(c.requests, m.ticket)
	c.notifyIdle()
}

func (m leaveMessage) handle(c *Controller) {
	c.stop, c.phases = &m.stop, phases(m.stop)
	c.timer.Reset(time.Until(c.phases[0].at))
	c.idle = append(c.idle, m.idle)
	c.notifyIdle()
}

func (m stateMessage) handle(c *Controller) { m.reply <- State{len(c.requests), c.stop != nil} }

// notifyIdle closes the channels of Leave if the VM is leaving and no request is in flight.
func (c *Controller) notifyIdle() {
	if c.stop == nil || len(c.requests) > 0 {
		return
	}
	for _, idle := range c.idle {
		close(idle)
	}
	c.idle = nil
}

func (m reportMessage) handle(c *Controller) {
	c.report("end", time.Now())
	m.reply <- len(c.requests)
}

// tell puts a message into the mailbox. It waits while that is full, unless the task has ended.
func (c *Controller) tell(m message) {
	select {
	case c.mailbox <- m:
	case <-c.stopped:
	}
}

// Enter counts a request as in flight until Exit.
func (c *Controller) Enter(t *Ticket, r Request) { c.tell(enterMessage{t, r}) }

// Update tells how the request stands now.
func (c *Controller) Update(t *Ticket, r Request) { c.tell(updateMessage{t, r}) }

// Exit ends the count of a request.
func (c *Controller) Exit(t *Ticket) { c.tell(exitMessage{t}) }

// Leave begins a graceful shutdown. A request that enters and isn't told of it by Stopping was counted before it. The returned
// channel is closed once no request is in flight.
func (c *Controller) Leave(s Stop) <-chan struct{} {
	idle := make(chan struct{})
	c.leave(s)
	c.tell(leaveMessage{s, idle})
	return idle
}

// State returns the number of requests in flight, and whether the VM is leaving.
func (c *Controller) State(ctx context.Context) (State, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- State) message { return stateMessage{reply} })
}

// Stopping returns the timetable of the shutdown; false before it begins.
func (c *Controller) Stopping() (Stop, bool) {
	var s Stop
	ok := errors.As(context.Cause(c.stopping), &s)
	return s, ok
}

// ReportEnd logs the requests that are in flight when their connections are to be closed, and returns their number.
func (c *Controller) ReportEnd(ctx context.Context) (int, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- int) message { return reportMessage{reply} })
}
