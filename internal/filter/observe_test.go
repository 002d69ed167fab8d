package filter

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
)

// fakeMeter is a Meter that records observations.
type fakeMeter struct {
	started int
	ended   []Observation
}

func (m *fakeMeter) Started(context.Context) { m.started++ }

func (m *fakeMeter) Ended(_ context.Context, o Observation) { m.ended = append(m.ended, o) }

// discardSink is a Sink that discards the answer.
type discardSink struct{}

func (discardSink) Begin(context.Context, Head) error { return nil }

func (discardSink) Chunk(context.Context, endpoint.Chunk) error { return nil }

// TestObserve checks that answers and refusals are each measured once, with code, run state and times.
func TestObserve(t *testing.T) {
	answer := func(ctx context.Context, x *Exchange) error {
		x.Sends = 2
		return errors.Join(x.Sink.Begin(ctx, Head{Model: "composer", Version: "v1"}), x.Sink.Chunk(ctx, endpoint.Chunk{Last: true}))
	}
	refuse := func(context.Context, *Exchange) error { return result.Errorf(result.QueueFull, "busy") }
	breakOff := func(context.Context, *Exchange) error { return errors.New("no result code") }
	rows := []struct {
		name  string
		next  Next
		code  result.Code
		run   result.Run
		model string
		sends int
	}{
		{"answered", answer, result.OK, result.Ran, "composer", 2},
		{"refused", refuse, result.QueueFull, result.NotRun, "", 0},
		{"failed without a code", breakOff, result.Internal, result.Unknown, "", 0},
	}
	c := qt.New(t)
	for _, row := range rows {
		c.Run(row.name, func(c *qt.C) {
			m := &fakeMeter{}
			x := &Exchange{Sink: discardSink{}, Arrived: time.Now().Add(-time.Second)}
			_ = Observe{Meter: m}.Handle(context.Background(), x, row.next)
			c.Assert(m.started, qt.Equals, 1)
			c.Assert(m.ended, qt.HasLen, 1)
			o := m.ended[0]
			c.Assert(o.Code, qt.Equals, row.code)
			c.Assert(o.Run, qt.Equals, row.run)
			c.Assert(o.Model, qt.Equals, row.model)
			c.Assert(o.Sends, qt.Equals, row.sends)
			c.Assert(o.Duration >= time.Second, qt.IsTrue)
			c.Assert(o.TimeToFirstChunk >= time.Second, qt.Equals, row.model != "")
		})
	}
}
