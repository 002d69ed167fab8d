// Package engine models the inference engines of endpoints: how fast each processes prompts and generates tokens, and when a run
// would begin and end there.
package engine

import "time"

// Forecast is when a run would begin and end at an endpoint, from now.
type Forecast struct {
	// Begin is the time to the head of the answer, End that to its last byte; 0 if nothing is known.
	Begin time.Duration
	End   time.Duration
}
