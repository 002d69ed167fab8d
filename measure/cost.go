package main

import (
	"fmt"
	"math/rand/v2"

	"cornelmux/internal/cascade"
)

const (
	// costRequests is the number of simulated requests.
	costRequests = 200_000
	// costSeed is the seed of the random numbers.
	costSeed = 6
	// costQualityTarget is the rating, 0 to 1, from which an answer passes.
	costQualityTarget = 0.8
	// costExploreShare is the share of requests that the learned policy starts at a random level below the last, as the cascade
	// controller does to keep its estimates current.
	costExploreShare = 0.01
	// costTokensPerAnswer is the length of every simulated answer.
	costTokensPerAnswer = 200
)

// costPrices are the prices per token of a small, a middle and a large model.
var costPrices = []float64{1, 4, 15}

// costPassChances are the chances that an answer of each level passes, by phase. In the second phase the small model is bad.
var costPassChances = [][]float64{{0.85, 0.93, 1}, {0.1, 0.9, 1}}

// difficulty is how hard a request is, evenly distributed from 0 to 1. An answer passes at a level whose chance is greater, so
// that a request which fails at a cheap level is more likely than others to fail at the next one too.
type difficulty float64

func (d difficulty) passes(chance float64) bool { return float64(d) < chance }

// policy plans one request and learns from the outcomes.
type policy interface {
	plan() []cascade.Step
	learn(o cascade.Outcome)
}

// fixedPolicy plans the same steps for every request.
type fixedPolicy struct{ steps []cascade.Step }

func (p fixedPolicy) plan() []cascade.Step  { return p.steps }
func (p fixedPolicy) learn(cascade.Outcome) {}

// learnedPolicy plans and learns as the cascade controller does.
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
	in := cascade.PlanInput{Levels: p.levels, Idempotent: true, RatingAvailable: true, Explore: cascade.NoLevel}
	if p.random.Float64() < costExploreShare {
		in.Explore = p.random.IntN(len(p.levels) - 1)
	}
	return cascade.BuildPlan(in).Steps
}

func (p *learnedPolicy) learn(o cascade.Outcome) {
	p.levels[o.Level] = cascade.Learn(p.levels[o.Level], o)
}

// costTally sums up what a policy cost, in price times tokens, and counts the answers that didn't pass.
type costTally struct {
	cost        float64
	belowTarget int
}

// simulate runs requests through the policy, phase after phase. Every policy gets the same requests.
func simulate(p policy) costTally {
	random := rand.New(rand.NewPCG(costSeed, 2))
	var t costTally
	for _, chances := range costPassChances {
		for range costRequests / len(costPassChances) {
			t.runRequest(p, chances, difficulty(random.Float64()))
		}
	}
	return t
}

// runRequest carries out the steps planned for one request until an answer passes or isn't rated. simulate calls it.
func (t *costTally) runRequest(p policy, chances []float64, d difficulty) {
	for i, step := range p.plan() {
		t.cost += costPrices[step.Level] * costTokensPerAnswer
		passed := d.passes(chances[step.Level])
		o := cascade.Outcome{Level: step.Level, Escalated: i > 0, Tokens: costTokensPerAnswer}
		if step.Rate {
			o.Rating = cascade.EvaluateRating(map[bool]float64{true: 1, false: 0}[passed], nil, costQualityTarget)
		}
		p.learn(o)
		if passed || !step.Rate {
			if !passed {
				t.belowTarget++
			}
			return
		}
	}
}

// measureCost compares the cost of the learned policy with that of fixed ones. The best fixed policy is the cheapest whose
// answers all pass.
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
	bestCost := 0.0
	for _, f := range fixed {
		t := simulate(fixedPolicy{f.steps})
		lines = append(lines, costLine(f.name, t), belowLine(f.name, t, "none"))
		if t.belowTarget == 0 && (bestCost == 0 || t.cost < bestCost) {
			bestCost = t.cost
		}
	}
	if bestCost == 0 {
		return lines, fmt.Errorf("no fixed choice keeps the target")
	}
	return append(lines, costLine("learned", learned), belowLine("learned", learned, "<= 0"),
		Line{"cost_learned_over_best_fixed", learned.cost / bestCost, "ratio", "<= 1.05"}), nil
}

// costLine gives the mean cost of a request.
func costLine(name string, t costTally) Line {
	return Line{"cost_" + name, t.cost / costRequests / 1000, "units/request", "none"}
}

// belowLine gives the share of answers that didn't pass.
func belowLine(name string, t costTally, target string) Line {
	return Line{"cost_" + name + "_below_target", float64(t.belowTarget) / costRequests, "share", target}
}
