package filter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"cornelmux/internal/drain"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// resumeBackoff is the wait before the second resumption of a stream; each further wait is longer by as much.
const resumeBackoff = 100 * time.Millisecond

// Sender opens a run at an endpoint. It calls check right before the first byte and sends nothing if check
// fails. A failure before the first byte is endpoint.ErrNotSent or the error of check.
type Sender interface {
	Open(ctx context.Context, e endpoint.Endpoint, c endpoint.Call, check endpoint.SendCheck) (endpoint.Stream, error)
}

// Send sends the attempt to its endpoint and passes the answer to the sink. It resumes streams that break.
type Send struct {
	Configurations Configurations
	Sender         Sender
	// MaxResumes is the maximum number of resumptions of one stream.
	MaxResumes int
}

// Handle implements Filter. Send is the last filter of its chain; Place calls it once per attempt.
func (f Send) Handle(ctx context.Context, x *Exchange, _ Next) error {
	run, cancel := runContext(ctx, x)
	defer cancel()
	sentBefore, runsBefore := x.Sent, len(x.Runs)
	x.Sent = false
	defer func() { x.Sent = x.Sent || sentBefore }()
	call := newCall(x)
	check := f.sendCheck(ctx, x)
	asm := endpoint.NewAssembler(call.RunID)
	for resumes := 0; ; resumes++ {
		err := f.relay(run, x, call, check, asm)
		if err == nil {
			return nil
		}
		if !f.mayResume(run, x, err, resumes) {
			err = resultError(run, x, asm, err)
			x.Sent = x.Sent && !isRefusal(err)
			if x.Sent && len(x.Runs) == runsBefore {
				x.Runs = append(x.Runs, newRun(x, 0, true))
			}
			return err
		}
		task.Sleep(run, time.Duration(resumes)*resumeBackoff)
		call.Offset = asm.NextOffset()
		call.Resume = true
		check = resumeCheck(run)
	}
}

// runContext returns the context of a run, for Send. The run of a non-idempotent request continues after its
// caller has disconnected, so that a resend gets its answer.
func runContext(ctx context.Context, x *Exchange) (context.Context, context.CancelFunc) {
	if x.Idempotent {
		return context.WithCancel(ctx)
	}
	if x.Request.Deadline.IsZero() {
		return context.WithCancel(context.WithoutCancel(ctx))
	}
	return context.WithDeadline(context.WithoutCancel(ctx), x.Request.Deadline)
}

// resumeCheck allows resuming a stream until its deadline. A version withdrawn meanwhile does not stop it, since the
// endpoint has accepted the run before.
func resumeCheck(ctx context.Context) endpoint.SendCheck {
	return func() error { return ctx.Err() }
}

// mayResume reports whether a chat run that the endpoint has accepted may be resumed there over a new connection.
func (f Send) mayResume(ctx context.Context, x *Exchange, err error, resumes int) bool {
	if x.Request.Kind != KindChat || resumes >= f.MaxResumes || ctx.Err() != nil {
		return false
	}
	return errors.Is(err, endpoint.ErrBroken) || (resumes > 0 && errors.Is(err, endpoint.ErrNotSent))
}

// newCall describes the attempt for the sender. The run ID is the same for each send of a level, retries included.
// Handle calls it once.
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

// sendCheck returns the check that the sender calls before the first byte: the newest configuration must allow the
// request, the deadline must not have passed, and the claim of a non-idempotent request must be valid. It marks the
// request as sent.
func (f Send) sendCheck(ctx context.Context, x *Exchange) endpoint.SendCheck {
	return func() error {
		s, err := f.Configurations.Current(ctx)
		if err != nil {
			return result.Errorf(result.NotReady, "read the configuration: %v", err)
		}
		if err := CheckAllowed(s, x.Account.Name, x.Attempt, x.Request); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return result.Errorf(result.DeadlinePassed, "the deadline passed or the caller disconnected before the send")
		}
		if !x.Idempotent && !x.Claim.Valid(time.Now()) {
			return result.Errorf(result.DeadlinePassed, "the claim expired before the send")
		}
		x.Sent = true
		x.Sends++
		x.Flight.progress(x, drain.StageSent)
		return nil
	}
}

// relay opens the call and passes the chunks of the answer on until the last one. asm puts the events in order. Handle
// calls it for the first send and for each resumption.
func (f Send) relay(ctx context.Context, x *Exchange, call endpoint.Call, check endpoint.SendCheck, asm *endpoint.Assembler) error {
	stream, err := f.Sender.Open(ctx, x.Attempt.Endpoint, call, check)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		fragment, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: the answer ended before its last chunk", endpoint.ErrBroken)
		}
		if err != nil {
			return err
		}
		for _, p := range asm.Add(fragment) {
			done, err := f.passChunk(ctx, x, stream.Head(), p)
			if done || err != nil {
				return err
			}
		}
	}
}

// passChunk passes one chunk to the sink, after the head if it is the first, and reports whether it was the last. relay
// calls it.
func (f Send) passChunk(ctx context.Context, x *Exchange, h endpoint.Head, p endpoint.Chunk) (bool, error) {
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

// newRun describes the attempt for the bill; the operator pays for a lost one.
func newRun(x *Exchange, tokens int, lost bool) journal.Run {
	return journal.Run{
		Model: x.Attempt.Model, Version: x.Attempt.Version, Service: x.Request.Service,
		Level: x.Attempt.Level, Tokens: tokens, Endpoint: x.Attempt.Endpoint.ID, OperatorCost: lost,
	}
}

// resultError returns the error that a run ended with as a *result.Error with its run state. An error from the sink is
// returned unchanged. Handle calls it if the run is not resumed.
func resultError(ctx context.Context, x *Exchange, asm *endpoint.Assembler, err error) error {
	var refused *endpoint.RefusedError
	var coded *result.Error
	switch {
	case errors.As(err, &refused):
		return result.Errorf(result.QueueFull, "endpoint %s: %v", x.Attempt.Endpoint.ID, err).WithRetryAfter(refused.RetryAfter)
	case errors.As(err, &coded):
		return coded
	case ctx.Err() != nil:
		return interruptedError(x)
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

// interruptedError describes a run whose deadline passed or whose caller has disconnected; it does not blame the
// endpoint.
func interruptedError(x *Exchange) error {
	if !x.Sent {
		return result.Errorf(result.DeadlinePassed, "the deadline passed or the caller disconnected before the send")
	}
	e := result.Errorf(result.DeadlinePassed, "the deadline passed or the caller disconnected while endpoint %s ran the request", x.Attempt.Endpoint.ID)
	e.Run = result.Unknown
	return e
}

// isRefusal reports whether the endpoint refused the request, so that it did not run.
func isRefusal(err error) bool { return result.From(err).Code == result.QueueFull }

// isEndpointError reports whether err comes from the call to the endpoint rather than from the sink.
func isEndpointError(err error) bool {
	return errors.Is(err, endpoint.ErrBroken) || errors.Is(err, endpoint.ErrNotSent) || errors.Is(err, endpoint.ErrUnknownRun)
}

// notRun sets the run state of e to "not run" and returns it.
func notRun(e *result.Error) *result.Error {
	e.Run = result.NotRun
	return e
}
