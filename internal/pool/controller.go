package pool

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	// mailboxSize is the maximum number of messages that wait for the Controller; task.Tell fails beyond it.
	mailboxSize = 4096
	// maxQuestions is how many runs may wait to be placed, so that there is room for the ends of runs and for
	// entries, whose loss would leave the state wrong.
	maxQuestions = mailboxSize * 3 / 4
	// sweepInterval is how often entries that were not relisted are removed.
	sweepInterval = 250 * time.Millisecond
	// tellTimeout bounds the wait for room in the mailbox.
	tellTimeout = time.Second
	// retryAfter is the Retry-After of a run that was not placed.
	retryAfter = 300 * time.Millisecond
	// placesRetryAfter is that of a run for which no endpoint is listed where it may go, or only in evacuated zones: that lasts longer
	// than the work of a busy endpoint.
	placesRetryAfter = 2 * time.Second
)

// Crashes counts the crashes of endpoints. Crashed must not block.
type Crashes interface {
	Crashed(ctx context.Context, f endpoint.Fingerprints, endpoint string) error
}

// Options hold the location of the VM and the limit on retries.
type Options struct {
	Location endpoint.Location
	// RetryLimit bounds the retries of each service.
	RetryLimit RetryLimit
	// Cold bounds the runs at cold endpoints.
	Cold ColdOptions
	// Meter records the time of the Controller's messages; it may be nil.
	Meter task.Meter
	// Stops tells of the VM's shutdown, Admission records what waits for room; both may be nil.
	Stops     Stops
	Admission AdmissionMeter
}

// Controller owns the state of the endpoints on this VM and the retry budgets of the services.
type Controller struct {
	mailbox chan message
	// questions has an element for each run in the mailbox that waits to be placed.
	questions chan struct{}
	// stopped is closed when Run has ended.
	stopped chan struct{}
	crashes Crashes
	opts    Options
	log     logr.Logger
	watch   *task.Stopwatch
	table   *Table
	// queues holds the runs that wait for room.
	queues queues
	// budgets holds the retry budgets by service.
	budgets map[string]*RetryBudget
	// loggedCold holds the cold endpoints of the last log lines, by ID.
	loggedCold map[string]ColdEndpoint
	// scanned is set after the first full scan of the directory; scanWaiters are the callers of WaitFirstScan until
	// then.
	scanned     bool
	scanWaiters []chan<- int
}

// message is handled by the goroutine of Run, which owns the state.
type message interface {
	handle(ctx context.Context, c *Controller)
}

type (
	chooseMessage struct {
		query Query
		reply task.Reply[chooseReply]
	}
	chooseReply struct {
		placement Placement
		choice    Choice
		// pause is the time until an endpoint wants runs again, with ChoicePausing, takes one, with ChoiceCold, or is expected to have room, with
		// ChoiceFull.
		pause time.Duration
		// evacuated holds the evacuated zones, with ChoiceEvacuated.
		evacuated []string
	}
	doneMessage     struct{ outcome Outcome }
	versionsMessage struct {
		service string
		reply   chan<- map[string]int
	}
)

// Size implements task.Sized: the blocks of a prompt.
func (m chooseMessage) Size() int { return len(m.query.Prompt.Blocks) }

// Size implements task.Sized.
func (m doneMessage) Size() int { return len(m.outcome.Prompt.Blocks) }

// New makes a Controller; Run starts it.
func New(crashes Crashes, o Options, log logr.Logger) *Controller {
	table := NewTable(o.Location)
	table.cold.ColdOptions = o.Cold
	return &Controller{
		mailbox: make(chan message, mailboxSize), questions: make(chan struct{}, maxQuestions), stopped: make(chan struct{}), crashes: crashes, opts: o, log: log,
		watch: task.NewStopwatch("pool", o.Meter, log), table: table, queues: newQueues(), budgets: map[string]*RetryBudget{},
	}
}

