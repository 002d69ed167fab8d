package filter

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/drain"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/shift"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// Pool tracks the endpoints of the services.
type Pool interface {
	// Choose places the run on an endpoint and counts it as in flight there until Done.
	Choose(ctx context.Context, q pool.Query) (pool.Placement, error)
	Done(ctx context.Context, o pool.Outcome) error
	// Began records that the answer of a run began; it must be safe for use by several goroutines and not wait.
	Began(ctx context.Context, b pool.Begin) error
	// Confirm reports whether the endpoint that a run was placed on may still get it. It must be safe for use by several goroutines.
	Confirm(ctx context.Context, q pool.Query, id string) (bool, error)
	// Note records what an endpoint said of itself with an answer; it must be safe for use by several goroutines.
	Note(ctx context.Context, n pool.Notice) error
}

// Shifts decides which version a session gets during a traffic shift.
type Shifts interface {
	Bind(ctx context.Context, service, session string) (shift.Binding, error)
	// AttemptStarted records that an attempt is being sent.
	AttemptStarted(ctx context.Context, a shift.Attempt) error
	// AttemptProgressed records the progress of an attempt whose binding says Trial.
	AttemptProgressed(ctx context.Context, p shift.Progress) error
	// AttemptEnded records how an attempt ended.
	AttemptEnded(ctx context.Context, o shift.Outcome) error
}

const (
	// answerMargin is how long before the caller's timeout a request of which nothing was answered is given up, so that the error
	// reaches the caller; for short timeouts it is maxAnswerMarginShare of them.
	answerMargin         = 25 * time.Millisecond
	maxAnswerMarginShare = 0.05
	// minSendTime is the time to the deadline below which a request is not sent any more.
	minSendTime = 20 * time.Millisecond
	// ttfbTimeoutFactor multiplies the typical time to first byte to get the silence timeout for the head of an answer,
	// if the request may be retried at another endpoint.
	ttfbTimeoutFactor = 6
	// minTTFBTimeoutShare is the least value of that timeout, as a share of the route's objective.
	minTTFBTimeoutShare = 1.0
	// prefillTimeoutFactor multiplies the time to process the prompt to get the least value of that timeout, since a prompt
	// that is being read shares its engine with others.
	prefillTimeoutFactor = 2
	// gapTimeoutShare is the share of the route's MaxGap after which a silent stream is resumed at another endpoint.
	gapTimeoutShare = 0.8
	// retryAfter is the Retry-After of requests that no endpoint accepted.
	retryAfter = 400 * time.Millisecond
	// maxUrgency is the greatest value of the urgency header, which is the least urgent.
	maxUrgency = 9
)

// Forward sends a request to an endpoint of its service and passes the answer on. After a failure it retries at another
// endpoint if the request is idempotent or was not run; a stream resumes there after the last whole event.
type Forward struct {
	Pool        Pool
	Shifts      Shifts
	Sender      Sender
	Quarantines Quarantines
	// Memory accounts for the answers; nil counts nothing.
	Memory AnswerMemory
	// Routes provides the newest route table, which narrows the homes of a request that goes on for long; nil keeps them.
	Routes Routes
}

// Handle implements Filter. Forward is the last filter of its chain. If the sink refuses an answer with errEscalate, it asks the
// strongest model of the route's cascade beside it.
func (f Forward) Handle(ctx context.Context, x *Exchange, _ Next) error {
	run := &forwardRun{
		placer: placer{f.Pool, f.Shifts, x.Request.Session, newHomeKeeper(f.Routes, x)}, sender: f.Sender, quarantines: f.Quarantines, memory: f.Memory, x: x,
		lastEventID: x.Routed.LastEventID,
	}
	defer func() { run.release(ctx, run.reserved) }()
	defer func() { run.errorAnswer.release() }()
	run.timer = time.NewTimer(0)
	run.timer.Stop()
	defer run.timer.Stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if wait, ok := run.timeToGiveUp(); ok {
		run.giveUp = time.AfterFunc(wait, func() { cancel(context.DeadlineExceeded) })
		defer run.giveUp.Stop()
	}
	for {
		err := run.attempt(ctx)
		if err == nil {
			return nil
		}
		if !run.shouldRetry(ctx, err) {
			return run.finish(ctx, err)
		}
	}
}

