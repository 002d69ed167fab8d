package pool

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	mailboxSize   = 4096
	sweepInterval = 250 * time.Millisecond
	tellTimeout   = time.Second
	retryAfter    = 300 * time.Millisecond
)

// Crashes is told of each crash of an endpoint. It must not wait.
type Crashes interface {
	Crashed(ctx context.Context, fingerprint uint64, endpoint string) error
}

// Options say where the VM is and how many sends may repeat others.
type Options struct {
	Location endpoint.Location
	// RetryLimit bounds the repeats of each service.
	RetryLimit RetryLimit
}

// Controller owns what the VM knows of the endpoints.
type Controller struct {
	mailbox chan message
	// ended is closed once Run has ended.
	ended   chan struct{}
	crashes Crashes
	opts    Options
	log     logr.Logger
	table   *Table
	budgets map[string]*Budget
	// read says that the directory was read whole once; waiting holds who waits for that.
	read    bool
	waiting []chan<- int
}

type message interface {
	handle(ctx context.Context, c *Controller)
}

type (
	putMessage   struct{ entry Entry }
	dropMessage  struct{ id string }
	keepMessage  struct{ ids []string }
	reachMessage struct{ ok bool }

	chooseMessage struct {
		query Query
		reply chan<- chooseReply
	}
	chooseReply struct {
		placement Placement
		choice    Choice
	}
	doneMessage     struct{ outcome Outcome }
	versionsMessage struct {
		service string
		reply   chan<- map[string]int
	}
	knownMessage struct{ reply chan<- int }
)

// New makes a Controller; Run starts it.
func New(crashes Crashes, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), ended: make(chan struct{}), crashes: crashes, opts: o, log: log,
		table: NewTable(o.Location), budgets: map[string]*Budget{},
	}
}

// Run owns the state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.ended)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(ctx, c)
		case now := <-ticker.C:
			for _, id := range c.table.Sweep(now) {
				c.log.Info("endpoint gone", "endpoint", id, "why", "not listed again after the directory came back")
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Put takes in an entry of the directory.
func (c *Controller) Put(ctx context.Context, e Entry) error { return c.tell(ctx, putMessage{e}) }

// Drop takes in that the directory dropped an entry.
func (c *Controller) Drop(ctx context.Context, id string) error { return c.tell(ctx, dropMessage{id}) }

// Retain drops every entry that isn't in ids.
func (c *Controller) Retain(ctx context.Context, ids []string) error {
	return c.tell(ctx, keepMessage{ids})
}

// SetReachable takes in whether the directory can be read.
func (c *Controller) SetReachable(ctx context.Context, ok bool) error {
	return c.tell(ctx, reachMessage{ok})
}

// WaitFirstScan waits until a first reading of the directory is in and returns how many endpoints it holds.
func (c *Controller) WaitFirstScan(ctx context.Context) (int, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- int) message { return knownMessage{reply} })
}

// Choose picks an endpoint and counts the run as in flight there until Done.
func (c *Controller) Choose(_ context.Context, q Query) (Placement, error) {
	reply := make(chan chooseReply, 1)
	if err := task.Tell(c.mailbox, message(chooseMessage{q, reply})); err != nil {
		return Placement{}, result.Errorf(result.QueueFull, "endpoints: %v", err).WithRetryAfter(retryAfter)
	}
	// The reply is waited for even when the request has ended: the placement counts until Done.
	var r chooseReply
	select {
	case r = <-reply:
	case <-c.ended:
		return Placement{}, result.Errorf(result.Leaving, "the endpoints' controller has ended")
	}
	switch r.choice {
	case ChoicePlaced:
		return r.placement, nil
	case ChoiceBudget:
		return Placement{}, result.Errorf(result.QueueFull, "service %s: the budget of repeats is used up", q.Service).WithRetryAfter(retryAfter)
	default:
		return Placement{}, result.Errorf(result.NoEndpoint, "service %s version %q", q.Service, q.Version).WithRetryAfter(retryAfter)
	}
}