// Run handles messages and removes entries that were not relisted, until ctx ends. platform.VM runs it as a task.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.stopped)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer c.queues.timer.Stop()
	for {
		select {
		case m := <-c.mailbox:
			started := time.Now()
			m.handle(ctx, c)
			c.watch.Handled(started, m)
		case now := <-ticker.C:
			started := time.Now()
			for _, id := range c.table.Sweep(now) {
				c.log.Info("endpoint gone", "endpoint", id, "why", "not relisted after the directory became readable again")
			}
			c.logCold(now)
			c.watch.Ticked(started)
		case <-c.queues.timer.C:
			started := time.Now()
			c.serveQueues(ctx, started)
			c.watch.Ticked(started)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Choose implements filter.Pool. It places a run and counts it as in flight until Done. Filter Forward calls it for
// each send, and for a replacement before it gives up a silent send; if it fails, nothing is sent and nothing counted as in flight.
func (c *Controller) Choose(ctx context.Context, q Query) (Placement, error) {
	if err := task.Tell(c.questions, struct{}{}); err != nil {
		return Placement{}, result.Errorf(result.QueueFull, "place run: endpoint controller: %v", err).WithRetryAfter(retryAfter)
	}
	r, err := task.AskOrLeave(ctx, c.stopped, c.mailbox, func(reply task.Reply[chooseReply]) message { return chooseMessage{q, reply} })
	switch {
	case errors.Is(err, task.ErrFull):
		<-c.questions
		return Placement{}, result.Errorf(result.QueueFull, "place run: endpoint controller: %v", err).WithRetryAfter(retryAfter)
	case errors.Is(err, task.ErrStopped):
		return Placement{}, result.Errorf(result.Leaving, "place run: endpoint controller: %v", err)
	case err != nil:
		return Placement{}, result.Errorf(result.DeadlinePassed, "place run: endpoint controller: %v", err)
	}
	switch r.choice {
	case ChoicePlaced:
		return r.placement, nil
	case ChoiceNoBudget:
		return Placement{}, result.Errorf(result.QueueFull, "service %s: retry budget is used up", q.Service).WithRetryAfter(retryAfter)
	case ChoicePausing:
		return Placement{}, result.Errorf(result.QueueFull, "service %s: its endpoints want no runs for a while", q.Service).WithRetryAfter(r.pause)
	case ChoiceCold:
		return Placement{}, result.Errorf(result.QueueFull, "service %s: its endpoints are cold and take no more runs of this VM", q.Service).WithRetryAfter(r.pause)
	case ChoiceFull:
		return Placement{}, result.Errorf(result.QueueFull, "service %s: its endpoints have no room", q.Service).WithRetryAfter(r.pause)
	case ChoiceLeaving:
		return Placement{}, result.Errorf(result.Leaving, "service %s: this VM is shutting down", q.Service).WithRetryAfter(retryAfter)
	case ChoiceLater:
		return Placement{}, result.Errorf(result.QueueFull, "endpoint %s: other silent runs are moved first", q.Silent).WithRetryAfter(retryAfter)
	case ChoiceNoHome:
		return Placement{}, result.Errorf(result.NoHome, "service %s: no endpoint is listed in regions %q", q.Service, q.Homes.Names).WithRetryAfter(placesRetryAfter)
	case ChoiceEvacuated:
		return Placement{}, result.Errorf(result.NoEndpoint, "service %s: all its endpoints that may serve it are in evacuated zones %q", q.Service, r.evacuated).WithRetryAfter(placesRetryAfter)
	default:
		return Placement{}, result.Errorf(result.NoEndpoint, "service %s version %q", q.Service, q.Version).WithRetryAfter(retryAfter)
	}
}

// Done implements filter.Pool: it records how a run ended. Filter Forward calls it once for each placement, also after
// ctx has ended.
func (c *Controller) Done(ctx context.Context, o Outcome) error {
	return c.tellWithTimeout(ctx, doneMessage{o})
}

// Versions returns the number of endpoints of a service that accept runs, by version. The controller of traffic shifts
// calls it.
func (c *Controller) Versions(ctx context.Context, service string) (map[string]int, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- map[string]int) message { return versionsMessage{service, reply} })
}

// tellWithTimeout waits for room in the mailbox, because a lost message would leave the state wrong.
func (c *Controller) tellWithTimeout(ctx context.Context, m message) error {
	return task.TellWithin(ctx, c.mailbox, m, tellTimeout)
}

// handle counts the run in the retry budget and places it; a retry that isn't placed isn't counted, nor is a first send that is placed
// anew. An escalation leaves a part of the budget to retries after failures. A run whose request has left isn't placed. Choose sends
// the message.
func (m chooseMessage) handle(ctx context.Context, c *Controller) {
	<-c.questions
	now := time.Now()
	budget := c.budget(m.query.Service)
	if !m.query.Retry && !m.query.Again {
		budget.CountRequest(now)
	}
	if !m.reply.Wanted() {
		return
	}
	if refusal := c.takeRetry(&m.query, budget, now); refusal != 0 {
		m.reply.Send(chooseReply{choice: refusal})
		return
	}
	if c.mustWait(&m.query) || (c.place(m, 0, now) == ChoiceFull && m.query.Waits) {
		c.wait(ctx, m, now)
	}
}

