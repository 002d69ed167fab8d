package peer

import "time"

const (
	rumorRounds = 6
	rumorMemory = 10 * time.Minute
	maxRumors   = 256
)

// Rumors holds facts heard from peers that are passed on in a bounded number of rounds, each fact once.
type Rumors[T comparable] struct {
	heard map[T]rumor
}

type rumor struct {
	at     time.Time
	rounds int
}

// Hear takes in a fact and reports whether it is new. A full set refuses.
func (r *Rumors[T]) Hear(fact T, now time.Time) bool {
	if r.heard == nil {
		r.heard = map[T]rumor{}
	}
	if _, ok := r.heard[fact]; ok || len(r.heard) >= maxRumors {
		return false
	}
	r.heard[fact] = rumor{at: now}
	return true
}

// Round returns the facts to pass on in this round and forgets the old ones.
func (r *Rumors[T]) Round(now time.Time) []T {
	var out []T
	for fact, h := range r.heard {
		if now.Sub(h.at) > rumorMemory {
			delete(r.heard, fact)
			continue
		}
		if h.rounds < rumorRounds {
			h.rounds++
			r.heard[fact] = h
			out = append(out, fact)
		}
	}
	return out
}
