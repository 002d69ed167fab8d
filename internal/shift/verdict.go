package shift

import (
	"time"

	"cornelmux/internal/rollout"
)

const (
	// proofWindow is the age up to which evidence proves a version at its present share.
	proofWindow = 2 * time.Second
	// proofShare is the share, 0 to 1, of the service's answers in a proofWindow that the new version has to give to be
	// proved, but never fewer than minProof answers.
	proofShare = 0.5
	minProof   = 2
	// No more answers than these are needed, so that a busy service isn't held up: maxProof to complete the traffic shift,
	// lateProof after completionDeadline, and rampProof for the share to rise beyond probeShare.
	maxProof  = 20
	lateProof = 10
	rampProof = 8
	// proofDeadline is the fraction of the duration at which a version that isn't proved is rolled back, so that the
	// record is stored within the duration.
	proofDeadline = 0.95
	// proofMargin is how far the rates of bad answers of a proved version may lie above those that a good version may
	// have; the sequential tests find smaller differences.
	proofMargin = 0.15
	// holdSuspicion is the suspicion, 0 to 1, from which on the share doesn't grow.
	holdSuspicion = 0.5
)

// Standing is what is known of the target of a running traffic shift.
type Standing struct {
	Elapsed  time.Duration
	Duration time.Duration
	// Share is the present share of sessions, 0 to 1, that get the target.
	Share float64
	// Total is the evidence since the order, Recent that of the last proofWindow at the present share.
	Total  rollout.Evidence
	Recent rollout.Evidence
	// Rate is the number of answers a second of the service, on any version.
	Rate float64
	// GoodRates are those that a good version may have.
	GoodRates rollout.Rates
	// Suspicion says how near the evidence is to a halt, 0 to 1.
	Suspicion float64
	// OldInFlight says that a session on the old version has an attempt in flight here.
	OldInFlight bool
}

// Decision is what becomes of a running traffic shift.
type Decision int

// The values of Decision.
const (
	DecisionContinue Decision = iota + 1
	// DecisionComplete completes it: the version has proved good at the full share.
	DecisionComplete
	// DecisionRollBack rolls it back: the time is over, and the version hasn't proved good.
	DecisionRollBack
)

var decisionNames = map[Decision]string{DecisionContinue: "continue", DecisionComplete: "complete", DecisionRollBack: "roll_back"}

// String implements fmt.Stringer.
func (d Decision) String() string { return decisionNames[d] }

// Decide decides on a running traffic shift. Missing evidence never completes it. The Controller calls it on each tick.
func Decide(s Standing) Decision {
	fraction := float64(s.Elapsed) / float64(s.Duration)
	switch {
	case fraction <= completionStart:
		return DecisionContinue
	case s.Share == 1 && s.proved(maxProof) && !s.OldInFlight:
		return DecisionComplete
	case s.Share == 1 && s.proved(lateProof) && fraction > completionDeadline:
		return DecisionComplete
	case fraction > proofDeadline:
		return DecisionRollBack
	default:
		return DecisionContinue
	}
}

// Allowed returns the share of sessions, 0 to 1, that may get the target from now on. It never decreases: it follows the
// schedule, stays at probeShare until the version of a busy service is proved there, and stops while that version isn't proved
// or is suspected.
func (s Standing) Allowed() float64 {
	scheduled := Share(s.Elapsed, s.Duration)
	switch {
	case s.Suspicion >= holdSuspicion:
		scheduled = min(scheduled, CanaryShare)
	case s.isBusy() && !s.proved(rampProof):
		scheduled = min(scheduled, probeShare)
	}
	return max(s.Share, scheduled)
}

// isBusy reports whether the service has enough requests that a part of them proves a version.
func (s Standing) isBusy() bool { return proofShare*proofWindow.Seconds()*s.Rate > minProof }

// proved reports whether enough answers at the present share were judged, at most limit, and were as good as those of a good
// version. If a service has few requests, earlier answers count too.
func (s Standing) proved(limit float64) bool {
	need := min(max(proofShare*proofWindow.Seconds()*s.Rate, minProof), limit)
	evidence := s.Recent
	if !s.isBusy() && judged(evidence) < need {
		evidence = s.Total
	}
	return s.Suspicion < holdSuspicion && judged(evidence) >= need && s.isGood(evidence)
}

// isGood reports whether no kind of bad answers exceeds the rate of a good version by more than proofMargin.
func (s Standing) isGood(e rollout.Evidence) bool {
	return atMost(e.Failures, e.Answers, s.GoodRates.Failures) && atMost(e.RatedBad, e.Rated, s.GoodRates.BadRatings) &&
		atMost(e.PacedSlow, e.Paced, s.GoodRates.SlowPace)
}

// atMost reports whether bad of n trials are at most the rate and proofMargin. Among several, a single one is no sign.
func atMost(bad, n uint64, rate float64) bool {
	return float64(bad) <= (rate+proofMargin)*float64(n) || (bad == 1 && n >= rampProof)
}

// judged returns the number of answers of which something is known.
func judged(e rollout.Evidence) float64 { return float64(max(e.Answers, e.Rated)) }
