package filter

import (
	"context"

	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
)

// Bill records the runs of a request once, before the last chunk of its answer is passed on.
type Bill struct {
	Journal Journal
	Log     logr.Logger
}

// Handle implements Filter. If the request failed after an endpoint ran it, its runs are recorded at the operator's
// cost.
func (f Bill) Handle(ctx context.Context, x *Exchange, next Next) error {
	b := &billingSink{sink: x.Sink, x: x}
	x.Sink = b
	err := next(ctx, x)
	if b.lastChunk != nil {
		f.record(ctx, x, AssignCosts(x.Runs, &b.answered))
		return b.sink.Chunk(ctx, *b.lastChunk)
	}
	if err != nil && len(x.Runs) > 0 {
		f.record(ctx, x, AssignCosts(x.Runs, nil))
	}
	return err
}

// record passes the bill to the journal. A failure is only logged, since the caller's answer must not depend on it.
func (f Bill) record(ctx context.Context, x *Exchange, runs []journal.Run) {
	if err := f.Journal.Bill(ctx, journal.Bill{Key: x.Key(), Runs: runs}); err != nil {
		f.Log.Error(err, "failed to record bill", "account", x.Account.Name, "request_id", x.Request.ID, "runs", runs)
	}
}

// AssignCosts returns the runs with those marked that the operator pays for: all whose answer the caller did not get.
// Bill calls it once for each bill. answered is the attempt that the caller's answer came from; nil if there is none.
func AssignCosts(runs []journal.Run, answered *Attempt) []journal.Run {
	charged := make([]journal.Run, len(runs))
	for i, r := range runs {
		r.OperatorCost = r.OperatorCost || answered == nil || r.Level != answered.Level
		charged[i] = r
	}
	return charged
}

// billingSink holds the last chunk back until the rest of the chain has returned, so that neither the slot at the
// endpoint nor its connection is kept while the bill is written.
type billingSink struct {
	sink Sink
	x    *Exchange
	// lastChunk is nil until the last chunk arrives; answered is the attempt that it came from.
	lastChunk *endpoint.Chunk
	answered  Attempt
}

func (b *billingSink) Begin(ctx context.Context, h Head) error { return b.sink.Begin(ctx, h) }

func (b *billingSink) Chunk(ctx context.Context, p endpoint.Chunk) error {
	if p.Last {
		b.lastChunk, b.answered = &p, b.x.Attempt
		return nil
	}
	return b.sink.Chunk(ctx, p)
}
