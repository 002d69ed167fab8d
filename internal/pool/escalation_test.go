package pool

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/task"
)

// TestEscalationsOfRunsInFlightStayWithinTheBudget places runs at once and escalates each whose placement said that a retry is
// allowed, as the head of its answer comes.
func TestEscalationsOfRunsInFlightStayWithinTheBudget(t *testing.T) {
	limit := RetryLimit{Ratio: 0.2, Slack: 1, Window: 10 * time.Second}
	for _, runs := range []int{5, 100} {
		t.Run(fmt.Sprint(runs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := New(noCrashes{}, Options{Location: endpoint.Location{Zone: "a"}, RetryLimit: limit}, logr.Discard())
				ends := make(chan task.End, 1)
				task.Start(ctx, "pool", ends, c.Run)
				qt.Assert(t, c.Put(ctx, Entry{ID: "e", Service: "s", Zone: "a", Address: "127.0.0.1:1", Slots: runs}), qt.IsNil)
				allowed := 0
				for range runs {
					p, err := c.Choose(ctx, Query{Service: "s"})
					qt.Assert(t, err, qt.IsNil)
					if p.RetryAllowed {
						allowed++
					}
				}
				escalated := 0
				for range allowed {
					if _, err := c.Choose(ctx, Query{Service: "s", Retry: true, Escalation: true}); err == nil {
						escalated++
					}
				}
				most := limit.Slack + limit.Ratio*float64(runs)
				qt.Check(t, float64(escalated) <= most, qt.IsTrue, qt.Commentf("%d escalations, allowed are %v", escalated, most))
				cancel()
				<-ends
			})
		})
	}
}
