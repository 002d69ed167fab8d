package filter

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/shift"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// sendResult is how one send ended.
type sendResult struct {
	err  error
	end  pool.End
	head endpoint.Head
	// ttfb and duration are the times from the start of the send to the head of the answer and to its end.
	ttfb     time.Duration
	duration time.Duration
	// events counts the events that were read, gaps holds the times between them.
	events int
	gaps   gaps
	// silent is the longest time without progress; progressAt is the time of the last one, or the start of the send.
	silent     time.Duration
	progressAt time.Time
	// reserved is the placement that was reserved for the next send because this one was silent. refused counts the tries that
	// found none, refusedErr is the reason of the last.
	reserved   *Reservation
	refused    int
	refusedErr string
}

// progressed records progress of the answer. relay and send call it.
func (s *sendResult) progressed(now time.Time) {
	s.silent = max(s.silent, now.Sub(s.progressAt))
	s.progressAt = now
}

// send sends the request to the placed endpoint and relays the answer. A silence watch cancels the send if the request can go
// on elsewhere. attempt calls it.
func (f *forwardRun) send(ctx context.Context, place pool.Placement) sendResult {
	x := f.x
	began := time.Now()
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := f.startSilenceWatch(run, cancel, place)
	s := sendResult{progressAt: began}
	stream, err := f.sender.Open(run, x.Attempt.Endpoint, f.call(), f.sendCheck(ctx))
	if err == nil {
		s.head, s.ttfb = stream.Head(), time.Since(began)
		f.reportProgress(ctx, &s)
		s.err = f.relay(run, stream, watch, &s)
		stream.Close()
	} else {
		s.err = err
	}
	s.progressed(time.Now())
	s.duration = time.Since(began)
	cancel(nil)
	s.reserved = watch.stop()
	if watch != nil && watch.err != nil {
		s.refused, s.refusedErr = watch.refused, watch.err.Error()
	}
	s.end = f.classifyEnd(ctx, run, s.err)
	if s.end == pool.EndTimeout {
		s.err = fmt.Errorf("%w: no progress for %v", endpoint.ErrBroken, s.silent)
	}
	return s
}

// startSilenceWatch starts the watch of a send whose context is run, or returns nil if the request can't be sent again or
// nothing is known to base a timeout on. send calls it before the request is sent.
func (f *forwardRun) startSilenceWatch(run context.Context, cancel context.CancelCauseFunc, place pool.Placement) *silenceWatch {
	x := f.x
	first := f.firstSilenceLimit(place)
	if !x.Idempotent || x.Routed.attemptsLeft() <= 0 || first <= 0 {
		return nil
	}
	w := &silenceWatch{
		placer: f.placer, query: f.query(), first: first, gap: f.eventGapLimit(first), cancel: cancel,
		progress: make(chan progress, 1), ends: make(chan task.End, 1),
	}
	w.query.Silent = place.ID
	if d := x.Request.Deadline; !d.IsZero() {
		w.latest = d.Add(-max(minSendTime, place.TypicalLatency.TTFB))
	}
	task.Start(run, "silence watch", w.ends, w.run)
	return w
}

// firstSilenceLimit returns the silence timeout until the first progress of a send, or 0 if nothing is known to base one on. For
// a resumed stream it follows from MaxGap and twice the usual time to first byte. It leaves time for a long prompt.
func (f *forwardRun) firstSilenceLimit(place pool.Placement) time.Duration {
	r := f.x.Routed.Route
	prefill := prefillTimeoutFactor * place.PrefillTime
	if f.x.Relayed {
		return max(time.Duration(gapTimeoutShare*float64(r.MaxGap)), 2*place.TypicalLatency.TTFB, prefill)
	}
	return max(time.Duration(minTTFBTimeoutShare*float64(r.Objective)), ttfbTimeoutFactor*place.TypicalLatency.TTFB, prefill)
}

// call describes the request for the sender. Only streams carry an urgency. The run ID is the request ID. send calls
// it.
func (f *forwardRun) call() endpoint.Call {
	x := f.x
	path := x.Request.Path
	if x.Request.Query != "" {
		path += "?" + x.Request.Query
	}
	urgency := -1
	if x.Routed.Route.Kind == routing.KindStream {
		urgency = min(max(x.Routed.Priority, 0), maxUrgency)
	}
	return endpoint.Call{
		RunID: x.Request.ID, Idempotent: x.Idempotent, Model: x.Attempt.Model, Method: x.Request.Method, Path: path,
		Fields: x.Request.Fields, Body: x.Request.Body,
		RouteOptions: endpoint.RouteOptions{
			Host: x.Routed.Host, Account: x.Routed.Account, Deadline: x.Request.Deadline, Urgency: urgency,
			LastEventID: f.lastEventID, EventStream: x.Routed.Route.Kind == routing.KindStream,
		},
	}
}

// sendCheck returns the check that the sender calls before the first byte: the deadline must leave enough time for the
// send. It counts the send and marks the request as sent.
func (f *forwardRun) sendCheck(ctx context.Context) endpoint.SendCheck {
	return func() error {
		if ctx.Err() != nil || f.x.Routed.callerLeft() {
			return result.Errorf(result.DeadlinePassed, "the deadline passed or the caller disconnected before the send")
		}
		if d := f.x.Request.Deadline; !d.IsZero() && time.Until(d) < minSendTime {
			return result.Errorf(result.DeadlinePassed, "too little time is left before the deadline")
		}
		f.x.Sends++
		f.x.Sent = true
		return nil
	}
}

