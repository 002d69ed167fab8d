package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/drain"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// fourSlots is the configuration of a service whose endpoints process four runs at once, and queue another one.
var fourSlots = &routing.Service{Name: "s", Engine: routing.Engine{Slots: 4}}

// roomOfFour is the number of runs for which an endpoint of fourSlots has room.
const roomOfFour = 5

// waiting returns a run of an account that may wait.
func waiting(account string, priority int) Query {
	return Query{Service: "s", Waits: true, Config: fourSlots, Account: account, Priority: priority}
}

// answer is what came of a Choose.
type answer struct {
	name  string
	place Placement
	code  result.Code
	// retryAfter is that of the error.
	retryAfter time.Duration
	took       time.Duration
}

// ask asks for a placement in a task of its own and sends the answer.
func ask(ctx context.Context, c *Controller, name string, q Query, answers chan<- answer) {
	began := time.Now()
	go func() {
		p, err := c.Choose(ctx, q)
		a := answer{name: name, place: p, took: time.Since(began)}
		if err != nil {
			a.code, a.retryAfter = result.From(err).Code, result.From(err).RetryAfter
		}
		answers <- a
	}()
	synctest.Wait()
}

// fill takes all the room of the endpoints.
func fill(t *testing.T, c *Controller, endpoints int) (places []Placement) {
	for range endpoints * roomOfFour {
		p, err := c.Choose(t.Context(), waiting("full", 0))
		qt.Assert(t, err, qt.IsNil)
		places = append(places, p)
	}
	return places
}

// end ends a run.
func end(t *testing.T, c *Controller, p Placement, e End) {
	qt.Assert(t, c.Done(t.Context(), Outcome{Endpoint: p.ID, Incarnation: p.Incarnation, End: e, Service: "s"}), qt.IsNil)
	synctest.Wait()
}

// TestRunWaitsForRoom checks who waits, and that the most urgent gets the first room and accounts take turns. It guards against bursts that make all late, and
// against services that waited before nobody asked for it.
func TestRunWaitsForRoom(t *testing.T) {
	withController(t, 9, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
		places := fill(t, c, 1)
		answers := make(chan answer, 9)
		ask(t.Context(), c, "less urgent", waiting("x", 2), answers)
		ask(t.Context(), c, "urgent", waiting("x", 0), answers)
		ask(t.Context(), c, "of another account", waiting("y", 2), answers)
		qt.Check(t, answers, qt.HasLen, 0)
		for i, want := range []string{"urgent", "of another account", "less urgent"} {
			end(t, c, places[i], EndAnswered)
			got := <-answers
			qt.Check(t, got.name, qt.Equals, want)
			qt.Check(t, got.code, qt.Equals, result.OK)
			qt.Check(t, got.place.Waited > 0, qt.IsTrue)
		}
		qt.Check(t, stateOf(t, c).inFlight, qt.Equals, roomOfFour)
	})
}

// TestRunsThatDontWait checks which runs are placed, or fail, at once though no endpoint has room.
func TestRunsThatDontWait(t *testing.T) {
	tests := []struct {
		name string
		q    Query
		code result.Code
	}{
		{"resumed stream", Query{Service: "s", Config: fourSlots, Retry: true}, result.OK},
		{"beside a silent send", Query{Service: "s", Config: fourSlots, Retry: true, Silent: "z"}, result.OK},
		{"stronger model", Query{Service: "s", Config: fourSlots, Retry: true, Escalation: true}, result.OK},
		{"service without an engine", Query{Service: "s", Waits: true, Config: &routing.Service{Name: "s"}}, result.OK},
		{"service without a configuration", Query{Service: "s", Waits: true}, result.OK},
		{"all endpoints were tried", Query{Service: "s", Waits: true, Config: fourSlots, Exclude: []string{"a"}}, result.NoEndpoint},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withController(t, 9, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
				fill(t, c, 1)
				retries := stateOf(t, c).retries
				_, err := c.Choose(t.Context(), test.q)
				if test.code == result.OK {
					qt.Check(t, err, qt.IsNil)
					return
				}
				qt.Assert(t, err, qt.IsNotNil)
				qt.Check(t, result.From(err).Code, qt.Equals, test.code)
				qt.Check(t, stateOf(t, c).retries, qt.Equals, retries)
			})
		})
	}
}

