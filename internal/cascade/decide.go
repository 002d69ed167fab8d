package cascade

import "slices"

// Windows and priors of the estimates.
const (
	// ratingWindow is the effective number of ratings in the counts; older ones decay.
	ratingWindow = 64
	// priorPassed and priorRated are numbers of ratings added to the counts, one passed of two, so that a few ratings
	// do not decide alone.
	priorPassed = 1
	priorRated  = 2
	// tokenWindow is the effective number of answers in the mean length.
	tokenWindow = 64
)

// Requirements on a level whose answers pass without a rating if the cascade allows that.
const (
	// unratedMinPassProbability is the least estimated probability, 0 to 1, that an answer meets the target.
	unratedMinPassProbability = 0.9
	// unratedMinRatings is the least number of decayed ratings that the estimate needs.
	unratedMinRatings = 20
)

// RatingCounts holds exponentially decayed counts of ratings. Passed is at most Rated.
type RatingCounts struct {
	Passed float64
	Rated  float64
}

// Add returns the counts with one more rating.
func (t RatingCounts) Add(passed bool) RatingCounts {
	const keep = 1 - 1.0/ratingWindow
	t.Passed *= keep
	t.Rated = t.Rated*keep + 1
	if passed {
		t.Passed++
	}
	return t
}

// PassProbability estimates the probability that the next answer meets the quality target.
func (t RatingCounts) PassProbability() float64 {
	return (t.Passed + priorPassed) / (t.Rated + priorRated)
}

// Level holds the data and estimates of one level of a cascade for a client account.
type Level struct {
	Model string
	// Usable reports that the client account may use a version of Model that is in service.
	Usable bool
	// Price is the cost of 1,000 tokens, in the operator's currency.
	Price float64
	// Direct counts the ratings of requests that had no answer dropped before, Escalated those of requests whose answer
	// at a level below was dropped.
	Direct    RatingCounts
	Escalated RatingCounts
	// Tokens is the moving mean of the tokens that endpoints reported per answer; 0 if there was none yet.
	Tokens float64
}

// cost returns 1,000 times the expected cost of an answer, since Price is for 1,000 tokens; only comparisons use it.
// fallbackTokens is the length assumed for a level without answers.
func (l Level) cost(fallbackTokens float64) float64 {
	if l.Tokens == 0 {
		return l.Price * fallbackTokens
	}
	return l.Price * l.Tokens
}

