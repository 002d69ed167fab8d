package cascade

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

// scriptedRater is a Rater that returns the next value of ratings, or an error if there is none.
type scriptedRater struct {
	calls   chan string
	ratings chan float64
}

func (s scriptedRater) Rate(ctx context.Context, requestID, _, _ string) (float64, error) {
	s.calls <- requestID
	select {
	case r := <-s.ratings:
		return r, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	default:
		return 0, errors.New("down")
	}
}

// TestControllerWhileTheRatingServiceIsDown checks that missing ratings open the breaker, that requests then do not
// wait for ratings, and that probes go out one at a time until one succeeds.
func TestControllerWhileTheRatingServiceIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rater := scriptedRater{make(chan string, 16), make(chan float64, 1)}
		ctrl := New(rater, nil, 1, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		ends := make(chan task.End, 1)
		task.Start(ctx, "cascades", ends, ctrl.Run)
		key := Key{"parish", "draft"}
		query := Query{Key: key, Idempotent: true, Levels: []Level{{Model: "cheap", Usable: true, Price: 1}, {Model: "strong", Usable: true, Price: 10}}}
		plan := func() Plan {
			p, err := ctrl.Plan(ctx, query)
			c.Assert(err, qt.IsNil)
			return p
		}
		sample := func() {
			c.Assert(ctrl.Sample(Sample{Outcome: Outcome{Key: key, Level: 1, Model: "strong"}, Target: 0.8, RequestID: "r"}), qt.IsNil)
			synctest.Wait()
		}
		c.Assert(plan().Steps, qt.DeepEquals, []Step{{0, true}, {1, false}})
		for range breakerThreshold {
			c.Assert(ctrl.Observe(Outcome{Key: key, Model: "cheap", Rating: RatingMissing}), qt.IsNil)
		}
		c.Assert(plan().Steps, qt.DeepEquals, []Step{{1, false}})
		sample()
		c.Assert(rater.calls, qt.HasLen, 0, qt.Commentf("before the first probe is due"))
		time.Sleep(minProbeBackoff)
		c.Assert(plan().Sample, qt.IsTrue)
		sample()
		sample()
		c.Assert(rater.calls, qt.HasLen, 1, qt.Commentf("one probe at a time"))
		c.Assert(plan().Steps, qt.DeepEquals, []Step{{1, false}})
		time.Sleep(2 * minProbeBackoff)
		rater.ratings <- 0.9
		sample()
		c.Assert(plan().Steps, qt.DeepEquals, []Step{{0, true}, {1, false}})
		levels, err := ctrl.Levels(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(levels[1].Direct, qt.Equals, RatingCounts{1, 1})
		c.Assert(task.Stop(cancel, ends, 1), qt.IsNil)
	})
}
