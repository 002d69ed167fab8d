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

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "6") // the flag is registered by the import
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// behaviour is what a level and the rating service do with a request.
type behaviour struct {
	// fail is the code that the level fails with, or OK.
	fail result.Code
	// sent says that the failing level had sent the request; partial that it had given a piece of an answer.
	sent    bool
	partial bool
	long    bool
	rating  float64
	// mute says that the rating service has no answer.
	mute bool
}

// fakeLevels plans as the controller does, from given estimates.
type fakeLevels struct {
	up       bool
	explore  int
	chance   []cascade.Tally
	sample   bool
	observed []cascade.Outcome
	sampled  []cascade.Sample
}

func (f *fakeLevels) Plan(_ context.Context, q cascade.Query) (cascade.Plan, error) {
	for i := range q.Levels {
		q.Levels[i].Direct = f.chance[i]
	}
	plan := cascade.BuildPlan(cascade.PlanInput{
		Levels: q.Levels, Idempotent: q.Idempotent, AllowUnrated: q.AllowUnrated, RatingAvailable: f.up, Explore: f.explore,
	})
	plan.Sample = f.sample
	return plan, nil
}

func (f *fakeLevels) Observe(o cascade.Outcome) error {
	f.observed = append(f.observed, o)
	return nil
}

func (f *fakeLevels) Sample(s cascade.Sample) error {
	f.sampled = append(f.sampled, s)
	return nil
}

// fakeRest stands for the filters behind the cascade, and for the rating service.
type fakeRest struct {
	levels []behaviour
	sends  int
	runs   int
	rated  map[int]float64
	at     int
}

