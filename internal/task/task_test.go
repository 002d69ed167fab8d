package task

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// question is a message that asks for a number.
type question struct{ reply chan<- int }

func ask(reply chan<- int) question { return question{reply} }

// TestAsk asks a mailbox that is answered, full or never read.
func TestAsk(t *testing.T) {
	rows := []struct {
		name     string
		capacity int
		answer   bool
		want     int
		err      error
	}{
		{"answered", 1, true, 42, nil},
		{"mailbox full", 0, false, 0, ErrFull},
		{"never answered", 1, false, 0, context.DeadlineExceeded},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				mailbox := make(chan question, row.capacity)
				ends := make(chan End, 1)
				Start(ctx, "owner", ends, func(ctx context.Context) error {
					if row.answer {
						(<-mailbox).reply <- 42
					}
					<-ctx.Done()
					return nil
				})
				got, err := Ask(ctx, mailbox, ask)
				c.Assert(got, qt.Equals, row.want)
				c.Assert(errors.Is(err, row.err), qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(Stop(cancel, ends, 1), qt.IsNil)
			})
		})
	}
}

// TestStopReturnsTheFirstErrorThatIsNoCancellation stops tasks that end with cancellations and other errors.
func TestStopReturnsTheFirstErrorThatIsNoCancellation(t *testing.T) {
	broken := errors.New("broken")
	rows := []struct {
		name string
		errs []error
		want error
	}{
		{"all cancelled", []error{context.Canceled, nil}, nil},
		{"one broke", []error{context.Canceled, broken, nil}, broken},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			ends := make(chan End, len(row.errs))
			for _, err := range row.errs {
				Start(ctx, "task", ends, func(ctx context.Context) error {
					<-ctx.Done()
					return err
				})
			}
			c.Assert(errors.Is(Stop(cancel, ends, len(row.errs)), row.want), qt.IsTrue)
		})
	}
}

// TestTellWaits checks how long a message waits for room in the mailbox.
func TestTellWaits(t *testing.T) {
	rows := []struct {
		name     string
		capacity int
		tell     func(ctx context.Context, mailbox chan<- int) error
		after    time.Duration
		err      error
	}{
		{"room, until", 1, func(ctx context.Context, m chan<- int) error { return TellUntil(ctx, m, 1) }, 0, nil},
		{"no room, until", 0, func(ctx context.Context, m chan<- int) error { return TellUntil(ctx, m, 1) }, time.Second, context.DeadlineExceeded},
		{"room, within", 1, func(ctx context.Context, m chan<- int) error { return TellWithin(ctx, m, 1, time.Minute) }, 0, nil},
		{"no room, within longer than ctx", 0, func(ctx context.Context, m chan<- int) error { return TellWithin(ctx, m, 1, time.Minute) }, time.Minute, ErrFull},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				start := time.Now()
				c.Assert(errors.Is(row.tell(ctx, make(chan int, row.capacity)), row.err), qt.IsTrue)
				c.Assert(time.Since(start), qt.Equals, row.after)
			})
		})
	}
}
