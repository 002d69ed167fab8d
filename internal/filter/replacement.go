package filter

import (
	"context"

	"cornelmux/internal/pool"
	"cornelmux/internal/quarantine"
	"cornelmux/internal/task"
)

// replacementTask looks for a placement for another send of a request.
type replacementTask struct {
	placer
	quarantines Quarantines
	query       pool.Query
	check       quarantine.Query
	ends        chan task.End
	cancel      context.CancelFunc
	// reserved is set by the task, and read by the owner after its end.
	reserved *Reservation
	// replaced is the silent send that is to be replaced; nil if a stronger model is to be asked. Only the owner uses it.
	replaced *sendTask
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

// askReplacement starts to look for a placement for a replacement of the newest send, if the request may be sent once more; otherwise
// an answer that is kept goes on. handleNext calls it when the newest send was silent for too long. It reports whether the request
// ends, and with which error.
func (f *forwardRun) askReplacement(ctx context.Context) (bool, error) {
	s := f.newest()
	switch {
	case f.keeps() && f.keepTimeOver():
		return f.passKept(ctx)
	case f.asked != nil, s.memory.waiting():
		f.watch(replaceInterval)
		return false, nil
	case !f.mayReplace(ctx, s):
		return f.passKept(ctx)
	}
	q := f.replacementQuery()
	q.Silent = s.place.ID
	f.ask(ctx, s, q)
	return false, nil
}

// mayReplace reports whether the request may be sent once more in place of s. A stream can't be resumed after an event without an ID.
func (f *forwardRun) mayReplace(ctx context.Context, s *sendTask) bool {
	resumable := !f.x.Relayed || !f.order.unnumbered
	return f.x.Idempotent && resumable && f.x.Routed.attemptsLeft() > 0 && ctx.Err() == nil && !f.tooLate(s)
}

// replacementQuery describes the run of a replacement: of the strongest model if the answer of another one is kept.
func (f *forwardRun) replacementQuery() pool.Query {
	q := f.query()
	q.Waits = false // the send beside it goes on
	if f.keeps() {
		q.Model, q.StrongerModel = f.strongest(), ""
		q.Weight = f.weight(q.Model)
	}
	return q
}

// ask starts to look for a placement by q, for a replacement of s, which may be nil.
func (f *forwardRun) ask(ctx context.Context, s *sendTask, q pool.Query) {
	t := &replacementTask{
		placer: f.placer, quarantines: f.quarantines, replaced: s, query: q, check: quarantineQuery(f.x), ends: make(chan task.End, 1),
	}
	ctx, t.cancel = context.WithCancel(ctx)
	f.asked = t
	task.Start(ctx, "replacement", t.ends, t.run)
}

// openReplacement opens the replacement that was looked for, unless none was found or the request has gone on. At most two sends
// are open: a replacement that is silent as well and hasn't accepted the request is given up for the next. handleNext calls it at
// the end of the task. It reports whether the request ends, and with which error.
func (f *forwardRun) openReplacement(ctx context.Context, err error) (bool, error) {
	t := f.asked
	f.asked = nil
	t.cancel()
	switch {
	case err != nil:
		t.replaced.countRefusal(err)
		if t.unneeded {
			return false, nil
		}
		f.watch(replaceInterval)
		return f.passKept(ctx)
	case t.unneeded:
		f.release(ctx, t.reserved)
		return false, nil
	case ctx.Err() != nil, f.tooLate(t.replaced):
		f.release(ctx, t.reserved)
		return f.passKept(ctx)
	}
	if s := f.replacement; s != nil {
		f.replacement = nil
		f.conclude(ctx, s, s.stop(errSilence))
	}
	f.replacement = f.startSend(ctx, t.reserved, f.replacementModel())
	f.watch(f.replacement.first)
	return false, nil
}

// countRefusal counts a try to place the silent send elsewhere that failed with err; s may be nil.
func (s *sendTask) countRefusal(err error) {
	if s == nil {
		return
	}
	s.refused++
	s.refusedErr = err.Error()
}

// takeReplacement handles what the replacement handed over: if its endpoint accepted the request, the current send is given up for it;
// ok is false if it has ended. Then, and if its answer can't go on with the stream, the current send goes on. It reports whether the
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
		return f.replaceFailed(ctx, s)
	}
	before := f.current
	if before.held {
		_ = before.stop(nil) // what counts is the confidence
		f.conclude(ctx, before, errEscalate)
		f.x.Attempt = Attempt{Level: len(f.x.Routed.Route.Cascade) - 1, Model: s.model}
	} else {
		err := before.stop(errSilence)
		f.order.noteEnd(err)
		f.conclude(ctx, before, err)
	}
	f.setCurrent(s)
	f.markUnneeded()
	return f.relayHead(ctx)
}

// replaceFailed looks for a further replacement after s, one that has failed, if the request may be sent once more. It reports whether
// the request ends, and with which error.
func (f *forwardRun) replaceFailed(ctx context.Context, s *sendTask) (bool, error) {
	switch {
	case s.end == pool.EndAbandoned: // no further send may begin
		return f.passKept(ctx)
	case f.asked != nil:
		f.watch(replaceInterval)
		return false, nil
	case f.keeps() && f.mayReplace(ctx, f.current) && !f.keepTimeOver():
		f.askStronger(ctx)
		return false, nil
	case s.end == pool.EndUnreachable: // these have no bound but the retry budget
		f.watch(replaceInterval)
		return f.passKept(ctx)
	default:
		return f.askReplacement(ctx)
	}
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

// dropAsked ends the search for a placement, if there is one, and gives back what it found.
func (f *forwardRun) dropAsked(ctx context.Context) {
	if f.asked != nil {
		f.asked.cancel()
	}
	f.release(ctx, f.takeAsked())
}

// takeAsked waits for the placement that is looked for and returns it, or nil.
func (f *forwardRun) takeAsked() *Reservation {
	t := f.asked
	f.asked = nil
	if t == nil {
		return nil
	}
	end := <-t.ends
	t.cancel()
	if end.Err != nil {
		t.replaced.countRefusal(end.Err)
	}
	return t.reserved
}
