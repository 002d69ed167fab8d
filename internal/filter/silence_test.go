package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/routing"
)

// TestTraceNamesTheLongestSilence checks the silence of each send in the trace, that before the first event included.
func TestTraceNamesTheLongestSilence(t *testing.T) {
	tests := []struct {
		name   string
		stream pacedStream
		want   time.Duration
	}{
		{"even stream", pacedStream{pause: 100 * time.Millisecond, chunks: []endpoint.Chunk{event("1", "a"), event("2", "b"), end}}, 100 * time.Millisecond},
		{"comments are no progress", pacedStream{pause: 100 * time.Millisecond, chunks: []endpoint.Chunk{
			event("1", "a"), {Data: []byte(": here\n\n")}, {Data: []byte(": here\n\n")}, event("2", "b"), end,
		}}, 300 * time.Millisecond},
		{"silent to its end", pacedStream{pause: time.Hour, chunks: []endpoint.Chunk{end}}, time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, _ := routedExchange(routing.KindStream)
				x.Routed.Route.MaxAttempts = 1
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				_ = Forward{&fakePool{}, noShift{}, &pacedSender{streams: []pacedStream{test.stream}}}.Handle(ctx, x, nil)
				qt.Assert(t, x.Routed.Trace, qt.HasLen, 1)
				qt.Check(t, x.Routed.Trace[0].Silent, qt.Equals, test.want)
			})
		})
	}
}

// contextUntil returns a context that ends at the request's deadline.
func contextUntil(t *testing.T, x *Exchange) (context.Context, context.CancelFunc) {
	return context.WithDeadline(t.Context(), x.Request.Deadline)
}
