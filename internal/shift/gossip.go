package shift

import (
	"context"

	"cornelmux/internal/peer"
	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
)

type (
	collectMessage struct {
		reply task.Reply[gossip]
	}
	stateMessage struct{ state peer.State }
)

// Size implements task.Sized.
func (m stateMessage) Size() int { return len(m.state.Evidence) + len(m.state.Latencies) }

// gossip is what a VM tells its peers while a traffic shift runs.
type gossip struct {
	evidence  []peer.VersionEvidence
	latencies []peer.LatencyBaseline
}

// Collect implements peer.Section. It adds this VM's evidence about running traffic shifts, and the old version's latencies,
// to the gossiped state.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	g, err := task.AskOrLeave(ctx, nil, c.mailbox, func(reply task.Reply[gossip]) message { return collectMessage{reply} })
	s.Evidence = append(s.Evidence, g.evidence...)
	s.Latencies = append(s.Latencies, g.latencies...)
	return err
}

// Receive implements peer.Section. It takes the evidence and the latencies of another VM.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if len(s.Evidence) == 0 && len(s.Latencies) == 0 {
		return nil
	}
	return task.Tell(c.mailbox, message(stateMessage{s}))
}

// handle replies with what this VM knows about running traffic shifts. Collect sends the message.
func (m collectMessage) handle(_ context.Context, c *Controller) {
	if !m.reply.Wanted() {
		return
	}
	var g gossip
	for name, s := range c.services {
		if s.record.State != StateRunning {
			continue
		}
		for _, run := range []rollout.Run{s.run(), s.oldRun()} {
			if e := c.evidence.Local()[run]; e != (rollout.Evidence{}) {
				g.evidence = append(g.evidence, s.toPeer(run, e))
			}
		}
		g.latencies = append(g.latencies, s.baselines.Report(name)...)
	}
	m.reply.Send(g)
}

// toPeer returns the evidence as peers receive it.
func (s *service) toPeer(run rollout.Run, e rollout.Evidence) peer.VersionEvidence {
	out := peer.VersionEvidence{
		Model: run.Model, Version: run.Version, StartedAt: run.StartedAt, Answers: e.Answers, Failures: e.Failures,
		Rated: e.Rated, RatedBad: e.RatedBad, Paced: e.Paced, PacedSlow: e.PacedSlow,
	}
	if run.Version != "" {
		out.BadEndpoints = s.badEndpoints
	}
	return out
}

// handle merges what another VM knows about running traffic shifts and evaluates it. Receive sends the message.
func (m stateMessage) handle(_ context.Context, c *Controller) {
	for _, l := range m.state.Latencies {
		if s, ok := c.services[l.Service]; ok && s.record.State == StateRunning {
			s.baselines.Receive(m.state.VM, l)
		}
	}
	for _, e := range m.state.Evidence {
		s, ok := c.services[e.Model]
		run := rollout.Run{Model: e.Model, Version: e.Version, StartedAt: e.StartedAt}
		if !ok || s.record.State != StateRunning || (run != s.run() && run != s.oldRun()) {
			continue
		}
		c.evidence.Receive(m.state.VM, m.state.Incarnation, run, rollout.Evidence{
			Answers: e.Answers, Failures: e.Failures, Rated: e.Rated, RatedBad: e.RatedBad, Paced: e.Paced, PacedSlow: e.PacedSlow,
		})
		s.badEndpoints |= e.BadEndpoints
		c.evaluate(e.Model, s)
	}
}
