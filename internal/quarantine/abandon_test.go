package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// holdMessage keeps the Controller's goroutine for a time.
type holdMessage struct{ time.Duration }

func (m holdMessage) handle(*Controller) { time.Sleep(m.Duration) }

// withHeldUp runs test in a bubble with a Controller.
func withHeldUp(t *testing.T, test func(t *testing.T, c *Controller)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := New(nil, logr.Discard())
		ends := make(chan task.End, 1)
		task.Start(ctx, "quarantine", ends, c.Run)
		test(t, c)
		cancel()
		<-ends
	})
}

// TestStateThatIsNotSentTakesNothing guards against lost runs that no peer hears of, since they were told to a state that had been given
// up by the time the Controller came to it.
func TestStateThatIsNotSentTakesNothing(t *testing.T) {
	withHeldUp(t, func(t *testing.T, c *Controller) {
		qt.Assert(t, c.Lost(t.Context(), Run{Fingerprints: endpoint.Fingerprints{Path: 7}, Blocks: []uint64{1}, Endpoint: "e", Incarnation: 1}, ProgressHead), qt.IsNil)
		for range announceRounds {
			qt.Assert(t, task.Tell(c.mailbox, message(holdMessage{time.Second})), qt.IsNil)
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			qt.Check(t, c.Collect(ctx, &peer.State{}), qt.ErrorIs, context.DeadlineExceeded)
			cancel()
			time.Sleep(time.Second)
		}
		var s peer.State
		qt.Assert(t, c.Collect(t.Context(), &s), qt.IsNil)
		qt.Check(t, s.LostRuns, qt.HasLen, 1)
	})
}

// TestCheckEndsWithItsRequest checks the error and the time of a check while the Controller is held up.
func TestCheckEndsWithItsRequest(t *testing.T) {
	tests := []struct {
		name           string
		timeout, after time.Duration
		want           result.Code
	}{
		{"in time", 4 * time.Second, 3 * time.Second, result.OK},
		{"too late", time.Second, time.Second, result.DeadlinePassed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHeldUp(t, func(t *testing.T, c *Controller) {
				qt.Assert(t, task.Tell(c.mailbox, message(holdMessage{3 * time.Second})), qt.IsNil)
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				began := time.Now()
				err := c.Check(ctx, Query{Fingerprints: endpoint.Fingerprints{Path: 7}})
				qt.Check(t, time.Since(began), qt.Equals, test.after)
				code := result.OK
				if err != nil {
					code = result.From(err).Code
				}
				qt.Check(t, code, qt.Equals, test.want)
			})
		})
	}
}
