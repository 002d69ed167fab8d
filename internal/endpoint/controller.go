package endpoint

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	mailboxSize    = 4096
	listWait       = 30 * time.Second
	listRetry      = 500 * time.Millisecond
	pollTimeout    = 2 * time.Second
	maxRunning     = 256
	serviceName    = "endpoint"
	queueLimit     = 256
	queueWait      = 2 * time.Second
	retryAfter     = time.Second
	doneTimeout    = time.Second
	memberTimeout  = 200 * time.Millisecond
	retryShare     = 0.1
	retriesSavedUp = 10
)

// Lister gives the platform's list of endpoints.
type Lister interface {
	Instances(ctx context.Context, service string, after uint64, wait time.Duration) ([]consul.Instance, uint64, error)
}

// Reporter asks an endpoint for its load, on a new connection if it has to be fresh.
type Reporter interface {
	Report(ctx context.Context, address string, fresh bool) (Report, error)
}

// Members knows the VMs that were heard of.
type Members interface {
	Members(ctx context.Context) ([]peer.Member, error)
}

// Crashes is told of each crash of an endpoint. It must not wait.
type Crashes interface {
	Crashed(ctx context.Context, fingerprint uint64, endpoint string) error
}

// Options say which VM this is.
type Options struct {
	VM       string
	Location Location
}

// Controller owns what the VM knows of the endpoints, and the runs that wait for one.
type Controller struct {
	mailbox  chan message
	lister   Lister
	reporter Reporter
	members  Members
	crashes  Crashes
	vm       string
	log      logr.Logger
	table    *Table
	queue    *Queue
	budget   Budget
	// answers and ends have room for every poll that runs.
	answers chan answer
	ends    chan task.End
	running int
}

// New makes a Controller; Run starts it. Without members, the VM polls every endpoint.
func New(lister Lister, reporter Reporter, members Members, crashes Crashes, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), lister: lister, reporter: reporter, members: members, crashes: crashes,
		vm: o.VM, log: log, table: NewTable(o.Location), queue: NewQueue(queueLimit),
		budget:  Budget{Share: retryShare, Limit: retriesSavedUp, Tokens: retriesSavedUp},
		answers: make(chan answer, maxRunning), ends: make(chan task.End, maxRunning),
	}
}

type message interface {
	handle(ctx context.Context, c *Controller)
}

// answer is the end of a poll.
type answer struct {
	id     string
	report Report
	err    error
}

type (
	listMessage    struct{ list []consul.Instance }
	membersMessage struct{ list []peer.Member }
	chooseMessage  struct {
		query Query
		reply chan<- chooseReply
	}
	chooseReply struct {
		endpoint Endpoint
		choice   Choice
	}
	// abandonMessage says that nobody reads the reply any more.
	abandonMessage  struct{ reply chan chooseReply }
	doneMessage     struct{ outcome Outcome }
	hearMessage     struct{ reports []peer.EndpointReport }
	collectMessage  struct{ reply chan<- []peer.EndpointReport }
	snapshotMessage struct{ reply chan<- []Endpoint }
)

// Run owns the state, follows the platform's list and polls the endpoints until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchers := make(chan task.End, 2)
	task.Start(ctx, "endpoint list", watchers, c.follow)
	task.Start(ctx, "members", watchers, c.askMembers)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(ctx, c)
		case a := <-c.answers:
			c.tellCrashes(ctx, c.table.ApplyReport(a.id, a.report, a.err, time.Now()))
			c.admit(time.Now())
		case <-c.ends:
			c.running--
		case <-ticker.C:
			c.poll(ctx)
			c.admit(time.Now())
		case <-ctx.Done():
			err := task.Stop(cancel, watchers, 2)
			_ = task.Stop(cancel, c.ends, c.running) // a poll has no error of its own
			return err
		}
	}
}

// Choose implements filter.Endpoints.
func (c *Controller) Choose(ctx context.Context, q Query) (Endpoint, error) {
	reply := make(chan chooseReply, 1)
	if err := task.Tell(c.mailbox, message(chooseMessage{q, reply})); err != nil {
		return Endpoint{}, result.Errorf(result.QueueFull, "endpoints: %v", err).WithRetryAfter(retryAfter)
	}
	select {
	case r := <-reply:
		return r.endpoint, r.choice.refusal(q)
	case <-ctx.Done():
		return Endpoint{}, c.abandon(ctx, reply)
	}
}

// refusal returns the truthful refusal of a run that was not placed, or nil.
func (choice Choice) refusal(q Query) error {
	switch choice {
	case ChoicePlaced:
		return nil
	case ChoiceFull:
		return result.Errorf(result.QueueFull, "%s", q.key()).WithRetryAfter(retryAfter)
	default:
		return result.Errorf(result.NoEndpoint, "%s", q.key()).WithRetryAfter(retryAfter)
	}
}

func (c *Controller) abandon(ctx context.Context, reply chan chooseReply) error {
	c.tellSurely(ctx, abandonMessage{reply})
	return result.Errorf(result.DeadlinePassed, "while the request waited for an endpoint")
}

// Done implements filter.Endpoints. It also holds when ctx has ended.
func (c *Controller) Done(ctx context.Context, o Outcome) error {
	return c.tellSurely(ctx, doneMessage{o})
}

// tellSurely waits a moment for room in the mailbox, since a lost message would count a run as in flight for good.
func (c *Controller) tellSurely(ctx context.Context, m message) error {
	return task.TellWithin(ctx, c.mailbox, m, doneTimeout)
}

