package memory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"cornelmux/internal/task"
)

// startController starts a controller, and returns it with the function that ends it.
func startController(limits Limits) (*Controller, func()) {
	c := New(limits, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan task.End, 1)
	task.Start(ctx, "memory", ends, c.Run)
	return c, func() {
		cancel()
		<-ends
	}
}

// TestLargeBodiesWaitInOrderAndSmallOnesDont fills the memory for large bodies, and then asks for more.
func TestLargeBodiesWaitInOrderAndSmallOnesDont(t *testing.T) {
	const patience = time.Second
	limits := Limits{SmallBodies: 2 * SmallBytes, LargeBodies: 4 << 20}
	tests := []struct {
		name string
		// before is held by another body until releasedAt.
		before     int64
		releasedAt time.Duration
		n          int64
		// leaveAt is when the request ends; 0 is later.
		leaveAt time.Duration
		want    error
		waits   time.Duration
	}{
		{"fits", 1 << 20, 0, 3 << 20, 0, nil, 0},
		{"small beside a large one", 4 << 20, time.Hour, SmallBytes, 0, nil, 0},
		{"as small as the buffers of its connection", 4 << 20, time.Hour, FreeBytes, 0, nil, 0},
		{"waits for the one before", 4 << 20, 300 * time.Millisecond, 1 << 20, 0, nil, 300 * time.Millisecond},
		{"waits in vain", 4 << 20, time.Hour, 1 << 20, 0, ErrFull, patience},
		{"request ends while it waits", 4 << 20, time.Hour, 1 << 20, 200 * time.Millisecond, context.DeadlineExceeded, 200 * time.Millisecond},
		{"never fits", FreeBytes, 0, 4<<20 + 1, 0, ErrFull, 0},
		{"small one that waits for another", 2 * SmallBytes, time.Hour, SmallBytes, 0, nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := startController(limits)
				defer stop()
				first := c.BodyClaim("first", patience)
				qt.Assert(t, first.Reserve(t.Context(), test.before), qt.IsNil)
				timer := time.AfterFunc(test.releasedAt, first.Release)
				ctx, cancel := context.WithCancel(t.Context())
				if test.leaveAt > 0 {
					ctx, cancel = context.WithTimeout(t.Context(), test.leaveAt)
				}
				defer cancel()
				began := time.Now()
				second := c.BodyClaim("second", patience)
				err := second.Reserve(ctx, test.n)
				qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, time.Since(began), qt.Equals, test.waits)
				second.Release()
				if timer.Stop() {
					first.Release()
				}
				synctest.Wait()
				s, err := c.State(t.Context())
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, s.Held()+int64(s.Waiting), qt.Equals, int64(0), qt.Commentf("%+v", s))
			})
		})
	}
}

// TestQuestionBehindOneThatLeftIsGranted checks that a body that gives up its place lets those behind it go on at once.
func TestQuestionBehindOneThatLeftIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := startController(Limits{SmallBodies: SmallBytes, LargeBodies: 4 << 20})
		defer stop()
		first, second, third := c.BodyClaim("1", time.Second), c.BodyClaim("2", 100*time.Millisecond), c.BodyClaim("3", time.Second)
		qt.Assert(t, first.Reserve(t.Context(), 2<<20), qt.IsNil)
		ends := make(chan task.End, 1)
		task.Start(t.Context(), "second", ends, func(ctx context.Context) error { return second.Reserve(ctx, 4<<20) })
		synctest.Wait()
		began := time.Now()
		qt.Check(t, third.Reserve(t.Context(), 1<<20), qt.IsNil)
		qt.Check(t, time.Since(began), qt.Equals, 100*time.Millisecond)
		qt.Check(t, errors.Is((<-ends).Err, ErrFull), qt.IsTrue)
	})
}

// within reports whether each kind holds no more than its limit, and nothing below zero.
func within(s State, limits Limits) bool {
	for _, row := range []struct{ held, limit int64 }{
		{s.SmallBodies, limits.SmallBodies},
		{s.LargeBodies, limits.LargeBodies},
		{s.SmallAnswers, limits.SmallAnswers},
		{s.LargeAnswers, limits.LargeAnswers},
	} {
		if row.held < 0 || row.held > row.limit {
			return false
		}
	}
	return true
}

// TestAccountIsNeverOverItsBoundAndEndsEmpty runs random bodies and answers at once, some of which grow, shrink, wait in vain or leave. None may
// wait for ever, and all is given back.
func TestAccountIsNeverOverItsBoundAndEndsEmpty(t *testing.T) {
	limits := Limits{SmallBodies: 4 * SmallBytes, LargeBodies: 8 << 20, SmallAnswers: 2 * SmallBytes, LargeAnswers: 6 << 20}
	type step struct {
		answer      bool
		sizes       []int64
		start, hold time.Duration
		leave       time.Duration
	}
	rapid.Check(t, func(r *rapid.T) {
		milliseconds := rapid.Custom(func(r *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(1, 2000).Draw(r, "ms")) * time.Millisecond
		})
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			size := rapid.OneOf(rapid.Int64Range(1, SmallBytes), rapid.Int64Range(SmallBytes, 4<<20), rapid.Just(int64(4<<20)), rapid.Just(int64(9<<20)))
			return step{rapid.Bool().Draw(r, "answer"), rapid.SliceOfN(size, 1, 3).Draw(r, "sizes"), milliseconds.Draw(r, "start"), milliseconds.Draw(r, "hold"), milliseconds.Draw(r, "leave")}
		}), 1, 60).Draw(r, "bodies")
		synctest.Test(t, func(t *testing.T) {
			c, stop := startController(limits)
			defer stop()
			ends := make(chan task.End, len(steps))
			for _, s := range steps {
				task.Start(t.Context(), "body", ends, func(ctx context.Context) error {
					time.Sleep(s.start)
					ctx, cancel := context.WithTimeout(ctx, s.leave)
					defer cancel()
					claim := c.BodyClaim("q", 700*time.Millisecond)
					if s.answer {
						claim = c.AnswerClaim("q", 700*time.Millisecond)
					}
					defer claim.Release()
					for _, n := range s.sizes {
						if claim.Reserve(ctx, n) != nil {
							return nil
						}
						time.Sleep(s.hold)
						claim.Shrink(n / 2)
					}
					return nil
				})
			}
			began := time.Now()
			for range steps {
				<-ends
				state, err := c.State(t.Context())
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, within(state, limits), qt.IsTrue, qt.Commentf("%+v", state))
				qt.Assert(t, state.Peak <= limits.SmallBodies+limits.LargeBodies+limits.SmallAnswers+limits.LargeAnswers, qt.IsTrue, qt.Commentf("%+v", state))
			}
			qt.Assert(t, time.Since(began) <= 20*time.Second, qt.IsTrue)
			state, err := c.State(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, state.Held()+int64(state.Waiting), qt.Equals, int64(0), qt.Commentf("%+v", state))
		})
	})
}
