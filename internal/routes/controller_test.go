package routes

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
	"cornelmux/pkg/routing"
)

// TestTableIsAppliedWhileTheMailboxIsFull offers a table while questions fill the mailbox, before the Controller handles them.
func TestTableIsAppliedWhileTheMailboxIsFull(t *testing.T) {
	tests := []struct {
		name      string
		questions int
	}{
		{"empty", 0},
		{"full", mailboxSize},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := New(nil, logr.Discard())
				for range test.questions {
					qt.Assert(t, task.Tell(c.mailbox, message(currentMessage{})), qt.IsNil)
				}
				applied, ends := make(chan task.End, 1), make(chan task.End, 1)
				task.Start(ctx, "feed", applied, func(ctx context.Context) error {
					return c.ApplyTable(ctx, (&routing.Table{Version: 7}).Index(), "store")
				})
				synctest.Wait()
				task.Start(ctx, "routes", ends, c.Run)
				synctest.Wait()
				qt.Check(t, (<-applied).Err, qt.IsNil)
				table, err := c.Current(ctx)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, table, qt.IsNotNil)
				cancel()
				<-ends
			})
		})
	}
}

// TestTableIsGivenUpWithItsContext checks that a full mailbox holds the decoder of the feed's items only until its context ends.
func TestTableIsGivenUpWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := New(nil, logr.Discard())
		for range mailboxSize {
			qt.Assert(t, task.Tell(c.mailbox, message(currentMessage{})), qt.IsNil)
		}
		applied := make(chan task.End, 1)
		task.Start(ctx, "feed", applied, func(ctx context.Context) error {
			return c.ApplyTable(ctx, (&routing.Table{Version: 7}).Index(), "store")
		})
		synctest.Wait()
		cancel()
		qt.Check(t, (<-applied).Err, qt.ErrorIs, context.Canceled)
	})
}
