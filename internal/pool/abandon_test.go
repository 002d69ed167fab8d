package pool

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// holdMessage keeps the Controller's goroutine for a time.
type holdMessage struct{ time.Duration }

func (m holdMessage) handle(context.Context, *Controller) { time.Sleep(m.Duration) }

// stateMessage asks for the runs in flight and the retries that count, and checks that no load is left without a run.
type stateMessage struct{ reply chan<- poolState }

type poolState struct {
	inFlight, requests, retries int
	load                        float64
}

func (m stateMessage) handle(_ context.Context, c *Controller) {
	s := poolState{}
	for _, r := range c.table.records {
		s.inFlight += r.InFlight
		s.load += r.engineLoad
	}
	b := c.budget("s")
	s.requests, s.retries = sum(b.requests, -1), sum(b.retries, -1)
	m.reply <- s
}

func stateOf(t *testing.T, c *Controller) poolState {
	s, err := task.Ask(t.Context(), c.mailbox, func(reply chan<- poolState) message { return stateMessage{reply} })
	qt.Assert(t, err, qt.IsNil)
	return s
}

// TestRequestLeavesAHeldUpPoolAtItsDeadline guards against requests that wait for the pool's goroutine past their deadline, so that
// their callers get neither an answer nor a refusal. A placement that comes too late isn't counted.
func TestRequestLeavesAHeldUpPoolAtItsDeadline(t *testing.T) {
	const held = 3 * time.Second
	tests := []struct {
		name  string
		query Query
		// timeout is the request's; the pool is held up from before it asks.
		timeout time.Duration
		code    result.Code
		after   time.Duration
		want    poolState
	}{
		{"first send, in time", Query{Service: "s"}, 4 * time.Second, result.OK, held, poolState{1, 1, 0, 1}},
		{"first send, too late", Query{Service: "s"}, time.Second, result.DeadlinePassed, time.Second, poolState{0, 1, 0, 0}},
		{"retry, too late", Query{Service: "s", Retry: true}, time.Second, result.DeadlinePassed, time.Second, poolState{}},
		{"retry, in time", Query{Service: "s", Retry: true}, 4 * time.Second, result.OK, held, poolState{1, 0, 1, 1}},
		{"escalation, too late", Query{Service: "s", Retry: true, Escalation: true}, time.Second, result.DeadlinePassed, time.Second, poolState{}},
		{"replacement, too late", Query{Service: "s", Retry: true, Silent: "a"}, time.Second, result.DeadlinePassed, time.Second, poolState{}},
		{"other service, too late", Query{Service: "other"}, time.Second, result.DeadlinePassed, time.Second, poolState{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withController(t, 10, []Entry{entry("a"), entry("b")}, func(t *testing.T, c *Controller) {
				qt.Assert(t, task.Tell(c.mailbox, message(holdMessage{held})), qt.IsNil)
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				began := time.Now()
				_, err := c.Choose(ctx, test.query)
				qt.Check(t, time.Since(began), qt.Equals, test.after)
				if test.code == result.OK {
					qt.Check(t, err, qt.IsNil)
				} else {
					qt.Assert(t, err, qt.IsNotNil)
					qt.Check(t, result.From(err).Code, qt.Equals, test.code)
					qt.Check(t, result.From(err).Run, qt.Equals, result.NotRun)
				}
				qt.Check(t, stateOf(t, c), qt.Equals, test.want)
			})
		})
	}
}

// placeAndGiveBackMessage places a run whose request leaves meanwhile.
type placeAndGiveBackMessage struct{ query Query }

func (m placeAndGiveBackMessage) handle(_ context.Context, c *Controller) {
	now := time.Now()
	if c.takeRetry(&m.query, c.budget("s"), now) == 0 {
		p, _ := c.table.Choose(&m.query, now)
		c.giveBack(&m.query, &p, now)
	}
}

// TestPlacementWhoseRequestLeftIsGivenBack checks that neither the endpoint nor the retry budget counts it.
func TestPlacementWhoseRequestLeftIsGivenBack(t *testing.T) {
	tests := []Query{
		{Service: "s"},
		{Service: "s", Weight: 0.25},
		{Service: "s", Retry: true},
		{Service: "s", Retry: true, Silent: "a"},
		{Service: "s", Retry: true, Escalation: true, Weight: 0.5},
	}
	for _, test := range tests {
		withController(t, 10, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
			_, err := c.Choose(t.Context(), Query{Service: "s", Retry: true})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, task.Tell(c.mailbox, message(placeAndGiveBackMessage{test})), qt.IsNil)
			qt.Check(t, stateOf(t, c), qt.Equals, poolState{1, 0, 1, 1}, qt.Commentf("%+v", test))
		})
	}
}

