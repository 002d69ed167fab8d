package drain

import (
	"slices"
	"time"
)

// Stop is the timetable of a graceful shutdown. It is the cause of the end of a request's context that the shutdown ended.
type Stop struct {
	// Began is when the shutdown began.
	Began time.Time
	// AdmitUntil is until when each new request is taken, AcceptUntil until when each is sent on that wasn't sent before. After that
	// only those are that are certain of their answers.
	AdmitUntil  time.Time
	AcceptUntil time.Time
	// AnswerBy is when requests of which nothing was answered are given up, so that their errors reach the callers before CutAt.
	AnswerBy time.Time
	// CutAt is when the connections of the requests that are left are closed.
	CutAt time.Time
}

// Error implements error.
func (Stop) Error() string { return "the VM is shutting down" }

// RefusesNew reports whether a request with the deadline, zero if it has none, comes too late to be taken at now.
func (s Stop) RefusesNew(now, deadline time.Time) bool {
	return !now.Before(s.AdmitUntil) && s.mayOutlast(deadline)
}

// RefusesSend reports whether a request with the deadline comes too late to be sent for the first time at now.
func (s Stop) RefusesSend(now, deadline time.Time) bool {
	return !now.Before(s.AcceptUntil) && s.mayOutlast(deadline)
}

// mayOutlast reports whether a request with the deadline may still run at AnswerBy.
func (s Stop) mayOutlast(deadline time.Time) bool {
	return deadline.IsZero() || deadline.After(s.AnswerBy)
}

// phase is a step of a shutdown, which the Controller takes at its time.
type phase struct {
	at   time.Time
	take func(c *Controller, now time.Time)
}

// phases returns the steps of a shutdown in order.
func phases(s Stop) []phase {
	all := []phase{
		{s.AcceptUntil, (*Controller).refuseUnread},
		{s.Began.Add(s.CutAt.Sub(s.Began) / 2), func(c *Controller, now time.Time) { c.report("halfway", now) }},
		{s.AnswerBy, (*Controller).refuseRest},
	}
	slices.SortStableFunc(all, func(a, b phase) int { return a.at.Compare(b.at) })
	return all
}

// nextPhase takes the next step, after the messages that came before it, and sets the timer for the one after it. Run calls it when
// the timer fires.
func (c *Controller) nextPhase(now time.Time) {
	for n := len(c.mailbox); n > 0; n-- {
		(<-c.mailbox).handle(c)
	}
	c.phases[0].take(c, now)
	c.phases = c.phases[1:]
	if len(c.phases) > 0 {
		c.timer.Reset(time.Until(c.phases[0].at))
	}
}

// refuseUnread ends each request whose body hasn't come whole, if it would be refused after that.
func (c *Controller) refuseUnread(now time.Time) {
	for t, r := range c.requests {
		if r.Stage == StageReading && c.stop.RefusesSend(now, r.Deadline) {
			t.Cancel(*c.stop)
		}
	}
}

// refuseRest ends each request of which nothing was answered.
func (c *Controller) refuseRest(time.Time) {
	c.refusing = true
	for t, r := range c.requests {
		if r.Stage != StageAnswering {
			t.Cancel(*c.stop)
		}
	}
}
