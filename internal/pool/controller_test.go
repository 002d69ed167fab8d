package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// noCrashes implements Crashes and counts nothing.
type noCrashes struct{}

func (noCrashes) Crashed(context.Context, endpoint.Fingerprints, string) error { return nil }

// withController runs test in a bubble with a Controller that knows the entries and allows the number of retries.
func withController(t *testing.T, retries float64, entries []Entry, test func(t *testing.T, c *Controller)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		limit := RetryLimit{Slack: retries, Window: time.Minute}
		c := New(noCrashes{}, Options{Location: endpoint.Location{Region: "r", Zone: "z"}, RetryLimit: limit}, logr.Discard())
		ends := make(chan task.End, 1)
		task.Start(ctx, "pool", ends, c.Run)
		for _, e := range entries {
			qt.Assert(t, c.Put(ctx, e), qt.IsNil)
		}
		test(t, c)
		cancel()
		<-ends
	})
}

// TestRetryThatIsNotPlacedLeavesTheBudget checks that the budget allows a retry after others found no endpoint.
func TestRetryThatIsNotPlacedLeavesTheBudget(t *testing.T) {
	tests := []struct {
		name  string
		query Query
	}{
		{"retry", Query{Service: "s", Retry: true, Exclude: []string{"a"}}},
		{"escalation", Query{Service: "s", Retry: true, Escalation: true, Exclude: []string{"a"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withController(t, 2, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
				for range 3 {
					_, err := c.Choose(t.Context(), test.query)
					qt.Assert(t, result.From(err).Code, qt.Equals, result.NoEndpoint)
				}
				_, err := c.Choose(t.Context(), Query{Service: "s", Retry: true})
				qt.Check(t, err, qt.IsNil)
			})
		})
	}
}
