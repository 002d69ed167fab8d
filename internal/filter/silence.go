package filter

import (
	"cmp"
	"context"
	"errors"
	"time"

	"cornelmux/internal/pool"
	"cornelmux/internal/quarantine"
	"cornelmux/internal/task"
)

// replaceInterval is the time between two tries to place a silent send elsewhere.
const replaceInterval = 150 * time.Millisecond

// errSilence is the reason to cancel a silent send: another endpoint has accepted the request, or, if the endpoint hasn't accepted
// it either, may do so.
var errSilence = errors.New("silence timeout of the endpoint")

// replacementTask looks for a placement for a replacement of the silent send. Its reservation is read after its end.
type replacementTask struct {
	placer
	quarantines Quarantines
	silent      *sendTask
	query       pool.Query
	check       quarantine.Query
	ends        chan task.End
	reserved    *Reservation
	// unneeded is set by the owner once the request has gone on meanwhile.
	unneeded bool
}

// run asks the quarantine and reserves a placement. It's the task of a replacementTask.
func (t *replacementTask) run(ctx context.Context) error {
	if err := t.quarantines.Check(ctx, t.check); err != nil {
		return err
	}
	r, err := t.reserve(ctx, t.query)
	t.reserved = r
	return err
}

// ended returns the channel that gets the end of the task; nil, which never brings anything, if there is none.
func (t *replacementTask) ended() <-chan task.End {
	if t == nil {
		return nil
	}
	return t.ends
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

// eventGapLimit returns the silence timeout between the events of a stream: that until the first progress if the route sets
// no MaxGap.
func (f *forwardRun) eventGapLimit(first time.Duration) time.Duration {
	return cmp.Or(time.Duration(gapTimeoutShare*float64(f.x.Routed.Route.MaxGap)), first)
}

// watch starts the silence timeout of the newest send, unless the request can't be sent again or nothing is known to base one on.
func (f *forwardRun) watch(limit time.Duration) {
	if f.x.Idempotent && limit > 0 {
		f.timer.Reset(limit)
	}
}

// headLimit returns the silence timeout from the head of the answer: what is left of that until the first progress, or the one
// between two if the head came later.
func (s *sendTask) headLimit() time.Duration {
	if left := s.first - time.Since(s.began); left > 0 {
		return left
	}
	return s.gap
}

// newest returns the send whose silence counts: the replacement if there is one, or else the current one.
func (f *forwardRun) newest() *sendTask { return cmp.Or(f.replacement, f.current) }

// tooLate reports whether a replacement of s could hardly answer before the deadline.
func (f *forwardRun) tooLate(s *sendTask) bool {
	d := f.x.Request.Deadline
	return !d.IsZero() && time.Until(d) < max(minSendTime, s.place.TypicalLatency.TTFB)
}

// askReplacement starts to look for a placement for a replacement of the newest send, if the request may be sent once more.
// handleNext calls it when that send was silent for too long, takeReplacement when a replacement has failed.
func (f *forwardRun) askReplacement(ctx context.Context) {
	s := f.newest()
	if f.asked != nil {
		f.watch(replaceInterval)
		return
	}
	if !f.x.Idempotent || f.x.Routed.attemptsLeft() <= 0 || ctx.Err() != nil || f.tooLate(s) {
		return
	}
	t := &replacementTask{
		placer: f.placer, quarantines: f.quarantines, silent: s, query: f.query(), check: quarantineQuery(f.x), ends: make(chan task.End, 1),
	}
	t.query.Silent = s.place.ID
	f.asked = t
	task.Start(ctx, "replacement", t.ends, t.run)
}

// openReplacement opens the replacement that was looked for, unless none was found or the request has gone on. At most two sends
// are open: a replacement that is silent as well and hasn't accepted the request is given up for the next. handleNext calls it at
// the end of the task.
func (f *forwardRun) openReplacement(ctx context.Context, err error) {
	t := f.asked
	f.asked = nil
	switch {
	case err != nil:
		t.silent.countRefusal(err)
		if !t.unneeded {
			f.watch(replaceInterval)
		}
		return
	case t.unneeded, ctx.Err() != nil, f.tooLate(t.silent):
		f.release(ctx, t.reserved)
		return
	}
	if s := f.replacement; s != nil {
		f.replacement = nil
		f.conclude(ctx, s, s.stop(errSilence))
	}
	f.replacement = f.startSend(ctx, t.reserved)
	f.watch(f.replacement.first)
}

// countRefusal counts a try to place a replacement that failed with err.
func (s *sendResult) countRefusal(err error) {
	s.refused++
	s.refusedErr = err.Error()
}

// takeReplacement handles what the replacement handed over. If its endpoint accepted the request, the silent send is given up for it;
// ok is false if it has ended. Then, and if its answer can't go on with the stream, the silent send goes on. It reports whether the
// request ends, and with which error. handleNext calls it.
func (f *forwardRun) takeReplacement(ctx context.Context, ok bool) (bool, error) {
	s := f.replacement
	f.replacement = nil
	unfit := f.checkHead(s.head)
	if !ok || unfit != nil {
		err := s.stop(nil)
		if ok {
			err = unfit
		}
		f.conclude(ctx, s, err)
		switch s.end {
		case pool.EndAbandoned: // no further send may begin
		case pool.EndUnreachable: // these have no bound but the retry budget
			f.watch(replaceInterval)
		default:
			f.askReplacement(ctx)
		}
		return false, nil
	}
	silent := f.current
	err := silent.stop(errSilence)
	f.order.noteEnd(err)
	f.conclude(ctx, silent, err)
	f.setCurrent(s)
	f.markUnneeded()
	return f.relayHead(ctx)
}

// goOn drops the replacement, opened or looked for, because the current send goes on.
func (f *forwardRun) goOn(ctx context.Context) {
	f.markUnneeded()
	f.dropReplacement(ctx, errOvertaken)
}

// markUnneeded says that the placement that is looked for is to be given back.
func (f *forwardRun) markUnneeded() {
	if f.asked != nil {
		f.asked.unneeded = true
	}
}

// dropReplacement cancels the replacement, if there is one, and reports it; why is the reason.
func (f *forwardRun) dropReplacement(ctx context.Context, why error) {
	s := f.replacement
	if s == nil {
		return
	}
	f.replacement = nil
	f.conclude(ctx, s, s.stop(why))
}

// dropAsked gives the placement back that is looked for, if there is one.
func (f *forwardRun) dropAsked(ctx context.Context) { f.release(ctx, f.takeAsked(f.current)) }

// takeAsked waits for the placement that is looked for and returns it, or nil. If none was found, it counts that for s, unless
// that is nil.
func (f *forwardRun) takeAsked(s *sendTask) *Reservation {
	t := f.asked
	f.asked = nil
	if t == nil {
		return nil
	}
	if end := <-t.ends; end.Err != nil && s != nil {
		s.countRefusal(end.Err)
	}
	return t.reserved
}
