package shift

import (
	"context"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
)

// Outcome is how one attempt ended.
type Outcome struct {
	Attempt
	// Failed says that the endpoint answered with a failure.
	Failed bool
	// TimedOut says that the attempt was given up after a silence timeout.
	TimedOut bool
	// Conclusive says that the endpoint answered or failed to.
	Conclusive bool
	// TTFB is the time to first byte; 0 if none came. Duration is the time until the end.
	TTFB     time.Duration
	Duration time.Duration
	// Pace is the typical time between two events of a stream; 0 is unknown, as for an answer dropped after its head.
	Pace time.Duration
}

// evidence returns what the outcome says of its version, compared with the old version's latencies. An attempt that ended
// before its first byte, by a timeout, the caller or the deadline, was late if it had waited long enough for that. Without a
// baseline, only a timeout says something about the latency.
func (o *Outcome) evidence(ttfb, pace Baseline) rollout.Evidence {
	var e rollout.Evidence
	if o.Conclusive {
		e.Answers, e.Failures = 1, count(o.Failed)
	}
	began := o.TTFB > 0
	switch {
	case o.Failed:
	case !began && (o.TimedOut || ttfb.IsLate(o.Duration)):
		e = e.Plus(rating(true))
	case began && ttfb.Known():
		e = e.Plus(rating(ttfb.IsLate(o.TTFB)))
	}
	switch {
	case o.TimedOut && began:
		e = e.Plus(pacing(true))
	case o.Pace > 0 && pace.Known():
		e = e.Plus(pacing(pace.IsSlow(o.Pace)))
	}
	return e
}

type outcomeMessage struct{ outcome Outcome }

// AttemptEnded records the outcome of an attempt reported to AttemptStarted.
func (c *Controller) AttemptEnded(_ context.Context, o Outcome) error {
	return task.Tell(c.mailbox, message(outcomeMessage{o}))
}

// handle ends the attempt in its session and counts the outcome as evidence: about the new version while a traffic
// shift is running and the attempt went to it, else about the old version. AttemptEnded sends the message.
func (m outcomeMessage) handle(_ context.Context, c *Controller) {
	o := m.outcome
	if known, ok := c.sessions[sessionKey{o.Service, SessionHash(o.Session)}]; ok && o.Session != "" {
		known.inFlight = max(known.inFlight-1, 0)
		known.endedAt = time.Now()
	}
	s := c.service(o.Service)
	e := o.evidence(s.typicalTTFB(&o.Attempt), s.typicalPace(&o.Attempt))
	if s.isTarget(o.Version) {
		t, ok := c.trials[o.ID]
		if !ok || t.run != s.run() {
			t = &trial{Attempt: o.Attempt, run: s.run()}
		}
		delete(c.trials, o.ID)
		c.addTrial(t, s, t.uncounted(e))
		return
	}
	s.stable = s.stable.Plus(e)
	if s.record.State == StateRunning {
		c.evidence.Add(s.oldRun(), e)
	}
	if o.Conclusive && !o.Failed && !o.TimedOut && o.TTFB > 0 {
		s.baselines.Add(o.Kind, o.Running, o.TTFB)
		if o.Pace > 0 {
			s.baselines.Add(paceKind(o.Model), o.Running, o.Pace)
		}
	}
}

// uncounted returns the part of the outcome's evidence that was not counted while the attempt was in flight.
func (t *trial) uncounted(e rollout.Evidence) rollout.Evidence {
	if t.rated {
		e.Rated, e.RatedBad = 0, 0
	}
	if t.paced {
		e.Paced, e.PacedSlow = 0, 0
	}
	return e
}

// run returns the key of the evidence about the new version, oldRun that about the old versions since the order. Each
// order has its own, with its revision as StartedAt.
func (s *service) run() rollout.Run {
	return rollout.Run{Model: s.record.Service, Version: s.record.Target, StartedAt: int64(s.record.Order.Revision)}
}

func (s *service) oldRun() rollout.Run {
	r := s.run()
	r.Version = ""
	return r
}

// endpointBit returns the endpoint's bit in a set of bad endpoints. Two endpoints may share a bit.
func endpointBit(id string) uint64 { return 1 << (xxhash.Sum64String(id) % 64) }

// evaluate halts the new version on this VM and proposes the rollback once the evidence of all VMs says that it is bad.
// It is called for each outcome of the new version and each evidence of another VM. If a write of the record is under
// way, tick proposes the rollback later.
func (c *Controller) evaluate(name string, s *service) {
	var reason string
	version, stable := c.evidence.Sum(s.run()), s.before.Plus(c.evidence.Sum(s.oldRun()))
	s.detector.RatingHaltThreshold, s.detector.RatingFactor, s.detector.PaceHaltThreshold = slowHaltThreshold, slowRateFactor, paceHaltThreshold
	if Share(time.Since(s.startedAt), s.record.Duration) > probeShare {
		s.detector.RatingHaltThreshold, s.detector.PaceHaltThreshold = rampSlowHaltThreshold, rampPaceHaltThreshold
	}
	s.detector, reason = s.detector.Update(version, stable)
	if reason == "" || s.halted || bits.OnesCount64(s.badEndpoints) < minBadEndpoints {
		return
	}
	s.halted, s.reason = true, reason
	c.log.Info("version found bad", "service", name, "target", s.record.Target, "reason", reason, "share", s.share,
		"answers", version.Answers, "failed", version.Failures, "rated", version.Rated, "late", version.RatedBad,
		"paced", version.Paced, "slow", version.PacedSlow, "endpoints", bits.OnesCount64(s.badEndpoints))
	c.propose(name, s, StateRolledBack, reason)
}

// standing returns what is known of the target, for Decide and Allowed. tick calls it.
func (c *Controller) standing(name string, s *service, now time.Time) Standing {
	elapsed, total := now.Sub(s.startedAt), c.evidence.Sum(s.run())
	all := total.Plus(c.evidence.Sum(s.oldRun()))
	return Standing{
		Elapsed: elapsed, Duration: s.record.Duration, Share: s.share, Total: total, Recent: total.Since(s.history.oldest(total)),
		Rate: judged(all) / max(elapsed.Seconds(), 1), GoodRates: s.detector.GoodRates(), Suspicion: s.detector.Suspicion(),
		OldInFlight: c.oldInFlight(name, s),
	}
}

// history holds the evidence of the last proofWindow, one total a tick, the newest last.
type history []rollout.Evidence

// add adds the total of a tick and drops those that are older than proofWindow.
func (h history) add(e rollout.Evidence) history {
	const size = int(proofWindow / tickInterval)
	h = append(h, e)
	return h[max(len(h)-size, 0):]
}

// oldest returns the oldest total, or the present one if there is none.
func (h history) oldest(present rollout.Evidence) rollout.Evidence {
	if len(h) == 0 {
		return present
	}
	return h[0]
}
