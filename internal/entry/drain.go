package entry

import (
	"context"

	"cornelmux/internal/filter"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// drainMailboxSize bounds the messages that wait for the task; requests that find it full are refused.
const drainMailboxSize = 4096

// drain counts the requests in flight and refuses new ones during graceful shutdown. Its task owns inFlight, leaving and idle.
// It implements filter.Filter.
type drain struct {
	mailbox chan drainMessage
	// stopped is closed when the task ends.
	stopped  chan struct{}
	inFlight int
	leaving  bool
	// idle is closed once leaving is set and nothing is in flight.
	idle []chan<- struct{}
}

type drainMessage interface{ handle(*drain) }

type (
	enterMessage struct{ reply chan<- bool }
	exitMessage  struct{}
	leaveMessage struct{ idle chan<- struct{} }
	stateMessage struct{ reply chan<- drainState }
	drainState   struct {
		inFlight int
		leaving  bool
	}
)

func newDrain() *drain {
	return &drain{mailbox: make(chan drainMessage, drainMailboxSize), stopped: make(chan struct{})}
}

// run is the task that owns the state; it handles messages until ctx ends.
func (d *drain) run(ctx context.Context) error {
	defer close(d.stopped)
	for {
		select {
		case m := <-d.mailbox:
			m.handle(d)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m enterMessage) handle(d *drain) {
	if !d.leaving {
		d.inFlight++
	}
	m.reply <- !d.leaving
}

func (exitMessage) handle(d *drain) {
	d.inFlight--
	d.notifyIdle()
}

func (m leaveMessage) handle(d *drain) {
	d.leaving = true
	d.idle = append(d.idle, m.idle)
	d.notifyIdle()
}

func (m stateMessage) handle(d *drain) { m.reply <- drainState{d.inFlight, d.leaving} }

// notifyIdle closes the channels of leave if the VM is leaving and no request is in flight.
func (d *drain) notifyIdle() {
	if !d.leaving || d.inFlight > 0 {
		return
	}
	for _, idle := range d.idle {
		close(idle)
	}
	d.idle = nil
}

// leave begins graceful shutdown: new requests are refused. The returned channel is closed when no request is in flight.
func (d *drain) leave(ctx context.Context) <-chan struct{} {
	idle := make(chan struct{})
	select {
	case d.mailbox <- leaveMessage{idle}:
	case <-ctx.Done():
	}
	return idle
}

func (d *drain) state(ctx context.Context) (drainState, error) {
	return task.Ask(ctx, d.mailbox, func(reply chan<- drainState) drainMessage { return stateMessage{reply} })
}

// Handle implements filter.Filter. A request in flight is one that Handle let pass and that hasn't returned.
func (d *drain) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) error {
	reply := make(chan bool, 1)
	if err := task.Tell(d.mailbox, drainMessage(enterMessage{reply})); err != nil {
		return result.Errorf(result.QueueFull, "count request in flight: %v", err)
	}
	entered := false
	select { // also if ctx has ended, since a request that was counted has to be uncounted
	case entered = <-reply:
	case <-d.stopped:
	}
	if !entered {
		return result.Errorf(result.Leaving, "this VM is shutting down")
	}
	defer d.exit()
	return next(ctx, x)
}

// exit reports that a request ended. It waits while the mailbox is full, unless the task has ended.
func (d *drain) exit() {
	select {
	case d.mailbox <- exitMessage{}:
	case <-d.stopped:
	}
}
