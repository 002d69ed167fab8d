package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cornelmux/internal/admission"
	"cornelmux/internal/drain"
)

const (
	// queueInterval is how often the runs that wait are looked at, while there are any: endpoints may have room by what peers say, and
	// runs may have expired.
	queueInterval = 20 * time.Millisecond
	// maxServed is how many runs that wait for the same endpoints are tried at once.
	maxServed = 8
	// maxQueued is how many runs wait for the same endpoints at most, maxQueueTime for how long one does whatever its deadline is.
	maxQueued    = 512
	maxQueueTime = 10 * time.Second
	// refusalLogInterval is the shortest time between two log lines of refused runs; the later one says how many were left out.
	refusalLogInterval = 50 * time.Millisecond
)

// Stops tells whether the VM is shutting down. Stopping must not block.
type Stops interface {
	Stopping() (drain.Stop, bool)
}

// AdmissionMeter records the runs that wait for room and those that are refused.
type AdmissionMeter interface {
	// RunsWaiting records that so many runs more wait, or fewer.
	RunsWaiting(ctx context.Context, service string, priority, change int)
	// RunWaited records how long a run waited that was placed.
	RunWaited(ctx context.Context, service string, priority int, waited time.Duration)
	// RunRefused records a run that was refused for want of room.
	RunRefused(ctx context.Context, service string, priority int, reason string)
}

// queuedRun is a run that waits.
type queuedRun = admission.Waiter[chooseMessage]

// queueKey tells the endpoints that runs may get.
type queueKey struct{ service, version, excluded, homes string }

// queues holds the runs that wait for room, by the endpoints that they may get.
type queues struct {
	byKey map[queueKey]*admission.Queue[chooseMessage]
	// timer fires while something waits; armed says that it will.
	timer *time.Timer
	armed bool
	// loggedAt is when a refusal was last logged, unlogged how many were not since.
	loggedAt time.Time
	unlogged int
}

func newQueues() queues {
	q := queues{byKey: map[queueKey]*admission.Queue[chooseMessage]{}, timer: time.NewTimer(time.Hour)}
	q.timer.Stop()
	return q
}

// newQueueKey returns the key of the endpoints that may get the run.
func newQueueKey(q *Query) queueKey {
	homes := ""
	if q.Homes.Limited {
		homes = "only " + strings.Join(q.Homes.Names, " ")
	}
	return queueKey{q.Service, q.Version, strings.Join(q.ExcludedVersions, " "), homes}
}

// mustWait reports whether others wait for the same endpoints that go before the run. The handler of chooseMessage calls it.
func (c *Controller) mustWait(q *Query) bool {
	if !q.Waits || q.slots() == 0 || len(c.queues.byKey) == 0 {
		return false
	}
	queue := c.queues.byKey[newQueueKey(q)]
	return queue != nil && queue.HoldsBack(q.Priority)
}

// waitsFor reports whether runs wait for endpoints of the service. takeRetry asks it before a stronger model, which takes far more of an
// engine than the answer that there is already, gets a place before them.
func (c *Controller) waitsFor(service string) bool {
	for key := range c.queues.byKey {
		if key.service == service {
			return true
		}
	}
	return false
}

// wait puts the run into its queue, or refuses it. The handler of chooseMessage calls it if no endpoint has room.
func (c *Controller) wait(ctx context.Context, m chooseMessage, now time.Time) {
	key := newQueueKey(&m.query)
	queue := c.queues.byKey[key]
	if queue == nil {
		queue = admission.NewQueue[chooseMessage](admission.Limits{Length: maxQueued, Wait: maxQueueTime})
		c.queues.byKey[key] = queue
	}
	dropped, refusal := queue.Push(c.admissionRequest(&m.query), m, now)
	if refusal == nil {
		c.countWaiting(ctx, &m.query, 1)
	} else {
		c.refuse(ctx, m, refusal, 0, now)
	}
	if dropped != nil {
		c.countWaiting(ctx, &dropped.Value.query, -1)
		c.refuse(ctx, dropped.Value, &admission.Refusal{Reason: admission.ReasonLength, Waiting: queue.Len()}, now.Sub(dropped.Since), now)
	}
	c.tidyQueue(key, queue)
	c.armQueues()
}

// admissionRequest returns what the order and the refusals of a queue depend on.
func (c *Controller) admissionRequest(q *Query) admission.Request {
	return admission.Request{
		Account: q.Account, Urgency: q.Priority, Again: q.Again, Objective: q.Objective, Deadline: q.Deadline,
		Begin: c.table.typical[latencyKey{q.Service, q.Model}].TTFB,
	}
}

// refuse refuses a run that waits, or would have to, and gives its retry back.
func (c *Controller) refuse(ctx context.Context, m chooseMessage, why *admission.Refusal, waited time.Duration, now time.Time) {
	q := &m.query
	after := admission.Spread(why.RetryAfter, rand.Float64())
	if !c.reply(m, chooseReply{choice: ChoiceFull, pause: after}, now) {
		return
	}
	if c.opts.Admission != nil {
		c.opts.Admission.RunRefused(ctx, q.Service, q.Priority, why.Reason.String())
	}
	if now.Sub(c.queues.loggedAt) < refusalLogInterval {
		c.queues.unlogged++
		return
	}
	c.log.Info("run refused", "service", q.Service, "version", q.Version, "account", q.Account, "priority", q.Priority, "why", why.Reason.String(),
		"waiting", why.Waiting, "waited_ms", waited.Milliseconds(), "retry_after_ms", after.Milliseconds(), "left_ms", timeLeft(q.Deadline, now).Milliseconds(),
		"typical_first_ms", c.table.typical[latencyKey{q.Service, q.Model}].TTFB.Milliseconds(), "not_logged", c.queues.unlogged)
	c.queues.loggedAt, c.queues.unlogged = now, 0
}

