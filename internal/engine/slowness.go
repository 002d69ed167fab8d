package engine

import (
	"math"
	"time"
)

const (
	// slownessShare is the part of one run, 0 to 1, in the moving mean of an endpoint's slowness.
	slownessShare = 0.2
	// minRunRatio and maxRunRatio bound the ratio of seen to expected time that one run may show, so that a single one that hung
	// doesn't make an endpoint slow.
	minRunRatio = 0.25
	maxRunRatio = 4
	// slownessHalfLife is the time in which half of what was learned is forgotten, so that an endpoint that gets few runs because it
	// was slow is tried again.
	slownessHalfLife = 5 * time.Second
	// minKnownRuns is how many runs make the slowness of an endpoint known.
	minKnownRuns = 1
)

// Slowness is how many times longer the runs of an endpoint take than expected. The zero value says nothing, which counts as 1.
type Slowness struct {
	excess float64
	// runs counts the runs that it rests on, as far as they aren't forgotten.
	runs float64
	at   time.Time
}

// Learn adds a run that began after seen, where expected was predicted for an endpoint of typical speed.
func (s *Slowness) Learn(seen, expected time.Duration, now time.Time) {
	if seen <= 0 || expected <= 0 {
		return
	}
	ratio := min(max(float64(seen)/float64(expected), minRunRatio), maxRunRatio)
	left := s.left(now)
	s.excess, s.runs, s.at = s.excess*left, s.runs*left+1, now
	s.excess += (ratio - 1 - s.excess) * slownessShare
}

// Ratio returns the slowness now: 1 for an endpoint of typical speed or one that nothing is known of.
func (s *Slowness) Ratio(now time.Time) float64 { return 1 + s.excess*s.left(now) }

// Known reports whether the slowness rests on some runs of late.
func (s *Slowness) Known(now time.Time) bool { return s.runs*s.left(now) >= minKnownRuns }

// left returns the part, 0 to 1, of what was learned that isn't forgotten yet.
func (s *Slowness) left(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return math.Exp2(-float64(max(now.Sub(s.at), 0)) / float64(slownessHalfLife))
}
