package filter

import (
	"context"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
)

// Bill records what a request cost, once, before the last piece of its answer is passed on.
type Bill struct {
	Journal Journal
}

// Handle implements Filter.
func (f Bill) Handle(ctx context.Context, x *Exchange, next Next) error {
	b := &billing{sink: x.Sink, x: x, journal: f.Journal}
	x.Sink = b
	return next(ctx, x)
}

type billing struct {
	sink    Sink
	x       *Exchange
	journal Journal
}

func (b *billing) Begin(ctx context.Context, h Head) error { return b.sink.Begin(ctx, h) }

func (b *billing) Piece(ctx context.Context, p endpoint.Piece) error {
	if p.Last {
		bill := journal.Bill{Key: b.x.Key(), Runs: b.x.Runs}
		if err := b.journal.Bill(ctx, bill); err != nil {
			return err
		}
	}
	return b.sink.Piece(ctx, p)
}
