package filter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// resumePause is the wait before the second resumption, and grows with each further one.
const resumePause = 100 * time.Millisecond

// Sender opens a run at an endpoint. It calls gate immediately before the first byte and sends nothing if gate fails.
// A failure before the first byte is endpoint.ErrNotSent or the gate's error.
type Sender interface {
	Open(ctx context.Context, e endpoint.Endpoint, c endpoint.Call, gate endpoint.SendCheck) (endpoint.Stream, error)
}

// Send sends the attempt to its endpoint and passes the answer to the sink, resuming a stream that breaks.
type Send struct {
	Configurations Configurations
	Sender         Sender
	// MaxResumes bounds how often one stream is resumed.
	MaxResumes int
}

// Handle implements Filter.
func (f Send) Handle(ctx context.Context, x *Exchange, _ Next) error {
	run, cancel := runContext(ctx, x)
	defer cancel()
	sentBefore, runsBefore := x.Sent, len(x.Runs)
	x.Sent = false
	defer func() { x.Sent = x.Sent || sentBefore }()
	call := newCall(x)
	gate := f.gate(ctx, x)
	asm := endpoint.NewAssembler(call.RunID)
	for resumes := 0; ; resumes++ {
		err := f.relay(run, x, call, gate, asm)
		if err == nil {
			return nil
		}
		if !f.mayResume(run, x, err, resumes) {
			err = failure(run, x, asm, err)
			x.Sent = x.Sent && !neverRan(err)
			if x.Sent && len(x.Runs) == runsBefore {
				x.Runs = append(x.Runs, newRun(x, 0, true))
			}
			return err
		}
		task.Sleep(run, time.Duration(resumes)*resumePause)
		call.Offset = asm.NextOffset()
		call.Resume = true
		gate = resumeGate(run)
	}
}

// runContext bounds a run. One that may not be repeated goes on when its caller goes, so that a resend gets its answer.
func runContext(ctx context.Context, x *Exchange) (context.Context, context.CancelFunc) {
	if x.Idempotent {
		return context.WithCancel(ctx)
	}
	if x.Request.Deadline.IsZero() {
		return context.WithCancel(context.WithoutCancel(ctx))
	}
	return context.WithDeadline(context.WithoutCancel(ctx), x.Request.Deadline)
}

// resumeGate lets a resumed stream through until its deadline: it is work that the endpoint accepted before, so a
// version withdrawn since then doesn't stop it.
func resumeGate(ctx context.Context) endpoint.SendCheck {
	return func() error { return ctx.Err() }
}

// mayResume allows a new connection to the same endpoint for a chat run that the endpoint has accepted.
func (f Send) mayResume(ctx context.Context, x *Exchange, err error, resumes int) bool {
	if x.Request.Kind != KindChat || resumes >= f.MaxResumes || ctx.Err() != nil {
		return false
	}
	return errors.Is(err, endpoint.ErrBroken) || (resumes > 0 && errors.Is(err, endpoint.ErrNotSent))
}

func newCall(x *Exchange) endpoint.Call {
	path := (&url.URL{Path: x.Request.Path, RawQuery: x.Request.Query}).RequestURI()
	return endpoint.Call{
		RunID:       fmt.Sprintf("%s/%s/%d", x.Account.Name, x.Request.ID, x.Attempt.Level),
		Chat:        x.Request.Kind == KindChat,
		Idempotent:  x.Idempotent,
		Model:       x.Attempt.Model,
		Version:     x.Attempt.Version,
		Method:      x.Request.Method,
		Path:        path,
		ContentType: x.Request.ContentType,
		Fields:      x.Request.Fields,
		Body:        x.Request.Body,
		Priority:    x.Account.Priority,
	}
}

