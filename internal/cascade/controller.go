package cascade

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

const (
	// mailboxSize is the maximum number of messages that wait for the Controller; task.Tell fails beyond it.
	mailboxSize = 4096
	// maxKeys bounds how many cascades of client accounts estimates are kept for; the oldest are dropped.
	maxKeys = 20_000
	// maxSamples bounds the requests to the rating service that run at once for answers already passed on.
	maxSamples = 32
	// exploreShare is the share of requests, 0 to 1, that start at a random level below the last, to keep the estimates
	// current.
	exploreShare = 0.01
	// sampleShare is the share, 0 to 1, of answers passed on without a rating that are rated afterwards.
	sampleShare = 0.02
)

// Rater rates an answer from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, requestID, prompt, answer string) (float64, error)
}

// Evidence records whether a version's answer met the quality target. It must not block.
type Evidence interface {
	CountRating(model, version string, passed bool)
}

// Key identifies a cascade of a client account.
type Key struct {
	Account string
	Cascade string
}

// Query asks for the plan of a request. The caller sets each level's Model, Usable and Price, the Controller adds the
// estimates. Idempotent says that the request may run more than once, AllowUnrated that the cascade accepts answers
// without a rating.
type Query struct {
	Key          Key
	Levels       []Level
	Idempotent   bool
	AllowUnrated bool
}

// Sample is an answer that was passed on without a rating.
type Sample struct {
	Outcome Outcome
	// Target is the cascade's quality target, 0 to 1.
	Target    float64
	RequestID string
	Prompt    string
	Answer    string
}

// Controller owns the estimates for each client account's cascades and the breaker of the rating service.
type Controller struct {
	mailbox  chan message
	rater    Rater
	evidence Evidence
	log      logr.Logger
	random   *rand.Rand
	// levels holds the estimates of the levels of each cascade, from the cheapest.
	levels map[Key][]Level
	// keys lists the keys of levels in the order in which they were added.
	keys    []Key
	breaker Breaker
	// activeSamples counts the child tasks that rate a sample.
	activeSamples int
}

// New returns a Controller; Run starts it. With a nil rater no answer is rated. evidence may be nil.
func New(rater Rater, evidence Evidence, seed uint64, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), rater: rater, evidence: evidence, log: log,
		random: rand.New(rand.NewPCG(seed, seed)), levels: map[Key][]Level{},
	}
}

// message is handled in Run, which owns the state; start runs a child task.
type message interface {
	handle(c *Controller, start startFunc)
}

// startFunc starts f as a child task of Run, whose end Run waits for.
type startFunc func(name string, f func(context.Context) error)

type (
	planMessage struct {
		query Query
		reply chan<- Plan
	}
	observeMessage struct{ outcome Outcome }
	sampleMessage  struct{ sample Sample }
	levelsMessage  struct {
		key   Key
		reply chan<- []Level
	}
)

// Run handles messages until ctx ends, and then waits for the child tasks. The entry VM runs it as a task.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, maxSamples)
	start := func(name string, f func(context.Context) error) {
		c.activeSamples++
		task.Start(ctx, name, ends, f)
	}
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c, start)
		case end := <-ends:
			c.activeSamples--
			if end.Err != nil {
				c.log.V(1).Info("rating failed", "error", end.Err.Error())
			}
		case <-ctx.Done():
			return task.Stop(cancel, ends, c.activeSamples)
		}
	}
}

// Plan implements filter.Planner. Filter Cascade calls it once for each chat request that names a cascade; if it fails,
// only the last level is run.
func (c *Controller) Plan(ctx context.Context, q Query) (Plan, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Plan) message { return planMessage{q, reply} })
}

// Observe implements filter.Planner. Filter Cascade calls it after each level that answered, and rateSample once a
// sample is rated.
func (c *Controller) Observe(o Outcome) error {
	return task.Tell(c.mailbox, message(observeMessage{o}))
}

// Sample implements filter.Planner. Filter Cascade calls it after an answer that the plan samples.
func (c *Controller) Sample(s Sample) error { return task.Tell(c.mailbox, message(sampleMessage{s})) }

// Levels returns the estimates for a client account's cascade. Only tests call it.
func (c *Controller) Levels(ctx context.Context, k Key) ([]Level, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- []Level) message { return levelsMessage{k, reply} })
}

