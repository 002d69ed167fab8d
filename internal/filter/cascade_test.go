package filter

import (
	"context"
	"errors"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/cascade"
	"cornelmux/internal/configuration"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// TestMain fixes the seed of rapid, so that each run checks the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "6") // the flag is registered by the import
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// levelBehavior is how a level and the rating service handle a request.
type levelBehavior struct {
	// fail is the code that the level fails with, or OK.
	fail result.Code
	// sent reports that the failing level sent the request, relayed that it passed on a part of an answer.
	sent    bool
	relayed bool
	// tooLong makes the answer exceed MaxBufferedBytes.
	tooLong bool
	rating  float64
	// noRating makes the rating service fail.
	noRating bool
}

// fakePlanner plans like cascade.Controller, but with fixed estimates.
type fakePlanner struct {
	ratingAvailable bool
	explore         int
	passed          []cascade.RatingCounts
	sample          bool
	observed        []cascade.Outcome
	sampled         []cascade.Sample
}

func (f *fakePlanner) Plan(_ context.Context, q cascade.Query) (cascade.Plan, error) {
	for i := range q.Levels {
		q.Levels[i].Direct = f.passed[i]
	}
	plan := cascade.BuildPlan(cascade.PlanInput{
		Levels: q.Levels, Idempotent: q.Idempotent, AllowUnrated: q.AllowUnrated, RatingAvailable: f.ratingAvailable, Explore: f.explore,
	})
	plan.Sample = f.sample
	return plan, nil
}

func (f *fakePlanner) Observe(o cascade.Outcome) error {
	f.observed = append(f.observed, o)
	return nil
}

func (f *fakePlanner) Sample(s cascade.Sample) error {
	f.sampled = append(f.sampled, s)
	return nil
}

// fakeChain replaces the filters after Cascade, and the rating service.
type fakeChain struct {
	levels []levelBehavior
	sends  int
	runs   int
	rated  map[int]float64
	level  int
}

// run implements Next: it answers as the behavior of the attempt's level says, in three chunks, and counts sends and
// runs.
func (f *fakeChain) run(ctx context.Context, x *Exchange) error {
	b := f.levels[x.Attempt.Level]
	f.level = x.Attempt.Level
	x.Attempt.Version = "v1"
	if b.fail != result.OK && !b.sent {
		return result.Errorf(b.fail, "level %d", f.level)
	}
	f.sends++
	x.Sent = true
	chunks := []endpoint.Chunk{{Text: x.Attempt.Model, Data: []byte(x.Attempt.Model)}, {Data: make([]byte, 8)}, {Tokens: 7, Last: true}}
	if b.tooLong {
		chunks[1].Data = make([]byte, 200)
	}
	if b.fail != result.OK && !b.relayed {
		return result.Errorf(b.fail, "level %d", f.level)
	}
	if !x.Relayed {
		if err := x.Sink.Begin(ctx, Head{Model: x.Attempt.Model, Version: "v1"}); err != nil {
			return err
		}
		x.Relayed = true
	}
	for _, p := range chunks {
		if p.Last && b.fail != result.OK {
			return result.Errorf(b.fail, "level %d", f.level)
		}
		if p.Last {
			f.runs++
			x.Runs = append(x.Runs, journal.Run{Model: x.Attempt.Model, Level: f.level, Tokens: p.Tokens})
		}
		if err := x.Sink.Chunk(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func (f *fakeChain) Rate(context.Context, string, string, string) (float64, error) {
	b := f.levels[f.level]
	if b.noRating {
		return 0, errors.New("down")
	}
	f.rated[f.level] = b.rating
	return b.rating, nil
}

// answerSink is a Sink that records the answer.
type answerSink struct {
	heads  []Head
	chunks []endpoint.Chunk
}

func (k *answerSink) Begin(_ context.Context, h Head) error {
	k.heads = append(k.heads, h)
	return nil
}

func (k *answerSink) Chunk(_ context.Context, p endpoint.Chunk) error {
	k.chunks = append(k.chunks, p)
	return nil
}

// billJournal is a Journal that records the bills.
type billJournal struct {
	Journal
	bills []journal.Bill
}

func (k *billJournal) Bill(_ context.Context, b journal.Bill) error {
	k.bills = append(k.bills, b)
	return nil
}

const testTarget = 0.8

var testLevels = []string{"small", "middle", "large"}

// cascadeExchange returns a request to a cascade of three levels, each more expensive than the one below.
func cascadeExchange(sink Sink, idempotent, allowUnrated bool) *Exchange {
	cfg := catalog.Configuration{Cascades: []catalog.Cascade{{Name: "draft", QualityTarget: testTarget, AllowUnrated: allowUnrated}}}
	a := catalog.ClientAccount{Name: "parish", Cascades: []string{"draft"}}
	for i, name := range testLevels {
		cfg.Models = append(cfg.Models, catalog.Model{Name: name, Stable: "v1", Versions: []catalog.Version{{Name: "v1", CostPerThousandTokens: float64(i*i*4 + 1)}}})
		cfg.Cascades[0].Levels = append(cfg.Cascades[0].Levels, catalog.Level{Model: name})
		a.Grants = append(a.Grants, catalog.Grant{Model: name})
	}
	return &Exchange{
		Sink: sink, Idempotent: idempotent, Account: a, Snapshot: configuration.NewSnapshot(1, cfg, time.Time{}),
		Request: Request{ID: "r", Kind: KindChat, Model: "draft", Prompt: "hello"},
	}
}

// drawBehavior draws whether and how a level fails, and the rating of its answer, which may be invalid or absent.
func drawBehavior(t *rapid.T) levelBehavior {
	b := levelBehavior{
		fail: rapid.SampledFrom([]result.Code{
			result.OK, result.OK, result.OK, result.EndpointFailed, result.NoEndpoint, result.VersionWithdrawn, result.AnswerBroken, result.LimitReached,
		}).Draw(t, "fail"),
		rating:   rapid.SampledFrom([]float64{0, 0.79, testTarget, 1, -1, 2}).Draw(t, "rating"),
		noRating: rapid.Bool().Draw(t, "mute"), tooLong: rapid.Bool().Draw(t, "long"),
	}
	b.sent = b.fail == result.EndpointFailed || b.fail == result.AnswerBroken
	b.relayed = b.sent && rapid.Bool().Draw(t, "partial")
	return b
}

// TestCascadeProperties runs cascades whose levels and ratings fail at random. It guards against unrated answers that
// the target forbids, non-idempotent requests sent twice, and wrong bills or run states.
func TestCascadeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rest := &fakeChain{levels: rapid.SliceOfN(rapid.Custom(drawBehavior), 3, 3).Draw(t, "levels"), rated: map[int]float64{}}
		idempotent, allow := rapid.Bool().Draw(t, "idempotent"), rapid.Bool().Draw(t, "allow")
		levels := &fakePlanner{ratingAvailable: rapid.Bool().Draw(t, "up"), explore: rapid.IntRange(-1, 1).Draw(t, "explore"), sample: rapid.Bool().Draw(t, "sample")}
		for range testLevels {
			levels.passed = append(levels.passed, cascade.RatingCounts{Passed: rapid.Float64Range(0, 60).Draw(t, "passed"), Rated: 60})
		}
		answer, bills := &answerSink{}, &billJournal{}
		x := cascadeExchange(answer, idempotent, allow)
		before := x.Sink
		f := Cascade{Planner: levels, Rater: rest, MaxBufferedBytes: 100}
		err := Bill{Journal: bills}.Handle(context.Background(), x, func(ctx context.Context, x *Exchange) error {
			sink := x.Sink
			err := f.Handle(ctx, x, rest.run)
			if x.Sink != sink || x.Buffered {
				t.Fatalf("the sink was not restored")
			}
			x.Sink = before
			return err
		})
		if !idempotent && rest.sends > 1 {
			t.Fatalf("a non-idempotent request was sent %d times", rest.sends)
		}
		if len(x.Runs) != rest.runs {
			t.Fatalf("%d runs listed, %d made", len(x.Runs), rest.runs)
		}
		if err != nil {
			checkFailure(t, x, rest, answer, bills, result.From(err))
			return
		}
		checkAnswer(t, rest, answer, bills, allow)
	})
}

// checkFailure checks a failed request: the client account pays nothing, and the run state is true.
func checkFailure(t *rapid.T, x *Exchange, rest *fakeChain, answer *answerSink, bills *billJournal, e *result.Error) {
	for _, b := range bills.bills {
		if slices.ContainsFunc(b.Runs, func(r journal.Run) bool { return !r.OperatorCost }) {
			t.Fatalf("a failed request was billed to its client account: %v", b.Runs)
		}
	}
	if e.Run == result.NotRun && rest.sends > 0 {
		t.Fatalf("%v says not run after %d sends", e, rest.sends)
	}
	if rest.sends == 0 && e.Run != result.NotRun {
		t.Fatalf("%v says %s although nothing was sent", e, e.Run)
	}
	if len(answer.heads) > 0 && !x.Relayed {
		t.Fatalf("a failed request passed on an answer and Relayed is not set")
	}
}

// checkAnswer checks an answered request: one whole answer of a level that may pass, and one bill with all runs.
func checkAnswer(t *rapid.T, rest *fakeChain, answer *answerSink, bills *billJournal, allow bool) {
	if len(answer.heads) != 1 || len(answer.chunks) != 3 {
		t.Fatalf("%d heads and %d chunks", len(answer.heads), len(answer.chunks))
	}
	if answer.chunks[0].Text != answer.heads[0].Model {
		t.Fatalf("head of %s with the answer of %s", answer.heads[0].Model, answer.chunks[0].Text)
	}
	level := rest.level
	rating, rated := rest.rated[level]
	usable := rated && rating >= 0 && rating <= 1
	if level != len(testLevels)-1 && !(usable && rating >= testTarget) && !(allow && !usable) {
		t.Fatalf("the answer of level %d passed with rating %v", level, rating)
	}
	if len(bills.bills) != 1 || len(bills.bills[0].Runs) != rest.runs {
		t.Fatalf("bills %+v for %d runs", bills.bills, rest.runs)
	}
}

// TestCascade checks the error, the run state and the answer of a cascade for given behaviors of its levels.
func TestCascade(t *testing.T) {
	pass, poor := levelBehavior{rating: 1}, levelBehavior{rating: 0.1}
	down := levelBehavior{fail: result.NoEndpoint}
	rows := []struct {
		name   string
		levels []levelBehavior
		code   result.Code
		run    result.Run
		answer string
		runs   int
	}{
		{"cheap passes", []levelBehavior{pass, poor, pass}, result.OK, "", "small", 1},
		{"escalates to the last level", []levelBehavior{poor, poor, pass}, result.OK, "", "large", 3},
		{"failing level is skipped", []levelBehavior{{fail: result.EndpointFailed, sent: true, relayed: true}, pass, pass}, result.OK, "", "middle", 1},
		{"withdrawn level is skipped", []levelBehavior{{fail: result.VersionWithdrawn}, pass, pass}, result.OK, "", "middle", 1},
		{"answer too long to buffer", []levelBehavior{{rating: 1, tooLong: true}, pass, pass}, result.OK, "", "middle", 1},
		{"rating missing", []levelBehavior{{noRating: true}, pass, pass}, result.OK, "", "large", 2},
		{"nothing sent", []levelBehavior{down, down, down}, result.NoEndpoint, result.NotRun, "", 0},
		{"cheap ran, strong is down", []levelBehavior{poor, poor, down}, result.NoEndpoint, result.Ran, "", 2},
		{"reached limit ends the cascade", []levelBehavior{{fail: result.LimitReached}, pass, pass}, result.LimitReached, result.NotRun, "", 0},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			rest := &fakeChain{levels: row.levels, rated: map[int]float64{}}
			levels := &fakePlanner{ratingAvailable: true, explore: cascade.NoLevel, passed: []cascade.RatingCounts{{Passed: 60, Rated: 60}, {Passed: 60, Rated: 60}, {}}}
			answer := &answerSink{}
			x := cascadeExchange(answer, true, false)
			err := Cascade{Planner: levels, Rater: rest, MaxBufferedBytes: 100}.Handle(context.Background(), x, rest.run)
			c.Assert(x.Runs, qt.HasLen, row.runs)
			if row.code != result.OK {
				c.Assert(result.From(err).Code, qt.Equals, row.code)
				c.Assert(result.From(err).Run, qt.Equals, row.run)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(answer.heads[0].Model, qt.Equals, row.answer)
		})
	}
}

