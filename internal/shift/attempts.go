package shift

import (
	"context"
	"time"

	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
)

// AttemptID identifies one attempt of a request.
type AttemptID struct {
	Request string
	Number  int
}

// Attempt is one send of a request to an endpoint.
type Attempt struct {
	ID       AttemptID
	Service  string
	Version  string
	Session  string
	Endpoint string
	// Kind names the kind of request; times to the first byte are compared within one kind only.
	Kind string
	// Model is the model asked, or "" for a plain service; paces are compared within one model only.
	Model string
	// Running is the number of runs at the endpoint, this one included, when it was chosen.
	Running int
}

// Progress is what is known of an attempt in flight.
type Progress struct {
	ID AttemptID
	// TTFB is the time to first byte.
	TTFB time.Duration
	// Pace is the typical time between two events of a stream; 0 is unknown.
	Pace time.Duration
}

// trial is an attempt in flight at the target of a running traffic shift. What is known of it counts as evidence at once,
// since a slow answer may take longer than the traffic shift.
type trial struct {
	Attempt
	run       rollout.Run
	startedAt time.Time
	// rated and paced say that its TTFB and its pace were counted.
	rated bool
	paced bool
}

type (
	startMessage    struct{ attempt Attempt }
	progressMessage struct{ progress Progress }
)

// AttemptStarted records that an attempt is sent to an endpoint.
func (c *Controller) AttemptStarted(_ context.Context, a Attempt) error {
	return task.Tell(c.mailbox, message(startMessage{a}))
}

// AttemptProgressed records the progress of an attempt whose Binding says Trial: its first byte, and its pace from time to
// time.
func (c *Controller) AttemptProgressed(_ context.Context, p Progress) error {
	return task.Tell(c.mailbox, message(progressMessage{p}))
}

// handle records the session's version and counts the attempt as in flight; one at the target of a running traffic shift
// is a trial. AttemptStarted sends the message.
func (m startMessage) handle(_ context.Context, c *Controller) {
	a := m.attempt
	if s, ok := c.services[a.Service]; ok && s.isTarget(a.Version) {
		c.trials[a.ID] = &trial{Attempt: a, run: s.run(), startedAt: time.Now()}
	}
	if a.Session == "" {
		return
	}
	key := sessionKey{a.Service, SessionHash(a.Session)}
	s, ok := c.sessions[key]
	if !ok {
		s = &session{}
		c.sessions[key] = s
	}
	s.version = a.Version
	s.inFlight++
}

// isTarget reports whether the version is the target of a running traffic shift.
func (s *service) isTarget(version string) bool {
	return s.record.State == StateRunning && s.record.Target == version
}

// handle counts what the progress tells. AttemptProgressed sends the message.
func (m progressMessage) handle(_ context.Context, c *Controller) {
	t, s := c.trial(m.progress.ID)
	if t == nil {
		return
	}
	var e rollout.Evidence
	if typical := s.typicalTTFB(&t.Attempt); !t.rated && typical.Known() {
		t.rated = true
		e = e.Plus(rating(typical.IsLate(m.progress.TTFB)))
	}
	if !t.paced && s.typicalPace(&t.Attempt).IsSlow(m.progress.Pace) {
		t.paced = true
		e = e.Plus(pacing(true))
	}
	c.addTrial(t, s, e)
}

// trial returns the attempt in flight and its service, or nil if it is no trial of the traffic shift that runs now.
func (c *Controller) trial(id AttemptID) (*trial, *service) {
	t, ok := c.trials[id]
	if !ok {
		return nil, nil
	}
	s := c.service(t.Service)
	if !s.isTarget(t.Version) || s.run() != t.run {
		return nil, nil
	}
	return t, s
}

// addTrial adds evidence of a trial and evaluates it.
func (c *Controller) addTrial(t *trial, s *service, e rollout.Evidence) {
	if e == (rollout.Evidence{}) {
		return
	}
	c.evidence.Add(t.run, e)
	if e.Failures+e.RatedBad+e.PacedSlow > 0 {
		s.badEndpoints |= endpointBit(t.Endpoint)
	}
	c.evaluate(t.Service, s)
}

// countOverdue counts the trials that have waited for their first byte until it can only be late, and forgets those of
// traffic shifts that ended. tick calls it.
func (c *Controller) countOverdue(now time.Time) {
	for id := range c.trials {
		t, s := c.trial(id)
		switch {
		case t == nil:
			delete(c.trials, id)
		case !t.rated && s.typicalTTFB(&t.Attempt).IsLate(now.Sub(t.startedAt)):
			t.rated = true
			c.addTrial(t, s, rating(true))
		}
	}
}

// typicalTTFB and usualPace return the old version's latencies for such an attempt.
func (s *service) typicalTTFB(a *Attempt) Baseline { return s.baselines.At(a.Kind, a.Running) }

func (s *service) typicalPace(a *Attempt) Baseline {
	return s.baselines.At(paceKind(a.Model), a.Running)
}

// paceKind names the pace of a model, whatever the kind of request.
func paceKind(model string) string { return "pace of " + model }

// rating and pacing return the evidence of one answer whose TTFB or pace is known.
func rating(late bool) rollout.Evidence {
	return rollout.Evidence{Rated: 1, RatedBad: count(late)}
}

func pacing(slow bool) rollout.Evidence {
	return rollout.Evidence{Paced: 1, PacedSlow: count(slow)}
}

func count(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
