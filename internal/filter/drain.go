package filter

import (
	"context"
	"errors"
	"time"

	"cornelmux/internal/drain"
	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
)

// Requests tracks the requests in flight.
type Requests interface {
	// Enter counts a request as in flight until Exit. Progress tells where it stands and how often it was sent.
	Enter(t *drain.Ticket, r drain.Request)
	Progress(t *drain.Ticket, s drain.Stage, sends int)
	Exit(t *drain.Ticket)
	// Stopping returns the timetable of the graceful shutdown; false before it begins.
	Stopping() (drain.Stop, bool)
}

// Drain tracks each request that passes it as in flight. During a graceful shutdown it refuses those that come too late; one of
// which nothing was answered when the VM has to end fails with result.Leaving. Drain follows Route, which sets the deadline.
type Drain struct {
	Requests Requests
}

// Handle implements Filter.
func (f Drain) Handle(ctx context.Context, x *Exchange, next Next) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &drain.Ticket{Cancel: cancel}
	f.Requests.Enter(t, drain.Request{
		ID: x.Request.ID, Route: x.Routed.Route.Name, Arrived: x.Arrived, Deadline: x.Request.Deadline, Stage: drain.StageReading,
	})
	defer f.Requests.Exit(t)
	x.Flight = &Flight{Requests: f.Requests, Ticket: t}
	if err := x.Flight.checkFirstSend(x.Request.Deadline); err != nil {
		return err
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

// leavingError returns the error of a request that the shutdown of the VM ended. Its run state is that of err if anything was sent.
func leavingError(x *Exchange, err error) *result.Error {
	e := result.Errorf(result.Leaving, "this VM is shutting down: %v", err).WithRetryAfter(retryAfter)
	if x.Sends > 0 {
		e.Run = result.From(err).Run
	}
	return e
}

// Flight is a request's entry among those in flight. Its methods do nothing if it is nil.
type Flight struct {
	Requests Requests
	Ticket   *drain.Ticket
}

// progress tells where the request stands.
func (f *Flight) progress(s drain.Stage, sends int) {
	if f != nil {
		f.Requests.Progress(f.Ticket, s, sends)
	}
}

// checkFirstSend fails if the VM is shutting down and a request with the deadline, of which nothing has run, comes too late to be
// sent. It's called at the request's entry and before each send that may be refused.
func (f *Flight) checkFirstSend(deadline time.Time) error {
	if f == nil {
		return nil
	}
	if s, ok := f.Requests.Stopping(); ok && s.Refuses(time.Now(), deadline) {
		return result.Errorf(result.Leaving, "this VM is shutting down").WithRetryAfter(retryAfter)
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
		s.x.Flight.progress(drain.StageAnswering, s.x.Sends)
	}
	return s.sink.Chunk(ctx, c)
}
