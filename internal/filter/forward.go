package filter

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/shift"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// Pool tracks the endpoints of the services.
type Pool interface {
	// Choose places the run on an endpoint and counts it as in flight there until Done.
	Choose(ctx context.Context, q pool.Query) (pool.Placement, error)
	Done(ctx context.Context, o pool.Outcome) error
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
	// ttfbTimeoutFactor multiplies the usual time to first byte to get the silence timeout for the head of an answer,
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
}

// Handle implements Filter. Forward is the last filter of its chain. It returns errEscalate unchanged; Escalate then
// calls it again with the stronger model.
func (f Forward) Handle(ctx context.Context, x *Exchange, _ Next) error {
	run := &forwardRun{
		placer: placer{f.Pool, f.Shifts, x.Request.Session}, sender: f.Sender, quarantines: f.Quarantines, x: x,
		tried: slices.Clone(x.Routed.Failed), lastEventID: x.Routed.LastEventID,
	}
	run.reserved, x.Routed.Stronger = x.Routed.Stronger, nil
	defer func() { run.release(ctx, run.reserved) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if wait, ok := run.timeToGiveUp(); ok {
		run.giveUp = time.AfterFunc(wait, func() { cancel(context.DeadlineExceeded) })
		defer run.giveUp.Stop()
	}
	for {
		err := run.attempt(ctx)
		if err == nil || errors.Is(err, errEscalate) {
			return err
		}
		if !run.shouldRetry(ctx, err) {
			return run.finish(ctx, err)
		}
	}
}

// forwardRun is one request on its way through Forward.
type forwardRun struct {
	placer
	sender      Sender
	quarantines Quarantines
	x           *Exchange
	// giveUp cancels the request unless a part of the answer is relayed before; nil without a deadline of the caller.
	giveUp *time.Timer
	// reserved is the placement of the next send, if there is one already.
	reserved *Reservation
	// tried lists the IDs of the endpoints that this run has used, and of those that failed it at an earlier model.
	tried []string
	// present is the present attempt; trial says that its progress is to be told.
	present shift.Attempt
	trial   bool
	// lastEventID is the ID of the last whole event that the caller has.
	lastEventID string
	// order is what is known of the events that the caller has.
	order eventOrder
	// errorAnswer is the endpoint's answer with an error status, held back while another endpoint may answer better.
	errorAnswer *bufferedAnswer
}

// timeToGiveUp returns the time until answerMargin before the caller's timeout; false if the route's timeout ends before or a part
// of the answer was relayed. Handle calls it once.
func (f *forwardRun) timeToGiveUp() (time.Duration, bool) {
	x := f.x
	timeout := x.Routed.CallerTimeout
	end := x.Arrived.Add(timeout)
	if timeout <= 0 || x.Relayed || x.Request.Deadline.Before(end) {
		return 0, false
	}
	margin := min(answerMargin, time.Duration(maxAnswerMarginShare*float64(timeout)))
	return time.Until(end) - margin, true
}

// bufferedAnswer is a whole answer that is held back.
type bufferedAnswer struct {
	head Head
	body endpoint.Chunk
}

// errEndpointStatus ends a send that the endpoint answered with an error status; the answer is in errorAnswer.
var errEndpointStatus = errors.New("the endpoint answered with an error status")

// attempt checks the quarantine before a retry, places the run unless a placement is reserved, sends it once and reports the
// outcome. If the check or the placement fails, nothing is sent or reported, and there is no retry. Handle calls it for the first
// send and for each retry.
func (f *forwardRun) attempt(ctx context.Context) error {
	x := f.x
	if err := f.checkResend(ctx); err != nil {
		return err
	}
	r := f.reserved
	f.reserved = nil
	if r == nil {
		var err error
		if r, err = f.reserve(ctx, f.query()); err != nil {
			return err
		}
	}
	place := r.Placement
	f.tried = append(f.tried, place.ID)
	x.Routed.Attempts++
	x.Attempt.Endpoint = endpoint.Endpoint{ID: place.ID, Address: place.Address, Region: place.Region, Zone: place.Zone}
	x.Attempt.Version, x.Attempt.Load, x.Attempt.RetryAllowed, x.Attempt.StrongerLatency = place.Version, place.Load, place.RetryAllowed, place.StrongerLatency
	f.present, f.trial = shift.Attempt{
		ID: shift.AttemptID{Request: x.Request.ID, Number: x.Routed.Attempts}, Service: x.Routed.Service, Version: place.Version,
		Session: x.Request.Session, Endpoint: place.ID, Kind: x.Routed.Route.Name + " " + x.Attempt.Model,
		Model: x.Attempt.Model, Running: place.Running,
	}, r.Binding.Trial
	_ = f.Shifts.AttemptStarted(ctx, f.present) // a full mailbox loses the binding of the session
	s := f.send(ctx, place)
	f.reserved = s.reserved
	f.report(ctx, place, s)
	return s.err
}

// query describes the run for placement. Only streams go to model engines and carry a model, a prompt and an affinity:
// the shared prefix of the prompt, or else the session. It's called before each send, and for the replacement of a silent one.
func (f *forwardRun) query() pool.Query {
	x := f.x
	q := pool.Query{
		Service: x.Routed.Service, Exclude: f.tried, Retry: x.Routed.Attempts > 0,
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

// reserveStronger reserves a placement for the cascade's strongest model and reports whether there was one. begin calls it.
func (f *forwardRun) reserveStronger(ctx context.Context) bool {
	models := f.x.Routed.Route.Cascade
	q := f.query()
	q.Model, q.StrongerModel = models[len(models)-1], ""
	q.Weight = f.weight(q.Model)
	f.x.Routed.Failed = f.tried[:len(f.tried)-1]
	q.Exclude, q.Retry, q.Escalation = f.x.Routed.Failed, true, true
	r, err := f.reserve(ctx, q)
	f.x.Routed.Stronger = r
	return err == nil
}

// weight returns the share of an engine, 0 to 1, that a run of the model takes.
func (f *forwardRun) weight(model string) float64 {
	s := f.x.Routed.Table.Service(f.x.Routed.Service)
	if s == nil {
		return 1
	}
	return s.Engine.Weight(model)
}

// report tells the pool and the traffic shift how the send ended, and appends it to the trace for the log.
// attempt calls it after each send.
func (f *forwardRun) report(ctx context.Context, place pool.Placement, s sendResult) {
	x := f.x
	o := pool.Outcome{
		Endpoint: place.ID, Incarnation: place.Incarnation, End: s.end, Service: x.Routed.Service, TTFB: s.ttfb,
		SentAt: time.Now().Add(-s.duration), Events: s.events, Fingerprint: Fingerprint(x),
	}
	a := shift.Outcome{
		Attempt: f.present, Failed: s.end == pool.EndFailed, TimedOut: s.end == pool.EndTimeout,
		Conclusive: s.end == pool.EndAnswered || s.end == pool.EndFailed || s.end == pool.EndTimeout, TTFB: s.ttfb, Duration: s.duration,
		Pace: s.gaps.pace(),
	}
	if x.Routed.Route.Kind == routing.KindStream {
		o.Model, o.Prompt, o.Weight = x.Attempt.Model, x.Routed.Prompt, f.weight(x.Attempt.Model)
	}
	o.MeanGap = s.gaps.mean()
	f.reportRun(ctx, place, s)
	_ = f.Pool.Done(ctx, o)           // Done waits for room; if it fails even so, the run stays counted as in flight
	_ = f.Shifts.AttemptEnded(ctx, a) // a full mailbox loses one answer's evidence
	step := Step{
		Endpoint: place.ID, Model: x.Attempt.Model, Version: place.Version, End: s.end.String(), Load: place.Load,
		TTFB: s.ttfb, Duration: s.duration, Events: s.events, MeanGap: o.MeanGap, Silent: s.silent, Refused: s.refused,
		RefusedErr: s.refusedErr, Confidence: -1,
		Verdict: x.Attempt.Verdict.String(),
	}
	if s.head.HasConfidence {
		step.Confidence = s.head.Confidence
	}
	if s.err != nil {
		step.Err = s.err.Error()
	}
	x.Routed.Trace = append(x.Routed.Trace, step)
}

// shouldRetry reports whether the request may be sent to another endpoint after err: the caller is still connected,
// attempts are left, the error is not final, and the request is idempotent or was not run. Error statuses below 500 are
// final, except to resume a stream. Handle calls it after each failed attempt.
func (f *forwardRun) shouldRetry(ctx context.Context, err error) bool {
	x := f.x
	if ctx.Err() != nil || x.Routed.callerLeft() || errors.Is(err, errCallerGone) || x.Routed.attemptsLeft() <= 0 {
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
	case errors.As(err, &refused):
		e = result.Errorf(result.QueueFull, "%s", endpointNames(f.tried)).WithRetryAfter(retryAfter)
	case errors.As(err, &e):
	case errors.Is(err, endpoint.ErrNotSent), errors.Is(err, endpoint.ErrReplaced):
		e = result.Errorf(result.NoEndpoint, "%s: %v", endpointNames(f.tried), err).WithRetryAfter(retryAfter)
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