// Snapshot returns every known endpoint.
func (c *Controller) Snapshot(ctx context.Context) ([]Endpoint, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- []Endpoint) message { return snapshotMessage{reply} })
}

// Collect implements peer.Section.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	reports, err := task.Ask(ctx, c.mailbox, func(reply chan<- []peer.EndpointReport) message { return collectMessage{reply} })
	s.Endpoints = reports
	return err
}

// Receive implements peer.Section.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if len(s.Endpoints) == 0 {
		return nil
	}
	return task.Tell(c.mailbox, message(hearMessage{s.Endpoints}))
}

func (m listMessage) handle(ctx context.Context, c *Controller) {
	c.table.ApplyList(m.list, time.Now())
	c.poll(ctx)
}

func (m membersMessage) handle(_ context.Context, c *Controller) { c.table.AssignPolls(c.vm, m.list) }

func (m chooseMessage) handle(_ context.Context, c *Controller) {
	now := time.Now()
	retry := len(m.query.Exclude) > 0
	if !retry {
		c.budget.Request()
	} else if !c.budget.Retry() {
		m.reply <- chooseReply{choice: ChoiceFull}
		return
	}
	e, choice := c.table.Choose(m.query, now, rand.Uint64(), rand.Uint64())
	if choice == ChoicePlaced || choice == ChoiceNone || retry {
		m.reply <- chooseReply{e, choice}
		return
	}
	if refused, ok := c.queue.Push(Waiter{ID: m.reply, Query: m.query, Until: m.query.until(now)}); ok {
		refused.ID <- chooseReply{choice: ChoiceFull}
	}
}

// until bounds the wait for an endpoint by the queue's limit and the deadline.
func (q Query) until(now time.Time) time.Time {
	until := now.Add(queueWait)
	if !q.Deadline.IsZero() && q.Deadline.Before(until) {
		return q.Deadline
	}
	return until
}

// admit places the waiting runs that have an endpoint now and refuses those that waited too long.
func (c *Controller) admit(now time.Time) {
	c.queue.Sweep(func(w Waiter) bool {
		e, choice := c.table.Choose(w.Query, now, rand.Uint64(), rand.Uint64())
		if choice != ChoicePlaced && now.Before(w.Until) {
			return false
		}
		w.ID <- chooseReply{e, choice}
		return true
	})
}

func (m abandonMessage) handle(_ context.Context, c *Controller) {
	if c.queue.Remove(m.reply) {
		return
	}
	select {
	case r := <-m.reply:
		if r.choice == ChoicePlaced {
			c.table.Done(Outcome{Endpoint: r.endpoint.ID}, time.Now())
		}
	default:
	}
}

func (m doneMessage) handle(ctx context.Context, c *Controller) {
	c.tellCrashes(ctx, c.table.Done(m.outcome, time.Now()))
	if m.outcome.Failed {
		c.poll(ctx)
	}
	c.admit(time.Now())
}

func (m hearMessage) handle(_ context.Context, c *Controller) {
	now := time.Now()
	for _, r := range m.reports {
		c.table.Hear(r, now)
	}
	c.admit(now)
}

func (m collectMessage) handle(_ context.Context, c *Controller) {
	m.reply <- c.table.PeerReports(time.Now())
}

func (m snapshotMessage) handle(_ context.Context, c *Controller) { m.reply <- c.table.Endpoints() }

func (c *Controller) tellCrashes(ctx context.Context, list []Crash) {
	for _, crash := range list {
		c.log.Info("endpoint crashed", "endpoint", crash.Endpoint, "fingerprint", crash.Fingerprint)
		if c.crashes == nil {
			continue
		}
		if err := c.crashes.Crashed(ctx, crash.Fingerprint, crash.Endpoint); err != nil {
			c.log.Info("crash not counted", "endpoint", crash.Endpoint, "error", err.Error())
		}
	}
}

// poll starts the polls that are due, each in a task of its own.
func (c *Controller) poll(ctx context.Context) {
	for _, p := range c.table.DuePolls(time.Now(), maxRunning-c.running) {
		c.running++
		task.Start(ctx, "poll "+p.ID, c.ends, func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			r, err := c.reporter.Report(ctx, p.Address, p.Fresh)
			return task.Tell(c.answers, answer{p.ID, r, err})
		})
	}
}

// follow passes on the platform's list. While the platform is down, what is known stands.
func (c *Controller) follow(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		list, index, err := c.lister.Instances(ctx, serviceName, after, listWait)
		if err != nil {
			c.log.V(1).Info("endpoint list failed", "error", err.Error())
			task.Sleep(ctx, listRetry/2+rand.N(listRetry))
			continue
		}
		if err := task.Tell(c.mailbox, message(listMessage{list})); err != nil {
			index = 0
		}
		if index <= after {
			task.Sleep(ctx, listRetry/2+rand.N(listRetry)) // a platform that answers at once is asked again no faster
		}
		after = index
	}
	return nil
}

// askMembers passes on which VMs were heard of, so that the controller never waits for another one.
func (c *Controller) askMembers(ctx context.Context) error {
	for task.Sleep(ctx, pollInterval) {
		var list []peer.Member
		if c.members != nil {
			list = c.listMembers(ctx)
		}
		_ = task.Tell(c.mailbox, message(membersMessage{list})) // the next interval tells it again
	}
	return nil
}

func (c *Controller) listMembers(ctx context.Context) []peer.Member {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	list, err := c.members.Members(ctx)
	if err != nil {
		c.log.V(1).Info("members unknown", "error", err.Error())
	}
	return list
}
