package entry

import (
	"context"

	"cornelmux/internal/filter"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const drainMailbox = 4096

// drain counts the requests in flight and, once the VM leaves, refuses new ones.
type drain struct {
	mailbox  chan drainMessage
	ended    chan struct{}
	inFlight int
	leaving  bool
	idle     []chan<- struct{}
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
	return &drain{mailbox: make(chan drainMessage, drainMailbox), ended: make(chan struct{})}
}

func (d *drain) run(ctx context.Context) error {
	defer close(d.ended)
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
	d.settle()
}

func (m leaveMessage) handle(d *drain) {
	d.leaving = true
	d.idle = append(d.idle, m.idle)
	d.settle()
}

func (m stateMessage) handle(d *drain) { m.reply <- drainState{d.inFlight, d.leaving} }

func (d *drain) settle() {
	if !d.leaving || d.inFlight > 0 {
		return
	}
	for _, idle := range d.idle {
		close(idle)
	}
	d.idle = nil
}

// leave refuses new requests from now on; the channel closes when none is in flight.
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

// Handle implements filter.Filter.
func (d *drain) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) error {
	entered, err := task.Ask(ctx, d.mailbox, func(reply chan<- bool) drainMessage { return enterMessage{reply} })
	if err != nil {
		return result.Errorf(result.QueueFull, "entry: %v", err)
	}
	if !entered {
		return result.Errorf(result.Leaving, "this VM is shutting down")
	}
	defer d.exit()
	return next(ctx, x)
}

// exit counts a request that ended; a full mailbox only holds it up while the task runs.
func (d *drain) exit() {
	select {
	case d.mailbox <- exitMessage{}:
	case <-d.ended:
	}
}
