package order

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/task"
)

const (
	mailboxSize = 64
	interval    = 5 * time.Second
	// resendAfter is how long a sent order may take to show in a report.
	resendAfter = 30 * time.Second
	maxSends    = 8
	sendTimeout = time.Minute
)

// Endpoints gives what is known of the endpoints.
type Endpoints interface {
	Snapshot(ctx context.Context) ([]endpoint.Endpoint, error)
}

// Sender sends an order to an endpoint. It fails with ErrFenced where the endpoint has taken a later one.
type Sender interface {
	Order(ctx context.Context, address string, n RecordedOrder) error
}

// Controller sends the orders of the endpoints that this VM polls until their reports show the effect.
// It resumes orders that another VM recorded and didn't send.
type Controller struct {
	mailbox   chan message
	ledger    Ledger
	endpoints Endpoints
	sender    Sender
	log       logr.Logger
	// sent holds when each order was last sent.
	sent    map[RecordedOrder]time.Time
	running int
	ends    chan task.End
	done    chan RecordedOrder
}

// New makes a Controller; Run starts it.
func New(l Ledger, endpoints Endpoints, sender Sender, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), ledger: l, endpoints: endpoints, sender: sender, log: log,
		sent: map[RecordedOrder]time.Time{}, ends: make(chan task.End, maxSends), done: make(chan RecordedOrder, maxSends),
	}
}

// message is what was read in one interval.
type message struct {
	records   map[string]Record
	endpoints []endpoint.Endpoint
}

// Submit records an order; the VM that polls the endpoint sends it.
func (c *Controller) Submit(ctx context.Context, o Order) (RecordedOrder, error) {
	if err := o.Validate(); err != nil {
		return RecordedOrder{}, err
	}
	return c.ledger.Add(ctx, o)
}

// Run owns the state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	readers := make(chan task.End, 1)
	task.Start(ctx, "orders", readers, c.follow)
	for {
		select {
		case m := <-c.mailbox:
			c.reconcile(ctx, m, time.Now())
		case n := <-c.done:
			c.sent[n] = time.Now()
		case <-c.ends:
			c.running--
		case <-ctx.Done():
			_ = task.Stop(cancel, c.ends, c.running) // a send logs its own error
			return task.Stop(cancel, readers, 1)
		}
	}
}

// follow reads the records and the endpoints in each interval.
func (c *Controller) follow(ctx context.Context) error {
	for task.Sleep(ctx, interval/2+rand.N(interval)) {
		records, err := c.ledger.Records(ctx)
		if err != nil {
			c.log.V(1).Info("orders unknown", "error", err.Error())
			continue
		}
		list, err := c.endpoints.Snapshot(ctx)
		if err != nil || len(records) == 0 {
			continue
		}
		_ = task.Tell(c.mailbox, message{records, list}) // the next interval tells it again
	}
	return nil
}

// reconcile starts the sends of pending orders.
func (c *Controller) reconcile(ctx context.Context, m message, now time.Time) {
	for n, at := range c.sent {
		if now.Sub(at) > resendAfter {
			delete(c.sent, n)
		}
	}
	for _, e := range m.endpoints {
		if !e.PolledHere {
			continue
		}
		for _, n := range m.records[e.ID].Pending(e, now) {
			if _, waits := c.sent[n]; waits || c.running >= maxSends {
				continue
			}
			c.sent[n] = now
			c.running++
			task.Start(ctx, "order to "+e.ID, c.ends, func(ctx context.Context) error { return c.send(ctx, e.Address, n) })
			break // one at a time, so that the endpoint takes them by their numbers
		}
	}
}

// send waits for the weight store's rate, reads again that the order is the newest, and sends it.
func (c *Controller) send(ctx context.Context, address string, n RecordedOrder) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := c.sendNewest(ctx, address, n)
	switch {
	case err == nil:
		c.log.Info("order sent", "endpoint", n.Endpoint, "kind", n.Kind, "version", n.Version, "role", n.Role, "fence", n.Fence)
	case errors.Is(err, ErrFenced):
		err = c.ledger.Renew(ctx, n)
		c.log.Info("order refused as old", "endpoint", n.Endpoint, "kind", n.Kind, "fence", n.Fence, "renewed", err == nil)
	default:
		c.log.Info("order not sent", "endpoint", n.Endpoint, "kind", n.Kind, "fence", n.Fence, "error", err.Error())
	}
	return task.Tell(c.done, n)
}

func (c *Controller) sendNewest(ctx context.Context, address string, n RecordedOrder) error {
	if n.Kind == KindLoad {
		wait, err := c.ledger.Slot(ctx)
		if err != nil {
			return err
		}
		if !task.Sleep(ctx, wait) {
			return ctx.Err()
		}
	}
	newest, err := c.ledger.Newest(ctx, n)
	if err != nil {
		return err
	}
	if !newest {
		return ErrFenced
	}
	return c.sender.Order(ctx, address, n)
}
