package filter

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/pkg/result"
)

// finishes is a Journal that opens every request and keeps how it ended.
type finishes struct {
	Journal
	answer *journal.Answer
	err    error
}

func (f *finishes) Open(context.Context, journal.Key, bool, uint64) (journal.Opening, error) {
	return journal.Opening{}, nil
}

func (f *finishes) Finish(_ context.Context, _ journal.Claim, a *journal.Answer, err error) error {
	f.answer, f.err = a, err
	return nil
}

func TestAnswersAreKeptUpToABound(t *testing.T) {
	rows := []struct {
		name   string
		pieces int
		kept   bool
	}{
		{"short", 1, true},
		{"at the bound", 4, true},
		{"long", 5, false},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			j, passed := &finishes{}, &keptAnswer{}
			x := &Exchange{Sink: passed, Idempotent: true}
			err := Deduplicate{Journal: j, CleanupTimeout: 1}.Handle(context.Background(), x, func(ctx context.Context, x *Exchange) error {
				for i := range row.pieces {
					c.Assert(x.Sink.Chunk(ctx, endpoint.Chunk{Data: make([]byte, maxKeptBytes/4), Last: i == row.pieces-1}), qt.IsNil)
				}
				return nil
			})
			c.Assert(err, qt.IsNil)
			c.Assert(passed.pieces, qt.HasLen, row.pieces)
			c.Assert(j.answer != nil, qt.Equals, row.kept)
			if !row.kept {
				c.Assert(result.From(j.err).Code, qt.Equals, result.AnswerGone)
			}
		})
	}
}

// doneFirst is a Journal and an Endpoints that says whether the endpoint's place was given back before the bill.
type doneFirst struct {
	Journal
	fakeEndpoints
	done, inOrder bool
}

func (d *doneFirst) Done(context.Context, endpoint.Outcome) error {
	d.done = true
	return nil
}

func (d *doneFirst) Bill(context.Context, journal.Bill) error {
	d.inOrder = d.done
	return nil
}

func TestBillDoesNotKeepTheEndpointsPlace(t *testing.T) {
	c := qt.New(t)
	d, passed := &doneFirst{}, &keptAnswer{}
	next := Chain(Bill{Journal: d}, Place{Endpoints: d, MaxAttempts: 1}, filterFunc(func(ctx context.Context, x *Exchange) error {
		return x.Sink.Chunk(ctx, endpoint.Chunk{Last: true})
	}))
	c.Assert(next(context.Background(), &Exchange{Sink: passed}), qt.IsNil)
	c.Assert(d.inOrder, qt.IsTrue)
	c.Assert(passed.pieces, qt.HasLen, 1)
}
