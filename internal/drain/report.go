package drain

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxReported bounds the requests in flight that a report of a shutdown lists.
const maxReported = 64

// report logs each request in flight during a shutdown, the oldest first; beyond maxReported only their number. at says at which
// point of the shutdown.
func (c *Controller) report(at string, now time.Time) {
	if c.stop == nil {
		return
	}
	rest := slices.SortedFunc(maps.Values(c.requests), func(a, b *Request) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	for i, r := range rest {
		if i == maxReported {
			c.log.Info("more requests in flight at the stop", "at", at, "requests", len(rest)-i)
			return
		}
		c.log.Info("request in flight at the stop", r.values(at, c.stop.Began, now)...)
	}
}

// values returns the keys and values of the request's line. report calls it.
func (r *Request) values(at string, began, now time.Time) []any {
	values := []any{
		"at", at, "request", r.ID, "route", r.Route, "stage", r.Stage.String(), "sends", r.Sends,
		"age_ms", now.Sub(r.Arrived).Milliseconds(), "arrived_ms", r.Arrived.Sub(began).Milliseconds(),
	}
	if r.Deadline.IsZero() {
		return values
	}
	return append(values, "left_ms", r.Deadline.Sub(now).Milliseconds())
}
