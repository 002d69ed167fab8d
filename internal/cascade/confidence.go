package cascade

import "time"

const (
	// escalateBelow is the confidence, 0 to 100, below which an answer is dropped for one of a stronger model.
	escalateBelow = 48
	// lowLoad is the load of endpoints up to which climbBelow holds; at fullLoad only hopeless answers climb.
	lowLoad                 = 0.5
	fullLoad                = 1.0
	escalateBelowAtFullLoad = 15
	deadlineMargin          = 3
)

// Assessment is what a model says of its own answer before any of it was passed on, and what a climb would cost.
type Assessment struct {
	// Confidence is 0 to 100.
	Confidence int
	// RetryAllowed says that the request may be sent again.
	RetryAllowed bool
	// Load is the endpoint's, as a share of its slots.
	Load float64
	// TTFB is the time to the answer's head, Left the time to the deadline.
	TTFB      time.Duration
	Remaining time.Duration
	// Objective is the time within which the answer should begin, counted with Elapsed.
	Objective time.Duration
	Elapsed   time.Duration
	// StrongerTTFB and StrongerRest are how long the stronger model usually takes to the head of such an answer and
	// from there to its end; 0 is unknown.
	StrongerTTFB time.Duration
	StrongerRest time.Duration
}

// Verdict says what becomes of an answer that its model rated.
type Verdict int

// The values of Ruling.
const (
	// VerdictConfident keeps an answer that the model is sure of.
	VerdictConfident Verdict = iota + 1
	// VerdictEscalate drops the answer for one of a stronger model.
	VerdictEscalate
	// VerdictLate keeps a doubtful answer, since the stronger model's would begin after the objective.
	VerdictLate
	// VerdictNoTime keeps a doubtful answer, since the stronger model's wouldn't end before the deadline.
	VerdictNoTime
	// VerdictNoRetry keeps a doubtful answer, since the request may not be sent again.
	VerdictNoRetry
)

var verdictNames = map[Verdict]string{
	VerdictConfident: "sure", VerdictEscalate: "climb", VerdictLate: "late", VerdictNoTime: "no_time", VerdictNoRetry: "no_send",
}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// EvaluateConfidence decides whether the answer is dropped and a stronger model asked.
// A climb that can't be in time for the caller isn't made; the busier the endpoints, the worse an answer has to be.
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
