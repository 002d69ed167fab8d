package filter

import (
	"slices"
	"time"
)

const (
	// keptGaps is the number of the latest times between events that are kept for the pace.
	keptGaps = 16
	// minGaps is the number of times between events from which on mean and pace are known.
	minGaps = 2
	// paceQuantile is the share of the times between events, 0 to 1, that are at most the pace.
	paceQuantile = 0.25
)

// gaps holds the times between the events of a stream.
type gaps struct {
	sum    time.Duration
	n      int
	latest [keptGaps]time.Duration
}

// add adds a time between two events.
func (g *gaps) add(d time.Duration) {
	g.sum += d
	g.latest[g.n%keptGaps] = d
	g.n++
}

// mean returns the mean, or 0 if there are too few.
func (g *gaps) mean() time.Duration {
	if g.n < minGaps {
		return 0
	}
	return g.sum / time.Duration(g.n)
}

// pace returns a low quantile of the latest times, or 0 if there are too few. Unlike the mean it hardly depends on the
// prompts that the engine reads between two steps.
func (g *gaps) pace() time.Duration {
	if g.n < minGaps {
		return 0
	}
	list := slices.Clone(g.latest[:min(g.n, keptGaps)])
	slices.Sort(list)
	return list[int(paceQuantile*float64(len(list)-1))]
}
