package filter

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/pkg/routing"
)

const (
	// short is the usual time between two events in these tests.
	short = 10 * time.Millisecond
	// gapLimit is the silence timeout between two events on the route of routedExchange, objective that until the first one.
	gapLimit  = 800 * time.Millisecond
	objective = time.Second
)

// wholeText is the text of a whole answer of a handoverSender with three events.
const wholeText = "data: 1\ndata: 2\ndata: 3\n"

// handOver sends a stream of three events by the script and returns the exchange, the sender and the pool at its end.
func handOver(t *testing.T, script []handoverSend) (*Exchange, *textSink, *handoverSender, *fakePool, error) {
	x, sink := routedExchange(routing.KindStream)
	ctx, cancel := contextUntil(t, x)
	defer cancel()
	sender, p := &handoverSender{script: script, events: 3}, &fakePool{}
	err := Forward{p, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(ctx, x, nil)
	return x, sink, sender, p, err
}

// TestStreamIsKeptUntilTheReplacementAccepts has a sound endpoint pause in mid-stream, while no other endpoint takes the stream over.
func TestStreamIsKeptUntilTheReplacementAccepts(t *testing.T) {
	const pause = 1300 * time.Millisecond
	refused := &endpoint.RefusedError{Status: 503}
	tests := []struct {
		name         string
		replacements []handoverSend
		ends         []pool.End
	}{
		{"all refuse", []handoverSend{{head: short, err: refused}}, []pool.End{pool.EndRefused, pool.EndRefused}},
		{"all refuse after a while", []handoverSend{{head: 200 * time.Millisecond, err: refused}}, []pool.End{pool.EndRefused, pool.EndRefused}},
		{"all refuse too late", []handoverSend{{head: 2 * pause, err: refused}}, []pool.End{pool.EndAbandoned}},
		{
			"none can be reached",
			[]handoverSend{{head: short, err: endpoint.ErrNotSent}},
			[]pool.End{pool.EndUnreachable, pool.EndUnreachable, pool.EndUnreachable, pool.EndUnreachable},
		},
		{"all break off before the head", []handoverSend{{head: short, err: endpoint.ErrBroken}}, []pool.End{pool.EndLost, pool.EndLost}},
		{"others are at the addresses", []handoverSend{{head: short, err: endpoint.ErrReplaced}}, []pool.End{pool.EndReplaced, pool.EndReplaced}},
		{"none takes the request", []handoverSend{{head: short, err: endpoint.ErrMisdirected}}, []pool.End{pool.EndMisdirected, pool.EndMisdirected}},
		{"all answer with status 500", []handoverSend{{head: short, status: 500}}, []pool.End{pool.EndFailed, pool.EndFailed}},
		{"all answer with status 404", []handoverSend{{head: short, status: 404}}, []pool.End{pool.EndAnswered, pool.EndAnswered}},
		{
			"one refuses, one can't be reached, one breaks off",
			[]handoverSend{{head: short, err: refused}, {head: short, err: endpoint.ErrNotSent}, {head: short, err: endpoint.ErrBroken}},
			[]pool.End{pool.EndRefused, pool.EndUnreachable, pool.EndLost},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink, sender, p, err := handOver(t, append([]handoverSend{{head: short, pauseAt: 2, pause: pause}}, test.replacements...))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, sink.whole, qt.IsTrue)
				qt.Check(t, sink.text, qt.Equals, wholeText)
				qt.Check(t, p.ends, qt.DeepEquals, append(slices.Clone(test.ends), pool.EndAnswered))
				qt.Check(t, sender.maxOpen(), qt.Equals, 2)
				qt.Check(t, x.Routed.Trace, qt.HasLen, len(test.ends)+1)
				qt.Check(t, x.Routed.Attempts, qt.Equals, len(test.ends)+1)
				qt.Check(t, x.Sends, qt.Equals, len(test.ends)+1)
				for _, s := range sender.sends[1:] {
					qt.Check(t, s.after, qt.Equals, "1")
				}
			})
		})
	}
}

// TestEachRequestKeepsItsSilentSend has a sound endpoint be silent before its answer while the others refuse.
func TestEachRequestKeepsItsSilentSend(t *testing.T) {
	refused := &endpoint.RefusedError{Status: 503}
	tests := []struct {
		name  string
		first handoverSend
	}{
		{"before the head", handoverSend{head: 1500 * time.Millisecond}},
		{"before the first event", handoverSend{head: short, pauseAt: 1, pause: 1500 * time.Millisecond}},
		{"before the end", handoverSend{head: short, pauseAt: 4, pause: 1500 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, sink, _, p, err := handOver(t, []handoverSend{test.first, {head: short, err: refused}})
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, sink.text, qt.Equals, wholeText)
				qt.Check(t, p.ends, qt.DeepEquals, []pool.End{pool.EndRefused, pool.EndRefused, pool.EndAnswered})
			})
		})
	}
}

