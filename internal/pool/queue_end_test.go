package pool

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// TestShutdownLeavesSentRequestsTheirRetry guards against a request that may have run and is given up at a shutdown though its answer could
// still come: the shutdown bounds first sends only.
func TestShutdownLeavesSentRequestsTheirRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		stop := time.Now().Add(2 * time.Second)
		o := Options{Location: endpoint.Location{Region: "r", Zone: "z"}, Stops: stopsAt{stop}, RetryLimit: RetryLimit{Slack: 9, Window: time.Minute}}
		c := New(noCrashes{}, o, logr.Discard())
		ends := make(chan task.End, 1)
		task.Start(ctx, "pool", ends, c.Run)
		defer func() {
			cancel()
			<-ends
		}()
		qt.Assert(t, c.Put(ctx, entry("a")), qt.IsNil)
		places := fill(t, c, 1)
		q := waiting("x", 1)
		q.Retry, q.Again = true, true
		answers := make(chan answer, 1)
		ask(t.Context(), c, "", q, answers)
		time.Sleep(time.Until(stop) + time.Second/2)
		end(t, c, places[0], EndAnswered)
		got := <-answers
		qt.Check(t, got.code, qt.Equals, result.OK)
		qt.Check(t, got.place.ID, qt.Equals, "a")
	})
}

// TestRequestPlacedTwiceCountsOnce guards against a retry budget that grows with each request that is placed anew without having been sent.
func TestRequestPlacedTwiceCountsOnce(t *testing.T) {
	tests := []struct {
		name         string
		retry, again bool
		want         float64
	}{
		{"first placement", false, false, 1},
		{"placed anew", false, true, 0},
		{"retry", true, true, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := New(noCrashes{}, Options{Location: endpoint.Location{Region: "r", Zone: "z"}, RetryLimit: RetryLimit{Ratio: 1, Slack: 5, Window: time.Minute}}, logr.Discard())
			defer c.queues.timer.Stop()
			c.table.Put(entry("a"), start)
			c.questions <- struct{}{}
			q := waiting("x", 0)
			q.Retry, q.Again = test.retry, test.again
			chooseMessage{q, task.NewReply[chooseReply]()}.handle(t.Context(), c)
			qt.Check(t, c.budget("s").remaining(time.Now()), qt.Equals, 5+test.want)
		})
	}
}

// placedMeter counts the runs that are said to have been placed after a wait.
type placedMeter struct{ placed int }

func (*placedMeter) RunsWaiting(context.Context, string, int, int)           {}
func (m *placedMeter) RunWaited(context.Context, string, int, time.Duration) { m.placed++ }
func (*placedMeter) RunRefused(context.Context, string, int, string)         {}

// TestRunsThatGetNoEndpointDontCountAsPlaced guards against a metric and a rate, by which others are refused, that count as placed what
// left the queue because its zone was evacuated.
func TestRunsThatGetNoEndpointDontCountAsPlaced(t *testing.T) {
	meter := &placedMeter{}
	c := New(noCrashes{}, Options{Location: endpoint.Location{Region: "r", Zone: "z"}, Admission: meter}, logr.Discard())
	defer c.queues.timer.Stop()
	c.table.Put(entry("a"), start)
	c.table.records["a"].InFlight = roomOfFour
	m := chooseMessage{waiting("x", 0), task.NewReply[chooseReply]()}
	c.wait(t.Context(), m, start)
	c.table.SetEvacuated("z", true, start)
	c.serveQueues(t.Context(), start.Add(queueInterval))
	qt.Check(t, m.reply.Wanted(), qt.IsFalse) // the reply is there
	qt.Check(t, c.queues.byKey, qt.HasLen, 0)
	qt.Check(t, meter.placed, qt.Equals, 0)
}

// TestRetriesWithoutRoomHoldNoOtherBack guards against an endpoint that stays idle because many wait in front that were sent there before.
func TestRetriesWithoutRoomHoldNoOtherBack(t *testing.T) {
	withController(t, 2*maxServed, []Entry{entry("a"), entry("b")}, func(t *testing.T, c *Controller) {
		places := fill(t, c, 2)
		answers := make(chan answer, 2*maxServed)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range maxServed + 1 {
			retry := waiting("x", 1)
			retry.Retry, retry.Again, retry.Exclude = true, true, []string{"b"}
			ask(ctx, c, "retry", retry, answers)
		}
		ask(ctx, c, "new", waiting("y", 1), answers)
		i := slices.IndexFunc(places, func(p Placement) bool { return p.ID == "b" })
		end(t, c, places[i], EndAnswered)
		time.Sleep(2 * queueInterval)
		synctest.Wait()
		qt.Assert(t, answers, qt.HasLen, 1)
		got := <-answers
		qt.Check(t, got.name, qt.Equals, "new")
		qt.Check(t, got.place.ID, qt.Equals, "b")
	})
}

// TestFullQueueRefusesAtOnce guards against a queue that grows without bound.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	withController(t, 9, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
		fill(t, c, 1)
		ctx, cancel := context.WithCancel(t.Context())
		answers := make(chan answer, maxQueued+1)
		for i := range maxQueued + 1 {
			ask(ctx, c, fmt.Sprint(i), waiting("x", 1), answers)
		}
		got := <-answers
		qt.Check(t, got.code, qt.Equals, result.QueueFull)
		qt.Check(t, got.took, qt.Equals, time.Duration(0))
		qt.Check(t, got.retryAfter > 0, qt.IsTrue)
		cancel()
		for range maxQueued {
			<-answers
		}
	})
}