// place places the run and sends the reply, unless the run may wait and no endpoint has room for it. It returns what was chosen. The
// handler of chooseMessage calls it, and serveQueue.
func (c *Controller) place(m chooseMessage, waited time.Duration, now time.Time) Choice {
	budget := c.budget(m.query.Service)
	p, choice := c.table.Choose(&m.query, now)
	if choice == ChoiceFull && m.query.Waits {
		return choice
	}
	p.Waited = waited
	if m.query.Retry && choice != ChoicePlaced {
		budget.ReturnRetry(now)
	}
	p.RetryAllowed = budget.AllowsEscalation(now)
	reply := chooseReply{placement: p, choice: choice}
	switch choice {
	case ChoicePausing:
		reply.pause = c.table.pauseLeft(&m.query, now)
	case ChoiceCold:
		reply.pause = c.table.coldWait(&m.query, now)
	}
	if choice == ChoiceEvacuated {
		reply.evacuated = c.evacuatedZones()
	}
	if !m.reply.Send(reply) && choice == ChoicePlaced {
		c.giveBack(&m.query, &p, now)
	}
	return choice
}

// takeRetry counts a retry in the budget, and returns why it isn't allowed, or 0. The handler of chooseMessage calls it.
func (c *Controller) takeRetry(q *Query, budget *RetryBudget, now time.Time) Choice {
	switch {
	case !q.Retry:
	case q.Escalation && c.waitsFor(q.Service):
		return ChoiceFull
	case q.Escalation && !budget.AllowsEscalation(now):
		return ChoiceNoBudget
	case q.Escalation:
		budget.CountRetry(now)
	case q.Silent != "" && !c.table.TakeMove(q.Silent, now):
		return ChoiceLater
	case !budget.TakeRetry(now):
		return ChoiceNoBudget
	}
	return 0
}

// giveBack takes a placement back whose request left while it was placed. The handler of chooseMessage calls it.
func (c *Controller) giveBack(q *Query, p *Placement, now time.Time) {
	o := Outcome{Endpoint: p.ID, Incarnation: p.Incarnation, Number: p.Number, End: EndUnused, Service: q.Service, Model: q.Model, Weight: q.Weight, SendBy: p.SendBy}
	_ = c.table.Done(&o, now) // a run that wasn't sent proves no crash
	if q.Retry {
		c.budget(q.Service).ReturnRetry(now)
	}
}

// budget returns the retry budget of a service, and makes one if there is none.
func (c *Controller) budget(service string) *RetryBudget {
	b, ok := c.budgets[service]
	if !ok {
		b = NewRetryBudget(c.opts.RetryLimit)
		c.budgets[service] = b
	}
	return b
}

func (m doneMessage) handle(ctx context.Context, c *Controller) {
	now := time.Now()
	c.reportCrashes(ctx, c.table.Done(&m.outcome, now))
	c.serveAfter(ctx, &m.outcome, now)
	switch m.outcome.End {
	case EndUnused:
		c.budget(m.outcome.Service).ReturnRetry(time.Now())
	case EndLost, EndTimeout, EndUnreachable, EndReplaced, EndMisdirected:
		c.log.Info("endpoint suspected", "endpoint", m.outcome.Endpoint, "end", m.outcome.End.String())
	}
}

func (m versionsMessage) handle(_ context.Context, c *Controller) {
	m.reply <- c.table.Versions(m.service)
}

// reportCrashes logs the crashes and passes them on to be counted. It is called after each Put, Drop, Retain and Done.
func (c *Controller) reportCrashes(ctx context.Context, list []Crash) {
	for _, crash := range list {
		c.log.Info("endpoint crashed", "endpoint", crash.Endpoint, "fingerprint", crash.Fingerprints.Whole())
		if err := c.crashes.Crashed(ctx, crash.Fingerprints, crash.Endpoint); err != nil {
			c.log.Info("cannot count crash", "endpoint", crash.Endpoint, "error", err.Error())
		}
	}
}
