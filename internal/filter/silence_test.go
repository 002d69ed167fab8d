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
				_ = Forward{&fakePool{}, noShift{}, &pacedSender{streams: []pacedStream{test.stream}}}.Handle(ctx, x, nil)
				qt.Assert(t, x.Routed.Trace, qt.HasLen, 1)
				qt.Check(t, x.Routed.Trace[0].Silent, qt.Equals, test.want)
			})
		})
	}
}

// contextUntil returns a context that ends at the request's deadline.
func contextUntil(t *testing.T, x *Exchange) (context.Context, context.CancelFunc) {
	return context.WithDeadline(t.Context(), x.Request.Deadline)
}

// pausingSender is a Sender whose answers begin after a pause and have pauses between their chunks, as scripted, in order.
type pausingSender struct {
	script []pausingSend
	to     []string
}

type pausingSend struct {
	// head is the time until the head of the answer, pauses[i] that before chunks[i].
	head   time.Duration
	pauses []time.Duration
	chunks []endpoint.Chunk
}

func (s *pausingSender) Open(ctx context.Context, e endpoint.Endpoint, _ endpoint.Call, check endpoint.SendCheck) (endpoint.Stream, error) {
	if err := check(); err != nil {
		return nil, err
	}
	n := len(s.to)
	s.to = append(s.to, e.ID)
	if n >= len(s.script) {
		return nil, fmt.Errorf("%w: no further send is scripted", endpoint.ErrBroken)
	}
	send := s.script[n]
	if !task.Sleep(ctx, send.head) {
		return nil, endpoint.ErrBroken
	}
	return &pausingStream{ctx, send}, nil
}

type pausingStream struct {
	ctx  context.Context
	send pausingSend
}

func (s *pausingStream) Head() endpoint.Head { return head(200, "s") }

func (s *pausingStream) Next() (endpoint.Fragment, error) {
	if !task.Sleep(s.ctx, s.send.pauses[0]) {
		return endpoint.Fragment{}, endpoint.ErrBroken
	}
	c := s.send.chunks[0]
	s.send.pauses, s.send.chunks = s.send.pauses[1:], s.send.chunks[1:]
	return endpoint.Fragment{Chunk: c}, nil
}

func (s *pausingStream) Close() {}

// busyPool is a Pool that refuses retries for a time with an error, and takes a time to place the others.
type busyPool struct {
	fakePool
	refusal     error
	refuseUntil time.Time
	placing     time.Duration
}

func (p *busyPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	if q.Retry && time.Now().Before(p.refuseUntil) {
		return pool.Placement{}, p.refusal
	}
	if q.Retry {
		time.Sleep(p.placing)
	}
	return p.fakePool.Choose(ctx, q)
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
				err := Forward{p, noShift{}, sender}.Handle(ctx, x, nil)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, sink.whole, qt.IsTrue)
				qt.Check(t, sender.to, qt.DeepEquals, test.to)
				qt.Check(t, p.ends, qt.DeepEquals, test.ends)
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
			err := Chain(Escalate{}, Forward{p, noShift{}, sender})(t.Context(), x)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, sink.whole, qt.IsTrue)
			qt.Check(t, sink.text, qt.Equals, test.text)
			qt.Check(t, p.ends, qt.DeepEquals, test.ends)
		})
	}
}

// longPromptPool is a Pool whose endpoints take a time to process the prompt.
type longPromptPool struct {
	fakePool
	prefill time.Duration
}

func (p *longPromptPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	place, err := p.fakePool.Choose(ctx, q)
	place.PrefillTime = p.prefill
	return place, err
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
				qt.Check(t, Forward{&longPromptPool{prefill: test.prefill}, noShift{}, sender}.Handle(ctx, x, nil), qt.IsNil)
				qt.Check(t, sink.whole, qt.IsTrue)
				qt.Check(t, sender.to, qt.DeepEquals, test.to)
			})
		})
	}
}

// slowSink is a Sink that takes a time for each chunk.
type slowSink struct {
	textSink
	pause time.Duration
}

func (w *slowSink) Chunk(ctx context.Context, p endpoint.Chunk) error {
	time.Sleep(w.pause)
	return w.textSink.Chunk(ctx, p)
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
				qt.Check(t, Forward{p, noShift{}, sender}.Handle(ctx, x, nil), qt.IsNil)
				qt.Check(t, sink.text, qt.Equals, "ab")
				qt.Check(t, p.ends, qt.DeepEquals, []pool.End{pool.EndAnswered})
				qt.Check(t, x.Routed.Trace[0].Silent <= 2*short, qt.IsTrue)
			})
		})
	}
}

// noCrashes implements pool.Crashes.
type noCrashes struct{}

func (noCrashes) Crashed(context.Context, uint64, string) error { return nil }

// pausedEndpoint is a Sender of streams that come without a pause, except that all streams of the endpoint stand still from
// after their first event until a moment.
type pausedEndpoint struct {
	id    string
	until time.Time
	// sends receives the endpoint of each send.
	sends chan string
}

func (s pausedEndpoint) Open(ctx context.Context, e endpoint.Endpoint, c endpoint.Call, check endpoint.SendCheck) (endpoint.Stream, error) {
	if err := check(); err != nil {
		return nil, err
	}
	s.sends <- e.ID
	send := pausingSend{0, []time.Duration{0, 0, 0}, []endpoint.Chunk{event("1", "data: a\n\n"), event("2", "data: b\n\n"), end}}
	if e.ID == s.id {
		send.pauses[1] = time.Until(s.until)
	}
	if c.LastEventID == "1" {
		send.pauses, send.chunks = send.pauses[1:], send.chunks[1:]
	}
	return &pausingStream{ctx, send}, nil
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
				if err := (Forward{p, noShift{}, sender}).Handle(ctx, x, nil); err != nil {
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
