package filter

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/shift"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// Pool knows the endpoints of the services.
type Pool interface {
	// Choose picks an endpoint and counts the run as in flight there until Done.
	Choose(ctx context.Context, q pool.Query) (pool.Placement, error)
	Done(ctx context.Context, o pool.Outcome) error
}

// Shifts decides which version a session gets while a service moves to another.
type Shifts interface {
	Bind(ctx context.Context, service, session string) (shift.Binding, error)
	AttemptStarted(ctx context.Context, service, session, version string) error
	AttemptEnded(ctx context.Context, a shift.Outcome) error
}

const (
	// leastBudget is the time that a send needs to be of use.
	leastBudget = 20 * time.Millisecond
	// silentFirst bounds the wait for the head of an answer that may be asked for elsewhere, as a multiple of the usual.
	silentFirst = 6
	// silentLeast is the shortest such wait, as a share of the objective.
	silentLeast = 1.0
	// gapShare is the share of the longest good pause after which a silent stream is resumed elsewhere.
	gapShare    = 0.8
	refusedWait = 400 * time.Millisecond
	maxUrgency  = 9
)

// Forward sends a request to an endpoint of its service and passes the answer on. What may be repeated goes to another
// endpoint after a failure; a stream goes on there after its last whole event.
type Forward struct {
	Pool   Pool
	Shifts Shifts
	Sender Sender
}

// Handle implements Filter.
func (f Forward) Handle(ctx context.Context, x *Exchange, _ Next) error {
	run := &forwarding{Forward: f, x: x, after: x.Routed.LastEventID}
	for {
		err := run.attempt(ctx)
		if err == nil || errors.Is(err, errUnsure) {
			return err
		}
		if !run.again(ctx, err) {
			return run.ending(ctx, err)
		}
	}
}

// forwarding is one request on its way through Forward.
type forwarding struct {
	Forward
	x       *Exchange
	tried   []string
	binding shift.Binding
	// after is the last whole event that the caller has.
	after string
	// failed is the endpoint's own failure, kept back while another endpoint may do better.
	failed *answer
}

// answer is a whole answer that was kept back.
type answer struct {
	head  Head
	piece endpoint.Chunk
}

var errOwnFailure = errors.New("the endpoint answered with a failure")

// attempt makes one send.
func (f *forwarding) attempt(ctx context.Context) error {
	x := f.x
	binding, err := f.Shifts.Bind(ctx, x.Routed.Service, x.Request.Session)
	if err != nil {
		return result.Errorf(result.QueueFull, "versions: %v", err)
	}
	place, err := f.Pool.Choose(ctx, f.query(binding))
	if err != nil {
		return err
	}
	f.tried = append(f.tried, place.ID)
	x.Routed.Attempts++
	x.Attempt.Endpoint = endpoint.Endpoint{ID: place.ID, Address: place.Address, Region: place.Region, Zone: place.Zone}
	x.Attempt.Version, x.Attempt.Load, x.Attempt.Spare, x.Attempt.Stronger = place.Version, place.Load, place.RetryAllowed, place.StrongerLatency
	_ = f.Shifts.AttemptStarted(ctx, x.Routed.Service, x.Request.Session, place.Version) // a full mailbox costs a session its version
	s := f.send(ctx, place)
	f.report(ctx, place, s)
	return s.err
}

func (f *forwarding) query(b shift.Binding) pool.Query {
	x := f.x
	q := pool.Query{
		Service: x.Routed.Service, Version: b.Version, ExcludedVersions: b.ExcludedVersions, Exclude: f.tried, Retry: x.Routed.Attempts > 0,
		Escalation: x.Attempt.Level > 0 && len(f.tried) == 0,
	}
	if x.Routed.Route.Kind == routing.KindStream {
		q.Model, q.Prompt, q.Weight = x.Attempt.Model, x.Routed.Prompt, f.weight()
		if n := len(x.Routed.Route.Cascade); n > 0 && x.Attempt.Level < n-1 {
			q.StrongerModel = x.Routed.Route.Cascade[n-1]
		}
		q.Affinity = x.Routed.Prompt.Shared()
		if q.Affinity == 0 && x.Request.Session != "" {
			q.Affinity = xxhash.Sum64String(x.Request.Session)
		}
	}
	return q
}

