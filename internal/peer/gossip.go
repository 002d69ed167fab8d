package peer

import "time"

const (
	// gossipRounds is the number of rounds in which a fact is sent on.
	gossipRounds = 6
	// gossipTTL is how long a fact is remembered, so that it isn't sent on again when it comes back.
	gossipTTL = 10 * time.Minute
	// maxGossipEntries is the maximum number of facts remembered.
	maxGossipEntries = 256
)

// Gossip holds facts received from peers, such as halts, to send each of them on in gossipRounds rounds.
type Gossip[T comparable] struct {
	entries map[T]gossipEntry
}

// gossipEntry tells when a fact arrived and in how many rounds it was sent on.
type gossipEntry struct {
	addedAt time.Time
	rounds  int
}

// Add stores a fact and reports whether it is new. At maxGossipEntries new facts are ignored. The Controller calls it for
// each halt and crash that it receives.
func (g *Gossip[T]) Add(fact T, now time.Time) bool {
	if g.entries == nil {
		g.entries = map[T]gossipEntry{}
	}
	if _, ok := g.entries[fact]; ok || len(g.entries) >= maxGossipEntries {
		return false
	}
	g.entries[fact] = gossipEntry{addedAt: now}
	return true
}

// NextRound returns the facts to send in this round and removes those older than gossipTTL. The Controller calls it
// once per round.
func (g *Gossip[T]) NextRound(now time.Time) []T {
	var out []T
	for fact, e := range g.entries {
		if now.Sub(e.addedAt) > gossipTTL {
			delete(g.entries, fact)
			continue
		}
		if e.rounds < gossipRounds {
			e.rounds++
			g.entries[fact] = e
			out = append(out, fact)
		}
	}
	return out
}