// gate checks the newest configuration, the claim and the deadline, then marks the request as sent.
func (f Send) gate(ctx context.Context, x *Exchange) endpoint.SendCheck {
	return func() error {
		s, err := f.Configurations.Current(ctx)
		if err != nil {
			return result.Errorf(result.NotReady, "configuration: %v", err)
		}
		if err := Usable(s, x.Account.Name, x.Attempt, x.Request); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return result.Errorf(result.DeadlinePassed, "before the send")
		}
		if !x.Idempotent && !x.Claim.Valid(time.Now()) {
			return result.Errorf(result.DeadlinePassed, "the journal's claim expired before the send")
		}
		x.Sent = true
		x.Sends++
		return nil
	}
}

func (f Send) relay(ctx context.Context, x *Exchange, call endpoint.Call, gate endpoint.SendCheck, asm *endpoint.Assembler) error {
	stream, err := f.Sender.Open(ctx, x.Attempt.Endpoint, call, gate)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		fragment, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: ended early", endpoint.ErrBroken)
		}
		if err != nil {
			return err
		}
		for _, p := range asm.Add(fragment) {
			done, err := f.pass(ctx, x, stream.Head(), p)
			if done || err != nil {
				return err
			}
		}
	}
}

// pass hands one piece to the sink and reports whether it was the last.
func (f Send) pass(ctx context.Context, x *Exchange, h endpoint.Head, p endpoint.Chunk) (bool, error) {
	if !x.Relayed {
		head := Head{
			RequestID: x.Request.ID, Status: h.Status, ContentType: h.ContentType, Fields: h.Fields,
			Model: x.Attempt.Model, Version: x.Attempt.Version,
		}
		if err := x.Sink.Begin(ctx, head); err != nil {
			return false, err
		}
		x.Relayed = true
	}
	if p.Last {
		x.Runs = append(x.Runs, newRun(x, p.Tokens, false))
	}
	return p.Last, x.Sink.Chunk(ctx, p)
}

// newRun describes the attempt; a lost one is at the operator's cost.
func newRun(x *Exchange, tokens int, lost bool) journal.Run {
	return journal.Run{
		Model: x.Attempt.Model, Version: x.Attempt.Version, Service: x.Request.Service,
		Level: x.Attempt.Level, Tokens: tokens, Endpoint: x.Attempt.Endpoint.ID, OperatorCost: lost,
	}
}

// failure gives the end of a run its result code, and its truth about what ran.
func failure(ctx context.Context, x *Exchange, asm *endpoint.Assembler, err error) error {
	var refused *endpoint.RefusedError
	var settled *result.Error
	switch {
	case errors.As(err, &refused):
		return result.Errorf(result.QueueFull, "endpoint %s: %v", x.Attempt.Endpoint.ID, err).WithRetryAfter(refused.RetryAfter)
	case errors.As(err, &settled):
		return settled
	case ctx.Err() != nil:
		return ended(x)
	case !isEndpointError(err):
		return err
	case !x.Sent:
		return notRun(result.Errorf(result.EndpointFailed, "endpoint %s: %v", x.Attempt.Endpoint.ID, err))
	case asm.NextOffset() > 0:
		return result.Errorf(result.AnswerBroken, "endpoint %s: %v", x.Attempt.Endpoint.ID, err)
	default:
		return result.Errorf(result.EndpointFailed, "endpoint %s: %v", x.Attempt.Endpoint.ID, err)
	}
}

// ended reports a run whose deadline passed or whose caller is gone; the endpoint isn't to blame.
func ended(x *Exchange) error {
	if !x.Sent {
		return result.Errorf(result.DeadlinePassed, "before the send")
	}
	e := result.Errorf(result.DeadlinePassed, "while endpoint %s ran the request", x.Attempt.Endpoint.ID)
	e.Run = result.Unknown
	return e
}

// neverRan reports a refusal by the endpoint itself.
func neverRan(err error) bool { return result.From(err).Code == result.QueueFull }

func isEndpointError(err error) bool {
	return errors.Is(err, endpoint.ErrBroken) || errors.Is(err, endpoint.ErrNotSent) || errors.Is(err, endpoint.ErrUnknownRun)
}

func notRun(e *result.Error) *result.Error {
	e.Run = result.NotRun
	return e
}
