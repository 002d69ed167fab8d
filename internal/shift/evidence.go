package shift

import (
	"context"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/peer"
	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
)

// Outcome is how one attempt at an endpoint ended.
type Outcome struct {
	Service  string
	Version  string
	Session  string
	Endpoint string
	// Kind names the kind of request; latencies are compared within one kind only.
	Kind string
	// Failed says that the endpoint answered with a failure.
	Failed bool
	// TimedOut says that the attempt was given up after a silence timeout.
	TimedOut bool
	// Partial says that the answer was dropped after its head, as on an escalation, so that MeanGap is unknown.
	Partial bool
	// Conclusive says that the outcome says something about the version.
	Conclusive bool
	// TTFB is the time to first byte.
	TTFB time.Duration
	// MeanGap is the mean time between two events of a stream; 0 is unknown.
	MeanGap time.Duration
}

// handle ends the attempt in its session and counts the outcome as evidence: about the new version while a traffic
// shift is running and the attempt went to it, else about the old version. An outcome that isn't conclusive counts for
// neither. AttemptEnded sends the message.
func (m outcomeMessage) handle(_ context.Context, c *Controller) {
	o := m.outcome
	now := time.Now()
	if o.Session != "" {
		if s, ok := c.sessions[sessionKey{o.Service, SessionHash(o.Session)}]; ok {
			s.inFlight = max(s.inFlight-1, 0)
			s.endedAt = now
		}
	}
	s := c.service(o.Service)
	if !o.Conclusive {
		return
	}
	baseline, ok := s.baselines[o.Kind]
	if !ok {
		baseline = &Baseline{}
		s.baselines[o.Kind] = baseline
	}
	slow := o.TimedOut || (!o.Failed && baseline.IsSlow(o.TTFB, o.MeanGap))
	if s.record.State != StateRunning || o.Version != s.record.Target {
		s.stable = addOutcome(s.stable, &o, slow)
		if !o.Failed && !o.TimedOut && o.TTFB > 0 {
			baseline.Add(o.TTFB, o.MeanGap)
		}
		return
	}
	c.tally.Add(s.run(), addOutcome(rollout.Evidence{}, &o, slow))
	if o.Failed || slow {
		s.badEndpoints |= endpointBit(o.Endpoint)
	}
	c.evaluate(o.Service, s)
}

// addOutcome returns n with the outcome added. A slow answer counts as badly rated, so that the detector compares
// the rates of slow answers. An answer dropped after its head counts as rated only if it was slow until then.
// It is called for each conclusive outcome.
func addOutcome(n rollout.Evidence, o *Outcome, slow bool) rollout.Evidence {
	n.Answers++
	if o.Failed {
		n.Failures++
	}
	if slow || !o.Partial {
		n.Rated++
	}
	if slow {
		n.RatedBad++
	}
	return n
}

// run returns the key of the evidence about the new version. Each order has its own, with its revision as StartedAt.
func (s *service) run() rollout.Run {
	return rollout.Run{Model: s.record.Service, Version: s.record.Target, StartedAt: int64(s.record.Order.Revision)}
}

// endpointBit returns the endpoint's bit in a set of bad endpoints. Two endpoints may share a bit.
func endpointBit(id string) uint64 { return 1 << (xxhash.Sum64String(id) % 64) }

// evaluate halts the new version on this VM and proposes the rollback once the evidence of all VMs says that it is bad.
// It is called for each outcome of the new version and each evidence of another VM. If a write of the record is under
// way, tick proposes the rollback later.
func (c *Controller) evaluate(name string, s *service) {
	var reason string
	version := c.tally.Sum(s.run())
	s.detector.RatingHaltThreshold, s.detector.RatingFactor = slowHaltThreshold, slowRateFactor
	if Share(time.Since(s.startedAt), s.record.Duration) > probeShare {
		s.detector.RatingHaltThreshold = rampSlowHaltThreshold
	}
	s.detector, reason = s.detector.Update(version, s.stable)
	if reason == "" || s.halted || bits.OnesCount64(s.badEndpoints) < minBadEndpoints {
		return
	}
	s.halted, s.reason = true, reason
	c.log.Info("version found bad", "service", name, "target", s.record.Target, "reason", reason,
		"answers", version.Answers, "failed", version.Failures, "slow", version.RatedBad, "endpoints", bits.OnesCount64(s.badEndpoints))
	c.propose(name, s, StateRolledBack, reason)
}

type (
	collectMessage struct {
		reply chan<- []peer.VersionEvidence
	}
	stateMessage struct{ state peer.State }
)

// Collect implements peer.Section. It adds this VM's evidence about new versions to the gossiped state.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	list, err := task.Ask(ctx, c.mailbox, func(reply chan<- []peer.VersionEvidence) message { return collectMessage{reply} })
	s.Evidence = append(s.Evidence, list...)
	return err
}

// Receive implements peer.Section. It takes the evidence of another VM.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if len(s.Evidence) == 0 {
		return nil
	}
	return task.Tell(c.mailbox, message(stateMessage{s}))
}

// handle replies with this VM's evidence about the versions of running traffic shifts. Collect sends the message.
func (m collectMessage) handle(_ context.Context, c *Controller) {
	var list []peer.VersionEvidence
	for _, s := range c.services {
		total := c.tally.Local()[s.run()]
		if s.record.State != StateRunning || total.Answers == 0 {
			continue
		}
		list = append(list, peer.VersionEvidence{
			Model: s.record.Service, Version: s.record.Target, StartedAt: s.run().StartedAt,
			Answers: total.Answers, Failures: total.Failures, Rated: total.Rated, RatedBad: total.RatedBad, BadEndpoints: s.badEndpoints,
		})
	}
	m.reply <- list
}

// handle merges the evidence of another VM about running traffic shifts and evaluates it. Receive sends the message.
func (m stateMessage) handle(_ context.Context, c *Controller) {
	for _, e := range m.state.Evidence {
		s, ok := c.services[e.Model]
		run := rollout.Run{Model: e.Model, Version: e.Version, StartedAt: e.StartedAt}
		if !ok || s.record.State != StateRunning || s.run() != run {
			continue
		}
		c.tally.Receive(m.state.VM, m.state.Incarnation, run, rollout.Evidence{
			Answers: e.Answers, Failures: e.Failures, Rated: e.Rated, RatedBad: e.RatedBad,
		})
		s.badEndpoints |= e.BadEndpoints
		c.evaluate(e.Model, s)
	}
}
