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
	"cornelmux/pkg/result"
)

// Sender opens a run at an endpoint. It calls gate immediately before the first byte and sends nothing if gate fails.
// A failure before the first byte is endpoint.ErrNotSent or the gate's error.
type Sender interface {
	Open(ctx context.Context, e endpoint.Endpoint, c endpoint.Call, gate endpoint.Gate) (endpoint.Stream, error)
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
	call := newCall(x)
	gate := f.gate(ctx, x)
	asm := endpoint.NewAssembler(call.RunID)
	for resumes := 0; ; resumes++ {
		err := f.relay(ctx, x, call, gate, asm)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, endpoint.ErrNotSent) && asm.Next() == 0:
			return result.Errorf(result.EndpointFailed, "endpoint %s: %v", x.Attempt.Endpoint.ID, err)
		case !errors.Is(err, endpoint.ErrBroken) && !errors.Is(err, endpoint.ErrNotSent):
			return err
		case x.Request.Kind != KindChat || resumes >= f.MaxResumes || ctx.Err() != nil:
			return broken(x, asm, err)
		}
		call.Offset = asm.Next()
		call.Resume = true
		gate = func() error { return nil }
	}
}

func newCall(x *Exchange) endpoint.Call {
	path := (&url.URL{Path: x.Request.Path, RawQuery: x.Request.Query}).RequestURI()
	return endpoint.Call{
		RunID:      fmt.Sprintf("%s/%s/%d", x.Account.Name, x.Request.ID, x.Attempt.Level),
		Chat:       x.Request.Kind == KindChat,
		Idempotent: x.Idempotent,
		Model:      x.Attempt.Model,
		Version:    x.Attempt.Version,
		Method:     x.Request.Method,
		Path:       path,
		Type:       x.Request.ContentType,
		Body:       x.Request.Body,
		Priority:   x.Account.Priority,
	}
}

// gate checks the newest configuration, the claim and the deadline, then marks the request as sent.
func (f Send) gate(ctx context.Context, x *Exchange) endpoint.Gate {
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
		return nil
	}
}

func (f Send) relay(ctx context.Context, x *Exchange, call endpoint.Call, gate endpoint.Gate, asm *endpoint.Assembler) error {
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
		for _, p := range asm.Take(fragment) {
			done, err := f.pass(ctx, x, stream.Head(), p)
			if done || err != nil {
				return err
			}
		}
	}
}

// pass hands one piece to the sink and reports whether it was the last.
func (f Send) pass(ctx context.Context, x *Exchange, h endpoint.Head, p endpoint.Piece) (bool, error) {
	if !x.Relayed {
		head := Head{
			RequestID: x.Request.ID, Status: h.Status, ContentType: h.ContentType,
			Model: x.Attempt.Model, Version: x.Attempt.Version,
		}
		if err := x.Sink.Begin(ctx, head); err != nil {
			return false, err
		}
		x.Relayed = true
	}
	if p.Last {
		x.Runs = append(x.Runs, journal.Run{
			Model: x.Attempt.Model, Version: x.Attempt.Version, Service: x.Request.Service,
			Level: x.Attempt.Level, Tokens: p.Tokens, Endpoint: x.Attempt.Endpoint.ID,
		})
	}
	return p.Last, x.Sink.Piece(ctx, p)
}

func broken(x *Exchange, asm *endpoint.Assembler, err error) error {
	if asm.Next() > 0 {
		return result.Errorf(result.AnswerBroken, "endpoint %s: %v", x.Attempt.Endpoint.ID, err)
	}
	return result.Errorf(result.EndpointFailed, "endpoint %s: %v", x.Attempt.Endpoint.ID, err)
}
