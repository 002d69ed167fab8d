package filter

import (
	"context"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/pkg/result"
)

// Observation is what one request was and took.
type Observation struct {
	Kind    Kind
	Code    result.Code
	Run     result.Run
	Model   string
	Version string
	Service string
	// Level is the cascade's level that answered, from 0.
	Level int
	// Sends counts how often a first byte went to an endpoint.
	Sends int
	// Runs lists every run that an endpoint did for the request.
	Runs []journal.Run
	// Duration is the time to the end of the answer; FirstPiece is 0 where no piece was passed on.
	Duration         time.Duration
	TimeToFirstChunk time.Duration
}

// Meter counts requests.
type Meter interface {
	Started(ctx context.Context)
	Ended(ctx context.Context, o Observation)
}

// Observe measures each request. It stands at the head of the chain, so that refusals are measured too.
type Observe struct {
	Meter Meter
}

// Handle implements Filter.
func (f Observe) Handle(ctx context.Context, x *Exchange, next Next) error {
	f.Meter.Started(ctx)
	w := &watcher{sink: x.Sink}
	x.Sink = w
	err := next(ctx, x)
	f.Meter.Ended(ctx, observe(x, w, err, time.Now()))
	return err
}

func observe(x *Exchange, w *watcher, err error, now time.Time) Observation {
	o := Observation{
		Kind: x.Request.Kind, Code: result.OK, Run: result.Ran, Model: w.head.Model, Version: w.head.Version,
		Service: x.Request.Service, Level: x.Attempt.Level, Sends: x.Sends, Runs: x.Runs, Duration: now.Sub(x.Arrived),
	}
	if err != nil {
		e := result.From(err)
		o.Code, o.Run = e.Code, e.Run
	}
	if !w.first.IsZero() {
		o.TimeToFirstChunk = w.first.Sub(x.Arrived)
	}
	return o
}

// watcher notes the head and the time of the first piece.
type watcher struct {
	sink  Sink
	head  Head
	first time.Time
}

func (w *watcher) Begin(ctx context.Context, h Head) error {
	w.head = h
	return w.sink.Begin(ctx, h)
}

func (w *watcher) Chunk(ctx context.Context, p endpoint.Chunk) error {
	if w.first.IsZero() {
		w.first = time.Now()
	}
	return w.sink.Chunk(ctx, p)
}