// handle adds the estimates to the levels of the query and replies with the plan. The plan asks for a sample at random,
// or if a probe of the rating service is due. Plan sends the message.
func (m planMessage) handle(c *Controller, _ startFunc) {
	levels := c.learnedLevels(m.query)
	s := PlanInput{
		Levels: levels, Idempotent: m.query.Idempotent, AllowUnrated: m.query.AllowUnrated,
		RatingAvailable: c.rater != nil && c.breaker.Closed(), Explore: NoLevel,
	}
	if len(levels) > 1 && c.random.Float64() < exploreShare {
		s.Explore = c.random.IntN(len(levels) - 1)
	}
	plan := BuildPlan(s)
	plan.Sample = c.rater != nil && (c.breaker.ProbeDue(time.Now()) || c.random.Float64() < sampleShare)
	m.reply <- plan
}

// learnedLevels returns the levels of the query with their estimates and stores them. A level whose model was replaced
// starts without estimates. planMessage calls it.
func (c *Controller) learnedLevels(q Query) []Level {
	old, known := c.levels[q.Key]
	levels := make([]Level, len(q.Levels))
	for i, l := range q.Levels {
		if i < len(old) && old[i].Model == l.Model {
			l.Direct, l.Escalated, l.Tokens = old[i].Direct, old[i].Escalated, old[i].Tokens
		}
		levels[i] = l
	}
	c.levels[q.Key] = levels
	if !known {
		c.keys = append(c.keys, q.Key)
		c.evict()
	}
	return levels
}

// evict drops the oldest keys over maxKeys.
func (c *Controller) evict() {
	for len(c.keys) > maxKeys {
		delete(c.levels, c.keys[0])
		c.keys = c.keys[1:]
	}
}

// handle passes the outcome's rating, if one was asked for, to the breaker and the evidence, and updates the estimates
// of its level unless the level's model was replaced meanwhile. A sampled answer is observed twice, the second time
// with its rating and 0 tokens. Observe sends the message.
func (m observeMessage) handle(c *Controller, _ startFunc) {
	o := m.outcome
	if o.Rating != RatingNone {
		c.recordRating(o)
	}
	levels := c.levels[o.Key]
	if o.Level < len(levels) && levels[o.Level].Model == o.Model {
		levels[o.Level] = Learn(levels[o.Level], o)
	}
}

// recordRating updates the breaker and passes usable ratings to the evidence. It is called only for an outcome whose
// rating was asked for.
func (c *Controller) recordRating(o Outcome) {
	closed := c.breaker.Closed()
	c.breaker = c.breaker.AfterRating(o.Rating != RatingMissing, time.Now())
	if closed != c.breaker.Closed() {
		c.log.Info("rating service availability changed", "in_use", c.breaker.Closed())
	}
	if c.evidence != nil && o.Rating != RatingMissing {
		c.evidence.CountRating(o.Model, o.Version, o.Rating == RatingPassed)
	}
}

// handle rates the sample in a child task, unless maxSamples are rated already. While the breaker is open, only a probe
// that is due is sent; other samples are dropped. Sample sends the message.
func (m sampleMessage) handle(c *Controller, start startFunc) {
	now := time.Now()
	if c.rater == nil || c.activeSamples >= maxSamples {
		return
	}
	if !c.breaker.Closed() {
		if !c.breaker.ProbeDue(now) {
			return
		}
		c.breaker = c.breaker.AfterProbe(now)
	}
	start("rating", func(ctx context.Context) error { return c.rateSample(ctx, m.sample) })
}

// rateSample rates the sample and sends the outcome to the mailbox, without its tokens, which are counted already. It
// runs as a child task. If the mailbox is full, the rating is lost, and Run logs that.
func (c *Controller) rateSample(ctx context.Context, s Sample) error {
	rating, err := c.rater.Rate(ctx, s.RequestID, s.Prompt, s.Answer)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	o := s.Outcome
	o.Tokens = 0
	o.Rating = EvaluateRating(rating, err, s.Target)
	if err := c.Observe(o); err != nil {
		return fmt.Errorf("observe the sample of request %s: %w", s.RequestID, err)
	}
	return nil
}

func (m levelsMessage) handle(c *Controller, _ startFunc) {
	m.reply <- append([]Level(nil), c.levels[m.key]...)
}

// EvaluateRating compares a rating with the target. An error, or a rating outside 0 to 1, counts as missing. Filter
// Cascade calls it for an answer that is buffered, rateSample for one that was passed on.
func EvaluateRating(rating float64, err error, target float64) RatingResult {
	switch {
	case err != nil || !(rating >= 0 && rating <= 1):
		return RatingMissing
	case rating >= target:
		return RatingPassed
	default:
		return RatingFailed
	}
}
