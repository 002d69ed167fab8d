package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// fewPool is a Pool with a number of endpoints, whose model l takes a time between two events.
type fewPool struct {
	fakePool
	endpoints int
	gap       time.Duration
}

func (p *fewPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	if p.placed == p.endpoints {
		return pool.Placement{}, result.Errorf(result.NoEndpoint, "all endpoints were tried")
	}
	place, err := p.fakePool.Choose(ctx, q)
	place.StrongerLatency.MeanGap = p.gap
	return place, err
}

// TestAnswerIsKeptUntilTheStrongerModelAccepts has the stronger model not be had after an answer of low confidence, which has to go on
// then.
func TestAnswerIsKeptUntilTheStrongerModelAccepts(t *testing.T) {
	refused := &endpoint.RefusedError{Status: 503}
	low := handoverSend{head: short, confidence: 5}
	const much = 20
	tests := []struct {
		name      string
		stronger  []handoverSend
		endpoints int
		// attempts is the route's number of attempts, timeout the time to the deadline, latest when the answer ends at the latest.
		attempts        int
		timeout, latest time.Duration
		ends            []pool.End
	}{
		{"all refuse", []handoverSend{{head: short, err: refused}}, much, 3, time.Minute, 7 * short, []pool.End{pool.EndRefused, pool.EndRefused}},
		{"the only other one refuses", []handoverSend{{head: short, err: refused}}, 2, 3, time.Minute, 6 * short, []pool.End{pool.EndRefused}},
		{
			"none can be reached",
			[]handoverSend{{head: short, err: endpoint.ErrNotSent}},
			4, 3, time.Minute, 8 * short,
			[]pool.End{pool.EndUnreachable, pool.EndUnreachable, pool.EndUnreachable},
		},
		{"all break off before the head", []handoverSend{{head: short, err: endpoint.ErrBroken}}, much, 3, time.Minute, 7 * short, []pool.End{pool.EndLost, pool.EndLost}},
		{"all answer with status 500", []handoverSend{{head: short, status: 500}}, much, 3, time.Minute, 7 * short, []pool.End{pool.EndFailed, pool.EndFailed}},
		{"all are silent", []handoverSend{{head: time.Hour}}, much, 3, time.Minute, 2*objective + 5*short, []pool.End{pool.EndTimeout, pool.EndAbandoned}},
		{"the only other one is silent", []handoverSend{{head: time.Hour}}, 2, 3, time.Minute, objective + 5*short, []pool.End{pool.EndAbandoned}},
		{"one attempt is left", []handoverSend{{head: time.Hour}}, much, 2, time.Minute, objective + 5*short, []pool.End{pool.EndAbandoned}},
		{"too late for the stronger one", []handoverSend{{head: time.Hour}}, much, 3, 500 * time.Millisecond, 300*time.Millisecond + 4*short, []pool.End{pool.EndAbandoned}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink := routedExchange(routing.KindStream, "s", "l")
				x.Routed.Route.MaxAttempts = test.attempts
				x.Request.Deadline = x.Arrived.Add(test.timeout)
				x.Routed.Prompt.MaxTokensOut = 10
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				sender := &handoverSender{script: append([]handoverSend{low}, test.stronger...), events: 3}
				p := &fewPool{endpoints: test.endpoints, gap: 20 * time.Millisecond}
				qt.Check(t, Chain(Escalate{}, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil})(ctx, x), qt.IsNil)
				qt.Check(t, sink.whole, qt.IsTrue)
				qt.Check(t, sink.text, qt.Equals, wholeText)
				qt.Check(t, sink.head.Fields, qt.DeepEquals, head(200, "0").Fields)
				qt.Check(t, sink.head.Model, qt.Equals, "s")
				qt.Check(t, p.ends, qt.DeepEquals, append(test.ends, pool.EndAnswered))
				qt.Check(t, time.Since(x.Arrived) <= test.latest, qt.IsTrue, qt.Commentf("%v", time.Since(x.Arrived)))
				qt.Check(t, sender.maxOpen(), qt.Equals, 2)
				for _, s := range sender.sends[1:] {
					qt.Check(t, s.model, qt.Equals, "l")
				}
			})
		})
	}
}

