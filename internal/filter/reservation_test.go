package filter

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// countedPool is a Pool that takes a time to place retries, at most until the request ends, refuses some, and sends on events 1 for each placement and -1 for each
// end of one, by endpoint.
type countedPool struct {
	placing  []time.Duration
	refusals []bool
	// asked counts the questions, placed the placements; a silence watch may ask beside its request.
	asked, placed atomic.Int64
	events        chan placedOrDone
}

type placedOrDone struct {
	id    string
	delta int
	end   pool.End
}

func (p *countedPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	n := int(p.asked.Add(1))
	if q.Retry {
		if !pauseFor(ctx, p.placing[n%len(p.placing)]) {
			return pool.Placement{}, result.Errorf(result.DeadlinePassed, "the request has ended")
		}
		if p.refusals[n%len(p.refusals)] {
			return pool.Placement{}, result.Errorf(result.QueueFull, "retry budget is used up")
		}
	}
	placed := p.placed.Add(1)
	if placed > maxPlaced {
		return pool.Placement{}, result.Errorf(result.NoEndpoint, "all endpoints were tried")
	}
	id := fmt.Sprint("e", placed)
	p.events <- placedOrDone{id, 1, 0}
	return pool.Placement{Entry: pool.Entry{ID: id, Address: "127.0.0.1:1"}, RetryAllowed: true}, nil
}

func (p *countedPool) Done(_ context.Context, o pool.Outcome) error {
	p.events <- placedOrDone{o.Endpoint, -1, o.End}
	return nil
}

func (p *countedPool) Note(context.Context, pool.Notice) error                   { return nil }
func (p *countedPool) Confirm(context.Context, pool.Query, string) (bool, error) { return true, nil }
func (*countedPool) Began(context.Context, pool.Begin) error                     { return nil }

// randomSend is one send of a randomSender.
type randomSend struct {
	head, pause time.Duration
	confidence  int
	// err ends the send before its head; breakAt is the event before which the stream breaks off, if it has one.
	err     error
	breakAt int
}

// randomSender is a Sender of streams with five events, which goes on after Last-Event-Id. runs receives the ID of each endpoint
// that ran a request.
type randomSender struct {
	sends []randomSend
	n     atomic.Int64
	runs  chan string
}

const (
	randomEvents = 5
	// maxPlaced is how many endpoints countedPool has.
	maxPlaced = 20
	// maxPlacing is the longest time that countedPool takes to place a retry.
	maxPlacing = 200 * time.Millisecond
)

func (s *randomSender) Open(ctx context.Context, e endpoint.Endpoint, c endpoint.Call, check endpoint.SendCheck) (endpoint.Stream, error) {
	if err := check(); err != nil {
		return nil, err
	}
	send := s.sends[int(s.n.Add(1)-1)%len(s.sends)]
	if send.err == nil || send.err == endpoint.ErrBroken {
		s.runs <- e.ID
	}
	if !pauseFor(ctx, send.head) {
		return nil, endpoint.ErrBroken
	}
	if send.err != nil {
		return nil, send.err
	}
	after := 0
	if c.LastEventID != "" {
		_, _ = fmt.Sscan(c.LastEventID, &after) // the sink checks the order
	}
	return &randomStream{ctx, send, after}, nil
}

type randomStream struct {
	ctx  context.Context
	send randomSend
	last int
}

func (s *randomStream) Head() endpoint.Head { return rated("s", s.send.confidence) }
func (s *randomStream) Close()              {}

func (s *randomStream) Next() (endpoint.Fragment, error) {
	s.last++
	if s.last == s.send.breakAt {
		return endpoint.Fragment{}, endpoint.ErrBroken
	}
	pause := 10 * time.Millisecond
	if s.last == 3 {
		pause = s.send.pause
	}
	if !pauseFor(s.ctx, pause) || s.ctx.Err() != nil {
		return endpoint.Fragment{}, endpoint.ErrBroken
	}
	if s.last > randomEvents {
		return endpoint.Fragment{Chunk: end}, nil
	}
	return endpoint.Fragment{Chunk: event(fmt.Sprint(s.last), fmt.Sprint(s.last))}, nil
}

