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

// chargedPool is a countedPool that counts what the retry budget is charged.
type chargedPool struct {
	countedPool
	charged atomic.Int64
}

func (p *chargedPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	place, err := p.countedPool.Choose(ctx, q)
	if err == nil && q.Retry {
		p.charged.Add(1)
	}
	return place, err
}

func (p *chargedPool) Done(ctx context.Context, o pool.Outcome) error {
	if o.End == pool.EndUnused {
		p.charged.Add(-1)
	}
	return p.countedPool.Done(ctx, o)
}

// drawHandoverSend draws a send that may be slow, refuse, answer with an error status, pause or break off.
func drawHandoverSend(t *rapid.T) handoverSend {
	errs := []error{nil, nil, nil, nil, endpoint.ErrBroken, endpoint.ErrNotSent, endpoint.ErrReplaced, &endpoint.RefusedError{Status: 503}}
	return handoverSend{
		head:    drawTime(t, "head", 0, 10, 1000, 1001, 1010),
		err:     rapid.SampledFrom(errs).Draw(t, "error"),
		status:  rapid.SampledFrom([]int{0, 0, 0, 0, 0, 404, 500}).Draw(t, "status"),
		pauseAt: rapid.IntRange(0, randomEvents+1).Draw(t, "pauseAt"),
		pause:   drawTime(t, "pause", 800, 801, 810, 820, 1000, 1600),
		breakAt: rapid.IntRange(0, 4*randomEvents).Draw(t, "breakAt"),

		confidence: rapid.SampledFrom([]int{0, 5, 5, 95}).Draw(t, "confidence"),
	}
}

// drawTime draws a time in milliseconds: one of the list, or any.
func drawTime(t *rapid.T, name string, list ...int) time.Duration {
	if rapid.Bool().Draw(t, name+" any") {
		return time.Duration(rapid.IntRange(0, 3000).Draw(t, name)) * time.Millisecond
	}
	return time.Duration(rapid.SampledFrom(list).Draw(t, name)) * time.Millisecond
}

// TestEventsComeOnceAndInOrder draws the times and ends of the sends of a stream, some of them to a stronger model, and checks that its events come once and in order,
// that at most two sends are open, one of them only until the other is chosen, and that each is reported and charged once.
func TestEventsComeOnceAndInOrder(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		sender := &handoverSender{events: randomEvents}
		for range rapid.IntRange(1, 5).Draw(t, "sends") {
			sender.script = append(sender.script, drawHandoverSend(t))
		}
		p := &chargedPool{countedPool: countedPool{events: make(chan placedOrDone, 1000)}}
		for range rapid.IntRange(1, 5).Draw(t, "placements") {
			p.placing = append(p.placing, time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 10, 150, 200}).Draw(t, "placing"))*time.Millisecond)
			p.refusals = append(p.refusals, rapid.IntRange(0, 3).Draw(t, "refused") == 0)
		}
		left := rapid.SampledFrom([]time.Duration{time.Second, 1300 * time.Millisecond, time.Minute, time.Minute}).Draw(t, "left")
		slow := rapid.SampledFrom([]time.Duration{0, 0, 10 * time.Millisecond, time.Second}).Draw(t, "slow caller")
		cascade := rapid.SampledFrom([][]string{nil, {"s", "l"}}).Draw(t, "cascade")
		attempts := rapid.IntRange(1, 5).Draw(t, "attempts")
		var problems []string
		synctest.Test(tt, func(tt *testing.T) {
			x, _ := routedExchange(routing.KindStream, cascade...)
			x.Routed.Route.MaxAttempts = attempts
			sink := &slowSink{pause: slow}
			x.Sink = sink
			ctx, cancel := context.WithTimeout(tt.Context(), left)
			defer cancel()
			err := Chain(Escalate{}, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil})(ctx, x)
			problems = handoverProblems(x, &sink.textSink, p, sender, err)
			if took := time.Since(x.Arrived); took > left+slow {
				problems = append(problems, fmt.Sprintf("it took %v", took))
			}
		})
		if len(problems) > 0 {
			t.Fatalf("%q", problems)
		}
	})
}

// handoverProblems checks a stream that has ended with err, its sends and their reports, and returns what is wrong.
func handoverProblems(x *Exchange, sink *textSink, p *chargedPool, sender *handoverSender, err error) []string {
	var list []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	text := ""
	for n := range randomEvents {
		text += fmt.Sprintf("data: %d\n", n+1)
	}
	failed := err == nil && sink.head.Failed()
	check(failed || strings.HasPrefix(text, sink.text), "the answer is %q", sink.text)
	check(failed || err != nil || (sink.whole && sink.text == text), "success with the answer %q", sink.text)
	check(err == nil || !sink.whole, "%v after a whole answer", err)

	open, used := map[string]int{}, 0
	close(p.events)
	for e := range p.events {
		open[e.id] += e.delta
		check(open[e.id] == 0 || open[e.id] == 1, "%d runs at %s", open[e.id], e.id)
		if e.delta < 0 && e.end != pool.EndUnused {
			used++
		}
	}
	for id, n := range open {
		check(n == 0, "%d runs left at %s", n, id)
	}
	check(used == len(x.Routed.Trace) && used == x.Routed.Attempts, "%d ends, %d steps, %d attempts", used, len(x.Routed.Trace), x.Routed.Attempts)
	check(used == 0 || int(p.charged.Load()) == used-1, "%d retries charged for %d sends", p.charged.Load(), used)
	check(len(sender.sends) == x.Sends, "%d sends, %d counted", len(sender.sends), x.Sends)
	check(x.Routed.Attempts-x.Routed.Unreached <= x.Routed.Route.MaxAttempts, "%d attempts, %d unreached", x.Routed.Attempts, x.Routed.Unreached)
	check(sender.maxOpen() <= 2, "%d sends open", sender.maxOpen())
	accepted := false
	for i, b := range sender.sends {
		accepted = accepted || !b.accepted.IsZero()
		for _, a := range sender.sends[:i] {
			together := !b.accepted.IsZero() && a.closed.After(b.accepted) && b.closed.After(b.accepted)
			check(!together, "%s and %s go on after %s accepted the request", a.id, b.id, b.id)
		}
	}
	check(err == nil || result.From(err).Run != result.NotRun || !accepted, "%v after an endpoint accepted the request", err)
	return list
}
