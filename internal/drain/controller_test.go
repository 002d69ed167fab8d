package drain

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"cornelmux/internal/task"
)

// startController starts a controller that stops with the test. Its lines are written to lines, which has room for them.
func startController(t *testing.T, lines chan<- string) *Controller {
	log := funcr.New(func(_, args string) { lines <- args }, funcr.Options{})
	c := New(log)
	ctx, cancel := context.WithCancel(t.Context())
	ends := make(chan task.End, 1)
	task.Start(ctx, "drain", ends, c.Run)
	t.Cleanup(func() {
		cancel()
		<-ends
	})
	return c
}

// takeLines returns the lines since the last call that hold text.
func takeLines(lines <-chan string, text string) (taken []string) {
	for {
		select {
		case l := <-lines:
			if strings.Contains(l, text) {
				taken = append(taken, l)
			}
		default:
			return taken
		}
	}
}

// TestStopTellsOfEachRequestInFlight checks the lines at half of a stop's time and at its end.
func TestStopTellsOfEachRequestInFlight(t *testing.T) {
	tests := []struct {
		name    string
		request Request
		// progress is what the request tells after its entry, exited that it ended.
		progress []Request
		exited   bool
		want     []string
	}{
		{"body is being read", Request{Stage: StageReading}, nil, false, []string{`"stage"="reading"`, `"sends"=0`, `"arrived_ms"=-1000`, `"age_ms"=3000`, `"left_ms"=2000`}},
		{"waits to be sent", Request{Stage: StageReading}, []Request{{Stage: StagePlacing}}, false, []string{`"stage"="placing"`, `"sends"=0`}},
		{"was sent twice", Request{Stage: StageReading}, []Request{{Stage: StageSent, Sends: 1}, {Stage: StageSent, Sends: 2}}, false, []string{`"stage"="sent"`, `"sends"=2`}},
		{"answer has begun", Request{Stage: StageReading}, []Request{{Stage: StageSent, Sends: 1}, {Stage: StageAnswering, Sends: 1}}, false, []string{`"stage"="answering"`, `"sends"=1`}},
		{"has ended", Request{Stage: StageReading}, nil, true, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lines := make(chan string, 8)
				c := startController(t, lines)
				ticket, r := &Ticket{Cancel: func(error) {}}, test.request
				r.ID, r.Route, r.Arrived, r.Deadline = "q1", "look", time.Now(), time.Now().Add(5*time.Second)
				c.Enter(ticket, r)
				for _, p := range test.progress {
					r.Stage, r.Sends = p.Stage, p.Sends
					c.Update(ticket, r)
				}
				if test.exited {
					c.Exit(ticket)
				}
				time.Sleep(time.Second)
				began := time.Now()
				c.Leave(Stop{Began: began, AnswerBy: began.Add(4 * time.Second), CutAt: began.Add(4 * time.Second)})
				time.Sleep(2*time.Second + time.Millisecond)
				halfway := takeLines(lines, `"at"="halfway"`)
				n, err := c.ReportEnd(t.Context())
				qt.Assert(t, err, qt.IsNil)
				end := takeLines(lines, `"at"="end"`)
				if test.exited {
					qt.Check(t, n, qt.Equals, 0)
					qt.Check(t, append(halfway, end...), qt.HasLen, 0)
					return
				}
				qt.Check(t, n, qt.Equals, 1)
				qt.Assert(t, halfway, qt.HasLen, 1)
				qt.Assert(t, end, qt.HasLen, 1)
				for _, want := range append(test.want, `"request"="q1"`, `"route"="look"`) {
					qt.Check(t, halfway[0], qt.Contains, want)
				}
			})
		})
	}
}

// TestReportOfAStopIsBounded checks that many requests in flight don't flood the log.
func TestReportOfAStopIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := make(chan string, 4*maxReported)
		c := startController(t, lines)
		for n := range 2 * maxReported {
			c.Enter(&Ticket{}, Request{ID: fmt.Sprint("q", n), Arrived: time.Now()})
		}
		c.Leave(Stop{Began: time.Now(), AnswerBy: time.Now().Add(time.Second), CutAt: time.Now().Add(time.Second)})
		n, err := c.ReportEnd(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, n, qt.Equals, 2*maxReported)
		all := takeLines(lines, "")
		qt.Check(t, all, qt.HasLen, maxReported+1)
		qt.Check(t, all[maxReported], qt.Contains, fmt.Sprint(`"requests"=`, maxReported))
	})
}

// TestStopEndsWhatHasNoAnswer checks which requests are ended and when, by the shutdown as the cause.
func TestStopEndsWhatHasNoAnswer(t *testing.T) {
	const acceptUntil, answerBy, cutAt = 2 * time.Second, 3 * time.Second, 4 * time.Second
	tests := []struct {
		name string
		// enteredAt is when the request enters, relative to the shutdown; stage is the one that it reaches.
		enteredAt time.Duration
		stage     Stage
		// deadline is the request's, relative to the shutdown; 0 is none.
		deadline time.Duration
		// want is when it is ended; 0 is never.
		want time.Duration
	}{
		{"body is being read", -time.Second, StageReading, 0, acceptUntil},
		{"body is being read, deadline after the end", -time.Second, StageReading, answerBy + 1, acceptUntil},
		{"body is being read, deadline before the end", -time.Second, StageReading, answerBy, answerBy},
		{"waits to be sent", time.Second, StagePlacing, 0, answerBy},
		{"was sent", -time.Second, StageSent, 0, answerBy},
		{"answer has begun", -time.Second, StageAnswering, 0, 0},
		{"enters after that", answerBy + 100*time.Millisecond, StageReading, 0, answerBy + 100*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startController(t, make(chan string, 8))
				began := time.Now().Add(2 * time.Second)
				leave := time.AfterFunc(time.Until(began), func() {
					c.Leave(Stop{Began: began, AdmitUntil: began.Add(acceptUntil), AcceptUntil: began.Add(acceptUntil), AnswerBy: began.Add(answerBy), CutAt: began.Add(cutAt)})
				})
				defer leave.Stop()
				time.Sleep(time.Until(began.Add(test.enteredAt)))
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				ticket := &Ticket{Cancel: cancel}
				r := Request{ID: "q1", Stage: StageReading, Arrived: time.Now()}
				if test.deadline > 0 {
					r.Deadline = began.Add(test.deadline)
				}
				c.Enter(ticket, r)
				if test.stage != StageReading {
					r.Stage, r.Sends = test.stage, 1
					c.Update(ticket, r)
				}
				select {
				case <-ctx.Done():
					qt.Check(t, time.Since(began), qt.Equals, test.want)
					var s Stop
					qt.Check(t, errors.As(context.Cause(ctx), &s), qt.IsTrue)
				case <-time.After(time.Until(began.Add(cutAt))):
					qt.Check(t, test.want, qt.Equals, time.Duration(0))
				}
			})
		})
	}
}