// TestReplacementIsDroppedOnceTheSilentSendGoesOn checks that the endpoint of a replacement that hasn't accepted the request yet sees
// its connection closed at once, and that the log says why.
func TestReplacementIsDroppedOnceTheSilentSendGoesOn(t *testing.T) {
	const pause = 1300 * time.Millisecond
	tests := []struct {
		name  string
		first handoverSend
		// goesOn is when the silent send goes on, from the start.
		goesOn time.Duration
	}{
		{"event", handoverSend{head: short, pauseAt: 2, pause: pause}, 2*short + pause},
		{"end", handoverSend{head: short, pauseAt: 4, pause: pause}, 4*short + pause},
		{"head", handoverSend{head: pause}, pause},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink, sender, p, err := handOver(t, []handoverSend{test.first, {head: time.Hour}})
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, sink.text, qt.Equals, wholeText)
				qt.Check(t, p.ends, qt.DeepEquals, []pool.End{pool.EndAbandoned, pool.EndAnswered})
				qt.Check(t, sender.sends[1].closed.Sub(x.Arrived), qt.Equals, test.goesOn)
				qt.Assert(t, x.Routed.Trace, qt.HasLen, 2)
				qt.Check(t, x.Routed.Trace[0].End, qt.Equals, "abandoned")
				qt.Check(t, x.Routed.Trace[0].Err, qt.Equals, "the send before it went on")
				qt.Check(t, x.Routed.Trace[1].End, qt.Equals, "answered")
				qt.Check(t, x.Sends, qt.Equals, 2)
			})
		})
	}
}

// TestSilentSendIsCancelledOnceTheReplacementAccepts checks when the silent endpoint sees its connection closed: not before the other
// one accepts the request, and at once then.
func TestSilentSendIsCancelledOnceTheReplacementAccepts(t *testing.T) {
	const accepts = 300 * time.Millisecond
	tests := []struct {
		name  string
		first handoverSend
		// silent is when the silence timeout passes, from the start.
		silent time.Duration
		after  string
	}{
		{"before the head", handoverSend{head: time.Hour}, objective, ""},
		{"before the first event", handoverSend{head: short, pauseAt: 1, pause: time.Hour}, objective, ""},
		{"between events", handoverSend{head: short, pauseAt: 3, pause: time.Hour}, 3*short + gapLimit, "2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink, sender, p, err := handOver(t, []handoverSend{test.first, {head: accepts}})
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, sink.text, qt.Equals, wholeText)
				qt.Check(t, p.ends, qt.DeepEquals, []pool.End{pool.EndTimeout, pool.EndAnswered})
				qt.Assert(t, sender.sends, qt.HasLen, 2)
				qt.Check(t, sender.sends[1].opened.Sub(x.Arrived), qt.Equals, test.silent)
				qt.Check(t, sender.sends[1].after, qt.Equals, test.after)
				qt.Check(t, sender.sends[0].closed.Sub(x.Arrived), qt.Equals, test.silent+accepts)
				qt.Check(t, x.Routed.Trace[0].End, qt.Equals, "silent")
			})
		})
	}
}

// TestRequestWaitsForTheReplacementThatIsOpened has the silent send fail while its replacement is being opened: no third one is opened
// unless the replacement fails as well.
func TestRequestWaitsForTheReplacementThatIsOpened(t *testing.T) {
	// fails is when the silent send fails after its first event, opened how long the replacement then takes.
	const fails, opened = gapLimit + 100*time.Millisecond, 300 * time.Millisecond
	first := handoverSend{head: short, pauseAt: 2, pause: fails, breakAt: 2}
	tests := []struct {
		name   string
		script []handoverSend
		ends   []pool.End
	}{
		{"accepted", []handoverSend{first, {head: opened}}, []pool.End{pool.EndLost, pool.EndAnswered}},
		{"refused", []handoverSend{first, {head: opened, err: &endpoint.RefusedError{}}, {head: short}}, []pool.End{pool.EndLost, pool.EndRefused, pool.EndAnswered}},
		{"silent as well", []handoverSend{first, {head: time.Hour}, {head: short}}, []pool.End{pool.EndLost, pool.EndTimeout, pool.EndAnswered}},
		{"breaks off after an event", []handoverSend{first, {head: opened, breakAt: 3}, {head: short}}, []pool.End{pool.EndLost, pool.EndLost, pool.EndAnswered}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, sink, sender, p, err := handOver(t, test.script)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, sink.text, qt.Equals, wholeText)
				qt.Check(t, p.ends, qt.DeepEquals, test.ends)
				qt.Check(t, sender.maxOpen(), qt.Equals, 2)
			})
		})
	}
}

