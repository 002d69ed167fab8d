package filter

import (
	"context"
	"errors"
	"time"

	"cornelmux/internal/cascade"
	"cornelmux/internal/endpoint"
)

// errUnsure ends a run whose answer is dropped for one of a stronger model.
var errUnsure = errors.New("the model is unsure of its answer")

// leastAttempts is how many sends have to be left for a climb, so that the stronger model may fail once.
const leastAttempts = 1

// lengthMargin is how many times its estimated length an answer is planned with.
const lengthMargin = 2

// Escalate asks the cheapest model of a route's cascade first, and the strongest where the answer's own confidence is poor.
type Escalate struct{}

// Handle implements Filter.
func (Escalate) Handle(ctx context.Context, x *Exchange, next Next) error {
	models := x.Routed.Route.Cascade
	if len(models) == 0 || x.Request.Model != AnyModel {
		x.Attempt.Model = x.Request.Model
		return next(ctx, x)
	}
	sink := x.Sink
	defer func() { x.Sink = sink }()
	x.Attempt = Attempt{Model: models[0]}
	x.Sink = &critic{x: x, sink: sink, began: time.Now(), strongest: len(models) - 1}
	err := next(ctx, x)
	if !errors.Is(err, errUnsure) {
		return err
	}
	x.Sink, x.Relayed = sink, false
	x.Attempt = Attempt{Level: len(models) - 1, Model: models[len(models)-1]}
	return next(ctx, x)
}

// AnyModel is the model of a request that leaves the choice to the router.
const AnyModel = "*"

// critic reads the head of an answer and refuses one that its own model doubts.
type critic struct {
	x         *Exchange
	sink      Sink
	began     time.Time
	strongest int
}

// Begin implements Sink.
func (c *critic) Begin(ctx context.Context, h Head) error {
	x := c.x
	if h.Rated && !h.Failed() && x.Attempt.Level < c.strongest {
		now := time.Now()
		x.Attempt.Ruling = cascade.Weigh(cascade.Opinion{
			Confidence: h.Confidence, Allowed: c.mayClimb(), Load: x.Attempt.Load, Took: now.Sub(c.began),
			Left: x.Request.Deadline.Sub(now), Objective: x.Routed.Route.Objective, Elapsed: now.Sub(x.Arrived),
			StrongerFirst: x.Attempt.Stronger.TTFB, StrongerRest: time.Duration(c.events()) * x.Attempt.Stronger.MeanGap,
		})
		if x.Attempt.Ruling == cascade.RulingClimb {
			return errUnsure
		}
	}
	return c.sink.Begin(ctx, h)
}

// events estimates how many events the answer has: the caller's estimate of its length is often short.
func (c *critic) events() int {
	p := c.x.Routed.Prompt
	tokens := min(lengthMargin*p.LikelyTokensOut, p.MaxTokensOut)
	if p.LikelyTokensOut == 0 {
		tokens = p.MaxTokensOut
	}
	s := c.x.Routed.Table.Service(c.x.Routed.Service)
	if s == nil || s.Engine.TokensPerEvent <= 0 {
		return tokens
	}
	return tokens / s.Engine.TokensPerEvent
}

// mayClimb allows a climb while sends are left for it, and none is a repeat of what the caller saw.
func (c *critic) mayClimb() bool {
	return c.x.Idempotent && c.x.Attempt.Spare && c.x.Routed.Route.MaxAttempts-c.x.Routed.Attempts >= leastAttempts
}

// Chunk implements Sink.
func (c *critic) Chunk(ctx context.Context, p endpoint.Chunk) error { return c.sink.Chunk(ctx, p) }
