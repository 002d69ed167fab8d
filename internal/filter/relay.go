package filter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/quarantine"
	"cornelmux/internal/shift"
)

// follow relays the current send, and opens a replacement beside it while it is silent, until the answer is whole or no send is
// left; it returns the error of the last one. Both sends hand over to this goroutine alone, which relays only the current one and
// drops the replacement before it relays progress, so that each event is relayed once. attempt calls it.
func (f *forwardRun) follow(ctx context.Context) error {
	for {
		if done, err := f.handleNext(ctx); done {
			return err
		}
	}
}

// handleNext waits for what comes next and handles it. It reports whether the request ends, and with which error. What a send hands
// over goes before the silence timeout, which may have passed only because this process was held up, and the current send before its
// replacement.
func (f *forwardRun) handleNext(ctx context.Context) (bool, error) {
	select {
	case m, ok := <-f.current.received():
		return f.relay(ctx, m, ok)
	default:
	}
	select {
	case _, ok := <-f.replacement.received():
		return f.takeReplacement(ctx, ok)
	default:
	}
	select {
	case m, ok := <-f.current.received():
		return f.relay(ctx, m, ok)
	case _, ok := <-f.replacement.received():
		return f.takeReplacement(ctx, ok)
	case end := <-f.asked.ended():
		return f.openReplacement(ctx, end.Err)
	case <-f.timer.C:
		return f.askReplacement(ctx)
	}
}

// relay handles what the current send handed over; ok is false if it has ended. It reports whether the request ends, and with
// which error. handleNext calls it.
func (f *forwardRun) relay(ctx context.Context, m message, ok bool) (bool, error) {
	switch {
	case !ok:
		return f.failCurrent(ctx, f.current.stop(nil))
	case m.accepted:
		f.goOn(ctx)
		return f.relayHead(ctx)
	case m.next:
		return false, nil
	default:
		return f.relayChunk(ctx, m.chunk)
	}
}

// relayHead passes the head of the current answer on, except that of a resumed stream. It reports whether the request ends, and
// with which error.
func (f *forwardRun) relayHead(ctx context.Context) (bool, error) {
	s := f.current
	if err := f.checkHead(s.head); err != nil {
		return f.rejectCurrent(ctx, err)
	}
	f.watch(s.headLimit())
	f.reportProgress(ctx, s)
	if f.x.Relayed {
		return false, nil
	}
	err := f.x.Sink.Begin(ctx, f.answerHead(s))
	s.verdict = f.x.Attempt.Verdict
	switch {
	case errors.Is(err, errEscalate):
		return f.keepCurrent(ctx)
	case err != nil:
		return true, f.endCurrent(ctx, err)
	default:
		return false, nil
	}
}

// answerHead returns the head of the answer for the caller.
func (f *forwardRun) answerHead(s *sendTask) Head {
	return Head{
		RequestID: f.x.Request.ID, Status: s.head.Status, ContentType: s.head.ContentType, Fields: s.head.Fields,
		Model: s.model, Version: s.place.Version, Confidence: s.head.Confidence, HasConfidence: s.head.HasConfidence,
	}
}

// relayChunk passes a chunk of the current answer on. The silence timeout starts anew after progress, once the caller has taken
// it. It reports whether the request ends, and with which error.
func (f *forwardRun) relayChunk(ctx context.Context, c endpoint.Chunk) (bool, error) {
	s, progress := f.current, isProgress(c)
	if err := f.checkOrder(s, c); err != nil {
		return f.rejectCurrent(ctx, err)
	}
	if progress {
		f.goOn(ctx)
		s.progressed(time.Now())
	}
	if c.Event != "" {
		f.countEvent(ctx, s)
	}
	if err := f.x.Sink.Chunk(ctx, c); err != nil {
		return true, f.endCurrent(ctx, fmt.Errorf("%w: %w", errCallerGone, err))
	}
	f.setRelayed()
	f.order.note(f.lastEventID, c)
	if c.Event != "" {
		f.lastEventID = c.Event
	}
	if progress {
		s.progressAt = time.Now()
		f.watch(s.gap)
	}
	if c.Last {
		return true, f.endCurrent(ctx, nil)
	}
	return false, nil
}

// countEvent counts an event for the pace of the stream, and reports that now and then.
func (f *forwardRun) countEvent(ctx context.Context, s *sendTask) {
	now := time.Now()
	if s.events > 0 {
		s.gaps.add(now.Sub(s.lastEventAt))
	} else {
		s.firstEventAt = now
	}
	if now.Sub(s.firstEventAt) >= quarantine.StartTime {
		f.reportSurvival(ctx, s)
	}
	s.lastEventAt = now
	s.events++
	if s.events == s.reportAt {
		s.reportAt *= progressFactor
		f.reportProgress(ctx, s)
	}
}

// endCurrent ends the sends and reports the current one with err, which it returns: nil for a whole answer.
func (f *forwardRun) endCurrent(ctx context.Context, err error) error {
	f.dropReplacement(ctx, errRequestEnded)
	f.dropAsked(ctx)
	s := f.current
	f.current = nil
	_ = s.stop(nil) // what counts is err
	f.conclude(ctx, s, err)
	return err
}

// rejectCurrent ends the current send because its answer can't go to the caller, for the reason err. It reports whether the request
// ends, and with which error.
func (f *forwardRun) rejectCurrent(ctx context.Context, err error) (bool, error) {
	_ = f.current.stop(nil) // what counts is err
	return f.failCurrent(ctx, err)
}

// failCurrent reports the current send, which has ended with err. The replacement goes on in its place, if there is one; if a
// placement is being looked for, the next attempt gets that. It reports whether the request ends, and with which error.
func (f *forwardRun) failCurrent(ctx context.Context, err error) (bool, error) {
	s := f.current
	f.current = nil
	f.order.noteEnd(err)
	if f.replacement == nil {
		f.reserved = f.takeAsked()
	}
	f.conclude(ctx, s, err)
	if f.replacement == nil || !f.mayGoOn(ctx, err) {
		f.dropReplacement(ctx, errRequestEnded)
		f.dropAsked(ctx)
		return true, err
	}
	f.setCurrent(f.replacement)
	f.replacement = nil
	f.watch(f.current.headLimit())
	return false, nil
}

// setRelayed records that the caller has a part of the answer, which no error can replace any more.
func (f *forwardRun) setRelayed() {
	f.x.Relayed = true
	if f.giveUp != nil {
		f.giveUp.Stop()
	}
}

const (
	// firstProgress is the number of events after which the pace of a stream is reported first, since fewer tell too little
	// of the rest. progressFactor is that by which it grows until the next report.
	firstProgress  = keptGaps + 1
	progressFactor = 4
)

// reportProgress tells the traffic shift how an attempt at its target goes on, before its end.
func (f *forwardRun) reportProgress(ctx context.Context, s *sendTask) {
	if !s.trial || s.head.Status >= http.StatusInternalServerError {
		return
	}
	p := shift.Progress{ID: s.present.ID, TTFB: s.ttfb, Pace: s.gaps.pace()}
	_ = f.Shifts.AttemptProgressed(ctx, p) // a full mailbox leaves the evidence to the end of the attempt
}

// errCallerGone ends a send whose answer could not be passed on.
var errCallerGone = errors.New("the caller disconnected")

// isProgress reports whether a chunk of a stream brings the answer on. Comments, which keep a connection open, don't.
func isProgress(p endpoint.Chunk) bool {
	return p.Last || p.Event != "" || bytes.Contains(p.Data, []byte("data:"))
}
