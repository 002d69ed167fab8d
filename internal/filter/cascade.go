package filter

import (
	"context"
	"errors"
	"strings"

	"cornelmux/internal/cascade"
	"cornelmux/internal/configuration"
	"cornelmux/internal/endpoint"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// Rater rates an answer from 0 to 1. Cascade calls it for each buffered answer without an error status; an error of the
// call counts as a missing rating.
type Rater interface {
	Rate(ctx context.Context, requestID, prompt, answer string) (float64, error)
}

// Planner plans the levels of a cascade and learns from their outcomes. Observe and Sample do not block.
type Planner interface {
	Plan(ctx context.Context, q cascade.Query) (cascade.Plan, error)
	Observe(o cascade.Outcome) error
	// Sample rates an answer that was already passed on.
	Sample(s cascade.Sample) error
}

// Cascade runs the levels of a cascade until an answer meets the quality target.
type Cascade struct {
	Planner Planner
	Rater   Rater
	// MaxBufferedBytes bounds one answer that is buffered until it is rated, and one copy for a sample.
	MaxBufferedBytes int
}

// Handle implements Filter. Requests that name no cascade run on the model that they name.
func (f Cascade) Handle(ctx context.Context, x *Exchange, next Next) error {
	c, ok := x.Snapshot.Catalog.FindCascade(x.Request.Model)
	if x.Request.Kind != KindChat || !ok {
		x.Attempt = Attempt{Model: x.Request.Model}
		return next(ctx, x)
	}
	run := &cascadeRun{Cascade: f, x: x, spec: c, next: next, sink: x.Sink}
	defer func() { x.Sink, x.Buffered = run.sink, false }()
	return run.run(ctx, f.plan(ctx, x, c))
}

// plan returns the plan of the request, or only the last level if the planner fails: its answer needs no rating. Handle
// calls it once.
func (f Cascade) plan(ctx context.Context, x *Exchange, c catalog.Cascade) cascade.Plan {
	plan, err := f.Planner.Plan(ctx, cascade.Query{
		Key:    cascade.Key{Account: x.Account.Name, Cascade: c.Name},
		Levels: accountLevels(x.Snapshot, x.Account, c), Idempotent: x.Idempotent, AllowUnrated: c.AllowUnrated,
	})
	if err != nil || len(plan.Steps) == 0 {
		return cascade.Plan{Steps: []cascade.Step{{Level: len(c.Levels) - 1}}}
	}
	return plan
}

// accountLevels describes the levels of a cascade as the client account may use them. plan calls it. The price of a
// level is that of the stable version, or else of the first version that the account may use.
func accountLevels(s configuration.Snapshot, a catalog.ClientAccount, c catalog.Cascade) []cascade.Level {
	levels := make([]cascade.Level, len(c.Levels))
	for i, l := range c.Levels {
		levels[i].Model = l.Model
		m, _ := s.Model(l.Model)
		for _, v := range m.Versions {
			if !a.Allows(m.Name, v.Name) || s.Catalog.Withdrawn(m.Name, v.Name) {
				continue
			}
			if !levels[i].Usable || v.Name == m.Stable {
				levels[i].Price = v.CostPerThousandTokens
			}
			levels[i].Usable = true
		}
	}
	return levels
}

// cascadeRun is one request on its way through the levels of a cascade.
type cascadeRun struct {
	Cascade
	x    *Exchange
	spec catalog.Cascade
	next Next
	sink Sink
	// belowTarget reports that an answer was dropped because its rating was missing or below the target.
	belowTarget bool
	// ratingMissing reports that the rating service gave no usable rating; levels that need one are then skipped.
	ratingMissing bool
}

// run tries the steps of the plan in order until one passes or fails so that no other may run. The plan has at least one
// step, and the first is never skipped. Handle calls it once for each chat request that names a cascade.
func (c *cascadeRun) run(ctx context.Context, plan cascade.Plan) error {
	var last error
	for _, step := range plan.Steps {
		if step.Rate && c.ratingMissing {
			continue
		}
		c.x.Attempt = Attempt{Level: step.Level, Model: c.spec.Levels[step.Level].Model}
		err := c.runStep(ctx, step, plan.Sample)
		if err == nil {
			return nil
		}
		last = err
		if !mayTryNextLevel(ctx, c.x, err) {
			break
		}
	}
	return correctRunState(c.x, last)
}

// runStep runs one level with or without rating its answer first, as the step says.
func (c *cascadeRun) runStep(ctx context.Context, step cascade.Step, sample bool) error {
	if step.Rate {
		return c.runRated(ctx)
	}
	return c.runUnrated(ctx, sample)
}

// runUnrated passes the level's answer on as it arrives. If sample is set, the answer is rated afterwards, for learning
// only. runStep calls it.
func (c *cascadeRun) runUnrated(ctx context.Context, sample bool) error {
	copied := &copySink{sink: c.sink, limit: c.MaxBufferedBytes}
	c.x.Sink, c.x.Buffered = c.sink, false
	if sample {
		c.x.Sink = copied
	}
	runs := len(c.x.Runs)
	if err := c.next(ctx, c.x); err != nil {
		return err
	}
	o := c.outcome(runs, cascade.RatingNone)
	_ = c.Planner.Observe(o) // a full mailbox loses one observation
	if sample && !copied.truncated && !copied.head.Failed() {
		_ = c.Planner.Sample(cascade.Sample{ // a full mailbox loses one rating
			Outcome: o, Target: c.spec.QualityTarget, RequestID: c.x.Request.ID,
			Prompt: c.x.Request.Prompt, Answer: copied.text.String(),
		})
	}
	return nil
}

// runRated buffers the level's answer and passes it on if its rating meets the target, or if it got no rating and the
// cascade allows unrated answers. runStep calls it.
func (c *cascadeRun) runRated(ctx context.Context) error {
	buffer := &bufferSink{limit: c.MaxBufferedBytes}
	c.x.Sink, c.x.Buffered = buffer, true
	runs := len(c.x.Runs)
	err := c.next(ctx, c.x)
	c.x.Sink, c.x.Buffered, c.x.Relayed = c.sink, false, false
	if err != nil {
		return err
	}
	if buffer.head.Failed() {
		return result.Errorf(result.QualityNotMet, "cascade %q: level %d answered with status %d", c.spec.Name, c.x.Attempt.Level, buffer.head.Status)
	}
	rating, err := c.Rater.Rate(ctx, c.x.Request.ID, c.x.Request.Prompt, buffer.text())
	if ctx.Err() != nil {
		return result.Errorf(result.DeadlinePassed, "the deadline passed or the caller disconnected while the answer was rated")
	}
	ratingResult := cascade.EvaluateRating(rating, err, c.spec.QualityTarget)
	_ = c.Planner.Observe(c.outcome(runs, ratingResult)) // a full mailbox loses one observation
	c.ratingMissing = ratingResult == cascade.RatingMissing
	if ratingResult == cascade.RatingPassed || (c.ratingMissing && c.spec.AllowUnrated) {
		c.x.Relayed = true
		return buffer.flush(ctx, c.sink)
	}
	c.belowTarget = true
	return result.Errorf(result.QualityNotMet, "cascade %q: the answer of level %d did not meet the quality target", c.spec.Name, c.x.Attempt.Level)
}

// outcome describes the level that was just run, for the planner; runs is the number of runs that the exchange had
// before. runUnrated and runRated call it once the level has answered.
func (c *cascadeRun) outcome(runs int, v cascade.RatingResult) cascade.Outcome {
	o := cascade.Outcome{
		Key: cascade.Key{Account: c.x.Account.Name, Cascade: c.spec.Name}, Level: c.x.Attempt.Level,
		Model: c.x.Attempt.Model, Version: c.x.Attempt.Version, Escalated: c.belowTarget, Rating: v,
	}
	if len(c.x.Runs) > runs {
		o.Tokens = c.x.Runs[len(c.x.Runs)-1].Tokens
	}
	return o
}

// mayTryNextLevel reports whether another level may run after err: the caller has received nothing yet, the failure was
// the level's own, and a non-idempotent request was not sent. run calls it after each step that failed.
func mayTryNextLevel(ctx context.Context, x *Exchange, err error) bool {
	if ctx.Err() != nil || x.Relayed || (x.Sent && !x.Idempotent) {
		return false
	}
	if errors.Is(err, errBufferFull) {
		return true
	}
	switch result.From(err).Code {
	case result.QualityNotMet, result.EndpointFailed, result.AnswerBroken, result.NoEndpoint, result.QueueFull,
		result.ModelNotAllowed, result.VersionNotAllowed, result.VersionWithdrawn:
		return true
	default:
		return false
	}
}

// correctRunState returns err with the run state of the whole request: earlier levels may have been sent or have run.
// run calls it at its end.
func correctRunState(x *Exchange, err error) error {
	if err == nil {
		return nil
	}
	e := *result.From(err)
	switch {
	case len(x.Runs) > 0:
		e.Run = result.Ran
	case x.Sent && e.Run == result.NotRun:
		e.Run = result.Unknown
	}
	return &e
}

// errBufferFull ends a run whose answer is too long to be buffered.
var errBufferFull = errors.New("the answer exceeds the buffer limit")

// bufferSink buffers an answer until it is rated. limit and bytes bound and count the data of its chunks, in bytes.
type bufferSink struct {
	limit  int
	bytes  int
	head   Head
	chunks []endpoint.Chunk
}

// Begin implements Sink. It discards an earlier answer, since a buffered answer that failed may be retried.
func (h *bufferSink) Begin(_ context.Context, head Head) error {
	h.head, h.chunks, h.bytes = head, nil, 0
	return nil
}

func (h *bufferSink) Chunk(_ context.Context, p endpoint.Chunk) error {
	h.bytes += len(p.Data)
	if h.bytes > h.limit {
		return errBufferFull
	}
	h.chunks = append(h.chunks, p)
	return nil
}

// text returns the text of the answer, to be rated.
func (h *bufferSink) text() string {
	var b strings.Builder
	for _, p := range h.chunks {
		b.WriteString(p.Content())
	}
	return b.String()
}

// flush passes the buffered answer on. runRated calls it once the answer may pass.
func (h *bufferSink) flush(ctx context.Context, sink Sink) error {
	if err := sink.Begin(ctx, h.head); err != nil {
		return err
	}
	for _, p := range h.chunks {
		if err := sink.Chunk(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// copySink passes an answer on and copies its text up to limit bytes; truncated reports that there was more.
type copySink struct {
	sink      Sink
	limit     int
	truncated bool
	head      Head
	text      strings.Builder
}

func (c *copySink) Begin(ctx context.Context, h Head) error {
	c.head = h
	return c.sink.Begin(ctx, h)
}

func (c *copySink) Chunk(ctx context.Context, p endpoint.Chunk) error {
	text := p.Content()
	if c.text.Len()+len(text) > c.limit {
		c.truncated = true
	} else {
		c.text.WriteString(text)
	}
	return c.sink.Chunk(ctx, p)
}
