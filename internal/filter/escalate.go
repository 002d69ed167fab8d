package filter

import (
	"context"
	"errors"
	"slices"
	"time"

	"cornelmux/internal/cascade"
	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
)

// errEscalate is returned by a sink for an answer that is to be replaced by a stronger model's. It is kept until that accepts.
var errEscalate = errors.New("the confidence of the answer is too low")

// minAttemptsLeft is how many sends must be left to escalate: one, for the stronger model.
const minAttemptsLeft = 1

// lengthMargin multiplies the caller's estimate of the answer's length in tokens, which is often too low.
const lengthMargin = 2

// Escalate has the first, cheapest model of the route's cascade asked, and then the last, strongest one if the confidence of the
// answer is too low.
type Escalate struct{}

// Handle implements Filter. A request keeps the caller's model if the route has no cascade, or the caller names one of its models
// or none; any other name is refused before anything is sent.
func (Escalate) Handle(ctx context.Context, x *Exchange, next Next) error {
	models, named := x.Routed.Route.Cascade, x.Request.Model
	if len(models) == 0 || named != AnyModel {
		if len(models) > 0 && named != "" && !slices.Contains(models, named) {
			return result.Errorf(result.ModelNotServed, "route %s doesn't offer model %q", x.Routed.Route.Name, named)
		}
		x.Attempt.Model = named
		return next(ctx, x)
	}
	sink := x.Sink
	defer func() { x.Sink = sink }()
	x.Attempt = Attempt{Model: models[0]}
	x.Sink = &confidenceSink{x: x, sink: sink, started: time.Now(), strongest: len(models) - 1}
	return next(ctx, x)
}

// AnyModel is the model name of a request that leaves the choice to the router.
const AnyModel = "*"

// namesModel reports whether the caller, not the router, chose the model.
func (x *Exchange) namesModel() bool {
	return x.Request.Model != "" && (x.Request.Model != AnyModel || len(x.Routed.Route.Cascade) == 0)
}

// confidenceSink inspects the head of an answer and refuses an answer whose confidence is too low.
type confidenceSink struct {
	x    *Exchange
	sink Sink
	// started is when the first model was asked. strongest is the level of the last model.
	started   time.Time
	strongest int
}

// Begin implements Sink. It returns errEscalate if the strongest model is to be asked.
func (c *confidenceSink) Begin(ctx context.Context, h Head) error {
	x := c.x
	if h.HasConfidence && !h.Failed() && x.Attempt.Level < c.strongest {
		now := time.Now()
		x.Attempt.Verdict = cascade.EvaluateConfidence(cascade.Assessment{
			Confidence: h.Confidence, RetryAllowed: c.mayEscalate(), Load: x.Attempt.Load, TTFB: now.Sub(c.started),
			Remaining: x.Request.Deadline.Sub(now), Objective: x.Routed.Route.Objective, Elapsed: now.Sub(x.Arrived),
			StrongerTTFB: x.Attempt.StrongerLatency.TTFB, StrongerRest: time.Duration(x.Routed.expectedEvents()) * x.Attempt.StrongerLatency.MeanGap,
		})
		if x.Attempt.Verdict == cascade.VerdictEscalate {
			return errEscalate
		}
	}
	return c.sink.Begin(ctx, h)
}

// expectedEvents estimates the number of events in the answer: the caller's estimate of its length
// with a margin, up to the caller's maximum, or that maximum if there is no estimate. Begin calls it, and keepCurrent.
func (r *Routed) expectedEvents() int {
	p := r.Prompt
	tokens := min(lengthMargin*p.LikelyTokensOut, p.MaxTokensOut)
	if p.LikelyTokensOut == 0 {
		tokens = p.MaxTokensOut
	}
	s := r.Table.Service(r.Service)
	if s == nil || s.Engine.TokensPerEvent <= 0 {
		return tokens
	}
	return tokens / s.Engine.TokensPerEvent
}

// mayEscalate reports whether the request may be sent again, to the stronger model.
func (c *confidenceSink) mayEscalate() bool {
	return c.x.Idempotent && c.x.Attempt.RetryAllowed && c.x.Routed.attemptsLeft() >= minAttemptsLeft
}

// Chunk implements Sink.
func (c *confidenceSink) Chunk(ctx context.Context, p endpoint.Chunk) error {
	return c.sink.Chunk(ctx, p)
}