// TestNothingIsLeftOfAbandonedPlacements draws requests whose deadlines pass at any moment while the pool is held up now and then, and
// checks that at the end no run is in flight, and that the retries that were placed are what counts in the budget.
func TestNothingIsLeftOfAbandonedPlacements(tt *testing.T) {
	type draw struct {
		query                        Query
		wait, timeout, holds, unused time.Duration
	}
	ms := func(t *rapid.T, name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	rapid.Check(tt, func(t *rapid.T) {
		var list []draw
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			q := Query{Service: "s", Retry: rapid.Bool().Draw(t, "retry")}
			if q.Retry {
				q.Escalation = rapid.Bool().Draw(t, "escalation")
				q.Silent = rapid.SampledFrom([]string{"", "a"}).Draw(t, "silent")
			}
			q.Weight = rapid.SampledFrom([]float64{0, 0.25, 0.5}).Draw(t, "weight")
			list = append(list, draw{q, ms(t, "wait", 4), ms(t, "timeout", 6), ms(t, "holds", 3), ms(t, "run", 5)})
		}
		var problem string
		withController(tt, 12, []Entry{entry("a"), entry("b")}, func(tt *testing.T, c *Controller) {
			const others = 20
			for range others { // a run that is given back twice would show in their number
				_, err := c.Choose(tt.Context(), Query{Service: "s"})
				qt.Assert(tt, err, qt.IsNil)
			}
			type ended struct{ first, retry bool }
			ends := make(chan ended, len(list))
			for _, d := range list {
				time.Sleep(d.wait)
				qt.Assert(tt, task.Tell(c.mailbox, message(holdMessage{d.holds})), qt.IsNil)
				go func() {
					ctx, cancel := context.WithTimeout(tt.Context(), d.timeout)
					defer cancel()
					p, err := c.Choose(ctx, d.query)
					if err == nil {
						time.Sleep(d.unused)
						err := c.Done(tt.Context(), Outcome{Endpoint: p.ID, Incarnation: 5, End: EndAnswered, Service: "s", Weight: d.query.Weight})
						qt.Check(tt, err, qt.IsNil)
					}
					ends <- ended{!d.query.Retry, d.query.Retry && err == nil}
				}()
			}
			synctest.Wait()
			want := poolState{inFlight: others, requests: others, load: others}
			for range list {
				e := <-ends
				if e.first {
					want.requests++
				}
				if e.retry {
					want.retries++
				}
			}
			got := stateOf(tt, c)
			if math.Abs(got.load-want.load) < 1e-9 {
				got.load = want.load
			}
			if got != want {
				problem = fmt.Sprintf("left are %+v, not %+v", got, want)
			}
		})
		if problem != "" {
			t.Fatal(problem)
		}
	})
}

// TestEndOfARunFindsRoomBesideQuestions guards against runs that stay counted as in flight for good, since questions filled the mailbox
// while the pool was held up.
func TestEndOfARunFindsRoomBesideQuestions(t *testing.T) {
	withController(t, 10, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
		p, err := c.Choose(t.Context(), Query{Service: "s"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, task.Tell(c.mailbox, message(holdMessage{2 * tellTimeout})), qt.IsNil)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		codes := make(chan result.Code, mailboxSize)
		for range mailboxSize {
			go func() {
				_, err := c.Choose(ctx, Query{Service: "s"})
				codes <- result.From(err).Code
			}()
		}
		synctest.Wait()
		err = c.Done(t.Context(), Outcome{Endpoint: p.ID, Incarnation: p.Incarnation, End: EndAnswered, Service: "s"})
		qt.Check(t, err, qt.IsNil)
		for range mailboxSize {
			code := <-codes
			qt.Check(t, code == result.QueueFull || code == result.DeadlinePassed, qt.IsTrue, qt.Commentf("%d", code))
		}
		qt.Check(t, stateOf(t, c).inFlight, qt.Equals, 0)
	})
}
