package cascade

import "time"

const (
	// climbBelow is the confidence, 0 to 100, below which an answer is dropped for one of a stronger model.
	climbBelow = 48
	// calmLoad is the load of endpoints up to which climbBelow holds; at fullLoad only hopeless answers climb.
	calmLoad  = 0.5
	fullLoad  = 1.0
	hopeless  = 15
	spareTime = 3
)

// Opinion is what a model says of its own answer before any of it was passed on, and what a climb would cost.
type Opinion struct {
	// Confidence is 0 to 100.
	Confidence int
	// Allowed says that the request may be sent again.
	Allowed bool
	// Load is the endpoint's, as a share of its slots.
	Load float64
	// Took is the time to the answer's head, Left the time to the deadline.
	Took time.Duration
	Left time.Duration
	// Objective is the time within which the answer should begin, counted with Elapsed.
	Objective time.Duration
	Elapsed   time.Duration
	// StrongerFirst and StrongerRest are how long the stronger model usually takes to the head of such an answer and
	// from there to its end; 0 is unknown.
	StrongerFirst time.Duration
	StrongerRest  time.Duration
}

// Ruling says what becomes of an answer that its model rated.
type Ruling int

// The values of Ruling.
const (
	// RulingSure keeps an answer that the model is sure of.
	RulingSure Ruling = iota + 1
	// RulingClimb drops the answer for one of a stronger model.
	RulingClimb
	// RulingLate keeps a doubtful answer, since the stronger model's would begin after the objective.
	RulingLate
	// RulingNoTime keeps a doubtful answer, since the stronger model's wouldn't end before the deadline.
	RulingNoTime
	// RulingNoSend keeps a doubtful answer, since the request may not be sent again.
	RulingNoSend
)

var rulingNames = map[Ruling]string{
	RulingSure: "sure", RulingClimb: "climb", RulingLate: "late", RulingNoTime: "no_time", RulingNoSend: "no_send",
}

// String implements fmt.Stringer.
func (v Ruling) String() string { return rulingNames[v] }

// Weigh decides whether the answer is dropped and a stronger model asked.
// A climb that can't be in time for the caller isn't made; the busier the endpoints, the worse an answer has to be.
func Weigh(o Opinion) Ruling {
	first := max(o.StrongerFirst, o.Took)
	late := o.Objective > 0 && o.Elapsed+first > o.Objective
	switch {
	case float64(o.Confidence) >= threshold(o.Load):
		return RulingSure
	case !o.Allowed:
		return RulingNoSend
	case o.Left < max(spareTime*o.Took, first+o.StrongerRest):
		return RulingNoTime
	case late && o.Confidence >= hopeless:
		return RulingLate
	default:
		return RulingClimb
	}
}

func threshold(load float64) float64 {
	switch {
	case load <= calmLoad:
		return climbBelow
	case load >= fullLoad:
		return hopeless
	default:
		return climbBelow - (climbBelow-hopeless)*(load-calmLoad)/(fullLoad-calmLoad)
	}
}
