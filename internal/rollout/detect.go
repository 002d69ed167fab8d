package rollout

import (
	"cmp"
	"fmt"
	"math"
)

const (
	// haltScore is the logarithm of a thousand roll-outs times 100,000 failures of a good version in each:
	// a rise of the score begins with a failure, and gets this far with a probability of at most exp(-haltScore).
	haltScore       = 18.42
	leastAnswers    = 50
	forgetAnswers   = 2000
	failureFloor    = 0.02
	failureUnproven = 0.05
	ratingFloor     = 0.05
	confidence      = 2.0
	riseFactor      = 5.0
	riseLeast       = 0.1
	badMost         = 0.95
)

// Test is a sequential test of one kind of evidence: a cumulative sum of the log-likelihood ratio of a version
// that got worse than the stable one against a version that is as good. It starts again whenever it falls to 0,
// so that a version that turns bad after a long good time is found as soon.
type Test struct {
	Score float64
	// Trials and Bad are what was counted of the version so far.
	Trials uint64
	Bad    uint64
	// StableTrials and StableBad are the stable version's lately.
	StableTrials float64
	StableBad    float64
	seenTrials   uint64
	seenBad      uint64
}

// Detector watches one run of a roll-out.
type Detector struct {
	// HaltScore is the score that halts the roll-out; 0 stands for the default.
	HaltScore float64
	// RatingScore is the score of ratings that halts it; 0 stands for HaltScore.
	RatingScore float64
	// RatingRise is how many times as often a version that got worse is rated poorly; 0 stands for the default.
	RatingRise float64
	Failures   Test
	Ratings    Test
}

// Update takes the evidence about the version and the stable version since the run began,
// and returns the detector after it and the reason for a halt, or "".
func (d Detector) Update(version, stable Evidence) (Detector, string) {
	d.Failures.learnStable(stable.Answers, stable.Failures)
	d.Ratings.learnStable(stable.Rated, stable.RatedBad)
	d.Failures.learn(version.Answers, version.Failures, d.Failures.expected(failureFloor, failureUnproven), riseFactor)
	if d.Ratings.StableTrials >= leastAnswers {
		d.Ratings.learn(version.Rated, version.RatedBad, d.Ratings.expected(ratingFloor, badMost), cmp.Or(d.RatingRise, riseFactor))
	}
	halt := cmp.Or(d.HaltScore, haltScore)
	ratingHalt := cmp.Or(d.RatingScore, halt)
	switch {
	case d.Failures.Score >= halt:
		return d, fmt.Sprintf("%d of %d requests failed", version.Failures, version.Answers)
	case d.Ratings.Score >= ratingHalt:
		return d, fmt.Sprintf("%d of %d ratings were below the quality target", version.RatedBad, version.Rated)
	default:
		return d, ""
	}
}

// learnStable adds the stable version's new evidence, forgetting older evidence by halves.
func (t *Test) learnStable(trials, bad uint64) {
	t.StableTrials += float64(since(trials, t.seenTrials))
	t.StableBad += float64(since(bad, t.seenBad))
	t.seenTrials, t.seenBad = max(trials, t.seenTrials), max(bad, t.seenBad)
	for t.StableTrials > forgetAnswers {
		t.StableTrials /= 2
		t.StableBad /= 2
	}
}

// expected returns the rate that a good version may have: an upper bound of the stable version's.
func (t *Test) expected(floor, unproven float64) float64 {
	if t.StableTrials < leastAnswers {
		return unproven
	}
	rate := min(t.StableBad/t.StableTrials, 1)
	return max(floor, rate+confidence*math.Sqrt(rate*(1-rate)/t.StableTrials))
}

// learn moves the score by the version's new evidence; a version that got worse is bad rise times as often as a good one.
func (t *Test) learn(trials, bad uint64, good, rise float64) {
	newTrials, newBad := float64(since(trials, t.Trials)), float64(since(bad, t.Bad))
	t.Trials, t.Bad = max(trials, t.Trials), max(bad, t.Bad)
	worse := min(max(good*rise, good+riseLeast), badMost)
	if worse <= good || newTrials == 0 {
		return
	}
	newGood := max(newTrials-newBad, 0)
	change := newBad*math.Log(worse/good) + newGood*math.Log((1-worse)/(1-good))
	t.Score = max(t.Score+change, 0)
}

func since(now, before uint64) uint64 {
	if now < before {
		return 0
	}
	return now - before
}