// meanTokens returns the mean number of tokens over the levels that have answered, or 1. CheapestStart calls it.
func meanTokens(levels []Level) float64 {
	sum, n := 0.0, 0.0
	for _, l := range levels {
		if l.Tokens > 0 {
			sum += l.Tokens
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// escalatedPassProbability estimates the probability for a request whose answer at a level below was dropped; without
// such ratings it returns the estimate for a request that had none dropped.
func (l Level) escalatedPassProbability() float64 {
	if l.Escalated.Rated == 0 {
		return l.Direct.PassProbability()
	}
	return l.Escalated.PassProbability()
}

// PlanInput holds what a plan depends on. Levels, Idempotent and AllowUnrated are those of the Query.
type PlanInput struct {
	Levels       []Level
	Idempotent   bool
	AllowUnrated bool
	// RatingAvailable reports that the rating service answers.
	RatingAvailable bool
	// Explore is the level to start at instead of the cheapest, or NoLevel.
	Explore int
}

// NoLevel stands for no level.
const NoLevel = -1

// Step runs one level, given by its index from 0 in the cascade's levels. If Rate is set, its answer is buffered and
// passes only with a rating that meets the target, or without a rating if the cascade allows that.
type Step struct {
	Level int
	Rate  bool
}

// Plan lists the steps of a request, to be tried in order until one passes.
type Plan struct {
	Steps []Step
	// Sample asks for the rating of an answer after it was passed on without one.
	Sample bool
}

// BuildPlan plans a request; the Controller calls it for each. The answer of the last level passes without a rating,
// since the operator defines that level as the reference. The answer of any other level is rated first, unless the
// cascade allows unrated answers and the rating service is unavailable or the request is non-idempotent, so that it can
// run only once. If it allows none, only the last level runs in these two cases.
func BuildPlan(s PlanInput) Plan {
	if s.RatingAvailable && s.Idempotent {
		return ratedPlan(s)
	}
	last := len(s.Levels) - 1
	if !s.AllowUnrated {
		return Plan{Steps: []Step{{Level: last}}}
	}
	var steps []Step
	for i := unratedStart(s.Levels); i <= last; i++ {
		if s.Levels[i].Usable || i == last {
			steps = append(steps, Step{Level: i})
		}
	}
	return Plan{Steps: steps}
}

// ratedPlan returns the plan of an idempotent request while ratings are available. BuildPlan calls it. The plan goes up
// from the start level. The levels that this path leaves out follow, strongest first, as a fallback.
func ratedPlan(s PlanInput) Plan {
	last := len(s.Levels) - 1
	start, next := CheapestStart(s.Levels)
	if s.Explore != NoLevel && s.Levels[s.Explore].Usable {
		start = s.Explore
	}
	if start == NoLevel {
		return Plan{Steps: []Step{{Level: last}}}
	}
	var steps []Step
	planned := func(i int) bool {
		return slices.ContainsFunc(steps, func(p Step) bool { return p.Level == i })
	}
	for i := start; i != NoLevel; i = next[i] {
		steps = append(steps, Step{Level: i, Rate: i != last})
	}
	for i := last; i >= 0; i-- {
		if s.Levels[i].Usable && !planned(i) {
			steps = append(steps, Step{Level: i, Rate: i != last})
		}
	}
	return Plan{Steps: steps}
}

// CheapestStart returns the level with the least expected cost if answers are rated, and for each level the next one if
// its answer fails, or NoLevel. Each path ends at the strongest usable level, so that the quality target is kept.
// ratedPlan calls it.
func CheapestStart(levels []Level) (start int, next []int) {
	start = NoLevel
	next = make([]int, len(levels))
	// above is the level at which a request goes on if its answer at level i fails: of the usable levels above i the one
	// with the least expected cost, so others may be skipped. aboveCost is the expected cost from there to the end; 0 if
	// there is none.
	above, aboveCost := NoLevel, 0.0
	startCost := 0.0
	fallbackTokens := meanTokens(levels)
	for i := len(levels) - 1; i >= 0; i-- {
		next[i] = above
		if !levels[i].Usable {
			continue
		}
		direct := levels[i].cost(fallbackTokens) + (1-levels[i].Direct.PassProbability())*aboveCost
		escalated := levels[i].cost(fallbackTokens) + (1-levels[i].escalatedPassProbability())*aboveCost
		if start == NoLevel || direct <= startCost {
			start, startCost = i, direct
		}
		if above == NoLevel || escalated <= aboveCost {
			above, aboveCost = i, escalated
		}
	}
	return start, next
}

// unratedStart returns the lowest usable level with enough ratings and a high enough pass probability, or the last
// level.
func unratedStart(levels []Level) int {
	for i, l := range levels {
		if l.Usable && l.Direct.Rated >= unratedMinRatings && l.Direct.PassProbability() >= unratedMinPassProbability {
			return i
		}
	}
	return len(levels) - 1
}

// Outcome describes the result of running one level. Level is its index from 0 in the cascade's levels.
type Outcome struct {
	Key     Key
	Level   int
	Model   string
	Version string
	// Escalated reports that an answer of a level below was dropped, because its rating was missing or below the
	// target.
	Escalated bool
	// Tokens is the number of tokens that the endpoint reported; 0 if there was no answer or it was counted before.
	Tokens int
	Rating RatingResult
}

// RatingResult compares an answer's rating with the quality target.
type RatingResult int

// The values of RatingResult.
const (
	// RatingNone means that the rating service was not asked.
	RatingNone RatingResult = iota
	// RatingPassed means that the rating met the target.
	RatingPassed
	// RatingFailed means that the rating was below the target.
	RatingFailed
	// RatingMissing means that the rating service was asked and returned no usable rating.
	RatingMissing
)

// Learn returns the level with its estimates updated by the outcome. The Controller calls it for each outcome. Only a
// usable rating changes the tallies.
func Learn(l Level, o Outcome) Level {
	if o.Tokens > 0 && l.Tokens == 0 {
		l.Tokens = float64(o.Tokens)
	} else if o.Tokens > 0 {
		l.Tokens += (float64(o.Tokens) - l.Tokens) / tokenWindow
	}
	if o.Rating != RatingPassed && o.Rating != RatingFailed {
		return l
	}
	passed := o.Rating == RatingPassed
	if o.Escalated {
		l.Escalated = l.Escalated.Add(passed)
	} else {
		l.Direct = l.Direct.Add(passed)
	}
	return l
}
