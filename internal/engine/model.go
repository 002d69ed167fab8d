package engine

import (
	"math"
	"time"
)

// Prior is what is taken for the engines of a service before runs were seen.
type Prior struct {
	// First is the time to the head of the answer to an empty prompt at an idle endpoint.
	First time.Duration
	// PerToken is the time to process a prompt token, PerLoad the delay by a run of the most expensive model beside this one, and
	// PerQueue the wait for a queue as long as the engine has slots.
	PerToken time.Duration
	PerLoad  time.Duration
	PerQueue time.Duration
	// PerEvent is the time between two events.
	PerEvent time.Duration
	// Typical is a run that the prior counts for as if some had confirmed it; 0 in none of its terms.
	Typical Run
}

const (
	// leastShare is the part of a prior's times, 0 to 1, below which no estimate falls: a load that is always the same at all endpoints
	// must not look as if it cost nothing.
	leastShare = 0.05
	// tokenUnit is the number of tokens in the unit of their term.
	tokenUnit = 1000
	// medianStep is the factor by which one run moves the median of the slowness.
	medianStep = 1.03
	// longest bounds each prediction.
	longest = time.Hour
)

// Model is what was learned of the engines of a service for one of its models: the times of an endpoint of typical speed.
type Model struct {
	begin, gap fit
	// medianSlowness is the median of the slowness of the endpoints that answered, at least 1.
	medianSlowness float64
}

// NewModel makes a Model that predicts by the prior.
func NewModel(p Prior) *Model {
	prior := vector{milliseconds(p.First), tokenUnit * milliseconds(p.PerToken), milliseconds(p.PerLoad), milliseconds(p.PerQueue), 1}
	var least vector
	for i := range prior[:termWaiting] {
		least[i] = leastShare * prior[i]
	}
	least[termConstant] = 0
	gap := vector{termConstant: milliseconds(p.PerEvent)}
	return &Model{medianSlowness: 1, begin: newFit(prior, least, p.Typical.vector()), gap: newFit(gap, vector{}, p.Typical.vector())}
}

// Learn adds a run that was answered at an endpoint of the slowness. One that is slower than others counts less, and as if it were of
// typical speed, so that four slow ones in ten don't change what is expected of the sound ones.
func (m *Model) Learn(r Run, s Seen, slowness float64) {
	m.noteSlowness(slowness)
	share := min(m.medianSlowness/slowness, 1)
	if s.Begin > 0 {
		m.begin.learn(r.vector(), milliseconds(s.Begin)*share, share)
	}
	if s.Gap > 0 {
		m.gap.learn(r.gapVector(), milliseconds(s.Gap)*share, share)
	}
}

// noteSlowness moves the median of the slowness towards that of another run. If all endpoints seem slow, it's the model that is wrong.
func (m *Model) noteSlowness(slowness float64) {
	if slowness > m.medianSlowness {
		m.medianSlowness *= medianStep
	} else {
		m.medianSlowness = max(m.medianSlowness/medianStep, 1)
	}
}

// Forecast returns when the run would begin and end at an endpoint of the slowness.
func (m *Model) Forecast(r Run, slowness float64) Forecast {
	begin := m.begin.estimate(r.vector())
	f := Forecast{Begin: duration(begin * slowness)}
	if r.Events > 0 {
		f.End = duration((begin + float64(r.Events)*m.gap.estimate(r.gapVector())) * slowness)
	}
	return f
}

// TokenTime returns how long an endpoint of typical speed takes to process so many tokens of a prompt.
func (m *Model) TokenTime(tokens int) time.Duration {
	return duration(float64(tokens) / tokenUnit * m.begin.coefficients[termTokens])
}

// vector returns the terms of the begin of a run.
func (r Run) vector() vector {
	return vector{1, float64(r.Tokens) / tokenUnit, r.Load, r.Queued, milliseconds(r.Waiting)}
}

// gapVector returns the terms of the time between its events.
func (r Run) gapVector() vector { return vector{termConstant: 1, termLoad: r.Load} }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration {
	if math.IsNaN(ms) || ms < 0 {
		return 0
	}
	return time.Duration(min(ms*float64(time.Millisecond), float64(longest)))
}
