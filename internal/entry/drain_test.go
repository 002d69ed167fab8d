package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/filter"
	"cornelmux/internal/task"
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
			d := newDrain()
			requestCtx, cancelRequest := context.WithCancel(ctx)
			if test.ended {
				cancelRequest()
			}
			handled := make(chan error, 1)
			go func() {
				handled <- d.Handle(requestCtx, &filter.Exchange{}, func(context.Context, *filter.Exchange) error { return nil })
			}()
			for len(d.mailbox) == 0 {
				task.Sleep(ctx, 1) // until the request waits to be counted
			}
			ends := make(chan task.End, 1)
			task.Start(ctx, "drain", ends, d.run)
			<-handled
			s, err := d.state(ctx)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, s.inFlight, qt.Equals, 0)
			cancelRequest()
			cancel()
			<-ends
		})
	}
}
