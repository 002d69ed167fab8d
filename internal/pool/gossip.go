package pool

import (
	"context"
	"time"

	"cornelmux/internal/peer"
	"cornelmux/internal/task"
)

const (
	// peerViewTTL is how long a report of a peer counts.
	peerViewTTL = 700 * time.Millisecond
	// suspicionTTL is how long an endpoint gets no run after a peer could not reach it.
	suspicionTTL = 500 * time.Millisecond
	// minReportedFailureRate is the failure rate, 0 to 1, from which an endpoint without runs is reported.
	minReportedFailureRate = 0.02
	// minReportedSlowness is the slowness from which an endpoint without runs is reported.
	minReportedSlowness = 1.5
)

// peerView is what a peer reported of its own runs at an endpoint.
type peerView struct {
	receivedAt time.Time
	// inFlight is the number of its runs, engineLoad the sum of their weights, failureRate the share that failed, 0 to
	// 1.
	inFlight    int
	engineLoad  float64
	failureRate float64
	// slowness is how many times longer than expected its runs take there; 0 if it knows too little.
	slowness float64
	// waitingWork is the time that the engine needs for the prompts of its runs that wait.
	waitingWork time.Duration
}

// PeerReports returns the reports to send to peers: the endpoints that this VM uses, suspects or saw failing, and those that said
// that they are leaving. The Controller calls it for each gossiped state.
func (t *Table) PeerReports(now time.Time) []peer.EndpointReport {
	var out []peer.EndpointReport
	for _, r := range t.records {
		suspected := r.unreachable && now.Before(r.backoffUntil)
		leaving := r.reportsLeaving(now)
		slowness := 0.0
		if r.slowness.Known(now) {
			slowness = r.slowness.Ratio(now)
		}
		if r.InFlight == 0 && r.failureRate < minReportedFailureRate && slowness < minReportedSlowness && !suspected && !leaving {
			continue
		}
		out = append(out, peer.EndpointReport{
			Endpoint: r.ID, Incarnation: uint64(r.Incarnation), Running: r.InFlight, EngineLoad: r.engineLoad, FailureRate: r.failureRate, Suspect: suspected,
			Leaving: leaving, Slowness: slowness, WaitingWork: r.waitingWork,
		})
	}
	return out
}

// ApplyPeerReports applies the reports of a peer. A suspicion is ignored while this VM backs off from the endpoint by
// itself. The Controller calls it for each state of a peer.
func (t *Table) ApplyPeerReports(vm string, reports []peer.EndpointReport, now time.Time) {
	for _, e := range reports {
		r, ok := t.records[e.Endpoint]
		if !ok || uint64(r.Incarnation) != e.Incarnation {
			continue
		}
		r.peerViews[vm] = peerView{now, e.Running, e.EngineLoad, e.FailureRate, e.Slowness, e.WaitingWork}
		r.peerSums = peerSums{}
		if e.Suspect && r.backoffs == 0 {
			r.suspectedUntil = now.Add(suspicionTTL)
		}
	}
}

// HearSlowness applies what a VM of another zone says of slow endpoints there; it counts as much as a run that this VM saw. The Controller
// calls it for each state of such a VM.
func (t *Table) HearSlowness(zone string, reports []peer.EndpointReport, now time.Time) {
	for _, e := range reports {
		r, ok := t.records[e.Endpoint]
		if ok && e.Slowness > 0 && r.Zone == zone && uint64(r.Incarnation) == e.Incarnation {
			r.slowness.Learn(time.Duration(e.Slowness*float64(time.Second)), time.Second, now)
		}
	}
}

// peerSums is the sum of the recent reports of an endpoint's peers at a time. It's zero after a further report.
type peerSums struct {
	at          time.Time
	peers       int
	inFlight    int
	engineLoad  float64
	failureRate float64
}

// peerTotals sums the recent reports of the peers: their runs and the load of these on the engine. The failure rate is
// the mean over the peers and this VM. One placement asks several times, at the same moment. Table.Choose, Score and hasRoom call it.
func (r *Record) peerTotals(now time.Time) (inFlight int, engineLoad, failureRate float64) {
	if !r.peerSums.at.Equal(now) {
		r.sumPeers(now)
	}
	s := &r.peerSums
	return s.inFlight, s.engineLoad, (r.failureRate + s.failureRate) / float64(s.peers+1)
}

// sumPeers sums the recent reports of the peers, and drops those that are too old. peerTotals calls it.
func (r *Record) sumPeers(now time.Time) {
	s := peerSums{at: now}
	for vm, v := range r.peerViews {
		if now.Sub(v.receivedAt) > peerViewTTL {
			delete(r.peerViews, vm)
			continue
		}
		s.peers++
		s.inFlight += v.inFlight
		s.engineLoad += v.engineLoad
		s.failureRate += v.failureRate
	}
	r.peerSums = s
}

// loads are the lists of a state that the Controller contributes.
type loads struct {
	endpoints []peer.EndpointReport
	zones     []peer.ZoneLoad
}

type (
	collectMessage struct {
		reply task.Reply[loads]
	}
	receiveMessage struct{ state peer.State }
)

// Size implements task.Sized.
func (m receiveMessage) Size() int { return len(m.state.Endpoints) }

// Collect implements peer.Section.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	l, err := task.AskOrLeave(ctx, c.stopped, c.mailbox, func(reply task.Reply[loads]) message { return collectMessage{reply} })
	s.Endpoints, s.ZoneLoads = append(s.Endpoints, l.endpoints...), append(s.ZoneLoads, l.zones...)
	return err
}

// Receive implements peer.Section. Of VMs of other availability zones only the mean loads there count and the endpoints that are leaving.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if len(s.Endpoints)+len(s.ZoneLoads) == 0 {
		return nil
	}
	return task.Tell(c.mailbox, message(receiveMessage{s}))
}

func (m collectMessage) handle(_ context.Context, c *Controller) {
	if m.reply.Wanted() {
		now := time.Now()
		m.reply.Send(loads{c.table.PeerReports(now), c.table.ZoneLoads(now)})
	}
}

func (m receiveMessage) handle(_ context.Context, c *Controller) {
	for _, e := range m.state.Endpoints {
		if e.Leaving {
			c.markLeaving(e.Endpoint, int64(e.Incarnation), m.state.VM)
		}
	}
	if m.state.Zone == c.opts.Location.Zone {
		c.table.ApplyPeerReports(m.state.VM, m.state.Endpoints, time.Now())
		return
	}
	c.table.HearSlowness(m.state.Zone, m.state.Endpoints, time.Now())
	for _, l := range m.state.ZoneLoads {
		c.table.zoneLoads.hear(m.state.Zone, l, time.Now())
	}
}

var _ peer.Section = (*Controller)(nil)

// slotUtilization returns the runs in flight divided by the slots of the endpoint; it can exceed 1.
func slotUtilization(inFlight, slots int) float64 { return float64(inFlight) / float64(max(slots, 1)) }
