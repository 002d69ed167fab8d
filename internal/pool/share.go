package pool

import (
	"context"
	"time"

	"cornelmux/internal/peer"
	"cornelmux/internal/task"
)

const (
	// viewFor is how long what a peer told of an endpoint counts.
	viewFor = 700 * time.Millisecond
	// doubtFor is how long an endpoint gets no run after a peer couldn't reach it.
	doubtFor = 500 * time.Millisecond
	// leastShared is the share of failures from which an endpoint without runs is told of.
	leastShared = 0.02
)

// view is what a peer told of an endpoint.
type view struct {
	at       time.Time
	inFlight int
	work     float64
	failed   float64
}

// Reports lists the endpoints that this VM uses or doubts.
func (t *Table) Reports(now time.Time) []peer.EndpointReport {
	var out []peer.EndpointReport
	for _, r := range t.records {
		doubted := r.unreached && now.Before(r.pausedUntil)
		if r.InFlight == 0 && r.failures < leastShared && !doubted {
			continue
		}
		out = append(out, peer.EndpointReport{
			Endpoint: r.ID, Incarnation: uint64(r.Incarnation), Running: r.InFlight, EngineLoad: r.work, FailureRate: r.failures, Suspect: doubted,
		})
	}
	return out
}

// Hear takes in what a peer told of endpoints.
func (t *Table) Hear(vm string, reports []peer.EndpointReport, now time.Time) {
	for _, e := range reports {
		r, ok := t.records[e.Endpoint]
		if !ok || uint64(r.Incarnation) != e.Incarnation {
			continue
		}
		r.views[vm] = view{now, e.Running, e.EngineLoad, e.FailureRate}
		if e.Suspect && r.pauses == 0 {
			r.doubtedUntil = now.Add(doubtFor)
		}
	}
}

// peers sums what peers told lately: their runs, the weight of these, and the mean share of failures, this VM's among them.
func (r *Record) peers(now time.Time) (inFlight int, work, failed float64) {
	failed, n := r.failures, 1.0
	for vm, v := range r.views {
		if now.Sub(v.at) > viewFor {
			delete(r.views, vm)
			continue
		}
		inFlight += v.inFlight
		work += v.work
		failed += v.failed
		n++
	}
	return inFlight, work, failed / n
}

type (
	collectMessage struct{ reply chan<- []peer.EndpointReport }
	heardMessage   struct{ state peer.State }
)

// Collect implements peer.Section.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	reports, err := task.Ask(ctx, c.mailbox, func(reply chan<- []peer.EndpointReport) message { return collectMessage{reply} })
	s.Endpoints = append(s.Endpoints, reports...)
	return err
}

// Receive implements peer.Section. Loads of other zones count for nothing, since runs seldom leave their zone.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if s.Zone != c.opts.Location.Zone || len(s.Endpoints) == 0 {
		return nil
	}
	return task.Tell(c.mailbox, message(heardMessage{s}))
}

func (m collectMessage) handle(_ context.Context, c *Controller) {
	m.reply <- c.table.Reports(time.Now())
}

func (m heardMessage) handle(_ context.Context, c *Controller) {
	c.table.Hear(m.state.VM, m.state.Endpoints, time.Now())
}

var _ peer.Section = (*Controller)(nil)

// loadOf is the share of an endpoint's slots that are taken.
func loadOf(inFlight, slots int) float64 { return float64(inFlight) / float64(max(slots, 1)) }
