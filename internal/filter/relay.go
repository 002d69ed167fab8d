package filter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// sent is what became of one send.
type sent struct {
	err   error
	end   pool.End
	head  endpoint.Head
	first time.Duration
	took  time.Duration
	// gaps is the time over all events but the first.
	gaps   time.Duration
	events int
}

// send opens the call, and relays the answer under a watch for silence.
func (f *forwarding) send(ctx context.Context, place pool.Placement) sent {
	x := f.x
	began := time.Now()
	limit := f.patience(place)
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(limit, func() { cancel(errSilent) })
	defer watch.Stop()
	s := sent{}
	stream, err := f.Sender.Open(run, x.Attempt.Endpoint, f.call(), f.gate(ctx))
	if err == nil {
		s.head, s.first = stream.Head(), time.Since(began)
		s.err = f.relay(run, stream, watch, &s)
		stream.Close()
	} else {
		s.err = err
	}
	s.took = time.Since(began)
	s.end = f.judge(ctx, run, s.err)
	if s.end == pool.EndTimeout {
		s.err = fmt.Errorf("%w: no byte for %v", endpoint.ErrBroken, limit)
	}
	return s
}

var errSilent = errors.New("the endpoint is silent")

// patience is how long the endpoint may be silent; a request that can't go elsewhere waits until its deadline.
func (f *forwarding) patience(place pool.Placement) time.Duration {
	x := f.x
	left := time.Until(x.Request.Deadline)
	if x.Request.Deadline.IsZero() {
		left = time.Hour
	}
	if !f.mayRepeat() {
		return left + time.Second
	}
	wait := max(time.Duration(silentLeast*float64(x.Routed.Route.Objective)), silentFirst*place.TypicalLatency.TTFB)
	if x.Relayed {
		wait = max(time.Duration(gapShare*float64(x.Routed.Route.MaxGap)), 2*place.TypicalLatency.TTFB)
	}
	if wait <= 0 {
		return left + time.Second
	}
	return wait
}

// mayRepeat reports whether another send is allowed after the present one.
func (f *forwarding) mayRepeat() bool {
	x := f.x
	return x.Idempotent && x.Routed.Attempts < x.Routed.Route.MaxAttempts && x.Attempt.Spare
}

func (f *forwarding) call() endpoint.Call {
	x := f.x
	path := x.Request.Path
	if x.Request.Query != "" {
		path += "?" + x.Request.Query
	}
	urgency := -1
	if x.Routed.Route.Kind == routing.KindStream {
		urgency = min(max(x.Routed.Priority, 0), maxUrgency)
	}
	return endpoint.Call{
		RunID: x.Request.ID, Idempotent: x.Idempotent, Model: x.Attempt.Model, Method: x.Request.Method, Path: path,
		Fields: x.Request.Fields, Body: x.Request.Body,
		RouteOptions: endpoint.RouteOptions{
			Host: x.Routed.Host, Account: x.Routed.Account, Deadline: x.Request.Deadline, Urgency: urgency,
			LastEventID: f.after, EventStream: x.Routed.Route.Kind == routing.KindStream,
		},
	}
}

// gate is asked before the first byte of each send.
func (f *forwarding) gate(ctx context.Context) endpoint.SendCheck {
	return func() error {
		if ctx.Err() != nil {
			return result.Errorf(result.DeadlinePassed, "before the send")
		}
		if d := f.x.Request.Deadline; !d.IsZero() && time.Until(d) < leastBudget {
			return result.Errorf(result.DeadlinePassed, "too little time is left for a send")
		}
		f.x.Sends++
		f.x.Sent = true
		return nil
	}
}

// relay passes the pieces on and restarts the watch with each.
func (f *forwarding) relay(ctx context.Context, stream endpoint.Stream, watch *time.Timer, s *sent) error {
	x := f.x
	head := Head{
		RequestID: x.Request.ID, Status: s.head.Status, ContentType: s.head.ContentType, Fields: s.head.Fields,
		Model: x.Attempt.Model, Version: x.Attempt.Version, Confidence: s.head.Confidence, Rated: s.head.HasConfidence,
	}
	if head.Failed() {
		return f.keep(stream, head)
	}
	if !x.Relayed {
		if err := x.Sink.Begin(ctx, head); err != nil {
			return err
		}
	}
	gap := f.gapLimit()
	at := time.Now()
	for {
		fragment, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: ended early", endpoint.ErrBroken)
		}
		if err != nil {
			return err
		}
		if gap > 0 {
			watch.Reset(gap)
		}
		p := fragment.Chunk
		if p.Event != "" {
			now := time.Now()
			if s.events > 0 {
				s.gaps += now.Sub(at)
			}
			at = now
			s.events++
		}
		if err := x.Sink.Chunk(ctx, p); err != nil {
			return fmt.Errorf("%w: %w", errCallerGone, err)
		}
		x.Relayed = true
		if p.Event != "" {
			f.after = p.Event
		}
		if p.Last {
			return nil
		}
	}
}

var errCallerGone = errors.New("the caller is gone")

// gapLimit is how long a stream may be silent between events; 0 sets no limit.
func (f *forwarding) gapLimit() time.Duration {
	if f.x.Routed.Route.Kind != routing.KindStream || !f.mayRepeat() {
		return 0
	}
	return time.Duration(gapShare * float64(f.x.Routed.Route.MaxGap))
}

// keep reads an endpoint's own failure whole and keeps it back.
func (f *forwarding) keep(stream endpoint.Stream, head Head) error {
	a := answer{head: head}
	for !a.piece.Last {
		fragment, err := stream.Next()
		if err != nil {
			return fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
		}
		a.piece.Data = append(a.piece.Data, fragment.Chunk.Data...)
		a.piece.Last = fragment.Chunk.Last
	}
	f.failed = &a
	return errOwnFailure
}

// judge says how a send ended for the endpoint.
func (f *forwarding) judge(ctx, run context.Context, err error) pool.End {
	var refused *endpoint.RefusedError
	var settled *result.Error
	switch {
	case err == nil, errors.Is(err, errUnsure):
		f.x.Routed.Ran = true
		return pool.EndAnswered
	case errors.Is(err, errOwnFailure):
		f.x.Routed.Ran = true
		if f.failed.head.Status < 500 {
			return pool.EndAnswered
		}
		return pool.EndFailed
	case errors.As(err, &refused):
		return pool.EndRefused
	case errors.Is(err, endpoint.ErrReplaced):
		return pool.EndReplaced
	case errors.As(err, &settled):
		return pool.EndAbandoned
	case errors.Is(err, endpoint.ErrNotSent):
		if ctx.Err() != nil {
			return pool.EndAbandoned
		}
		return pool.EndUnreachable
	}
	f.x.Routed.Ran = true
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		return pool.EndAbandoned
	}
	if errors.Is(context.Cause(run), errSilent) {
		return pool.EndTimeout
	}
	return pool.EndLost
}