// forwardRun is one request on its way through Forward. Only the goroutine of the request uses it; its sends and the placement of
// a replacement are tasks, which tell it what comes by messages.
type forwardRun struct {
	placer
	sender      Sender
	quarantines Quarantines
	memory      AnswerMemory
	x           *Exchange
	// giveUp cancels the request unless a part of the answer is relayed before; nil without a deadline of the caller.
	giveUp *time.Timer
	// reserved is the placement of the next send, if there is one already.
	reserved *Reservation
	// tried lists the IDs of the endpoints that this run has used, without the one whose answer is kept.
	tried []string
	// current is the send whose answer goes to the caller. replacement is one that is opened beside it, because it is silent or to
	// ask a stronger model, and asked the task that looks for a placement for one; both may be nil.
	current     *sendTask
	replacement *sendTask
	asked       *replacementTask
	// timer fires once the newest send was silent for too long.
	timer *time.Timer
	// keepUntil is when an answer that is kept goes on at the latest; zero means no limit.
	keepUntil time.Time
	// lastEventID is the ID of the last whole event that the caller has.
	lastEventID string
	// order is what is known of the events that the caller has.
	order eventOrder
	// misdirected says that the last send ended with endpoint.ErrMisdirected.
	misdirected bool
	// errorAnswer is the endpoint's answer with an error status, held back while another endpoint may answer better.
	errorAnswer *bufferedAnswer
}

// timeToGiveUp returns the time until answerMargin before the caller's timeout; false if the route's timeout ends before that or a part
// of the answer was relayed. Handle calls it once.
func (f *forwardRun) timeToGiveUp() (time.Duration, bool) {
	x := f.x
	timeout := x.Routed.CallerTimeout
	margin := min(answerMargin, time.Duration(maxAnswerMarginShare*float64(timeout)))
	at := x.Arrived.Add(timeout - margin)
	if timeout <= 0 || x.Relayed || x.Request.Deadline.Before(at) {
		return 0, false
	}
	return time.Until(at), true
}

// bufferedAnswer is a whole answer that is held back, with the memory of its body.
type bufferedAnswer struct {
	head   Head
	body   endpoint.Chunk
	memory *answerClaim
}

// release gives the memory back; b may be nil.
func (b *bufferedAnswer) release() {
	if b != nil {
		b.memory.release()
	}
}

// attempt checks the quarantine before a retry and after a wait for room, places the run unless a placement is reserved, sends it and
// follows the send to its end, and to those of its replacements. If a check or the placement fails, nothing is sent or reported, and there
// is no retry. Handle calls it for the first send and for each retry.
func (f *forwardRun) attempt(ctx context.Context) error {
	if err := f.checkResend(ctx); err != nil {
		return err
	}
	r := f.reserved
	f.reserved = nil
	if r == nil {
		var err error
		if r, err = f.reserveNext(ctx, f.query()); err != nil {
			return err
		}
	}
	if err := f.checkWaited(ctx, r); err != nil {
		f.release(ctx, r)
		return err
	}
	f.setCurrent(f.startSend(ctx, r, f.x.Attempt.Model))
	f.watch(f.current.first)
	return f.follow(ctx)
}

// startSend starts a send that asks the model at the reserved endpoint. It is bound to the request, not to another send.
func (f *forwardRun) startSend(ctx context.Context, r *Reservation, model string) *sendTask {
	x, place := f.x, r.Placement
	f.tried = append(f.tried, place.ID)
	x.Routed.Attempts++
	x.Flight.progress(x, drain.StageSent)
	now := time.Now()
	s := &sendTask{
		place: place, placing: r.Took, model: model, trial: r.Binding.Trial, sender: f.sender, pool: f.Pool, call: f.call(model), resumes: x.Relayed,
		messages: make(chan message), ends: make(chan task.End, 1), sendResult: sendResult{began: now, progressAt: now, reportAt: firstProgress},
		present: shift.Attempt{
			ID: shift.AttemptID{Request: x.Request.ID, Number: x.Routed.Attempts}, Service: x.Routed.Service, Version: place.Version,
			Session: x.Request.Session, Endpoint: place.ID, Kind: x.Routed.Route.Name + " " + model,
			Model: model, Running: place.Running,
		},
	}
	if s.memory = newAnswerClaim(f.memory, x.Request.ID); s.memory != nil {
		s.call.Memory = s.memory
	}
	s.first = f.firstSilenceLimit(place)
	s.gap = f.eventGapLimit(s.first)
	ctx, s.cancel = context.WithCancel(ctx)
	s.check = f.sendCheck(ctx, s, r)
	_ = f.Shifts.AttemptStarted(ctx, s.present) // a full mailbox loses the binding of the session
	task.Start(ctx, "send", s.ends, s.run)
	return s
}

// setCurrent makes s the send whose answer goes to the caller.
func (f *forwardRun) setCurrent(s *sendTask) {
	f.current = s
	a := &f.x.Attempt
	a.Endpoint, a.Version, a.Load = s.target(), s.place.Version, s.place.Load
	a.RetryAllowed, a.StrongerLatency = s.place.RetryAllowed, s.place.StrongerLatency
}

