package filter

import (
	"cmp"
	"context"
	"errors"
	"time"

	"cornelmux/internal/drain"
	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
)

// Requests tracks the requests in flight.
type Requests interface {
	// Enter counts a request as in flight until Exit. Update tells how it stands meanwhile.
	Enter(t *drain.Ticket, r drain.Request)
	Update(t *drain.Ticket, r drain.Request)
	Exit(t *drain.Ticket)
	// Stopping returns the timetable of the graceful shutdown; false before it begins.
	Stopping() (drain.Stop, bool)
}

// Drain tracks each request that passes it as in flight. During a graceful shutdown it refuses those that come too late; one of
// which nothing was answered when the VM has to end fails with result.Leaving. It follows Route, which sets the deadline, or goes
// before Authenticate.
type Drain struct {
	Requests Requests
}

// Handle implements Filter.
func (f Drain) Handle(ctx context.Context, x *Exchange, next Next) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.Flight = newFlight(f.Requests, &drain.Ticket{Cancel: cancel}, x)
	defer f.Requests.Exit(x.Flight.Ticket)
	if s, ok := f.Requests.Stopping(); ok && s.RefusesNew(time.Now(), x.Request.Deadline) {
		return refusedAtStop()
	}
	x.Sink = &drainSink{x: x, sink: x.Sink}
	err := next(ctx, x)
	if err != nil && isStopped(ctx) {
		return leavingError(x, err)
	}
	return err
}

// isStopped reports whether the shutdown of the VM ended the request's context.
func isStopped(ctx context.Context) bool {
	var s drain.Stop
	return errors.As(context.Cause(ctx), &s)
}

// refusedAtStop returns the error of a request that wasn't sent.
func refusedAtStop() *result.Error {
	return result.Errorf(result.Leaving, "this VM is shutting down").WithRetryAfter(retryAfter)
}

// leavingError returns the error of a request that the shutdown of the VM ended. Its run state is that of err, or "not run" if err has
// none and nothing was sent.
func leavingError(x *Exchange, err error) *result.Error {
	e := result.Errorf(result.Leaving, "this VM is shutting down: %v", err).WithRetryAfter(retryAfter)
	var coded *result.Error
	if errors.As(err, &coded) || x.Sends > 0 {
		e.Run = result.From(err).Run
	}
	return e
}

// Flight is a request's entry among those in flight. Its methods do nothing if it is nil.
type Flight struct {
	Requests Requests
	Ticket   *drain.Ticket
	// Request is what Requests was told last.
	Request drain.Request
}

// newFlight enters the request.
func newFlight(requests Requests, t *drain.Ticket, x *Exchange) *Flight {
	f := &Flight{Requests: requests, Ticket: t, Request: drain.Request{Arrived: x.Arrived, Stage: drain.StageReading}}
	f.describe(x)
	requests.Enter(t, f.Request)
	return f
}

// describe sets what is known of the request.
func (f *Flight) describe(x *Exchange) {
	f.Request.ID, f.Request.Deadline, f.Request.Sends = x.Request.ID, x.Request.Deadline, max(x.Sends, x.Routed.Attempts)
	f.Request.Route = cmp.Or(x.Request.Service, x.Request.Model)
	if x.Routed.Route != nil {
		f.Request.Route = x.Routed.Route.Name
	}
}

// progress tells where the request stands. A further send doesn't take back that the answer has begun.
func (f *Flight) progress(x *Exchange, s drain.Stage) {
	if f == nil {
		return
	}
	f.describe(x)
	f.Request.Stage = max(f.Request.Stage, s)
	f.Requests.Update(f.Ticket, f.Request)
}

// checkFirstSend fails if the VM is shutting down and a request with the deadline, of which nothing has run, comes too late to be
// sent. It's called before each send that may be refused.
func (f *Flight) checkFirstSend(deadline time.Time) error {
	if f == nil {
		return nil
	}
	if s, ok := f.Requests.Stopping(); ok && s.RefusesSend(time.Now(), deadline) {
		return refusedAtStop()
	}
	return nil
}

// drainSink tells when the first part of an answer is passed on.
type drainSink struct {
	x         *Exchange
	sink      Sink
	answering bool
}

// Begin implements Sink.
func (s *drainSink) Begin(ctx context.Context, h Head) error { return s.sink.Begin(ctx, h) }

// Chunk implements Sink. An answer that isn't whole yet doesn't begin any more once the request was ended.
func (s *drainSink) Chunk(ctx context.Context, c endpoint.Chunk) error {
	if !s.answering {
		if !c.Last && isStopped(ctx) {
			return context.Cause(ctx)
		}
		s.answering = true
		s.x.Flight.progress(s.x, drain.StageAnswering)
	}
	return s.sink.Chunk(ctx, c)
}
