package filter

import (
	"context"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/pkg/result"
)

// Observation holds the measurements of one request.
type Observation struct {
	Kind Kind
	// Code is the result code, Run the run state: whether the work of the request was done.
	Code result.Code
	Run  result.Run
	// Model and Version are those of the answer, or "" if no answer began.
	Model   string
	Version string
	Service string
	// Level is the level of the cascade that was tried last, from 0; 0 without a cascade.
	Level int
	// Sends counts how often a first byte was sent to an endpoint, resumptions of a stream by Send excluded.
	Sends int
	// Runs lists the runs of the request, as in Exchange.
	Runs []journal.Run
	// Duration is the time from arrival to the end of the request, TimeToFirstChunk that to the first chunk; 0 if there
	// was none.
	Duration         time.Duration
	TimeToFirstChunk time.Duration
	// ForecastErrors holds, for each send that was answered and had a forecast, by how much later than expected its answer began.
	ForecastErrors []time.Duration
}

// Meter records measurements of requests. Observe calls Started when a request enters the chain and Ended when it leaves
// it.
type Meter interface {
	Started(ctx context.Context)
	Ended(ctx context.Context, o Observation)
}

// Observe measures each request. It is the first filter of a chain, so that refused requests are measured too.
type Observe struct {
	Meter Meter
}

// Handle implements Filter.
func (f Observe) Handle(ctx context.Context, x *Exchange, next Next) error {
	f.Meter.Started(ctx)
	w := &observingSink{sink: x.Sink}
	x.Sink = w
	err := next(ctx, x)
	f.Meter.Ended(ctx, newObservation(x, w, err, time.Now()))
	return err
}

// newObservation collects the measurements of a request that ended with err. Handle calls it at its end.
func newObservation(x *Exchange, w *observingSink, err error, now time.Time) Observation {
	o := Observation{
		Kind: x.Request.Kind, Code: result.OK, Run: result.Ran, Model: w.head.Model, Version: w.head.Version,
		Service: x.Request.Service, Level: x.Attempt.Level, Sends: x.Sends, Runs: x.Runs, Duration: now.Sub(x.Arrived),
	}
	if err != nil {
		e := result.From(err)
		o.Code, o.Run = e.Code, e.Run
	}
	if !w.firstChunkAt.IsZero() {
		o.TimeToFirstChunk = w.firstChunkAt.Sub(x.Arrived)
	}
	for _, step := range x.Routed.Trace {
		if step.TTFB > 0 && step.Forecast > 0 {
			o.ForecastErrors = append(o.ForecastErrors, step.TTFB-step.Forecast)
		}
	}
	return o
}

// observingSink remembers the head of the answer and the time of its first chunk.
type observingSink struct {
	sink         Sink
	head         Head
	firstChunkAt time.Time
}

func (w *observingSink) Begin(ctx context.Context, h Head) error {
	w.head = h
	return w.sink.Begin(ctx, h)
}

func (w *observingSink) Chunk(ctx context.Context, p endpoint.Chunk) error {
	if w.firstChunkAt.IsZero() {
		w.firstChunkAt = time.Now()
	}
	return w.sink.Chunk(ctx, p)
}
