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

// Rater rates an answer from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, requestID, prompt, answer string) (float64, error)
}

// Planner plans the levels of a cascade, and learns from what came of them. Observe and Sample never wait.
type Planner interface {
	Plan(ctx context.Context, q cascade.Query) (cascade.Plan, error)
	Observe(o cascade.Outcome) error
	// Sample rates an answer that was passed on already.
	Sample(s cascade.Sample) error
}

// Cascade runs levels of a cascade until an answer meets the quality target.
type Cascade struct {
	Planner Planner
	Rater   Rater
	// MaxBufferedBytes bounds an answer that is held back until it is rated.
	MaxBufferedBytes int
}

// Handle implements Filter.
func (f Cascade) Handle(ctx context.Context, x *Exchange, next Next) error {
	c, ok := x.Snapshot.Catalog.FindCascade(x.Request.Model)
	if x.Request.Kind != KindChat || !ok {
		x.Attempt = Attempt{Model: x.Request.Model}
		return next(ctx, x)
	}
	run := &climb{Cascade: f, x: x, spec: c, next: next, sink: x.Sink}
	defer func() { x.Sink, x.Held = run.sink, false }()
	return run.all(ctx, f.plan(ctx, x, c))
}

// plan asks for the plan; without one only the last level keeps the target.
func (f Cascade) plan(ctx context.Context, x *Exchange, c catalog.Cascade) cascade.Plan {
	plan, err := f.Planner.Plan(ctx, cascade.Query{
		Key:    cascade.Key{Account: x.Account.Name, Cascade: c.Name},
		Levels: levelsOf(x.Snapshot, x.Account, c), Idempotent: x.Idempotent, AllowUnrated: c.AllowUnrated,
	})
	if err != nil || len(plan.Steps) == 0 {
		return cascade.Plan{Steps: []cascade.Step{{Level: len(c.Levels) - 1}}}
	}
	return plan
}

