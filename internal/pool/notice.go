package pool

import (
	"context"
	"time"

	"cornelmux/internal/endpoint"
)

// Notice is what an endpoint said of itself with an answer to a run.
type Notice struct {
	// Endpoint is the ID of the endpoint, Incarnation that of its Entry when the run was placed.
	Endpoint    string
	Incarnation int64
	endpoint.Notice
}

// reportLeavingTime is how long peers are told that an endpoint said that it is leaving. Each that learns it tells it as long.
const reportLeavingTime = 3 * time.Second

// MarkLeaving records that an incarnation of an endpoint said, here or to a peer, that it is leaving. An incarnation that isn't listed
// yet is remembered. It reports whether that is news of one that is. The Controller calls it for each notice and each report of a
// peer that says so.
func (t *Table) MarkLeaving(id string, incarnation int64, now time.Time) bool {
	r, ok := t.records[id]
	if !ok || r.Incarnation < incarnation {
		t.unlisted.addLeaving(id, incarnation, now)
		return false
	}
	if r.Incarnation != incarnation || !r.saidLeavingAt.IsZero() {
		return false
	}
	r.Leaving, r.saidLeavingAt = true, now
	return true
}

// reportsLeaving reports whether peers are to be told that the endpoint said that it is leaving.
func (r *Record) reportsLeaving(now time.Time) bool {
	return !r.saidLeavingAt.IsZero() && now.Sub(r.saidLeavingAt) < reportLeavingTime
}

const (
	// maxPause bounds how long an endpoint gets no runs because it asked for that.
	maxPause = time.Minute
	// pauseLogInterval is the shortest time between two lines about the pauses of an endpoint.
	pauseLogInterval = 10 * time.Second
)

// Pause leaves an incarnation of an endpoint out for a time, at most maxPause. A pause that it asked for before isn't shortened. It
// reports whether that is to be logged. The Controller calls it for each notice with a pause.
func (t *Table) Pause(id string, incarnation int64, pause time.Duration, now time.Time) bool {
	r, ok := t.records[id]
	if !ok || r.Incarnation != incarnation {
		return false
	}
	if until := now.Add(min(pause, maxPause)); until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
	if !r.pauseLoggedAt.IsZero() && now.Sub(r.pauseLoggedAt) < pauseLogInterval {
		return false
	}
	r.pauseLoggedAt = now
	return true
}

// pauses reports whether the endpoint asked for no runs until a time after now.
func (r *Record) pauses(now time.Time) bool { return now.Before(r.pausedUntil) }

// pauseLeft returns the shortest time until one of the service's endpoints that may run q, tried before or not, wants runs again; 0 if
// there is none or one wants them now. Choose calls it if no endpoint is left.
func (t *Table) pauseLeft(q *Query, now time.Time) time.Duration {
	all, least := *q, time.Duration(0)
	all.Exclude = nil
	for _, r := range t.services[q.Service] {
		if !r.eligible(&all) {
			continue
		}
		left := r.pausedUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

type noticeMessage struct{ notice Notice }

// Note implements filter.Pool: it records what an endpoint said of itself. The task of a send calls it before anything of the answer
// is passed on, also after ctx has ended.
func (c *Controller) Note(ctx context.Context, n Notice) error {
	return c.tellWithTimeout(ctx, noticeMessage{n})
}

func (m noticeMessage) handle(_ context.Context, c *Controller) {
	if m.notice.Leaving {
		c.markLeaving(m.notice.Endpoint, m.notice.Incarnation, "answer")
	}
	if m.notice.Pause > 0 && c.table.Pause(m.notice.Endpoint, m.notice.Incarnation, m.notice.Pause, time.Now()) {
		c.log.Info("endpoint wants no runs for a while", "endpoint", m.notice.Endpoint, "seconds", m.notice.Pause.Seconds())
	}
}

// markLeaving marks the incarnation of an endpoint as leaving, and logs that once; from names who said so.
func (c *Controller) markLeaving(id string, incarnation int64, from string) {
	if c.table.MarkLeaving(id, incarnation, time.Now()) {
		c.log.Info("endpoint says that it leaves", "endpoint", id, "incarnation", incarnation, "from", from)
	}
}
