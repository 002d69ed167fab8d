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
	// mailboxSize is the maximum number of poll results that wait for the Controller; task.Tell fails with ErrFull
	// beyond it.
	mailboxSize = 64
	// pollInterval is the mean time between two reads of the records and endpoints.
	pollInterval = 5 * time.Second
	// resendAfter is how long the effect of a sent order may take to show in a report before the order is sent again.
	resendAfter = 30 * time.Second
	// maxConcurrentSends is the number of orders sent at a time; sendTimeout bounds one, with the wait for its slot.
	maxConcurrentSends = 8
	sendTimeout        = time.Minute
)

// Endpoints returns the known endpoints. poll calls it in each interval.
type Endpoints interface {
	Snapshot(ctx context.Context) ([]endpoint.Endpoint, error)
}

// Sender sends an order to an endpoint, or fails with ErrFenced if the endpoint has accepted a later one.
type Sender interface {
	Order(ctx context.Context, address string, o RecordedOrder) error
}

// Controller sends orders to the endpoints that this VM polls, until their reports show the effect. It also sends
// orders that another VM recorded and didn't send.
type Controller struct {
	mailbox   chan pollResult
	ledger    Ledger
	endpoints Endpoints
	sender    Sender
	log       logr.Logger
	// sent holds when each order was last sent or tried; it isn't sent again until resendAfter has passed.
	sent map[RecordedOrder]time.Time
	// runningSends counts the tasks that send an order; ends receives their ends, sendsDone the orders that they sent
	// or tried to send.
	runningSends int
	ends         chan task.End
	sendsDone    chan RecordedOrder
}

// New returns a Controller; Run starts it.
func New(l Ledger, endpoints Endpoints, sender Sender, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan pollResult, mailboxSize), ledger: l, endpoints: endpoints, sender: sender, log: log,
		sent: map[RecordedOrder]time.Time{}, ends: make(chan task.End, maxConcurrentSends), sendsDone: make(chan RecordedOrder, maxConcurrentSends),
	}
}

// pollResult is what poll read in one interval: the records by endpoint, and the endpoints.
type pollResult struct {
	records   map[string]Record
	endpoints []endpoint.Endpoint
}

// Submit records an order and returns it with its number. The VM that polls the endpoint sends it. The control service
// calls it for operators.
func (c *Controller) Submit(ctx context.Context, o Order) (RecordedOrder, error) {
	if err := o.Validate(); err != nil {
		return RecordedOrder{}, err
	}
	return c.ledger.Add(ctx, o)
}

// Run polls the records and sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pollEnds := make(chan task.End, 1)
	task.Start(ctx, "orders", pollEnds, c.poll)
	for {
		select {
		case m := <-c.mailbox:
			c.reconcile(ctx, m, time.Now())
		case o := <-c.sendsDone:
			c.sent[o] = time.Now()
		case <-c.ends:
			c.runningSends--
		case <-ctx.Done():
			_ = task.Stop(cancel, c.ends, c.runningSends) // a send logs its own error
			return task.Stop(cancel, pollEnds, 1)
		}
	}
}

// poll reads the records and the endpoints in each interval and passes them to the controller. It runs as a task of its
// own.
func (c *Controller) poll(ctx context.Context) error {
	for task.Sleep(ctx, pollInterval/2+rand.N(pollInterval)) {
		records, err := c.ledger.Records(ctx)
		if err != nil {
			c.log.V(1).Info("order records not read", "error", err.Error())
			continue
		}
		list, err := c.endpoints.Snapshot(ctx)
		if err != nil || len(records) == 0 {
			continue
		}
		_ = task.Tell(c.mailbox, pollResult{records, list}) // the next interval reads them again
	}
	return nil
}

// reconcile starts to send the oldest pending order of each endpoint that this VM polls. Run calls it after each poll.
func (c *Controller) reconcile(ctx context.Context, m pollResult, now time.Time) {
	for o, at := range c.sent {
		if now.Sub(at) > resendAfter {
			delete(c.sent, o)
		}
	}
	for _, e := range m.endpoints {
		if !e.PolledHere {
			continue
		}
		for _, o := range m.records[e.ID].Pending(e, now) {
			if _, waits := c.sent[o]; waits || c.runningSends >= maxConcurrentSends {
				continue
			}
			c.sent[o] = now
			c.runningSends++
			task.Start(ctx, "order to "+e.ID, c.ends, func(ctx context.Context) error { return c.send(ctx, e.Address, o) })
			break // one at a time, so that the endpoint receives them in the order of their numbers
		}
	}
}

// send sends an order, logs the result and tells the controller that it is done. An order that was rejected as outdated
// but still stands gets a new number. It runs as a task of its own for each order. An order that failed is tried again after
// resendAfter.
func (c *Controller) send(ctx context.Context, address string, o RecordedOrder) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := c.sendNewest(ctx, address, o)
	switch {
	case err == nil:
		c.log.Info("order sent", "endpoint", o.Endpoint, "kind", o.Kind, "version", o.Version, "role", o.Role, "fence", o.Fence)
	case errors.Is(err, ErrFenced):
		err = c.ledger.Renumber(ctx, o)
		c.log.Info("order rejected as outdated", "endpoint", o.Endpoint, "kind", o.Kind, "fence", o.Fence, "renewed", err == nil)
	default:
		c.log.Info("order not sent", "endpoint", o.Endpoint, "kind", o.Kind, "fence", o.Fence, "error", err.Error())
	}
	return task.Tell(c.sendsDone, o)
}

// sendNewest sends an order if it is still the newest about its subject. A load first waits for its slot, to keep
// within the weight store's rate. send calls it.
func (c *Controller) sendNewest(ctx context.Context, address string, o RecordedOrder) error {
	if o.Kind == KindLoad {
		wait, err := c.ledger.ReserveLoad(ctx)
		if err != nil {
			return err
		}
		if !task.Sleep(ctx, wait) {
			return ctx.Err()
		}
	}
	newest, err := c.ledger.IsNewest(ctx, o)
	if err != nil {
		return err
	}
	if !newest {
		return ErrFenced
	}
	return c.sender.Order(ctx, address, o)
}
