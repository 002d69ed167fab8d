package engine

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1_800_000_000, 0)
	// prior is that of an engine of 27 tokens a millisecond.
	prior = Prior{PerToken: time.Millisecond / 27, PerLoad: 16 * time.Millisecond, PerEvent: 40 * time.Millisecond, Typical: Run{Tokens: 2000, Load: 4, Queued: 0.5, Waiting: 50 * time.Millisecond}}
)

// pattern is a load of simulated engines: prompts of 100 to 40,000 tokens, half of them cached, beside up to the slots in runs.
type pattern struct {
	name        string
	tokensPerMs float64
	slots       int
	// first is the time to first byte of an empty prompt, perRun the delay by each other run.
	first, perRun time.Duration
	// slow is how many of 10 endpoints work at a quarter of their speed.
	slow int
}

var patterns = []pattern{
	{"27 tokens a ms, 6 slots", 27, 6, 20 * time.Millisecond, 16 * time.Millisecond, 0},
	{"27 tokens a ms, 64 slots", 27, 64, 20 * time.Millisecond, 2 * time.Millisecond, 0},
	{"157 tokens a ms, 6 slots", 157, 6, 26 * time.Millisecond, 8 * time.Millisecond, 0},
	{"157 tokens a ms, 64 slots", 157, 64, 26 * time.Millisecond, time.Millisecond, 0},
	{"5 tokens a ms, 16 slots", 5, 16, 100 * time.Millisecond, 40 * time.Millisecond, 0},
	{"157 tokens a ms, four in ten at a quarter of their speed", 157, 16, 26 * time.Millisecond, 4 * time.Millisecond, 4},
	{"44 tokens a ms, four in ten at a quarter of their speed", 44, 16, 26 * time.Millisecond, 10 * time.Millisecond, 4},
}

// engines are ten endpoints as one VM learns of them.
type engines struct {
	pattern
	random   *rand.Rand
	model    *Model
	slowness [10]Slowness
	now      time.Time
}

func newEngines(p pattern) *engines {
	return &engines{pattern: p, random: rand.New(rand.NewPCG(1, 2)), model: NewModel(prior), now: start}
}

// draw returns a run and the time after which it begins at an endpoint of usual speed.
func (e *engines) draw() (Run, time.Duration) {
	tokens := int(100 * math.Pow(400, e.random.Float64()))
	if e.random.IntN(2) == 0 {
		tokens /= 3
	}
	r := Run{Tokens: tokens, Load: e.random.Float64() * float64(e.slots)}
	return r, e.first + time.Duration(float64(tokens)/e.tokensPerMs*float64(time.Millisecond)) + time.Duration(r.Load*float64(e.perRun))
}

// spikeFactor is how many times longer one run in spikeEvery takes.
const spikeFactor, spikeEvery = 2.5, 7

// spikedMean is the mean time of a run, where 1 is one without a spike.
const spikedMean = (spikeFactor + spikeEvery - 1) / spikeEvery

// serve runs n requests.
func (e *engines) serve(n int) {
	for range n {
		e.now = e.now.Add(50 * time.Millisecond)
		i := e.random.IntN(len(e.slowness))
		r, took := e.draw()
		if i < e.slow {
			took *= 4
		}
		if e.random.IntN(spikeEvery) == 0 {
			took = time.Duration(spikeFactor * float64(took))
		}
		e.slowness[i].Learn(took, e.model.Forecast(r, 1).Begin, e.now)
		e.model.Learn(r, Seen{Begin: took}, e.slowness[i].Ratio(e.now))
	}
}

// medianError returns the median of the relative errors of what is predicted for endpoints of usual speed, against factor times the
// times drawn.
func (e *engines) medianError(factor float64) float64 {
	var errs []float64
	for range 200 {
		r, took := e.draw()
		errs = append(errs, math.Abs(float64(e.model.Forecast(r, 1).Begin)/(factor*float64(took))-1))
	}
	slices.Sort(errs)
	return errs[len(errs)/2]
}

// TestModelLearnsSpeed guards against forecasts by the speed of another deployment.
func TestModelLearnsSpeed(t *testing.T) {
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			e := newEngines(p)
			e.serve(300)
			if err := e.medianError(spikedMean); err > 0.25 {
				t.Errorf("half of the forecasts are off by more than %.2f, model %v", err, e.model.begin.coefficients)
			}
		})
	}
}

// TestSlowEndpointsAreTold guards against four slow endpoints in ten that become the usual, or that pass as sound.
func TestSlowEndpointsAreTold(t *testing.T) {
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			e := newEngines(p)
			e.serve(300)
			for i := range e.slowness {
				ratio := e.slowness[i].Ratio(e.now)
				if slow := i < p.slow; slow != (ratio > 1.8) {
					t.Errorf("endpoint %d, slow %t, shows %.2f", i, slow, ratio)
				}
			}
		})
	}
}