// weight is how much of an engine the run takes.
func (f *forwarding) weight() float64 {
	s := f.x.Routed.Table.Service(f.x.Routed.Service)
	if s == nil {
		return 1
	}
	return s.Engine.Weight(f.x.Attempt.Model)
}

// report tells the pool and the shifts how the send ended, and notes it for the log.
func (f *forwarding) report(ctx context.Context, place pool.Placement, s sent) {
	x := f.x
	o := pool.Outcome{
		Endpoint: place.ID, Incarnation: place.Incarnation, End: s.end, Service: x.Routed.Service, TTFB: s.first,
		Fingerprint: Fingerprint(x),
	}
	a := shift.Outcome{
		Service: x.Routed.Service, Version: place.Version, Session: x.Request.Session, Endpoint: place.ID,
		Kind: x.Routed.Route.Name + " " + x.Attempt.Model, Failed: s.end == pool.EndFailed, TimedOut: s.end == pool.EndTimeout,
		Partial:    errors.Is(s.err, errUnsure),
		Conclusive: s.end == pool.EndAnswered || s.end == pool.EndFailed || s.end == pool.EndTimeout, TTFB: s.first,
	}
	if x.Routed.Route.Kind == routing.KindStream {
		o.Model, o.Prompt, o.Weight = x.Attempt.Model, x.Routed.Prompt, f.weight()
	}
	if s.events > 2 {
		a.MeanGap = s.gaps / time.Duration(s.events-1)
		o.MeanGap = a.MeanGap
	}
	_ = f.Pool.Done(ctx, o)           // load figures age out
	_ = f.Shifts.AttemptEnded(ctx, a) // a full mailbox costs one answer's evidence
	step := Step{
		Endpoint: place.ID, Model: x.Attempt.Model, Version: place.Version, End: s.end.String(), Load: place.Load,
		First: s.first, Took: s.took, Events: s.events, Gap: a.MeanGap, Confidence: -1,
		Ruling: x.Attempt.Ruling.String(),
	}
	if s.head.HasConfidence {
		step.Confidence = s.head.Confidence
	}
	if s.err != nil {
		step.Err = s.err.Error()
	}
	x.Routed.Trace = append(x.Routed.Trace, step)
}

// again reports whether another endpoint may be tried after err.
func (f *forwarding) again(ctx context.Context, err error) bool {
	x := f.x
	if ctx.Err() != nil || errors.Is(err, errCallerGone) || x.Routed.Attempts >= x.Routed.Route.MaxAttempts {
		return false
	}
	var settled *result.Error
	if errors.As(err, &settled) {
		return false
	}
	if errors.Is(err, errOwnFailure) && f.failed.head.Status < 500 {
		return false
	}
	return x.Idempotent || !x.Routed.Ran
}

// ending gives the caller the endpoint's own failure, or the error that the request ends with.
func (f *forwarding) ending(ctx context.Context, err error) error {
	x := f.x
	if f.failed != nil && !x.Relayed {
		if err := x.Sink.Begin(ctx, f.failed.head); err != nil {
			return err
		}
		x.Relayed = true
		return x.Sink.Chunk(ctx, f.failed.piece)
	}
	return f.truth(ctx, err)
}

// truth says what is known of the request's runs.
func (f *forwarding) truth(ctx context.Context, err error) *result.Error {
	x := f.x
	var refused *endpoint.RefusedError
	var e *result.Error
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e = result.Errorf(result.DeadlinePassed, "%v", err)
	case errors.As(err, &refused):
		e = result.Errorf(result.QueueFull, "%s", names(f.tried)).WithRetryAfter(refusedWait)
	case errors.As(err, &e):
	case errors.Is(err, endpoint.ErrNotSent), errors.Is(err, endpoint.ErrReplaced):
		e = result.Errorf(result.NoEndpoint, "%s: %v", names(f.tried), err).WithRetryAfter(refusedWait)
	case x.Relayed:
		e = result.Errorf(result.AnswerBroken, "%s: %v", names(f.tried), err)
	case x.Idempotent:
		e = result.Errorf(result.EndpointFailed, "%s: %v", names(f.tried), err)
	default:
		e = result.Errorf(result.OutcomeUnknown, "%s: %v", names(f.tried), err)
	}
	c := *e
	c.Run = result.NotRun
	if x.Routed.Ran {
		c.Run = result.Unknown
	}
	return &c
}

func names(endpoints []string) string { return "endpoints " + strings.Join(endpoints, ", ") }
