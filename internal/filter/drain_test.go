package filter

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/drain"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// TestRequestIsUncounted checks that a request is in flight only until Handle returns, also if its context ended before the
// drain's task counted it. Otherwise a graceful shutdown would wait for it until its timeout.
func TestRequestIsUncounted(t *testing.T) {
	tests := []struct {
		name  string
		ended bool
	}{
		{"context in force", false},
		{"context ended before", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c := drain.New(logr.Discard())
			requestCtx, cancelRequest := context.WithCancel(ctx)
			if test.ended {
				cancelRequest()
			}
			entered, leave, handled := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			go func() {
				handled <- Drain{c}.Handle(requestCtx, &Exchange{}, func(context.Context, *Exchange) error {
					close(entered)
					<-leave
					return nil
				})
			}()
			<-entered
			ends := make(chan task.End, 1)
			task.Start(ctx, "drain", ends, c.Run)
			during, err := c.State(ctx)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, during.InFlight, qt.Equals, 1)
			idle := c.Leave(drain.Stop{Began: time.Now(), AnswerBy: time.Now().Add(time.Minute), CutAt: time.Now().Add(time.Minute)})
			during, err = c.State(ctx)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, during, qt.Equals, drain.State{InFlight: 1, Leaving: true})
			select {
			case <-idle:
				t.Error("the VM counts as idle during the request")
			default:
			}
			close(leave)
			<-handled
			s, err := c.State(ctx)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, s.InFlight, qt.Equals, 0)
			<-idle
			cancelRequest()
			cancel()
			<-ends
		})
	}
}

// TestRequestAtAStopIsRefused checks which new requests a VM that is leaving refuses; none of them runs.
func TestRequestAtAStopIsRefused(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		stop drain.Stop
		// left is the time until the request's deadline; 0 if it has none.
		left time.Duration
		code result.Code
	}{
		{"new ones are still taken", drain.Stop{AdmitUntil: now.Add(time.Minute), AnswerBy: now.Add(time.Hour)}, 0, result.OK},
		{"no deadline", drain.Stop{AdmitUntil: now, AnswerBy: now.Add(time.Hour)}, 0, result.Leaving},
		{"deadline after the end", drain.Stop{AdmitUntil: now, AnswerBy: now.Add(time.Minute)}, time.Hour, result.Leaving},
		{"deadline before the end", drain.Stop{AdmitUntil: now, AnswerBy: now.Add(time.Hour)}, time.Minute, result.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := drain.New(logr.Discard())
			c.Leave(test.stop)
			x := &Exchange{}
			if test.left > 0 {
				x.Request.Deadline = now.Add(test.left)
			}
			ran := false
			err := Drain{c}.Handle(context.Background(), x, func(context.Context, *Exchange) error {
				ran = true
				return nil
			})
			qt.Check(t, ran, qt.Equals, test.code == result.OK)
			if test.code == result.OK {
				qt.Check(t, err, qt.IsNil)
				return
			}
			e := result.From(err)
			qt.Check(t, e.Code, qt.Equals, test.code)
			qt.Check(t, e.Run, qt.Equals, result.NotRun)
			qt.Check(t, e.RetryAfter > 0, qt.IsTrue)
		})
	}
}
