package cascade

import "slices"

// Decay and priors of the estimates.
const (
	// tallyWindow is how many ratings a tally remembers in effect.
	tallyWindow = 64
	priorPassed = 1
	priorRated  = 2
	// tokenWindow is how many answers the mean length remembers in effect.
	tokenWindow = 64
)

// Bounds on a level whose answers pass without a rating where the cascade allows that.
const (
	unratedMinPassProbability = 0.9
	unratedMinRatings         = 20
)

// Tally holds decayed counts of ratings, so that old ones fade.
type Tally struct {
	Passed float64
	Rated  float64
}

// Add returns the tally with one more rating.
func (t Tally) Add(passed bool) Tally {
	const keep = 1 - 1.0/tallyWindow
	t.Passed *= keep
	t.Rated = t.Rated*keep + 1
	if passed {
		t.Passed++
	}
	return t
}

// PassProbability estimates the chance that the next answer passes.
func (t Tally) PassProbability() float64 { return (t.Passed + priorPassed) / (t.Rated + priorRated) }

// Level is what is known of one level of a cascade for a client account.
type Level struct {
	Model string
	// Usable says that the client account may use a version of Model that is in service.
	Usable bool
	// Price is the cost of a thousand tokens.
	Price float64
	// Direct counts ratings of requests that started at the level, Climbed those that failed at a level below.
	Direct    Tally
	Escalated Tally
	// Tokens is the mean length of an answer; 0 where none was seen.
	Tokens float64
}

// cost is the expected cost of an answer; usual is the length that a level without answers is taken to have.
func (l Level) cost(fallbackTokens float64) float64 {
	if l.Tokens == 0 {
		return l.Price * fallbackTokens
	}
	return l.Price * l.Tokens
}

// meanTokens is the mean length over the levels that have answered.
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

// escalatedPassProbability is the estimate for a request that failed below; without such ratings it is the estimate for any request.
func (l Level) escalatedPassProbability() float64 {
	if l.Escalated.Rated == 0 {
		return l.Direct.PassProbability()
	}
	return l.Escalated.PassProbability()
}

// PlanInput is what a plan depends on.
type PlanInput struct {
	Levels       []Level
	Idempotent   bool
	AllowUnrated bool
	// RatingAvailable says that the rating service answers.
	RatingAvailable bool
	// Explore is the level to start at in place of the cheapest, or NoLevel.
	Explore int
}

// NoLevel stands for no level.
const NoLevel = -1

// Step runs one level. With Rate its answer is held back, and passes only with a rating that meets the target.
type Step struct {
	Level int
	Rate  bool
}

// Plan lists the steps of a request, to be taken in turn until one passes.
type Plan struct {
	Steps []Step
	// Sample asks for a rating of an answer that passed without one, after it was passed on.
	Sample bool
}

// BuildPlan plans a request. The last level of a cascade is the operator's reference: its answer passes without a rating.
// Any other level's answer is rated first, unless the cascade allows unrated answers and the rating service is out of
// reach or the request, being non-idempotent, can run only once.
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

// ratedPlan goes up from the start level; the levels that it left out follow, strongest first, for when those fail.
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

// CheapestStart returns the level with the least expected cost for answers that are rated, and for each level the one to
// go on with when its answer fails. Every path ends at the strongest usable level, so that the target is kept.
func CheapestStart(levels []Level) (start int, next []int) {
	start = NoLevel
	next = make([]int, len(levels))
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

// unratedStart returns the cheapest usable level that passed nearly always so far, or the last level.
func unratedStart(levels []Level) int {
	for i, l := range levels {
		if l.Usable && l.Direct.Rated >= unratedMinRatings && l.Direct.PassProbability() >= unratedMinPassProbability {
			return i
		}
	}
	return len(levels) - 1
}

// Outcome is what came of one run of a level.
type Outcome struct {
	Key     Key
	Level   int
	Model   string
	Version string
	// Escalated says that the request had failed at a level below.
	Escalated bool
	// Tokens is the length of the answer; 0 where there was none.
	Tokens int
	Rating RatingResult
}

// RatingResult is what the rating service said of an answer.
type RatingResult int

// The values of Verdict.
const (
	// RatingNone means that the rating service was not asked.
	RatingNone RatingResult = iota
	RatingPassed
	RatingFailed
	// RatingMissing means that the rating service was asked and gave no usable rating.
	RatingMissing
)

// Learn returns the level with the outcome taken in.
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
