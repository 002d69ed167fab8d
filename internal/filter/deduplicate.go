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
	// Finish keeps the answer, or tells those who joined with what error the request ended.
	Finish(ctx context.Context, c journal.Claim, a *journal.Answer, err error) error
	// Bill records the runs of a request; it waits no longer than the hold limit.
	Bill(ctx context.Context, b journal.Bill) error
}

// Deduplicate answers a request that ran before from the journal, and lets each other one through once.
type Deduplicate struct {
	Journal Journal
	// CleanupTimeout bounds the calls made after the caller is gone.
	CleanupTimeout time.Duration
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.CleanupTimeout)
	defer cancel()
	if err == nil && r.bytes > maxKeptBytes {
		return f.Journal.Finish(ctx, x.Claim, nil, result.Errorf(result.AnswerGone, "over %d bytes", maxKeptBytes))
	}
	if err == nil {
		return f.Journal.Finish(ctx, x.Claim, &r.answer, nil)
	}
	e := Ending(x.Idempotent, x.Sent, result.From(err))
	if !x.Idempotent && !x.Sent {
		_ = f.Journal.Release(ctx, x.Claim) // until it is written, a resend is told that the outcome is unknown
	}
	_ = f.Journal.Finish(ctx, x.Claim, nil, e) // fails only once the journal has ended
	return e
}

// Ending returns the error that a request ended with, as its callers may be told: "not run" only where nothing was sent.
func Ending(idempotent, sent bool, e *result.Error) *result.Error {
	switch {
	case !sent && e.Run != result.NotRun:
		c := *e
		c.Run = result.NotRun
		return &c
	case sent && !idempotent:
		return result.Errorf(result.OutcomeUnknown, "%s", e.Detail)
	case sent && e.Run == result.NotRun:
		c := *e
		c.Run = result.Unknown
		return &c
	default:
		return e
	}
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
	head := Head{RequestID: x.Request.ID, Status: a.Status, ContentType: a.ContentType, Model: a.Model, Version: a.Version, Fields: a.Fields}
	if err := x.Sink.Begin(ctx, head); err != nil {
		return err
	}
	for _, p := range a.Chunks {
		if err := x.Sink.Chunk(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// maxKeptBytes bounds an answer that is kept for resends; a longer one only goes by.
const maxKeptBytes = 4 << 20

// recorder keeps a copy of the answer on its way to the caller.
// A caller that is gone doesn't end the work: its resend gets the kept answer.
type recorder struct {
	sink   Sink
	answer journal.Answer
	bytes  int
	gone   bool
}

func (r *recorder) Begin(ctx context.Context, h Head) error {
	r.answer = journal.Answer{Status: h.Status, ContentType: h.ContentType, Model: h.Model, Version: h.Version, Fields: h.Fields}
	r.gone = r.sink.Begin(ctx, h) != nil
	return nil
}

func (r *recorder) Chunk(ctx context.Context, p endpoint.Chunk) error {
	r.keep(p)
	if !r.gone {
		r.gone = r.sink.Chunk(ctx, p) != nil
	}
	return nil
}

func (r *recorder) keep(p endpoint.Chunk) {
	r.bytes += len(p.Text) + len(p.Data)
	if r.bytes > maxKeptBytes {
		r.answer.Chunks = nil
		return
	}
	r.answer.Chunks = append(r.answer.Chunks, p)
}