// timeLeft returns the time until the deadline; 0 if there is none.
func timeLeft(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return deadline.Sub(now)
}

// reply answers a run that isn't placed, and gives its retry back. It reports whether the asker gets the reply.
func (c *Controller) reply(m chooseMessage, r chooseReply, now time.Time) bool {
	if m.query.Retry {
		c.budget(m.query.Service).ReturnRetry(now)
	}
	return m.reply.Send(r)
}

// armQueues starts the timer if it isn't running and something waits.
func (c *Controller) armQueues() {
	if !c.queues.armed && len(c.queues.byKey) > 0 {
		c.queues.armed = true
		c.queues.timer.Reset(queueInterval)
	}
}

// serveQueues takes out what has left, expired or is refused by the shutdown, and places what finds room. Run calls it when the timer
// fires.
func (c *Controller) serveQueues(ctx context.Context, now time.Time) {
	c.queues.armed = false
	for key, queue := range c.queues.byKey {
		c.removeLeft(ctx, queue, now)
		for _, w := range queue.Expire(now) {
			c.countWaiting(ctx, &w.Value.query, -1)
			c.refuse(ctx, w.Value, &admission.Refusal{Reason: admission.ReasonExpired, Waiting: queue.Len()}, now.Sub(w.Since), now)
		}
		c.serveQueue(ctx, key, queue, maxServed, now)
	}
	c.armQueues()
}

// removeLeft takes out the runs whose askers have left, and those that the shutdown of the VM refuses: these weren't sent before.
func (c *Controller) removeLeft(ctx context.Context, queue *admission.Queue[chooseMessage], now time.Time) {
	var stop drain.Stop
	stopping := false
	if c.opts.Stops != nil {
		stop, stopping = c.opts.Stops.Stopping()
	}
	out := queue.Filter(func(w *queuedRun) bool {
		return !w.Value.reply.Wanted() || (stopping && !w.Again && stop.RefusesSend(now, w.Deadline))
	})
	for _, w := range out {
		c.countWaiting(ctx, &w.Value.query, -1)
		c.reply(w.Value, chooseReply{choice: ChoiceLeaving}, now)
	}
}

// serveAfter places what waits for the endpoint of a run that ended. The handler of doneMessage calls it.
func (c *Controller) serveAfter(ctx context.Context, o *Outcome, now time.Time) {
	if o.End == EndRefused {
		return
	}
	for key, queue := range c.queues.byKey {
		if key.service == o.Service {
			c.serveQueue(ctx, key, queue, 1, now)
		}
	}
}

// serveQueue places runs that wait, in their order, up to n, until one finds no room. One that was sent before may find none where another
// does, since it isn't sent to the same endpoint twice; then others that were sent to the same endpoints aren't tried either.
func (c *Controller) serveQueue(ctx context.Context, key queueKey, queue *admission.Queue[chooseMessage], n int, now time.Time) {
	var roomless [][]string // the endpoints that such runs were sent to
	for tries := 0; n > 0 && tries < maxServed; tries++ {
		w := queue.Next(now, func(w *queuedRun) bool {
			return slices.ContainsFunc(roomless, func(tried []string) bool { return slices.Equal(tried, w.Value.query.Exclude) })
		})
		if w == nil {
			break
		}
		q := &w.Value.query
		if !w.Value.reply.Wanted() {
			queue.Remove(w)
			c.countWaiting(ctx, q, -1)
			c.reply(w.Value, chooseReply{}, now)
			continue
		}
		waited := max(now.Sub(w.Since), 1)
		choice := c.place(w.Value, waited, now)
		if choice == ChoiceFull && len(q.Exclude) == 0 {
			break
		}
		if choice == ChoiceFull {
			roomless = append(roomless, q.Exclude)
			continue
		}
		c.countWaiting(ctx, q, -1)
		if choice != ChoicePlaced { // no endpoint is left for it
			queue.Remove(w)
			continue
		}
		queue.Sent(w, now)
		n--
		if c.opts.Admission != nil {
			c.opts.Admission.RunWaited(ctx, q.Service, q.Priority, waited)
		}
	}
	c.tidyQueue(key, queue)
}

// tidyQueue forgets an empty queue.
func (c *Controller) tidyQueue(key queueKey, queue *admission.Queue[chooseMessage]) {
	if queue.Len() == 0 {
		delete(c.queues.byKey, key)
	}
}

// countWaiting records that a run more waits, or one less.
func (c *Controller) countWaiting(ctx context.Context, q *Query, change int) {
	if c.opts.Admission != nil {
		c.opts.Admission.RunsWaiting(ctx, q.Service, q.Priority, change)
	}
}
