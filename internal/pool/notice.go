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

// MarkLeaving records that an incarnation of an endpoint said, here or to a peer, that it is leaving. It reports whether that is
// news. The Controller calls it for each notice and each report of a peer that says so.
func (t *Table) MarkLeaving(id string, incarnation int64, now time.Time) bool {
	r, ok := t.records[id]
	if !ok || r.Incarnation != incarnation || !r.saidLeavingAt.IsZero() {
		return false
	}
	r.Leaving, r.saidLeavingAt = true, now
	return true
}

// reportsLeaving reports whether peers are to be told that the endpoint said that it is leaving.
func (r *Record) reportsLeaving(now time.Time) bool {
	return !r.saidLeavingAt.IsZero() && now.Sub(r.saidLeavingAt) < reportLeavingTime
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
}

// markLeaving marks the incarnation of an endpoint as leaving, and logs that once; from names who said so.
func (c *Controller) markLeaving(id string, incarnation int64, from string) {
	if c.table.MarkLeaving(id, incarnation, time.Now()) {
		c.log.Info("endpoint says that it leaves", "endpoint", id, "incarnation", incarnation, "from", from)
	}
}
