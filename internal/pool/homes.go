package pool

import (
	"context"
	"time"

	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// inHomes reports whether the endpoint is in a region in which the run may be served. An endpoint whose zone has no known region is in
// no home. eligible calls it, so that it binds every path that sends.
func (r *Record) inHomes(q *Query) bool {
	return !q.Homes.Limited || (r.Region != "" && q.Homes.Has(r.Region))
}

// hasHome reports whether the directory lists an endpoint of the service in a region in which the run may be served, though it may be
// down or leaving. Choose calls it if no endpoint is left.
func (t *Table) hasHome(q *Query) bool {
	if !q.Homes.Limited {
		return true
	}
	for _, r := range t.services[q.Service] {
		if !r.withdrawn && r.inHomes(q) {
			return true
		}
	}
	return false
}

// Confirms reports whether the endpoint of a run that was placed a while ago may still get it: it may have begun to leave, its zone may
// have been evacuated, or the run's homes may be fewer now. The Controller calls it.
func (t *Table) Confirms(q *Query, id string, now time.Time) bool {
	r, ok := t.records[id]
	return ok && r.eligible(q) && !r.pauses(now)
}

type confirmMessage struct {
	query Query
	id    string
	reply task.Reply[bool]
}

func (m confirmMessage) handle(_ context.Context, c *Controller) {
	m.reply.Send(c.table.Confirms(&m.query, m.id, time.Now()))
}

// Confirm implements filter.Pool. The task of a send calls it if the send's placement has aged.
func (c *Controller) Confirm(ctx context.Context, q Query, id string) (bool, error) {
	ok, err := task.AskOrLeave(ctx, c.stopped, c.mailbox, func(reply task.Reply[bool]) message { return confirmMessage{q, id, reply} })
	if err != nil {
		return false, result.Errorf(result.QueueFull, "confirm the placement: endpoint controller: %v", err).WithRetryAfter(retryAfter)
	}
	return ok, nil
}