// levelsOf describes the levels of a cascade to a client account.
func levelsOf(s configuration.Snapshot, a catalog.ClientAccount, c catalog.Cascade) []cascade.Level {
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

// climb is one request on its way up a cascade.
type climb struct {
	Cascade
	x    *Exchange
	spec catalog.Cascade
	next Next
	sink Sink
	// failed says that an answer was rated below the target.
	failed bool
	// unrated says that the rating service gave no rating, so that no other answer waits for one.
	unrated bool
}

func (c *climb) all(ctx context.Context, plan cascade.Plan) error {
	var last error
	for _, step := range plan.Steps {
		if step.Rate && c.unrated {
			continue
		}
		c.x.Attempt = Attempt{Level: step.Level, Model: c.spec.Levels[step.Level].Model}
		err := c.step(ctx, step, plan.Sample)
		if err == nil {
			return nil
		}
		last = err
		if !mayClimb(ctx, c.x, err) {
			break
		}
	}
	return truth(c.x, last)
}

func (c *climb) step(ctx context.Context, step cascade.Step, sample bool) error {
	if step.Rate {
		return c.rated(ctx)
	}
	return c.direct(ctx, sample)
}

// direct passes the level's answer on as it comes, and has it rated afterwards if it belongs to the sample.
func (c *climb) direct(ctx context.Context, sample bool) error {
	copied := &copier{sink: c.sink, limit: c.MaxBufferedBytes}
	c.x.Sink, c.x.Held = c.sink, false
	if sample {
		c.x.Sink = copied
	}
	runs := len(c.x.Runs)
	if err := c.next(ctx, c.x); err != nil {
		return err
	}
	o := c.outcome(runs, cascade.VerdictNone)
	_ = c.Planner.Observe(o) // a full mailbox costs one observation
	if sample && !copied.cut && !copied.head.Failed() {
		_ = c.Planner.Sample(cascade.Sample{ // a full mailbox costs one rating
			Outcome: o, Target: c.spec.QualityTarget, RequestID: c.x.Request.ID,
			Prompt: c.x.Request.Prompt, Answer: copied.text.String(),
		})
	}
	return nil
}

// rated holds the level's answer back, and passes it on if its rating meets the target.
func (c *climb) rated(ctx context.Context) error {
	held := &holder{limit: c.MaxBufferedBytes}
	c.x.Sink, c.x.Held = held, true
	runs := len(c.x.Runs)
	err := c.next(ctx, c.x)
	c.x.Sink, c.x.Held, c.x.Relayed = c.sink, false, false
	if err != nil {
		return err
	}
	if held.head.Failed() {
		return result.Errorf(result.QualityNotMet, "cascade %q, level %d answered status %d", c.spec.Name, c.x.Attempt.Level, held.head.Status)
	}
	rating, err := c.Rater.Rate(ctx, c.x.Request.ID, c.x.Request.Prompt, held.text())
	if ctx.Err() != nil {
		return result.Errorf(result.DeadlinePassed, "while the answer was rated")
	}
	verdict := cascade.EvaluateRating(rating, err, c.spec.QualityTarget)
	_ = c.Planner.Observe(c.outcome(runs, verdict)) // a full mailbox costs one observation
	c.unrated = verdict == cascade.VerdictMissing
	if verdict == cascade.VerdictPassed || (c.unrated && c.spec.AllowUnrated) {
		c.x.Relayed = true
		return held.release(ctx, c.sink)
	}
	c.failed = true
	return result.Errorf(result.QualityNotMet, "cascade %q, level %d", c.spec.Name, c.x.Attempt.Level)
}

// outcome describes the run that was added to the exchange since it had the given number of runs.
func (c *climb) outcome(runs int, v cascade.Verdict) cascade.Outcome {
	o := cascade.Outcome{
		Key: cascade.Key{Account: c.x.Account.Name, Cascade: c.spec.Name}, Level: c.x.Attempt.Level,
		Model: c.x.Attempt.Model, Version: c.x.Attempt.Version, Escalated: c.failed, Rating: v,
	}
	if len(c.x.Runs) > runs {
		o.Tokens = c.x.Runs[len(c.x.Runs)-1].Tokens
	}
	return o
}

// mayClimb allows another level where the caller has nothing yet, the failure was the level's own,
// and a non-idempotent request was not sent.
func mayClimb(ctx context.Context, x *Exchange, err error) bool {
	if ctx.Err() != nil || x.Relayed || (x.Sent && !x.Idempotent) {
		return false
	}
	if errors.Is(err, errHeldTooLong) {
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

// truth corrects what the last error says of the whole request: levels before it may have been sent or have run.
func truth(x *Exchange, err error) error {
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

// errHeldTooLong ends a run whose answer is too long to be held back.
var errHeldTooLong = errors.New("answer is too long to be held back")

// holder keeps an answer back until it was rated.
type holder struct {
	limit  int
	bytes  int
	head   Head
	pieces []endpoint.Chunk
}

// Begin starts the answer anew, since a held answer that failed may be run again.
func (h *holder) Begin(_ context.Context, head Head) error {
	h.head, h.pieces, h.bytes = head, nil, 0
	return nil
}

func (h *holder) Chunk(_ context.Context, p endpoint.Chunk) error {
	h.bytes += len(p.Data)
	if h.bytes > h.limit {
		return errHeldTooLong
	}
	h.pieces = append(h.pieces, p)
	return nil
}

func (h *holder) text() string {
	var b strings.Builder
	for _, p := range h.pieces {
		b.WriteString(p.Content())
	}
	return b.String()
}

func (h *holder) release(ctx context.Context, sink Sink) error {
	if err := sink.Begin(ctx, h.head); err != nil {
		return err
	}
	for _, p := range h.pieces {
		if err := sink.Chunk(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// copier passes an answer on and keeps its text, up to a limit.
type copier struct {
	sink  Sink
	limit int
	cut   bool
	head  Head
	text  strings.Builder
}

func (c *copier) Begin(ctx context.Context, h Head) error {
	c.head = h
	return c.sink.Begin(ctx, h)
}

func (c *copier) Chunk(ctx context.Context, p endpoint.Chunk) error {
	text := p.Content()
	if c.text.Len()+len(text) > c.limit {
		c.cut = true
	} else {
		c.text.WriteString(text)
	}
	return c.sink.Chunk(ctx, p)
}
