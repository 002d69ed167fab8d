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
	// defaultSlowRate is the rate of bad ratings and of slow streams allowed while there are too few stable trials.
	defaultSlowRate = 0.15
	// boundStdErrors is the distance of the bound from the stable version's rate, in standard errors.
	boundStdErrors = 2.0
	// A bad version is assumed to have a rate of bad trials of at least badRateFactor times that of a good one
	// and at least badRateMargin above it, but of at most maxBadRate.
	badRateFactor = 5.0
	badRateMargin = 0.1
	maxBadRate    = 0.95
	// paceMargin is badRateMargin for the pace of streams, which varies little among the answers of a good version.
	paceMargin = 0.35
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

// Detector tests the version of one run of a rollout for failures, for bad ratings and for streams with a slow pace.
type Detector struct {
	// HaltThreshold is the score that halts the rollout; 0 means haltScore.
	HaltThreshold float64
	// RatingHaltThreshold is the score of the ratings that halts it; 0 means HaltThreshold.
	RatingHaltThreshold float64
	// PaceHaltThreshold is the score of the pace that halts it; 0 means HaltThreshold.
	PaceHaltThreshold float64
	// RatingFactor is how many times as often as a good version a bad one is rated badly; 0 means badRateFactor.
	RatingFactor float64
	Failures     SequentialTest
	Ratings      SequentialTest
	Pace         SequentialTest
}

// Update adds the evidence about the version and the stable version, as totals since the run began.
// It returns the updated detector and the reason to halt the rollout, or "". The Controller calls it on each check,
// package shift on new evidence.
func (d Detector) Update(version, stable Evidence) (Detector, string) {
	d.Failures.addStable(stable.Answers, stable.Failures)
	d.Ratings.addStable(stable.Rated, stable.RatedBad)
	d.Pace.addStable(stable.Paced, stable.PacedSlow)
	limits := d.GoodRates()
	d.Failures.add(version.Answers, version.Failures, limits.Failures, max(limits.Failures*badRateFactor, limits.Failures+badRateMargin))
	if d.Ratings.StableTrials >= minStableTrials {
		factor := cmp.Or(d.RatingFactor, badRateFactor)
		d.Ratings.add(version.Rated, version.RatedBad, limits.BadRatings, max(limits.BadRatings*factor, limits.BadRatings+badRateMargin))
	}
	if d.Pace.StableTrials >= minStableTrials {
		d.Pace.add(version.Paced, version.PacedSlow, limits.SlowPace, limits.SlowPace+paceMargin)
	}
	halts := d.thresholds()
	switch {
	case d.Failures.Score >= halts[0]:
		return d, fmt.Sprintf("%d of %d requests failed", version.Failures, version.Answers)
	case d.Ratings.Score >= halts[1]:
		return d, fmt.Sprintf("%d of %d ratings were below the quality target", version.RatedBad, version.Rated)
	case d.Pace.Score >= halts[2]:
		return d, fmt.Sprintf("%d of %d streams were slow", version.PacedSlow, version.Paced)
	default:
		return d, ""
	}
}

// thresholds returns the scores of failures, ratings and pace that halt the rollout.
func (d Detector) thresholds() [3]float64 {
	halt := cmp.Or(d.HaltThreshold, haltScore)
	return [3]float64{halt, cmp.Or(d.RatingHaltThreshold, halt), cmp.Or(d.PaceHaltThreshold, halt)}
}

// Suspicion returns how near the evidence is to a halt, from 0 to 1: the greatest score as a share of its threshold.
// The Controller of package shift calls it before it raises the version's share.
func (d Detector) Suspicion() float64 {
	halts := d.thresholds()
	return min(max(d.Failures.Score/halts[0], d.Ratings.Score/halts[1], d.Pace.Score/halts[2]), 1)
}

// Rates are shares, 0 to 1, of an answer's kinds of evidence that are bad.
type Rates struct {
	Failures   float64
	BadRatings float64
	SlowPace   float64
}

// GoodRates returns the rates that a good version may have: an upper bound of the stable version's.
func (d Detector) GoodRates() Rates {
	return Rates{
		Failures:   d.Failures.goodRateBound(minFailureRate, defaultFailureRate),
		BadRatings: d.Ratings.goodRateBound(minBadRatingRate, defaultSlowRate),
		SlowPace:   d.Pace.goodRateBound(minBadRatingRate, defaultSlowRate),
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

// add updates the score with the version's new trials, given the rates of bad trials of a good version and of a bad one.
// Update calls it.
func (t *SequentialTest) add(trials, bad uint64, goodRate, badRate float64) {
	newTrials, newBad := float64(increase(trials, t.Trials)), float64(increase(bad, t.Bad))
	t.Trials, t.Bad = max(trials, t.Trials), max(bad, t.Bad)
	badRate = min(badRate, maxBadRate)
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
