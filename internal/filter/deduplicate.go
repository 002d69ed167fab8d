package filter

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/pkg/result"
)

// Journal remembers requests: which may have been sent, and what was answered.
type Journal interface {
	// Open finds or starts the request. A non-idempotent one is recorded in the platform before Open returns.
	Open(ctx context.Context, k journal.Key, idempotent bool, fingerprint uint64) (journal.Opening, error)
	// Release records that nothing was sent for the claim.
	Release(ctx context.Context, c journal.Claim) error
	// Finish keeps the answer, or records that the request failed with none.
	Finish(ctx context.Context, k journal.Key, a *journal.Answer) error
	// Bill records the runs of a request; it waits no longer than the hold limit.
	Bill(ctx context.Context, b journal.Bill) error
}

// Deduplicate answers a request that ran before from the journal, and lets each other one through once.
type Deduplicate struct {
	Journal Journal
	// Cleanup bounds the calls made after the caller is gone.
	Cleanup time.Duration
}

// Handle implements Filter.
func (f Deduplicate) Handle(ctx context.Context, x *Exchange, next Next) error {
	o, err := f.Journal.Open(ctx, x.Key(), x.Idempotent, Fingerprint(x))
	if err != nil {
		return err
	}
	if o.Answer != nil {
		return replay(ctx, x, *o.Answer)
	}
	x.Claim = o.Claim
	recorder := &recorder{sink: x.Sink}
	x.Sink = recorder
	err = next(ctx, x)
	return f.settle(ctx, x, recorder, err)
}

// settle records how the request ended, also when the caller is gone.
func (f Deduplicate) settle(ctx context.Context, x *Exchange, r *recorder, err error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.Cleanup)
	defer cancel()
	if err == nil {
		return f.Journal.Finish(ctx, x.Key(), &r.answer)
	}
	e := result.From(err)
	if x.Idempotent {
		_ = f.Journal.Finish(ctx, x.Key(), nil) // nothing durable hangs on it
		return e
	}
	if x.Sent {
		_ = f.Journal.Finish(ctx, x.Key(), nil) // the durable entry already says that it may have been sent
		return result.Errorf(result.OutcomeUnknown, "%s", e.Detail)
	}
	if releaseErr := f.Journal.Release(ctx, x.Claim); releaseErr != nil {
		return result.Errorf(result.OutcomeUnknown, "not sent, but the journal can't say so: %v", releaseErr)
	}
	return e
}

// Fingerprint identifies the content of a request.
func Fingerprint(x *Exchange) uint64 {
	h := xxhash.New()
	for _, s := range []string{x.Account.Name, x.Request.Model, x.Request.Service, x.Request.Method, x.Request.Path} {
		_, _ = h.WriteString(s + "\x00") // a hash never fails
	}
	_, _ = h.Write(x.Request.Body)
	return h.Sum64()
}

func replay(ctx context.Context, x *Exchange, a journal.Answer) error {
	head := Head{RequestID: x.Request.ID, Status: a.Status, ContentType: a.ContentType, Model: a.Model, Version: a.Version}
	if err := x.Sink.Begin(ctx, head); err != nil {
		return err
	}
	for _, p := range a.Pieces {
		if err := x.Sink.Piece(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// recorder keeps a copy of the answer on its way to the caller.
// A caller that is gone doesn't end the work: its resend gets the kept answer.
type recorder struct {
	sink   Sink
	answer journal.Answer
	gone   bool
}

func (r *recorder) Begin(ctx context.Context, h Head) error {
	r.answer = journal.Answer{Status: h.Status, ContentType: h.ContentType, Model: h.Model, Version: h.Version}
	r.gone = r.sink.Begin(ctx, h) != nil
	return nil
}

func (r *recorder) Piece(ctx context.Context, p endpoint.Piece) error {
	r.answer.Pieces = append(r.answer.Pieces, p)
	if !r.gone {
		r.gone = r.sink.Piece(ctx, p) != nil
	}
	return nil
}
