package filter

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// TestTraceNamesTheLongestSilence checks the silence of each send in the trace, that before the first event included.
func TestTraceNamesTheLongestSilence(t *testing.T) {
	tests := []struct {
		name   string
		stream pacedStream
		want   time.Duration
	}{
		{"even stream", pacedStream{pause: 100 * time.Millisecond, chunks: []endpoint.Chunk{event("1", "a"), event("2", "b"), end}}, 100 * time.Millisecond},
		{"comments are no progress", pacedStream{pause: 100 * time.Millisecond, chunks: []endpoint.Chunk{
			event("1", "a"), {Data: []byte(": here\n\n")}, {Data: []byte(": here\n\n")}, event("2", "b"), end,
		}}, 300 * time.Millisecond},
		{"silent to the deadline", pacedStream{pause: time.Hour, chunks: []endpoint.Chunk{end}}, time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, _ := routedExchange(routing.KindStream)
				x.Routed.Route.MaxAttempts = 1
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				_ = Forward{&fakePool{}, noShift{}, &pacedSender{streams: []pacedStream{test.stream}}, noQuarantine{}, nil, nil}.Handle(ctx, x, nil)
				qt.Assert(t, x.Routed.Trace, qt.HasLen, 1)
				qt.Check(t, x.Routed.Trace[0].Silent, qt.Equals, test.want)
			})
		})
	}
}

// TestPauseOfASoundEndpointBreaksNoAnswer checks that a silent send goes on unless another endpoint can take the request, and is
// moved there as soon as one can.
func TestPauseOfASoundEndpointBreaksNoAnswer(t *testing.T) {
	noBudget := result.Errorf(result.QueueFull, "retry budget is used up")
	noEndpoint := result.Errorf(result.NoEndpoint, "no endpoint is eligible")
	const short, long = 10 * time.Millisecond, 1300 * time.Millisecond
	pauses := func(list ...time.Duration) []time.Duration { return list }
	events := []endpoint.Chunk{event("1", "data: a\n\n"), event("2", "data: b\n\n"), end}
	whole := pausingSend{short, pauses(short, short, short), events}
	rest := pausingSend{short, pauses(short, short), events[1:]}
	betweenEvents := pausingSend{short, pauses(short, long, short), events}
	forGood := pausingSend{short, pauses(short, time.Hour), events}
	tests := []struct {
		name    string
		kind    routing.Kind
		script  []pausingSend
		refusal error
		// refused is how long the pool refuses retries, placing how long it takes to place one.
		refused, placing time.Duration
		to               []string
		ends             []pool.End
	}{
		{"between events, no budget", routing.KindStream, []pausingSend{betweenEvents}, noBudget, time.Minute, 0, []string{"e1"}, []pool.End{pool.EndAnswered}},
		{"between events, no endpoint", routing.KindStream, []pausingSend{betweenEvents}, noEndpoint, time.Minute, 0, []string{"e1"}, []pool.End{pool.EndAnswered}},
		{
			"before the first event", routing.KindStream,
			[]pausingSend{{short, pauses(long, short, short), events}},
			noBudget, time.Minute, 0,
			[]string{"e1"},
			[]pool.End{pool.EndAnswered},
		},
		{
			"before the head", routing.KindStream,
			[]pausingSend{{long, pauses(short, short, short), events}},
			noEndpoint, time.Minute, 0,
			[]string{"e1"},
			[]pool.End{pool.EndAnswered},
		},
		{
			"before the head of an answer without events", routing.KindIdempotent,
			[]pausingSend{{long, pauses(short), []endpoint.Chunk{last("x")}}},
			noBudget, time.Minute, 0,
			[]string{"e1"},
			[]pool.End{pool.EndAnswered},
		},
		{
			"in the body of an answer without events", routing.KindIdempotent,
			[]pausingSend{{short, pauses(long), []endpoint.Chunk{last("x")}}},
			noBudget, time.Minute, 0,
			[]string{"e1"},
			[]pool.End{pool.EndAnswered},
		},
		{
			"until a retry is allowed", routing.KindStream,
			[]pausingSend{forGood, rest},
			noBudget, 3 * time.Second, 0,
			[]string{"e1", "e2"},
			[]pool.End{pool.EndTimeout, pool.EndAnswered},
		},
		{
			"before the head until a retry is allowed", routing.KindStream,
			[]pausingSend{{time.Hour, nil, nil}, whole},
			noBudget, 3 * time.Second, 0,
			[]string{"e1", "e2"},
			[]pool.End{pool.EndTimeout, pool.EndAnswered},
		},
		{
			"goes on while the replacement is placed", routing.KindStream,
			[]pausingSend{betweenEvents},
			nil, 0, 2 * (long - 800*time.Millisecond),
			[]string{"e1"},
			[]pool.End{pool.EndUnused, pool.EndAnswered},
		},
		{
			"ends while the replacement is placed", routing.KindIdempotent,
			[]pausingSend{{long, pauses(short), []endpoint.Chunk{last("x")}}},
			nil, 0, time.Second,
			[]string{"e1"},
			[]pool.End{pool.EndUnused, pool.EndAnswered},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink := routedExchange(test.kind)
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				sender := &pausingSender{script: test.script}
				p := &busyPool{refusal: test.refusal, refuseUntil: time.Now().Add(test.refused), placing: test.placing}
				err := Forward{p, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(ctx, x, nil)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, sink.whole, qt.IsTrue)
				qt.Check(t, sender.to, qt.DeepEquals, test.to)
				qt.Check(t, p.ends, qt.DeepEquals, test.ends)
			})
		})
	}
}

