package shift

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
)

// goodEvidence returns evidence of n good answers.
func goodEvidence(n uint64) rollout.Evidence {
	return rollout.Evidence{Answers: n, Rated: n, Paced: n}
}

func TestDecide(t *testing.T) {
	duration := 20 * time.Second
	at := func(fraction float64) time.Duration { return time.Duration(fraction * float64(duration)) }
	good := goodEvidence(100)
	slow := rollout.Evidence{Answers: 100, Rated: 100, Paced: 60, PacedSlow: 30}
	tests := []struct {
		name string
		s    Standing
		want Decision
	}{
		{"good, but too early", Standing{Elapsed: at(0.8), Share: 1, Total: good, Recent: good, Rate: 20}, DecisionContinue},
		{"good at the full share", Standing{Elapsed: at(0.9), Share: 1, Total: good, Recent: good, Rate: 20}, DecisionComplete},
		{"good at a smaller share", Standing{Elapsed: at(0.9), Share: 0.3, Total: good, Recent: good, Rate: 20}, DecisionContinue},
		{"good, old version in flight", Standing{Elapsed: at(0.9), Share: 1, Total: good, Recent: good, Rate: 20, OldInFlight: true}, DecisionContinue},
		{"good, old version in flight late", Standing{Elapsed: at(0.94), Share: 1, Total: good, Recent: good, Rate: 20, OldInFlight: true}, DecisionComplete},
		{"no answer of the new version", Standing{Elapsed: at(0.9), Share: 1, Rate: 20}, DecisionContinue},
		{"no answer of the new version by the deadline", Standing{Elapsed: at(0.96), Share: 1, Rate: 20}, DecisionRollBack},
		{"good before the full share only", Standing{Elapsed: at(0.96), Share: 1, Total: good, Rate: 20}, DecisionRollBack},
		{"slow streams", Standing{Elapsed: at(0.9), Share: 1, Total: slow, Recent: slow, Rate: 20}, DecisionContinue},
		{"slow streams by the deadline", Standing{Elapsed: at(0.96), Share: 1, Total: slow, Recent: slow, Rate: 20}, DecisionRollBack},
		{"suspected by the deadline", Standing{Elapsed: at(0.96), Share: 1, Total: good, Recent: good, Rate: 20, Suspicion: 0.6}, DecisionRollBack},
		{"few requests, all good", Standing{Elapsed: at(0.9), Share: 1, Total: goodEvidence(2), Rate: 0.5}, DecisionComplete},
		{"few requests, too few of them", Standing{Elapsed: at(0.96), Share: 1, Total: goodEvidence(1), Rate: 0.5}, DecisionRollBack},
	}
	for _, test := range tests {
		test.s.Duration = duration
		qt.Check(t, Decide(test.s), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// TestAllowed checks that the share never falls, exceeds neither the schedule nor what it was before, and that it needs proof
// to exceed probeShare.
func TestAllowed(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		c := qt.New(tt)
		s := Standing{Duration: 20 * time.Second, Rate: rapid.Float64Range(0, 100).Draw(t, "rate")}
		s.Elapsed = time.Duration(rapid.Int64Range(0, int64(s.Duration)).Draw(t, "elapsed"))
		s.Share = rapid.Float64Range(0, 1).Draw(t, "share")
		s.Suspicion = rapid.Float64Range(0, 1).Draw(t, "suspicion")
		s.Total = goodEvidence(rapid.Uint64Range(0, 100).Draw(t, "answers"))
		s.Recent = s.Total
		allowed := s.Allowed()
		c.Assert(allowed >= s.Share, qt.IsTrue)
		c.Assert(allowed <= max(s.Share, Share(s.Elapsed, s.Duration)), qt.IsTrue)
		if s.Suspicion >= holdSuspicion || (s.isBusy() && judged(s.Total) < minProof) {
			c.Assert(allowed <= max(s.Share, probeShare), qt.IsTrue)
		}
	})
}

// answerModel says how a version answers, given the share of sessions that it gets.
type answerModel func(share float64, i int) answerTimes

// answerTimes is one answer: the time to its first byte, the time between its events, and whether it fails.
type answerTimes struct {
	ttfb, pace time.Duration
	failed     bool
}

// eventsInAnswer is the number of events in an answer of simulatedService.
const eventsInAnswer = 20

// simulatedService sends requests through a Controller to two versions.
type simulatedService struct {
	c          *Controller
	oldVersion answerModel
	newVersion answerModel
	sent       int
}

// send sends one request and reports its attempt as it goes on.
func (s *simulatedService) send(ctx context.Context) error {
	s.sent++
	session := fmt.Sprint("session ", s.sent)
	b, err := s.c.Bind(ctx, "s", session)
	if err != nil {
		return err
	}
	version, model := "v1", s.oldVersion
	if b.Version == "v2" || len(b.ExcludedVersions) == 1 && b.ExcludedVersions[0] == "v1" {
		version, model = "v2", s.newVersion
	}
	a := Attempt{ID: AttemptID{Request: session}, Service: "s", Version: version, Session: session, Endpoint: fmt.Sprint(version, s.sent%4), Kind: "k", Running: 1}
	if err := s.c.AttemptStarted(ctx, a); err != nil {
		return err
	}
	times := model(Share(time.Since(s.c.services["s"].startedAt), 20*time.Second), s.sent)
	time.AfterFunc(times.ttfb, func() {
		if b.Trial && !times.failed {
			_ = s.c.AttemptProgressed(ctx, Progress{ID: a.ID, TTFB: times.ttfb})
		}
	})
	time.AfterFunc(times.ttfb+eventsInAnswer*times.pace, func() {
		_ = s.c.AttemptEnded(ctx, Outcome{Attempt: a, Conclusive: true, Failed: times.failed, TTFB: times.ttfb, Duration: times.ttfb, Pace: times.pace})
	})
	return nil
}

// TestVersionIsProvedOrRolledBack plays traffic shifts of good and bad versions. It guards against the completion of a version
// of which nothing bad was known only because its answers took longer than the traffic shift.
func TestVersionIsProvedOrRolledBack(t *testing.T) {
	const ms = time.Millisecond
	always := func(a answerTimes) answerModel { return func(float64, int) answerTimes { return a } }
	usual := always(answerTimes{ttfb: 100 * ms, pace: 16 * ms})
	every := func(n int, bad answerTimes) answerModel {
		return func(share float64, i int) answerTimes {
			if i%n == 0 {
				return bad
			}
			return usual(share, i)
		}
	}
	slow := answerTimes{ttfb: 200 * ms, pace: 90 * ms}
	tests := []struct {
		name string
		// pause is the time between two requests.
		pause      time.Duration
		newVersion answerModel
		want       State
	}{
		{"good", 50 * ms, usual, StateCompleted},
		{"good, a request in two seconds", 2 * time.Second, usual, StateCompleted},
		{"no requests", time.Hour, usual, StateRolledBack},
		{"never answers", 50 * ms, always(answerTimes{ttfb: time.Hour}), StateRolledBack},
		{"every second answer fails", 50 * ms, every(2, answerTimes{ttfb: 100 * ms, failed: true}), StateRolledBack},
		{"every second answer is slow", 50 * ms, every(2, slow), StateRolledBack},
		{"slow with few requests", 500 * ms, always(slow), StateRolledBack},
		{"silent once all sessions move", 50 * ms, func(share float64, i int) answerTimes {
			if share > probeShare {
				return answerTimes{ttfb: time.Minute}
			}
			return usual(share, i)
		}, StateRolledBack},
		{"late once all sessions move", 50 * ms, func(share float64, i int) answerTimes {
			if share > probeShare && i%2 == 0 {
				return answerTimes{ttfb: 4 * time.Second, pace: 40 * ms}
			}
			return usual(share, i)
		}, StateRolledBack},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := &fakeStore{records: make(chan Record, 64), pins: make(chan []uint64, 64)}
				c := New(store, fakeVersions{"v1": 4, "v2": 4}, Options{VM: "vm", SessionIdle: 5 * time.Second}, logr.Discard())
				ends := make(chan task.End, 1)
				task.Start(ctx, "shift", ends, c.Run)
				s := &simulatedService{c: c, oldVersion: usual, newVersion: test.newVersion}
				for range 100 { // the old version's latency, from before the order
					qt.Assert(t, c.AttemptEnded(ctx, Outcome{Attempt: Attempt{Service: "s", Version: "v1", Kind: "k", Running: 1}, Conclusive: true, TTFB: 100 * ms, Pace: 16 * ms}), qt.IsNil)
				}
				qt.Assert(t, c.ApplyOrder(ctx, Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Revision: 9}), qt.IsNil)
				synctest.Wait()
				qt.Check(t, play(ctx, t, s, store, test.pause), qt.Equals, test.want)
				cancel()
				<-ends
			})
		})
	}
}

// play sends requests until a record ends the traffic shift or its duration has passed, and returns the last state written.
func play(ctx context.Context, t *testing.T, s *simulatedService, store *fakeStore, pause time.Duration) State {
	end := time.After(20 * time.Second)
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	revision := uint64(9)
	for {
		select {
		case r := <-store.records:
			if r.State != StateRunning {
				return r.State
			}
			revision++
			qt.Assert(t, s.c.ApplyRecord(ctx, r, revision), qt.IsNil)
		case <-ticker.C:
			qt.Assert(t, s.send(ctx), qt.IsNil)
		case <-end:
			return StateRunning
		}
	}
}