// TestStrongerModelIsNotAskedWhileOthersWait guards against escalations that take the engines from what has no answer yet.
func TestStrongerModelIsNotAskedWhileOthersWait(t *testing.T) {
	withController(t, 9, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
		places := fill(t, c, 1)
		answers := make(chan answer, 1)
		ask(t.Context(), c, "", waiting("x", 1), answers)
		stronger := Query{Service: "s", Config: fourSlots, Retry: true, Escalation: true}
		_, err := c.Choose(t.Context(), stronger)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Check(t, result.From(err).Code, qt.Equals, result.QueueFull)
		qt.Check(t, stateOf(t, c).retries, qt.Equals, 0)
		end(t, c, places[0], EndAnswered)
		<-answers
		_, err = c.Choose(t.Context(), stronger)
		qt.Check(t, err, qt.IsNil)
	})
}

// TestQueueIsLeft checks what leaves the queue without a placement. It guards against runs that are placed for nobody, held past their
// time, or counted for good.
func TestQueueIsLeft(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name string
		// timeout ends the caller's wait; 0 is never. deadline is the request's.
		timeout, deadline time.Duration
		retry             bool
		// act happens a second after the run began to wait.
		act   func(t *testing.T, c *Controller)
		code  result.Code
		after time.Duration
	}{
		{"caller leaves", second / 2, 9 * second, false, nil, result.DeadlinePassed, second / 2},
		{"caller of a retry leaves", second / 2, 9 * second, true, nil, result.DeadlinePassed, second / 2},
		{"deadline", 0, 2 * second, false, nil, result.QueueFull, 2 * second},
		{"deadline of a retry", 0, 2 * second, true, nil, result.QueueFull, 2 * second},
		{"longest wait", 0, 0, false, nil, result.QueueFull, maxQueueTime},
		{"held up until after the deadline", 0, 2 * second, false, func(t *testing.T, c *Controller) {
			qt.Assert(t, task.Tell(c.mailbox, message(holdMessage{5 * second})), qt.IsNil)
		}, result.QueueFull, 6 * second},
		{"endpoint vanishes", 0, 4 * second, false, func(t *testing.T, c *Controller) {
			qt.Assert(t, c.Withdraw(t.Context(), "a"), qt.IsNil)
		}, result.NoEndpoint, second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withController(t, 9, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
				fill(t, c, 1)
				retries := stateOf(t, c).retries
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.timeout > 0 {
					time.AfterFunc(test.timeout, cancel)
				}
				q := waiting("x", 1)
				q.Retry, q.Again = test.retry, test.retry
				if test.deadline > 0 {
					q.Deadline = time.Now().Add(test.deadline)
				}
				answers := make(chan answer, 1)
				ask(ctx, c, "", q, answers)
				if test.act != nil {
					time.Sleep(second)
					test.act(t, c)
				}
				got := <-answers
				qt.Check(t, got.code, qt.Equals, test.code)
				qt.Check(t, got.took >= test.after && got.took <= test.after+2*queueInterval, qt.IsTrue, qt.Commentf("%v", got.took))
				time.Sleep(2 * queueInterval)
				state := stateOf(t, c)
				qt.Check(t, state.inFlight, qt.Equals, roomOfFour)
				qt.Check(t, state.retries, qt.Equals, retries)
				qt.Check(t, queuedIn(t, c), qt.Equals, 0)
			})
		})
	}
}

// queuedMessage asks how many runs wait.
type queuedMessage struct{ reply chan<- int }

