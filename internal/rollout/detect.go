package rollout

import (
	"cmp"
	"fmt"
	"math"
)

const (
	// Scores are log-likelihood ratios in nats, rates are fractions from 0 to 1.

	// haltScore is ln(1000 * 100,000), for 1000 rollouts with 100,000 failures of a good version in each: an excursion
	// of the score starts with a failure and reaches this score with a probability of at most exp(-haltScore).
	haltScore = 18.42
	// minStableTrials is the number of stable trials needed to estimate the stable version's rate.
	minStableTrials = 50
	// maxStableTrials bounds the stable trials that are remembered; beyond it, older ones lose weight.
	maxStableTrials = 2000
	// minFailureRate is the failure rate that any good version is allowed.
	minFailureRate = 0.02
	// defaultFailureRate is the failure rate allowed while there are too few stable trials.
	defaultFailureRate = 0.05
	// minBadRatingRate is the rate of bad ratings that any good version is allowed.
	minBadRatingRate = 0.05
	// boundStdErrors is the distance of the bound from the stable version's rate, in standard errors.
	boundStdErrors = 2.0
	// A bad version is assumed to have a rate of bad trials of at least badRateFactor times that of a good one
	// and at least badRateMargin above it, but of at most maxBadRate.
	badRateFactor = 5.0
	badRateMargin = 0.1
	maxBadRate    = 0.95
)

// SequentialTest is a CUSUM test on one kind of evidence: a trial is an answer that may be a failure, or a rating that
// may be bad. Score is the cumulative log-likelihood ratio of a bad version against one as good as the stable version.
// It never falls below 0, so that a version that turns bad late is detected as soon as one that is bad from the start.
type SequentialTest struct {
	Score float64
	// Trials and Bad are the version's totals as of the last update.
	Trials uint64
	Bad    uint64
	// StableTrials and StableBad count the stable version's recent trials; older ones are halved repeatedly.
	StableTrials float64
	StableBad    float64
	// prevStableTrials and prevStableBad are the stable version's totals as of the last update.
	prevStableTrials uint64
	prevStableBad    uint64
}

// Detector tests the version of one run of a rollout for failures and for bad ratings.
type Detector struct {
	// HaltThreshold is the score that halts the rollout; 0 means haltScore.
	HaltThreshold float64
	// RatingHaltThreshold is the score of the ratings that halts it; 0 means HaltThreshold.
	RatingHaltThreshold float64
	// RatingFactor is how many times as often as a good version a bad one is rated badly; 0 means badRateFactor.
	RatingFactor float64
	Failures     SequentialTest
	Ratings      SequentialTest
}

// Update adds the evidence about the version and the stable version, as totals since the run began.
// It returns the updated detector and the reason to halt the rollout, or "". The Controller calls it on each check,
// package shift on new evidence.
func (d Detector) Update(version, stable Evidence) (Detector, string) {
	d.Failures.addStable(stable.Answers, stable.Failures)
	d.Ratings.addStable(stable.Rated, stable.RatedBad)
	d.Failures.add(version.Answers, version.Failures, d.Failures.goodRateBound(minFailureRate, defaultFailureRate), badRateFactor)
	if d.Ratings.StableTrials >= minStableTrials {
		d.Ratings.add(version.Rated, version.RatedBad, d.Ratings.goodRateBound(minBadRatingRate, maxBadRate), cmp.Or(d.RatingFactor, badRateFactor))
	}
	halt := cmp.Or(d.HaltThreshold, haltScore)
	ratingHalt := cmp.Or(d.RatingHaltThreshold, halt)
	switch {
	case d.Failures.Score >= halt:
		return d, fmt.Sprintf("%d of %d requests failed", version.Failures, version.Answers)
	case d.Ratings.Score >= ratingHalt:
		return d, fmt.Sprintf("%d of %d ratings were below the quality target", version.RatedBad, version.Rated)
	default:
		return d, ""
	}
}

// addStable adds the stable version's new trials and halves the counts while they exceed maxStableTrials.
func (t *SequentialTest) addStable(trials, bad uint64) {
	t.StableTrials += float64(increase(trials, t.prevStableTrials))
	t.StableBad += float64(increase(bad, t.prevStableBad))
	t.prevStableTrials, t.prevStableBad = max(trials, t.prevStableTrials), max(bad, t.prevStableBad)
	for t.StableTrials > maxStableTrials {
		t.StableTrials /= 2
		t.StableBad /= 2
	}
}

// goodRateBound returns the rate of bad trials that a good version may have, an upper bound of the stable version's rate.
// With too few stable trials it returns fallback; otherwise the result is at least floor.
func (t *SequentialTest) goodRateBound(floor, fallback float64) float64 {
	if t.StableTrials < minStableTrials {
		return fallback
	}
	rate := min(t.StableBad/t.StableTrials, 1)
	return max(floor, rate+boundStdErrors*math.Sqrt(rate*(1-rate)/t.StableTrials))
}

// add updates the score with the version's new trials, given the rate of bad trials of a good version
// and how many times as often a trial of a bad version is bad. Update calls it.
func (t *SequentialTest) add(trials, bad uint64, goodRate, factor float64) {
	newTrials, newBad := float64(increase(trials, t.Trials)), float64(increase(bad, t.Bad))
	t.Trials, t.Bad = max(trials, t.Trials), max(bad, t.Bad)
	badRate := min(max(goodRate*factor, goodRate+badRateMargin), maxBadRate)
	if badRate <= goodRate || newTrials == 0 {
		return
	}
	newGood := max(newTrials-newBad, 0)
	delta := newBad*math.Log(badRate/goodRate) + newGood*math.Log((1-badRate)/(1-goodRate))
	t.Score = max(t.Score+delta, 0)
}

// increase returns how much a count grew, or 0 if it fell.
func increase(now, before uint64) uint64 {
	if now < before {
		return 0
	}
	return now - before
}