// query describes the run for placement. Only streams go to model engines and carry a model, a prompt and an affinity:
// the shared prefix of the prompt, or else the session. It's called before each send, and for the replacement of a silent one.
func (f *forwardRun) query() pool.Query {
	x := f.x
	q := pool.Query{
		Service: x.Routed.Service, Exclude: f.tried, Retry: x.Routed.Attempts > 0, Config: x.Routed.Table.Service(x.Routed.Service),
		Waits: !x.Relayed, Again: x.Routed.Attempts > 0, Homes: x.Routed.Homes, Account: x.Routed.Account, Priority: x.Routed.Priority, Deadline: x.Request.Deadline,
	}
	if objective := x.Routed.Route.Objective; objective > 0 {
		q.Objective = x.Arrived.Add(objective)
	}
	if x.Routed.Route.Kind == routing.KindStream {
		q.Model, q.Prompt, q.Weight = x.Attempt.Model, x.Routed.Prompt, f.weight(x.Attempt.Model)
		if n := len(x.Routed.Route.Cascade); n > 0 && x.Attempt.Level < n-1 {
			q.StrongerModel = x.Routed.Route.Cascade[n-1]
		}
		q.Affinity = x.Routed.Prompt.SharedPrefix()
		if q.Affinity == 0 && x.Request.Session != "" {
			q.Affinity = xxhash.Sum64String(x.Request.Session)
		}
	}
	return q
}

// weight returns the share of an engine, 0 to 1, that a run of the model takes.
func (f *forwardRun) weight(model string) float64 {
	s := f.x.Routed.Table.Service(f.x.Routed.Service)
	if s == nil {
		return 1
	}
	return s.Engine.Weight(model)
}

// shouldRetry reports whether the request may be sent to another endpoint after err: it may go on elsewhere, and attempts are
// left. Handle calls it after each failed attempt.
func (f *forwardRun) shouldRetry(ctx context.Context, err error) bool {
	return f.mayGoOn(ctx, err) && f.x.Routed.attemptsLeft() > 0
}

// mayGoOn reports whether another endpoint may answer the request after err: the caller is still connected, the error is not
// final, and the request is idempotent or was not run. Error statuses below 500 are final, except to resume a stream, and so is a lack
// of memory, since another answer needs as much.
func (f *forwardRun) mayGoOn(ctx context.Context, err error) bool {
	x := f.x
	if ctx.Err() != nil || x.Routed.callerLeft() || errors.Is(err, errCallerGone) || errors.Is(err, endpoint.ErrNoMemory) {
		return false
	}
	var coded *result.Error
	if errors.As(err, &coded) {
		return false
	}
	if errors.Is(err, errEndpointStatus) && f.errorAnswer.head.Status < 500 && !x.Relayed {
		return false
	}
	if x.Relayed && f.order.unnumbered {
		return false
	}
	return x.Idempotent || !x.Routed.MayHaveRun
}

// finish passes the endpoint's answer with an error status on, if there is one, or returns the error for the caller.
// Handle calls it if there is no retry.
func (f *forwardRun) finish(ctx context.Context, err error) error {
	x := f.x
	if f.errorAnswer != nil && !x.Relayed {
		if err := x.Sink.Begin(ctx, f.errorAnswer.head); err != nil {
			return err
		}
		x.Relayed = true
		return x.Sink.Chunk(ctx, f.errorAnswer.body)
	}
	return f.callerError(ctx, err)
}

// callerError returns the error that the caller gets after the last send failed with err. Its run state is "not run"
// only if no endpoint can have run the request. finish calls it.
func (f *forwardRun) callerError(ctx context.Context, err error) *result.Error {
	x := f.x
	var refused *endpoint.RefusedError
	var e *result.Error
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		e = result.Errorf(result.DeadlinePassed, "%v", err)
	case f.misdirected && x.namesModel() && !x.Routed.MayHaveRun:
		e = result.Errorf(result.ModelNotServed, "%s: %v", endpointNames(f.tried), err)
	case errors.As(err, &refused):
		e = result.Errorf(result.QueueFull, "%s", endpointNames(f.tried)).WithRetryAfter(retryAfter)
	case errors.As(err, &e):
	case errors.Is(err, endpoint.ErrNotSent), errors.Is(err, endpoint.ErrReplaced), errors.Is(err, endpoint.ErrMisdirected):
		e = result.Errorf(result.NoEndpoint, "%s: %v", endpointNames(f.tried), err).WithRetryAfter(retryAfter)
	case errors.Is(err, endpoint.ErrNoMemory):
		e = result.Errorf(result.NoMemory, "%s: %v", endpointNames(f.tried), err)
	case x.Relayed:
		e = result.Errorf(result.AnswerBroken, "%s: %v", endpointNames(f.tried), err)
	case x.Idempotent:
		e = result.Errorf(result.EndpointFailed, "%s: %v", endpointNames(f.tried), err)
	default:
		e = result.Errorf(result.OutcomeUnknown, "%s: %v", endpointNames(f.tried), err)
	}
	c := *e
	c.Run = result.NotRun
	if x.Routed.MayHaveRun {
		c.Run = result.Unknown
	}
	return &c
}

func endpointNames(endpoints []string) string { return "endpoints " + strings.Join(endpoints, ", ") }
