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

// Outcome is evidence about a version.
type Outcome struct {
	Service  string
	Version  string
	Session  string
	Endpoint string
	// Kind names what kind of request it was; only like requests are compared.
	Kind   string
	Failed bool
	// TimedOut says that the answer was given up since nothing came of it for long.
	TimedOut bool
	// Partial says that the answer was dropped at its head.
	Partial bool
	// Conclusive says that the outcome tells something of the version.
	Conclusive bool
	TTFB       time.Duration
	// MeanGap is the mean time between two events.
	MeanGap time.Duration
}

func (m answerMessage) handle(_ context.Context, c *Controller) {
	a := m.answer
	now := time.Now()
	if a.Session != "" {
		if s, ok := c.sessions[sessionKey{a.Service, SessionHash(a.Session)}]; ok {
			s.running = max(s.running-1, 0)
			s.endedAt = now
		}
	}
	s := c.service(a.Service)
	if !a.Conclusive {
		return
	}
	pace, ok := s.paces[a.Kind]
	if !ok {
		pace = &Pace{}
		s.paces[a.Kind] = pace
	}
	slow := a.TimedOut || (!a.Failed && pace.Slow(a.TTFB, a.MeanGap))
	if s.record.State != StateRunning || a.Version != s.record.Target {
		s.stable = counted(s.stable, &a, slow)
		if !a.Failed && !a.TimedOut && a.TTFB > 0 {
			pace.Learn(a.TTFB, a.MeanGap)
		}
		return
	}
	c.tally.Add(s.run(), counted(rollout.Evidence{}, &a, slow))
	if a.Failed || slow {
		s.badAt |= endpointBit(a.Endpoint)
	}
	c.judge(a.Service, s)
}

// counted adds an answer; a slow one counts as poorly rated, so that it is compared with the old version's slow ones.
// One that was dropped at its head is rated only if it was slow until then.
func counted(n rollout.Evidence, a *Outcome, slow bool) rollout.Evidence {
	n.Answers++
	if a.Failed {
		n.Failures++
	}
	if slow || !a.Partial {
		n.Rated++
	}
	if slow {
		n.RatedBad++
	}
	return n
}

// run names the evidence about the shift: another order begins anew.
func (s *service) run() rollout.Run {
	return rollout.Run{Model: s.record.Service, Version: s.record.Target, StartedAt: int64(s.record.Order.Revision)}
}

func endpointBit(id string) uint64 { return 1 << (xxhash.Sum64String(id) % 64) }

// judge halts the version here as soon as the evidence of this VM and its peers says that it is bad.
func (c *Controller) judge(name string, s *service) {
	var reason string
	version := c.tally.Sum(s.run())
	s.detector.RatingHaltThreshold, s.detector.RatingFactor = slowScore, slowRise
	if Share(time.Since(s.begun), s.record.Duration) > probeShare {
		s.detector.RatingHaltThreshold = rampSlowScore
	}
	s.detector, reason = s.detector.Update(version, s.stable)
	if reason == "" || s.halted || bits.OnesCount64(s.badAt) < leastBadEndpoints {
		return
	}
	s.halted, s.reason = true, reason
	c.log.Info("version found bad", "service", name, "target", s.record.Target, "reason", reason,
		"answers", version.Answers, "failed", version.Failures, "slow", version.RatedBad, "endpoints", bits.OnesCount64(s.badAt))
	c.propose(name, s, StateRolledBack, reason)
}

type (
	collectMessage struct {
		reply chan<- []peer.VersionEvidence
	}
	heardMessage struct{ state peer.State }
)

// Collect implements peer.Section.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	list, err := task.Ask(ctx, c.mailbox, func(reply chan<- []peer.VersionEvidence) message { return collectMessage{reply} })
	s.Evidence = append(s.Evidence, list...)
	return err
}

// Receive implements peer.Section.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if len(s.Evidence) == 0 {
		return nil
	}
	return task.Tell(c.mailbox, message(heardMessage{s}))
}

func (m collectMessage) handle(_ context.Context, c *Controller) {
	var list []peer.VersionEvidence
	for _, s := range c.services {
		n := c.tally.Local()[s.run()]
		if s.record.State != StateRunning || n.Answers == 0 {
			continue
		}
		list = append(list, peer.VersionEvidence{
			Model: s.record.Service, Version: s.record.Target, StartedAt: s.run().StartedAt,
			Answers: n.Answers, Failures: n.Failures, Rated: n.Rated, RatedBad: n.RatedBad, BadEndpoints: s.badAt,
		})
	}
	m.reply <- list
}

func (m heardMessage) handle(_ context.Context, c *Controller) {
	for _, e := range m.state.Evidence {
		s, ok := c.services[e.Model]
		run := rollout.Run{Model: e.Model, Version: e.Version, StartedAt: e.StartedAt}
		if !ok || s.record.State != StateRunning || s.run() != run {
			continue
		}
		c.tally.Receive(m.state.VM, m.state.Incarnation, run, rollout.Evidence{
			Answers: e.Answers, Failures: e.Failures, Rated: e.Rated, RatedBad: e.RatedBad,
		})
		s.badAt |= e.BadEndpoints
		c.judge(e.Model, s)
	}
}
