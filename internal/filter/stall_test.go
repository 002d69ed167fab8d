package filter

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/routing"
)

// pacedSender is a Sender whose streams send one chunk after each pause, the first sends as in streams, in order.
type pacedSender struct {
	streams []pacedStream
	sends   int
}

// pacedStream sends chunks until there are none left; an endless one repeats the last.
type pacedStream struct {
	ctx   context.Context
	pause time.Duration
	// lastPause takes the place of pause before the last chunk, unless it's 0.
	lastPause time.Duration
	chunks    []endpoint.Chunk
	endless   bool
}

// Open implements Sender. It sends the events after the one that the call names.
func (s *pacedSender) Open(ctx context.Context, _ endpoint.Endpoint, c endpoint.Call, _ endpoint.SendCheck) (endpoint.Stream, error) {
	stream := s.streams[s.sends]
	stream.ctx = ctx
	if i := slices.IndexFunc(stream.chunks, func(p endpoint.Chunk) bool { return p.Event != "" && p.Event == c.LastEventID }); i >= 0 {
		stream.chunks = stream.chunks[i+1:]
	}
	s.sends++
	return &stream, nil
}

func (s *pacedStream) Head() endpoint.Head { return head(200, "s") }

func (s *pacedStream) Next() (endpoint.Fragment, error) {
	pause := s.pause
	if len(s.chunks) == 1 && s.lastPause > 0 {
		pause = s.lastPause
	}
	select {
	case <-time.After(pause):
	case <-s.ctx.Done():
		return endpoint.Fragment{}, fmt.Errorf("%w: %w", endpoint.ErrBroken, s.ctx.Err())
	}
	if len(s.chunks) == 0 {
		return endpoint.Fragment{}, io.EOF
	}
	c := s.chunks[0]
	if len(s.chunks) > 1 || !s.endless {
		s.chunks = s.chunks[1:]
	}
	return endpoint.Fragment{Chunk: c}, nil
}

func (s *pacedStream) Close() {}

// TestStalledStreamIsResumed checks that a slow but sound stream runs to its end, and that one that sends only what keeps its
// connection open is resumed at another endpoint.
func TestStalledStreamIsResumed(t *testing.T) {
	events := []endpoint.Chunk{event("1", "id: 1\ndata: a\n\n"), event("2", "id: 2\ndata: b\n\n"), end}
	comment := endpoint.Chunk{Data: []byte(": still here\n\n")}
	// tooSlow is more than the silence timeout between events, but less than that before the first.
	const tooSlow = 900 * time.Millisecond
	tests := []struct {
		name  string
		first pacedStream
		sends int
		// noMaxGap takes the bound between events away, so that the objective bounds each.
		noMaxGap bool
	}{
		{"slow but sound", pacedStream{pause: 700 * time.Millisecond, chunks: events}, 1, false},
		{"slow but sound, without a bound between events", pacedStream{pause: tooSlow, chunks: events}, 1, true},
		{"stalled without a byte", pacedStream{pause: time.Hour, chunks: events}, 2, false},
		{"stalled without a byte, without a bound between events", pacedStream{pause: time.Hour, chunks: events}, 2, true},
		{"a comment now and then, before the first event", pacedStream{pause: 300 * time.Millisecond, chunks: []endpoint.Chunk{comment}, endless: true}, 2, false},
		{"a comment now and then, after an event", pacedStream{pause: 300 * time.Millisecond, chunks: []endpoint.Chunk{events[0], comment}, endless: true}, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink := routedExchange(routing.KindStream)
				limit := 5 * x.Routed.Route.MaxGap
				if test.noMaxGap {
					x.Routed.Route.MaxGap = 0
				}
				rest := pacedStream{pause: 10 * time.Millisecond, chunks: events}
				sender := &pacedSender{streams: []pacedStream{test.first, rest, rest}}
				started := time.Now()
				ctx, cancel := context.WithDeadline(t.Context(), x.Request.Deadline)
				defer cancel()
				err := Forward{&fakePool{}, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(ctx, x, nil)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, sink.whole, qt.IsTrue)
				qt.Check(t, strings.ReplaceAll(sink.text, string(comment.Data), ""), qt.Equals, string(events[0].Data)+string(events[1].Data))
				qt.Check(t, sender.sends, qt.Equals, test.sends)
				qt.Check(t, time.Since(started) < limit, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
			})
		})
	}
}
