package cascade

import "time"

const (
	// escalateBelow is the confidence, 0 to 100, below which an answer is dropped to ask a stronger model.
	escalateBelow = 48
	// lowLoad is the load up to which escalateBelow applies. From there to fullLoad the threshold falls to
	// escalateBelowAtFullLoad, a confidence from 0 to 100. Loads are shares of an endpoint's slots.
	lowLoad                 = 0.5
	fullLoad                = 1.0
	escalateBelowAtFullLoad = 15
	// deadlineMargin is how many times the TTFB of the dropped answer must be left before the deadline.
	deadlineMargin = 3
)

// Assessment holds what the decision to escalate depends on. It is made from the head of an answer, before any of the
// answer is passed on.
type Assessment struct {
	// Confidence is the model's confidence in its answer, 0 to 100.
	Confidence int
	// RetryAllowed reports that the request may be sent again.
	RetryAllowed bool
	// Load is the endpoint's load, as a share of its slots; it can exceed 1.
	Load float64
	// TTFB is the time from the start of the run, failed sends included, to the head of the answer. Remaining is the
	// time from there to the deadline.
	TTFB      time.Duration
	Remaining time.Duration
	// Objective is the time from the request's arrival within which the answer should begin; 0 if there is none.
	// Elapsed is the time since the arrival.
	Objective time.Duration
	Elapsed   time.Duration
	// StrongerTTFB and StrongerRest are the typical times that the stronger model takes to the head of such an answer and
	// from there to its end; 0 if unknown.
	StrongerTTFB time.Duration
	StrongerRest time.Duration
}

// Verdict is the decision on an answer by its model's confidence.
type Verdict int

// The values of Verdict.
const (
	// VerdictConfident keeps an answer whose confidence is high enough.
	VerdictConfident Verdict = iota + 1
	// VerdictEscalate drops the answer to ask a stronger model.
	VerdictEscalate
	// VerdictLate keeps a low-confidence answer because the stronger model's would begin after the objective.
	VerdictLate
	// VerdictNoTime keeps a low-confidence answer because the stronger model's would not end before the deadline.
	VerdictNoTime
	// VerdictNoRetry keeps a low-confidence answer because the request may not be sent again.
	VerdictNoRetry
)

var verdictNames = map[Verdict]string{
	VerdictConfident: "sure", VerdictEscalate: "climb", VerdictLate: "late", VerdictNoTime: "no_time", VerdictNoRetry: "no_send",
}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// EvaluateConfidence decides whether the answer is dropped and a stronger model asked. It never escalates if the
// stronger model's answer would miss the deadline, and if it would miss the objective only for a confidence below
// escalateBelowAtFullLoad. The higher the load, the lower the confidence must be. Filter Escalate calls it with the
// head of an answer.
func EvaluateConfidence(a Assessment) Verdict {
	first := max(a.StrongerTTFB, a.TTFB)
	late := a.Objective > 0 && a.Elapsed+first > a.Objective
	switch {
	case float64(a.Confidence) >= escalationThreshold(a.Load):
		return VerdictConfident
	case !a.RetryAllowed:
		return VerdictNoRetry
	case a.Remaining < max(deadlineMargin*a.TTFB, first+a.StrongerRest):
		return VerdictNoTime
	case late && a.Confidence >= escalateBelowAtFullLoad:
		return VerdictLate
	default:
		return VerdictEscalate
	}
}

// escalationThreshold returns the confidence below which an answer is dropped at the load. It falls linearly between
// lowLoad and fullLoad. EvaluateConfidence calls it.
func escalationThreshold(load float64) float64 {
	switch {
	case load <= lowLoad:
		return escalateBelow
	case load >= fullLoad:
		return escalateBelowAtFullLoad
	default:
		return escalateBelow - (escalateBelow-escalateBelowAtFullLoad)*(load-lowLoad)/(fullLoad-lowLoad)
	}
}
