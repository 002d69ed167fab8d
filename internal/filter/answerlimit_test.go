package filter

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/pkg/result"
)

// finishJournal is a Journal that opens every request and records how it ended.
type finishJournal struct {
	Journal
	answer *journal.Answer
	err    error
}

func (f *finishJournal) Open(context.Context, journal.Key, bool, journal.Fingerprint) (journal.OpenResult, error) {
	return journal.OpenResult{}, nil
}

func (f *finishJournal) Finish(_ context.Context, _ journal.Claim, a *journal.Answer, err error) error {
	f.answer, f.err = a, err
	return nil
}

// TestDeduplicateKeepsAnswersUpToALimit checks that a too long answer reaches the caller, but is not kept for resends.
func TestDeduplicateKeepsAnswersUpToALimit(t *testing.T) {
	rows := []struct {
		name   string
		chunks int
		kept   bool
	}{
		{"short", 1, true},
		{"at the limit", 4, true},
		{"long", 5, false},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			j, passed := &finishJournal{}, &answerSink{}
			x := &Exchange{Sink: passed, Idempotent: true}
			err := Deduplicate{Journal: j, CleanupTimeout: 1}.Handle(context.Background(), x, func(ctx context.Context, x *Exchange) error {
				for i := range row.chunks {
					c.Assert(x.Sink.Chunk(ctx, endpoint.Chunk{Data: make([]byte, maxKeptBytes/4), Last: i == row.chunks-1}), qt.IsNil)
				}
				return nil
			})
			c.Assert(err, qt.IsNil)
			c.Assert(passed.chunks, qt.HasLen, row.chunks)
			c.Assert(j.answer != nil, qt.Equals, row.kept)
			if !row.kept {
				c.Assert(result.From(j.err).Code, qt.Equals, result.AnswerGone)
			}
		})
	}
}

// orderRecorder is a Journal and an Endpoints. inOrder reports that the endpoint was released before the bill was
// written.
type orderRecorder struct {
	Journal
	fakeEndpoints
	done, inOrder bool
}

func (d *orderRecorder) Done(context.Context, endpoint.Outcome) error {
	d.done = true
	return nil
}

func (d *orderRecorder) Bill(context.Context, journal.Bill) error {
	d.inOrder = d.done
	return nil
}

// TestBillDoesNotHoldTheEndpoint guards against slots that stay taken while the journal writes a bill.
func TestBillDoesNotHoldTheEndpoint(t *testing.T) {
	c := qt.New(t)
	d, passed := &orderRecorder{}, &answerSink{}
	next := Chain(Bill{Journal: d}, Place{Endpoints: d, MaxAttempts: 1}, filterFunc(func(ctx context.Context, x *Exchange) error {
		return x.Sink.Chunk(ctx, endpoint.Chunk{Last: true})
	}))
	c.Assert(next(context.Background(), &Exchange{Sink: passed}), qt.IsNil)
	c.Assert(d.inOrder, qt.IsTrue)
	c.Assert(passed.chunks, qt.HasLen, 1)
}