// TestPriorHoldsAtStart guards against a first run, such as one that hung, that changes every forecast.
func TestPriorHoldsAtStart(t *testing.T) {
	run := Run{Tokens: 2700, Load: 2}
	m := NewModel(prior)
	before := m.Forecast(run, 1)
	qt.Assert(t, before.Begin.Round(time.Millisecond), qt.Equals, 132*time.Millisecond)
	tests := []struct {
		name string
		seen time.Duration
	}{
		{"hung", 10 * time.Second},
		{"cached by another VM", 20 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := NewModel(prior)
			m.Learn(run, Seen{Begin: test.seen}, 1)
			after := m.Forecast(run, 1).Begin
			qt.Check(t, after < 3*before.Begin && after > before.Begin/3, qt.IsTrue, qt.Commentf("%v after %v", after, before.Begin))
		})
	}
}

// TestOutliersDoNotMislead guards against forecasts that follow the few runs that hang, or that were cached by a peer.
func TestOutliersDoNotMislead(t *testing.T) {
	tests := []struct {
		name   string
		factor float64
	}{
		{"one in eight hangs 20 times as long", 20},
		{"one in eight is cached", 0.05},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEngines(patterns[2])
			for i := range 400 {
				r, took := e.draw()
				if i%8 == 0 {
					took = time.Duration(float64(took) * test.factor)
				}
				e.model.Learn(r, Seen{Begin: took}, 1)
			}
			if err := e.medianError(1); err > 0.3 {
				t.Errorf("half of the forecasts are off by more than %.2f, model %v", err, e.model.begin.coefficients)
			}
		})
	}
}

// TestForecastIsSane draws runs of any kind, among them times that no engine takes, and checks that what is predicted is bounded, and
// neither falls with more tokens or more load, nor ends before it begins.
func TestForecastIsSane(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		m := NewModel(prior)
		drawRun := func() Run {
			return Run{
				Tokens: rapid.IntRange(0, 1<<30).Draw(t, "tokens"), Load: rapid.Float64Range(0, 500).Draw(t, "load"),
				Queued: rapid.Float64Range(0, 50).Draw(t, "queued"), Events: rapid.IntRange(0, 5000).Draw(t, "events"),
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "runs") {
			s := Seen{Begin: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "begin")), Gap: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "gap"))}
			m.Learn(drawRun(), s, rapid.Float64Range(0.1, 10).Draw(t, "slowness"))
		}
		r, slowness := drawRun(), rapid.Float64Range(0.25, 4).Draw(t, "slowness")
		f := m.Forecast(r, slowness)
		if f.Begin < 0 || f.Begin > longest || (f.End != 0 && f.End < f.Begin) {
			t.Fatalf("%+v predicted", f)
		}
		more := r
		more.Tokens, more.Load = r.Tokens*2, r.Load*2
		if m.Forecast(more, slowness).Begin < f.Begin {
			t.Fatal("more tokens and load begin sooner")
		}
	})
}

// TestEndFollowsGaps guards against ends that are predicted by the gaps of another deployment, and against gaps that a load doesn't stretch.
func TestEndFollowsGaps(t *testing.T) {
	m := NewModel(prior)
	run := Run{Tokens: 100, Load: 1, Events: 40}
	qt.Check(t, (m.Forecast(run, 1).End - m.Forecast(run, 1).Begin).Round(time.Millisecond), qt.Equals, 1600*time.Millisecond)
	for i := range 200 {
		load := float64(i % 16)
		m.Learn(Run{Tokens: 100, Load: load}, Seen{Begin: 30 * time.Millisecond, Gap: 20*time.Millisecond + time.Duration(load*float64(time.Millisecond))}, 1)
	}
	calm := m.Forecast(run, 1)
	run.Load = 16
	full := m.Forecast(run, 1)
	qt.Check(t, (calm.End-calm.Begin)/time.Millisecond > 800, qt.IsTrue, qt.Commentf("%+v", calm))
	qt.Check(t, (calm.End-calm.Begin)/time.Millisecond < 900, qt.IsTrue, qt.Commentf("%+v", calm))
	qt.Check(t, (full.End-full.Begin)/time.Millisecond > 1300, qt.IsTrue, qt.Commentf("%+v", full))
}

// TestSlownessFades guards against an endpoint that is never tried again because it was slow once.
func TestSlownessFades(t *testing.T) {
	var s Slowness
	qt.Check(t, s.Ratio(start), qt.Equals, 1.0)
	s.Learn(10*time.Second, 100*time.Millisecond, start)
	qt.Check(t, s.Ratio(start) < 2, qt.IsTrue, qt.Commentf("%v after one run that hung", s.Ratio(start)))
	for range 20 {
		s.Learn(400*time.Millisecond, 100*time.Millisecond, start)
	}
	qt.Check(t, s.Ratio(start) > 3.5, qt.IsTrue, qt.Commentf("%v", s.Ratio(start)))
	qt.Check(t, s.Ratio(start.Add(20*time.Second)) < 1.3, qt.IsTrue, qt.Commentf("%v", s.Ratio(start.Add(20*time.Second))))
}

// BenchmarkLearn measures what one run takes the goroutine that owns the model.
func BenchmarkLearn(b *testing.B) {
	e := newEngines(patterns[0])
	for b.Loop() {
		e.model.Learn(Run{Tokens: 900, Load: 3}, Seen{Begin: 80 * time.Millisecond, Gap: 20 * time.Millisecond}, 1)
	}
}
