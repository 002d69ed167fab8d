package main

import (
	"fmt"
	"math/rand/v2"

	"cornelmux/internal/cascade"
)

const (
	costRequests = 200_000
	costSeed     = 6
	costTarget   = 0.8
	// costExplore is the share of requests that the controller starts elsewhere.
	costExplore = 0.01
	costTokens  = 200
)

// costPrices are those of a small, a middle and a large model.
var costPrices = []float64{1, 4, 15}

// costPhases are the chances that an answer of each level passes; the small model turns bad halfway.
var costPhases = [][]float64{{0.85, 0.93, 1}, {0.1, 0.9, 1}}

// difficulty draws how hard a request is; an answer passes at a level whose chance is above it, so that a request
// which fails at a cheap level is harder than most for the next one too.
type difficulty float64

func (d difficulty) passes(chance float64) bool { return float64(d) < chance }

// policy plans one request, and learns from each outcome.
type policy interface {
	plan() []cascade.Step
	learn(o cascade.Outcome)
}

// fixedPolicy takes the same levels for every request.
type fixedPolicy struct{ steps []cascade.Step }

func (p fixedPolicy) plan() []cascade.Step  { return p.steps }
func (p fixedPolicy) learn(cascade.Outcome) {}

// learnedPolicy plans as the controller of cascades does.
type learnedPolicy struct {
	levels []cascade.Level
	random *rand.Rand
}

func newLearnedPolicy() *learnedPolicy {
	p := &learnedPolicy{random: rand.New(rand.NewPCG(costSeed, 1))}
	for _, price := range costPrices {
		p.levels = append(p.levels, cascade.Level{Usable: true, Price: price})
	}
	return p
}

func (p *learnedPolicy) plan() []cascade.Step {
	s := cascade.PlanInput{Levels: p.levels, Idempotent: true, RatingAvailable: true, Explore: cascade.NoLevel}
	if p.random.Float64() < costExplore {
		s.Explore = p.random.IntN(len(p.levels) - 1)
	}
	return cascade.BuildPlan(s).Steps
}

func (p *learnedPolicy) learn(o cascade.Outcome) {
	p.levels[o.Level] = cascade.Learn(p.levels[o.Level], o)
}

// tally is what a policy cost, and how many answers fell below the target.
type costTally struct {
	cost  float64
	below int
}

// simulate runs the same seeded requests through the policy, first the requests of one phase, then those of the next.
func simulate(p policy) costTally {
	random := rand.New(rand.NewPCG(costSeed, 2))
	var t costTally
	for _, chances := range costPhases {
		for range costRequests / len(costPhases) {
			t.answer(p, chances, difficulty(random.Float64()))
		}
	}
	return t
}

func (t *costTally) answer(p policy, chances []float64, d difficulty) {
	for i, step := range p.plan() {
		t.cost += costPrices[step.Level] * costTokens
		passed := d.passes(chances[step.Level])
		o := cascade.Outcome{Level: step.Level, Escalated: i > 0, Tokens: costTokens}
		if step.Rate {
			o.Rating = cascade.EvaluateRating(map[bool]float64{true: 1, false: 0}[passed], nil, costTarget)
		}
		p.learn(o)
		if passed || !step.Rate {
			if !passed {
				t.below++
			}
			return
		}
	}
}

func measureCost() ([]Line, error) {
	fixed := []struct {
		name  string
		steps []cascade.Step
	}{
		{"always_small", []cascade.Step{{Level: 0}}},
		{"always_large", []cascade.Step{{Level: 2}}},
		{"small_large", []cascade.Step{{Level: 0, Rate: true}, {Level: 2}}},
		{"middle_large", []cascade.Step{{Level: 1, Rate: true}, {Level: 2}}},
		{"small_middle_large", []cascade.Step{{Level: 0, Rate: true}, {Level: 1, Rate: true}, {Level: 2}}},
	}
	learned := simulate(newLearnedPolicy())
	var lines []Line
	best := 0.0
	for _, f := range fixed {
		t := simulate(fixedPolicy{f.steps})
		lines = append(lines, costLine(f.name, t), belowLine(f.name, t, "none"))
		if t.below == 0 && (best == 0 || t.cost < best) {
			best = t.cost
		}
	}
	if best == 0 {
		return lines, fmt.Errorf("no fixed choice keeps the target")
	}
	return append(lines, costLine("learned", learned), belowLine("learned", learned, "<= 0"),
		Line{"cost_learned_over_best_fixed", learned.cost / best, "ratio", "<= 1.05"}), nil
}

func costLine(name string, t costTally) Line {
	return Line{"cost_" + name, t.cost / costRequests / 1000, "units/request", "none"}
}

func belowLine(name string, t costTally, target string) Line {
	return Line{"cost_" + name + "_below_target", float64(t.below) / costRequests, "share", target}
}