// TestSilentSendGoesOnIfItsReplacementComesTooLate has the pool take so long to place a replacement that it couldn't be sent any
// more, while the silent send goes on just in time.
func TestSilentSendGoesOnIfItsReplacementComesTooLate(t *testing.T) {
	const silent, step = time.Second, 10 * time.Millisecond
	tests := []struct {
		name    string
		placing time.Duration
	}{
		{"after the last send time", 4 * step},
		{"just after the last send time", 3*step + time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink := routedExchange(routing.KindIdempotent)
				x.Request.Deadline = x.Arrived.Add(silent + 5*step)
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				sender := &pausingSender{script: []pausingSend{{silent + 9*step/2, []time.Duration{0}, []endpoint.Chunk{last("x")}}}}
				p := &busyPool{placing: test.placing}
				qt.Check(t, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(ctx, x, nil), qt.IsNil)
				qt.Check(t, sink.whole, qt.IsTrue)
				qt.Check(t, p.ends, qt.DeepEquals, []pool.End{pool.EndUnused, pool.EndAnswered})
			})
		})
	}
}

// TestAnswerIsKeptIfTheStrongerModelHasNoEndpoint checks that an answer of low confidence isn't dropped for one that can't be had.
func TestAnswerIsKeptIfTheStrongerModelHasNoEndpoint(t *testing.T) {
	tests := []struct {
		name    string
		refused time.Duration
		text    string
		ends    []pool.End
	}{
		{"placed", 0, "large", []pool.End{pool.EndAnswered, pool.EndAnswered}},
		{"no endpoint", time.Minute, "small", []pool.End{pool.EndAnswered}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x, sink := routedExchange(routing.KindStream, "s", "l")
			sender := &scriptedSender{script: []scriptedSend{
				{head: rated("1", 5), chunks: []endpoint.Chunk{event("1", "small"), end}},
				{head: rated("2", 95), chunks: []endpoint.Chunk{event("1", "large"), end}},
			}}
			p := &busyPool{refusal: result.Errorf(result.NoEndpoint, "none"), refuseUntil: time.Now().Add(test.refused)}
			err := Chain(Escalate{}, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil})(t.Context(), x)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, sink.whole, qt.IsTrue)
			qt.Check(t, sink.text, qt.Equals, test.text)
			qt.Check(t, p.ends, qt.DeepEquals, test.ends)
		})
	}
}

// TestLongPromptIsNotTakenForSilence checks that a send isn't moved while its endpoint may still read the prompt, which another
// would have to read from the start.
func TestLongPromptIsNotTakenForSilence(t *testing.T) {
	const short = 10 * time.Millisecond
	tests := []struct {
		name    string
		prefill time.Duration
		to      []string
	}{
		{"short prompt", 100 * time.Millisecond, []string{"e1", "e2"}},
		{"long prompt", 1500 * time.Millisecond, []string{"e1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink := routedExchange(routing.KindStream)
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				pauses, chunks := []time.Duration{short, short}, []endpoint.Chunk{event("1", "data: a\n\n"), end}
				sender := &pausingSender{script: []pausingSend{{2500 * time.Millisecond, pauses, chunks}, {short, pauses, chunks}}}
				qt.Check(t, Forward{&longPromptPool{prefill: test.prefill}, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(ctx, x, nil), qt.IsNil)
				qt.Check(t, sink.whole, qt.IsTrue)
				qt.Check(t, sender.to, qt.DeepEquals, test.to)
			})
		})
	}
}

// TestSlowCallerIsNotTakenForSilence checks that the time in which the caller takes an event isn't a silence of the endpoint.
func TestSlowCallerIsNotTakenForSilence(t *testing.T) {
	const short = 10 * time.Millisecond
	tests := []struct {
		name string
		kind routing.Kind
		send pausingSend
	}{
		{"stream", routing.KindStream, pausingSend{short, []time.Duration{short, short, short}, []endpoint.Chunk{event("1", "a"), event("2", "b"), end}}},
		{"answer without events", routing.KindIdempotent, pausingSend{short, []time.Duration{short}, []endpoint.Chunk{last("ab")}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, _ := routedExchange(test.kind)
				sink := &slowSink{pause: 3 * time.Second}
				x.Sink = sink
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				p := &fakePool{}
				sender := &pausingSender{script: []pausingSend{test.send}}
				qt.Check(t, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(ctx, x, nil), qt.IsNil)
				qt.Check(t, sink.text, qt.Equals, "ab")
				qt.Check(t, p.ends, qt.DeepEquals, []pool.End{pool.EndAnswered})
				qt.Check(t, x.Routed.Trace[0].Silent <= 2*short, qt.IsTrue)
			})
		})
	}
}