// TestAtMostTwoSendsAreOpen has the replacement be silent as well before it accepts the request: it makes room for the next, and the
// first send is still kept until one accepts.
func TestAtMostTwoSendsAreOpen(t *testing.T) {
	tests := []struct {
		name   string
		script []handoverSend
		ends   []pool.End
	}{
		{
			"the third accepts",
			[]handoverSend{{head: short, pauseAt: 2, pause: time.Hour}, {head: time.Hour}, {head: short}},
			[]pool.End{pool.EndTimeout, pool.EndTimeout, pool.EndAnswered},
		},
		{
			"the first goes on",
			[]handoverSend{{head: short, pauseAt: 2, pause: 10 * time.Second}, {head: time.Hour}, {head: time.Hour}},
			[]pool.End{pool.EndTimeout, pool.EndAbandoned, pool.EndAnswered},
		},
		{
			"the replacement that accepted is silent at once",
			[]handoverSend{{head: time.Hour}, {head: short, pauseAt: 1, pause: time.Hour}, {head: short}},
			[]pool.End{pool.EndTimeout, pool.EndTimeout, pool.EndAnswered},
		},
		{
			"the replacement that accepted is silent",
			[]handoverSend{{head: time.Hour}, {head: short, pauseAt: 2, pause: time.Hour}, {head: short}},
			[]pool.End{pool.EndTimeout, pool.EndTimeout, pool.EndAnswered},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, sink, sender, p, err := handOver(t, test.script)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, sink.text, qt.Equals, wholeText)
				qt.Check(t, p.ends, qt.DeepEquals, test.ends)
				qt.Check(t, sender.maxOpen(), qt.Equals, 2)
			})
		})
	}
}

// TestReplacementIsNotOpenedIfTheSilentSendGoesOn has the pool take long to place a replacement, while the silent send goes on, and
// may be silent again later.
func TestReplacementIsNotOpenedIfTheSilentSendGoesOn(t *testing.T) {
	const events = 100
	tests := []struct {
		name    string
		first   handoverSend
		placing time.Duration
		// again is the event before which the send is silent for good.
		again int
		ends  []pool.End
	}{
		{"goes on", handoverSend{pauseAt: 2, pause: gapLimit + 2*short}, 4 * short, 0, []pool.End{pool.EndUnused, pool.EndAnswered}},
		{"silent again", handoverSend{pauseAt: 2, pause: gapLimit + 2*short}, 4 * short, 20, []pool.End{pool.EndUnused, pool.EndTimeout, pool.EndAnswered}},
		{
			"silent again before the replacement is placed",
			handoverSend{pauseAt: 2, pause: gapLimit + 2*short},
			2 * gapLimit, 20,
			[]pool.End{pool.EndUnused, pool.EndTimeout, pool.EndAnswered},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink := routedExchange(routing.KindStream)
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				test.first.silentAt = test.again
				sender, p := &handoverSender{script: []handoverSend{test.first, {}}, events: events}, &busyPool{placing: test.placing}
				qt.Check(t, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(ctx, x, nil), qt.IsNil)
				qt.Check(t, sink.whole, qt.IsTrue)
				qt.Check(t, p.ends, qt.DeepEquals, test.ends)
			})
		})
	}
}

// TestLateReplacementIsWatched has a replacement accept the request late, while the next one is being placed, and then be silent.
func TestLateReplacementIsWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const placing = 200 * time.Millisecond
		x, sink := routedExchange(routing.KindStream)
		ctx, cancel := contextUntil(t, x)
		defer cancel()
		late := handoverSend{head: objective + placing/2, pauseAt: 1, pause: time.Hour}
		sender, p := &handoverSender{script: []handoverSend{{head: time.Hour}, late, {}}, events: 3}, &busyPool{placing: placing}
		qt.Check(t, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(ctx, x, nil), qt.IsNil)
		qt.Check(t, sink.text, qt.Equals, wholeText)
		qt.Check(t, p.ends, qt.DeepEquals, []pool.End{pool.EndTimeout, pool.EndUnused, pool.EndTimeout, pool.EndAnswered})
	})
}

// TestBothSendsEndIfTheCallerLeaves lets the caller leave while a replacement is being opened.
func TestBothSendsEndIfTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const left = 1500 * time.Millisecond
		x, _ := routedExchange(routing.KindStream)
		ctx, cancel := context.WithTimeout(t.Context(), left)
		defer cancel()
		sender, p := &handoverSender{script: []handoverSend{{head: time.Hour}}, events: 3}, &fakePool{}
		qt.Check(t, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(ctx, x, nil), qt.IsNotNil)
		qt.Check(t, time.Since(x.Arrived), qt.Equals, left)
		qt.Assert(t, sender.sends, qt.HasLen, 2)
		for _, s := range sender.sends {
			qt.Check(t, s.closed.Sub(x.Arrived), qt.Equals, left)
		}
		qt.Check(t, p.ends, qt.DeepEquals, []pool.End{pool.EndAbandoned, pool.EndAbandoned})
	})
}
