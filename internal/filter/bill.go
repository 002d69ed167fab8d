package filter

import (
	"context"

	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
)

// Bill records what a request cost, once, before the last piece of its answer is passed on.
type Bill struct {
	Journal Journal
	Log     logr.Logger
}

// Handle implements Filter.
func (f Bill) Handle(ctx context.Context, x *Exchange, next Next) error {
	b := &billing{sink: x.Sink, x: x}
	x.Sink = b
	err := next(ctx, x)
	if b.last != nil {
		f.record(ctx, x, Charge(x.Runs, &b.answered))
		return b.sink.Chunk(ctx, *b.last)
	}
	if err != nil && len(x.Runs) > 0 {
		f.record(ctx, x, Charge(x.Runs, nil))
	}
	return err
}

func (f Bill) record(ctx context.Context, x *Exchange, runs []journal.Run) {
	if err := f.Journal.Bill(ctx, journal.Bill{Key: x.Key(), Runs: runs}); err != nil {
		f.Log.Error(err, "bill not taken", "account", x.Account.Name, "request_id", x.Request.ID, "runs", runs)
	}
}

// Charge marks the runs that the operator pays for: those whose answer wasn't the one that the caller got.
func Charge(runs []journal.Run, answered *Attempt) []journal.Run {
	charged := make([]journal.Run, len(runs))
	for i, r := range runs {
		r.OperatorCost = r.OperatorCost || answered == nil || r.Level != answered.Level
		charged[i] = r
	}
	return charged
}

// billing holds the last piece back until the rest of the chain has returned, so that neither the endpoint's place
// nor its connection waits for the bill.
type billing struct {
	sink     Sink
	x        *Exchange
	last     *endpoint.Chunk
	answered Attempt
}

func (b *billing) Begin(ctx context.Context, h Head) error { return b.sink.Begin(ctx, h) }

func (b *billing) Chunk(ctx context.Context, p endpoint.Chunk) error {
	if p.Last {
		b.last, b.answered = &p, b.x.Attempt
		return nil
	}
	return b.sink.Chunk(ctx, p)
}
