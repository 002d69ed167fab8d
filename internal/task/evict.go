package task

import "time"

// Phase is where an open connection stands.
type Phase int

// The values of Phase.
const (
	// PhaseIdle means that nothing of a next request has come.
	PhaseIdle Phase = iota
	// PhaseHead means that a part of a request's head has come.
	PhaseHead
	// PhaseBody means that a request's head is whole and its body isn't, as far as its front end has told.
	PhaseBody
	// PhaseServing means that a request is whole and its answer isn't.
	PhaseServing
)

// String returns the phase's name in the log.
func (p Phase) String() string {
	switch p {
	case PhaseIdle:
		return "idle"
	case PhaseHead:
		return "head"
	case PhaseBody:
		return "body"
	default:
		return "serving"
	}
}

// OpenConnection is an open connection and since when it is in its phase.
type OpenConnection struct {
	Phase Phase
	Since time.Time
}

// ConnectionLimits bounds the connections of a server, and those of them of which a part of a head is held. 0 is no bound.
type ConnectionLimits struct{ Open, Heads int }

// evict returns the index of the connection that has to be closed once the one at changed has changed its phase, or -1 if none has to
// be, or none may be. It answers crowds whose connections stay open without a whole request: if there are too many, the one that has
// been idle for the longest goes first, then the slowest head, then the slowest body, and the changed one last, so that new callers
// get in. A request that is whole is never given up, since it may run. Only a change to PhaseHead can make the heads too many, so that
// other changes don't count them.
func evict(open []OpenConnection, changed int, limits ConnectionLimits) int {
	if open[changed].Phase == PhaseHead && tooManyHeads(open, limits) {
		return longest(open, PhaseHead, changed)
	}
	if limits.Open == 0 || len(open) <= limits.Open {
		return -1
	}
	for phase := PhaseIdle; phase < PhaseServing; phase++ {
		if i := longest(open, phase, changed); i >= 0 {
			return i
		}
	}
	if open[changed].Phase < PhaseServing {
		return changed
	}
	return -1
}

// tooManyHeads reports whether a part of a head is held of more connections than the limit allows.
func tooManyHeads(open []OpenConnection, limits ConnectionLimits) bool {
	if limits.Heads == 0 || len(open) <= limits.Heads {
		return false
	}
	heads := 0
	for _, c := range open {
		if c.Phase == PhaseHead {
			heads++
		}
	}
	return heads > limits.Heads
}

// longest returns the index of the connection that has been in the phase for the longest, but for the one at except, or -1.
func longest(open []OpenConnection, phase Phase, except int) int {
	found := -1
	for i, c := range open {
		if i != except && c.Phase == phase && (found < 0 || c.Since.Before(open[found].Since)) {
			found = i
		}
	}
	return found
}
