package shift

import "time"

const (
	// slowFactor is how many times the old version's mean an answer of the new one takes before it counts as bad.
	slowFactor = 3.5
	// slowLeast and slowGapLeast keep answers from counting as slow for a few milliseconds.
	slowLeast    = 150 * time.Millisecond
	slowGapLeast = 20 * time.Millisecond
	// slowGapFactor is slowFactor for the time between two events, which varies less.
	slowGapFactor = 2.5
	paceWeight    = 0.05
	// paceProof is how many answers of the old version the mean needs.
	paceProof = 20
)

// Pace is the moving mean of how long the old version's answers take, for one kind of request.
type Pace struct {
	First time.Duration
	Gap   time.Duration
	Count int
}

// Learn adds an answer of the old version; a gap of 0 is none.
func (p *Pace) Learn(first, gap time.Duration) {
	p.Count++
	if p.Count == 1 {
		p.First, p.Gap = first, gap
		return
	}
	p.First += time.Duration(paceWeight * float64(first-p.First))
	if gap > 0 {
		p.Gap += time.Duration(paceWeight * float64(gap-p.Gap))
	}
}

// Slow reports whether an answer took several times as long as the old version's.
func (p *Pace) Slow(first, gap time.Duration) bool {
	if p.Count < paceProof {
		return false
	}
	if first > time.Duration(slowFactor*float64(p.First)) && first-p.First > slowLeast {
		return true
	}
	return p.Gap > 0 && gap > time.Duration(slowGapFactor*float64(p.Gap)) && gap-p.Gap > slowGapLeast
}
