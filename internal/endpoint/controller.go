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
	// mailboxSize is the maximum number of messages that wait for the Controller; task.Tell fails beyond it.
	mailboxSize = 4096
	// listWatchTimeout is how long the platform may hold a query until the list changes.
	listWatchTimeout = 30 * time.Second
	// listRetryDelay is the mean delay before the next query after an error.
	listRetryDelay = 500 * time.Millisecond
	// pollTimeout bounds one poll, maxConcurrentPolls is the number of polls at a time.
	pollTimeout        = 2 * time.Second
	maxConcurrentPolls = 256
	// serviceName is the name under which the platform lists endpoints.
	serviceName = "endpoint"
	// maxQueuedRuns is the number of runs that wait for a free endpoint, maxQueueTime how long each may wait.
	maxQueuedRuns = 256
	maxQueueTime  = 2 * time.Second
	// retryAfter is the Retry-After of a refused run.
	retryAfter = time.Second
	// tellTimeout bounds how long Done waits for room in the mailbox.
	tellTimeout = time.Second
	// memberTimeout bounds the wait for the list of members.
	memberTimeout = 200 * time.Millisecond
	// retryRatio is the number of retries per request, maxSavedRetries the number of retries saved up at most.
	retryRatio      = 0.1
	maxSavedRetries = 10
)

// Lister reads the endpoints that the platform lists. It blocks until the index exceeds after, or for at most wait.
type Lister interface {
	Instances(ctx context.Context, service string, after uint64, wait time.Duration) ([]consul.Instance, uint64, error)
}

// Reporter asks an endpoint for its load, on a new connection if fresh is set.
type Reporter interface {
	Report(ctx context.Context, address string, fresh bool) (Report, error)
}

// Members lists the VMs that this VM has heard of.
type Members interface {
	Members(ctx context.Context) ([]peer.Member, error)
}

// Crashes counts the crashes of endpoints. Crashed must not block.
type Crashes interface {
	Crashed(ctx context.Context, f Fingerprints, endpoint string) error
}

// Options identify the VM.
type Options struct {
	VM       string
	Location Location
}

// Controller owns the state of all endpoints on this VM and the queue of runs that wait for one.
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
	budget   RetryBudget
	// pollResults and pollEnds have capacity for every poll in progress, so that a poll never blocks.
	pollResults  chan pollResult
	pollEnds     chan task.End
	runningPolls int
}

// New makes a Controller; Run starts it. If members is nil, the VM polls every endpoint. If crashes is nil, crashes are
// only logged.
func New(lister Lister, reporter Reporter, members Members, crashes Crashes, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), lister: lister, reporter: reporter, members: members, crashes: crashes,
		vm: o.VM, log: log, table: NewTable(o.Location), queue: NewQueue(maxQueuedRuns),
		budget:      RetryBudget{Ratio: retryRatio, Capacity: maxSavedRetries, Tokens: maxSavedRetries},
		pollResults: make(chan pollResult, maxConcurrentPolls), pollEnds: make(chan task.End, maxConcurrentPolls),
	}
}

// message is handled by the goroutine of Run, which owns the state.
type message interface {
	handle(ctx context.Context, c *Controller)
}

// pollResult is the report of one poll, or its error.
type pollResult struct {
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
	// abandonMessage says that the reply is no longer read, because the request ended.
	abandonMessage     struct{ reply chan chooseReply }
	doneMessage        struct{ outcome Outcome }
	peerReportsMessage struct{ reports []peer.EndpointReport }
	collectMessage     struct{ reply chan<- []peer.EndpointReport }
	snapshotMessage    struct{ reply chan<- []Endpoint }
)