// relay passes the chunks on until the last one and tells the silence watch of progress. send calls it once the head of the
// answer is there. The head of a resumed stream is not passed on.
func (f *forwardRun) relay(ctx context.Context, stream endpoint.Stream, watch *silenceWatch, s *sendResult) error {
	x := f.x
	stream, err := f.follow(stream)
	if err != nil {
		return err
	}
	head := Head{
		RequestID: x.Request.ID, Status: s.head.Status, ContentType: s.head.ContentType, Fields: s.head.Fields,
		Model: x.Attempt.Model, Version: x.Attempt.Version, Confidence: s.head.Confidence, HasConfidence: s.head.HasConfidence,
	}
	if head.Failed() {
		return f.bufferError(stream, head)
	}
	if !x.Relayed {
		if err := f.begin(ctx, head); err != nil {
			return err
		}
	}
	lastEventAt, reportAt := time.Now(), firstProgress
	for {
		fragment, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: the answer ended before its last chunk", endpoint.ErrBroken)
		}
		if err != nil {
			return err
		}
		p := fragment.Chunk
		if isProgress(p) {
			s.progressed(time.Now())
			watch.signal(progressPassingOn)
		}
		if p.Event != "" {
			now := time.Now()
			if s.events > 0 {
				s.gaps.add(now.Sub(lastEventAt))
			}
			lastEventAt = now
			s.events++
			if s.events == reportAt {
				reportAt *= progressFactor
				f.reportProgress(ctx, s)
			}
		}
		if err := x.Sink.Chunk(ctx, p); err != nil {
			return fmt.Errorf("%w: %w", errCallerGone, err)
		}
		f.setRelayed()
		if isProgress(p) {
			s.progressAt = time.Now()
			if !f.order.unnumbered { // the send can't be replaced any more
				watch.signal(progressWaiting)
			}
		}
		if p.Event != "" {
			f.lastEventID = p.Event
		}
		if p.Last {
			return nil
		}
	}
}

// setRelayed records that the caller has a part of the answer, which no error can replace any more.
func (f *forwardRun) setRelayed() {
	f.x.Relayed = true
	if f.giveUp != nil {
		f.giveUp.Stop()
	}
}

// begin passes the head on. An answer is dropped for the stronger model's only once that model has a placement; otherwise it is
// kept. relay calls it.
func (f *forwardRun) begin(ctx context.Context, head Head) error {
	err := f.x.Sink.Begin(ctx, head)
	if !errors.Is(err, errEscalate) || f.reserveStronger(ctx) {
		return err
	}
	f.x.Attempt.RetryAllowed = false
	return f.x.Sink.Begin(ctx, head)
}

const (
	// firstProgress is the number of events after which the pace of a stream is reported first, since fewer tell too little
	// of the rest. progressFactor is that by which it grows until the next report.
	firstProgress  = keptGaps + 1
	progressFactor = 4
)

// reportProgress tells the traffic shift how an attempt at its target goes on, before its end.
func (f *forwardRun) reportProgress(ctx context.Context, s *sendResult) {
	if !f.trial || s.head.Status >= http.StatusInternalServerError {
		return
	}
	p := shift.Progress{ID: f.present.ID, TTFB: s.ttfb, Pace: s.gaps.pace()}
	_ = f.Shifts.AttemptProgressed(ctx, p) // a full mailbox leaves the evidence to the end of the attempt
}

// errCallerGone ends a send whose answer could not be passed on.
var errCallerGone = errors.New("the caller disconnected")

// isProgress reports whether a chunk of a stream brings the answer on. Comments, which keep a connection open, don't.
func isProgress(p endpoint.Chunk) bool {
	return p.Last || p.Event != "" || bytes.Contains(p.Data, []byte("data:"))
}

// eventGapLimit returns the silence timeout between the events of a stream: that until the first progress if the route sets
// no MaxGap.
func (f *forwardRun) eventGapLimit(first time.Duration) time.Duration {
	return cmp.Or(time.Duration(gapTimeoutShare*float64(f.x.Routed.Route.MaxGap)), first)
}

// bufferError reads the endpoint's answer with an error status whole and holds it back in errorAnswer. relay calls it.
func (f *forwardRun) bufferError(stream endpoint.Stream, head Head) error {
	a := bufferedAnswer{head: head}
	for !a.body.Last {
		fragment, err := stream.Next()
		if err != nil {
			return fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
		}
		a.body.Data = append(a.body.Data, fragment.Chunk.Data...)
		a.body.Last = fragment.Chunk.Last
	}
	f.errorAnswer = &a
	return errEndpointStatus
}

// classifyEnd returns how the send ended for the endpoint, and sets MayHaveRun if the endpoint may have run the
// request, or counts one that wasn't reached. ctx is the context of the request, run that of the send, which the silence watch
// cancels. send calls it.
func (f *forwardRun) classifyEnd(ctx, run context.Context, err error) pool.End {
	var refused *endpoint.RefusedError
	var coded *result.Error
	switch {
	case err == nil, errors.Is(err, errEscalate):
		f.x.Routed.MayHaveRun = true
		return pool.EndAnswered
	case errors.Is(err, errEndpointStatus):
		f.x.Routed.MayHaveRun = true
		if f.errorAnswer.head.Status < 500 {
			return pool.EndAnswered
		}
		return pool.EndFailed
	case errors.As(err, &refused):
		return pool.EndRefused
	case errors.Is(err, endpoint.ErrReplaced):
		return pool.EndReplaced
	case errors.As(err, &coded):
		return pool.EndAbandoned
	case errors.Is(err, endpoint.ErrNotSent):
		if ctx.Err() != nil {
			return pool.EndAbandoned
		}
		f.x.Routed.Unreached++
		return pool.EndUnreachable
	}
	f.x.Routed.MayHaveRun = true
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		return pool.EndAbandoned
	}
	if errors.Is(context.Cause(run), errSilence) {
		return pool.EndTimeout
	}
	return pool.EndLost
}
