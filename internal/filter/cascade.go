package filter

import (
	"context"
	"strings"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// Rater rates an answer from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, requestID, prompt, answer string) (float64, error)
}

// Cascade runs the levels of a cascade from cheap to strong until an answer rates well enough.
type Cascade struct {
	Rater    Rater
	Evidence Evidence
}

// Handle implements Filter.
func (f Cascade) Handle(ctx context.Context, x *Exchange, next Next) error {
	c, ok := x.Snapshot.Catalog.FindCascade(x.Request.Model)
	if x.Request.Kind != KindChat || !ok {
		x.Attempt = Attempt{Model: x.Request.Model}
		return next(ctx, x)
	}
	if !x.Idempotent {
		last := len(c.Levels) - 1
		x.Attempt = Attempt{Level: last, Model: c.Levels[last].Model}
		return next(ctx, x)
	}
	return f.climb(ctx, x, c, next)
}

func (f Cascade) climb(ctx context.Context, x *Exchange, c catalog.Cascade, next Next) error {
	sink := x.Sink
	for i, level := range c.Levels {
		x.Attempt = Attempt{Level: i, Model: level.Model}
		if i == len(c.Levels)-1 {
			x.Sink = sink
			return next(ctx, x)
		}
		held := &holder{}
		x.Sink = held
		if err := next(ctx, x); err != nil {
			continue
		}
		x.Relayed = false
		rating, err := f.Rater.Rate(ctx, x.Request.ID, x.Request.Prompt, held.text())
		if err == nil {
			f.Evidence.Rated(level.Model, x.Attempt.Version, rating < c.QualityTarget)
		}
		if (err == nil && rating >= c.QualityTarget) || (err != nil && c.AllowUnrated) {
			x.Sink = sink
			return held.release(ctx, sink)
		}
	}
	return result.Errorf(result.QualityNotMet, "cascade %q", c.Name)
}

// holder keeps an answer back until it was rated.
type holder struct {
	head   Head
	pieces []endpoint.Piece
}

func (h *holder) Begin(_ context.Context, head Head) error {
	h.head = head
	return nil
}

func (h *holder) Piece(_ context.Context, p endpoint.Piece) error {
	h.pieces = append(h.pieces, p)
	return nil
}

func (h *holder) text() string {
	var b strings.Builder
	for _, p := range h.pieces {
		b.WriteString(p.Text)
	}
	return b.String()
}

func (h *holder) release(ctx context.Context, sink Sink) error {
	if err := sink.Begin(ctx, h.head); err != nil {
		return err
	}
	for _, p := range h.pieces {
		if err := sink.Piece(ctx, p); err != nil {
			return err
		}
	}
	return nil
}