// Run handles messages, follows the platform's list and polls the endpoints until ctx ends. The entry VM runs it as a
// task.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchers := make(chan task.End, 2)
	task.Start(ctx, "endpoint list", watchers, c.watchList)
	task.Start(ctx, "members", watchers, c.watchMembers)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(ctx, c)
		case r := <-c.pollResults:
			c.reportCrashes(ctx, c.table.ApplyReport(r.id, r.report, r.err, time.Now()))
			c.placeQueued(time.Now())
		case <-c.pollEnds:
			c.runningPolls--
		case <-ticker.C:
			c.startPolls(ctx)
			c.placeQueued(time.Now())
		case <-ctx.Done():
			err := task.Stop(cancel, watchers, 2)
			_ = task.Stop(cancel, c.pollEnds, c.runningPolls) // polls return no error that matters
			return err
		}
	}
}

// Choose implements filter.Endpoints. It returns the endpoint for a run, or waits in the queue until one is free, the
// deadline passes or maxQueueTime is over. Filter Place calls it for each placement. A run that isn't placed fails with
// result.QueueFull or result.NoEndpoint, and with result.DeadlinePassed if ctx has ended.
func (c *Controller) Choose(ctx context.Context, q Query) (Endpoint, error) {
	reply := make(chan chooseReply, 1)
	if err := task.Tell(c.mailbox, message(chooseMessage{q, reply})); err != nil {
		return Endpoint{}, result.Errorf(result.QueueFull, "place run: endpoint controller: %v", err).WithRetryAfter(retryAfter)
	}
	select {
	case r := <-reply:
		return r.endpoint, r.choice.refusal(q)
	case <-ctx.Done():
		return Endpoint{}, c.abandon(ctx, reply)
	}
}

// refusal returns the error for a run that was not placed, or nil. Choose calls it with the reply.
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

// abandon withdraws a placement whose request ended while it waited. Choose calls it.
func (c *Controller) abandon(ctx context.Context, reply chan chooseReply) error {
	c.tellWithTimeout(ctx, abandonMessage{reply})
	return result.Errorf(result.DeadlinePassed, "request ended while it waited for an endpoint")
}

// Done implements filter.Endpoints: it records how a call ended. Filter Place calls it once for each placement, also
// after ctx has ended.
func (c *Controller) Done(ctx context.Context, o Outcome) error {
	return c.tellWithTimeout(ctx, doneMessage{o})
}

// tellWithTimeout waits for room in the mailbox, because a lost message would count a run as in flight forever.
func (c *Controller) tellWithTimeout(ctx context.Context, m message) error {
	return task.TellWithin(ctx, c.mailbox, m, tellTimeout)
}

// Snapshot returns a copy of every known endpoint. The sender of orders and the operators' front end call it.
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
	return task.Tell(c.mailbox, message(peerReportsMessage{s.Endpoints}))
}

func (m listMessage) handle(ctx context.Context, c *Controller) {
	c.table.ApplyList(m.list, time.Now())
	c.startPolls(ctx)
}

func (m membersMessage) handle(_ context.Context, c *Controller) { c.table.AssignPolls(c.vm, m.list) }

// handle places the run, queues it if no endpoint is free, or refuses it. A query that excludes endpoints is a retry:
// it counts against the retry budget and is never queued. Choose sends the message.
func (m chooseMessage) handle(_ context.Context, c *Controller) {
	now := time.Now()
	retry := len(m.query.Exclude) > 0
	if !retry {
		c.budget.CountRequest()
	} else if !c.budget.TakeRetry() {
		m.reply <- chooseReply{choice: ChoiceFull}
		return
	}
	e, choice := c.table.Choose(m.query, now, rand.Uint64(), rand.Uint64())
	if choice == ChoicePlaced || choice == ChoiceNone || retry {
		m.reply <- chooseReply{e, choice}
		return
	}
	if refused, ok := c.queue.Push(Waiter{ID: m.reply, Query: m.query, ExpiresAt: m.query.queueDeadline(now)}); ok {
		refused.ID <- chooseReply{choice: ChoiceFull}
	}
}

// queueDeadline returns when a queued run gives up: after maxQueueTime or at the deadline of the request.
func (q Query) queueDeadline(now time.Time) time.Time {
	deadline := now.Add(maxQueueTime)
	if !q.Deadline.IsZero() && q.Deadline.Before(deadline) {
		return q.Deadline
	}
	return deadline
}