// Done tells how a run ended. It also holds when ctx has ended.
func (c *Controller) Done(ctx context.Context, o Outcome) error { return c.tell(ctx, doneMessage{o}) }

// Versions counts the endpoints of a service that take work, by version.
func (c *Controller) Versions(ctx context.Context, service string) (map[string]int, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- map[string]int) message { return versionsMessage{service, reply} })
}

// tell waits a moment for room in the mailbox, since a lost message would leave a wrong belief for good.
func (c *Controller) tell(ctx context.Context, m message) error {
	return task.TellWithin(ctx, c.mailbox, m, tellTimeout)
}

func (m putMessage) handle(ctx context.Context, c *Controller) {
	before, known := c.table.records[m.entry.ID]
	if !known || before.Leaving != m.entry.Leaving || before.Version != m.entry.Version || before.Incarnation != m.entry.Incarnation {
		c.log.Info("endpoint listed", "endpoint", m.entry.ID, "service", m.entry.Service, "version", m.entry.Version,
			"leaving", m.entry.Leaving, "incarnation", m.entry.Incarnation, "zone", m.entry.Zone, "new", !known)
	}
	c.tellCrashes(ctx, c.table.Put(m.entry, time.Now()))
}

func (m dropMessage) handle(_ context.Context, c *Controller) {
	now := time.Now()
	c.log.Info("endpoint dropped", "endpoint", m.id, "doubtful", c.table.doubtful(now))
	c.table.Drop(m.id, now)
}

func (m keepMessage) handle(_ context.Context, c *Controller) {
	c.read = true
	c.table.Keep(m.ids, time.Now())
	for _, w := range c.waiting {
		w <- c.table.Size()
	}
	c.waiting = nil
}

func (m reachMessage) handle(_ context.Context, c *Controller) { c.table.Reach(m.ok, time.Now()) }

func (m knownMessage) handle(_ context.Context, c *Controller) {
	if c.read {
		m.reply <- c.table.Size()
		return
	}
	c.waiting = append(c.waiting, m.reply)
}

func (m chooseMessage) handle(_ context.Context, c *Controller) {
	now := time.Now()
	budget := c.budget(m.query.Service)
	switch {
	case !m.query.Retry:
		budget.Request(now)
	case m.query.Escalation:
		budget.Count(now)
	case !budget.Repeat(now):
		m.reply <- chooseReply{choice: ChoiceBudget}
		return
	}
	p, choice := c.table.Choose(&m.query, now)
	p.RetryAllowed = budget.Spare(now)
	m.reply <- chooseReply{p, choice}
}

func (c *Controller) budget(service string) *Budget {
	b, ok := c.budgets[service]
	if !ok {
		b = NewBudget(c.opts.RetryLimit)
		c.budgets[service] = b
	}
	return b
}

func (m doneMessage) handle(ctx context.Context, c *Controller) {
	c.tellCrashes(ctx, c.table.Done(&m.outcome, time.Now()))
	switch m.outcome.End {
	case EndLost, EndTimeout, EndUnreachable, EndReplaced:
		c.log.Info("endpoint doubted", "endpoint", m.outcome.Endpoint, "end", m.outcome.End.String())
	}
}

func (m versionsMessage) handle(_ context.Context, c *Controller) {
	m.reply <- c.table.Versions(m.service)
}

func (c *Controller) tellCrashes(ctx context.Context, list []Crash) {
	for _, crash := range list {
		c.log.Info("endpoint crashed", "endpoint", crash.Endpoint, "fingerprint", crash.Fingerprint)
		if err := c.crashes.Crashed(ctx, crash.Fingerprint, crash.Endpoint); err != nil {
			c.log.Info("crash not counted", "endpoint", crash.Endpoint, "error", err.Error())
		}
	}
}
