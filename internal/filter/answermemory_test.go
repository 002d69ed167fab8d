package filter

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/memory"
	"cornelmux/internal/pool"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// longChunk is the size of the chunks of a countedSender.
const longChunk = 128 << 10

// startAccount starts an account of memory for n long chunks, and returns it with the function that ends it.
func startAccount(n int64) (*memory.Controller, func()) {
	account := memory.New(memory.Limits{SmallAnswers: longChunk, LargeAnswers: n * longChunk}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan task.End, 1)
	task.Start(ctx, "memory", ends, account.Run)
	return account, func() {
		cancel()
		<-ends
	}
}

// countedSender is a Sender whose answers have long chunks, for each of which memory is reserved.
type countedSender struct {
	status int
	chunks []endpoint.Chunk
	sends  int
	// steps gets an element for each chunk that is read; it may be nil.
	steps chan string
}

// Open implements Sender.
func (s *countedSender) Open(ctx context.Context, _ endpoint.Endpoint, c endpoint.Call, check endpoint.SendCheck) (endpoint.Stream, error) {
	if err := check(); err != nil {
		return nil, err
	}
	s.sends++
	return &countedStream{ctx, c.Memory, s.status, s.chunks, s.steps}, nil
}

type countedStream struct {
	ctx    context.Context
	memory endpoint.Memory
	status int
	chunks []endpoint.Chunk
	steps  chan string
}

func (s *countedStream) Head() endpoint.Head { return head(s.status, "s") }

func (s *countedStream) Next() (endpoint.Fragment, error) {
	if len(s.chunks) == 0 {
		return endpoint.Fragment{}, io.EOF
	}
	if err := s.memory.Reserve(s.ctx, longChunk); err != nil {
		return endpoint.Fragment{}, err
	}
	if s.steps != nil {
		s.steps <- "read"
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return endpoint.Fragment{Chunk: c}, nil
}

func (s *countedStream) Close() {}

// pacedSink is a textSink that takes a chunk each pause, and sends on steps that it took one.
type pacedSink struct {
	textSink
	pause time.Duration
	steps chan string
}

func (w *pacedSink) Chunk(ctx context.Context, c endpoint.Chunk) error {
	time.Sleep(w.pause)
	w.steps <- "taken"
	return w.textSink.Chunk(ctx, c)
}

// TestLackOfMemoryIsNoVerdictOnAnEndpoint guards against an endpoint that is left alone, and a request that is sent again, because this
// VM has no memory for the answer.
func TestLackOfMemoryIsNoVerdictOnAnEndpoint(t *testing.T) {
	tests := []struct {
		name   string
		kind   routing.Kind
		chunks []endpoint.Chunk
		code   result.Code
	}{
		{"non-idempotent", routing.KindNonIdempotent, nil, result.NoMemory},
		{"idempotent", routing.KindIdempotent, nil, result.NoMemory},
		{"stream", routing.KindStream, nil, result.NoMemory},
		{"stream that has begun", routing.KindStream, []endpoint.Chunk{event("1", "a")}, result.NoMemory},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, sender := &fakePool{}, &scriptedSender{script: []scriptedSend{
				{head: head(200, "1"), chunks: test.chunks, broken: endpoint.ErrNoMemory},
				{head: head(200, "2"), chunks: []endpoint.Chunk{last("yes")}},
			}}
			x, _ := routedExchange(test.kind)
			err := Forward{p, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(t.Context(), x, nil)
			qt.Check(t, result.From(err).Code, qt.Equals, test.code)
			qt.Check(t, result.From(err).Run, qt.Equals, result.Unknown)
			qt.Check(t, p.ends, qt.DeepEquals, []pool.End{pool.EndAbandoned})
			qt.Check(t, sender.calls, qt.HasLen, 1)
		})
	}
}

// TestSlowCallerHasOneLongChunkHeld guards against long chunks that are read ahead for a caller that reads slowly.
func TestSlowCallerHasOneLongChunkHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account, stop := startAccount(8)
		defer stop()
		chunks := []endpoint.Chunk{event("1", "a"), event("2", "b"), event("3", "c"), event("4", "d"), end}
		x, _ := routedExchange(routing.KindStream)
		steps := make(chan string, 2*len(chunks))
		sink := &pacedSink{pause: time.Second, steps: steps}
		x.Sink = sink
		sender := &countedSender{200, chunks, 0, steps}
		qt.Check(t, Forward{&fakePool{}, noShift{}, sender, noQuarantine{}, account, nil}.Handle(t.Context(), x, nil), qt.IsNil)
		qt.Check(t, sink.text, qt.Equals, "abcd")
		for range chunks {
			qt.Check(t, <-steps, qt.Equals, "read")
			qt.Check(t, <-steps, qt.Equals, "taken")
		}
		synctest.Wait()
		state, err := account.State(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, state.Peak, qt.Equals, int64(longChunk))
		qt.Check(t, state.Held(), qt.Equals, int64(0))
	})
}

// TestWaitForMemoryIsNoSilence guards against a sound endpoint that is taken for silent while this VM has no memory for its answer.
func TestWaitForMemoryIsNoSilence(t *testing.T) {
	tests := []struct {
		name string
		// heldFor is how long another answer holds all memory.
		heldFor time.Duration
		whole   bool
	}{
		{"memory in time", answerMemoryTimeout - time.Millisecond, true},
		{"no memory in time", answerMemoryTimeout + time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				account, stop := startAccount(1)
				defer stop()
				other := account.AnswerClaim("other", time.Second)
				qt.Assert(t, other.Reserve(t.Context(), longChunk), qt.IsNil)
				timer := time.AfterFunc(test.heldFor, other.Release)
				defer timer.Stop()
				x, sink := routedExchange(routing.KindStream)
				p, sender := &fakePool{}, &countedSender{200, []endpoint.Chunk{event("1", "a"), end}, 0, nil}
				err := Forward{p, noShift{}, sender, noQuarantine{}, account, nil}.Handle(t.Context(), x, nil)
				qt.Check(t, err == nil, qt.Equals, test.whole, qt.Commentf("%v", err))
				qt.Check(t, sink.whole, qt.Equals, test.whole)
				qt.Check(t, sender.sends, qt.Equals, 1)
				qt.Check(t, p.ends, qt.HasLen, 1)
				qt.Check(t, p.ends[0] == pool.EndTimeout, qt.IsFalse)
			})
		})
	}
}

// TestMemoryOfAKeptFailureIsGivenBack checks that the body of a failure is counted while it's held back, and not after.
func TestMemoryOfAKeptFailureIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account, stop := startAccount(1)
		defer stop()
		x, sink := routedExchange(routing.KindIdempotent)
		sender := &countedSender{500, []endpoint.Chunk{last("no")}, 0, nil}
		err := Forward{&fakePool{}, noShift{}, sender, noQuarantine{}, account, nil}.Handle(t.Context(), x, nil)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, sink.text, qt.Equals, "no")
		qt.Check(t, sender.sends, qt.Equals, 2) // the failure that is held back leaves no memory for the next
		synctest.Wait()
		state, err := account.State(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, state.Held(), qt.Equals, int64(0))
	})
}