// TestSilentRequestIsAnsweredBeforeItsCallerGivesUp checks that a request of which nothing was answered gets its error before the
// caller's timeout, and that an answer which has begun may use all of the time.
func TestSilentRequestIsAnsweredBeforeItsCallerGivesUp(t *testing.T) {
	const timeout = 5 * time.Second
	silent := pausingSend{time.Hour, nil, nil}
	tests := []struct {
		name         string
		kind         routing.Kind
		routeTimeout time.Duration
		send         pausingSend
		// from and to bound the time until the end.
		from, to time.Duration
		code     result.Code
	}{
		{"idempotent", routing.KindIdempotent, 0, silent, timeout * 9 / 10, timeout - 10*time.Millisecond, result.DeadlinePassed},
		{"non-idempotent", routing.KindNonIdempotent, 0, silent, timeout * 9 / 10, timeout - 10*time.Millisecond, result.DeadlinePassed},
		{"stream", routing.KindStream, 0, silent, timeout * 9 / 10, timeout - 10*time.Millisecond, result.DeadlinePassed},
		{
			"stream that has begun", routing.KindStream, 0,
			pausingSend{0, []time.Duration{0, timeout - time.Millisecond}, []endpoint.Chunk{event("1", "a"), end}},
			timeout - time.Millisecond, timeout - time.Millisecond, 0,
		},
		{"the route's timeout ends just before", routing.KindNonIdempotent, timeout - 5*time.Millisecond, silent, timeout * 9 / 10, timeout - 10*time.Millisecond, result.DeadlinePassed},
		{"the route's timeout ends before", routing.KindStream, timeout / 2, silent, timeout / 2, timeout / 2, result.DeadlinePassed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, _ := routedExchange(test.kind)
				x.Routed.Route.MaxAttempts = 1
				x.Routed.CallerTimeout = timeout
				x.Request.Deadline = deadline(x.Arrived, timeout, test.routeTimeout)
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				err := Forward{&fakePool{}, noShift{}, &pausingSender{script: []pausingSend{test.send}}, noQuarantine{}, nil, nil}.Handle(ctx, x, nil)
				took := time.Since(x.Arrived)
				qt.Check(t, took >= test.from && took <= test.to, qt.IsTrue, qt.Commentf("%v", took))
				if test.code == 0 {
					qt.Check(t, err, qt.IsNil)
					return
				}
				qt.Check(t, result.From(err).Code, qt.Equals, test.code)
			})
		})
	}
}

// TestPauseOfABusyEndpointBreaksNoAnswer lets all streams of an endpoint pause at once.
func TestPauseOfABusyEndpointBreaksNoAnswer(t *testing.T) {
	const streams = 64
	tests := []struct {
		name  string
		ratio float64
		pause time.Duration
		// maxMoved is how many may be moved to the other endpoint.
		maxMoved int
	}{
		{"the retry budget is smaller than the endpoint", 0.2, 1300 * time.Millisecond, streams / 4},
		{"the retry budget allows to move all, for a short pause", 2, 1300 * time.Millisecond, streams / 2},
		{"the retry budget allows to move all, for good", 2, time.Hour, streams},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			whole, moved := pauseBusyEndpoint(t, streams, test.ratio, test.pause)
			qt.Check(t, whole, qt.Equals, streams)
			qt.Check(t, moved <= test.maxMoved, qt.IsTrue, qt.Commentf("%d of %d moved", moved, streams))
		})
	}
}

// pauseBusyEndpoint starts the streams at an endpoint that pauses, and returns how many came whole and how many were moved.
func pauseBusyEndpoint(t *testing.T, streams int, ratio float64, pause time.Duration) (whole, moved int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		limit := pool.RetryLimit{Ratio: ratio, Slack: 1, Window: 10 * time.Second}
		p := pool.New(noCrashes{}, pool.Options{Location: endpoint.Location{Zone: "z"}, RetryLimit: limit}, logr.Discard())
		ends := make(chan task.End, 1)
		task.Start(ctx, "pool", ends, p.Run)
		for _, id := range []string{"near", "far"} {
			e := pool.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "z" + strings.TrimPrefix(id, "near"), Slots: streams}
			qt.Assert(t, p.Put(ctx, e), qt.IsNil)
		}
		sender := pausedEndpoint{"near", time.Now().Add(pause), make(chan string, 2*streams)}
		requests := make(chan task.End, streams)
		for n := range streams {
			x, sink := routedExchange(routing.KindStream)
			x.Request.ID = fmt.Sprint(n)
			task.Start(ctx, x.Request.ID, requests, func(ctx context.Context) error {
				if err := (Forward{p, noShift{}, sender, noQuarantine{}, nil, nil}).Handle(ctx, x, nil); err != nil {
					return err
				}
				if !sink.whole || sink.text != "data: a\n\ndata: b\n\n" {
					return fmt.Errorf("the answer is %q", sink.text)
				}
				return nil
			})
		}
		for range streams {
			if end := <-requests; end.Err == nil {
				whole++
			}
		}
		moved = len(sender.sends) - streams
		cancel()
		<-ends
	})
	return whole, moved
}
