package filter

import (
	"context"
	"slices"
	"time"
)

// keepShare is the share of the time to the deadline, 0 to 1, for which an answer is kept at least while the strongest model is
// asked, however long the answer may be.
const keepShare = 0.5

// keepReserve is the time before the deadline that is left at least for the rest of a kept answer, beside its typical length.
const keepReserve = 2 * answerMargin

// keeps reports whether the answer of the current send is kept, unread, until the strongest model accepts the request.
func (f *forwardRun) keeps() bool { return f.current != nil && f.current.held }

// strongest returns the strongest model of the route's cascade.
func (f *forwardRun) strongest() string {
	models := f.x.Routed.Route.Cascade
	return models[len(models)-1]
}

// replacementModel returns the model that a replacement asks.
func (f *forwardRun) replacementModel() string {
	if f.keeps() {
		return f.strongest()
	}
	return f.x.Attempt.Model
}

// keepCurrent keeps the answer of the current send, whose confidence is too low, and has the strongest model asked. relayHead calls
// it. It reports whether the request ends, and with which error.
func (f *forwardRun) keepCurrent(ctx context.Context) (bool, error) {
	s := f.current
	f.dropAsked(ctx)
	s.held, s.heldAt = true, time.Now()
	s.progressed(s.heldAt)
	f.keepUntil = f.latestForKept(s)
	f.tried = slices.DeleteFunc(slices.Clone(f.tried), func(id string) bool { return id == s.place.ID })
	f.askStronger(ctx)
	return false, nil
}

// latestForKept returns when the kept answer of s has to go on, so that it or the strongest model's can end by the deadline; zero
// without one. If nothing says how long the rest is, the answer is kept for keepShare of the time.
func (f *forwardRun) latestForKept(s *sendTask) time.Time {
	d := f.x.Request.Deadline
	if d.IsZero() {
		return d
	}
	remaining := time.Until(d)
	gap := max(s.place.TypicalLatency.MeanGap, s.place.StrongerLatency.MeanGap)
	least := time.Duration(keepShare * float64(remaining))
	rest := time.Duration(f.x.Routed.expectedEvents()) * gap
	if rest == 0 {
		return time.Now().Add(least)
	}
	return time.Now().Add(max(remaining-rest-keepReserve, least))
}

// keepTimeOver reports whether the kept answer has to go on.
func (f *forwardRun) keepTimeOver() bool {
	return !f.keepUntil.IsZero() && !time.Now().Before(f.keepUntil)
}

// askStronger starts to look for a placement for the strongest model, outside the part of the retry budget that is for failures.
// keepCurrent calls it, and replaceFailed.
func (f *forwardRun) askStronger(ctx context.Context) {
	q := f.replacementQuery()
	q.Retry, q.Escalation = true, true
	f.ask(ctx, nil, q)
}

// passKept lets a kept answer go on, since the strongest model's can't be had or comes too late, and drops what was opened for it.
// Without a kept answer it does nothing. It reports whether the request ends, and with which error.
func (f *forwardRun) passKept(ctx context.Context) (bool, error) {
	if !f.keeps() {
		return false, nil
	}
	s := f.current
	f.dropAsked(ctx) // a retry asks another model
	f.goOn(ctx)
	s.held, s.progressAt = false, time.Now()
	f.tried = append(f.tried, s.place.ID)
	f.x.Attempt.RetryAllowed = false
	return f.relayHead(ctx)
}