// TestEachPlacementEndsOnce draws silent, refused, broken and escalated sends, placements that are slow or refused, and callers
// that leave, and checks that each placement ends once, that streams stay in order and that the bounds on sends hold.
func TestEachPlacementEndsOnce(tt *testing.T) {
	ms := func(t *rapid.T, name string, list ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(list).Draw(t, name)) * time.Millisecond
	}
	errs := []error{nil, nil, nil, nil, endpoint.ErrBroken, endpoint.ErrNotSent, endpoint.ErrReplaced, endpoint.ErrMisdirected, &endpoint.RefusedError{Status: 503}}
	rapid.Check(tt, func(t *rapid.T) {
		kind := rapid.SampledFrom([]routing.Kind{routing.KindStream, routing.KindNonIdempotent}).Draw(t, "kind")
		sender := &randomSender{runs: make(chan string, 100)}
		for range rapid.IntRange(1, 5).Draw(t, "sends") {
			sender.sends = append(sender.sends, randomSend{
				ms(t, "head", 0, 500, 1000, 1001, 1100, 1150, 1300, 9000), ms(t, "pause", 0, 799, 800, 801, 950, 951, 1300, 9000),
				rapid.SampledFrom([]int{5, 95}).Draw(t, "confidence"), rapid.SampledFrom(errs).Draw(t, "error"), rapid.IntRange(0, 9).Draw(t, "breakAt"),
			})
		}
		p := &countedPool{events: make(chan placedOrDone, 1000)}
		for range rapid.IntRange(1, 5).Draw(t, "placements") {
			p.placing = append(p.placing, ms(t, "placing", 0, 0, 1, 149, 150, int(maxPlacing/time.Millisecond)))
			p.refusals = append(p.refusals, rapid.Bool().Draw(t, "refused"))
		}
		left, timeout := ms(t, "left", 100, 1000, 1100, 1150, 20000), ms(t, "timeout", 10, 400, 2000, 5000)
		slow := ms(t, "slow caller", 0, 0, 150, 1000)
		var problems []string
		synctest.Test(tt, func(tt *testing.T) {
			x, _ := routedExchange(kind, "s", "l")
			sink := &slowSink{pause: slow}
			x.Sink = sink
			x.Routed.CallerTimeout, x.Request.Deadline = timeout, x.Arrived.Add(timeout)
			ctx, cancel := context.WithTimeout(tt.Context(), min(left, timeout))
			defer cancel()
			err := Chain(Escalate{}, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil})(ctx, x)
			problems = randomRunProblems(x, &sink.textSink, p, sender, err)
			if took := time.Since(x.Arrived); took > min(left, timeout)+slow {
				problems = append(problems, fmt.Sprintf("it took %v", took))
			}
		})
		if len(problems) > 0 {
			t.Fatalf("%q", problems)
		}
	})
}

// randomRunProblems checks the placements, the sends and the answer of a request that has ended with err, and returns what is wrong.
func randomRunProblems(x *Exchange, sink *textSink, p *countedPool, sender *randomSender, err error) []string {
	var list []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	open := map[string]int{}
	close(p.events)
	for e := range p.events {
		open[e.id] += e.delta
		check(open[e.id] == 0 || open[e.id] == 1, "%d runs at %s", open[e.id], e.id)
	}
	for id, n := range open {
		check(n == 0, "%d runs left at %s", n, id)
	}
	runs := len(sender.runs)
	check(runs <= x.Routed.Route.MaxAttempts, "%d runs", runs)
	check(runs <= 1 || x.Idempotent, "%d runs of a non-idempotent request", runs)
	check(strings.HasPrefix("12345", sink.text), "the answer is %q", sink.text)
	check(err != nil || (sink.whole && sink.text == "12345"), "success with the answer %q", sink.text)
	check(err == nil || !sink.whole, "%v after a whole answer", err)
	check(err == nil || result.From(err).Run != result.NotRun || runs == 0, "%v after %d runs", err, runs)
	return list
}