func (m queuedMessage) handle(_ context.Context, c *Controller) {
	n := 0
	for _, queue := range c.queues.byKey {
		n += queue.Len()
	}
	m.reply <- n
}

func queuedIn(t *testing.T, c *Controller) int {
	n, err := task.Ask(t.Context(), c.mailbox, func(reply chan<- int) message { return queuedMessage{reply} })
	qt.Assert(t, err, qt.IsNil)
	return n
}

// TestRoomComes checks what lets a run that waits go. It guards against one that waits though there is room.
func TestRoomComes(t *testing.T) {
	tests := []struct {
		name string
		q    Query
		act  func(t *testing.T, c *Controller, places []Placement)
		want string
	}{
		{"a run ends", waiting("x", 1), func(t *testing.T, c *Controller, places []Placement) { end(t, c, places[0], EndAnswered) }, "a"},
		{"a run is given back", waiting("x", 1), func(t *testing.T, c *Controller, places []Placement) { end(t, c, places[0], EndAbandoned) }, "a"},
		{"an endpoint is listed", waiting("x", 1), func(t *testing.T, c *Controller, _ []Placement) {
			qt.Assert(t, c.Put(t.Context(), entry("b")), qt.IsNil)
		}, "b"},
		{"a version is listed", Query{Service: "s", Waits: true, Config: fourSlots, Version: "v1"}, func(t *testing.T, c *Controller, _ []Placement) {
			qt.Assert(t, c.Put(t.Context(), entry("b")), qt.IsNil)
		}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withController(t, 9, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
				places := fill(t, c, 1)
				answers := make(chan answer, 1)
				ask(t.Context(), c, "", test.q, answers)
				time.Sleep(time.Second)
				qt.Check(t, answers, qt.HasLen, 0)
				test.act(t, c, places)
				got := <-answers
				qt.Check(t, got.place.ID, qt.Equals, test.want)
				qt.Check(t, got.took <= time.Second+2*queueInterval, qt.IsTrue, qt.Commentf("%v", got.took))
			})
		})
	}
}

// TestVersionThatIsFullHoldsNoOtherBack guards against a session of one version that waits before others that could go.
func TestVersionThatIsFullHoldsNoOtherBack(t *testing.T) {
	other := entry("b")
	other.Version = "v2"
	withController(t, 9, []Entry{entry("a"), other}, func(t *testing.T, c *Controller) {
		first, second := waiting("x", 0), waiting("x", 1)
		first.Version, second.Version = "v1", "v2"
		for range roomOfFour {
			_, err := c.Choose(t.Context(), first)
			qt.Assert(t, err, qt.IsNil)
		}
		answers := make(chan answer, 1)
		ask(t.Context(), c, "", first, answers)
		p, err := c.Choose(t.Context(), second)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, p.ID, qt.Equals, "b")
		qt.Check(t, answers, qt.HasLen, 0)
	})
}

// stopsAt implements Stops with a shutdown that refuses first sends from a time on.
type stopsAt struct{ at time.Time }

func (s stopsAt) Stopping() (drain.Stop, bool) {
	return drain.Stop{AcceptUntil: s.at, AnswerBy: s.at.Add(time.Second)}, !time.Now().Before(s.at.Add(-time.Second))
}

// TestShutdownReachesWhatWaits guards against requests that wait until the shutdown cuts them off.
func TestShutdownReachesWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		stop := time.Now().Add(3 * time.Second)
		c := New(noCrashes{}, Options{Location: endpoint.Location{Region: "r", Zone: "z"}, Stops: stopsAt{stop}}, logr.Discard())
		ends := make(chan task.End, 1)
		task.Start(ctx, "pool", ends, c.Run)
		qt.Assert(t, c.Put(ctx, entry("a")), qt.IsNil)
		fill(t, c, 1)
		answers := make(chan answer, 3)
		q := waiting("x", 1)
		ask(t.Context(), c, "no deadline", q, answers)
		q.Deadline = stop.Add(time.Second / 2)
		ask(t.Context(), c, "may still be sent", q, answers)
		got := <-answers
		qt.Check(t, got.name, qt.Equals, "no deadline")
		qt.Check(t, got.code, qt.Equals, result.Leaving)
		qt.Check(t, got.took <= 3*time.Second+2*queueInterval, qt.IsTrue, qt.Commentf("%v", got.took))
		cancel()
		<-ends
		got = <-answers
		qt.Check(t, got.code, qt.Equals, result.Leaving)
	})
}

