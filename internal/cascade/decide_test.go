package cascade

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cornelmux/internal/rapidtest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, so that each run checks the same cases.
func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Settings{Seed: 6, Checks: 2000}) }

func drawLevel(t *rapid.T) Level {
	rated := rapid.Float64Range(0, ratingWindow).Draw(t, "rated")
	escalated := rapid.SampledFrom([]float64{0, 10}).Draw(t, "escalated")
	return Level{
		Usable: rapid.Bool().Draw(t, "usable"), Price: rapid.Float64Range(0, 10).Draw(t, "price"),
		Direct:    RatingCounts{rated * rapid.Float64Range(0, 1).Draw(t, "passed"), rated},
		Tokens:    rapid.SampledFrom([]float64{0, 50, 400}).Draw(t, "tokens"),
		Escalated: RatingCounts{escalated * rapid.Float64Range(0, 1).Draw(t, "escalated passed"), escalated},
	}
}

// TestBuildPlanRatesEveryAnswerUnlessUnratedIsAllowed guards against plans that pass an answer below the target, or
// that wait for a rating that cannot come.
func TestBuildPlanRatesEveryAnswerUnlessUnratedIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := PlanInput{
			Levels:     rapid.SliceOfN(rapid.Custom(drawLevel), 1, 5).Draw(t, "levels"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), AllowUnrated: rapid.Bool().Draw(t, "allow"),
			RatingAvailable: rapid.Bool().Draw(t, "up"), Explore: NoLevel,
		}
		if len(s.Levels) > 1 && rapid.Bool().Draw(t, "explore") {
			s.Explore = rapid.IntRange(0, len(s.Levels)-2).Draw(t, "level")
		}
		last := len(s.Levels) - 1
		seen := map[int]bool{}
		plan := BuildPlan(s)
		if len(plan.Steps) == 0 {
			t.Fatal("the plan has no step")
		}
		for _, step := range plan.Steps {
			if !step.Rate && step.Level != last && !s.AllowUnrated {
				t.Fatalf("unrated level %d in %+v", step.Level, plan)
			}
			if step.Rate && (!s.RatingAvailable || !s.Idempotent) {
				t.Fatalf("waits for a rating in %+v", plan)
			}
			if !s.Levels[step.Level].Usable && step.Level != last {
				t.Fatalf("unusable level %d in %+v", step.Level, plan)
			}
			if seen[step.Level] {
				t.Fatalf("level %d twice in %+v", step.Level, plan)
			}
			seen[step.Level] = true
		}
	})
}

// leastCost returns the least expected cost from level i over all paths up; direct says that the request starts there.
func leastCost(levels []Level, i int, direct bool) float64 {
	above := math.Inf(1)
	for j := i + 1; j < len(levels); j++ {
		if levels[j].Usable {
			above = min(above, leastCost(levels, j, false))
		}
	}
	if math.IsInf(above, 1) {
		above = 0
	}
	chance := levels[i].escalatedPassProbability()
	if direct {
		chance = levels[i].Direct.PassProbability()
	}
	return levels[i].cost(meanTokens(levels)) + (1-chance)*above
}

// TestCheapestStartHasTheLeastExpectedCost compares CheapestStart with an exhaustive search.
func TestCheapestStartHasTheLeastExpectedCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		levels := rapid.SliceOfN(rapid.Custom(drawLevel), 1, 5).Draw(t, "levels")
		start, _ := CheapestStart(levels)
		best := math.Inf(1)
		for i := range levels {
			if levels[i].Usable {
				best = min(best, leastCost(levels, i, true))
			}
		}
		if start == NoLevel {
			if !math.IsInf(best, 1) {
				t.Fatal("no start although a level is usable")
			}
			return
		}
		if got := leastCost(levels, start, true); math.Abs(got-best) > 1e-9 {
			t.Fatalf("start %d costs %v, the best %v", start, got, best)
		}
	})
}

// TestBuildPlan checks the plans of a cascade with a cheap and a strong level.
func TestBuildPlan(t *testing.T) {
	alwaysPasses := RatingCounts{60, 60}
	neverPasses := RatingCounts{0, 60}
	cheap := Level{Usable: true, Price: 1}
	strong := Level{Usable: true, Price: 10}
	with := func(l Level, t RatingCounts) Level {
		l.Direct = t
		return l
	}
	rows := []struct {
		name string
		s    PlanInput
		want []Step
	}{
		{"cheap first", PlanInput{Levels: []Level{with(cheap, alwaysPasses), strong}, Idempotent: true, RatingAvailable: true, Explore: NoLevel}, []Step{{0, true}, {1, false}}},
		{"strong first if cheap never passes", PlanInput{Levels: []Level{with(cheap, neverPasses), strong}, Idempotent: true, RatingAvailable: true, Explore: NoLevel}, []Step{{1, false}, {0, true}}},
		{"exploration starts at cheap", PlanInput{Levels: []Level{with(cheap, neverPasses), strong}, Idempotent: true, RatingAvailable: true, Explore: 0}, []Step{{0, true}, {1, false}}},
		{"no rating service", PlanInput{Levels: []Level{with(cheap, alwaysPasses), strong}, Idempotent: true, Explore: NoLevel}, []Step{{Level: 1}}},
		{"no rating service, unrated allowed", PlanInput{Levels: []Level{with(cheap, alwaysPasses), strong}, Idempotent: true, AllowUnrated: true, Explore: NoLevel}, []Step{{Level: 0}, {Level: 1}}},
		{"no rating service, unrated allowed, nothing learned", PlanInput{Levels: []Level{cheap, strong}, Idempotent: true, AllowUnrated: true, Explore: NoLevel}, []Step{{Level: 1}}},
		{"non-idempotent", PlanInput{Levels: []Level{with(cheap, alwaysPasses), strong}, RatingAvailable: true, Explore: NoLevel}, []Step{{Level: 1}}},
		{"strong out of service", PlanInput{Levels: []Level{cheap, {Price: 10}}, Idempotent: true, RatingAvailable: true, Explore: NoLevel}, []Step{{0, true}}},
		{"nothing in service", PlanInput{Levels: []Level{{}, {}}, Idempotent: true, RatingAvailable: true, Explore: NoLevel}, []Step{{Level: 1}}},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) { c.Assert(BuildPlan(row.s).Steps, qt.DeepEquals, row.want) })
	}
}

