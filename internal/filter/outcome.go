package filter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/shift"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

var (
	// errOvertaken is the reason to cancel a replacement because the silent send went on before the endpoint accepted the request.
	errOvertaken = errors.New("the send before it went on")
	// errRequestEnded is the reason to cancel a replacement of a request that ended before.
	errRequestEnded = errors.New("the request ended before the endpoint accepted it")
	// errPlacedTooLate is the reason not to send to a cold endpoint: too much time has passed since the placement.
	errPlacedTooLate = fmt.Errorf("%w: too much time has passed since it was placed at a cold endpoint", endpoint.ErrNotSent)
)

// dropped reports whether the send was cancelled for another reason than its silence.
func (s *sendTask) dropped() bool { return s.givenUp != nil && !errors.Is(s.givenUp, errSilence) }

// conclude reports a send that has ended with err, and holds an answer with an error status back.
func (f *forwardRun) conclude(ctx context.Context, s *sendTask, err error) {
	now := time.Now()
	if s.held {
		now = s.heldAt
	}
	s.progressed(now)
	s.duration, s.err = now.Sub(s.began), err
	if s.sent {
		f.x.Sends++
		f.x.Sent = true
	}
	if errors.Is(err, errEndpointStatus) {
		f.errorAnswer.release()
		f.errorAnswer = &bufferedAnswer{f.answerHead(s), s.errorBody, s.memory}
	} else {
		s.memory.release()
	}
	s.end = f.classifyEnd(ctx, s)
	f.misdirected = s.end == pool.EndMisdirected
	switch {
	case s.end == pool.EndTimeout:
		s.err = fmt.Errorf("%w: no progress for %v", endpoint.ErrBroken, s.silent)
	case s.end == pool.EndAbandoned && s.dropped():
		s.err = s.givenUp
	}
	f.report(ctx, s)
}

// report tells the pool and the traffic shift how the send ended, and appends it to the trace for the log. conclude calls it.
func (f *forwardRun) report(ctx context.Context, s *sendTask) {
	x, place := f.x, s.place
	o := pool.Outcome{
		Endpoint: place.ID, Incarnation: place.Incarnation, End: s.end, Service: x.Routed.Service, TTFB: s.ttfb,
		SentAt: s.began, Events: s.events, Number: place.Number, Run: place.Run, Fingerprints: Fingerprints(x),
	}
	a := shift.Outcome{
		Attempt: s.present, Failed: s.end == pool.EndFailed, TimedOut: s.end == pool.EndTimeout,
		Conclusive: s.end == pool.EndAnswered || s.end == pool.EndFailed || s.end == pool.EndTimeout, TTFB: s.ttfb, Duration: s.duration,
		Pace: s.gaps.pace(),
	}
	if x.Routed.Route.Kind == routing.KindStream {
		o.Model, o.Prompt, o.Weight = s.model, x.Routed.Prompt, f.weight(s.model)
	}
	if s.end == pool.EndMisdirected {
		o.Model = s.model // what the caller named may be the reason, whatever the kind of route
	}
	o.MeanGap = s.gaps.mean()
	f.reportRun(ctx, s)
	_ = f.Pool.Done(ctx, o)           // Done waits for room; if it fails even so, the run stays counted as in flight
	_ = f.Shifts.AttemptEnded(ctx, a) // a full mailbox loses one answer's evidence
	step := Step{
		Endpoint: place.ID, Model: s.model, Version: place.Version, End: s.end.String(), Load: place.Load, Placing: s.placing, Uncached: place.Run.Tokens, EngineLoad: place.Run.Load,
		Forecast: place.Forecast.Begin,
		TTFB:     s.ttfb, Duration: s.duration, Events: s.events, MeanGap: o.MeanGap, Silent: s.silent, Refused: s.refused,
		RefusedErr: s.refusedErr, Confidence: -1,
		Verdict: s.verdict.String(),
	}
	if s.head.HasConfidence {
		step.Confidence = s.head.Confidence
	}
	if s.err != nil {
		step.Err = s.err.Error()
	}
	x.Routed.Trace = append(x.Routed.Trace, step)
}

// classifyEnd returns how the send ended for the endpoint, and sets MayHaveRun if the endpoint may have run the
// request, or counts one that wasn't reached. ctx is the context of the request. conclude calls it.
func (f *forwardRun) classifyEnd(ctx context.Context, s *sendTask) pool.End {
	err := s.err
	var refused *endpoint.RefusedError
	var coded *result.Error
	switch {
	case err == nil, errors.Is(err, errEscalate):
		f.x.Routed.MayHaveRun = true
		return pool.EndAnswered
	case errors.Is(err, errEndpointStatus):
		f.x.Routed.MayHaveRun = true
		if s.head.Status < 500 {
			return pool.EndAnswered
		}
		return pool.EndFailed
	case errors.As(err, &refused):
		return pool.EndRefused
	case errors.Is(err, errPlacedTooLate):
		f.x.Routed.Unreached++
		return pool.EndAbandoned
	case errors.Is(err, endpoint.ErrReplaced):
		return pool.EndReplaced
	case errors.Is(err, endpoint.ErrMisdirected):
		return pool.EndMisdirected
	case errors.As(err, &coded):
		return pool.EndAbandoned
	case errors.Is(err, endpoint.ErrNoMemory):
		f.x.Routed.MayHaveRun = true
		return pool.EndAbandoned
	case errors.Is(err, errOutdated):
		f.x.Routed.Unreached++
		return pool.EndAbandoned
	case errors.Is(err, endpoint.ErrNotSent):
		if ctx.Err() != nil || s.dropped() {
			return pool.EndAbandoned
		}
		f.x.Routed.Unreached++
		return pool.EndUnreachable
	}
	f.x.Routed.MayHaveRun = true
	if ctx.Err() != nil || errors.Is(err, errCallerGone) || s.dropped() {
		return pool.EndAbandoned
	}
	if errors.Is(s.givenUp, errSilence) {
		return pool.EndTimeout
	}
	return pool.EndLost
}
