// Package engine models the inference engines of endpoints: how fast each processes prompts and generates tokens, and when a run
// would begin and end there. It learns from the runs of this VM, takes the time as an argument and does no I/O.
package engine

import "time"

// Forecast is when a run would begin and end at an endpoint, from now.
type Forecast struct {
	// Begin is the time to the head of the answer, End that to its last byte; 0 if nothing is known.
	Begin time.Duration
	End   time.Duration
}

// Run is what a run asks of an engine, and what it finds there.
type Run struct {
	// Tokens is the number of prompt tokens that the engine has to process.
	Tokens int
	// Load is the sum of the weights of the other runs at the engine.
	Load float64
	// Waiting is the time that the engine needs for the prompts of the runs that wait there.
	Waiting time.Duration
	// Queued is the number of runs beyond the engine's slots, this one included, divided by the slots.
	Queued float64
	// Events is the expected number of events of the answer; 0 if unknown.
	Events int
}

// Seen is what was seen of a run that was answered.
type Seen struct {
	// Begin is the time to the head of the answer.
	Begin time.Duration
	// Gap is the mean time between two events; 0 if there were too few.
	Gap time.Duration
}