func (f *fakeRest) run(ctx context.Context, x *Exchange) error {
	b := f.levels[x.Attempt.Level]
	f.at = x.Attempt.Level
	x.Attempt.Version = "v1"
	if b.fail != result.OK && !b.sent {
		return result.Errorf(b.fail, "level %d", f.at)
	}
	f.sends++
	x.Sent = true
	pieces := []endpoint.Chunk{{Text: x.Attempt.Model, Data: []byte(x.Attempt.Model)}, {Data: make([]byte, 8)}, {Tokens: 7, Last: true}}
	if b.long {
		pieces[1].Data = make([]byte, 200)
	}
	if b.fail != result.OK && !b.partial {
		return result.Errorf(b.fail, "level %d", f.at)
	}
	if !x.Relayed {
		if err := x.Sink.Begin(ctx, Head{Model: x.Attempt.Model, Version: "v1"}); err != nil {
			return err
		}
		x.Relayed = true
	}
	for _, p := range pieces {
		if p.Last && b.fail != result.OK {
			return result.Errorf(b.fail, "level %d", f.at)
		}
		if p.Last {
			f.runs++
			x.Runs = append(x.Runs, journal.Run{Model: x.Attempt.Model, Level: f.at, Tokens: p.Tokens})
		}
		if err := x.Sink.Chunk(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func (f *fakeRest) Rate(context.Context, string, string, string) (float64, error) {
	b := f.levels[f.at]
	if b.mute {
		return 0, errors.New("down")
	}
	f.rated[f.at] = b.rating
	return b.rating, nil
}

// keptAnswer is a Sink that keeps everything.
type keptAnswer struct {
	heads  []Head
	pieces []endpoint.Chunk
}

func (k *keptAnswer) Begin(_ context.Context, h Head) error {
	k.heads = append(k.heads, h)
	return nil
}

func (k *keptAnswer) Chunk(_ context.Context, p endpoint.Chunk) error {
	k.pieces = append(k.pieces, p)
	return nil
}

// keptBills is a Journal of which only Bill is used.
type keptBills struct {
	Journal
	bills []journal.Bill
}

func (k *keptBills) Bill(_ context.Context, b journal.Bill) error {
	k.bills = append(k.bills, b)
	return nil
}

const testTarget = 0.8

var testLevels = []string{"small", "middle", "large"}

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

func drawBehaviour(t *rapid.T) behaviour {
	b := behaviour{
		fail: rapid.SampledFrom([]result.Code{
			result.OK, result.OK, result.OK, result.EndpointFailed, result.NoEndpoint, result.VersionWithdrawn, result.AnswerBroken, result.LimitReached,
		}).Draw(t, "fail"),
		rating: rapid.SampledFrom([]float64{0, 0.79, testTarget, 1, -1, 2}).Draw(t, "rating"),
		mute:   rapid.Bool().Draw(t, "mute"), long: rapid.Bool().Draw(t, "long"),
	}
	b.sent = b.fail == result.EndpointFailed || b.fail == result.AnswerBroken
	b.partial = b.sent && rapid.Bool().Draw(t, "partial")
	return b
}

func TestCascadeKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rest := &fakeRest{levels: rapid.SliceOfN(rapid.Custom(drawBehaviour), 3, 3).Draw(t, "levels"), rated: map[int]float64{}}
		idempotent, allow := rapid.Bool().Draw(t, "idempotent"), rapid.Bool().Draw(t, "allow")
		levels := &fakeLevels{up: rapid.Bool().Draw(t, "up"), explore: rapid.IntRange(-1, 1).Draw(t, "explore"), sample: rapid.Bool().Draw(t, "sample")}
		for range testLevels {
			levels.chance = append(levels.chance, cascade.Tally{Passed: rapid.Float64Range(0, 60).Draw(t, "passed"), Rated: 60})
		}
		answer, bills := &keptAnswer{}, &keptBills{}
		x := cascadeExchange(answer, idempotent, allow)
		before := x.Sink
		f := Cascade{Planner: levels, Rater: rest, MaxBufferedBytes: 100}
		err := Bill{Journal: bills}.Handle(context.Background(), x, func(ctx context.Context, x *Exchange) error {
			sink := x.Sink
			err := f.Handle(ctx, x, rest.run)
			if x.Sink != sink || x.Held {
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

func checkFailure(t *rapid.T, x *Exchange, rest *fakeRest, answer *keptAnswer, bills *keptBills, e *result.Error) {
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
		t.Fatalf("a failed request passed on an answer without saying so")
	}
}

func checkAnswer(t *rapid.T, rest *fakeRest, answer *keptAnswer, bills *keptBills, allow bool) {
	if len(answer.heads) != 1 || len(answer.pieces) != 3 {
		t.Fatalf("%d heads and %d pieces", len(answer.heads), len(answer.pieces))
	}
	if answer.pieces[0].Text != answer.heads[0].Model {
		t.Fatalf("head of %s over the answer of %s", answer.heads[0].Model, answer.pieces[0].Text)
	}
	level := rest.at
	rating, rated := rest.rated[level]
	usable := rated && rating >= 0 && rating <= 1
	if level != len(testLevels)-1 && !(usable && rating >= testTarget) && !(allow && !usable) {
		t.Fatalf("the answer of level %d passed with rating %v", level, rating)
	}
	if len(bills.bills) != 1 || len(bills.bills[0].Runs) != rest.runs {
		t.Fatalf("bills %+v for %d runs", bills.bills, rest.runs)
	}
}

func TestCascade(t *testing.T) {
	pass, poor := behaviour{rating: 1}, behaviour{rating: 0.1}
	down := behaviour{fail: result.NoEndpoint}
	rows := []struct {
		name   string
		levels []behaviour
		code   result.Code
		run    result.Run
		answer string
		runs   int
	}{
		{"cheap passes", []behaviour{pass, poor, pass}, result.OK, "", "small", 1},
		{"goes up", []behaviour{poor, poor, pass}, result.OK, "", "large", 3},
		{"failing level is skipped", []behaviour{{fail: result.EndpointFailed, sent: true, partial: true}, pass, pass}, result.OK, "", "middle", 1},
		{"withdrawn level is skipped", []behaviour{{fail: result.VersionWithdrawn}, pass, pass}, result.OK, "", "middle", 1},
		{"too long to hold", []behaviour{{rating: 1, long: true}, pass, pass}, result.OK, "", "middle", 1},
		{"rating lost", []behaviour{{mute: true}, pass, pass}, result.OK, "", "large", 2},
		{"nothing sent", []behaviour{down, down, down}, result.NoEndpoint, result.NotRun, "", 0},
		{"cheap ran, strong is down", []behaviour{poor, poor, down}, result.NoEndpoint, result.Ran, "", 2},
		{"limit ends the climb", []behaviour{{fail: result.LimitReached}, pass, pass}, result.LimitReached, result.NotRun, "", 0},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			rest := &fakeRest{levels: row.levels, rated: map[int]float64{}}
			levels := &fakeLevels{up: true, explore: cascade.NoLevel, chance: []cascade.Tally{{Passed: 60, Rated: 60}, {Passed: 60, Rated: 60}, {}}}
			answer := &keptAnswer{}
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

// fakeEndpoints names the next endpoint at each call.
type fakeEndpoints struct{ calls int }

func (f *fakeEndpoints) Choose(context.Context, endpoint.Query) (endpoint.Endpoint, error) {
	f.calls++
	return endpoint.Endpoint{ID: string(rune('a' + f.calls))}, nil
}

func (f *fakeEndpoints) Done(context.Context, endpoint.Outcome) error { return nil }

func TestHeldAnswerThatBreaksIsRunAgainWhole(t *testing.T) {
	c := qt.New(t)
	rest := &fakeRest{levels: []behaviour{{fail: result.AnswerBroken, sent: true, partial: true}, {}, {}}, rated: map[int]float64{}}
	levels := &fakeLevels{up: true, explore: cascade.NoLevel, chance: []cascade.Tally{{Passed: 60, Rated: 60}, {}, {}}}
	answer, places := &keptAnswer{}, &fakeEndpoints{}
	x := cascadeExchange(answer, true, false)
	next := Chain(Place{Endpoints: places, MaxAttempts: 2}, filterFunc(func(ctx context.Context, x *Exchange) error {
		if places.calls == 2 {
			rest.levels[0] = behaviour{rating: 1}
		}
		return rest.run(ctx, x)
	}))
	err := Cascade{Planner: levels, Rater: rest, MaxBufferedBytes: 100}.Handle(context.Background(), x, next)
	c.Assert(err, qt.IsNil)
	c.Assert(places.calls, qt.Equals, 2)
	c.Assert(answer.heads, qt.HasLen, 1)
	c.Assert(answer.pieces, qt.HasLen, 3)
	c.Assert(answer.heads[0].Model, qt.Equals, "small")
}

// filterFunc is a Filter that ends the chain.
type filterFunc Next

func (f filterFunc) Handle(ctx context.Context, x *Exchange, _ Next) error { return f(ctx, x) }