// fakeEndpoints places each call on a new endpoint.
type fakeEndpoints struct{ calls int }

func (f *fakeEndpoints) Choose(context.Context, endpoint.Query) (endpoint.Endpoint, error) {
	f.calls++
	return endpoint.Endpoint{ID: string(rune('a' + f.calls))}, nil
}

func (f *fakeEndpoints) Done(context.Context, endpoint.Outcome) error { return nil }

// TestBufferedAnswerThatBreaksIsRetriedWhole guards against an answer put together from two endpoints: a buffered
// answer that breaks is retried from its first chunk, and only the second one reaches the caller.
func TestBufferedAnswerThatBreaksIsRetriedWhole(t *testing.T) {
	c := qt.New(t)
	rest := &fakeChain{levels: []levelBehavior{{fail: result.AnswerBroken, sent: true, relayed: true}, {}, {}}, rated: map[int]float64{}}
	levels := &fakePlanner{ratingAvailable: true, explore: cascade.NoLevel, passed: []cascade.RatingCounts{{Passed: 60, Rated: 60}, {}, {}}}
	answer, places := &answerSink{}, &fakeEndpoints{}
	x := cascadeExchange(answer, true, false)
	next := Chain(Place{Endpoints: places, MaxAttempts: 2}, filterFunc(func(ctx context.Context, x *Exchange) error {
		if places.calls == 2 {
			rest.levels[0] = levelBehavior{rating: 1}
		}
		return rest.run(ctx, x)
	}))
	err := Cascade{Planner: levels, Rater: rest, MaxBufferedBytes: 100}.Handle(context.Background(), x, next)
	c.Assert(err, qt.IsNil)
	c.Assert(places.calls, qt.Equals, 2)
	c.Assert(answer.heads, qt.HasLen, 1)
	c.Assert(answer.chunks, qt.HasLen, 3)
	c.Assert(answer.heads[0].Model, qt.Equals, "small")
}

// filterFunc is a Filter made of a function; it does not call next.
type filterFunc Next

func (f filterFunc) Handle(ctx context.Context, x *Exchange, _ Next) error { return f(ctx, x) }