// TestKeptAnswerIsCancelledOnceTheStrongerModelAccepts checks that the endpoint of the kept answer sees its connection closed when the
// stronger model's accepts the request, not before and not later.
func TestKeptAnswerIsCancelledOnceTheStrongerModelAccepts(t *testing.T) {
	const accepts = 500 * time.Millisecond
	tests := []struct {
		name    string
		script  []handoverSend
		accepts time.Duration
		ends    []pool.End
	}{
		{
			"first",
			[]handoverSend{{head: short, confidence: 5}, {head: accepts, confidence: 5}},
			short + accepts,
			[]pool.End{pool.EndAnswered, pool.EndAnswered},
		},
		{
			"after a refusal",
			[]handoverSend{{head: short, confidence: 5}, {head: short, err: &endpoint.RefusedError{}}, {head: accepts}},
			2*short + accepts,
			[]pool.End{pool.EndRefused, pool.EndAnswered, pool.EndAnswered},
		},
		{
			"the answer broke off while it was kept",
			[]handoverSend{{head: short, confidence: 5, breakAt: 1}, {head: accepts}},
			short + accepts,
			[]pool.End{pool.EndAnswered, pool.EndAnswered},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink := routedExchange(routing.KindStream, "s", "l")
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				sender, p := &handoverSender{script: test.script, events: 3}, &fakePool{}
				qt.Check(t, Chain(Escalate{}, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil})(ctx, x), qt.IsNil)
				qt.Check(t, sink.text, qt.Equals, wholeText)
				qt.Check(t, sink.head.Model, qt.Equals, "l")
				qt.Check(t, x.Attempt.Level, qt.Equals, 1)
				qt.Check(t, p.ends, qt.DeepEquals, test.ends)
				low := x.Routed.Trace[len(test.ends)-2]
				qt.Check(t, low.Verdict, qt.Equals, "climb")
				qt.Check(t, low.Duration, qt.Equals, short) // the time for which the answer was kept isn't the endpoint's
				qt.Check(t, low.Silent, qt.Equals, short)
				if test.script[0].breakAt == 0 {
					qt.Check(t, sender.sends[0].closed.Sub(x.Arrived), qt.Equals, test.accepts)
				}
			})
		})
	}
}

// TestKeptAnswerThatBreaksOffIsNotSentToItsEndpointAgain has a kept answer go on and break off then.
func TestKeptAnswerThatBreaksOffIsNotSentToItsEndpointAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, sink := routedExchange(routing.KindStream, "s", "l")
		ctx, cancel := contextUntil(t, x)
		defer cancel()
		refused := handoverSend{head: short, err: &endpoint.RefusedError{}}
		sender := &handoverSender{script: []handoverSend{{head: short, confidence: 5, breakAt: 2}, refused, {head: short, confidence: 95}}, events: 3}
		x.Routed.Route.MaxAttempts = 3
		p := &excludePool{fakePool: fakePool{}}
		f := Forward{&onceStrongerPool{excludePool: p}, noShift{}, sender, noQuarantine{}, nil, nil}
		qt.Check(t, Chain(Escalate{}, f)(ctx, x), qt.IsNil)
		qt.Check(t, sink.text, qt.Equals, wholeText)
		qt.Check(t, p.excluded, qt.DeepEquals, [][]string{{}, {}, {"e2", "e1"}})
	})
}

// onceStrongerPool is an excludePool that places the model l only once.
type onceStrongerPool struct {
	*excludePool
	placed bool
}

func (p *onceStrongerPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	if q.Model == "l" && p.placed {
		return pool.Placement{}, result.Errorf(result.NoEndpoint, "none has room for the model")
	}
	p.placed = q.Model == "l"
	return p.excludePool.Choose(ctx, q)
}
