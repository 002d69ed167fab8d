package filter

import (
	"context"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/pkg/result"
)

// Journal records requests: whether they may have been sent, and their answers.
type Journal interface {
	// Open finds or adds the request. A non-idempotent one is recorded in the platform before Open returns.
	Open(ctx context.Context, k journal.Key, idempotent bool, f journal.Fingerprint) (journal.OpenResult, error)
	// Release records that nothing was sent under the claim.
	Release(ctx context.Context, c journal.Claim) error
	// Finish stores the answer, or passes err to the callers that wait for the same request.
	Finish(ctx context.Context, c journal.Claim, a *journal.Answer, err error) error
	// Bill records the runs of a request. It blocks no longer than the hold limit.
	Bill(ctx context.Context, b journal.Bill) error
}

// Deduplicate answers a request that already ran from the journal, and passes any other request on once.
type Deduplicate struct {
	Journal Journal
	// CleanupTimeout bounds the journal calls after the request ended.
	CleanupTimeout time.Duration
}

// Handle implements Filter. If Journal.Open fails, the caller gets its error, and nothing is sent.
func (f Deduplicate) Handle(ctx context.Context, x *Exchange, next Next) error {
	o, err := f.Journal.Open(ctx, x.Key(), x.Idempotent, resendFingerprint(x))
	if err != nil {
		return err
	}
	if o.Answer != nil {
		return replay(ctx, x, *o.Answer)
	}
	x.Claim = o.Claim
	recorder := &recordSink{sink: x.Sink}
	x.Sink = recorder
	err = next(ctx, x)
	return f.finish(ctx, x, recorder, err)
}

// finish records how the request ended, even if the caller has disconnected, and returns the error for the caller.
// Handle calls it once the rest of the chain has returned.
func (f Deduplicate) finish(ctx context.Context, x *Exchange, r *recordSink, err error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.CleanupTimeout)
	defer cancel()
	if err == nil && r.bytes > maxKeptBytes {
		return f.Journal.Finish(ctx, x.Claim, nil, result.Errorf(result.AnswerGone, "the answer exceeds %d bytes and is not kept", maxKeptBytes))
	}
	if err == nil {
		return f.Journal.Finish(ctx, x.Claim, &r.answer, nil)
	}
	e := CallerError(x.Idempotent, x.Sent, result.From(err))
	if !x.Idempotent && !x.Sent {
		_ = f.Journal.Release(ctx, x.Claim) // if it fails, a resend is told that the outcome is unknown
	}
	_ = f.Journal.Finish(ctx, x.Claim, nil, e) // fails only after the journal has stopped
	return e
}

// CallerError returns the error that callers get for a request that ended with e. It says "not run" only if nothing was
// sent, and "outcome unknown" if a non-idempotent request was sent. Deduplicate calls it for each request that failed.
func CallerError(idempotent, sent bool, e *result.Error) *result.Error {
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

// replay passes an answer from the journal to the caller. Handle calls it for a resend.
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

// maxKeptBytes bounds one answer that is kept for resends, text and data together; longer ones are passed on without
// being kept.
const maxKeptBytes = 4 << 20

// recordSink copies the answer while it passes it to the caller. The request continues after the caller has
// disconnected, so that a resend gets the recorded answer. bytes counts the text and the data of all chunks; callerGone
// reports that the caller's sink failed, which gets no more.
type recordSink struct {
	sink       Sink
	answer     journal.Answer
	bytes      int
	callerGone bool
}

func (r *recordSink) Begin(ctx context.Context, h Head) error {
	r.answer = journal.Answer{Status: h.Status, ContentType: h.ContentType, Model: h.Model, Version: h.Version, Fields: h.Fields}
	r.callerGone = r.sink.Begin(ctx, h) != nil
	return nil
}

func (r *recordSink) Chunk(ctx context.Context, p endpoint.Chunk) error {
	r.record(p)
	if !r.callerGone {
		r.callerGone = r.sink.Chunk(ctx, p) != nil
	}
	return nil
}

// record appends the chunk to the answer, and drops the whole copy once it exceeds maxKeptBytes.
func (r *recordSink) record(p endpoint.Chunk) {
	r.bytes += len(p.Text) + len(p.Data)
	if r.bytes > maxKeptBytes {
		r.answer.Chunks = nil
		return
	}
	r.answer.Chunks = append(r.answer.Chunks, p)
}