// placeQueued places the queued runs that now have an endpoint, and refuses those that waited too long. It is called
// after each event that may free an endpoint.
func (c *Controller) placeQueued(now time.Time) {
	c.queue.Admit(func(w Waiter) bool {
		e, choice := c.table.Choose(w.Query, now, rand.Uint64(), rand.Uint64())
		if choice != ChoicePlaced && now.Before(w.ExpiresAt) {
			return false
		}
		w.ID <- chooseReply{e, choice}
		return true
	})
}

// handle removes the run from the queue. If it was already placed, it counts as ended. abandon sends the message.
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
	c.reportCrashes(ctx, c.table.Done(m.outcome, time.Now()))
	if m.outcome.Failed {
		c.startPolls(ctx)
	}
	c.placeQueued(time.Now())
}

func (m peerReportsMessage) handle(_ context.Context, c *Controller) {
	now := time.Now()
	for _, r := range m.reports {
		c.table.ApplyPeerReport(r, now)
	}
	c.placeQueued(now)
}

func (m collectMessage) handle(_ context.Context, c *Controller) {
	m.reply <- c.table.PeerReports(time.Now())
}

func (m snapshotMessage) handle(_ context.Context, c *Controller) { m.reply <- c.table.Endpoints() }

// reportCrashes logs the crashes and passes them on to be counted. It is called after each poll and each Done.
func (c *Controller) reportCrashes(ctx context.Context, list []Crash) {
	for _, crash := range list {
		c.log.Info("endpoint crashed", "endpoint", crash.Endpoint, "fingerprint", crash.Fingerprints.Whole())
		if c.crashes == nil {
			continue
		}
		if err := c.crashes.Crashed(ctx, crash.Fingerprints, crash.Endpoint); err != nil {
			c.log.Info("cannot count crash", "endpoint", crash.Endpoint, "error", err.Error())
		}
	}
}

// startPolls starts the polls that are due, each as a task of its own. It is called with each tick, after a new list
// and after a failed call.
func (c *Controller) startPolls(ctx context.Context) {
	for _, p := range c.table.DuePolls(time.Now(), maxConcurrentPolls-c.runningPolls) {
		c.runningPolls++
		task.Start(ctx, "poll "+p.ID, c.pollEnds, func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			r, err := c.reporter.Report(ctx, p.Address, p.Fresh)
			return task.Tell(c.pollResults, pollResult{p.ID, r, err})
		})
	}
}

// watchList sends each new list of the platform to the controller. While the platform is down, the last list stays in
// use. It runs as a child task.
func (c *Controller) watchList(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		list, index, err := c.lister.Instances(ctx, serviceName, after, listWatchTimeout)
		if err != nil {
			c.log.V(1).Info("cannot read endpoint list", "error", err.Error())
			task.Sleep(ctx, listRetryDelay/2+rand.N(listRetryDelay))
			continue
		}
		if err := task.Tell(c.mailbox, message(listMessage{list})); err != nil {
			index = 0
		}
		if index <= after {
			task.Sleep(ctx, listRetryDelay/2+rand.N(listRetryDelay)) // limits the rate if the platform answers without waiting
		}
		after = index
	}
	return nil
}

// watchMembers sends the members to the controller at each interval, so that the controller itself never waits for
// another task. It runs as a child task.
func (c *Controller) watchMembers(ctx context.Context) error {
	for task.Sleep(ctx, pollInterval) {
		var list []peer.Member
		if c.members != nil {
			list = c.listMembers(ctx)
		}
		_ = task.Tell(c.mailbox, message(membersMessage{list})) // the next interval sends it again
	}
	return nil
}

// listMembers returns the members, or none if they are not known in time. watchMembers calls it.
func (c *Controller) listMembers(ctx context.Context) []peer.Member {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	list, err := c.members.Members(ctx)
	if err != nil {
		c.log.V(1).Info("cannot list members", "error", err.Error())
	}
	return list
}
