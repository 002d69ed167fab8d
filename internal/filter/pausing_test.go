package filter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/task"
)

// contextUntil returns a context that ends at the request's deadline.
func contextUntil(t *testing.T, x *Exchange) (context.Context, context.CancelFunc) {
	return context.WithDeadline(t.Context(), x.Request.Deadline)
}

// pauseFor waits for d and returns true, or false if ctx ends first. It takes no timer for no time, since the Go runtime crashes now and
// then at one that has expired, in a synctest bubble with -race.
func pauseFor(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return task.Sleep(ctx, d)
}

// pausingSender is a Sender whose answers begin after a pause and have pauses between their chunks, as scripted, in order.
type pausingSender struct {
	script []pausingSend
	// mu guards to, since two sends may be open at the same time.
	mu sync.Mutex
	to []string
}

type pausingSend struct {
	// head is the time until the head of the answer, pauses[i] that before chunks[i].
	head   time.Duration
	pauses []time.Duration
	chunks []endpoint.Chunk
}

func (s *pausingSender) Open(ctx context.Context, e endpoint.Endpoint, _ endpoint.Call, check endpoint.SendCheck) (endpoint.Stream, error) {
	if err := check(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	n := len(s.to)
	s.to = append(s.to, e.ID)
	s.mu.Unlock()
	if n >= len(s.script) {
		return nil, fmt.Errorf("%w: no further send is scripted", endpoint.ErrBroken)
	}
	send := s.script[n]
	if !pauseFor(ctx, send.head) {
		return nil, endpoint.ErrBroken
	}
	return &pausingStream{ctx, send}, nil
}

type pausingStream struct {
	ctx  context.Context
	send pausingSend
}

func (s *pausingStream) Head() endpoint.Head { return head(200, "s") }

func (s *pausingStream) Next() (endpoint.Fragment, error) {
	if !pauseFor(s.ctx, s.send.pauses[0]) {
		return endpoint.Fragment{}, endpoint.ErrBroken
	}
	c := s.send.chunks[0]
	s.send.pauses, s.send.chunks = s.send.pauses[1:], s.send.chunks[1:]
	return endpoint.Fragment{Chunk: c}, nil
}

func (s *pausingStream) Close() {}

// busyPool is a Pool that refuses retries for a time with an error, and takes a time to place the others.
type busyPool struct {
	fakePool
	refusal     error
	refuseUntil time.Time
	placing     time.Duration
}

func (p *busyPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	if q.Retry && time.Now().Before(p.refuseUntil) {
		return pool.Placement{}, p.refusal
	}
	if q.Retry {
		time.Sleep(p.placing)
	}
	return p.fakePool.Choose(ctx, q)
}

// longPromptPool is a Pool whose endpoints take a time to process the prompt.
type longPromptPool struct {
	fakePool
	prefill time.Duration
}

func (p *longPromptPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	place, err := p.fakePool.Choose(ctx, q)
	place.PrefillTime = p.prefill
	return place, err
}

// slowSink is a Sink that takes a time for each chunk.
type slowSink struct {
	textSink
	pause time.Duration
}

func (w *slowSink) Chunk(ctx context.Context, p endpoint.Chunk) error {
	time.Sleep(w.pause)
	return w.textSink.Chunk(ctx, p)
}

// noCrashes implements pool.Crashes.
type noCrashes struct{}

func (noCrashes) Crashed(context.Context, endpoint.Fingerprints, string) error { return nil }

// pausedEndpoint is a Sender of streams that come without a pause, except that all streams of the endpoint stand still from
// after their first event until a moment.
type pausedEndpoint struct {
	id    string
	until time.Time
	// sends receives the endpoint of each send.
	sends chan string
}

func (s pausedEndpoint) Open(ctx context.Context, e endpoint.Endpoint, c endpoint.Call, check endpoint.SendCheck) (endpoint.Stream, error) {
	if err := check(); err != nil {
		return nil, err
	}
	s.sends <- e.ID
	send := pausingSend{0, []time.Duration{0, 0, 0}, []endpoint.Chunk{event("1", "data: a\n\n"), event("2", "data: b\n\n"), end}}
	if e.ID == s.id {
		send.pauses[1] = time.Until(s.until)
	}
	if c.LastEventID == "1" {
		send.pauses, send.chunks = send.pauses[1:], send.chunks[1:]
	}
	return &pausingStream{ctx, send}, nil
}