// TestRoom checks how many runs an endpoint has room for, with those of other VMs.
func TestRoom(t *testing.T) {
	tests := []struct {
		name string
		// own and others are the runs of this VM and of a peer at a.
		own, others int
		after       time.Duration
		apply       func(t *Table)
		entries     []Entry
		want        Choice
	}{
		{"idle", 0, 0, 0, nil, nil, ChoicePlaced},
		{"one place left", roomOfFour - 1, 0, 0, nil, nil, ChoicePlaced},
		{"full", roomOfFour, 0, 0, nil, nil, ChoiceFull},
		{"full by what a peer runs", 1, roomOfFour - 1, 0, nil, nil, ChoiceFull},
		{"a peer isn't heard of any more", 1, roomOfFour - 1, peerViewTTL + 1, nil, nil, ChoicePlaced},
		{"another has room", roomOfFour, 0, 0, nil, []Entry{entry("b")}, ChoicePlaced},
		{"only another zone's has", roomOfFour, 0, 0, nil, []Entry{elsewhere("b")}, ChoiceFull},
		{"none in this zone is available", roomOfFour, 0, 0, func(t *Table) { t.Withdraw("a") }, []Entry{elsewhere("b")}, ChoicePlaced},
		{"refused one just now", 0, 0, 0, func(t *Table) {
			t.records["a"].refusedUntil = start.Add(refusalTTL)
		}, nil, ChoiceFull},
		{"refused one before", 0, 0, refusalTTL, func(t *Table) {
			t.records["a"].refusedUntil = start.Add(refusalTTL)
		}, nil, ChoicePlaced},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(append([]Entry{entry("a")}, test.entries...)...)
			table.records["a"].InFlight = test.own
			table.ApplyPeerReports("vm", []peer.EndpointReport{{Endpoint: "a", Incarnation: 5, Running: test.others}}, start)
			if test.apply != nil {
				test.apply(table)
			}
			q := waiting("x", 0)
			_, choice := table.Choose(&q, start.Add(test.after))
			qt.Check(t, choice, qt.Equals, test.want)
		})
	}
}

// elsewhere returns an entry of another availability zone.
func elsewhere(id string) Entry {
	e := entry(id)
	e.Zone = "far"
	return e
}

// TestCallersClaimsBuyNoRoom guards against a caller that gets a place before others by what it says of its prompt.
func TestCallersClaimsBuyNoRoom(t *testing.T) {
	tests := []struct {
		name string
		q    Query
	}{
		{"no tokens at all", Query{}},
		{"a negative number of tokens", Query{Prompt: routing.Prompt{TokensIn: -1 << 40, MaxTokensOut: -5}}},
		{"a huge prompt", Query{Prompt: routing.Prompt{TokensIn: 1 << 40, MaxTokensOut: 1 << 40, LikelyTokensOut: 1 << 40}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withController(t, 9, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
				places := fill(t, c, 1)
				answers := make(chan answer, 2)
				ask(t.Context(), c, "honest", waiting("x", 1), answers)
				q := waiting("x", 1)
				q.Prompt = test.q.Prompt
				ask(t.Context(), c, "liar", q, answers)
				end(t, c, places[0], EndAnswered)
				qt.Check(t, (<-answers).name, qt.Equals, "honest")
				end(t, c, places[1], EndAnswered)
				qt.Check(t, (<-answers).name, qt.Equals, "liar")
			})
		})
	}
}
