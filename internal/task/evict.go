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
	// PhaseServing means that a request's head is whole and its answer isn't.
	PhaseServing
)

// OpenConnection is an open connection and since when it is in its phase.
type OpenConnection struct {
	Phase Phase
	Since time.Time
}

// ConnectionLimits bounds the connections of a server, and those of them of which a part of a head is held. 0 is no bound.
type ConnectionLimits struct{ Open, Heads int }

// evict returns the index of the connection that has to be closed, or -1 if none has to be, or none may be. It answers crowds whose
// connections stay open without a request: if there are too many, the one that has been idle for the longest goes first, and after
// the idle ones the slowest head. A request whose head is whole is never given up.
func evict(open []OpenConnection, limits ConnectionLimits) int {
	heads := 0
	for _, c := range open {
		if c.Phase == PhaseHead {
			heads++
		}
	}
	if limits.Heads > 0 && heads > limits.Heads {
		return longest(open, PhaseHead)
	}
	if limits.Open == 0 || len(open) <= limits.Open {
		return -1
	}
	if i := longest(open, PhaseIdle); i >= 0 {
		return i
	}
	return longest(open, PhaseHead)
}

// longest returns the index of the connection that has been in the phase for the longest, or -1.
func longest(open []OpenConnection, phase Phase) int {
	found := -1
	for i, c := range open {
		if c.Phase == phase && (found < 0 || c.Since.Before(open[found].Since)) {
			found = i
		}
	}
	return found
}