// TestLearnedStartFollowsDrift guards against estimates that never recover: the start level must follow the cheap
// level's pass rate down and up again.
func TestLearnedStartFollowsDrift(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(6, 6))
	levels := []Level{{Usable: true, Price: 1}, {Usable: true, Price: 10}}
	phases := []struct {
		passes float64
		want   int
	}{{0.9, 0}, {0.02, 1}, {0.9, 0}}
	const requests = 20_000
	for _, phase := range phases {
		for range requests {
			s := PlanInput{Levels: levels, Idempotent: true, RatingAvailable: true, Explore: NoLevel}
			if random.Float64() < exploreShare {
				s.Explore = 0
			}
			if first := BuildPlan(s).Steps[0]; first.Rate {
				ratingResult := EvaluateRating(random.Float64(), nil, 1-phase.passes)
				levels[0] = Learn(levels[0], Outcome{Rating: ratingResult, Tokens: 100})
			}
		}
		start, _ := CheapestStart(levels)
		c.Assert(start, qt.Equals, phase.want, qt.Commentf("passes %v: %+v", phase.passes, levels[0]))
	}
}

// TestBreaker checks when the breaker opens, when probes are due and that failures double the backoff.
func TestBreaker(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	var b Breaker
	for range breakerThreshold {
		c.Assert(b.Closed(), qt.IsTrue)
		c.Assert(b.ProbeDue(now.Add(time.Hour)), qt.IsFalse)
		b = b.AfterRating(false, now)
	}
	rows := []struct {
		name   string
		after  time.Duration
		probed bool
		due    bool
	}{
		{"opens", 0, false, false},
		{"probe after the backoff", minProbeBackoff, false, true},
		{"one probe at a time", minProbeBackoff, true, false},
		{"next probe after another backoff", 2 * minProbeBackoff, true, true},
	}
	for _, row := range rows {
		got := b
		if row.probed {
			got = got.AfterProbe(now.Add(minProbeBackoff))
		}
		c.Check(got.Closed(), qt.IsFalse, qt.Commentf(row.name))
		c.Check(got.ProbeDue(now.Add(row.after)), qt.Equals, row.due, qt.Commentf(row.name))
	}
	c.Assert(b.AfterRating(false, now).Backoff, qt.Equals, 2*minProbeBackoff)
	c.Assert(b.AfterRating(true, now), qt.Equals, Breaker{})
}

// TestParseRating checks that only a rating from 0 to 1 for the same request is accepted.
func TestParseRating(t *testing.T) {
	rows := []struct {
		name   string
		body   string
		rating float64
		ok     bool
	}{
		{"good", `{"request_id":"r","rating":0.5}`, 0.5, true},
		{"zero", `{"request_id":"r","rating":0}`, 0, true},
		{"absent", `{"request_id":"r"}`, 0, false},
		{"null", `{"request_id":"r","rating":null}`, 0, false},
		{"another request", `{"request_id":"s","rating":0.9}`, 0, false},
		{"above one", `{"request_id":"r","rating":1.01}`, 0, false},
		{"below zero", `{"request_id":"r","rating":-0.01}`, 0, false},
		{"infinite", `{"request_id":"r","rating":1e999}`, 0, false},
		{"not a number", `{"request_id":"r","rating":NaN}`, 0, false},
		{"text", `{"request_id":"r","rating":"0.9"}`, 0, false},
		{"cut off", `{"request_id":"r","rating":0.`, 0, false},
		{"two answers", `{"request_id":"r","rating":1}{"request_id":"r","rating":1}`, 0, false},
		{"empty", ``, 0, false},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			rating, err := parseRating([]byte(row.body), "r")
			c.Assert(err == nil, qt.Equals, row.ok, qt.Commentf("%v", err))
			c.Assert(rating, qt.Equals, row.rating)
		})
	}
}

// TestEvaluateRating checks ratings around the target and unusable ones.
func TestEvaluateRating(t *testing.T) {
	rows := []struct {
		name   string
		rating float64
		err    error
		want   RatingResult
	}{
		{"at the target", 0.8, nil, RatingPassed},
		{"below", 0.79, nil, RatingFailed},
		{"no answer", 0.9, errors.New("timeout"), RatingMissing},
		{"not a number", math.NaN(), nil, RatingMissing},
		{"above one", 1.5, nil, RatingMissing},
	}
	for _, row := range rows {
		qt.Check(t, EvaluateRating(row.rating, row.err, 0.8), qt.Equals, row.want, qt.Commentf(row.name))
	}
}
