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
	b := &billing{sink: x.Sink, x: x, bill: f}
	x.Sink = b
	err := next(ctx, x)
	if err != nil && !b.done && len(x.Runs) > 0 {
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

type billing struct {
	sink Sink
	x    *Exchange
	bill Bill
	done bool
}

func (b *billing) Begin(ctx context.Context, h Head) error { return b.sink.Begin(ctx, h) }

func (b *billing) Piece(ctx context.Context, p endpoint.Piece) error {
	if p.Last {
		b.done = true
		b.bill.record(ctx, b.x, Charge(b.x.Runs, &b.x.Attempt))
	}
	return b.sink.Piece(ctx, p)
}
